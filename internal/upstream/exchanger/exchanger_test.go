package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

const attemptHeader = "Attempt"

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// rawUpstream responds to each request with the next of its responses, written as raw
// bytes; the last one is repeated. In a response, ID is replaced by the request's
// attempt ID, and the prefix EARLY has it sent before the request's body is read.
type rawUpstream struct {
	listener  net.Listener
	responses []string

	mu         sync.Mutex
	conns      int
	attemptIDs []string
	openConns  []net.Conn
	done       sync.WaitGroup
}

// Suffixes of a response: what the upstream does after it wrote the response. It closes
// or resets the connection, or keeps it open and sends nothing.
const (
	thenClose = "\x00close"
	thenReset = "\x00reset"
	stayQuiet = "\x00quiet"
)

func startUpstream(t *testing.T, responses ...string) *rawUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &rawUpstream{listener: ln, responses: responses}
	u.done.Go(u.accept)
	t.Cleanup(func() {
		_ = ln.Close()
		u.mu.Lock()
		for _, c := range u.openConns {
			_ = c.Close()
		}
		u.mu.Unlock()
		u.done.Wait()
	})
	return u
}

func (u *rawUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns++
		u.openConns = append(u.openConns, conn)
		u.mu.Unlock()
		u.done.Go(func() { u.serveConn(conn) })
	}
}

func (u *rawUpstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.attemptIDs = append(u.attemptIDs, req.Header.Get(attemptHeader))
		response := u.responses[0]
		if len(u.responses) > 1 {
			u.responses = u.responses[1:]
		}
		u.mu.Unlock()
		if !strings.HasPrefix(response, "EARLY ") {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		response = strings.TrimPrefix(response, "EARLY ")
		response = strings.ReplaceAll(response, "ID", req.Header.Get(attemptHeader))
		text, end, _ := strings.Cut(response, "\x00")
		_, _ = conn.Write([]byte(text))
		switch "\x00" + end {
		case thenClose:
			return
		case thenReset:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case stayQuiet:
			_, _ = r.ReadByte()
			return
		}
	}
}

func (u *rawUpstream) seen() (conns int, attemptIDs []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns, append([]string(nil), u.attemptIDs...)
}

func (u *rawUpstream) target() cataloger.Target {
	return cataloger.Target{Upstream: "u", Address: u.listener.Addr().String(), MaxIdleConns: 4}
}

func request(attemptID string) exchanger.Request {
	return exchanger.Request{
		Method:        http.MethodGet,
		Head:          []byte("GET / HTTP/1.1\r\nHost: h\r\n" + attemptHeader + ": " + attemptID + "\r\n\r\n"),
		AttemptHeader: attemptHeader,
		AttemptID:     attemptID,
		Deadline:      time.Now().Add(5 * time.Second),
	}
}

func newExchanger(t *testing.T) *exchanger.Exchanger {
	t.Helper()
	x, cleanup := exchanger.New(clockwork.NewRealClock())
	t.Cleanup(cleanup)
	return x
}

const completeResponse = "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 4\r\n\r\nbody"

// TestUnusableUpstreamGetsNothing checks that nothing is sent to an upstream that may no
// longer be used once there is a connection to it, whether new or reused. An upstream
// may be removed while a connection to it is being opened.
func TestUnusableUpstreamGetsNothing(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse)
	x := newExchanger(t)
	r := request("a1")
	r.Usable = func() bool {
		conns, _ := u.seen()
		return conns == 0
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := x.Preconnect(t.Context(), u.target())
		if conns, _ := u.seen(); err == nil && conns > 0 {
			return poll.Success()
		}
		return poll.Continue("not connected")
	})
	for range 2 {
		_, err := x.Exchange(t.Context(), u.target(), r)
		assert.Assert(t, errors.Is(err, exchanger.ErrNotSent), "%v", err)
	}
	_, attemptIDs := u.seen()
	assert.Equal(t, len(attemptIDs), 0)
}

// TestResponses checks what Exchange returns for different responses of an upstream.
func TestResponses(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		response string
		body     string
		wantErr  string
	}{
		{"whole", completeResponse, "body", ""},
		{"chunked", "HTTP/1.1 200 OK\r\nAttempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", ""},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse, "body", ""},
		{"many interim responses first", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000) + completeResponse, "body", ""},
		{"interim responses around another request's response", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3) + "HTTP/1.1 200 OK\r\nAttempt: old\r\nContent-Length: 3\r\n\r\nnot" + strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3) + completeResponse, "body", ""},
		{"no length, closed", "HTTP/1.1 200 OK\r\nAttempt: ID\r\n\r\nbody" + thenClose, "body", ""},
		{"no length, reset", "HTTP/1.1 200 OK\r\nAttempt: ID\r\n\r\nbo" + thenReset, "", "reading an answer"},
		{"truncated", "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 9\r\n\r\nbody" + thenClose, "", "reading an answer"},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nAttempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody" + thenClose, "", "reading an answer"},
		{"no response", thenClose, "", "reading an answer"},
		{"not HTTP", "garbled bytes\r\n\r\n" + thenClose, "", "reading an answer"},
		{"only another request's response", "HTTP/1.1 200 OK\r\nAttempt: old\r\nContent-Length: 4\r\n\r\nbody" + thenClose, "", "reading an answer"},
		{"another request's response first", "HTTP/1.1 200 OK\r\nAttempt: old\r\nContent-Length: 3\r\n\r\nnot" + completeResponse, "body", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, tc.response)
			response, err := newExchanger(t).Exchange(t.Context(), u.target(), request("a1"))
			if tc.wantErr != "" {
				assert.ErrorContains(t, err, tc.wantErr)
				assert.Assert(t, !errors.Is(err, exchanger.ErrNotSent), "the request was sent and may have run")
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), tc.body)
			assert.Equal(t, response.Status, http.StatusOK)
		})
	}
}

// serveEndless starts an upstream that responds with prefix and then with repeated,
// without end, until the client closes the connection. It returns the upstream's target, a
// channel that is closed after the first write of repeated, and one that receives the number
// of bytes that were written.
func serveEndless(t *testing.T, prefix, repeated string) (target cataloger.Target, begun <-chan struct{}, sent <-chan int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	first, totals := make(chan struct{}), make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		total, _ := conn.Write([]byte(prefix))
		block := []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
		begin := sync.OnceFunc(func() { close(first) })
		for {
			n, err := conn.Write(block)
			total += n
			begin()
			if err != nil {
				totals <- total
				return
			}
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return cataloger.Target{Upstream: "u", Address: ln.Addr().String(), MaxIdleConns: 4}, first, totals
}

// TestEndlessResponse checks that Exchange gives up on an upstream that sends bytes
// without end outside a body, such as an endless head, long before the request's
// deadline and without reading much of it.
func TestEndlessResponse(t *testing.T) {
	t.Parallel()
	// maxSocketBytes is the maximum that the kernel buffers for a connection on both sides.
	const maxSocketBytes = 16 << 20
	for _, tc := range []struct{ name, prefix, repeated string }{
		{"not HTTP", "", "garbage"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\nAttempt: a1\r\n", "X-More: x\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"another request's responses", "", "HTTP/1.1 200 OK\r\nAttempt: old\r\nContent-Length: 0\r\n\r\n"},
		{"trailer", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n"},
		{"chunk size", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header without end of line", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nX", "x"},
		{"empty header lines", "HTTP/1.1 200 OK\r\nAttempt: a1\r\n", ":\r\n"},
		{"folded header line", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nX: y\r\n", " z\r\n"},
		{"line feeds", "", "\n"},
		{"protocol switches", "", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"},
		{"bytes after a protocol switch", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "x"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "y"},
		{"chunk extensions", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		{"trailer line", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "x"},
		{"another request's body without length", "HTTP/1.1 200 OK\r\nAttempt: old\r\n\r\n", "x"},
		{"another request's body in chunks", "HTTP/1.1 200 OK\r\nAttempt: old\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"another request's body of 1 TB", "HTTP/1.1 200 OK\r\nAttempt: old\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			target, _, sent := serveEndless(t, tc.prefix, tc.repeated)
			r := request("a1")
			r.Deadline = time.Now().Add(time.Minute)
			start := time.Now()
			_, err := newExchanger(t).Exchange(t.Context(), target, r)
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, exchanger.ErrNotSent), "the request was sent and may have run")
			assert.Assert(t, time.Since(start) < 10*time.Second)
			n := <-sent
			assert.Assert(t, n < maxSocketBytes, "the upstream could send %d bytes", n)
		})
	}
}

// TestEndlessBody checks that an endless body is streamed and cut off at the request's
// deadline.
func TestEndlessBody(t *testing.T) {
	t.Parallel()
	target, _, sent := serveEndless(t, "HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\n", "x")
	r := request("a1")
	// The first part of the body must be read before the deadline.
	r.Deadline = time.Now().Add(2 * time.Second)
	response, err := newExchanger(t).Exchange(t.Context(), target, r)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Rest)
	assert.Assert(t, err != nil, "a body that is cut off returns an error")
	assert.NilError(t, response.Rest.Close())
	<-sent
}

// TestDuplicateResponse guards against a caller getting another request's response: the
// upstream sends a response a second time when the connection serves the next request.
func TestDuplicateResponse(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse, "HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 5\r\n\r\nfirst"+completeResponse)
	x := newExchanger(t)
	_, err := x.Exchange(t.Context(), u.target(), request("a1"))
	assert.NilError(t, err)
	response, err := x.Exchange(t.Context(), u.target(), request("a2"))
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "body")
	assert.Equal(t, response.Header.Get(attemptHeader), "a2")
	conns, _ := u.seen()
	assert.Equal(t, conns, 1, "the connection was reused")
}

// TestConnectionReuse checks in which cases two requests use the same connection.
func TestConnectionReuse(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		first string
		conns int
	}{
		{"kept", completeResponse, 1},
		{"Connection: close", strings.Replace(completeResponse, "Attempt", "Connection: close\r\nAttempt", 1), 2},
		{"bytes after the response", completeResponse + "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 0\r\n\r\n", 2},
		{"closed while idle", completeResponse + thenClose, 2},
		{"Keep-Alive timeout below the margin", strings.Replace(completeResponse, "Attempt", "Keep-Alive: timeout=1\r\nAttempt", 1), 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, tc.first, completeResponse)
			x := newExchanger(t)
			_, err := x.Exchange(t.Context(), u.target(), request("a1"))
			assert.NilError(t, err)
			if strings.HasSuffix(tc.first, thenClose) {
				// Waits until the upstream's close has arrived.
				time.Sleep(50 * time.Millisecond)
			}
			response, err := x.Exchange(t.Context(), u.target(), request("a2"))
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "body")
			conns, attemptIDs := u.seen()
			assert.Equal(t, conns, tc.conns)
			assert.DeepEqual(t, attemptIDs, []string{"a1", "a2"})
		})
	}
}

// TestNeverSentTwice guards against a request running twice: the upstream reads a request
// on a reused connection and closes it without a response. The transport of net/http
// would send the request again.
func TestNeverSentTwice(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse, thenClose)
	x := newExchanger(t)
	_, err := x.Exchange(t.Context(), u.target(), request("a1"))
	assert.NilError(t, err)
	_, err = x.Exchange(t.Context(), u.target(), request("a2"))
	assert.ErrorContains(t, err, "reading an answer")
	_, attemptIDs := u.seen()
	assert.DeepEqual(t, attemptIDs, []string{"a1", "a2"})
}

func TestConnectFailureIsErrNotSent(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := cataloger.Target{Upstream: "u", Address: ln.Addr().String()}
	assert.NilError(t, ln.Close())
	_, err = newExchanger(t).Exchange(t.Context(), target, request("a1"))
	assert.Assert(t, errors.Is(err, exchanger.ErrNotSent))
}

// TestResponseBeforeWholeRequest has an upstream that refuses a long request after its
// head. The connection must not be reused, or the upstream would take the rest of the
// body for another request.
func TestResponseBeforeWholeRequest(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, "EARLY HTTP/1.1 413 Too Large\r\nAttempt: ID\r\nContent-Length: 0\r\n\r\n"+stayQuiet, completeResponse)
	r := request("a1")
	r.Method = http.MethodPost
	r.Body = make([]byte, 8<<20)
	r.Head = []byte("POST / HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nContent-Length: 8388608\r\n\r\n")
	x := newExchanger(t)
	response, err := x.Exchange(t.Context(), u.target(), r)
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusRequestEntityTooLarge)
	_, err = x.Exchange(t.Context(), u.target(), request("a2"))
	assert.NilError(t, err)
	conns, _ := u.seen()
	assert.Equal(t, conns, 2)
}

// TestLongResponse checks that a long body is streamed, and that reading it returns an
// error where the upstream's connection breaks.
func TestLongResponse(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 300<<10)
	u := startUpstream(t, "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 999999\r\n\r\n"+long+thenClose)
	response, err := newExchanger(t).Exchange(t.Context(), u.target(), request("a1"))
	assert.NilError(t, err)
	assert.Assert(t, response.Rest != nil)
	rest, err := io.ReadAll(response.Rest)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.Equal(t, len(response.Body)+len(rest), len(long))
	assert.NilError(t, response.Rest.Close())
}

// TestCallerGone cancels the context while the upstream is silent. Exchange returns and
// closes the connection, so that the upstream can stop processing the request.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, stayQuiet)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newExchanger(t).Exchange(ctx, u.target(), request("a1"))
	assert.Assert(t, err != nil)
	conns, _ := u.seen()
	assert.Equal(t, conns, 1)
}

// TestSilentUpstream checks that Exchange returns at the request's deadline.
func TestSilentUpstream(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, stayQuiet)
	r := request("a1")
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	start := time.Now()
	_, err := newExchanger(t).Exchange(t.Context(), u.target(), r)
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, exchanger.ErrNotSent))
	assert.Assert(t, time.Since(start) < 3*time.Second)
}

// TestCallerGoneBeforeRequest checks that nothing is sent for a caller that has gone, also
// of a request that would go on without its caller, which it does after its first byte.
func TestCallerGoneBeforeRequest(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse)
	x := newExchanger(t)
	_, err := x.Exchange(t.Context(), u.target(), request("a1"))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	r := request("a2")
	r.Detached = true
	r.Usable = func() bool {
		time.AfterFunc(0, cancel)
		<-ctx.Done()
		return true
	}
	response, err := x.Exchange(ctx, u.target(), r)
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusOK)
	for _, detached := range []bool{true, false} {
		r := request("a3")
		r.Detached = detached
		_, err := x.Exchange(ctx, u.target(), r)
		assert.Assert(t, errors.Is(err, exchanger.ErrNotSent), "%v", err)
	}
	r = request("a4")
	r.CallerGone = func() bool { return true }
	_, err = x.Exchange(t.Context(), u.target(), r)
	assert.Assert(t, errors.Is(err, exchanger.ErrNotSent), "%v", err)
	assert.ErrorContains(t, err, "the caller left")
	_, err = x.Exchange(t.Context(), u.target(), request("a5"))
	assert.NilError(t, err)
	conns, attemptIDs := u.seen()
	assert.DeepEqual(t, attemptIDs, []string{"a1", "a2", "a5"})
	assert.Equal(t, conns, 1, "a connection on which nothing was sent stays in the pool")
}

// TestCallerLeavesAsResponseArrives guards against a caller that leaves as its response
// arrives, and whose connection to the upstream is closed after another caller's request
// has taken it from the pool.
func TestCallerLeavesAsResponseArrives(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse)
	x := newExchanger(t)
	ctx, cancel := context.WithCancel(t.Context())
	var leaving sync.WaitGroup
	for range 4 {
		leaving.Go(func() {
			for ctx.Err() == nil {
				callerCtx, leave := context.WithCancel(ctx)
				r := request("a1")
				r.Usable = func() bool {
					time.AfterFunc(50*time.Microsecond, leave)
					return true
				}
				_, _ = x.Exchange(callerCtx, u.target(), r)
				leave()
			}
		})
	}
	for range 2000 {
		_, err := x.Exchange(t.Context(), u.target(), request("a2"))
		// A failure to connect, which sends nothing, is no concern of this test.
		if err != nil && !errors.Is(err, exchanger.ErrNotSent) {
			t.Error(err)
			break
		}
	}
	cancel()
	leaving.Wait()
}

// TestCallerLeavesDuringLongResponse guards against work that goes on for a caller that
// leaves while a long body is streamed to it.
func TestCallerLeavesDuringLongResponse(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 300<<10)
	u := startUpstream(t, "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 999999\r\n\r\n"+long+stayQuiet)
	r := request("a1")
	r.Deadline = time.Now().Add(time.Minute)
	ctx, leave := context.WithCancel(t.Context())
	response, err := newExchanger(t).Exchange(ctx, u.target(), r)
	assert.NilError(t, err)
	start := time.Now()
	time.AfterFunc(50*time.Millisecond, leave)
	_, err = io.Copy(io.Discard, response.Rest)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(start) < 10*time.Second)
	assert.NilError(t, response.Rest.Close())
}
