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

// start returns a running sweeper, its clock and its idle timeout in ns.
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

// newConn returns the caller's end of a connection that s tracks in the given state.
func newConn(t *testing.T, s *sweeper.Sweeper, state http.ConnState) (caller net.Conn) {
	t.Helper()
	caller, own := net.Pipe()
	t.Cleanup(func() {
		_ = caller.Close()
		_ = own.Close()
	})
	s.Track(own, state)
	return caller
}

// waitClosed waits until the other end of a connection is closed.
func waitClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// TestIdleTimeout checks that connections idle for longer than the timeout are
// closed, and that active and newly idle ones stay open.
func TestIdleTimeout(t *testing.T) {
	t.Parallel()
	s, clock, limit := start(t)
	limit.Store(int64(10 * time.Second))
	idle, busy := newConn(t, s, http.StateIdle), newConn(t, s, http.StateActive)
	clock.Advance(10 * time.Second)
	fresh := newConn(t, s, http.StateIdle)
	clock.Advance(time.Second)
	waitClosed(t, idle)
	for _, conn := range []net.Conn{busy, fresh} {
		assert.NilError(t, conn.SetReadDeadline(time.Now()))
		_, err := conn.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "timeout")
	}
}

// TestIdleTimeoutChange checks that no connection is closed while the timeout is
// unknown, and that a timeout set later applies to connections already idle.
func TestIdleTimeoutChange(t *testing.T) {
	t.Parallel()
	s, clock, limit := start(t)
	idle := newConn(t, s, http.StateIdle)
	clock.Advance(time.Hour)
	assert.NilError(t, idle.SetReadDeadline(time.Now()))
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
	limit.Store(int64(time.Minute))
	clock.Advance(time.Second)
	waitClosed(t, idle)
}
