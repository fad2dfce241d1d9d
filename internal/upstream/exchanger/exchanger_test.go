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

// upstream answers each request on a connection with the next of its answers,
// as raw bytes. ID stands for the request's attempt.
type upstream struct {
	listener net.Listener
	answers  []string

	mu       sync.Mutex
	conns    int
	arrivals []string
	open     []net.Conn
	done     sync.WaitGroup
}

// What an upstream does in place of sending bytes.
const (
	thenClose = "\x00close"
	thenReset = "\x00reset"
	stayQuiet = "\x00quiet"
)

func serve(t *testing.T, answers ...string) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &upstream{listener: ln, answers: answers}
	u.done.Go(u.accept)
	t.Cleanup(func() {
		_ = ln.Close()
		u.mu.Lock()
		for _, c := range u.open {
			_ = c.Close()
		}
		u.mu.Unlock()
		u.done.Wait()
	})
	return u
}

func (u *upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns++
		u.open = append(u.open, conn)
		u.mu.Unlock()
		u.done.Go(func() { u.answer(conn) })
	}
}

func (u *upstream) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.arrivals = append(u.arrivals, req.Header.Get(attemptHeader))
		answer := u.answers[0]
		if len(u.answers) > 1 {
			u.answers = u.answers[1:]
		}
		u.mu.Unlock()
		if !strings.HasPrefix(answer, "EARLY ") {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		answer = strings.TrimPrefix(answer, "EARLY ")
		answer = strings.ReplaceAll(answer, "ID", req.Header.Get(attemptHeader))
		text, end, _ := strings.Cut(answer, "\x00")
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

func (u *upstream) seen() (conns int, arrivals []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns, append([]string(nil), u.arrivals...)
}

func (u *upstream) target() cataloger.Target {
	return cataloger.Target{Upstream: "u", Address: u.listener.Addr().String(), Conns: 4}
}

func request(attempt string) exchanger.Request {
	return exchanger.Request{
		Method:        http.MethodGet,
		Head:          []byte("GET / HTTP/1.1\r\nHost: h\r\n" + attemptHeader + ": " + attempt + "\r\n\r\n"),
		AttemptHeader: attemptHeader,
		AttemptID:     attempt,
		Deadline:      time.Now().Add(5 * time.Second),
	}
}

func newExchanger(t *testing.T) *exchanger.Exchanger {
	t.Helper()
	x, cleanup := exchanger.New(clockwork.NewRealClock())
	t.Cleanup(cleanup)
	return x
}

const whole = "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 4\r\n\r\nbody"

// TestUpstreamLeftWhileConnecting sends nothing to an upstream that may not be used any more once
// there is a connection to it, be it a new or a kept one.
func TestUpstreamLeftWhileConnecting(t *testing.T) {
	t.Parallel()
	u := serve(t, whole)
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
	_, arrivals := u.seen()
	assert.Equal(t, len(arrivals), 0)
}

// TestAnswers holds what one exchange returns for what an upstream sends.
func TestAnswers(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		answer string
		body   string
		fails  string
	}{
		{"whole", whole, "body", ""},
		{"chunked", "HTTP/1.1 200 OK\r\nAttempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", ""},
		{"interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, "body", ""},
		{"no length, closed", "HTTP/1.1 200 OK\r\nAttempt: ID\r\n\r\nbody" + thenClose, "body", ""},
		{"no length, reset", "HTTP/1.1 200 OK\r\nAttempt: ID\r\n\r\nbo" + thenReset, "", "reading an answer"},
		{"truncated", "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 9\r\n\r\nbody" + thenClose, "", "reading an answer"},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nAttempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody" + thenClose, "", "reading an answer"},
		{"no answer", thenClose, "", "reading an answer"},
		{"no protocol", "garbled bytes\r\n\r\n" + thenClose, "", "reading an answer"},
		{"only another's answer", "HTTP/1.1 200 OK\r\nAttempt: old\r\nContent-Length: 4\r\n\r\nbody" + thenClose, "", "reading an answer"},
		{"another's answer first", "HTTP/1.1 200 OK\r\nAttempt: old\r\nContent-Length: 3\r\n\r\nnot" + whole, "body", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u := serve(t, tc.answer)
			answer, err := newExchanger(t).Exchange(t.Context(), u.target(), request("a1"))
			if tc.fails != "" {
				assert.ErrorContains(t, err, tc.fails)
				assert.Assert(t, !errors.Is(err, exchanger.ErrNotSent), "what was sent may have run")
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(answer.Body), tc.body)
			assert.Equal(t, answer.Status, http.StatusOK)
		})
	}
}

// endless sends a beginning and then a part again and again, until the caller closes. It
// returns where it listens, and what tells how many bytes it could send.
func endless(t *testing.T, begin, again string) (cataloger.Target, <-chan int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	sent := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		total, _ := conn.Write([]byte(begin))
		part := []byte(strings.Repeat(again, 1+4096/len(again)))
		for {
			n, err := conn.Write(part)
			total += n
			if err != nil {
				sent <- total
				return
			}
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return cataloger.Target{Upstream: "u", Address: ln.Addr().String(), Conns: 4}, sent
}

// TestBytesWithoutEnd gives up an upstream whose head does not end long before the
// request's time is over, and holds little of it.
func TestBytesWithoutEnd(t *testing.T) {
	t.Parallel()
	// socketBytes is what the kernel may hold of a connection on both sides.
	const socketBytes = 16 << 20
	for _, tc := range []struct{ name, begin, again string }{
		{"no protocol", "", "garbage"},
		{"one line of the head", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"lines of the head", "HTTP/1.1 200 OK\r\nAttempt: a1\r\n", "X-More: x\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"another's answers", "", "HTTP/1.1 200 OK\r\nAttempt: old\r\nContent-Length: 0\r\n\r\n"},
		{"trailer", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n"},
		{"size of a chunk", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			target, sent := endless(t, tc.begin, tc.again)
			r := request("a1")
			r.Deadline = time.Now().Add(time.Minute)
			begun := time.Now()
			_, err := newExchanger(t).Exchange(t.Context(), target, r)
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, exchanger.ErrNotSent), "what was sent may have run")
			assert.Assert(t, time.Since(begun) < 10*time.Second)
			n := <-sent
			assert.Assert(t, n < socketBytes, "%d bytes were taken", n)
		})
	}
}

// TestEndlessBody hands a body without end on as it comes, and breaks it off at the
// request's deadline.
func TestEndlessBody(t *testing.T) {
	t.Parallel()
	target, sent := endless(t, "HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\n", "x")
	r := request("a1")
	r.Deadline = time.Now().Add(200 * time.Millisecond)
	answer, err := newExchanger(t).Exchange(t.Context(), target, r)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, answer.Rest)
	assert.Assert(t, err != nil, "what broke off is not complete")
	assert.NilError(t, answer.Rest.Close())
	<-sent
}

// TestLateSecondAnswer sends a second copy of an answer on a connection that is in use
// again: the next caller gets its own answer.
func TestLateSecondAnswer(t *testing.T) {
	t.Parallel()
	u := serve(t, whole, "HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 5\r\n\r\nfirst"+whole)
	x := newExchanger(t)
	_, err := x.Exchange(t.Context(), u.target(), request("a1"))
	assert.NilError(t, err)
	answer, err := x.Exchange(t.Context(), u.target(), request("a2"))
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "body")
	assert.Equal(t, answer.Header.Get(attemptHeader), "a2")
	conns, _ := u.seen()
	assert.Equal(t, conns, 1, "the connection was in use again")
}

// TestConnections holds how many connections two exchanges take.
func TestConnections(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		first string
		conns int
	}{
		{"kept", whole, 1},
		{"asked to close", strings.Replace(whole, "Attempt", "Connection: close\r\nAttempt", 1), 2},
		{"bytes after the answer", whole + "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 0\r\n\r\n", 2},
		{"closed while idle", whole + thenClose, 2},
		{"kept for less than the margin", strings.Replace(whole, "Attempt", "Keep-Alive: timeout=1\r\nAttempt", 1), 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u := serve(t, tc.first, whole)
			x := newExchanger(t)
			_, err := x.Exchange(t.Context(), u.target(), request("a1"))
			assert.NilError(t, err)
			if strings.HasSuffix(tc.first, thenClose) {
				// Lets the upstream's close come before the next request.
				time.Sleep(50 * time.Millisecond)
			}
			answer, err := x.Exchange(t.Context(), u.target(), request("a2"))
			assert.NilError(t, err)
			assert.Equal(t, string(answer.Body), "body")
			conns, arrivals := u.seen()
			assert.Equal(t, conns, tc.conns)
			assert.DeepEqual(t, arrivals, []string{"a1", "a2"})
		})
	}
}

// TestNeverSentTwice has an upstream that reads a request on a kept connection
// and closes it, which a transport of the standard library would send again.
func TestNeverSentTwice(t *testing.T) {
	t.Parallel()
	u := serve(t, whole, thenClose)
	x := newExchanger(t)
	_, err := x.Exchange(t.Context(), u.target(), request("a1"))
	assert.NilError(t, err)
	_, err = x.Exchange(t.Context(), u.target(), request("a2"))
	assert.ErrorContains(t, err, "reading an answer")
	_, arrivals := u.seen()
	assert.DeepEqual(t, arrivals, []string{"a1", "a2"})
}

func TestUnreachableProvesThatNothingRan(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := cataloger.Target{Upstream: "u", Address: ln.Addr().String()}
	assert.NilError(t, ln.Close())
	_, err = newExchanger(t).Exchange(t.Context(), target, request("a1"))
	assert.Assert(t, errors.Is(err, exchanger.ErrNotSent))
}

// TestAnswerBeforeTheWholeRequest has an upstream that refuses a long request
// by its head. The rest of the body must not reach it as another request.
func TestAnswerBeforeTheWholeRequest(t *testing.T) {
	t.Parallel()
	u := serve(t, "EARLY HTTP/1.1 413 Too Large\r\nAttempt: ID\r\nContent-Length: 0\r\n\r\n"+stayQuiet, whole)
	r := request("a1")
	r.Method = http.MethodPost
	r.Body = make([]byte, 8<<20)
	r.Head = []byte("POST / HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nContent-Length: 8388608\r\n\r\n")
	x := newExchanger(t)
	answer, err := x.Exchange(t.Context(), u.target(), r)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, http.StatusRequestEntityTooLarge)
	_, err = x.Exchange(t.Context(), u.target(), request("a2"))
	assert.NilError(t, err)
	conns, _ := u.seen()
	assert.Equal(t, conns, 2)
}

// TestLongAnswer passes an answer on as it comes, and breaks where it breaks.
func TestLongAnswer(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 300<<10)
	u := serve(t, "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 999999\r\n\r\n"+long+thenClose)
	answer, err := newExchanger(t).Exchange(t.Context(), u.target(), request("a1"))
	assert.NilError(t, err)
	assert.Assert(t, answer.Rest != nil)
	rest, err := io.ReadAll(answer.Rest)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.Equal(t, len(answer.Body)+len(rest), len(long))
	assert.NilError(t, answer.Rest.Close())
}

// TestCallerGone closes the connection, which tells the upstream to stop.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	u := serve(t, stayQuiet)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newExchanger(t).Exchange(ctx, u.target(), request("a1"))
	assert.Assert(t, err != nil)
	conns, _ := u.seen()
	assert.Equal(t, conns, 1)
}

// TestSilentUpstream ends at the request's deadline.
func TestSilentUpstream(t *testing.T) {
	t.Parallel()
	u := serve(t, stayQuiet)
	r := request("a1")
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	begun := time.Now()
	_, err := newExchanger(t).Exchange(t.Context(), u.target(), r)
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, exchanger.ErrNotSent))
	assert.Assert(t, time.Since(begun) < 3*time.Second)
}
