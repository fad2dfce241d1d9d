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
	"sync/atomic"
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

// behavior is what a fake upstream does with one request.
type behavior int

const (
	returnsOK behavior = iota
	returns500
	returns503
	refuses
	breaksConnection
	unreachable
	returnsUnsigned
	hangs
	// refusesWithFreeSlots reports free slots in its refusal, refusesWhenFull and
	// refusesWhenFullAndSlow report none, and refuses reports no load.
	refusesWithFreeSlots
	refusesWhenFull
	refusesWhenFullAndSlow
	// refusesOtherUpstream is the response of an upstream that is not the expected one.
	refusesOtherUpstream
	// returnsEncoded adds a Content-Encoding, as something between might.
	returnsEncoded
	// connectsSlowly waits for release before anything is sent, as if opening the
	// connection took long.
	connectsSlowly
)

// mayRun reports whether an upstream with this behavior may have run the request.
func (b behavior) mayRun() bool {
	switch b {
	case refuses, unreachable, refusesWithFreeSlots, refusesWhenFull, refusesWhenFullAndSlow, refusesOtherUpstream:
		return false
	default:
		return true
	}
}

// fakeUpstreams stands in for all upstreams. The next requests get the given behaviors
// in turn, later ones returnsOK.
type fakeUpstreams struct {
	mu        sync.Mutex
	behaviors []behavior
	sent      []behavior
	sentTo    []namer.Upstream
	timeouts  []time.Duration
	release   chan struct{}
	canceled  int
	// extra is added to the headers of all responses.
	extra http.Header
}

func (u *fakeUpstreams) CloseIdleExcept([]cataloger.Target) {}

func (u *fakeUpstreams) Preconnect(context.Context, cataloger.Target) (time.Duration, error) {
	return time.Millisecond, nil
}

func (u *fakeUpstreams) Exchange(ctx context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error) {
	u.mu.Lock()
	b := returnsOK
	if len(u.behaviors) > 0 {
		b = u.behaviors[0]
		u.behaviors = u.behaviors[1:]
	}
	u.sent = append(u.sent, b)
	u.sentTo = append(u.sentTo, t.Upstream)
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append(r.Head, r.Body...))))
	if err == nil {
		ms, _ := strconv.Atoi(req.Header.Get(namer.WaxwingHeaderNames().RemainingMs))
		u.timeouts = append(u.timeouts, time.Duration(ms)*time.Millisecond)
	}
	header := u.extra.Clone()
	u.mu.Unlock()
	if header == nil {
		header = http.Header{}
	}
	h := namer.WaxwingHeaderNames()
	if b != returnsUnsigned {
		header.Set(h.Signature, "s")
	}
	switch b {
	case returnsOK:
		return exchanger.Response{Status: http.StatusOK, Header: header, Body: []byte("ok")}, nil
	case returns500:
		return exchanger.Response{Status: http.StatusInternalServerError, Header: header}, nil
	case returns503:
		return exchanger.Response{Status: http.StatusServiceUnavailable, Header: header}, nil
	case refuses:
		header.Set(h.NotRun, "1")
		return exchanger.Response{Status: http.StatusServiceUnavailable, Header: header}, nil
	case refusesWithFreeSlots, refusesWhenFull, refusesWhenFullAndSlow:
		header.Set(h.NotRun, "1")
		header.Set(h.Load, map[behavior]string{refusesWithFreeSlots: "1,0,4", refusesWhenFull: "4,2,4", refusesWhenFullAndSlow: "4,2,4,250"}[b])
		return exchanger.Response{Status: http.StatusServiceUnavailable, Header: header}, nil
	case refusesOtherUpstream:
		return exchanger.Response{Status: http.StatusMisdirectedRequest, Header: header}, nil
	case returnsEncoded:
		header.Set("Content-Encoding", "gzip")
		return exchanger.Response{Status: http.StatusOK, Header: header}, nil
	case returnsUnsigned:
		return exchanger.Response{Status: http.StatusOK, Header: header}, nil
	case unreachable:
		return exchanger.Response{}, errors.Mark(errors.New("refused"), exchanger.ErrNotSent)
	case connectsSlowly:
		select {
		case <-u.release:
		case <-ctx.Done():
			return exchanger.Response{}, errors.Mark(ctx.Err(), exchanger.ErrNotSent)
		}
		if r.CallerGone() || !r.Usable() {
			return exchanger.Response{}, errors.Mark(errors.New("left"), exchanger.ErrNotSent)
		}
		return exchanger.Response{Status: http.StatusOK, Header: header, Body: []byte("ok")}, nil
	case hangs:
		if r.Detached {
			ctx = context.WithoutCancel(ctx)
		}
		select {
		case <-u.release:
			return exchanger.Response{Status: http.StatusOK, Header: header}, nil
		case <-ctx.Done():
			u.mu.Lock()
			defer u.mu.Unlock()
			u.canceled++
		}
	case breaksConnection:
	}
	return exchanger.Response{}, errors.New("broken")
}

func newSteerer(t interface{ Fatal(...any) }, up steerer.UpstreamClient, count, slots int) *steerer.Steerer {
	return newSteererWithClock(t, up, count, slots, clockwork.NewRealClock())
}

func newSteererWithClock(
	t interface{ Fatal(...any) }, up steerer.UpstreamClient, count, slots int, clock clockwork.Clock,
) *steerer.Steerer {
	self := selector.Self{VM: "v", Zone: "z", Region: "r", Regions: map[namer.Zone]namer.Region{"z": "r"}}
	s := steerer.New(self, namer.WaxwingHeaderNames(), steerer.RetryBudget{Ratio: 1, Window: 10 * time.Second}, up,
		clock, slog.New(slog.DiscardHandler))
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(document)}})
	if err != nil {
		t.Fatal(err)
	}
	s.SetDocument(1, doc)
	s.SetUpstreams(viewOf(count, slots))
	return s
}

// viewOf returns a view of count upstreams in one zone.
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
		Method: http.MethodPost, Host: "shop", Target: path, Path: path, Header: http.Header{}, AttemptID: "a", Object: "o", ReceivedAt: time.Now(),
	}
}

// TestUpstreamBehaviors checks how often a request is sent and what its caller gets, for
// each behavior of the upstreams.
func TestUpstreamBehaviors(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name       string
		path       string
		behaviors  []behavior
		wantSends  int
		wantStatus int
		wantCode   steerer.Code
	}{
		{"once, returns OK", "/order/", []behavior{returnsOK}, 1, 200, ""},
		{"once, breaks connection", "/order/", []behavior{breaksConnection}, 1, 502, steerer.CodeOutcomeUnknown},
		{"once, returns unsigned", "/order/", []behavior{returnsUnsigned}, 1, 502, steerer.CodeOutcomeUnknown},
		{"once, returns 500", "/order/", []behavior{returns500}, 1, 500, ""},
		{"once, refuses, returns OK", "/order/", []behavior{refuses, returnsOK}, 2, 200, ""},
		{"once, refuses, breaks connection", "/order/", []behavior{refuses, breaksConnection}, 2, 502, steerer.CodeOutcomeUnknown},
		{"once, all refuse", "/order/", []behavior{refuses, refuses, refuses, refuses}, 3, 503, steerer.CodeRefused},
		{"once, unreachable, returns OK", "/order/", []behavior{unreachable, unreachable, returnsOK}, 3, 200, ""},
		{"once, one attempt", "/urgent/", []behavior{refuses, returnsOK}, 1, 503, steerer.CodeRefused},
		{"once, one attempt, unreachable", "/urgent/", []behavior{unreachable, returnsOK}, 2, 200, ""},
		{"read, breaks connection, returns OK", "/read/", []behavior{breaksConnection, returnsOK}, 2, 200, ""},
		{"read, returns 500, returns OK", "/read/", []behavior{returns500, returnsOK}, 2, 200, ""},
		{"read, returns 500 three times", "/read/", []behavior{returns500, returns500, returns500, returnsOK}, 3, 500, ""},
		{"read, returns unsigned, refuses", "/read/", []behavior{returnsUnsigned, refuses, refuses}, 3, 502, steerer.CodeOutcomeUnknown},
		{"no route", "/none/", nil, 0, 404, steerer.CodeNoRoute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			up := &fakeUpstreams{behaviors: tc.behaviors}
			s := newSteerer(t, up, 5, 4)
			// Earlier requests fill the retry budget.
			for range 4 {
				s.Steer(t.Context(), request("/none/"))
			}
			for range 3 {
				up.mu.Lock()
				saved := up.behaviors
				up.behaviors = nil
				up.mu.Unlock()
				s.Steer(t.Context(), request("/read/"))
				up.mu.Lock()
				up.behaviors, up.sent, up.sentTo = saved, nil, nil
				up.mu.Unlock()
			}
			result := s.Steer(t.Context(), request(tc.path))
			assert.Equal(t, result.Status, tc.wantStatus, "%+v", result)
			assert.Equal(t, result.Code, tc.wantCode)
			assert.Equal(t, len(up.sent), tc.wantSends)
			if result.Status == http.StatusServiceUnavailable {
				assert.Assert(t, result.RetryAfter > 0)
			}
		})
	}
}

// TestDrainWhileConnecting checks that a request goes to another upstream if the first
// one is drained, removed or replaced while the connection to it is being opened.
// Guards against requests that reach a drained upstream because opening the connection
// took longer than the drain took to arrive.
func TestDrainWhileConnecting(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		remove func(v *cataloger.View, at int)
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
			up := &fakeUpstreams{behaviors: []behavior{connectsSlowly}, release: make(chan struct{})}
			s := newSteerer(t, up, 2, 4)
			done := make(chan steerer.Result, 1)
			go func() { done <- s.Steer(context.Background(), request("/order/")) }()
			poll.WaitOn(t, up.sentAtLeast(1))
			view := viewOf(2, 4)
			up.mu.Lock()
			first := up.sentTo[0]
			up.mu.Unlock()
			tc.remove(view, slices.IndexFunc(view.Upstreams, func(u cataloger.Upstream) bool { return u.Upstream == first }))
			s.SetUpstreams(view)
			close(up.release)
			result := <-done
			assert.Equal(t, result.Status, http.StatusOK)
			assert.Equal(t, len(up.sentTo), 2)
			assert.Assert(t, up.sentTo[1] != first || tc.name == "replaced")
		})
	}
}

// TestLeavingIgnoredInResponse checks that an upstream that says in a response of any kind
// that it is leaving gets no further request, while its record still says it is ready.
func TestLeavingIgnoredInResponse(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		behavior behavior
		value    string
		leaving  bool
	}{
		{"success", returnsOK, "1", true},
		{"failure", returns500, "1", true},
		{"refusal", refuses, "1", true},
		{"refusal with free slots", refusesWithFreeSlots, "1", true},
		{"another upstream at the address", refusesOtherUpstream, "1", false},
		{"no signature", returnsUnsigned, "1", true},
		{"content encoding", returnsEncoded, "1", true},
		{"not leaving", returnsOK, "0", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			up := &fakeUpstreams{behaviors: []behavior{tc.behavior}, extra: http.Header{}}
			up.extra.Set(namer.WaxwingHeaderNames().Leaving, tc.value)
			s := newSteerer(t, up, 1, 4)
			s.Steer(t.Context(), request("/urgent/"))
			result := s.Steer(t.Context(), request("/order/"))
			assert.Equal(t, result.SendCount == 0, tc.leaving, "%+v", result)
			assert.Equal(t, result.Code == steerer.CodeRefused, tc.leaving)
		})
	}
}

// TestLeavingLearnedWhileConnecting checks that a request goes to another upstream if the
// first one says in the response to another request, while the connection is being
// opened, that it is leaving.
func TestLeavingLearnedWhileConnecting(t *testing.T) {
	t.Parallel()
	up := &fakeUpstreams{behaviors: []behavior{connectsSlowly, returnsOK}, release: make(chan struct{}), extra: http.Header{}}
	up.extra.Set(namer.WaxwingHeaderNames().Leaving, "1")
	s := newSteerer(t, up, 2, 4)
	done := make(chan steerer.Result, 1)
	go func() { done <- s.Steer(context.Background(), request("/order/")) }()
	poll.WaitOn(t, up.sentAtLeast(1))
	s.Steer(t.Context(), request("/order/"))
	close(up.release)
	result := <-done
	assert.Equal(t, result.Status, http.StatusOK)
	assert.Equal(t, len(up.sentTo), 3)
	assert.Equal(t, up.sentTo[1], up.sentTo[0])
	assert.Assert(t, up.sentTo[2] != up.sentTo[0])
}

// TestRetryAfterRefusal checks that Retry-After is almost zero if the upstream refused the
// request although it had free slots, and longer if it was full or reported no load.
func TestRetryAfterRefusal(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		behaviors []behavior
		extra     http.Header
		immediate bool
	}{
		{"free slots", []behavior{refusesWithFreeSlots}, nil, true},
		{"free slots and a pause", []behavior{refusesWithFreeSlots}, http.Header{"Retry-After": {"0.02"}}, false},
		{"full", []behavior{refusesWhenFull}, nil, false},
		{"full, on a slow host", []behavior{refusesWhenFullAndSlow}, nil, false},
		{"no load reported", []behavior{refuses}, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSteerer(t, &fakeUpstreams{behaviors: tc.behaviors, extra: tc.extra}, 5, 4)
			result := s.Steer(t.Context(), request("/urgent/"))
			assert.Equal(t, result.Code, steerer.CodeRefused)
			assert.Equal(t, result.RetryAfter < 50*time.Millisecond, tc.immediate, "%v", result.RetryAfter)
		})
	}
}

// TestRetryAfterIgnoredInRefusal checks that an upstream that answers 503 with Retry-After
// gets no request in that time, and that the header has no effect on other responses.
func TestRetryAfterIgnoredInRefusal(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		behavior behavior
		paused   bool
	}{
		{"refusal", refuses, true},
		{"refusal with free slots", refusesWithFreeSlots, true},
		{"failure with status 503", returns503, true},
		{"failure with status 500", returns500, false},
		{"another upstream at the address", refusesOtherUpstream, false},
		{"success", returnsOK, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			up := &fakeUpstreams{behaviors: []behavior{tc.behavior}, extra: http.Header{"Retry-After": {"30"}}}
			s := newSteerer(t, up, 1, 4)
			first := s.Steer(t.Context(), request("/urgent/"))
			if first.Code == steerer.CodeRefused && tc.paused {
				assert.Assert(t, first.RetryAfter > 29*time.Second && first.RetryAfter <= 30*time.Second, "%v", first.RetryAfter)
			}
			result := s.Steer(t.Context(), request("/order/"))
			assert.Equal(t, result.SendCount == 0, tc.paused, "%+v", result)
			if tc.paused {
				assert.Equal(t, result.Code, steerer.CodeRefused)
				assert.Assert(t, result.RetryAfter > 29*time.Second && result.RetryAfter <= 30*time.Second, "%v", result.RetryAfter)
			}
		})
	}
}

// TestQueuedThroughPause checks that a request is queued until the pause of the only
// upstream ends, if that is before the request's deadline.
func TestQueuedThroughPause(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	up := &fakeUpstreams{behaviors: []behavior{refusesWithFreeSlots}, extra: http.Header{"Retry-After": {"0.3"}}}
	s := newSteererWithClock(t, up, 1, 4, clock)
	order := request("/order/")
	order.ReceivedAt = clock.Now()
	assert.Equal(t, s.Steer(t.Context(), order).Code, steerer.CodeRefused)
	done := make(chan steerer.Result, 1)
	go func() { done <- s.Steer(context.Background(), order) }()
	poll.WaitOn(t, waitedAtLeast(s, 1))
	// Two timers run while a request is queued: its own and the next check of the queue.
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(299 * time.Millisecond)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	up.mu.Lock()
	assert.Equal(t, len(up.sent), 1)
	up.mu.Unlock()
	clock.Advance(10 * time.Millisecond)
	assert.Equal(t, (<-done).Status, http.StatusOK)
}

// TestPropertyNoUnsafeRetry sends requests to upstreams of random behavior. A once-only
// request must never be sent again after it may have run, a request must not be refused
// if it may have run, and no upstream gets the same request twice.
func TestPropertyNoUnsafeRetry(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		up := &fakeUpstreams{}
		s := newSteerer(t, up, rapid.IntRange(0, 5).Draw(t, "upstreams"), 4)
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			up.sent = nil
			up.sentTo = nil
			up.behaviors = rapid.SliceOfN(rapid.SampledFrom([]behavior{returnsOK, returns500, refuses, breaksConnection, unreachable, returnsUnsigned}), 0, 8).Draw(t, "fates")
			path := rapid.SampledFrom([]string{"/read/", "/order/", "/urgent/"}).Draw(t, "path")
			result := s.Steer(context.Background(), request(path))
			mayHaveRun := 0
			for _, f := range up.sent {
				if f.mayRun() {
					mayHaveRun++
				}
			}
			if path != "/read/" && mayHaveRun > 1 {
				t.Fatalf("%s may have run %d times: %v", path, mayHaveRun, up.sent)
			}
			if result.Status == http.StatusServiceUnavailable && mayHaveRun > 0 {
				t.Fatalf("%s was refused and may have run: %v", path, up.sent)
			}
			seen := make(map[namer.Upstream]bool)
			for _, to := range up.sentTo {
				if seen[to] {
					t.Fatalf("sent to %s twice", to)
				}
				seen[to] = true
			}
		}
	})
}

// TestNoDocument checks that a request before the first document is refused with a 503,
// not answered with the 404 of a missing route.
func TestNoDocument(t *testing.T) {
	t.Parallel()
	self := selector.Self{VM: "v", Zone: "z", Region: "r"}
	s := steerer.New(self, namer.WaxwingHeaderNames(), steerer.RetryBudget{Ratio: 1, Window: time.Second}, &fakeUpstreams{},
		clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	result := s.Steer(t.Context(), request("/read/"))
	assert.Equal(t, result.Status, http.StatusServiceUnavailable, "an unknown configuration is no missing route")
	assert.Equal(t, result.Code, steerer.CodeStarting)
}

// TestTimeoutSentUpstream checks that an upstream gets the time left of the shorter of
// the caller's and the route's timeout.
func TestTimeoutSentUpstream(t *testing.T) {
	t.Parallel()
	up := &fakeUpstreams{}
	s := newSteerer(t, up, 2, 4)
	r := request("/read/")
	r.Remaining = time.Second
	s.Steer(t.Context(), r)
	r = request("/read/")
	r.Remaining = time.Minute
	s.Steer(t.Context(), r)
	assert.Assert(t, up.timeouts[0] <= time.Second && up.timeouts[0] > 900*time.Millisecond, "%v", up.timeouts)
	assert.Assert(t, up.timeouts[1] <= 2*time.Second && up.timeouts[1] > 1900*time.Millisecond, "%v", up.timeouts)
}

// TestCallerDisconnects checks that an idempotent request is canceled when its caller
// disconnects, and that a once-only request goes on.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	for path, wantCanceled := range map[string]int{"/read/": 1, "/order/": 0} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			up := &fakeUpstreams{behaviors: []behavior{hangs}, release: make(chan struct{})}
			s := newSteerer(t, up, 2, 4)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan steerer.Result, 1)
			go func() { done <- s.Steer(ctx, request(path)) }()
			poll.WaitOn(t, up.sentAtLeast(1))
			cancel()
			if wantCanceled == 0 {
				close(up.release)
			}
			<-done
			up.mu.Lock()
			defer up.mu.Unlock()
			assert.Equal(t, up.canceled, wantCanceled)
			assert.Equal(t, len(up.sent), 1)
		})
	}
}

// TestCallerGoneBeforeFirstByte guards against requests that reach an upstream after their
// caller has left: while the connection to the upstream is opened, and when only the
// caller's connection, not yet the context, shows it.
func TestCallerGoneBeforeFirstByte(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/read/", "/order/"} {
		for _, noticed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s noticed=%t", path, noticed), func(t *testing.T) {
				t.Parallel()
				up := &fakeUpstreams{behaviors: []behavior{connectsSlowly}, release: make(chan struct{})}
				s := newSteerer(t, up, 2, 4)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var gone atomic.Bool
				r := request(path)
				r.CallerGone = gone.Load
				done := make(chan steerer.Result, 1)
				go func() { done <- s.Steer(ctx, r) }()
				poll.WaitOn(t, up.sentAtLeast(1))
				gone.Store(true)
				if noticed {
					cancel()
				} else {
					close(up.release)
				}
				result := <-done
				assert.Equal(t, result.Code, steerer.CodeCallerGone)
				assert.Equal(t, result.SendCount, 0)
				assert.Equal(t, len(up.sent), 1, "no other upstream is tried")
			})
		}
	}
}

// TestRetryForCallerThatLeft guards against a retry that is taken out of the budget for a
// caller whose connection shows that it has left.
func TestRetryForCallerThatLeft(t *testing.T) {
	t.Parallel()
	for _, b := range []behavior{refuses, breaksConnection} {
		up := &fakeUpstreams{behaviors: []behavior{b}}
		s := newSteerer(t, up, 2, 4)
		for range 4 {
			s.Steer(t.Context(), request("/none/"))
		}
		r := request("/read/")
		r.CallerGone = func() bool {
			up.mu.Lock()
			defer up.mu.Unlock()
			return len(up.sent) > 0
		}
		result := s.Steer(t.Context(), r)
		assert.Equal(t, result.Code, steerer.CodeCallerGone)
		assert.Equal(t, len(up.sent), 1)
		assert.Equal(t, s.Counts().Resent, int64(0))
	}
}

// sentAtLeast returns a check that at least n requests were sent.
func (u *fakeUpstreams) sentAtLeast(n int) poll.Check {
	return func(poll.LogT) poll.Result {
		u.mu.Lock()
		defer u.mu.Unlock()
		if len(u.sent) >= n {
			return poll.Success()
		}
		return poll.Continue("%d sent", len(u.sent))
	}
}

// TestQueueing fills the only upstream, so that further requests are queued for it. The
// request of a caller that disconnects while it is queued is never sent.
func TestQueueing(t *testing.T) {
	t.Parallel()
	up := &fakeUpstreams{behaviors: []behavior{hangs, hangs, hangs}, release: make(chan struct{})}
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
	poll.WaitOn(t, up.sentAtLeast(3))
	ctx, cancel := context.WithCancel(t.Context())
	send(ctx, "/read/")
	poll.WaitOn(t, waitedAtLeast(s, 1))
	send(t.Context(), "/order/")
	poll.WaitOn(t, waitedAtLeast(s, 2))
	cancel()
	assert.Equal(t, <-results, "/read/503")
	close(up.release)
	for range 4 {
		assert.Equal(t, <-results, "/order/200")
	}
	assert.Equal(t, len(up.sent), 4)
}

// waitedAtLeast returns a check that at least n requests were queued.
func waitedAtLeast(s *steerer.Steerer, n int64) poll.Check {
	return func(poll.LogT) poll.Result {
		if got := s.Counts().Waited; got < n {
			return poll.Continue("%d waited", got)
		}
		return poll.Success()
	}
}

// TestLeave checks that a VM that shuts down takes only requests whose deadline is before
// its end. It refuses the others as not run, including queued ones that it can't answer
// before its end.
func TestLeave(t *testing.T) {
	t.Parallel()
	up := &fakeUpstreams{behaviors: []behavior{hangs, hangs, hangs}, release: make(chan struct{})}
	s := newSteerer(t, up, 1, 2)
	waited := make(chan steerer.Result, 4)
	var running sync.WaitGroup
	for range 3 {
		running.Go(func() { s.Steer(t.Context(), request("/order/")) })
	}
	poll.WaitOn(t, up.sentAtLeast(3))
	go func() { waited <- s.Steer(t.Context(), request("/order/")) }()
	poll.WaitOn(t, waitedAtLeast(s, 1))
	begun := time.Now()
	s.BeginShutdown(begun.Add(500 * time.Millisecond))
	result := <-waited
	assert.Equal(t, result.Status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begun) < time.Second, "the queued request must be refused long before its own deadline")
	close(up.release)
	running.Wait()

	result = s.Steer(t.Context(), request("/order/"))
	assert.Equal(t, result.Code, steerer.CodeShuttingDown)
	assert.Equal(t, result.Status, http.StatusServiceUnavailable)
	assert.Assert(t, result.RetryAfter > 0 && result.RetryAfter < 50*time.Millisecond, "another VM serves it at once")
	assert.Equal(t, result.SendCount, 0)
	s.BeginShutdown(time.Now().Add(500 * time.Millisecond))
	// On the order route, the expected latency now includes that of the requests that hung.
	short := request("/urgent/")
	short.Remaining = 300 * time.Millisecond
	result = s.Steer(t.Context(), short)
	assert.Equal(t, result.Status, http.StatusOK)
}
