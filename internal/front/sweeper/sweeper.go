// Package sweeper closes callers' connections that have been idle for longer than the
// idle timeout. A change of the timeout applies to open connections too.
//
// # Usage
//
//	s := sweeper.New(idleTimeout, clock, log)
//	server := &http.Server{ConnState: s.Track}
//	go s.Serve(ctx)
package sweeper

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// sweepInterval is the interval between checks of the idle connections. It is also
// the longest delay after the idle timeout, which is a number of seconds, before a
// connection is closed.
const sweepInterval = time.Second

type (
	// IdleTimeoutFunc returns the current idle timeout, 0 while it is unknown.
	IdleTimeoutFunc func() time.Duration

	// Sweeper tracks the idle connections of one listener.
	Sweeper struct {
		idleTimeout IdleTimeoutFunc
		clock       clockwork.Clock
		log         *slog.Logger

		mu        sync.Mutex
		idleSince map[net.Conn]time.Time
	}
)

// New returns a sweeper that tracks no connections yet.
func New(idleTimeout IdleTimeoutFunc, clock clockwork.Clock, log *slog.Logger) *Sweeper {
	return &Sweeper{idleTimeout: idleTimeout, clock: clock, log: log, idleSince: make(map[net.Conn]time.Time)}
}

// Track records a connection's new state. Use it as http.Server's ConnState hook.
func (s *Sweeper) Track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idleSince[conn] = s.clock.Now()
		return
	}
	delete(s.idleSince, conn)
}

// Serve closes idle connections until ctx is done.
func (s *Sweeper) Serve(ctx context.Context) error {
	ticker := s.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			s.sweep()
		}
	}
}

// sweep closes the connections that have been idle for longer than the timeout. It
// does nothing while the timeout is unknown.
func (s *Sweeper) sweep() {
	limit := s.idleTimeout()
	if limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	closed := 0
	for conn, since := range s.idleSince {
		if now.Sub(since) <= limit {
			continue
		}
		// The caller sees EOF on a connection that it left idle for too long.
		_ = conn.Close()
		delete(s.idleSince, conn)
		closed++
	}
	if closed > 0 {
		s.log.Debug("idle connections closed", "count", closed, "limit", limit)
	}
}
