// Package pipeliner handles requests that callers send before they have the responses to the
// earlier ones on the same connection (HTTP pipelining). net/http serves these one after
// another, so each would wait for all before it.
//
// Once a caller has pipelined, its connection is taken over. Requests are read ahead, bounded
// in number and bytes, and each is handed to the same http.Server on a connection of its own
// that exists in memory only, so that net/http parses, checks and answers it as any other.
// The responses are written in the order of the requests. Only requests that may be repeated
// run beside others: a request whose route does not allow that begins when all before it are
// answered. A request with a body, or with headers that concern the connection, ends the
// reading ahead: the connection is handed back to net/http for good.
//
// A response that closes the connection is written as the last one of those that have begun;
// nothing is read behind it. If a response breaks off, the connection is closed and what is
// behind it is canceled.
//
// # Usage
//
//	p, cleanup := pipeliner.New(handler, routes, sweep, headTimeout, log)
//	defer cleanup()
//	server := &http.Server{Handler: p, ConnState: p.Track, ConnContext: p.WithConn}
//	go server.Serve(p)
//	err := server.Serve(listener)
package pipeliner

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

type (
	// Routes tells which requests may run beside others of the same connection, which may
	// then run more than once.
	Routes interface {
		MayRunAhead(host, path string) bool
	}

	// Counts are the numbers of connections that were taken over and of requests that were
	// begun before the response to the one before them, since the process started.
	Counts struct {
		Connections int64
		Ahead       int64
	}

	// Pipeliner is the handler of an http.Server, and the listener of the connections in
	// memory, which the same server must serve. It is safe for concurrent use.
	Pipeliner struct {
		handler     http.Handler
		routes      Routes
		sweeper     *sweeper.Sweeper
		headTimeout time.Duration
		log         *slog.Logger
		accepted    chan net.Conn
		closeOnce   sync.Once
		closed      chan struct{}
		connections atomic.Int64
		ahead       atomic.Int64
	}

	exchangeKey struct{}
)

// New returns a pipeliner in front of a handler, and a function that ends its listener.
// headTimeout limits the reading of a request's head.
func New(handler http.Handler, routes Routes, sweep *sweeper.Sweeper, headTimeout time.Duration, log *slog.Logger) (*Pipeliner, func()) {
	p := &Pipeliner{
		handler: handler, routes: routes, sweeper: sweep, headTimeout: headTimeout, log: log,
		accepted: make(chan net.Conn), closed: make(chan struct{}),
	}
	return p, func() { _ = p.Close() }
}

// Accept implements net.Listener.
func (p *Pipeliner) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Requests that were read ahead by then are served.
func (p *Pipeliner) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener. The listener has no address on a network.
func (p *Pipeliner) Addr() net.Addr {
	return &net.TCPAddr{}
}

// Counts returns the counts since the process started.
func (p *Pipeliner) Counts() Counts {
	return Counts{Connections: p.connections.Load(), Ahead: p.ahead.Load()}
}

// Track passes a connection's new state to the sweeper. Use it as http.Server's ConnState
// hook.
func (p *Pipeliner) Track(c net.Conn, state http.ConnState) {
	switch c := c.(type) {
	case *exchange:
		if state == http.StateIdle || state == http.StateClosed {
			c.end()
		}
	case *returnedConn:
		p.sweeper.Track(c.Conn, state)
	default:
		p.sweeper.Track(c, state)
	}
}

// WithConn returns the context of a connection's requests. Use it as http.Server's
// ConnContext hook.
func (p *Pipeliner) WithConn(ctx context.Context, c net.Conn) context.Context {
	switch c := c.(type) {
	case *exchange:
		ctx = sweeper.WithCaller(ctx, c.session.conn)
		return context.WithValue(ctx, exchangeKey{}, c)
	case *returnedConn:
		return p.sweeper.WithConn(ctx, c.Conn)
	default:
		return p.sweeper.WithConn(ctx, c)
	}
}

// ServeHTTP implements http.Handler.
func (p *Pipeliner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e, ok := r.Context().Value(exchangeKey{}).(*exchange); ok {
		e.serve(w, r, p.handler)
		return
	}
	if !sweeper.Pipelines(r.Context()) || !p.mayTakeOver(r) {
		p.handler.ServeHTTP(w, r)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		p.log.Warn("taking over a connection with pipelined requests failed; serving them one by one", "reason", err.Error())
		p.handler.ServeHTTP(w, r)
		return
	}
	p.connections.Add(1)
	p.log.Info("connection of a caller that pipelines taken over", "caller", r.RemoteAddr)
	newSession(p, conn, buffered.Reader).run(r.Context(), headOf(r))
}

// mayTakeOver reports whether a request, whose head net/http has read, can be the first of
// those that are read ahead.
func (p *Pipeliner) mayTakeOver(r *http.Request) bool {
	if r.ContentLength != 0 || r.Close || !r.ProtoAtLeast(1, 1) {
		return false
	}
	for name := range r.Header {
		if concernsConnection(name) {
			return false
		}
	}
	return p.routes.MayRunAhead(r.Host, r.URL.EscapedPath())
}

// headOf returns the head of a request without a body as a caller would send it.
func headOf(r *http.Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " " + r.Proto + "\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// concernsConnection reports whether a header, by its canonical name, concerns the connection
// or announces a body.
func concernsConnection(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Expect", "Http2-Settings", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
