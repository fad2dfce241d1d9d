// Package receiver takes callers' requests for routes over HTTP and gives them
// the answers. Whatever a caller sends is bounded in size, time and number. An
// answer that breaks off breaks the caller's connection, so that it never looks
// whole.
//
// # Usage
//
//	r := receiver.New(router, headers, limits, clock, log)
//	server := &http.Server{Handler: r}
package receiver

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/recorder"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

const (
	// busyRetry is when a caller should come back to a VM that has too many
	// requests in progress.
	busyRetry = 250 * time.Millisecond
	// retrySpread is how much later than the first refused caller the last one
	// is asked back, as a part of the wait.
	retrySpread = 0.5
	// writeTime bounds the writing of an answer to a caller that does not read.
	writeTime = 10 * time.Second
)

type (
	// Router steers requests to upstreams.
	Router interface {
		Steer(ctx context.Context, r steerer.Request) steerer.Result
		Ingress() (parser.Ingress, bool)
		Generation() namer.Generation
	}

	// Limits bounds what all callers together may use.
	Limits struct {
		Requests int64
		// Bytes bounds the bodies that are held at once.
		Bytes int64
	}

	// Receiver is the HTTP handler for requests of routes.
	Receiver struct {
		router  Router
		headers namer.HeaderNames
		limits  Limits
		clock   clockwork.Clock
		log     *slog.Logger
		busy    atomic.Int64
		held    atomic.Int64
		// end is when the process ends, nil while it stays.
		end     atomic.Pointer[time.Time]
		latency *recorder.Recorder
		last    atomic.Int64
		begun   time.Time
	}

	// failure is the JSON body of every answer that is not an upstream's.
	failure struct {
		Code   steerer.Code `json:"code"`
		Reason string       `json:"reason"`
	}
)

// New returns a receiver.
func New(router Router, headers namer.HeaderNames, limits Limits, clock clockwork.Clock, log *slog.Logger) *Receiver {
	return &Receiver{
		router: router, headers: headers, limits: limits, clock: clock, log: log, begun: clock.Now(), latency: recorder.New(),
	}
}

// Leave asks callers to open their next connection elsewhere, while requests
// are still taken. A body that has not come when the process ends is given up.
func (r *Receiver) Leave(end time.Time) {
	r.end.Store(&end)
}

// Leaving reports whether callers are asked to go elsewhere.
func (r *Receiver) Leaving() bool {
	return r.end.Load() != nil
}

// Busy returns the number of requests in progress.
func (r *Receiver) Busy() int64 {
	return r.busy.Load()
}

// Latencies returns the latencies by route and outcome.
func (r *Receiver) Latencies() map[string]map[string]recorder.Latency {
	return r.latency.Summary()
}

// Quiet returns how long no request has come.
func (r *Receiver) Quiet() time.Duration {
	return r.clock.Since(r.begun) - time.Duration(r.last.Load())
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	arrived := r.clock.Now()
	r.last.Store(int64(arrived.Sub(r.begun)))
	if r.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if r.busy.Add(1) > r.limits.Requests {
		r.busy.Add(-1)
		r.fail(w, in, refused(steerer.CodeBusy, "too many requests are in progress"))
		return
	}
	defer r.busy.Add(-1)
	request, failed := r.read(w, in, arrived)
	defer r.held.Add(-int64(len(request.Body)))
	if failed.Code != "" {
		w.Header().Set("Connection", "close")
		r.fail(w, in, failed)
		return
	}
	result := r.router.Steer(in.Context(), request)
	if r.Leaving() {
		w.Header().Set("Connection", "close")
	}
	r.logResult(in, request, result)
	if result.Code != "" {
		r.fail(w, in, result)
		return
	}
	r.answer(w, result)
}

// read reads a request whole. A result with a code refuses it.
func (r *Receiver) read(w http.ResponseWriter, in *http.Request, arrived time.Time) (steerer.Request, steerer.Result) {
	limits, ok := r.router.Ingress()
	if !ok {
		return steerer.Request{}, refused(steerer.CodeStarting, "no document is in force yet")
	}
	if headBytes(in) > limits.HeadBytes {
		return steerer.Request{}, steerer.Result{
			Status: http.StatusRequestHeaderFieldsTooLarge, Code: steerer.CodeMalformed, Reason: "the request's head is over the limit",
		}
	}
	body, failed := r.body(w, in, limits)
	request := steerer.Request{
		Method:     in.Method,
		Host:       in.Host,
		Target:     target(in),
		Path:       in.URL.EscapedPath(),
		Header:     r.forwarded(in.Header),
		Body:       body,
		AttemptID:  in.Header.Get(r.headers.AttemptID),
		Object:     in.Header.Get(r.headers.AffinityKey),
		ReceivedAt: arrived,
	}
	if ms, err := strconv.ParseInt(in.Header.Get(r.headers.RemainingMs), 10, 64); err == nil && ms > 0 {
		request.Remaining = time.Duration(ms) * time.Millisecond
	}
	return request, failed
}

// body reads a request's body within the limits of size and time.
func (r *Receiver) body(w http.ResponseWriter, in *http.Request, limits parser.Ingress) ([]byte, steerer.Result) {
	if in.ContentLength == 0 {
		return nil, steerer.Result{}
	}
	if r.held.Load()+max(in.ContentLength, 0) > r.limits.Bytes {
		return nil, refused(steerer.CodeBusy, "the bodies in progress take all of their memory")
	}
	rc := http.NewResponseController(w)
	readTime := limits.ReadTime
	if end := r.end.Load(); end != nil {
		readTime = min(readTime, max(0, end.Sub(r.clock.Now())))
	}
	// A connection that is already closed shows when the body is read.
	_ = rc.SetReadDeadline(time.Now().Add(readTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, in.Body, limits.BodyBytes))
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		r.held.Add(int64(len(body)))
		return body, steerer.Result{}
	}
	var tooLarge *http.MaxBytesError
	failed := steerer.Result{Code: steerer.CodeMalformed}
	switch {
	case errors.As(err, &tooLarge):
		failed.Status = http.StatusRequestEntityTooLarge
		failed.Reason = "the request's body is over the limit"
	case errors.Is(err, os.ErrDeadlineExceeded):
		failed.Status = http.StatusRequestTimeout
		failed.Reason = "the request's body did not come in time"
	default:
		failed.Status = http.StatusBadRequest
		failed.Reason = "the request's body broke off"
	}
	return nil, failed
}

// forwarded returns the headers that go on to the upstream: all but those of
// the connection and those that this VM sets itself.
func (r *Receiver) forwarded(in http.Header) http.Header {
	out := endToEnd(in)
	out.Del(r.headers.RemainingMs)
	out.Del(r.headers.ExpectedUpstream)
	out.Del("Content-Length")
	out.Del("Expect")
	return out
}

// answer gives a caller an upstream's answer.
func (r *Receiver) answer(w http.ResponseWriter, result steerer.Result) {
	header := w.Header()
	for name, values := range endToEnd(result.Header) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// Keeps the server from guessing one.
		header["Content-Type"] = nil
	}
	if result.Rest == nil && len(result.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(result.Body)))
	}
	if result.Rest != nil && result.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(result.Length, 10))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
	w.WriteHeader(result.Status)
	if _, err := w.Write(result.Body); err != nil && len(result.Body) > 0 {
		r.log.Debug("answer not taken", "reason", err.Error())
	}
	if result.Rest == nil {
		return
	}
	defer func() { _ = result.Rest.Close() }()
	if _, err := io.Copy(w, result.Rest); err != nil {
		r.log.Warn("answer broke off", "reason", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// fail gives a caller an answer of this VM's own.
func (r *Receiver) fail(w http.ResponseWriter, in *http.Request, result steerer.Result) {
	if result.Code == steerer.CodeCallerGone {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if result.RetryAfter > 0 {
		wait := result.RetryAfter.Seconds() * (1 + retrySpread*rand.Float64())
		w.Header().Set("Retry-After", strconv.FormatFloat(wait, 'f', 3, 64))
	}
	if attempt := in.Header.Get(r.headers.AttemptID); attempt != "" {
		w.Header().Set(r.headers.AttemptID, attempt)
	}
	w.WriteHeader(result.Status)
	body, err := json.Marshal(failure{Code: result.Code, Reason: result.Reason})
	if err != nil {
		r.log.Error("failure not encoded", "reason", err.Error())
		return
	}
	if _, err := w.Write(body); err != nil {
		r.log.Debug("failure not taken", "reason", err.Error())
	}
}

func (r *Receiver) logResult(in *http.Request, request steerer.Request, result steerer.Result) {
	took := r.clock.Since(request.ReceivedAt)
	outcome := "answered"
	if result.Code != "" {
		outcome = string(result.Code)
	}
	r.latency.Record(string(result.Route), outcome, took)
	r.log.Info("answered", "attempt", request.AttemptID, "method", in.Method, "host", in.Host, "route", string(result.Route),
		"object", request.Object, "generation", uint64(r.router.Generation()), "status", result.Status, "code", string(result.Code),
		"reason", result.Reason, "sent", result.SendCount, "retryafter", result.RetryAfter, "remaining", request.Remaining, "took", took)
}

func refused(code steerer.Code, reason string) steerer.Result {
	return steerer.Result{Status: http.StatusServiceUnavailable, Code: code, Reason: reason, RetryAfter: busyRetry}
}

// target is the request's target as the caller sent it.
func target(in *http.Request) string {
	if strings.HasPrefix(in.RequestURI, "/") {
		return in.RequestURI
	}
	return in.URL.RequestURI()
}

// headBytes counts a request's head as it came.
func headBytes(in *http.Request) int {
	n := len(in.Method) + len(in.RequestURI) + len(in.Host)
	for name, values := range in.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// endToEnd returns the headers that concern more than one connection.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, field := range in.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	} {
		out.Del(name)
	}
	return out
}
