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
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

// router answers every request with one result and keeps the last request.
type router struct {
	result  steerer.Result
	unready bool
	// readTime is the limit on bodies, a short one by default.
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
	return parser.Ingress{HeadBytes: 1024, BodyBytes: 64, ReadTime: readTime, IdleTime: time.Second}, !r.unready
}

func (r *router) Generation() namer.Generation { return 1 }

func start(t *testing.T, r *router, limits receiver.Limits) (*receiver.Receiver, string) {
	t.Helper()
	rec := receiver.New(r, namer.WaxwingHeaderNames(), limits, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	server := httptest.NewServer(rec)
	t.Cleanup(server.Close)
	return rec, strings.TrimPrefix(server.URL, "http://")
}

var roomy = receiver.Limits{Requests: 10, Bytes: 1 << 20}

func whole(body string) steerer.Result {
	return steerer.Result{
		Status: http.StatusOK,
		Header: http.Header{"Waxwing-Signature": {"s"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=3"}},
		Body:   []byte(body),
		Length: int64(len(body)),
	}
}

// exchange sends raw bytes and returns the answer and its body.
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

// TestBodyAtTheEnd gives up a body that has not come when the process ends, although
// the limit of its time is later. It was not run, and the caller is told so.
func TestBodyAtTheEnd(t *testing.T) {
	t.Parallel()
	r := &router{result: whole("answer"), readTime: time.Minute}
	rec, address := start(t, r, roomy)
	rec.Leave(time.Now().Add(100 * time.Millisecond))
	resp, _, err := exchange(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, resp.Close)
}

// TestRequests holds what is answered for what a caller sends.
func TestRequests(t *testing.T) {
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
		{"body that never comes", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody", 408, ""},
		{"bad chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := &router{result: whole("answer")}
			_, address := start(t, r, roomy)
			resp, body, err := exchange(t, address, tc.raw)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			if tc.status != http.StatusOK {
				assert.Equal(t, resp.Header.Get("Waxwing-Signature"), "")
				assert.Assert(t, resp.Close, "what is left of the request must not be read as another")
				return
			}
			assert.Equal(t, body, "answer")
			assert.Equal(t, string(r.last.Body), tc.body)
		})
	}
}

// TestPassedOn holds which parts of a request and an answer go on.
func TestPassedOn(t *testing.T) {
	t.Parallel()
	r := &router{result: whole("answer")}
	_, address := start(t, r, roomy)
	resp, _, err := exchange(t, address, "PUT /a%2Fb//c?d=%20&e HTTP/1.1\r\nHost: Shop:80\r\nWaxwing-Attempt: a1\r\nWaxwing-Object: 7\r\n"+
		"Waxwing-Timeout: 1500\r\nWaxwing-Expect: forged\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nX-Kept: 2\r\nTe: trailers\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, r.last.Target, "/a%2Fb//c?d=%20&e")
	assert.Equal(t, r.last.Path, "/a%2Fb//c")
	assert.Equal(t, r.last.Host, "Shop:80")
	assert.Equal(t, r.last.AttemptID, "a1")
	assert.Equal(t, r.last.Object, "7")
	assert.Equal(t, r.last.Remaining, 1500*time.Millisecond)
	assert.DeepEqual(t, r.last.Header, http.Header{"Waxwing-Attempt": {"a1"}, "Waxwing-Object": {"7"}, "X-Kept": {"2"}})
	assert.Equal(t, resp.Header.Get("Waxwing-Signature"), "s")
	assert.Equal(t, resp.Header.Get("X-Hop"), "")
	assert.Equal(t, resp.Header.Get("Keep-Alive"), "")
	assert.Equal(t, resp.Header.Get("Content-Type"), "")
}

// TestRetryAfter is spread, so that refused callers don't come back together.
func TestRetryAfter(t *testing.T) {
	t.Parallel()
	r := &router{result: steerer.Result{Status: 503, Code: steerer.CodeRefused, RetryAfter: 200 * time.Millisecond}}
	_, address := start(t, r, roomy)
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

// broken is the rest of an answer that breaks off.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (broken) Close() error             { return nil }

// TestBrokenAnswerNeverLooksWhole, with a length and without.
func TestBrokenAnswerNeverLooksWhole(t *testing.T) {
	t.Parallel()
	for _, length := range []int64{100, -1} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			t.Parallel()
			result := whole("begun")
			result.Rest = broken{}
			result.Length = length
			_, address := start(t, &router{result: result}, roomy)
			_, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.Assert(t, err != nil)
		})
	}
}

func TestTooManyRequests(t *testing.T) {
	t.Parallel()
	r := &router{result: whole("answer")}
	_, address := start(t, r, receiver.Limits{Requests: 0, Bytes: 1 << 20})
	resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

func TestBodiesOverTheMemory(t *testing.T) {
	t.Parallel()
	_, address := start(t, &router{result: whole("answer")}, receiver.Limits{Requests: 10, Bytes: 3})
	resp, _, err := exchange(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

func TestNoDocumentIsNoMissingRoute(t *testing.T) {
	t.Parallel()
	_, address := start(t, &router{unready: true}, roomy)
	resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

// TestLeaving serves, and closes kept connections with their next answers.
func TestLeaving(t *testing.T) {
	t.Parallel()
	rec, address := start(t, &router{result: whole("answer")}, roomy)
	resp, _, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Assert(t, !resp.Close)
	rec.Leave(time.Now().Add(time.Minute))
	resp, body, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Assert(t, resp.Close)
	assert.Equal(t, body, "answer")
}

// TestCallerGone ends the context of a request whose caller has left.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	gone := make(chan struct{})
	r := &router{result: steerer.Result{Status: 503, Code: steerer.CodeCallerGone}}
	r.block = func(ctx context.Context) {
		<-ctx.Done()
		close(gone)
	}
	_, address := start(t, r, roomy)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, conn.Close())
	<-gone
}
