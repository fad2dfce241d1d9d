// Package forwarder sends one request to one upstream and returns its answer.
// It never repeats a request: what was written may have run, and the caller of
// this package decides what that means.
//
// # Usage
//
//	f, cleanup := forwarder.New()
//	defer cleanup()
//	answer, err := f.Forward(ctx, target, request)
//	if errors.Is(err, forwarder.ErrUnwritten) {
//		// No byte reached the upstream.
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

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
)

// DeadlineHeader tells an upstream the time left until the deadline, in ms.
const DeadlineHeader = "Waxwing-Deadline"

const (
	dialTime = 2 * time.Second
	idleTime = 30 * time.Second
)

// ErrNotSent marks an error that came before the first byte was written.
var ErrNotSent = errors.New("no byte reached the upstream")

type (
	// Request is a request as it travels through the system. Home is the zone
	// nearest to its caller; in any other zone it counts as shifted.
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

	// Target is an upstream and the connections to it that this VM may open.
	Target struct {
		Upstream namer.Upstream
		Address  string
		MaxConns int
	}

	// Response is an upstream's answer whose body is still to be read. A body
	// that ends early returns an error from Read.
	Response struct {
		Status  int
		Headers []arbiter.Header
		Body    io.ReadCloser
	}

	// Forwarder keeps connections to upstreams.
	Forwarder struct {
		mu         sync.Mutex
		transports map[Target]*http.Transport
	}
)

// New returns a forwarder.
func New() (*Forwarder, func()) {
	f := &Forwarder{transports: make(map[Target]*http.Transport)}
	return f, f.close
}

// Forward sends a request. The context bounds the whole exchange, the reading
// of the answer's body included.
func (f *Forwarder) Forward(ctx context.Context, t Target, req Request) (Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out, err := newRequest(ctx, t, req)
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotSent)
	}
	resp, err := f.transport(t).RoundTrip(out) //nolint:bodyclose // The answer's reader closes it.
	if err != nil {
		if !connected.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return Response{}, errors.Wrapf(err, "forwarding to %s", t.Upstream)
	}
	return Response{Status: resp.StatusCode, Headers: endToEnd(resp.Header), Body: resp.Body}, nil
}

// CloseIdleExcept closes the connections to upstreams that are not among the targets.
func (f *Forwarder) CloseIdleExcept(targets []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[Target]bool, len(targets))
	for _, t := range targets {
		wanted[t] = true
	}
	for t, tr := range f.transports {
		if !wanted[t] {
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
			DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
			MaxConnsPerHost:     t.MaxConns,
			MaxIdleConnsPerHost: t.MaxConns,
			IdleConnTimeout:     idleTime,
			DisableCompression:  true,
		}
		f.transports[t] = tr
	}
	return tr
}

func (f *Forwarder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tr := range f.transports {
		tr.CloseIdleConnections()
	}
}

// newRequest leaves GetBody nil and drops the idempotency headers: with either
// a transport replays the request when a kept-alive connection breaks.
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
	left := max(time.Until(req.Deadline).Milliseconds(), 0)
	out.Header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	return out, nil
}
