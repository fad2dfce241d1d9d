package exchanger_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// crash ends all connections, and with refuse also the listener, as a process that ends does.
func (u *rawUpstream) crash(refuse bool) {
	if refuse {
		_ = u.listener.Close()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.openConns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// newLossCounter returns an exchanger and the number of losses that it reported.
func newLossCounter(t *testing.T) (*exchanger.Exchanger, *atomic.Int32, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Now())
	x, cleanup := exchanger.New(clock)
	t.Cleanup(cleanup)
	var lost atomic.Int32
	x.OnLost(func(cataloger.Target) { lost.Add(1) })
	return x, &lost, clock
}

// openIdle opens a number of connections to an upstream that are idle afterwards.
func openIdle(t *testing.T, x *exchanger.Exchanger, u *rawUpstream, n int) {
	t.Helper()
	for range n {
		_, err := x.Preconnect(t.Context(), u.target())
		assert.NilError(t, err)
	}
	_, err := x.Exchange(t.Context(), u.target(), request("warm"))
	assert.NilError(t, err)
}

// A process that ends while its connections are idle is noticed by the next request, before
// anything is sent to the next process at its address.
func TestRestartUnnoticed(t *testing.T) {
	t.Parallel()
	for name, refuse := range map[string]bool{"refuses connections": true, "accepts connections again": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, completeResponse)
			x, lost, _ := newLossCounter(t)
			openIdle(t, x, u, 3)
			u.crash(refuse)
			r := request("a1")
			r.Usable = func() bool {
				assert.Equal(t, lost.Load(), int32(1))
				return true
			}
			_, err := x.Exchange(t.Context(), u.target(), r)
			assert.Equal(t, errors.Is(err, exchanger.ErrNotSent), refuse, "%v", err)
			assert.Assert(t, lost.Load() >= 1)
		})
	}
}

// A process that ends with all its connections in use is noticed when the last of them breaks.
func TestRestartUnnoticedByBusyConnections(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, stayQuiet)
	x, lost, _ := newLossCounter(t)
	done := make(chan error, 2)
	for _, id := range []string{"a1", "a2"} {
		go func() {
			_, err := x.Exchange(t.Context(), u.target(), request(id))
			done <- err
		}()
	}
	waitSeen(t, u, 2)
	u.crash(false)
	assert.ErrorContains(t, <-done, "reading an answer")
	assert.ErrorContains(t, <-done, "reading an answer")
	assert.Assert(t, lost.Load() >= 1)
}

// An upstream to which this VM has no connection is lost when its host refuses one.
func TestRefusedConnectionUnnoticed(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse)
	u.crash(true)
	x, lost, _ := newLossCounter(t)
	_, err := x.Exchange(t.Context(), u.target(), request("a1"))
	assert.Assert(t, errors.Is(err, exchanger.ErrNotSent), "%v", err)
	assert.Equal(t, lost.Load(), int32(1))
}

// A process that ends while a long body is streamed is noticed by its reader.
func TestRestartUnnoticedWhileStreaming(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 300<<10)+stayQuiet)
	x, lost, _ := newLossCounter(t)
	response, err := x.Exchange(t.Context(), u.target(), request("a1"))
	assert.NilError(t, err)
	u.crash(false)
	_, err = io.Copy(io.Discard, response.Rest)
	assert.Assert(t, err != nil)
	assert.NilError(t, response.Rest.Close())
	assert.Equal(t, lost.Load(), int32(1))
}

// While another connection is in use, one that breaks shows nothing.
func TestBusyUpstreamLost(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, stayQuiet)
	x, lost, _ := newLossCounter(t)
	done := make(chan error, 2)
	for _, id := range []string{"a1", "a2"} {
		go func() {
			_, err := x.Exchange(t.Context(), u.target(), request(id))
			done <- err
		}()
	}
	waitSeen(t, u, 2)
	u.mu.Lock()
	assert.NilError(t, u.openConns[0].Close())
	u.mu.Unlock()
	assert.ErrorContains(t, <-done, "reading an answer")
	assert.Equal(t, lost.Load(), int32(0))
	u.crash(false)
	assert.ErrorContains(t, <-done, "reading an answer")
	assert.Equal(t, lost.Load(), int32(1))
}

// An upstream whose process goes on must not be taken for one that may have started again.
func TestRunningUpstreamLost(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		response string
		after    time.Duration
		event    func(t *testing.T, x *exchanger.Exchanger, u *rawUpstream)
	}{
		{"one of its connections breaks", completeResponse, 0, func(_ *testing.T, _ *exchanger.Exchanger, u *rawUpstream) {
			u.mu.Lock()
			defer u.mu.Unlock()
			_ = u.openConns[0].Close()
		}},
		{"it closes connections after its responses", withHeader("Connection: close"), 0, func(*testing.T, *exchanger.Exchanger, *rawUpstream) {}},
		{"it closes idle connections without having stated a timeout", completeResponse, 0, closeAll},
		{"it closes idle connections at the timeout that it stated", withHeader("Keep-Alive: timeout=3"), 3 * time.Second, closeAll},
		{"this VM closed its connections", completeResponse, 0, func(_ *testing.T, x *exchanger.Exchanger, _ *rawUpstream) {
			x.CloseIdleExcept(nil)
		}},
		{"a caller leaves", completeResponse, 0, func(t *testing.T, x *exchanger.Exchanger, u *rawUpstream) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := x.Exchange(ctx, u.target(), request("gone"))
			assert.Assert(t, err != nil)
		}},
		{"bytes arrive on an idle connection", completeResponse, 0, func(t *testing.T, _ *exchanger.Exchanger, u *rawUpstream) {
			u.mu.Lock()
			defer u.mu.Unlock()
			for _, c := range u.openConns {
				_, err := c.Write([]byte("x"))
				assert.NilError(t, err)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, tc.response)
			x, lost, clock := newLossCounter(t)
			openIdle(t, x, u, 3)
			clock.Advance(tc.after)
			tc.event(t, x, u)
			for range 4 {
				_, err := x.Exchange(t.Context(), u.target(), request("a1"))
				assert.NilError(t, err)
			}
			assert.Equal(t, lost.Load(), int32(0))
		})
	}
}

// An upstream that closes its connections in order, before the idle timeout that it stated, has
// ended.
func TestRestartUnnoticedAfterOrderlyEnd(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, withHeader("Keep-Alive: timeout=60"))
	x, lost, _ := newLossCounter(t)
	openIdle(t, x, u, 1)
	closeAll(t, x, u)
	_, err := x.Exchange(t.Context(), u.target(), request("a1"))
	assert.NilError(t, err)
	assert.Equal(t, lost.Load(), int32(1))
}

// closeAll ends all connections in order.
func closeAll(t *testing.T, _ *exchanger.Exchanger, u *rawUpstream) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.openConns {
		// Connections that were closed already stay so.
		_ = c.Close()
	}
}

// withHeader returns completeResponse with another header line.
func withHeader(line string) string {
	return strings.Replace(completeResponse, "\r\n", "\r\n"+line+"\r\n", 1)
}

// A deadline that passes shows that the upstream is slow, not that its process has ended.
func TestSlowUpstreamLost(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, stayQuiet)
	x, lost, _ := newLossCounter(t)
	r := request("a1")
	r.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err := x.Exchange(t.Context(), u.target(), r)
	assert.ErrorContains(t, err, "timeout")
	assert.Equal(t, lost.Load(), int32(0))
}

// waitSeen waits until an upstream has received a number of requests.
func waitSeen(t *testing.T, u *rawUpstream, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, attemptIDs := u.seen(); len(attemptIDs) < n {
			return poll.Continue("%d requests", len(attemptIDs))
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}
