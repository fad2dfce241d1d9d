// Package sweeper closes callers' connections that have been idle for longer than the
// idle timeout, and all idle ones when the process ends. A change of the timeout applies
// to open connections too. The timeout also limits a pause within a request's head.
//
// An idle connection is closed by the goroutine that reads it, after it has found no
// bytes: net/http reports a connection as idle until it has read a whole head, so closing
// it from outside would cut requests that are being read.
//
// # Usage
//
//	s := sweeper.New(idleTimeout, clock, log)
//	server := &http.Server{Handler: s.Handler(h), ConnState: s.Track, ConnContext: s.WithConn}
//	go server.Serve(s.Listen(listener))
//	go s.Serve(ctx)
//	gone := sweeper.CallerGone(request.Context())
//	open := s.Drain(shutdownCtx)
package sweeper

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/front/pipeliner"
)

const (
	// sweepInterval is the interval between checks of the idle connections. It is also
	// the longest delay after the idle timeout, which is a number of seconds, before a
	// connection is closed.
	sweepInterval = time.Second
	// hiddenCheckInterval is the interval between checks for callers whose close net/http
	// does not notice. Upstreams should stop within half a second after a caller has left.
	hiddenCheckInterval = 200 * time.Millisecond
)

type (
	// IdleTimeoutFunc returns the current idle timeout, 0 while it is unknown.
	IdleTimeoutFunc func() time.Duration

	// Counts are the numbers of connections since the process started: accepted, told to
	// close because they were idle, and kept although they were told to because a
	// request came in.
	Counts struct {
		Accepted int64
		Expired  int64
		Kept     int64
	}

	// Option configures a Sweeper.
	Option func(*Sweeper)

	// Sweeper tracks the connections of one listener.
	Sweeper struct {
		idleTimeout IdleTimeoutFunc
		account     *accountant.Accountant
		pipeliner   *pipeliner.Pipeliner
		clock       clockwork.Clock
		log         *slog.Logger

		mu    sync.Mutex
		conns map[*conn]struct{}
		// evicted are the connections that the account closes and that are still open. room has
		// a value when one of them has closed.
		evicted  map[*conn]struct{}
		room     chan struct{}
		counts   Counts
		cuts     map[CutCause]int64
		draining bool
		// hurried is whether connections close without waiting for their callers.
		hurried bool
		// drained is closed when no connection is left after Drain was called.
		drained chan struct{}
	}

	listener struct {
		net.Listener
		sweeper *Sweeper
	}

	connKey struct{}
)

// WithAccount enters the connections into an account, which refuses or closes some of them
// when they hold too much.
func WithAccount(a *accountant.Accountant) Option {
	return func(s *Sweeper) { s.account = a }
}

// WithPipeliner lets the connections read requests ahead.
func WithPipeliner(p *pipeliner.Pipeliner) Option {
	return func(s *Sweeper) { s.pipeliner = p }
}

// New returns a sweeper that tracks no connections yet.
func New(idleTimeout IdleTimeoutFunc, clock clockwork.Clock, log *slog.Logger, opts ...Option) *Sweeper {
	s := &Sweeper{idleTimeout: idleTimeout, clock: clock, log: log, conns: make(map[*conn]struct{}), evicted: make(map[*conn]struct{}), room: make(chan struct{}, 1), drained: make(chan struct{})}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Listen returns a listener whose connections s tracks. Track ignores all others.
func (s *Sweeper) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, sweeper: s}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.sweeper.awaitRoom()
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.sweeper.add(accepted); ok {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// Track records a connection's new state. Use it as http.Server's ConnState hook.
func (s *Sweeper) Track(tracked net.Conn, state http.ConnState) {
	c, ok := tracked.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setBusy()
		c.holder.Enter(s.clock.Now(), accountant.Running)
	case http.StateIdle:
		c.setIdle(s.clock.Now())
		c.releaseHead()
		if s.isDraining() {
			s.expire(func() bool { return c.expire(stateIdle) })
		}
	}
}

// Handler returns a handler that calls h. Only where it is used, a connection that ends after a
// response waits until the caller has received that.
func (s *Sweeper) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		// A handler that gives up panics.
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setHandled()
		}
	})
}

// WithConn returns a context from which CallerGone finds the connection. Use it as
// http.Server's ConnContext hook.
func (s *Sweeper) WithConn(ctx context.Context, accepted net.Conn) context.Context {
	c, ok := accepted.(*conn)
	if !ok {
		return ctx
	}
	ctx = context.WithValue(c.withCancel(ctx), connKey{}, c)
	ctx = accountant.WithHolder(ctx, c.holder)
	if c.ahead != nil {
		ctx = c.ahead.SetContext(ctx)
	}
	return ctx
}

// CallerGone returns a function that reports whether the caller of a request has closed
// its connection, from the request's context. It returns nil for a connection that no
// sweeper tracks.
func CallerGone(ctx context.Context) func() bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.peerClosed
}

// Counts returns the numbers of connections since the process started.
func (s *Sweeper) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Serve closes idle connections, and cancels the requests of callers that have left, until
// ctx is done.
func (s *Sweeper) Serve(ctx context.Context) error {
	sweeps, checks := s.clock.NewTicker(sweepInterval), s.clock.NewTicker(hiddenCheckInterval)
	defer sweeps.Stop()
	defer checks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweeps.Chan():
			s.sweep()
		case <-checks.Chan():
			s.cancelHidden()
		}
	}
}

// cancelHidden cancels the requests of callers that have left without net/http noticing it.
func (s *Sweeper) cancelHidden() {
	for _, c := range s.open() {
		if c.isHidden() && c.peerClosed() {
			c.cancelRequests()
		}
	}
}

// Drain closes all connections that are idle, or become so, and waits until none is left
// or ctx is done. Only then does it close those on which no request has come yet, since
// callers that have just connected are about to send one. It returns the number of those
// that are left with a request. The listener must be closed before.
func (s *Sweeper) Drain(ctx context.Context) int {
	s.mu.Lock()
	s.draining = true
	s.signalDrained()
	s.mu.Unlock()
	for _, c := range s.open() {
		s.expire(func() bool { return c.expire(stateIdle) })
	}
	select {
	case <-s.drained:
		return 0
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.hurried = true
	s.mu.Unlock()
	left := 0
	for _, c := range s.open() {
		if !c.isClosing() && !s.expire(func() bool { return c.expire(stateNew) }) {
			left++
		}
	}
	return left
}

// mayLinger reports whether a connection may wait for its caller before it closes.
func (s *Sweeper) mayLinger() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hurried
}

// sweep closes the connections that have been idle for longer than the timeout. It
// does nothing while the timeout is unknown.
func (s *Sweeper) sweep() {
	limit := s.idleTimeout()
	if limit <= 0 {
		return
	}
	now := s.clock.Now()
	count := 0
	for _, c := range s.open() {
		if s.expire(func() bool { return c.expireIdle(now, limit) }) {
			count++
		}
	}
	if count > 0 {
		s.log.Info("closing idle connections", "count", count, "limit", limit)
	}
}

// expire calls a function that makes a connection expire, and counts it if it does.
func (s *Sweeper) expire(expireConn func() bool) bool {
	if !expireConn() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Expired++
	return true
}

func (s *Sweeper) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// open returns the open connections.
func (s *Sweeper) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// add tracks a connection, or returns false if the account refuses it.
func (s *Sweeper) add(accepted net.Conn) (*conn, bool) {
	paced := &pacedConn{Conn: accepted, unread: func() { s.countUnread(accepted.RemoteAddr().String()) }}
	c := &conn{Conn: paced, accepted: paced, sweeper: s, state: stateNew}
	if s.pipeliner != nil {
		c.ahead = s.pipeliner.Wrap(paced)
		c.Conn = c.ahead
	}
	if s.account != nil {
		caller, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
		if err != nil {
			caller = accepted.RemoteAddr().String()
		}
		holder, ok := s.account.Open(caller, s.clock.Now(), func(e accountant.Eviction) {
			s.noteEvicted(c)
			go c.evict(e)
		})
		if !ok {
			s.log.Info("connection refused; too many are open, or the memory for callers is taken", "caller", caller)
			return nil, false
		}
		c.holder = holder
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.counts.Accepted++
	return c, true
}

func (s *Sweeper) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.signalDrained()
	}
}

func (s *Sweeper) countKept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Kept++
}

// signalDrained closes drained once no connection is left. The caller holds s.mu.
func (s *Sweeper) signalDrained() {
	if !s.draining || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}
