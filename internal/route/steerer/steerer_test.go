package steerer_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

const document = `
[service desk]
[route read]
host = shop
path = /read/
split = desk:1
timeout = 2s
target = 100ms
attempts = 3
affinity = yes
[route order]
host = shop
path = /order/
split = desk:1
once = yes
timeout = 2s
target = 100ms
attempts = 3
[route urgent]
host = shop
path = /urgent/
split = desk:1
once = yes
timeout = 2s
attempts = 1
`

// fate is what becomes of one send.
type fate int

const (
	runs fate = iota
	fails
	refuses
	breaks
	unreachable
	spoils
	hangs
	// sheds refuses although slots are free, full since none is.
	sheds
	full
	// connects waits before it sends, as where opening a connection takes time.
	connects
)

// mayRun reports whether the upstream may have run a request of this fate.
func (f fate) mayRun() bool {
	return f != refuses && f != unreachable && f != sheds && f != full
}

// upstreams is every upstream, with fates for the next sends.
type upstreams struct {
	mu    sync.Mutex
	fates []fate
	sent  []fate
	to    []namer.Upstream
	left  []time.Duration
	free  chan struct{}
	gone  int
}

func (u *upstreams) CloseIdleExcept([]cataloger.Target) {}

func (u *upstreams) Preconnect(context.Context, cataloger.Target) (time.Duration, error) {
	return time.Millisecond, nil
}

func (u *upstreams) Exchange(ctx context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error) {
	u.mu.Lock()
	f := runs
	if len(u.fates) > 0 {
		f = u.fates[0]
		u.fates = u.fates[1:]
	}
	u.sent = append(u.sent, f)
	u.to = append(u.to, t.Upstream)
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append(r.Head, r.Body...))))
	if err == nil {
		ms, _ := strconv.Atoi(req.Header.Get(namer.OwnHeaders().Remaining))
		u.left = append(u.left, time.Duration(ms)*time.Millisecond)
	}
	u.mu.Unlock()
	h := namer.OwnHeaders()
	header := http.Header{}
	header.Set(h.Signature, "s")
	switch f {
	case runs:
		return exchanger.Response{Status: http.StatusOK, Header: header, Body: []byte("ok")}, nil
	case fails:
		return exchanger.Response{Status: http.StatusInternalServerError, Header: header}, nil
	case refuses:
		header.Set(h.Refused, "1")
		return exchanger.Response{Status: http.StatusServiceUnavailable, Header: header}, nil
	case sheds, full:
		header.Set(h.Refused, "1")
		header.Set(h.Load, map[fate]string{sheds: "1,0,4", full: "4,2,4"}[f])
		return exchanger.Response{Status: http.StatusServiceUnavailable, Header: header}, nil
	case spoils:
		return exchanger.Response{Status: http.StatusOK, Header: http.Header{}}, nil
	case unreachable:
		return exchanger.Response{}, errors.Mark(errors.New("refused"), exchanger.ErrNotSent)
	case connects:
		<-u.free
		if !r.Usable() {
			return exchanger.Response{}, errors.Mark(errors.New("left"), exchanger.ErrNotSent)
		}
		return exchanger.Response{Status: http.StatusOK, Header: header, Body: []byte("ok")}, nil
	case hangs:
		select {
		case <-u.free:
			return exchanger.Response{Status: http.StatusOK, Header: header}, nil
		case <-ctx.Done():
			u.mu.Lock()
			defer u.mu.Unlock()
			u.gone++
		}
	case breaks:
	}
	return exchanger.Response{}, errors.New("broken")
}

func newSteerer(t interface{ Fatal(...any) }, up *upstreams, count, slots int) *steerer.Steerer {
	self := selector.Self{VM: "v", Zone: "z", Region: "r", Regions: map[namer.Zone]namer.Region{"z": "r"}}
	s := steerer.New(self, namer.OwnHeaders(), steerer.Budget{Ratio: 1, Window: 10 * time.Second}, up,
		clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(document)}})
	if err != nil {
		t.Fatal(err)
	}
	s.SetDocument(1, doc)
	s.SetUpstreams(viewOf(count, slots))
	return s
}

// viewOf returns a view of upstreams in one zone.
func viewOf(count, slots int) *cataloger.View {
	view := &cataloger.View{}
	for i := range count {
		name := fmt.Sprintf("u%d", i)
		view.Upstreams = append(view.Upstreams, cataloger.Upstream{Entry: cataloger.Entry{
			Upstream: namer.Upstream(name), Service: "desk", Zone: "z", Address: name, Slots: slots,
		}})
	}
	return view
}

func request(path string) steerer.Request {
	return steerer.Request{
		Method: http.MethodPost, Host: "shop", Target: path, Path: path, Header: http.Header{}, Attempt: "a", Object: "o", Arrived: time.Now(),
	}
}

// TestFates holds how often a request is sent and what its caller is told.
func TestFates(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		path   string
		fates  []fate
		sends  int
		status int
		code   steerer.Code
	}{
		{"once, runs", "/order/", []fate{runs}, 1, 200, ""},
		{"once, breaks", "/order/", []fate{breaks}, 1, 502, steerer.CodeUnknown},
		{"once, spoils", "/order/", []fate{spoils}, 1, 502, steerer.CodeUnknown},
		{"once, fails", "/order/", []fate{fails}, 1, 500, ""},
		{"once, refused, runs", "/order/", []fate{refuses, runs}, 2, 200, ""},
		{"once, refused, breaks", "/order/", []fate{refuses, breaks}, 2, 502, steerer.CodeUnknown},
		{"once, refused by all", "/order/", []fate{refuses, refuses, refuses, refuses}, 3, 503, steerer.CodeRefused},
		{"once, unreachable, runs", "/order/", []fate{unreachable, unreachable, runs}, 3, 200, ""},
		{"once, one attempt", "/urgent/", []fate{refuses, runs}, 1, 503, steerer.CodeRefused},
		{"once, one attempt, unreachable", "/urgent/", []fate{unreachable, runs}, 2, 200, ""},
		{"read, breaks, runs", "/read/", []fate{breaks, runs}, 2, 200, ""},
		{"read, fails, runs", "/read/", []fate{fails, runs}, 2, 200, ""},
		{"read, fails thrice", "/read/", []fate{fails, fails, fails, runs}, 3, 500, ""},
		{"read, spoils, refuses", "/read/", []fate{spoils, refuses, refuses}, 3, 502, steerer.CodeUnknown},
		{"no route", "/none/", nil, 0, 404, steerer.CodeNoRoute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			up := &upstreams{fates: tc.fates}
			s := newSteerer(t, up, 5, 4)
			// Earlier requests pay for second sends.
			for range 4 {
				s.Steer(t.Context(), request("/none/"))
			}
			for range 3 {
				up.mu.Lock()
				kept := up.fates
				up.fates = nil
				up.mu.Unlock()
				s.Steer(t.Context(), request("/read/"))
				up.mu.Lock()
				up.fates, up.sent, up.to = kept, nil, nil
				up.mu.Unlock()
			}
			result := s.Steer(t.Context(), request(tc.path))
			assert.Equal(t, result.Status, tc.status, "%+v", result)
			assert.Equal(t, result.Code, tc.code)
			assert.Equal(t, len(up.sent), tc.sends)
			if result.Status == http.StatusServiceUnavailable {
				assert.Assert(t, result.RetryAfter > 0)
			}
		})
	}
}

// TestDrainWhileConnecting has the upstream of a request leave while the connection to it
// is opened: the request goes to another one.
func TestDrainWhileConnecting(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		leave func(v *cataloger.View, at int)
	}{
		{"draining", func(v *cataloger.View, at int) { v.Upstreams[at].Draining = true }},
		{"removed", func(v *cataloger.View, at int) { v.Upstreams = slices.Delete(v.Upstreams, at, at+1) }},
		{"replaced", func(v *cataloger.View, at int) { v.Upstreams[at].StartedMs++ }},
		{"zone drained", func(v *cataloger.View, at int) {
			v.Drained = map[namer.Zone]bool{"z": true}
			for i := range v.Upstreams {
				if i != at {
					v.Upstreams[i].Zone = "y"
				}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			up := &upstreams{fates: []fate{connects}, free: make(chan struct{})}
			s := newSteerer(t, up, 2, 4)
			done := make(chan steerer.Result, 1)
			go func() { done <- s.Steer(context.Background(), request("/order/")) }()
			poll.WaitOn(t, up.count(1))
			view := viewOf(2, 4)
			up.mu.Lock()
			first := up.to[0]
			up.mu.Unlock()
			tc.leave(view, slices.IndexFunc(view.Upstreams, func(u cataloger.Upstream) bool { return u.Upstream == first }))
			s.SetUpstreams(view)
			close(up.free)
			result := <-done
			assert.Equal(t, result.Status, http.StatusOK)
			assert.Equal(t, len(up.to), 2)
			assert.Assert(t, up.to[1] != first || tc.name == "replaced")
		})
	}
}

// TestRetryAfterRefusal has a caller come back at once when upstreams refused it
// although they had free slots, and after some time when they were full.
func TestRetryAfterRefusal(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		fates []fate
		soon  bool
	}{
		{"free slots", []fate{sheds}, true},
		{"full", []fate{full}, false},
		{"load not told", []fate{refuses}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSteerer(t, &upstreams{fates: tc.fates}, 5, 4)
			result := s.Steer(t.Context(), request("/urgent/"))
			assert.Equal(t, result.Code, steerer.CodeRefused)
			assert.Equal(t, result.RetryAfter < 50*time.Millisecond, tc.soon, "%v", result.RetryAfter)
		})
	}
}

// TestPropertyPromises sends requests to upstreams of any fate: what may run
// only once is never sent again after a send that may have run, and a refusal
// is told only when nothing may have run.
func TestPropertyPromises(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		up := &upstreams{}
		s := newSteerer(t, up, rapid.IntRange(0, 5).Draw(t, "upstreams"), 4)
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			up.sent = nil
			up.to = nil
			up.fates = rapid.SliceOfN(rapid.SampledFrom([]fate{runs, fails, refuses, breaks, unreachable, spoils}), 0, 8).Draw(t, "fates")
			path := rapid.SampledFrom([]string{"/read/", "/order/", "/urgent/"}).Draw(t, "path")
			result := s.Steer(context.Background(), request(path))
			ran := 0
			for _, f := range up.sent {
				if f.mayRun() {
					ran++
				}
			}
			if path != "/read/" && ran > 1 {
				t.Fatalf("%s may have run %d times: %v", path, ran, up.sent)
			}
			if result.Status == http.StatusServiceUnavailable && ran > 0 {
				t.Fatalf("%s was refused and may have run: %v", path, up.sent)
			}
			seen := make(map[namer.Upstream]bool)
			for _, to := range up.to {
				if seen[to] {
					t.Fatalf("sent to %s twice", to)
				}
				seen[to] = true
			}
		}
	})
}

func TestNoDocument(t *testing.T) {
	t.Parallel()
	self := selector.Self{VM: "v", Zone: "z", Region: "r"}
	s := steerer.New(self, namer.OwnHeaders(), steerer.Budget{Ratio: 1, Window: time.Second}, &upstreams{},
		clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	result := s.Steer(t.Context(), request("/read/"))
	assert.Equal(t, result.Status, http.StatusServiceUnavailable, "an unknown configuration is no missing route")
	assert.Equal(t, result.Code, steerer.CodeStarting)
}

// TestTimeLeft sends on what is left of the shorter of the two limits.
func TestTimeLeft(t *testing.T) {
	t.Parallel()
	up := &upstreams{}
	s := newSteerer(t, up, 2, 4)
	r := request("/read/")
	r.Remaining = time.Second
	s.Steer(t.Context(), r)
	r = request("/read/")
	r.Remaining = time.Minute
	s.Steer(t.Context(), r)
	assert.Assert(t, up.left[0] <= time.Second && up.left[0] > 900*time.Millisecond, "%v", up.left)
	assert.Assert(t, up.left[1] <= 2*time.Second && up.left[1] > 1900*time.Millisecond, "%v", up.left)
}

// TestCallerLeaves cancels what may be repeated, and lets run what may not.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	for path, canceled := range map[string]int{"/read/": 1, "/order/": 0} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			up := &upstreams{fates: []fate{hangs}, free: make(chan struct{})}
			s := newSteerer(t, up, 2, 4)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan steerer.Result, 1)
			go func() { done <- s.Steer(ctx, request(path)) }()
			poll.WaitOn(t, up.count(1))
			cancel()
			if canceled == 0 {
				close(up.free)
			}
			<-done
			up.mu.Lock()
			defer up.mu.Unlock()
			assert.Equal(t, up.gone, canceled)
			assert.Equal(t, len(up.sent), 1)
		})
	}
}

func (u *upstreams) count(n int) poll.Check {
	return func(poll.LogT) poll.Result {
		u.mu.Lock()
		defer u.mu.Unlock()
		if len(u.sent) >= n {
			return poll.Success()
		}
		return poll.Continue("%d sent", len(u.sent))
	}
}

// TestWaiting fills the only upstream and has requests wait for it in their
// order. The request of a caller that left is never sent.
func TestWaiting(t *testing.T) {
	t.Parallel()
	up := &upstreams{fates: []fate{hangs, hangs, hangs}, free: make(chan struct{})}
	s := newSteerer(t, up, 1, 2)
	results := make(chan string, 8)
	send := func(ctx context.Context, path string) {
		go func() {
			result := s.Steer(ctx, request(path))
			results <- path + strconv.Itoa(result.Status)
		}()
	}
	for range 3 {
		send(t.Context(), "/order/")
	}
	poll.WaitOn(t, up.count(3))
	ctx, cancel := context.WithCancel(t.Context())
	send(ctx, "/read/")
	poll.WaitOn(t, waiting(s, 1))
	send(t.Context(), "/order/")
	poll.WaitOn(t, waiting(s, 2))
	cancel()
	assert.Equal(t, <-results, "/read/503")
	close(up.free)
	for range 4 {
		assert.Equal(t, <-results, "/order/200")
	}
	assert.Equal(t, len(up.sent), 4)
}

func waiting(s *steerer.Steerer, n int64) poll.Check {
	return func(poll.LogT) poll.Result {
		if got := s.Counts().Waited; got < n {
			return poll.Continue("%d waited", got)
		}
		return poll.Success()
	}
}

// TestLeave has a VM that ends soon take what it can finish, and refuse the rest as
// not run, also what has waited since before.
func TestLeave(t *testing.T) {
	t.Parallel()
	up := &upstreams{fates: []fate{hangs, hangs, hangs}, free: make(chan struct{})}
	s := newSteerer(t, up, 1, 2)
	waited := make(chan steerer.Result, 4)
	var hung sync.WaitGroup
	for range 3 {
		hung.Go(func() { s.Steer(t.Context(), request("/order/")) })
	}
	poll.WaitOn(t, up.count(3))
	go func() { waited <- s.Steer(t.Context(), request("/order/")) }()
	poll.WaitOn(t, waiting(s, 1))
	begun := time.Now()
	s.Leave(begun.Add(500 * time.Millisecond))
	result := <-waited
	assert.Equal(t, result.Status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begun) < time.Second, "the limit of the request is later")
	close(up.free)
	hung.Wait()

	result = s.Steer(t.Context(), request("/order/"))
	assert.Equal(t, result.Code, steerer.CodeLeaving)
	assert.Equal(t, result.Status, http.StatusServiceUnavailable)
	assert.Assert(t, result.RetryAfter > 0 && result.RetryAfter < 50*time.Millisecond, "another VM serves it at once")
	assert.Equal(t, result.Sent, 0)
	s.Leave(time.Now().Add(500 * time.Millisecond))
	// Orders are expected to take as long as those that hung.
	short := request("/urgent/")
	short.Remaining = 300 * time.Millisecond
	result = s.Steer(t.Context(), short)
	assert.Equal(t, result.Status, http.StatusOK)
}
