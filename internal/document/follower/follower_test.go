package follower_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const kind storer.Kind = "things"

// tightest is the shortest bound that the platform sets on a change.
const tightest = 2 * time.Second

// source is a store of one kind. A deaf watch hears nothing until its wait ends.
type source struct {
	clock clockwork.Clock

	mu      sync.Mutex
	records map[string]storer.Record
	changes []storer.Change
	at      storer.Version
	first   storer.Version
	page    int
	deaf    bool
	failing error
	failed  int
	// silent is how many watches get no answer from now on.
	silent  int
	lists   int
	watches int
	// gate holds up looks, as a long way to the store does.
	gate    chan struct{}
	looks   int
	refused int
	kick    chan struct{}
}

// nextWatch lets the pause after a change pass, until the next watch is open.
func (s *source) nextWatch(t *testing.T, clock *clockwork.FakeClock) {
	t.Helper()
	s.mu.Lock()
	before := s.watches
	s.mu.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.watches > before {
			return poll.Success()
		}
		clock.Advance(10 * time.Millisecond)
		return poll.Continue("no new watch")
	}, poll.WithDelay(time.Millisecond))
}

func newSource(clock clockwork.Clock) *source {
	return &source{clock: clock, records: make(map[string]storer.Record), page: 500, kick: make(chan struct{})}
}

func (s *source) put(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	r := storer.Record{Name: name, Version: s.at}
	s.records[name] = r
	s.changes = append(s.changes, storer.Change{Record: r})
	if !s.deaf {
		close(s.kick)
		s.kick = make(chan struct{})
	}
}

func (s *source) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err
	close(s.kick)
	s.kick = make(chan struct{})
}

// turnedAway checks that a call has failed.
func (s *source) turnedAway(poll.LogT) poll.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed > 0 {
		return poll.Success()
	}
	return poll.Continue("no call failed")
}

func (s *source) List(_ context.Context, _ storer.Kind, after string) (storer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing != nil {
		return storer.Page{}, s.failing
	}
	s.lists++
	page := storer.Page{At: s.at}
	for v := storer.Version(1); v <= s.at; v++ {
		for _, r := range s.records {
			if r.Version != v || r.Name <= after {
				continue
			}
			if len(page.Records) == s.page {
				page.More = true
				continue
			}
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (s *source) Changes(ctx context.Context, _ storer.Kind, since storer.Version, wait time.Duration) (storer.Changes, error) {
	end := s.clock.After(wait)
	s.mu.Lock()
	s.watches++
	gate := s.gate
	if wait > time.Millisecond {
		gate = nil
	} else {
		s.looks++
	}
	silent := s.silent > 0
	if silent {
		s.silent--
	}
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return storer.Changes{}, ctx.Err()
	}
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			s.refused++
			return storer.Changes{}, ctx.Err()
		}
	}
	for {
		s.mu.Lock()
		if s.failing != nil {
			defer s.mu.Unlock()
			s.failed++
			return storer.Changes{}, s.failing
		}
		if since < s.first {
			s.mu.Unlock()
			return storer.Changes{}, storer.ErrHistory
		}
		out := storer.Changes{At: s.at}
		for _, c := range s.changes {
			if c.Record.Version > since {
				out.List = append(out.List, c)
			}
		}
		kick := s.kick
		s.mu.Unlock()
		if len(out.List) > 0 {
			return out, nil
		}
		select {
		case <-end:
			s.mu.Lock()
			defer s.mu.Unlock()
			out.At = s.at
			return out, nil
		case <-kick:
		case <-ctx.Done():
			return out, ctx.Err()
		}
	}
}

// copied is a handler that keeps what it is told.
type copied struct {
	mu    sync.Mutex
	names map[string]bool
	// steady is since when the source has answered without an outage, as it was told.
	steady []time.Time
}

func (c *copied) Reset(records []storer.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names = make(map[string]bool)
	for _, r := range records {
		c.names[r.Name] = true
	}
}

func (c *copied) Apply(changes []storer.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range changes {
		c.names[ch.Record.Name] = !ch.Removed
	}
}

func (c *copied) StoreReachableSince(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steady = append(c.steady, since)
}

// steadySince checks what the handler was told last.
func (c *copied) steadySince(since time.Time) poll.Check {
	return func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n := len(c.steady); n > 0 && c.steady[n-1].Equal(since) {
			return poll.Success()
		}
		return poll.Continue("steady since %v, not %v", c.steady, since)
	}
}

func (c *copied) has(name string) poll.Check {
	return func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.names[name] {
			return poll.Success()
		}
		return poll.Continue("no %s in %v", name, c.names)
	}
}

func start(t *testing.T, opts ...follower.Option) (*source, *copied, *clockwork.FakeClock) {
	t.Helper()
	src, kept, clock, _ := startFollower(t, opts...)
	return src, kept, clock
}

func startFollower(t *testing.T, opts ...follower.Option) (*source, *copied, *clockwork.FakeClock, *follower.Follower) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.put("first")
	kept := &copied{}
	f := follower.New(src, kind, kept, clock, slog.New(slog.DiscardHandler), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	poll.WaitOn(t, kept.has("first"))
	return src, kept, clock, f
}

// wait gives the follower time to open its next watch, and lets time pass.
func wait(t *testing.T, clock *clockwork.FakeClock, d time.Duration) {
	t.Helper()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(d)
}

func TestChangeIsApplied(t *testing.T) {
	t.Parallel()
	src, kept, _ := start(t)
	src.put("second")
	poll.WaitOn(t, kept.has("second"))
}

// TestDeafWatch has a watch that stays open and hears nothing of a change, as
// when a store drops the history under it.
func TestDeafWatch(t *testing.T) {
	t.Parallel()
	src, kept, clock := start(t)
	wait(t, clock, 0)
	src.mu.Lock()
	src.deaf = true
	src.mu.Unlock()
	src.put("missed")
	wait(t, clock, tightest-time.Millisecond)
	poll.WaitOn(t, kept.has("missed"))
}

func TestHistoryGone(t *testing.T) {
	t.Parallel()
	src, kept, clock := start(t)
	wait(t, clock, 0)
	src.mu.Lock()
	src.deaf = true
	src.mu.Unlock()
	src.put("missed")
	src.mu.Lock()
	src.first = src.at + 1
	src.changes = nil
	src.at++
	src.mu.Unlock()
	wait(t, clock, tightest-time.Millisecond)
	poll.WaitOn(t, kept.has("missed"))
}

// TestOutage has the source fail for as long as records may lapse, or for less.
func TestOutage(t *testing.T) {
	t.Parallel()
	const lapse = 3 * time.Second
	for _, tc := range []struct {
		name string
		away time.Duration
		told bool
	}{
		{"short", lapse - time.Second, false},
		{"long", lapse + time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			src, kept, clock := start(t, follower.WithMinOutage(lapse))
			wait(t, clock, 0)
			src.fail(storer.ErrBusy)
			poll.WaitOn(t, src.turnedAway)
			clock.Advance(tc.away)
			kept.mu.Lock()
			assert.Assert(t, kept.names["first"], "an outage changes nothing that is known")
			kept.mu.Unlock()
			src.fail(nil)
			src.put("later")
			back := clock.Now()
			poll.WaitOn(t, func(l poll.LogT) poll.Result {
				clock.Advance(10 * time.Millisecond)
				return kept.has("later")(l)
			})
			kept.mu.Lock()
			defer kept.mu.Unlock()
			assert.Equal(t, len(kept.steady) > 0, tc.told)
			assert.Assert(t, !tc.told || !kept.steady[0].Before(back))
		})
	}
}

func TestPages(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.page = 2
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		src.put(name)
	}
	kept := &copied{}
	f := follower.New(src, kind, kept, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		poll.WaitOn(t, kept.has(name))
	}
	cancel()
	assert.NilError(t, <-done)
}

// TestLeadTellsWhatWasMissed has a lead spread the news once its next watch
// brings what the last one should have.
func TestLeadTellsWhatWasMissed(t *testing.T) {
	t.Parallel()
	news := make(chan struct{}, 8)
	src, kept, clock := start(t, follower.WithPeerNotifier(func() { news <- struct{}{} }))
	<-news
	wait(t, clock, 0)
	src.put("heard")
	poll.WaitOn(t, kept.has("heard"))
	assert.Equal(t, len(news), 0, "all watches heard it")
	src.nextWatch(t, clock)
	src.mu.Lock()
	src.deaf = true
	src.mu.Unlock()
	src.put("missed")
	wait(t, clock, time.Second)
	poll.WaitOn(t, kept.has("missed"))
	<-news
}

// TestLookGoesOn has many peers tell of more while a look is on its long way to
// the store. Each word that ended the look would keep it from ever coming back.
func TestLookGoesOn(t *testing.T) {
	t.Parallel()
	src, kept, clock, f := startFollower(t, follower.WithMaxDelay(5*tightest), follower.WithMinOutage(time.Minute))
	wait(t, clock, 0)
	src.mu.Lock()
	src.deaf = true
	src.gate = make(chan struct{})
	src.mu.Unlock()
	src.put("missed")
	for range 5 {
		f.ObservePeerVersion(2)
		clock.Advance(400 * time.Millisecond)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			src.mu.Lock()
			defer src.mu.Unlock()
			if src.looks > 0 {
				return poll.Success()
			}
			return poll.Continue("no look")
		})
	}
	src.mu.Lock()
	assert.Equal(t, src.looks, 1)
	assert.Equal(t, src.refused, 0)
	src.mu.Unlock()
	close(src.gate)
	poll.WaitOn(t, kept.has("missed"))
}

// TestAge tells how old a view is, and the oldest that it has been.
func TestAge(t *testing.T) {
	t.Parallel()
	_, p, _, clock, f := startBehind(t)
	clock.Advance(700 * time.Millisecond)
	age, oldest := f.Age()
	assert.Equal(t, age, 700*time.Millisecond)
	assert.Equal(t, oldest, 700*time.Millisecond)
	p.updates <- storer.Update{At: 2, Seen: 2, Age: 100 * time.Millisecond}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		age, oldest = f.Age()
		if age == 100*time.Millisecond && oldest == 700*time.Millisecond {
			return poll.Success()
		}
		return poll.Continue("age %s, oldest %s", age, oldest)
	})
}
