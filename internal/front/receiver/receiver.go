// Package receiver implements the HTTP handler of a daemon that steers by routes: it
// takes callers' requests for any host and path, passes them to the router and writes
// the responses. Without routes, package responder serves callers instead. Heads, bodies, read times
// and concurrent requests are limited. If an upstream's response is truncated, the
// caller's connection is aborted, so that the caller can't take it for complete.
//
// # Usage
//
//	r := receiver.New(router, headers, limits, clock, log)
//	server := &http.Server{Handler: r}
package receiver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/front/pipeliner"
	"github.com/waxwingloom/waxwingloom/internal/front/recorder"
	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

const (
	// busyRetryAfter is the minimum Retry-After of a request that this VM refuses
	// because a limit is reached or there is no current document.
	busyRetryAfter = 250 * time.Millisecond
	// retryAfterJitterFraction is the maximum random addition to Retry-After, as a
	// fraction of it. Without jitter, callers refused together would retry together.
	retryAfterJitterFraction = 0.5
	// maxRemainingMs is the longest time that a caller can say it waits. Longer ones would
	// overflow a duration.
	maxRemainingMs = int64(math.MaxInt64 / time.Millisecond)
)

type (
	// Router steers requests to upstreams.
	Router interface {
		Steer(ctx context.Context, r steerer.Request) steerer.Result
		Ingress() (parser.Ingress, bool)
		Generation() namer.Generation
	}

	// Limits are the limits on all callers' requests together.
	Limits struct {
		MaxInFlight int64
		// MaxBufferedBytes limits the total size of the request bodies in memory, and
		// separately that of the response bodies. Requests over it are refused, responses
		// streamed, so that an upstream's long responses refuse nobody. 0 means no limit beside
		// that of the connections' account.
		MaxBufferedBytes int64
	}

	// Receiver is the HTTP handler for callers' requests.
	Receiver struct {
		router   Router
		headers  namer.HeaderNames
		limits   Limits
		clock    clockwork.Clock
		log      *slog.Logger
		inFlight atomic.Int64
		// running is the number of requests that have been read whole.
		running       atomic.Int64
		bufferedBytes atomic.Int64
		// bufferedResponseBytes is the total size of the response bodies in memory.
		bufferedResponseBytes atomic.Int64
		// shutdownDeadline is when the process exits, nil before shutdown begins.
		shutdownDeadline atomic.Pointer[time.Time]
		refusing         atomic.Bool
		latencies        *recorder.Recorder
		// lastRequest is the arrival of the latest request, in ns after createdAt.
		lastRequest atomic.Int64
		createdAt   time.Time

		mu sync.Mutex
		// bodyReads holds when each body that is being read has to be complete.
		bodyReads map[*http.ResponseController]time.Time
	}

	// reservation is what one request takes of a limit in bytes, and of the account of its
	// connection.
	reservation struct {
		total *atomic.Int64
		limit int64
		loan  *accountant.Loan
		clock clockwork.Clock
	}

	// errorBody is the JSON body of every response that doesn't come from an upstream.
	errorBody struct {
		Code   steerer.Code `json:"code"`
		Reason string       `json:"reason"`
	}
)

// New returns a receiver.
func New(router Router, headers namer.HeaderNames, limits Limits, clock clockwork.Clock, log *slog.Logger) *Receiver {
	return &Receiver{
		router: router, headers: headers, limits: limits, clock: clock, log: log, createdAt: clock.Now(), latencies: recorder.New(),
		bodyReads: make(map[*http.ResponseController]time.Time),
	}
}

// take adds n bytes to the reservation, and reports whether the limits allow that.
func (v *reservation) take(n int) bool {
	if v.total.Add(int64(n)) > v.limit && v.limit > 0 || !v.loan.Take(v.clock.Now(), int64(n)) {
		v.total.Add(-int64(n))
		return false
	}
	return true
}

// release gives back all bytes of the reservation.
func (v *reservation) release() {
	v.total.Add(-v.loan.Bytes())
	v.loan.Return()
}

// BeginShutdown makes every response carry "Connection: close", so that callers
// reconnect to other VMs. Requests are still served. Reads of request bodies time
// out at deadline, when the process exits.
func (r *Receiver) BeginShutdown(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shutdownDeadline.Store(&deadline)
	for rc, end := range r.bodyReads {
		if deadline.Before(end) {
			_ = rc.SetReadDeadline(deadline)
		}
	}
}

// beginBodyRead limits the time to read a request's body.
func (r *Receiver) beginBodyRead(rc *http.ResponseController, readTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if deadline := r.shutdownDeadline.Load(); deadline != nil {
		readTime = min(readTime, max(0, deadline.Sub(now)))
	}
	r.bodyReads[rc] = now.Add(readTime)
	// The error is ignored: if the connection is closed, reading the body fails too.
	_ = rc.SetReadDeadline(time.Now().Add(readTime))
}

// endBodyRead notes that a request's body is not read any more.
func (r *Receiver) endBodyRead(rc *http.ResponseController) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.bodyReads, rc)
}

// ShuttingDown reports whether BeginShutdown was called.
func (r *Receiver) ShuttingDown() bool {
	return r.shutdownDeadline.Load() != nil
}

// RefuseNew makes the receiver refuse all further requests as not run, because the process
// ends before it could serve them. Once InFlight has then returned 0, no request is in
// progress any more.
func (r *Receiver) RefuseNew() {
	r.refusing.Store(true)
}

// InFlight returns the number of requests in progress.
func (r *Receiver) InFlight() int64 {
	return r.inFlight.Load()
}

// Latencies returns latency summaries by route and outcome.
func (r *Receiver) Latencies() map[string]map[string]recorder.Latency {
	return r.latencies.Summary()
}

// SinceLastRequest returns the time since the latest request arrived, or since New
// if there was none.
func (r *Receiver) SinceLastRequest() time.Duration {
	return r.clock.Since(r.createdAt) - time.Duration(r.lastRequest.Load())
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	arrived := r.clock.Now()
	r.lastRequest.Store(int64(arrived.Sub(r.createdAt)))
	if r.ShuttingDown() {
		closeAfter(w, in)
	}
	// The request counts before refusing is read, so that a stop that then finds none in
	// progress has missed none.
	r.inFlight.Add(1)
	if r.refusing.Load() {
		r.inFlight.Add(-1)
		closeAfter(w, in)
		result := steerer.ShuttingDownResult()
		r.logResult(in, steerer.Request{AttemptID: in.Header.Get(r.headers.AttemptID), ReceivedAt: arrived}, result)
		r.writeError(w, in, result)
		return
	}
	defer r.inFlight.Add(-1)
	holder := accountant.HolderOf(in.Context())
	body := reservation{total: &r.bufferedBytes, limit: r.limits.MaxBufferedBytes, loan: holder.NewLoan(), clock: r.clock}
	defer body.release()
	request, failed := r.readRequest(w, in, arrived, &body)
	if failed.Code != "" {
		closeAfter(w, in)
		r.writeError(w, in, failed)
		return
	}
	// Bodies that are being read don't count: callers that stop short of their end would take
	// the places of all others.
	defer r.running.Add(-1)
	if r.running.Add(1) > r.limits.MaxInFlight {
		r.writeError(w, in, unavailable(steerer.CodeBusy, "too many requests are in progress"))
		return
	}
	response := reservation{total: &r.bufferedResponseBytes, limit: r.limits.MaxBufferedBytes, loan: holder.NewLoan(), clock: r.clock}
	defer response.release()
	request.ReserveBytes = response.take
	result := r.router.Steer(in.Context(), request)
	if r.ShuttingDown() {
		closeAfter(w, in)
	}
	r.logResult(in, request, result)
	if result.Code != "" {
		r.writeError(w, in, result)
		return
	}
	if result.Rest == nil {
		// The body of the request is not needed while a slow caller reads the response.
		request.Body, request.BodyRest = nil, nil
		body.release()
	}
	holder.Enter(r.clock.Now(), accountant.Writing)
	r.writeResponse(w, in, result, holder)
}

// closeAfter makes the response close the caller's connection, unless requests behind this one
// are in progress: then the last one of them does.
func closeAfter(w http.ResponseWriter, in *http.Request) {
	if !pipeliner.Hold(in.Context()) {
		w.Header().Set("Connection", "close")
	}
}

// readRequest reads a request and its whole body. If the result has a code, the
// request is refused with that result.
func (r *Receiver) readRequest(w http.ResponseWriter, in *http.Request, arrived time.Time, held *reservation) (steerer.Request, steerer.Result) {
	limits, ok := r.router.Ingress()
	if !ok {
		return steerer.Request{}, unavailable(steerer.CodeStarting, "no document is in force yet")
	}
	if headBytes(in) > limits.MaxHeadBytes {
		return steerer.Request{}, steerer.Result{
			Status: http.StatusRequestHeaderFieldsTooLarge, Code: steerer.CodeMalformed, Reason: "the request's head is over the limit",
		}
	}
	body, failed := r.readBody(w, in, limits, held)
	if failed.Code != "" {
		return steerer.Request{}, failed
	}
	// The connection counts as running by now, so that it is not closed later.
	if accountant.HolderOf(in.Context()).Evicted() {
		return steerer.Request{}, r.refuseForRoom(in, held)
	}
	if body == nil {
		body = [][]byte{nil}
	}
	caller, _, err := net.SplitHostPort(in.RemoteAddr)
	if err != nil {
		caller = in.RemoteAddr
	}
	request := steerer.Request{
		Caller:     caller,
		Method:     in.Method,
		Host:       in.Host,
		Target:     originalTarget(in),
		Path:       in.URL.EscapedPath(),
		Header:     r.forwardedHeader(in.Header),
		Body:       body[0],
		BodyRest:   body[1:],
		AttemptID:  in.Header.Get(r.headers.AttemptID),
		Object:     in.Header.Get(r.headers.AffinityKey),
		ReceivedAt: arrived,
		Credential: authenticator.Parse(in.Header),
		CallerGone: sweeper.CallerGone(in.Context()),
	}
	if ms, err := strconv.ParseInt(in.Header.Get(r.headers.RemainingMs), 10, 64); err == nil && ms > 0 {
		request.Remaining = time.Duration(min(ms, maxRemainingMs)) * time.Millisecond
	}
	return request, steerer.Result{}
}

// forwardedHeader returns the headers to send to the upstream: all except the
// hop-by-hop ones and those that this VM sets itself.
func (r *Receiver) forwardedHeader(in http.Header) http.Header {
	out := endToEndHeader(in)
	out.Del(r.headers.RemainingMs)
	out.Del(r.headers.ExpectedUpstream)
	out.Del(r.headers.Account)
	out.Del("Content-Length")
	out.Del("Expect")
	return out
}

// writeResponse writes an upstream's response to the caller. If the rest of the body
// can't be copied, it aborts the connection, unless nothing of the response was written yet.
func (r *Receiver) writeResponse(w http.ResponseWriter, in *http.Request, result steerer.Result, holder *accountant.Holder) {
	header := w.Header()
	for name, values := range endToEndHeader(result.Header) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// A nil value keeps net/http from sniffing the content type.
		header["Content-Type"] = nil
	}
	if result.Rest == nil && len(result.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(result.Body)))
	}
	if result.Rest != nil && result.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(result.ContentLength, 10))
	}
	w.WriteHeader(result.Status)
	if result.Rest == nil {
		if err := r.writePieces(w, result.Body, holder); err != nil {
			r.log.Debug("writing the response to the caller failed", "reason", err.Error())
		}
		return
	}
	defer func() { _ = result.Rest.Close() }()
	body := &accountedBody{Reader: io.MultiReader(bytes.NewReader(result.Body), result.Rest), holder: holder, clock: r.clock}
	if _, err := io.Copy(w, body); err != nil {
		if pipeliner.Discard(w) {
			// The response before this one may go on, and those behind it are there.
			r.log.Warn("the upstream's response could not be kept until its turn; answering 502", "route", string(result.Route), "reason", err.Error())
			r.writeError(w, in, steerer.Result{Status: http.StatusBadGateway, Code: steerer.CodeOutcomeUnknown, Reason: "the response of the upstream was lost", RetryAfter: busyRetryAfter})
			return
		}
		r.log.Warn("copying the upstream's response failed; aborting the caller's connection", "reason", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// writeError writes a response that this VM generates itself. If the caller has
// disconnected, it aborts the connection.
func (r *Receiver) writeError(w http.ResponseWriter, in *http.Request, result steerer.Result) {
	if result.Code == steerer.CodeCallerGone {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if result.RetryAfter > 0 {
		wait := result.RetryAfter.Seconds() * (1 + retryAfterJitterFraction*rand.Float64())
		w.Header().Set("Retry-After", strconv.FormatFloat(wait, 'f', 3, 64))
	}
	if attempt := in.Header.Get(r.headers.AttemptID); attempt != "" {
		w.Header().Set(r.headers.AttemptID, attempt)
	}
	if result.Code == steerer.CodeStaleAccounts {
		// Another VM may know the accounts, so the caller should not come back here.
		closeAfter(w, in)
	}
	if result.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", authenticator.Challenge)
	}
	w.WriteHeader(result.Status)
	body, err := json.Marshal(errorBody{Code: result.Code, Reason: result.Reason})
	if err != nil {
		r.log.Error("encoding the error response failed; its body is empty", "reason", err.Error())
		return
	}
	if _, err := w.Write(body); err != nil {
		r.log.Debug("writing the error response to the caller failed", "reason", err.Error())
	}
}

// logResult records the latency of a request and logs its result.
func (r *Receiver) logResult(in *http.Request, request steerer.Request, result steerer.Result) {
	took := r.clock.Since(request.ReceivedAt)
	outcome := "answered"
	if result.Code != "" {
		outcome = string(result.Code)
	}
	r.latencies.Record(string(result.Route), outcome, took)
	r.log.Info("answered", "attempt", request.AttemptID, "method", in.Method, "host", in.Host, "route", string(result.Route),
		"object", request.Object, "generation", uint64(r.router.Generation()), "status", result.Status, "code", string(result.Code),
		"reason", result.Reason, "sent", result.SendCount, "retryafter", result.RetryAfter, "remaining", request.Remaining, "took", took,
		"account", string(result.Account), "denial", string(result.Denial))
}

// unavailable returns a 503 result that asks the caller to retry soon.
func unavailable(code steerer.Code, reason string) steerer.Result {
	return steerer.Result{Status: http.StatusServiceUnavailable, Code: code, Reason: reason, RetryAfter: busyRetryAfter}
}

// originalTarget returns the path and query as the caller sent them, without a host.
func originalTarget(in *http.Request) string {
	if strings.HasPrefix(in.RequestURI, "/") {
		return in.RequestURI
	}
	return in.URL.RequestURI()
}

// headBytes returns the size of a request's line and headers as received.
func headBytes(in *http.Request) int {
	n := len(in.Method) + len(in.RequestURI) + len(in.Host)
	for name, values := range in.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// endToEndHeader returns a copy of the headers without the hop-by-hop ones, which
// include those that the Connection header names.
func endToEndHeader(in http.Header) http.Header {
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
