package sweeper_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

// start returns a running sweeper and what sets its limit.
func start(t *testing.T) (*sweeper.Sweeper, *clockwork.FakeClock, *atomic.Int64) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	limit := &atomic.Int64{}
	s := sweeper.New(func() time.Duration { return time.Duration(limit.Load()) }, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	return s, clock, limit
}

// connect returns both ends of a connection that is tracked in a state.
func connect(t *testing.T, s *sweeper.Sweeper, state http.ConnState) (caller net.Conn) {
	t.Helper()
	caller, own := net.Pipe()
	t.Cleanup(func() {
		_ = caller.Close()
		_ = own.Close()
	})
	s.Track(own, state)
	return caller
}

// closed waits for the end of a connection.
func closed(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// TestLimitInForce closes what is idle for longer than the limit, and nothing that
// is in use or newly idle.
func TestLimitInForce(t *testing.T) {
	t.Parallel()
	s, clock, limit := start(t)
	limit.Store(int64(10 * time.Second))
	idle, busy := connect(t, s, http.StateIdle), connect(t, s, http.StateActive)
	clock.Advance(10 * time.Second)
	fresh := connect(t, s, http.StateIdle)
	clock.Advance(time.Second)
	closed(t, idle)
	for _, conn := range []net.Conn{busy, fresh} {
		assert.NilError(t, conn.SetReadDeadline(time.Now()))
		_, err := conn.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "timeout")
	}
}

// TestLimitChanges has a lower limit count for connections that are idle already,
// and none as long as no limit is known.
func TestLimitChanges(t *testing.T) {
	t.Parallel()
	s, clock, limit := start(t)
	idle := connect(t, s, http.StateIdle)
	clock.Advance(time.Hour)
	assert.NilError(t, idle.SetReadDeadline(time.Now()))
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
	limit.Store(int64(time.Minute))
	clock.Advance(time.Second)
	closed(t, idle)
}
