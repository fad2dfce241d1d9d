package sweeper_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

// serveWith starts a server with its own handler behind a sweeper.
func serveWith(t *testing.T, s *sweeper.Sweeper, handler http.HandlerFunc) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: s.Handler(handler), ConnState: s.Track, ConnContext: s.WithConn, ReadHeaderTimeout: 200 * time.Millisecond}
	go func() { _ = server.Serve(s.Listen(ln)) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln
}

// sendPipelined sends two requests at once to a server behind a sweeper. The first channel is
// closed when the second request is handled, the other says whether it was canceled.
func sendPipelined(t *testing.T, s *sweeper.Sweeper) (inSecond chan struct{}, canceled chan bool, ln net.Listener) {
	t.Helper()
	inSecond, canceled = make(chan struct{}), make(chan bool, 1)
	ln = serveWith(t, s, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/second" {
			return
		}
		close(inSecond)
		select {
		case <-r.Context().Done():
			canceled <- true
		case <-time.After(500 * time.Millisecond):
			canceled <- false
		}
	})
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	send(t, conn, wholeRequest+"GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	return inSecond, canceled, ln
}

// TestSweepDuringPipelinedRequest guards against a sweep that cancels a request which was
// read together with the one before it.
func TestSweepDuringPipelinedRequest(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	s := sweeper.New(func() time.Duration { return 10 * time.Second }, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = s.Serve(ctx) }()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	inSecond, canceled, _ := sendPipelined(t, s)
	<-inSecond
	clock.Advance(11 * time.Second)
	assert.Assert(t, !<-canceled, "the request's context was canceled although its caller is there")
}

// TestDrainDuringPipelinedRequest guards against a planned stop that cancels a request
// which was read together with the one before it.
func TestDrainDuringPipelinedRequest(t *testing.T) {
	t.Parallel()
	s := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	inSecond, canceled, ln := sendPipelined(t, s)
	<-inSecond
	assert.NilError(t, ln.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go s.Drain(ctx)
	assert.Assert(t, !<-canceled, "the request's context was canceled although its caller is there")
}

// TestSweepAfterStrayBytes guards against a connection that stays open for ever because a
// few bytes, too few to start the timeout of a head, followed a request.
func TestSweepAfterStrayBytes(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	s := sweeper.New(func() time.Duration { return 10 * time.Second }, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = s.Serve(ctx) }()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	ln := serveWith(t, s, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(3*time.Second)))
	send(t, conn, wholeRequest)
	waitAnswer(t, conn)
	send(t, conn, "\r\n")
	time.Sleep(100 * time.Millisecond)
	for range 3 {
		clock.Advance(time.Hour)
		time.Sleep(100 * time.Millisecond)
	}
	waitClosed(t, conn)
}

// TestCallerLeavesBehindUnreadBytes guards against a caller that leaves and is not noticed
// because bytes that follow its request wait in the socket.
func TestCallerLeavesBehindUnreadBytes(t *testing.T) {
	t.Parallel()
	for _, abort := range []bool{false, true} {
		t.Run(fmt.Sprintf("abort=%t", abort), func(t *testing.T) {
			t.Parallel()
			f := start(t)
			f.blocking.Store(true)
			defer close(f.release)
			conn := f.connect(t)
			send(t, conn, wholeRequest)
			f.waitHandled(t, 1)
			gone := *f.callerGone.Load()
			reads := f.reads.Load()
			send(t, conn, wholeRequest)
			// net/http reads one byte, and leaves the others.
			f.waitRead(t, reads+1)
			assert.Assert(t, !gone())
			if abort {
				assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
			}
			assert.NilError(t, conn.Close())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if gone() {
					return poll.Success()
				}
				return poll.Continue("the caller counts as there")
			}, poll.WithDelay(time.Millisecond), poll.WithTimeout(2*time.Second))
		})
	}
}

// pausingClock calls a function at each call of Now.
type pausingClock struct {
	clockwork.Clock
	once sync.Once
	now  func()
}

// Now implements clockwork.Clock.
func (c *pausingClock) Now() time.Time {
	c.once.Do(c.now)
	return c.Clock.Now()
}

// TestDrainAsConnectionBecomesIdle guards against a connection that becomes idle while the
// drain begins, and is left open until the drain's end.
func TestDrainAsConnectionBecomesIdle(t *testing.T) {
	t.Parallel()
	var s *sweeper.Sweeper
	var ln net.Listener
	clock := &pausingClock{Clock: clockwork.NewRealClock(), now: func() {
		_ = ln.Close()
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		s.Drain(expired)
	}}
	s = sweeper.New(func() time.Duration { return 0 }, clock, slog.New(slog.DiscardHandler))
	ln = serveWith(t, s, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
	send(t, conn, wholeRequest)
	waitAnswer(t, conn)
	waitClosed(t, conn)
}

// TestWorkForCallerThatLeftBehindFurtherBytes guards against a request that goes on after its
// caller has left, because bytes that follow it keep net/http from noticing the close.
func TestWorkForCallerThatLeftBehindFurtherBytes(t *testing.T) {
	t.Parallel()
	s := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = s.Serve(ctx) }()
	started, canceled := make(chan struct{}, 2), make(chan bool, 1)
	ln := serveWith(t, s, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		select {
		case <-r.Context().Done():
			canceled <- true
		case <-time.After(5 * time.Second):
			canceled <- false
		}
	})
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	send(t, conn, wholeRequest)
	<-started
	send(t, conn, wholeRequest)
	assert.NilError(t, conn.Close())
	assert.Assert(t, <-canceled)
}
