package runner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/kernel/runner"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

const settings = `[vm]
name = %s
zone = a
region = r
[listen]
callers = %s
operators = %s
peers = %s
[platform]
address = %s
[peers]
key = %s
seeds = %s
[timing]
heartbeat = 50ms
suspect = 500ms
[routing]
ready = %s
lookup = %s
ttl = 100ms
grace = %s
[zone a]
region = r
`

// grace is the time of a planned stop. It is below the time limit of the sample's
// route, so that a stuck request outlasts it.
const grace = 1500 * time.Millisecond

// slowTime is how long the upstream takes for a slow request.
const slowTime = 400 * time.Millisecond

// daemon is a routed daemon in this process, on addresses of its own.
type daemon struct {
	callers, ready, lookup, peers string

	stop context.CancelFunc
	done chan error
	log  *safeBuffer
}

type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// free returns addresses that nothing listens on.
func free(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out
}

func start(t *testing.T, name, store, seed string) *daemon {
	t.Helper()
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	assert.NilError(t, os.WriteFile(key, []byte("a key of sixteen bytes"), 0o600))
	a := free(t, 5)
	if seed == "" {
		seed = a[2]
	}
	path := filepath.Join(dir, "waxwingd.ini")
	text := fmt.Sprintf(settings, name, a[0], a[1], a[2], store, key, seed, a[3], a[4], grace)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := loader.Load(path)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{callers: a[0], peers: a[2], ready: a[3], lookup: a[4], stop: cancel, done: make(chan error, 1), log: &safeBuffer{}}
	go func() { d.done <- runner.Run(ctx, s, d.log) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-d.done:
			assert.Check(t, err)
		case <-time.After(10 * time.Second):
			t.Errorf("%s did not stop", name)
		}
		if t.Failed() {
			t.Log(d.log.String())
		}
	})
	return d
}

// isReady waits until the daemon says so.
func (d *daemon) isReady(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, _ := get(d.ready, platform.ReadyPath, ""); status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(20*time.Second))
}

func get(address, path, host string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
		req.Header.Set(platform.Headers().Attempt, "a1")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// fixture is a store and an upstream.
type fixture struct {
	stand *storekeeper.Storekeeper
	store string
	// stuck tells of requests that the upstream never answers.
	stuck chan struct{}
	// ran are the slow requests that the upstream began with.
	ran sync.Map
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{stand: storekeeper.New(clockwork.NewRealClock()), stuck: make(chan struct{}, 1)}
	store := httptest.NewServer(f.stand.Handler())
	t.Cleanup(store.CloseClientConnections)
	f.store = strings.TrimPrefix(store.URL, "http://")
	h := platform.Headers()
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			f.ran.Store(r.Header.Get(h.Attempt), true)
			time.Sleep(slowTime)
		}
		if strings.HasSuffix(r.URL.Path, "/stuck") {
			f.stuck <- struct{}{}
			<-r.Context().Done()
			return
		}
		w.Header().Set(h.Attempt, r.Header.Get(h.Attempt))
		w.Header().Set(h.Signature, "s")
		_, _ = w.Write([]byte(r.Header.Get(h.Expect)))
	}))
	t.Cleanup(upstream.Close)
	f.configure(t, 1, "/stock/")
	entry := sample(t, "upstream", "ADDRESS", strings.TrimPrefix(upstream.URL, "http://"))
	assert.NilError(t, f.stand.Write(platform.UpstreamKind, "i-1", entry))
	return f
}

func (f *fixture) configure(t *testing.T, version int, path string) {
	t.Helper()
	text := sample(t, "configuration", "VERSION", strconv.Itoa(version), "PATH", path)
	assert.NilError(t, f.stand.Write(platform.ConfigKind, platform.ConfigName, text))
}

// sample returns a record as the platform writes it, with words replaced.
func sample(t *testing.T, name string, words ...string) json.RawMessage {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../../platform/testdata", name+".json"))
	assert.NilError(t, err)
	return json.RawMessage(strings.NewReplacer(words...).Replace(string(text)))
}

// TestRoutedDaemon takes a daemon from its start over a change of the
// configuration and a drained zone to its planned stop.
func TestRoutedDaemon(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := start(t, "vm-1", f.store, "")
	d.isReady(t)
	status, body := get(d.lookup, platform.LookupPath+"?name=shop.example&zone=a&region=r", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, d.callers), body)
	status, body = get(d.callers, "/stock/1", "shop.example")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "i-1")
	status, _ = get(d.callers, "/other/1", "shop.example")
	assert.Equal(t, status, http.StatusNotFound)

	f.configure(t, 2, "/other/")
	poll.WaitOn(t, answers(d, "/other/1", http.StatusOK))
	status, _ = get(d.callers, "/stock/1", "shop.example")
	assert.Equal(t, status, http.StatusNotFound)
	f.configure(t, 1, "/stock/")

	assert.NilError(t, f.stand.Write(platform.DrainKind, "a", struct{}{}))
	poll.WaitOn(t, answers(d, "/other/1", http.StatusServiceUnavailable))
	f.stand.Delete(platform.DrainKind, "a")
	poll.WaitOn(t, answers(d, "/other/1", http.StatusOK))

	d.stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, _ := get(d.ready, platform.ReadyPath, ""); status != http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("still ready")
	})
	assert.NilError(t, <-d.done)
	d.done <- nil
}

func answers(d *daemon, path string, want int) poll.Check {
	return func(poll.LogT) poll.Result {
		if status, body := get(d.callers, path, "shop.example"); status != want {
			return poll.Continue("%d %s", status, body)
		}
		return poll.Success()
	}
}

// TestStartWhileTheStoreIsAway has a daemon learn document and upstreams from
// its peer.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	first := start(t, "vm-1", f.store, "")
	first.isReady(t)
	f.stand.SetFaults(storekeeper.Faults{Outage: true})
	second := start(t, "vm-2", f.store, first.peers)
	second.isReady(t)
	status, body := get(second.callers, "/stock/1", "shop.example")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "i-1")
}

// TestStopWithStuckRequest has a planned stop end inside the grace although an
// upstream never answers.
func TestStopWithStuckRequest(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := start(t, "vm-1", f.store, "")
	d.isReady(t)
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		get(d.callers, "/stock/stuck", "shop.example")
	}()
	<-f.stuck
	begun := time.Now()
	d.stop()
	assert.NilError(t, <-d.done)
	took := time.Since(begun)
	d.done <- nil
	<-asked
	assert.Assert(t, took < grace, "the stop took %v", took)
}

// TestStopUnderLoad has callers send until the daemon is gone: whatever an upstream
// began with is answered, and what can't be finished any more is refused as not run.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := start(t, "vm-1", f.store, "")
	d.isReady(t)
	var answered sync.Map
	var callers sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	// Fewer callers than the upstream has slots: none waits until its time is over.
	for i := range 4 {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				attempt := fmt.Sprintf("a%d-%d", i, n)
				// Some requests may take as long as the route allows, others less.
				remaining := []string{"700", "5000"}[n%2]
				status := callSlow(d.callers, attempt, remaining)
				if status != 0 {
					answered.Store(attempt, status)
				}
				if status != http.StatusOK {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	time.Sleep(slowTime)
	d.stop()
	assert.NilError(t, <-d.done)
	d.done <- nil
	cancel()
	callers.Wait()
	ran, refused := 0, 0
	f.ran.Range(func(attempt, _ any) bool {
		status, ok := answered.Load(attempt)
		assert.Check(t, ok && status == http.StatusOK, "%v ran and its caller got %v", attempt, status)
		ran++
		return true
	})
	answered.Range(func(_, status any) bool {
		if status == http.StatusServiceUnavailable {
			refused++
		}
		return true
	})
	assert.Assert(t, ran > 0 && refused > 0, "ran %d refused %d", ran, refused)
}

// callSlow sends one slow request on a connection of its own, and returns the status
// of a whole answer or 0.
func callSlow(address, attempt, remaining string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/stock/slow", nil)
	if err != nil {
		return 0
	}
	req.Host = "shop.example"
	h := platform.Headers()
	req.Header.Set(h.Attempt, attempt)
	req.Header.Set(h.Remaining, remaining)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestPlacementIsRestored has a daemon take over the placement that was noted
// before it was restarted, and start all the same when a note can't be read.
func TestPlacementIsRestored(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	notes := storer.New(client(t, f.store))
	for _, note := range []string{`{"a":{"a":0.5,"b":0.5}}`, `{"a":{"a":1}}`} {
		assert.NilError(t, notes.Note(t.Context(), "desk", json.RawMessage(note)))
	}
	assert.NilError(t, notes.Note(t.Context(), "other", json.RawMessage(`[]`)))
	kept, err := notes.Notes(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(kept["desk"]), `{"a":{"a":1}}`, "the last writer wins")
	d := start(t, "vm-1", f.store, "")
	d.isReady(t)
	for _, want := range []string{`msg="placement restored" vm=vm-1 service=desk zones=1 used=true`, `msg="placement unreadable" vm=vm-1 service=other`} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if strings.Contains(d.log.String(), want) {
				return poll.Success()
			}
			return poll.Continue("no %s", want)
		})
	}
	status, _ := get(d.callers, "/stock/1", "shop.example")
	assert.Equal(t, status, http.StatusOK)
}

func client(t *testing.T, store string) *platform.Client {
	t.Helper()
	c, cleanup := platform.NewClient(store)
	t.Cleanup(cleanup)
	return c
}
