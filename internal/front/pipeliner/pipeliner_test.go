package pipeliner_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/pipeliner"
	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

// hangTimeout ends a test that hangs.
const hangTimeout = 10 * time.Second

// site is a server with a pipeliner whose handler reports each request and waits to be told
// what to do with it.
type site struct {
	t       *testing.T
	address string
	sweeper *sweeper.Sweeper
	begun   chan *call
	// others are requests that have begun and that the test has not asked for yet.
	others map[string]*call
}

// call is a request at the handler.
type call struct {
	path     string
	canceled <-chan struct{}
	answer   chan func(w http.ResponseWriter)
}

func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/now" {
		_, _ = w.Write(body)
		return
	}
	c := &call{path: r.URL.Path, canceled: r.Context().Done(), answer: make(chan func(http.ResponseWriter), 1)}
	s.begun <- c
	select {
	case answer := <-c.answer:
		answer(w)
	case <-r.Context().Done():
	}
}

// MayRunAhead implements pipeliner.Routes.
func (s *site) MayRunAhead(_, path string) bool {
	return !strings.HasPrefix(path, "/once")
}

func newSite(t *testing.T) *site {
	log := slog.New(slog.DiscardHandler)
	clock := clockwork.NewRealClock()
	s := &site{t: t, begun: make(chan *call, 64), others: make(map[string]*call), sweeper: sweeper.New(func() time.Duration { return time.Minute }, clock, log)}
	p, cleanup := pipeliner.New(s, s, s.sweeper, hangTimeout, log)
	server := &http.Server{Handler: p, ConnState: p.Track, ConnContext: p.WithConn, ReadHeaderTimeout: hangTimeout}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = l.Addr().String()
	go func() { _ = server.Serve(s.sweeper.Listen(l)) }()
	go func() { _ = server.Serve(p) }()
	t.Cleanup(func() {
		_ = server.Close()
		cleanup()
	})
	return s
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

// connect returns a connection that was taken over, and the call of the request that is in
// progress on it, /first.
func (s *site) connect() (*conn, *call) {
	raw, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = raw.Close() })
	assert.NilError(s.t, raw.SetDeadline(time.Now().Add(hangTimeout)))
	c := &conn{Conn: raw, t: s.t, in: bufio.NewReader(raw)}
	c.get("/now", "/first")
	c.answered("/now", "")
	return c, s.next("/first")
}

func (c *conn) send(text string) {
	_, err := c.Write([]byte(text))
	assert.NilError(c.t, err)
}

// get sends requests in one write.
func (c *conn) get(paths ...string) {
	var b bytes.Buffer
	for _, path := range paths {
		_, _ = fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
	c.send(b.String())
}

// answered reads the next response, whose body must be as given, and reports whether it
// closes the connection.
func (c *conn) answered(what, body string) bool {
	r, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodGet})
	assert.NilError(c.t, err, what)
	got, err := io.ReadAll(r.Body)
	assert.NilError(c.t, err, what)
	assert.Equal(c.t, string(got), body, what)
	return r.Close
}

// closed checks that nothing more comes.
func (c *conn) closed() {
	_, err := c.in.ReadByte()
	assert.Assert(c.t, err != nil, "bytes behind the last response")
	assert.Assert(c.t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
}

// next waits until the request for a path has reached the handler.
func (s *site) next(path string) *call {
	for s.others[path] == nil {
		select {
		case c := <-s.begun:
			s.others[c.path] = c
		case <-time.After(hangTimeout):
			s.t.Fatalf("%s has not begun", path)
		}
	}
	c := s.others[path]
	delete(s.others, path)
	return c
}

// none checks that no request has begun that the test has not asked for.
func (s *site) none() {
	select {
	case c := <-s.begun:
		s.others[c.path] = c
	default:
	}
	assert.Equal(s.t, len(s.others), 0)
}

func (c *call) text(text string) {
	c.answer <- func(w http.ResponseWriter) { _, _ = io.WriteString(w, text) }
}

func (c *call) waitCanceled(t *testing.T) {
	select {
	case <-c.canceled:
	case <-time.After(hangTimeout):
		t.Fatalf("%s is not canceled", c.path)
	}
}

// TestResponsesInOrder checks that requests run at the same time and that a response waits
// for those before it, also a long one, which is held only in part.
func TestResponsesInOrder(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c, first := s.connect()
	c.get("/a", "/b")
	a, b := s.next("/a"), s.next("/b")
	long := strings.Repeat("long ", 100_000)
	b.text(long)
	a.text("a")
	first.text("first")
	c.answered("first", "first")
	c.answered("a", "a")
	c.answered("b", long)
	c.get("/c")
	s.next("/c").text("c")
	assert.Assert(t, !c.answered("c", "c"))
}

// TestLimitedAhead checks that a caller that sends many requests gets a bounded number of them
// run at once.
func TestLimitedAhead(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c, first := s.connect()
	var paths []string
	for i := range 20 {
		paths = append(paths, fmt.Sprintf("/%02d", i))
	}
	c.get(paths...)
	calls := []*call{first}
	for _, path := range paths[:7] {
		calls = append(calls, s.next(path))
	}
	for i, path := range paths[7:] {
		s.none()
		calls[i].text("x")
		c.answered("x", "x")
		calls = append(calls, s.next(path))
	}
}

// TestOnceOnlyRunsAlone checks that a request that may run only once begins when those before
// it are answered, and those behind it when it is.
func TestOnceOnlyRunsAlone(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c, first := s.connect()
	c.get("/a", "/once", "/b")
	a := s.next("/a")
	first.text("first")
	c.answered("first", "first")
	s.none()
	a.text("a")
	c.answered("a", "a")
	once := s.next("/once")
	s.none()
	once.text("once")
	c.answered("once", "once")
	s.next("/b").text("b")
	c.answered("b", "b")
}

// TestResponseThatCloses checks that all that have begun are answered when a response says
// that the connection ends, as at a planned stop, and that nothing behind them begins.
func TestResponseThatCloses(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c, first := s.connect()
	c.get("/a", "/once", "/b")
	a := s.next("/a")
	first.answer <- func(w http.ResponseWriter) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "first")
	}
	assert.Assert(t, !c.answered("first", "first"))
	a.text("a")
	assert.Assert(t, c.answered("a", "a"))
	c.closed()
	s.none()
}

// TestBrokenResponse checks that a response that breaks off ends the connection behind those
// before it, and cancels what is behind it.
func TestBrokenResponse(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c, first := s.connect()
	c.get("/a", "/b")
	a, b := s.next("/a"), s.next("/b")
	a.answer <- func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	first.text("first")
	c.answered("first", "first")
	c.closed()
	b.waitCanceled(t)
}

// TestCallerLeaves checks that a caller that leaves cancels all its requests, also when it had
// sent more than are read ahead.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	for _, more := range []int{1, 30} {
		t.Run(fmt.Sprint(more), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = s.sweeper.Serve(ctx) }()
			c, first := s.connect()
			c.get("/a")
			a := s.next("/a")
			for range more {
				c.get("/more")
			}
			assert.NilError(t, c.Close())
			first.waitCanceled(t)
			a.waitCanceled(t)
		})
	}
}

// TestBodyEndsReadingAhead checks that a request with a body is served after those before it,
// and requests behind it one by one.
func TestBodyEndsReadingAhead(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c, first := s.connect()
	c.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /now HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	a := s.next("/a")
	first.text("first")
	a.text("a")
	c.answered("first", "first")
	c.answered("a", "a")
	c.answered("body", "body")
	s.next("/b").text("b")
	c.answered("b", "b")
}

// TestMalformedBehind checks that a request that net/http refuses gets its refusal in its turn.
func TestMalformedBehind(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"nonsense\r\n\r\n", "GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"} {
		s := newSite(t)
		c, first := s.connect()
		c.send(head)
		first.text("first")
		c.answered("first", "first")
		r, err := http.ReadResponse(c.in, nil)
		assert.NilError(t, err)
		assert.Equal(t, r.StatusCode, http.StatusBadRequest)
		_, _ = io.Copy(io.Discard, r.Body)
		c.closed()
		s.none()
	}
}

// TestIdleIsDrained checks that a stop closes an idle connection that was taken over.
func TestIdleIsDrained(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c, first := s.connect()
	first.text("first")
	c.answered("first", "first")
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	assert.Equal(t, s.sweeper.Drain(ctx), 0)
	assert.NilError(t, ctx.Err())
	c.closed()
}
