package receiver_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// TestTruncatedBodyIsNotRun guards against a body in pieces that breaks off and is taken for
// complete.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	t.Parallel()
	for _, body := range []string{"8\r\nabcd", "4\r\nabcd\r\n", "4\r\nabcd\r\n8\r\nab", "", "4\r\nabcd\r\n0\r\n"} {
		r := &router{result: okResult("answer"), readTime: 10 * time.Second}
		_, address := start(t, r, defaultLimits)
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body))
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "%q", body)
		assert.Equal(t, r.last.Method, "", "the request must not run: %q", body)
	}
}

// TestEvictedBeforeRun guards against a request that runs although its connection was closed to
// make room while it was read, so that its response is lost.
func TestEvictedBeforeRun(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ name, text string }{
		{"without a body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"with a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := &router{result: okResult("answer")}
			account := accountant.New(accountant.Limits{Connections: 1})
			address := startWithAccount(t, r, account, func(own *accountant.Holder) {
				_, ok := account.Open("b", time.Now(), func(accountant.Eviction) {})
				assert.Check(t, ok && own.Evicted())
			})
			resp, _, err := exchange(t, address, tc.text)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, resp.Close)
			assert.Equal(t, r.last.Method, "")
		})
	}
}

// startWithAccount starts a receiver whose connections are entered into an account.
func startWithAccount(t *testing.T, r *router, account *accountant.Accountant, opened func(*accountant.Holder)) string {
	t.Helper()
	rec := receiver.New(r, namer.WaxwingHeaderNames(), defaultLimits, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	server := httptest.NewUnstartedServer(rec)
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		holder, ok := account.Open("a", time.Now(), func(accountant.Eviction) {})
		assert.Check(t, ok)
		opened(holder)
		return accountant.WithHolder(ctx, holder)
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// restFunc is the rest of a response.
type restFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f restFunc) Read(p []byte) (int, error) { return f(p) }

// Close implements io.Closer.
func (restFunc) Close() error { return nil }

// TestSlowUpstreamEvictsNoCaller guards against a connection that is closed to make room while
// its streamed response waits for the upstream.
func TestSlowUpstreamEvictsNoCaller(t *testing.T) {
	t.Parallel()
	account := accountant.New(accountant.Limits{Connections: 1})
	parts := 0
	result := okResult("")
	result.ContentLength = 8
	result.Rest = restFunc(func(p []byte) (int, error) {
		_, ok := account.Open("b", time.Now().Add(time.Minute), func(accountant.Eviction) {})
		assert.Check(t, !ok, "another connection may not take the place of one whose upstream is slow")
		if parts++; parts > 2 {
			return 0, io.EOF
		}
		return copy(p, "part"), nil
	})
	address := startWithAccount(t, &router{result: result}, account, func(*accountant.Holder) {})
	_, body, err := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, body, "partpart")
}

// slowWriter is a caller that reads 64 KiB in 200 ms, while other connections come.
type slowWriter struct {
	http.ResponseWriter
	t       *testing.T
	clock   *clockwork.FakeClock
	account *accountant.Accountant
}

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(p []byte) (int, error) {
	w.clock.Advance(time.Duration(len(p)) * 200 * time.Millisecond / (64 << 10))
	_, ok := w.account.Open("b", w.clock.Now(), func(accountant.Eviction) {})
	assert.Check(w.t, !ok, "another connection may not take the place of one whose caller reads")
	return w.ResponseWriter.Write(p)
}

// TestReadingCallerIsNotEvicted guards against a connection that is closed to make room while its
// caller reads a long response without a pause.
func TestReadingCallerIsNotEvicted(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	account := accountant.New(accountant.Limits{Connections: 1})
	holder, ok := account.Open("a", clock.Now(), func(accountant.Eviction) {})
	assert.Assert(t, ok)
	body := strings.Repeat("x", 1<<20)
	rec := receiver.New(&router{result: okResult(body)}, namer.WaxwingHeaderNames(), defaultLimits, clock, slog.New(slog.DiscardHandler))
	got := httptest.NewRecorder()
	in := httptest.NewRequestWithContext(accountant.WithHolder(t.Context(), holder), http.MethodGet, "/", nil)
	rec.ServeHTTP(&slowWriter{got, t, clock, account}, in)
	assert.Equal(t, got.Body.String(), body)
}
