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

// version returns the version of a revision in a store without eras.
func version(r storer.Revision) storer.Version { return storer.Version{Revision: r} }

// shortestMaxDelay is the shortest time that the platform sets for a change to be known.
const shortestMaxDelay = 2 * time.Second

// source is a fake store of one kind. With dropEvents, an open watch misses changes until
// its wait ends.
type source struct {
	clock clockwork.Clock

	mu           sync.Mutex
	records      map[string]storer.Record
	changes      []storer.Change
	era          storer.Era
	version      storer.Revision
	historyStart storer.Revision
	pageSize     int
	// afterPage is called after each page of a list.
	afterPage  func()
	dropEvents bool
	// deaf makes watches that begin miss all changes, without an error.
	deaf        bool
	failing     error
	failedCalls int
	// unanswered is how many of the next watches get no answer.
	unanswered int
	lists      int
	watches    int
	// waiting is how many watches wait for changes.
	waiting int
	// pollGate blocks polls, as a long round trip to the store does.
	pollGate      chan struct{}
	polls         int
	canceledPolls int
	changed       chan struct{}
}

// advanceToNextWatch advances the clock over the pause after a change, until the next
// watch is open.
func (s *source) advanceToNextWatch(t *testing.T, clock *clockwork.FakeClock) {
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
	return &source{clock: clock, records: make(map[string]storer.Record), pageSize: 500, afterPage: func() {}, changed: make(chan struct{})}
}

func (s *source) put(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := storer.Record{Name: name, Version: s.storeVersion()}
	s.records[name] = r
	s.changes = append(s.changes, storer.Change{Record: r})
	if !s.dropEvents {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// storeVersion returns the version of the whole store. The caller holds s.mu.
func (s *source) storeVersion() storer.Version {
	return storer.Version{Era: s.era, Revision: s.version}
}

// restore sets the store back to a revision, from which it gives out revisions again, and
// begins a new era. Its history reaches back to that revision.
func (s *source) restore(to storer.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version = to
	s.changes = nil
	s.historyStart = to
	for name, r := range s.records {
		if r.Version.Revision > to {
			delete(s.records, name)
			continue
		}
		r.Version.Era = s.era
		s.records[name] = r
	}
}

func (s *source) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err
	close(s.changed)
	s.changed = make(chan struct{})
}

// hasFailedCall checks that a call has failed.
func (s *source) hasFailedCall(poll.LogT) poll.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedCalls > 0 {
		return poll.Success()
	}
	return poll.Continue("no call failed")
}

func (s *source) List(_ context.Context, _ storer.Kind, after string) (storer.Page, error) {
	s.mu.Lock()
	defer s.afterPage()
	defer s.mu.Unlock()
	if s.failing != nil {
		return storer.Page{}, s.failing
	}
	s.lists++
	page := storer.Page{StoreVersion: s.storeVersion()}
	for v := storer.Revision(1); v <= s.version; v++ {
		for _, r := range s.records {
			if r.Version.Revision != v || r.Name <= after {
				continue
			}
			if len(page.Records) == s.pageSize {
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
	pollGate := s.pollGate
	if wait > time.Millisecond {
		pollGate = nil
	} else {
		s.polls++
	}
	silent := s.unanswered > 0
	if silent {
		s.unanswered--
	}
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return storer.Changes{}, ctx.Err()
	}
	if pollGate != nil {
		select {
		case <-pollGate:
		case <-ctx.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			s.canceledPolls++
			return storer.Changes{}, ctx.Err()
		}
	}
	for {
		s.mu.Lock()
		if s.failing != nil {
			defer s.mu.Unlock()
			s.failedCalls++
			return storer.Changes{}, s.failing
		}
		if since.Revision < s.historyStart || s.era > 0 && since.Revision > s.version {
			defer s.mu.Unlock()
			return storer.Changes{StoreVersion: storer.Version{Era: s.era}}, storer.ErrCompacted
		}
		out := storer.Changes{StoreVersion: s.storeVersion()}
		for _, c := range s.changes {
			if !s.deaf && c.Record.Version.Revision > since.Revision {
				out.Items = append(out.Items, c)
			}
		}
		if len(out.Items) > 0 {
			defer s.mu.Unlock()
			return out, nil
		}
		changed := s.changed
		s.waiting++
		s.mu.Unlock()
		ended, err := false, error(nil)
		select {
		case <-end:
			ended = true
		case <-changed:
		case <-ctx.Done():
			ended, err = true, ctx.Err()
		}
		s.mu.Lock()
		s.waiting--
		out.StoreVersion = s.storeVersion()
		s.mu.Unlock()
		if ended {
			return out, err
		}
	}
}

// dropHistory adds a record "missed", of which the open watch does not learn, and drops all changes.
func (s *source) dropHistory(t *testing.T) {
	t.Helper()
	// A watch that begins later would be told at once.
	poll.WaitOn(t, s.isWatched)
	s.mu.Lock()
	s.dropEvents = true
	s.mu.Unlock()
	s.put("missed")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyStart = s.version + 1
	s.changes = nil
	s.version++
}

// advanceWatched advances the clock by at most d, until a check succeeds. It waits at each step until
// the follower has set the two timers of a watch, so a busy machine does not make it late.
func (s *source) advanceWatched(t *testing.T, clock *clockwork.FakeClock, d time.Duration, check poll.Check) {
	t.Helper()
	const step = 10 * time.Millisecond
	for end := clock.Now().Add(d); ; {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		err := clock.BlockUntilContext(ctx, 2)
		cancel()
		left := clock.Until(end)
		if check(t).Done() || err != nil || left <= 0 {
			break
		}
		clock.Advance(min(step, left))
	}
	poll.WaitOn(t, check)
}

// isWatched checks that a watch has looked for changes and waits for more.
func (s *source) isWatched(poll.LogT) poll.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting > 0 {
		return poll.Success()
	}
	return poll.Continue("no watch waits")
}

// recorder is a handler that records its calls.
type recorder struct {
	mu     sync.Mutex
	names  map[string]bool
	resets int
	// reachableSince has the argument of each call of StoreReachableSince.
	reachableSince []time.Time
}

func (c *recorder) Reset(records []storer.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets++
	c.names = make(map[string]bool)
	for _, r := range records {
		c.names[r.Name] = true
	}
	return nil
}

func (c *recorder) Apply(changes []storer.Change) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range changes {
		c.names[ch.Record.Name] = !ch.Removed
	}
	return nil
}

func (c *recorder) StoreReachableSince(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reachableSince = append(c.reachableSince, since)
}

// wasReachableSince checks the last call of StoreReachableSince.
func (c *recorder) wasReachableSince(since time.Time) poll.Check {
	return func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n := len(c.reachableSince); n > 0 && c.reachableSince[n-1].Equal(since) {
			return poll.Success()
		}
		return poll.Continue("reachable since %v, not %v", c.reachableSince, since)
	}
}

func (c *recorder) has(name string) poll.Check {
	return func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.names[name] {
			return poll.Success()
		}
		return poll.Continue("no %s in %v", name, c.names)
	}
}

func start(t *testing.T, opts ...follower.Option) (*source, *recorder, *clockwork.FakeClock) {
	t.Helper()
	src, handler, clock, _ := startFollower(t, opts...)
	return src, handler, clock
}

func startFollower(t *testing.T, opts ...follower.Option) (*source, *recorder, *clockwork.FakeClock, *follower.Follower) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.put("first")
	handler := &recorder{}
	f := follower.New(src, kind, handler, clock, slog.New(slog.DiscardHandler), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	poll.WaitOn(t, handler.has("first"))
	return src, handler, clock, f
}

// advance waits until the follower has set a timer for its next watch, and advances the
// clock.
func advance(t *testing.T, clock *clockwork.FakeClock, d time.Duration) {
	t.Helper()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(d)
}

func TestChangeIsApplied(t *testing.T) {
	t.Parallel()
	src, handler, _ := start(t)
	src.put("second")
	poll.WaitOn(t, handler.has("second"))
}

// TestMissedChange checks that a change is known in time although the open watch misses it,
// as when a store drops the change history during a watch.
func TestMissedChange(t *testing.T) {
	t.Parallel()
	src, handler, clock := start(t)
	// A watch that begins later would bring the change.
	poll.WaitOn(t, src.isWatched)
	src.mu.Lock()
	src.dropEvents = true
	src.mu.Unlock()
	src.put("missed")
	src.advanceWatched(t, clock, shortestMaxDelay-time.Millisecond, handler.has("missed"))
}

func TestHistoryDropped(t *testing.T) {
	t.Parallel()
	src, handler, clock := start(t)
	src.dropHistory(t)
	src.advanceWatched(t, clock, shortestMaxDelay-time.Millisecond, handler.has("missed"))
}

// TestOutage checks that an outage of the store is reported to the handler if it is long
// enough for records to expire, and that no outage changes the known records.
func TestOutage(t *testing.T) {
	t.Parallel()
	const minOutage = 3 * time.Second
	for _, tc := range []struct {
		name     string
		outage   time.Duration
		reported bool
	}{
		{"short", minOutage - time.Second, false},
		{"long", minOutage + time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			src, handler, clock := start(t, follower.WithMinOutage(minOutage))
			advance(t, clock, 0)
			src.fail(storer.ErrBusy)
			poll.WaitOn(t, src.hasFailedCall)
			clock.Advance(tc.outage)
			handler.mu.Lock()
			assert.Assert(t, handler.names["first"], "the outage changed the known records")
			handler.mu.Unlock()
			src.fail(nil)
			src.put("later")
			back := clock.Now()
			poll.WaitOn(t, func(l poll.LogT) poll.Result {
				clock.Advance(10 * time.Millisecond)
				return handler.has("later")(l)
			})
			handler.mu.Lock()
			defer handler.mu.Unlock()
			assert.Equal(t, len(handler.reachableSince) > 0, tc.reported)
			assert.Assert(t, !tc.reported || !handler.reachableSince[0].Before(back))
		})
	}
}

func TestPages(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.pageSize = 2
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		src.put(name)
	}
	handler := &recorder{}
	f := follower.New(src, kind, handler, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		poll.WaitOn(t, handler.has(name))
	}
	cancel()
	assert.NilError(t, <-done)
}

// TestMissedChangeNotifiesPeers checks that a relay root notifies its peers of a change
// that only its next watch brings, and not of one that all open watches deliver.
func TestMissedChangeNotifiesPeers(t *testing.T) {
	t.Parallel()
	notified := make(chan struct{}, 8)
	src, handler, clock := start(t, follower.WithPeerNotifier(func() { notified <- struct{}{} }))
	<-notified
	advance(t, clock, 0)
	src.put("heard")
	poll.WaitOn(t, handler.has("heard"))
	assert.Equal(t, len(notified), 0, "peers were notified although no watch missed the change")
	src.advanceToNextWatch(t, clock)
	src.mu.Lock()
	src.dropEvents = true
	src.mu.Unlock()
	src.put("missed")
	advance(t, clock, time.Second)
	poll.WaitOn(t, handler.has("missed"))
	<-notified
}

// TestPollIsNotCanceled has many peers report a later version during a slow poll of the
// store. If each report canceled the poll, it would never complete.
func TestPollIsNotCanceled(t *testing.T) {
	t.Parallel()
	src, handler, clock, f := startFollower(t, follower.WithMaxDelay(5*shortestMaxDelay), follower.WithMinOutage(time.Minute))
	// A watch that begins later would bring the change, and no poll were due.
	poll.WaitOn(t, src.isWatched)
	src.mu.Lock()
	src.dropEvents = true
	src.pollGate = make(chan struct{})
	src.mu.Unlock()
	src.put("missed")
	for range 5 {
		f.ObservePeerVersion(version(2))
		clock.Advance(400 * time.Millisecond)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			src.mu.Lock()
			defer src.mu.Unlock()
			if src.polls > 0 {
				return poll.Success()
			}
			return poll.Continue("no poll")
		})
	}
	src.mu.Lock()
	assert.Equal(t, src.polls, 1)
	assert.Equal(t, src.canceledPolls, 0)
	src.mu.Unlock()
	close(src.pollGate)
	poll.WaitOn(t, handler.has("missed"))
}

// TestAge checks the age of the store's last confirmation, and the greatest age so far.
func TestAge(t *testing.T) {
	t.Parallel()
	_, p, _, clock, f := startWithPeer(t)
	clock.Advance(700 * time.Millisecond)
	age, oldest := f.Age()
	assert.Equal(t, age, 700*time.Millisecond)
	assert.Equal(t, oldest, 700*time.Millisecond)
	p.updates <- storer.Update{Version: version(2), SeenVersion: version(2), Age: 100 * time.Millisecond}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		age, oldest = f.Age()
		if age == 100*time.Millisecond && oldest == 700*time.Millisecond {
			return poll.Success()
		}
		return poll.Continue("age %s, oldest %s", age, oldest)
	})
}
