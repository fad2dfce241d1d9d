package sweeper_test

import (
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

const (
	// roomLimit is the limit on connections, and roomClosing how many more may be open because they
	// are being closed.
	roomLimit   = 4
	roomClosing = 4
	// roomCrowd is the number of callers that connect and send nothing.
	roomCrowd = 40
)

// acceptor accepts connections, and closes none by itself.
type acceptor struct {
	// failed has the connections on which a read has failed.
	failed chan net.Conn

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	total int
	most  int
}

func (a *acceptor) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.total++
		a.most = max(a.most, len(a.conns))
		a.mu.Unlock()
		go func() {
			_, _ = c.Read(make([]byte, 1))
			a.failed <- c
		}()
	}
}

// closeFailed closes a connection on which a read has failed, as its late reader does.
func (a *acceptor) closeFailed() {
	c := <-a.failed
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
	_ = c.Close()
}

func (a *acceptor) hasAccepted(n int) poll.Check {
	return func(poll.LogT) poll.Result {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.total >= n {
			return poll.Success()
		}
		return poll.Continue("%d accepted", a.total)
	}
}

// crowd connects callers to a listener whose connections have an account.
func crowd(t *testing.T) (*acceptor, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	account := accountant.New(accountant.Limits{Connections: roomLimit})
	s := sweeper.New(func() time.Duration { return time.Minute }, clock, slog.New(slog.DiscardHandler), sweeper.WithAccount(account))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := &acceptor{failed: make(chan net.Conn, roomCrowd), conns: make(map[net.Conn]struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.accept(s.Listen(ln))
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		// A wait for room ends.
		clock.Advance(time.Minute)
		<-done
		for c := range a.conns {
			_ = c.Close()
		}
	})
	for range roomCrowd {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
	return a, clock
}

// TestRoomIsThere guards against a rush of connections that are accepted in the place of
// others which are still open: together they take the descriptors that are left for upstreams.
func TestRoomIsThere(t *testing.T) {
	t.Parallel()
	a, _ := crowd(t)
	for closed := range roomCrowd - roomLimit - roomClosing {
		poll.WaitOn(t, a.hasAccepted(closed+roomLimit+roomClosing), poll.WithDelay(time.Millisecond))
		a.closeFailed()
	}
	poll.WaitOn(t, a.hasAccepted(roomCrowd))
	assert.Assert(t, a.most <= roomLimit+roomClosing+1, "%d are open", a.most)
}

// TestRoomIsNotAwaitedForever has connections that are being closed stay open.
func TestRoomIsNotAwaitedForever(t *testing.T) {
	t.Parallel()
	a, clock := crowd(t)
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		return a.hasAccepted(roomCrowd)(l)
	}, poll.WithDelay(time.Millisecond))
}
