package exchanger_test

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// startNext starts the next process of an upstream at its address.
func (u *rawUpstream) startNext(t *testing.T, responses ...string) {
	t.Helper()
	assert.NilError(t, u.listener.Close())
	ln, err := net.Listen("tcp", u.listener.Addr().String())
	assert.NilError(t, err)
	next := &rawUpstream{listener: ln, responses: responses}
	next.done.Go(next.accept)
	t.Cleanup(func() {
		next.crash(true)
		next.done.Wait()
	})
}

// A process that falls silent is noticed when the last connection to it breaks, also if one to
// the next process was opened before.
func TestRestartHiddenByNewConnection(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, stayQuiet)
	x, lost, _ := newLossCounter(t)
	done := make(chan error, 1)
	go func() {
		_, err := x.Exchange(t.Context(), u.target(), request("a1"))
		done <- err
	}()
	waitSeen(t, u, 1)
	u.startNext(t, completeResponse)
	_, err := x.Exchange(t.Context(), u.target(), request("a2"))
	assert.NilError(t, err)
	u.crash(false)
	assert.ErrorContains(t, <-done, "reading an answer")
	assert.Assert(t, lost.Load() >= 1)
}

// A process that ends while its connections are idle is noticed, also if no request is sent
// until their idle timeout has passed.
func TestRestartUnnoticedAfterIdleTimeout(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse)
	clock := clockwork.NewFakeClock()
	x, cleanup := exchanger.New(clock)
	t.Cleanup(cleanup)
	lost := make(chan bool, 9)
	x.OnLost(func(cataloger.Target) { lost <- true })
	openIdle(t, x, u, 2)
	u.crash(false)
	clock.Advance(time.Minute)
	r := request("a1")
	r.Usable = func() bool {
		assert.Assert(t, len(lost) >= 1)
		return true
	}
	_, err := x.Exchange(t.Context(), u.target(), r)
	assert.NilError(t, err)
}

// An upstream that closes an unused connection at its own idle timeout still runs.
func TestIdleTimeoutOfProbeLost(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nAttempt: ID\r\nContent-Length: 2\r\n\r\nok")
	clock := clockwork.NewFakeClock()
	x, cleanup := exchanger.New(clock)
	t.Cleanup(cleanup)
	lost := make(chan bool, 9)
	x.OnLost(func(cataloger.Target) { lost <- true })
	openIdle(t, x, u, 1)
	clock.Advance(time.Second)
	_, err := x.Preconnect(t.Context(), u.target())
	assert.NilError(t, err)
	clock.Advance(2 * time.Second)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if conns, _ := u.seen(); conns < 2 {
			return poll.Continue("not accepted")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	u.mu.Lock()
	for _, c := range u.openConns {
		_ = c.Close()
	}
	u.mu.Unlock()
	_, err = x.Exchange(t.Context(), u.target(), request("a2"))
	assert.NilError(t, err)
	assert.Equal(t, len(lost), 0)
}
