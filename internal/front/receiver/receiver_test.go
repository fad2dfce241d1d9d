package receiver_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/pipeliner"
	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

// router returns the same result for every request and keeps the last request.
type router struct {
	result     steerer.Result
	noDocument bool
	// readTime limits the reading of a body; 0 means 200 ms.
	readTime time.Duration
	last     steerer.Request
	block    func(ctx context.Context)
}

func (r *router) Steer(ctx context.Context, req steerer.Request) steerer.Result {
	r.last = req
	if r.block != nil {
		r.block(ctx)
	}
	return r.result
}

func (r *router) Ingress() (parser.Ingress, bool) {
	readTime := r.readTime
	if readTime == 0 {
		readTime = 200 * time.Millisecond
	}
	return parser.Ingress{MaxHeadBytes: 1024, MaxRequestBodyBytes: 64, ReadTimeout: readTime, CallerIdleTimeout: time.Second}, !r.noDocument
}

func (r *router) Generation() namer.Generation { return 1 }

// routerFunc is a router whose results depend on the request.
type routerFunc func(ctx context.Context, req steerer.Request) steerer.Result

func (f routerFunc) Steer(ctx context.Context, req steerer.Request) steerer.Result {
	return f(ctx, req)
}

func (f routerFunc) Ingress() (parser.Ingress, bool) { return (&router{}).Ingress() }

func (f routerFunc) Generation() namer.Generation { return 1 }

func start(t *testing.T, r *router, limits receiver.Limits) (*receiver.Receiver, string) {
	t.Helper()
	rec := receiver.New(r, namer.WaxwingHeaderNames(), limits, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	server := httptest.NewServer(rec)
	t.Cleanup(server.Close)
	return rec, strings.TrimPrefix(server.URL, "http://")
}

var defaultLimits = receiver.Limits{MaxInFlight: 10, MaxBufferedBytes: 1 << 20}

func okResult(body string) steerer.Result {
	return steerer.Result{
		Status:        http.StatusOK,
		Header:        http.Header{"Waxwing-Signature": {"s"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=3"}},
		Body:          []byte(body),
		ContentLength: int64(len(body)),
	}
}

// exchange sends raw bytes and returns the response and its body.
func exchange(t *testing.T, address, raw string) (*http.Response, string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = conn.Write([]byte(raw))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// TestShutdownEndsBodyRead checks that the reading of a body ends at the shutdown
// deadline, although its own time limit is later. The request isn't run, and the
// caller gets status 408.
func TestShutdownEndsBodyRead(t *testing.T) {
	t.Parallel()
	r := &router{result: okResult("answer"), readTime: time.Minute}
	rec, address := start(t, r, defaultLimits)
	rec.BeginShutdown(time.Now().Add(100 * time.Millisecond))
	resp, _, err := exchange(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, resp.Close)
}

// TestRequestAfterLastMoment checks that a request that arrives when the process is about
// to end is refused as not run, and is not steered.
func TestRequestAfterLastMoment(t *testing.T) {
	t.Parallel()
	r := &router{result: okResult("answer")}
	rec, address := start(t, r, defaultLimits)
	rec.RefuseNew()
	resp, _, err := exchange(t, address, "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, r.last.Method, "")
}

// TestCallerLeavesBehindFurtherBytes checks that the router can ask whether the caller has
// left when bytes that follow the request keep net/http from noticing it.
func TestCallerLeavesBehindFurtherBytes(t *testing.T) {
	t.Parallel()
	const text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	started, gone := make(chan struct{}), make(chan bool)
	r := &router{result: okResult("answer")}
	var once sync.Once
	r.block = func(context.Context) {
		once.Do(func() {
			callerGone := r.last.CallerGone
			gone <- callerGone()
			<-started
			for !callerGone() {
				time.Sleep(time.Millisecond)
			}
			gone <- true
		})
	}
	rec := receiver.New(r, namer.WaxwingHeaderNames(), defaultLimits, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	sweep := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	server := httptest.NewUnstartedServer(rec)
	server.Listener = sweep.Listen(server.Listener)
	server.Config.ConnContext = sweep.WithConn
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = conn.Write([]byte(text))
	assert.NilError(t, err)
	assert.Assert(t, !<-gone)
	// net/http reads one byte more, and leaves the others in the socket.
	_, err = conn.Write([]byte(text))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	close(started)
	assert.Assert(t, <-gone)
}

// TestRequestLimits checks the status for valid requests and for requests that are
// malformed or over a limit. After a refusal the connection must be closed.
func TestRequestLimits(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 2000)
	for _, tc := range []struct {
		name   string
		raw    string
		status int
		body   string
	}{
		{"get", "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\n\r\n", 200, ""},
		{"length", "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
		{"chunked", "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", 200, "body"},
		{"long head", "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + long + "\r\n\r\n", 431, ""},
		{"long body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + long, 413, ""},
		{"long chunked body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + long + "\r\n0\r\n\r\n", 413, ""},
		{"incomplete body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody", 408, ""},
		{"bad chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := &router{result: okResult("answer")}
			_, address := start(t, r, defaultLimits)
			resp, body, err := exchange(t, address, tc.raw)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			if tc.status != http.StatusOK {
				assert.Equal(t, resp.Header.Get("Waxwing-Signature"), "")
				assert.Assert(t, resp.Close, "the unread part of the request must not be parsed as another request")
				return
			}
			assert.Equal(t, body, "answer")
			assert.Equal(t, string(r.last.Body), tc.body)
		})
	}
}

// TestRemainingOutOfRange guards against a request that is refused as late because the time
// that its caller waits overflows.
func TestRemainingOutOfRange(t *testing.T) {
	t.Parallel()
	r := &router{result: okResult("answer")}
	_, address := start(t, r, defaultLimits)
	for _, ms := range []string{"9223372036855", "18446744073710", "9223372036854775807"} {
		_, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\nWaxwing-Timeout: "+ms+"\r\n\r\n")
		assert.NilError(t, err)
		assert.Assert(t, r.last.Remaining > time.Hour, "%s ms is %s", ms, r.last.Remaining)
	}
}

// TestChallenge checks that only a response with status 401 asks for a key.
func TestChallenge(t *testing.T) {
	t.Parallel()
	for status, want := range map[int]string{http.StatusUnauthorized: "Bearer", http.StatusForbidden: ""} {
		_, address := start(t, &router{result: steerer.Result{Status: status, Code: steerer.CodeUnauthenticated}}, defaultLimits)
		resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, status)
		assert.Equal(t, resp.Header.Get("WWW-Authenticate"), want)
		assert.Assert(t, !resp.Close)
	}
}

// TestStaleAccountsEndConnection checks that a caller whose key this VM can't check does not come
// back on the same connection.
func TestStaleAccountsEndConnection(t *testing.T) {
	t.Parallel()
	_, address := start(t, &router{result: steerer.Result{Status: http.StatusServiceUnavailable, Code: steerer.CodeStaleAccounts, RetryAfter: time.Second}}, defaultLimits)
	resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Assert(t, resp.Close)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

// TestStaleAccountsBeforeOthers guards against requests behind one that is refused since this VM's
// accounts are stale, that run and get no response because the connection is closed.
func TestStaleAccountsBeforeOthers(t *testing.T) {
	t.Parallel()
	behind := make(chan struct{})
	rec := receiver.New(routerFunc(func(_ context.Context, req steerer.Request) steerer.Result {
		if req.Path == "/behind" {
			close(behind)
			return okResult("answer")
		}
		<-behind
		return steerer.Result{Status: http.StatusServiceUnavailable, Code: steerer.CodeStaleAccounts, RetryAfter: time.Second}
	}), namer.WaxwingHeaderNames(), defaultLimits, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	log, clock := slog.New(slog.DiscardHandler), clockwork.NewRealClock()
	admit := func(*http.Request) bool { return true }
	ahead := pipeliner.New(rec, admit, pipeliner.Limits{Requests: 5, Bytes: 1 << 20}, clock, log)
	sweep := sweeper.New(func() time.Duration { return time.Minute }, clock, log, sweeper.WithPipeliner(ahead))
	server := httptest.NewUnstartedServer(rec)
	server.Listener = sweep.Listen(server.Listener)
	server.Config.ConnState, server.Config.ConnContext = sweep.Track, sweep.WithConn
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /behind HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	r := bufio.NewReader(conn)
	for _, want := range []struct {
		status int
		closes bool
	}{{http.StatusServiceUnavailable, false}, {http.StatusOK, true}} {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, want.status)
		assert.Equal(t, resp.Close, want.closes)
	}
}

// TestForwardedParts checks which parts of a request reach the router and which
// headers of a response reach the caller.
func TestForwardedParts(t *testing.T) {
	t.Parallel()
	r := &router{result: okResult("answer")}
	_, address := start(t, r, defaultLimits)
	resp, _, err := exchange(t, address, "PUT /a%2Fb//c?d=%20&e HTTP/1.1\r\nHost: Shop:80\r\nWaxwing-Attempt: a1\r\nWaxwing-Object: 7\r\n"+
		"Waxwing-Timeout: 1500\r\nWaxwing-Expect: forged\r\nwaxwing-account: forged\r\nWaxwing-Account: again\r\nAuthorization: Bearer key\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nX-Kept: 2\r\nTe: trailers\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, r.last.Target, "/a%2Fb//c?d=%20&e")
	assert.Equal(t, r.last.Path, "/a%2Fb//c")
	assert.Equal(t, r.last.Host, "Shop:80")
	assert.Equal(t, r.last.AttemptID, "a1")
	assert.Equal(t, r.last.Object, "7")
	assert.Equal(t, r.last.Remaining, 1500*time.Millisecond)
	assert.DeepEqual(t, r.last.Header, http.Header{"Waxwing-Attempt": {"a1"}, "Waxwing-Object": {"7"}, "X-Kept": {"2"}, "Authorization": {"Bearer key"}})
	assert.Equal(t, r.last.Credential, authenticator.Parse(http.Header{"Authorization": {"Bearer key"}}))
	assert.Equal(t, resp.Header.Get("Waxwing-Signature"), "s")
	assert.Equal(t, resp.Header.Get("X-Hop"), "")
	assert.Equal(t, resp.Header.Get("Keep-Alive"), "")
	assert.Equal(t, resp.Header.Get("Content-Type"), "")
}

// TestRetryAfterJitter checks that Retry-After varies, so that callers refused
// together don't retry together.
func TestRetryAfterJitter(t *testing.T) {
	t.Parallel()
	r := &router{result: steerer.Result{Status: 503, Code: steerer.CodeRefused, RetryAfter: 200 * time.Millisecond}}
	_, address := start(t, r, defaultLimits)
	seen := make(map[string]bool)
	for range 10 {
		resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, wait >= 0.2 && wait <= 0.3, "%v", wait)
		seen[resp.Header.Get("Retry-After")] = true
	}
	assert.Assert(t, len(seen) > 5)
}

// failingBody is a response body whose reading fails.
type failingBody struct{}

func (failingBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (failingBody) Close() error             { return nil }

// TestTruncatedResponseIsAnError checks that the caller gets a read error when the
// upstream's response is truncated, with a known length and without.
func TestTruncatedResponseIsAnError(t *testing.T) {
	t.Parallel()
	for _, length := range []int64{100, -1} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			t.Parallel()
			result := okResult("begun")
			result.Rest = failingBody{}
			result.ContentLength = length
			_, address := start(t, &router{result: result}, defaultLimits)
			_, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.Assert(t, err != nil)
		})
	}
}

func TestTooManyRequests(t *testing.T) {
	t.Parallel()
	r := &router{result: okResult("answer")}
	_, address := start(t, r, receiver.Limits{MaxInFlight: 0, MaxBufferedBytes: 1 << 20})
	resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

// TestUnfinishedBodiesTakeAllPlaces guards against callers that stop short of the end of their
// bodies and take the places of all other requests.
func TestUnfinishedBodiesTakeAllPlaces(t *testing.T) {
	t.Parallel()
	rec, address := start(t, &router{result: okResult("answer"), readTime: time.Minute}, receiver.Limits{MaxInFlight: 1})
	for range 5 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody")
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if rec.InFlight() == 5 {
			return poll.Success()
		}
		return poll.Continue("%d in flight", rec.InFlight())
	})
	resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func TestTooManyBufferedBytes(t *testing.T) {
	t.Parallel()
	_, address := start(t, &router{result: okResult("answer")}, receiver.Limits{MaxInFlight: 10, MaxBufferedBytes: 3})
	resp, _, err := exchange(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

// TestNoDocumentIs503 checks that a VM without a document answers 503. With 404 a
// caller would believe that the route doesn't exist.
func TestNoDocumentIs503(t *testing.T) {
	t.Parallel()
	_, address := start(t, &router{noDocument: true}, defaultLimits)
	resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

// TestShutdownClosesConnections checks that requests are still served during a
// shutdown and that their responses close keep-alive connections.
func TestShutdownClosesConnections(t *testing.T) {
	t.Parallel()
	rec, address := start(t, &router{result: okResult("answer")}, defaultLimits)
	resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Assert(t, !resp.Close)
	rec.BeginShutdown(time.Now().Add(time.Minute))
	resp, body, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Assert(t, resp.Close)
	assert.Equal(t, body, "answer")
}

// TestCallerDisconnectCancelsContext checks that a request's context is canceled
// when its caller closes the connection.
func TestCallerDisconnectCancelsContext(t *testing.T) {
	t.Parallel()
	gone := make(chan struct{})
	r := &router{result: steerer.Result{Status: 503, Code: steerer.CodeCallerGone}}
	r.block = func(ctx context.Context) {
		<-ctx.Done()
		close(gone)
	}
	_, address := start(t, r, defaultLimits)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, conn.Close())
	<-gone
}
