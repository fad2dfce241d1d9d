// Package sweeper closes callers' connections that have been idle for longer than
// the limit in force, which may change while they are open.
//
// # Usage
//
//	s := sweeper.New(limit, clock, log)
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

// sweepEvery is how often idle connections are looked at. A connection is closed by
// that much later than the limit, which is in seconds.
const sweepEvery = time.Second

type (
	// IdleTimeoutFunc returns how long a connection may be idle, 0 while that is not known.
	IdleTimeoutFunc func() time.Duration

	// Sweeper knows the idle connections of one listener.
	Sweeper struct {
		limit IdleTimeoutFunc
		clock clockwork.Clock
		log   *slog.Logger

		mu   sync.Mutex
		idle map[net.Conn]time.Time
	}
)

// New returns a sweeper that knows no connection.
func New(limit IdleTimeoutFunc, clock clockwork.Clock, log *slog.Logger) *Sweeper {
	return &Sweeper{limit: limit, clock: clock, log: log, idle: make(map[net.Conn]time.Time)}
}

// Track takes the new state of a connection.
func (s *Sweeper) Track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[conn] = s.clock.Now()
		return
	}
	delete(s.idle, conn)
}

// Serve closes connections until ctx ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	ticker := s.clock.NewTicker(sweepEvery)
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

func (s *Sweeper) sweep() {
	limit := s.limit()
	if limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	closed := 0
	for conn, since := range s.idle {
		if now.Sub(since) <= limit {
			continue
		}
		// The caller sees the end of a connection that it had not used for too long.
		_ = conn.Close()
		delete(s.idle, conn)
		closed++
	}
	if closed > 0 {
		s.log.Debug("idle connections closed", "count", closed, "limit", limit)
	}
}
