// Package forwarder sends one request to one upstream and returns its response. It
// never repeats a once-only request: a request that was written may have run, and the
// caller of this package decides whether to send it again.
//
// # Usage
//
//	f, cleanup := forwarder.New()
//	defer cleanup()
//	response, err := f.Forward(ctx, target, request)
//	if errors.Is(err, forwarder.ErrNotSent) {
//		// Nothing was sent, so the request did not run.
//	}
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/closer"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
)

// DeadlineHeader is the request header that tells an upstream the milliseconds left
// until the request's deadline.
const DeadlineHeader = "Waxwing-Deadline"

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	// maxHeadBytes is the maximum size of a response's head together with the interim
	// responses before it. A faulty upstream may send an endless one.
	maxHeadBytes = 64 << 10
	// maxHeadFields is the maximum number of header fields of a response. Short fields take
	// many times the memory of their bytes, so maxHeadBytes alone does not limit it.
	maxHeadFields = 256
	// maxStatus is the highest status of HTTP (RFC 9110, section 15).
	maxStatus = 599
	// maxErrorBytes is the maximum length of the description of a malformed response. The
	// descriptions of net/http quote what was received.
	maxErrorBytes = 256
)

// ErrNotSent marks an error that occurred before anything was written to the upstream.
var ErrNotSent = errors.New("no byte reached the upstream")

var (
	// errNoResponse is returned for a status line that does not end an exchange.
	errNoResponse    = errors.New("the status line is not that of a response")
	errTooManyFields = errors.Newf("the head has over %d fields", maxHeadFields)
)

type (
	// Request is a caller's request. Home is the zone nearest to the caller; in any other
	// zone the request counts as shifted traffic.
	Request struct {
		Home     namer.Zone
		Service  namer.Service
		Class    namer.Class
		Method   string
		Path     string
		Headers  []arbiter.Header
		Body     []byte
		Deadline time.Time
	}

	// Target is an upstream and the maximum number of connections that this VM may open to
	// it.
	Target struct {
		Upstream namer.Upstream
		Address  string
		MaxConns int
	}

	// Response is an upstream's response. The caller must read and close its body; Read
	// returns an error if the body ends early.
	Response struct {
		Status  int
		Headers []arbiter.Header
		Body    io.ReadCloser
	}

	// Forwarder sends requests to upstreams. It has an HTTP transport for each of them.
	Forwarder struct {
		mu         sync.Mutex
		transports map[Target]*http.Transport
	}
)

// New returns a Forwarder without connections, and a function that closes the idle
// ones.
func New() (*Forwarder, func()) {
	f := &Forwarder{transports: make(map[Target]*http.Transport)}
	return f, f.close
}

// Forward sends a request. The context applies to the whole exchange, including the
// reading of the response's body.
func (f *Forwarder) Forward(ctx context.Context, t Target, req Request) (Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out, err := newRequest(ctx, t, req)
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotSent)
	}
	resp, err := f.transport(t).RoundTrip(out)
	if err != nil {
		err = shortError(err)
		if !connected.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return Response{}, errors.Wrapf(err, "forwarding to %s", t.Upstream)
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus || resp.ProtoMajor != 1 {
		// After a 101, the transport leaves the connection to the reader of the body, beyond
		// the end of ctx.
		_ = resp.Body.Close()
		return Response{}, errors.Wrapf(errNoResponse, "forwarding to %s: %s %03d", t.Upstream, resp.Proto, resp.StatusCode)
	}
	if fieldCount(resp.Header) > maxHeadFields {
		_ = resp.Body.Close()
		return Response{}, errors.Wrapf(errTooManyFields, "forwarding to %s", t.Upstream)
	}
	return Response{Status: resp.StatusCode, Headers: filterHeaders(resp.Header), Body: resp.Body}, nil
}

// shortError returns err, or an error with the beginning of its description if that is longer
// than maxErrorBytes.
func shortError(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(text[:maxErrorBytes] + "...")
	}
	return err
}

// CloseIdleExcept closes the idle connections to all upstreams but the targets.
func (f *Forwarder) CloseIdleExcept(targets []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make(map[Target]bool, len(targets))
	for _, t := range targets {
		kept[t] = true
	}
	for t, tr := range f.transports {
		if !kept[t] {
			tr.CloseIdleConnections()
			delete(f.transports, t)
		}
	}
}

func (f *Forwarder) transport(t Target) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	tr, ok := f.transports[t]
	if !ok {
		tr = &http.Transport{
			DialContext:            dial,
			MaxConnsPerHost:        t.MaxConns,
			MaxIdleConnsPerHost:    t.MaxConns,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeadBytes,
			DisableCompression:     true,
		}
		f.transports[t] = tr
	}
	return tr
}

// dial opens a connection on which nothing of a request is sent once that was given up.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", address)
	}
	return closer.NewDropping(conn), nil
}

func (f *Forwarder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tr := range f.transports {
		tr.CloseIdleConnections()
	}
}

// newRequest returns the HTTP request for a target. It leaves GetBody nil and drops the
// idempotency headers: with either of them, http.Transport sends the request again when
// a reused connection breaks. It still does so with a GET or HEAD request without a body;
// the steering document refuses once-only classes with these methods.
func newRequest(ctx context.Context, t Target, req Request) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+t.Address+req.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
		out.ContentLength = int64(len(req.Body))
	}
	for _, h := range req.Headers {
		if !dropped(h.Name) {
			out.Header.Add(h.Name, h.Value)
		}
	}
	remaining := max(time.Until(req.Deadline).Milliseconds(), 0)
	out.Header.Set(DeadlineHeader, strconv.FormatInt(remaining, 10))
	return out, nil
}
