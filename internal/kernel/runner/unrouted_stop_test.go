package runner_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/editor"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/kernel/runner"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

const unroutedServices = `[service desk]
ttl = 1s
witness = same
[class desk/stock]
path = /stock
deadline = 6s
[class desk/order]
method = POST
path = /orders
once = yes
deadline = 6s
`

const unroutedPlaces = `[zone near]
region = r
vms = 1
[zone far]
region = r
vms = 2
[upstream u]
service = desk
zone = far
address = ADDRESS
slots = 8
conns = 8
[block all]
net = 0.0.0.0/0
zone = near
`

// longDuration is the upstream's processing time for a long request. It is longer than the
// time for which a daemon without routes drains its connections.
const longDuration = 2500 * time.Millisecond

// spillFixture is a daemon without routes in a zone without upstreams, and two in another zone,
// to which it spills or relays callers' requests.
type spillFixture struct {
	near, far *daemon
	// ran is the number of long requests that the upstream began to process.
	ran atomic.Int64
}

// newSpillFixture starts the daemons. The one that is to be stopped logs with a hook on a
// message.
func newSpillFixture(t *testing.T, message string, hook func(f *spillFixture)) *spillFixture {
	t.Helper()
	f := &spillFixture{}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/long") {
			f.ran.Add(1)
			time.Sleep(longDuration)
		}
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(upstream.Close)
	keeper := storekeeper.New(clockwork.NewRealClock())
	keeper.SetVMs([]storer.ListedVM{{VM: "vm-near", Zone: "near"}, {VM: "vm-far", Zone: "far"}, {VM: "vm-witness", Zone: "far"}})
	store := httptest.NewServer(keeper.Handler())
	t.Cleanup(store.CloseClientConnections)
	address := strings.TrimPrefix(store.URL, "http://")
	objects, cleanup := platform.NewStorer(address)
	t.Cleanup(cleanup)
	e := editor.New(objects, clockwork.NewRealClock())
	places := strings.Replace(unroutedPlaces, "ADDRESS", strings.TrimPrefix(upstream.URL, "http://"), 1)
	for _, edit := range []editor.Edit{
		{ID: "e1", Section: parser.Services, Text: []byte(unroutedServices)},
		{ID: "e2", Section: parser.Places, Text: []byte(places)},
	} {
		result := e.Apply(t.Context(), edit)
		assert.Equal(t, result.Verdict, editor.Accepted, "%v %s", result.Problems, result.Reason)
	}
	run := func(zone namer.Zone, log func(d *daemon) *slog.Logger) func(*daemon, context.Context, loader.Settings) error {
		return func(d *daemon, ctx context.Context, s loader.Settings) error {
			s.Routing, s.Zone = loader.Routing{}, zone
			s.Regions = map[namer.Zone]namer.Region{"near": "r", "far": "r"}
			return runner.RunWithLogger(ctx, s, log(d))
		}
	}
	quiet := func(d *daemon) *slog.Logger { return onMessage(d, "", nil) }
	f.far = startWith(t, "vm-far", address, "", startOptions{run: run("far", quiet)})
	startWith(t, "vm-witness", address, f.far.peers, startOptions{run: run("far", quiet)})
	hooked := func(d *daemon) *slog.Logger { return onMessage(d, message, func() { hook(f) }) }
	f.near = startWith(t, "vm-near", address, f.far.peers, startOptions{run: run("near", hooked)})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, body := get(f.near.callers, "/v1/s/desk/stock/1", ""); status != http.StatusOK {
			return poll.Continue("%d %s", status, body)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	f.far.awaitLog(t, "ordinal held")
	return f
}

// responseStatus reads a response on a connection. It returns 0 if the connection ends before.
func responseStatus(conn net.Conn) (status int, outcome string) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get(responder.OutcomeHeader)
}

// requestLong sends a long request on a connection, once-only if it has a token.
func requestLong(conn net.Conn, token string) error {
	text := "GET /v1/s/desk/stock/long HTTP/1.1\r\nHost: h\r\n\r\n"
	if token != "" {
		text = "POST /v1/s/desk/orders/long HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + responder.TokenHeader + ": " + token + "\r\n\r\n"
	}
	_, err := io.WriteString(conn, text)
	return err
}

// mint returns a token whose owner and witness go on when the daemon near the callers stops.
func (f *spillFixture) mint(t *testing.T) string {
	t.Helper()
	f.far.awaitLog(t, "vm-witness/")
	resp, err := http.Post("http://"+f.far.callers+"/v1/tokens?service=desk&count=1", "", nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var minted struct{ Tokens []string }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&minted))
	assert.Equal(t, len(minted.Tokens), 1)
	return minted.Tokens[0]
}

// TestUnroutedRequestWhileDraining guards against a request that comes on a connection while a
// daemon without routes drains its connections, is sent on, and is cut when the drain ends.
func TestUnroutedRequestWhileDraining(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, outcome string
		once          bool
	}{{"idempotent", "not-run", false}, {"once-only", "unknown", true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newSpillFixture(t, "", nil)
			token := ""
			if tc.once {
				token = f.mint(t)
			}
			conn := dial(t, f.near.callers)
			f.near.stop()
			f.near.awaitLog(t, `msg="listener closed" address=`+f.near.callers)
			assert.NilError(t, requestLong(conn, token))
			status, outcome := responseStatus(conn)
			f.near.awaitStop(t, time.Now())
			assert.Check(t, cmp.Equal(f.ran.Load(), int64(0)), "the request ran")
			assert.Check(t, cmp.Equal(status, http.StatusServiceUnavailable))
			assert.Check(t, cmp.Equal(outcome, tc.outcome))
		})
	}
}

// TestUnroutedRequestAfterIdleCheck guards against a request that a daemon without routes sends
// on just after its stop has found none in progress, and cuts when its connections are drained.
func TestUnroutedRequestAfterIdleCheck(t *testing.T) {
	t.Parallel()
	conns := make(chan net.Conn, 1)
	f := newSpillFixture(t, "refusing all further requests", func(f *spillFixture) {
		conn := <-conns
		conns <- conn
		if !assert.Check(t, requestLong(conn, "")) {
			return
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if f.ran.Load() > 0 {
				return poll.Success()
			}
			return poll.Continue("not sent on")
		}, poll.WithDelay(time.Millisecond))
	})
	conn := dial(t, f.near.callers)
	conns <- conn
	f.near.stop()
	status, outcome := responseStatus(conn)
	f.near.awaitStop(t, time.Now())
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, outcome, "ran")
}
