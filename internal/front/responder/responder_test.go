package responder_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
	"github.com/waxwingloom/waxwingloom/internal/route/placer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

const services = `[service a]
[class a/stock]
path = /stock
[class a/order]
method = POST
path = /orders
once = yes
`

const places = `[zone z1]
region = r
vms = 1
[zone z2]
region = r
vms = 1
[upstream u]
service = a
zone = z1
address = 10.0.0.1:1
slots = 1
conns = 1
[upstream v]
service = a
zone = z2
address = 10.0.0.2:1
slots = 1
conns = 1
[block all]
net = 0.0.0.0/0
zone = z1
`

// fakes implements all dependencies of a responder. DispatchIdempotent waits until block
// is closed, unless it is nil.
type fakes struct {
	current     *keeper.Snapshot
	table       *placer.Table
	result      func() dispatcher.Result
	onceOutcome arbiter.Outcome
	block       chan struct{}
	// onDispatch is called with each request that is dispatched, if it is set.
	onDispatch func(forwarder.Request)
}

func newSnapshot(t testing.TB) *keeper.Snapshot {
	sources := parser.Sources{{Section: parser.Services, Text: []byte(services)}, {Section: parser.Places, Text: []byte(places)}}
	doc, err := parser.Parse(sources)
	assert.NilError(t, err)
	return &keeper.Snapshot{Head: keeper.Head{Generation: 7}, Sources: sources, Document: doc}
}

func (f *fakes) Current() *keeper.Snapshot { return f.current }

func (f *fakes) Lookup(s namer.Service, caller netip.Addr) (placer.Result, bool, bool) {
	if f.table == nil {
		return placer.Result{}, false, false
	}
	p, known := f.table.Lookup(s, caller)
	return p, known, true
}

func (f *fakes) Home(s namer.Service, caller netip.Addr) (namer.Zone, bool) {
	return f.table.Home(s, caller)
}

func (f *fakes) Mint(count int, _ time.Duration, _ namer.Service, _ []arbiter.WitnessPeer) ([]arbiter.Token, error) {
	return make([]arbiter.Token, count), nil
}

func (f *fakes) Run(context.Context, arbiter.Token, forwarder.Request) arbiter.Outcome {
	return f.onceOutcome
}

func (f *fakes) DispatchIdempotent(_ context.Context, r forwarder.Request) dispatcher.Result {
	if f.block != nil {
		<-f.block
	}
	if f.onDispatch != nil {
		f.onDispatch(r)
	}
	return f.result()
}

func (f *fakes) Members() []tracker.Member { return nil }

func newServer(t testing.TB, f *fakes) (*responder.Responder, *httptest.Server) {
	if f.current == nil {
		f.current = newSnapshot(t)
	}
	members := []tracker.Member{
		{VM: "v1", Zone: "z1", CallerAddress: "127.0.0.1:1"}, {VM: "v2", Zone: "z1", CallerAddress: "127.0.0.1:2"},
		{VM: "v3", Zone: "z2", CallerAddress: "127.0.0.1:3"},
	}
	f.table = placer.NewTable(f.current.Document, 7, placer.Blocks(f.current.Document), members)
	limits := loader.Limits{MaxHeadBytes: 2048, MaxRequestBodyBytes: 1000, ReadTimeout: 100 * time.Millisecond, MaxInFlight: 2}
	s := responder.Dependencies{Placer: f, Tokens: f, Router: f, Members: f, Documents: f}
	r := responder.New(responder.Self{VM: "v1", Zone: "z1", Region: "r"}, s, limits, time.Minute,
		clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	server := httptest.NewServer(r.Handler())
	t.Cleanup(server.Close)
	return r, server
}

func newBody(body string) func() io.ReadCloser {
	return func() io.ReadCloser { return io.NopCloser(strings.NewReader(body)) }
}

func ranResult(body func() io.ReadCloser) func() dispatcher.Result {
	return func() dispatcher.Result {
		return dispatcher.Result{
			Outcome: arbiter.Outcome{Execution: arbiter.Ran, Response: arbiter.Response{Status: 200, Upstream: "u", VM: "v1"}}, Body: body(),
		}
	}
}

func do(t *testing.T, req *http.Request) (*http.Response, string) {
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(raw)
}

func TestRefusals(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, method, path string
		headers            []string
		body               string
		status             int
		code, outcome      string
	}{
		{"head", "GET", "/v1/s/a/stock", []string{"X-Long", strings.Repeat("x", 3000)}, "", 431, "head-too-large", "not-run"},
		{"body", "POST", "/v1/s/a/orders", nil, strings.Repeat("x", 2000), 413, "body-too-large", "not-run"},
		{"body with token", "POST", "/v1/s/a/orders", []string{"Waxwing-Token", "t"}, strings.Repeat("x", 2000), 413, "body-too-large", "unknown"},
		{"no token", "POST", "/v1/s/a/orders", nil, "x", 428, "no-token", "not-run"},
		{"bad token", "POST", "/v1/s/a/orders", []string{"Waxwing-Token", "t"}, "x", 400, "bad-token", "not-run"},
		{"token of another service", "POST", "/v1/s/a/orders", []string{"Waxwing-Token", arbiter.Token{Service: "b"}.Text()}, "x", 422, "token-reused", "unknown"},
		{"no service", "GET", "/v1/s/b/stock", nil, "", 404, "no-service", "not-run"},
		{"no class", "GET", "/v1/s/a/orders", nil, "", 404, "no-class", "not-run"},
		{"no route", "GET", "/v2", nil, "", 404, "no-route", "not-run"},
		{"lookup without service", "GET", "/v1/lookup?service=b", nil, "", 404, "no-service", "not-run"},
		{"too many tokens", "POST", "/v1/tokens?service=a&count=1001", nil, "", 400, "bad-count", "not-run"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			_, server := newServer(t, &fakes{})
			req, err := http.NewRequest(tc.method, server.URL+tc.path, strings.NewReader(tc.body))
			assert.NilError(t, err)
			for i := 0; i < len(tc.headers); i += 2 {
				req.Header.Set(tc.headers[i], tc.headers[i+1])
			}
			resp, body := do(t, req)
			assert.Equal(t, resp.StatusCode, tc.status, body)
			var got struct{ Code, Outcome, Reason string }
			assert.NilError(t, json.Unmarshal([]byte(body), &got))
			assert.Equal(t, got.Code, tc.code)
			assert.Equal(t, got.Outcome, tc.outcome)
			assert.Assert(t, got.Reason != "")
			assert.Equal(t, resp.Header.Get(responder.OutcomeHeader), tc.outcome)
			assert.Equal(t, resp.Header.Get(responder.VMHeader), "v1")
			assert.Equal(t, resp.Header.Get(responder.GenerationHeader), "7")
		})
	}
}

func TestSlowBodyIs408(t *testing.T) {
	t.Parallel()
	_, server := newServer(t, &fakes{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /v1/s/a/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
}

// TestTimeoutOutOfRange guards against a request that is refused as late because the time that
// its caller waits overflows.
func TestTimeoutOutOfRange(t *testing.T) {
	t.Parallel()
	for _, ms := range []string{"9223372036855", "18446744073710", "9223372036854775807"} {
		deadlines := make(chan time.Time, 1)
		f := &fakes{result: ranResult(newBody("ok")), onDispatch: func(r forwarder.Request) { deadlines <- r.Deadline }}
		_, server := newServer(t, f)
		req, err := http.NewRequest(http.MethodGet, server.URL+"/v1/s/a/stock", nil)
		assert.NilError(t, err)
		req.Header.Set(responder.TimeoutHeader, ms)
		begun := time.Now()
		do(t, req)
		left := (<-deadlines).Sub(begun)
		assert.Assert(t, left > 500*time.Millisecond, "%s ms is %s", ms, left)
	}
}

func TestTooManyRequestsIs503(t *testing.T) {
	t.Parallel()
	f := &fakes{block: make(chan struct{}), result: ranResult(newBody("ok"))}
	r, server := newServer(t, f)
	done := make(chan error, 2)
	for range 2 {
		go func() {
			resp, err := http.Get(server.URL + "/v1/s/a/stock")
			if err == nil {
				err = resp.Body.Close()
			}
			done <- err
		}()
	}
	for r.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	req, err := http.NewRequest(http.MethodGet, server.URL+"/v1/s/a/stock", nil)
	assert.NilError(t, err)
	resp, body := do(t, req)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, `"busy"`), body)
	close(f.block)
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
}

// truncatedBody is a response body that ends with io.ErrUnexpectedEOF in place of io.EOF.
type truncatedBody struct{ rest io.Reader }

func (b *truncatedBody) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *truncatedBody) Close() error { return nil }

// TestTruncatedResponseIsAnError checks that a caller gets an error when an upstream's
// response is truncated, rather than a shorter response that looks complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 10, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			broken := func() io.ReadCloser { return &truncatedBody{rest: strings.NewReader(strings.Repeat("x", size))} }
			f := &fakes{result: ranResult(broken)}
			_, server := newServer(t, f)
			resp, err := http.Get(server.URL + "/v1/s/a/stock")
			if err != nil {
				return
			}
			_, err = io.ReadAll(resp.Body)
			assert.Assert(t, err != nil, "a truncated response was delivered as complete")
			_ = resp.Body.Close()
		})
	}
}

func TestResponseNamesUpstreamAndOutcome(t *testing.T) {
	t.Parallel()
	_, server := newServer(t, &fakes{result: ranResult(newBody("pecan"))})
	req, err := http.NewRequest(http.MethodGet, server.URL+"/v1/s/a/stock", nil)
	assert.NilError(t, err)
	resp, body := do(t, req)
	assert.Equal(t, body, "pecan")
	assert.Equal(t, resp.Header.Get(responder.UpstreamHeader), "u")
	assert.Equal(t, resp.Header.Get(responder.OutcomeHeader), "ran")
}

func TestLookup(t *testing.T) {
	t.Parallel()
	_, server := newServer(t, &fakes{})
	req, err := http.NewRequest(http.MethodGet, server.URL+"/v1/lookup?service=a", nil)
	assert.NilError(t, err)
	resp, body := do(t, req)
	assert.Equal(t, resp.Header.Get("Cache-Control"), "max-age=5")
	var got responder.LookupResponse
	assert.NilError(t, json.Unmarshal([]byte(body), &got))
	assert.Equal(t, got.TTL, 5.0)
	assert.Equal(t, got.Generation, namer.Generation(7))
	assert.Equal(t, len(got.Entries), 3)
	assert.Equal(t, string(got.Entries[2].Zone), "z2", "the entry VMs must be of at least two zones")
}

// TestTokensResponse checks that tokens are minted in the number asked for, that their
// response can't be cached, and that none are minted during a shutdown.
func TestTokensResponse(t *testing.T) {
	t.Parallel()
	r, server := newServer(t, &fakes{})
	req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/tokens?service=a&count=3", nil)
	assert.NilError(t, err)
	resp, body := do(t, req)
	assert.Equal(t, resp.Header.Get("Cache-Control"), "no-store")
	var got responder.TokensResponse
	assert.NilError(t, json.Unmarshal([]byte(body), &got))
	assert.Equal(t, len(got.Tokens), 3)
	r.BeginShutdown()
	resp, _ = do(t, req)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, "a VM that shuts down mints no tokens")
}

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}

// BenchmarkLookup measures the handler's work for a look-up. Its log line and its
// response are discarded.
func BenchmarkLookup(b *testing.B) {
	f := &fakes{}
	r, _ := newServer(b, f)
	h := r.Handler()
	req := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=a", nil)
	w := &discardWriter{header: make(http.Header)}
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(w, req)
	}
}
