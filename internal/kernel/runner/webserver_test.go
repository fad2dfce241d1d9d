package runner

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestRequestHeadDuringStop guards against a planned stop that closes a connection on
// which a request has begun to arrive, or waits to be read, without an answer.
func TestRequestHeadDuringStop(t *testing.T) {
	t.Parallel()
	var refusing atomic.Bool
	var idle atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if refusing.Load() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	log := slog.New(slog.DiscardHandler)
	sweep := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), log)
	track := func(conn net.Conn, state http.ConnState) {
		sweep.Track(conn, state)
		if state == http.StateIdle {
			idle.Add(1)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &webServer{
		server:   &http.Server{Handler: handler, ConnState: track},
		listener: listener, sweeper: sweep, beginStop: func() { refusing.Store(true) }, shutdownTimeout: lasting(10 * time.Second),
		clock: clockwork.NewRealClock(), log: log,
	}
	conn, stop, done := serve(t, s)
	assert.Equal(t, requestStatus(t, conn, wholeRequest), http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if idle.Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("not idle")
	}, poll.WithDelay(time.Millisecond))
	_, err = conn.Write([]byte(wholeRequest[:10]))
	assert.NilError(t, err)
	stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if refusing.Load() {
			return poll.Success()
		}
		return poll.Continue("not stopping")
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, requestStatus(t, conn, wholeRequest[10:]), http.StatusServiceUnavailable)
	assert.NilError(t, <-done)
}

// lasting returns a function that returns a timeout.
func lasting(timeout time.Duration) func() time.Duration {
	return func() time.Duration { return timeout }
}

// serve runs a server, and returns a connection to it, a function that stops it and a channel
// with its result.
func serve(t *testing.T, s *webServer) (conn net.Conn, stop context.CancelFunc, done <-chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- s.Serve(ctx) }()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn, cancel, result
}

// requestStatus sends the rest of a request and returns the status of its answer.
func requestStatus(t *testing.T, conn net.Conn, text string) int {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// TestAnswerDuringStopEndsConnection guards against an answer given while the server ends
// that does not tell the caller that its connection is closed.
func TestAnswerDuringStopEndsConnection(t *testing.T) {
	t.Parallel()
	started, release := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})
	log := slog.New(slog.DiscardHandler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stopping := make(chan struct{})
	s := newWebServer(&http.Server{Handler: handler}, listener, lasting(10*time.Second), clockwork.NewRealClock(), log)
	beginStop := s.beginStop
	s.beginStop = func() {
		beginStop()
		close(stopping)
	}
	conn, stop, done := serve(t, s)
	_, err = conn.Write([]byte(wholeRequest))
	assert.NilError(t, err)
	<-started
	stop()
	<-stopping
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, resp.Close, "the answer does not say that the connection ends")
	assert.NilError(t, <-done)
}

// TestLookupHeadDuringStop guards against a planned stop that closes a connection of the
// look-up directory, the readiness check or the metrics on which a request's head is
// arriving.
func TestLookupHeadDuringStop(t *testing.T) {
	t.Parallel()
	idle := make(chan struct{}, 2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	s := newWebServer(&http.Server{Handler: handler}, listener, lasting(5*time.Second), clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	track := s.server.ConnState
	s.server.ConnState = func(conn net.Conn, state http.ConnState) {
		track(conn, state)
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}
	conn, stop, done := serve(t, s)
	assert.Equal(t, requestStatus(t, conn, wholeRequest), http.StatusOK)
	<-idle
	_, err = conn.Write([]byte(wholeRequest[:10]))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	stop()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, requestStatus(t, conn, wholeRequest[10:]), http.StatusOK)
	assert.NilError(t, <-done)
}

// gatedListener accepts nothing until its gate is closed.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// frozenClock always shows the same time, so that no limit on a wait passes.
type frozenClock struct {
	clockwork.Clock
	now time.Time
}

// Now implements clockwork.Clock.
func (c frozenClock) Now() time.Time {
	return c.now
}

// TestStopBeforeAccept guards against a planned stop that resets connections which the
// kernel has taken and the server has not accepted yet, with the requests on them.
func TestStopBeforeAccept(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gated := gatedListener{TCPListener: listener.(*net.TCPListener), gate: make(chan struct{})}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	clock := frozenClock{Clock: clockwork.NewRealClock(), now: time.Now()}
	s := newWebServer(&http.Server{Handler: handler}, gated, lasting(10*time.Second), clock, slog.New(slog.DiscardHandler))
	s.beginStop = func() {
		time.AfterFunc(20*time.Millisecond, func() { close(gated.gate) })
	}
	conn, stop, done := serve(t, s)
	_, err = conn.Write([]byte(wholeRequest))
	assert.NilError(t, err)
	stop()
	assert.Equal(t, requestStatus(t, conn, ""), http.StatusOK)
	assert.NilError(t, <-done)
}
