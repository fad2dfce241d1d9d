package sweeper_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// fixture is an HTTP server whose connections a sweeper tracks.
type fixture struct {
	sweeper *sweeper.Sweeper
	clock   *clockwork.FakeClock
	// limit is the idle timeout in ns.
	limit    atomic.Int64
	listener net.Listener
	server   *http.Server
	handled  atomic.Int64
	// blocking makes the handler wait for release.
	blocking atomic.Bool
	release  chan struct{}
	idle     atomic.Int64
	// canceled counts the requests whose context ended before their response.
	canceled atomic.Int64
	// reads counts the reads that returned bytes.
	reads atomic.Int64
	// callerGone is of the request that was handled last.
	callerGone atomic.Pointer[func() bool]
}

// readCounter counts the reads on accepted connections that return bytes.
type readCounter struct {
	net.Listener
	reads *atomic.Int64
}

type countedConn struct {
	*net.TCPConn
	reads *atomic.Int64
}

// Accept implements net.Listener.
func (r readCounter) Accept() (net.Conn, error) {
	conn, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{TCPConn: conn.(*net.TCPConn), reads: r.reads}, nil
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

func start(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClock(), release: make(chan struct{})}
	f.sweeper = sweeper.New(func() time.Duration { return time.Duration(f.limit.Load()) }, f.clock, slog.New(slog.DiscardHandler))
	var err error
	f.listener, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	track := func(conn net.Conn, state http.ConnState) {
		f.sweeper.Track(conn, state)
		if state == http.StateIdle {
			f.idle.Add(1)
		}
	}
	f.server = &http.Server{Handler: f.sweeper.Handler(f), ConnState: track, ConnContext: f.sweeper.WithConn, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.sweeper.Serve(ctx) }()
	go func() { _ = f.server.Serve(f.sweeper.Listen(readCounter{f.listener, &f.reads})) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		_ = f.server.Close()
	})
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 2))
	return f
}

// ServeHTTP implements http.Handler.
func (f *fixture) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	gone := sweeper.CallerGone(r.Context())
	f.callerGone.Store(&gone)
	f.handled.Add(1)
	if f.blocking.Load() {
		<-f.release
	}
	if r.Context().Err() != nil {
		f.canceled.Add(1)
	}
}

// connect returns a connection on which nothing was sent yet.
func (f *fixture) connect(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

// connectIdle returns a connection that is idle after a first request.
func (f *fixture) connectIdle(t *testing.T) net.Conn {
	t.Helper()
	before := f.idle.Load()
	conn := f.connect(t)
	send(t, conn, wholeRequest)
	waitAnswer(t, conn)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.idle.Load() > before {
			return poll.Success()
		}
		return poll.Continue("not idle")
	}, poll.WithDelay(time.Millisecond))
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
}

func answer(conn net.Conn) error {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		err = resp.Body.Close()
	}
	return err
}

func waitAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, answer(conn))
}

// waitClosed waits until the other end of a connection is closed.
func waitClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// TestIdleTimeout checks that connections idle for longer than the timeout are
// closed, and that new, active and newly idle ones stay open.
func TestIdleTimeout(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.limit.Store(int64(10 * time.Second))
	unused, idle, busy := f.connect(t), f.connectIdle(t), f.connectIdle(t)
	f.blocking.Store(true)
	send(t, busy, wholeRequest)
	f.waitHandled(t, 3)
	f.clock.Advance(10 * time.Second)
	f.blocking.Store(false)
	close(f.release)
	fresh := f.connectIdle(t)
	f.clock.Advance(time.Second)
	waitClosed(t, idle)
	waitAnswer(t, busy)
	for _, conn := range []net.Conn{busy, fresh, unused} {
		send(t, conn, wholeRequest)
		waitAnswer(t, conn)
	}
	assert.Equal(t, f.canceled.Load(), int64(0))
}

func (f *fixture) waitHandled(t *testing.T, count int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.handled.Load() >= count {
			return poll.Success()
		}
		return poll.Continue("%d requests handled", f.handled.Load())
	}, poll.WithDelay(time.Millisecond))
}

// TestIdleTimeoutChange checks that no connection is closed while the timeout is
// unknown, and that a timeout set later applies to connections already idle.
func TestIdleTimeoutChange(t *testing.T) {
	t.Parallel()
	f := start(t)
	idle := f.connectIdle(t)
	f.clock.Advance(time.Hour)
	assert.NilError(t, idle.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
	assert.NilError(t, idle.SetReadDeadline(time.Now().Add(10*time.Second)))
	f.limit.Store(int64(time.Minute))
	f.clock.Advance(time.Second)
	waitClosed(t, idle)
}

// TestSweepDuringRequestHead guards against the closing of a connection on which the first
// part of a request's head has been read, which net/http still reports as idle.
func TestSweepDuringRequestHead(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.limit.Store(int64(time.Minute))
	conn, other := f.connectIdle(t), f.connectIdle(t)
	f.clock.Advance(time.Minute)
	send(t, conn, wholeRequest[:10])
	f.waitRead(t, 3)
	f.clock.Advance(time.Second)
	waitClosed(t, other)
	send(t, conn, wholeRequest[10:])
	waitAnswer(t, conn)
}

// waitRead waits until bytes have been read on connections the given number of times.
func (f *fixture) waitRead(t *testing.T, count int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.reads.Load() >= count {
			return poll.Success()
		}
		return poll.Continue("%d reads", f.reads.Load())
	}, poll.WithDelay(time.Millisecond))
}

// TestSweepBeforeUnreadRequest guards against the closing of a connection on which a
// request has arrived that the VM has not had the time to read.
func TestSweepBeforeUnreadRequest(t *testing.T) {
	t.Parallel()
	f := start(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	caller, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	own, err := f.sweeper.Listen(ln).Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = own.Close() })
	f.sweeper.Track(own, http.StateIdle)
	f.limit.Store(int64(time.Minute))
	send(t, caller, "GE")
	f.clock.Advance(time.Hour)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.sweeper.Counts().Expired > 0 {
			return poll.Success()
		}
		return poll.Continue("not expired")
	}, poll.WithDelay(time.Millisecond))
	buf := make([]byte, 10)
	n, err := own.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "GE")
	send(t, caller, "T /")
	n, err = own.Read(buf)
	assert.NilError(t, err, "the read deadline must be cleared")
	assert.Equal(t, string(buf[:n]), "T /")
	assert.Equal(t, f.sweeper.Counts().Kept, int64(1))
}

// TestRequestsDuringSweep guards against requests that run and get no answer because the
// sweep closes their connection: many are due at once after the timeout is lowered.
func TestRequestsDuringSweep(t *testing.T) {
	t.Parallel()
	f := start(t)
	answered := atomic.Int64{}
	for range 5 {
		f.limit.Store(0)
		var conns []net.Conn
		for range 50 {
			conns = append(conns, f.connectIdle(t))
			answered.Add(1)
		}
		f.limit.Store(int64(time.Millisecond))
		var wg sync.WaitGroup
		for _, conn := range conns {
			wg.Go(func() {
				_, _ = conn.Write([]byte(wholeRequest))
				if answer(conn) == nil {
					answered.Add(1)
				}
				_ = conn.Close()
			})
		}
		f.clock.Advance(time.Second)
		wg.Wait()
	}
	assert.Equal(t, answered.Load(), f.handled.Load())
}

// TestDrain checks that a planned stop closes connections without a request, answers the
// requests that have begun, and reports those that do not end in time.
func TestDrain(t *testing.T) {
	t.Parallel()
	f := start(t)
	unused, idle, partial, busy := f.connect(t), f.connectIdle(t), f.connectIdle(t), f.connectIdle(t)
	f.waitAccepted(t, 4)
	reads := f.reads.Load()
	send(t, partial, wholeRequest[:10])
	f.waitRead(t, reads+1)
	f.blocking.Store(true)
	send(t, busy, wholeRequest)
	f.waitHandled(t, 4)
	assert.NilError(t, f.listener.Close())
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, f.sweeper.Drain(canceled) >= 2)
	waitClosed(t, unused)
	waitClosed(t, idle)
	close(f.release)
	send(t, partial, wholeRequest[10:])
	waitAnswer(t, partial)
	waitAnswer(t, busy)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.Equal(t, f.sweeper.Drain(ctx), 0)
	assert.Equal(t, f.canceled.Load(), int64(0))
}

func (f *fixture) waitAccepted(t *testing.T, count int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.sweeper.Counts().Accepted >= count {
			return poll.Success()
		}
		return poll.Continue("not accepted")
	}, poll.WithDelay(time.Millisecond))
}

// TestCallerGone checks that a caller's close is noticed while its request is handled, also
// behind bytes that follow the request, after which net/http reads no further.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		text string
		// abort makes the caller reset the connection.
		abort bool
	}{
		{"close", wholeRequest, false},
		{"close behind further bytes", wholeRequest + wholeRequest + wholeRequest, false},
		{"reset", wholeRequest, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := start(t)
			f.blocking.Store(true)
			defer close(f.release)
			conn := f.connect(t)
			send(t, conn, tc.text)
			f.waitHandled(t, 1)
			gone := *f.callerGone.Load()
			assert.Assert(t, !gone())
			if tc.abort {
				assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
			}
			assert.NilError(t, conn.Close())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if gone() {
					return poll.Success()
				}
				return poll.Continue("the caller counts as there")
			}, poll.WithDelay(time.Millisecond))
		})
	}
}

// TestRequestOnNewConnectionDuringDrain guards against a planned stop that closes a
// connection on which the caller is about to send its first request.
func TestRequestOnNewConnectionDuringDrain(t *testing.T) {
	t.Parallel()
	f := start(t)
	conn, idle := f.connect(t), f.connectIdle(t)
	f.waitAccepted(t, 2)
	assert.NilError(t, f.listener.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	left := make(chan int, 1)
	go func() { left <- f.sweeper.Drain(ctx) }()
	waitClosed(t, idle)
	send(t, conn, wholeRequest)
	waitAnswer(t, conn)
	assert.Equal(t, <-left, 0)
}
