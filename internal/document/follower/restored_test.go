package follower_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// inEra returns the version of a revision in an era.
func inEra(e storer.Era, r storer.Revision) storer.Version {
	return storer.Version{Era: e, Revision: r}
}

// startInEra starts a follower without a relay parent of a store that has eras and the records
// named, and waits until it has them.
func startInEra(t *testing.T, names ...string) (*source, *recorder, *clockwork.FakeClock, *follower.Follower) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.era = 1
	for _, name := range names {
		src.put(name)
	}
	handler := &recorder{}
	f := follower.New(src, kind, handler, clock, slog.New(slog.DiscardHandler))
	serve(t, f)
	for _, name := range names {
		poll.WaitOn(t, handler.has(name))
	}
	return src, handler, clock, f
}

// startWithPeerInEra starts a follower that has got all records from its relay parent, at
// revision 5 of era 2.
func startWithPeerInEra(t *testing.T) (*source, *peer, *recorder, *clockwork.FakeClock, *follower.Follower) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.era = 2
	handler := &recorder{}
	p := newPeer(clock)
	f := follower.New(src, kind, handler, clock, slog.New(slog.DiscardHandler), follower.WithRelay(p), follower.WithMaxDelay(shortestMaxDelay))
	serve(t, f)
	<-p.opened
	p.updates <- storer.Update{Full: true, Changes: []storer.Change{change("first", 5)}, Version: inEra(2, 5), SeenVersion: inEra(2, 5)}
	poll.WaitOn(t, hasSeen(f, inEra(2, 5)))
	return src, p, handler, clock, f
}

func serve(t *testing.T, f *follower.Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

func (c *recorder) lacks(name string) poll.Check {
	return func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.names[name] {
			return poll.Continue("%s in %v", name, c.names)
		}
		return poll.Success()
	}
}

// TestWatchAcrossRestoreMissesChanges restores the store from an older copy and has it give out
// revisions again, past the one from which the VM watches. The VM must not miss the changes
// below that revision, nor keep what the copy lacks.
func TestWatchAcrossRestoreMissesChanges(t *testing.T) {
	t.Parallel()
	src, handler, clock, f := startInEra(t, "first", "lost", "other", "more")
	src.restore(1)
	for _, name := range []string{"a", "b", "c", "d"} {
		src.put(name)
	}
	advanceUntil(t, clock, handler.has("d"))
	for _, name := range []string{"first", "a", "b", "c"} {
		poll.WaitOn(t, handler.has(name))
	}
	poll.WaitOn(t, handler.lacks("lost"))
	poll.WaitOn(t, hasSeen(f, inEra(2, 5)))
	src.put("later")
	advanceUntil(t, clock, handler.has("later"))
}

// TestRestoreWithoutHistory restores the store to a revision below the one from which the VM
// watches, so that the store no longer has it.
func TestRestoreWithoutHistory(t *testing.T) {
	t.Parallel()
	src, handler, clock, f := startInEra(t, "first", "lost")
	src.restore(1)
	advanceUntil(t, clock, handler.lacks("lost"))
	poll.WaitOn(t, hasSeen(f, inEra(2, 1)))
	src.put("later")
	advanceUntil(t, clock, handler.has("later"))
}

// TestListAcrossRestore restores the store between two pages of a list. Together they are no
// state that the store ever had.
func TestListAcrossRestore(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.era = 1
	src.pageSize = 1
	for _, name := range []string{"a", "b", "c"} {
		src.put(name)
	}
	pages := 0
	src.afterPage = func() {
		if pages++; pages == 2 {
			src.restore(1)
			for _, name := range []string{"x", "y", "z"} {
				src.put(name)
			}
		}
	}
	handler := &recorder{}
	f := follower.New(src, kind, handler, clock, slog.New(slog.DiscardHandler))
	serve(t, f)
	advanceUntil(t, clock, handler.has("z"))
	poll.WaitOn(t, handler.has("a"))
	poll.WaitOn(t, handler.lacks("b"))
}

// TestAnswerFromBeforeRestore has an answer of the store arrive that it gave before it was
// restored. It counts as a failed call.
func TestAnswerFromBeforeRestore(t *testing.T) {
	t.Parallel()
	src, handler, clock, f := startInEra(t, "first")
	src.restore(1)
	advanceUntil(t, clock, hasSeen(f, inEra(2, 1)))
	src.mu.Lock()
	src.era = 1
	src.mu.Unlock()
	src.put("late")
	advanceUntil(t, clock, func(poll.LogT) poll.Result {
		if f.StoreUnreachable() {
			return poll.Success()
		}
		return poll.Continue("the store counts as reachable")
	})
	poll.WaitOn(t, handler.lacks("late"))
	assert.Equal(t, f.SeenVersion(), inEra(2, 1))
}

// TestPeerRecordsFromBeforeRestore has a relay parent that does not know yet that the store was
// restored. Its records have higher revisions and look fresh, but must not be applied.
func TestPeerRecordsFromBeforeRestore(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		full bool
	}{
		{"changes", false},
		{"all records", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			src, p, handler, clock, f := startWithPeerInEra(t)
			src.mu.Lock()
			src.version, src.historyStart = 5, 5
			src.mu.Unlock()
			src.put("new")
			p.updates <- storer.Update{Full: tc.full, Changes: []storer.Change{change("old", 49)}, Version: inEra(1, 50), SeenVersion: inEra(1, 50)}
			begun := clock.Now()
			advanceUntil(t, clock, handler.has("new"))
			poll.WaitOn(t, handler.lacks("old"))
			assert.Assert(t, clock.Since(begun) < time.Second, "asked the store after %s", clock.Since(begun))
			assert.Equal(t, f.SeenVersion(), inEra(2, 6))
		})
	}
}

// TestPeerKnowsRestore has the relay parent list a restored store, at a lower revision. Its
// records replace those from before, and the handler learns since when the store has answered
// without a restoration.
func TestPeerKnowsRestore(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeerInEra(t)
	clock.Advance(700 * time.Millisecond)
	u := storer.Update{Full: true, Changes: []storer.Change{change("new", 2)}, Version: inEra(3, 2), SeenVersion: inEra(3, 2)}
	u.Age, u.StoreReachableFor = 100*time.Millisecond, 50*time.Millisecond
	p.updates <- u
	poll.WaitOn(t, hasSeen(f, inEra(3, 2)))
	poll.WaitOn(t, handler.has("new"))
	poll.WaitOn(t, handler.lacks("first"))
	poll.WaitOn(t, handler.wasReachableSince(clock.Now().Add(-150*time.Millisecond)))
	p.updates <- storer.Update{Changes: []storer.Change{change("later", 3)}, Version: inEra(3, 3), SeenVersion: inEra(3, 3)}
	poll.WaitOn(t, handler.has("later"))
	assert.Equal(t, src.calls(), 0)
}

// TestPeerSeesRestore has other peers see a version of a restored store, with a lower revision,
// while the relay parent confirms the records from before.
func TestPeerSeesRestore(t *testing.T) {
	t.Parallel()
	src, _, handler, clock, f := startWithPeerInEra(t)
	src.restore(0)
	src.put("new")
	f.ObservePeerVersion(inEra(3, 1))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(400 * time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if src.calls() > 0 {
			return poll.Success()
		}
		return poll.Continue("the store was not asked")
	})
	advanceUntil(t, clock, handler.has("new"))
	poll.WaitOn(t, handler.lacks("first"))
}

// TestRestoreIsReported checks that the handler learns of a restoration in the same way as of an
// outage, however short it was.
func TestRestoreIsReported(t *testing.T) {
	t.Parallel()
	src, handler, clock, _ := startInEra(t, "first", "lost")
	restored := clock.Now()
	src.restore(1)
	advanceUntil(t, clock, handler.lacks("lost"))
	handler.mu.Lock()
	defer handler.mu.Unlock()
	assert.Equal(t, len(handler.reachableSince), 1)
	assert.Assert(t, !handler.reachableSince[0].Before(restored))
}

// TestAwaitAcrossRestore checks that peers with records from before a restoration get all
// records, whatever their revision, also those of an earlier build that send no era.
func TestAwaitAcrossRestore(t *testing.T) {
	t.Parallel()
	src, handler, clock, f := startInEra(t, "first", "lost", "other")
	for _, since := range []storer.Version{inEra(1, 3), version(3)} {
		u, _, err := f.Await(t.Context(), follower.Position{Version: since})
		assert.NilError(t, err)
		assert.Assert(t, !u.Full, "all records since %s", since)
	}
	src.restore(1)
	advanceUntil(t, clock, handler.lacks("lost"))
	src.put("new")
	advanceUntil(t, clock, handler.has("new"))
	for _, since := range []storer.Version{inEra(1, 1), inEra(1, 3), version(3), version(1)} {
		u, next, err := f.Await(t.Context(), follower.Position{Version: since})
		assert.NilError(t, err)
		assert.Assert(t, u.Full, "not all records since %s", since)
		assert.Equal(t, len(u.Changes), 2)
		assert.Equal(t, u.Version, inEra(2, 2))
		assert.Equal(t, next.Version, inEra(2, 2))
	}
	u, _, err := f.Await(t.Context(), follower.Position{Version: inEra(2, 1)})
	assert.NilError(t, err)
	assert.Assert(t, !u.Full)
	assert.Equal(t, len(u.Changes), 1)
}

// TestEarlierBuildAcrossRestore has a relay parent of an earlier build, which sends no era. Its
// updates are applied until the VM knows of a restoration.
func TestEarlierBuildAcrossRestore(t *testing.T) {
	t.Parallel()
	_, p, handler, clock, f := startWithPeerInEra(t)
	p.updates <- storer.Update{Changes: []storer.Change{change("second", 6)}, Version: version(6), SeenVersion: version(6)}
	poll.WaitOn(t, handler.has("second"))
	poll.WaitOn(t, hasSeen(f, inEra(2, 6)))
	p.updates <- storer.Update{Full: true, Changes: []storer.Change{change("new", 2)}, Version: inEra(3, 2), SeenVersion: inEra(3, 2)}
	poll.WaitOn(t, hasSeen(f, inEra(3, 2)))
	for len(p.opened) > 0 {
		<-p.opened
	}
	p.updates <- storer.Update{Changes: []storer.Change{change("old", 7)}, Version: version(7), SeenVersion: version(7)}
	advanceUntil(t, clock, func(poll.LogT) poll.Result {
		if len(p.opened) > 0 {
			return poll.Success()
		}
		return poll.Continue("the store was not asked")
	})
	poll.WaitOn(t, handler.lacks("old"))
}

// TestChangesOfLaterEra has a relay parent send changes of a later era than that of the VM's records,
// which a peer of an earlier build sent without an era. The VM must list the records from the store.
func TestChangesOfLaterEra(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeer(t)
	src.mu.Lock()
	src.era = 2
	src.mu.Unlock()
	src.put("new")
	p.updates <- storer.Update{Changes: []storer.Change{change("second", 3)}, Version: inEra(2, 3), SeenVersion: inEra(2, 3)}
	advanceUntil(t, clock, handler.has("new"))
	poll.WaitOn(t, handler.lacks("second"))
	poll.WaitOn(t, hasSeen(f, inEra(2, 2)))
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.lists, 1)
}

// TestHistoryDroppedByRestore guards against a VM that is told again and again that the history
// is gone, because it takes the records of a relay parent that has not noticed the restoration.
func TestHistoryDroppedByRestore(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeerInEra(t)
	src.mu.Lock()
	src.era, src.version, src.historyStart = 3, 3, 3
	src.records["new"] = storer.Record{Name: "new", Version: inEra(3, 3)}
	src.mu.Unlock()
	f.ObservePeerVersion(inEra(3, 3))
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		select {
		case p.updates <- storer.Update{Full: true, Changes: []storer.Change{change("first", 5)}, Version: inEra(2, 5), SeenVersion: inEra(2, 5)}:
		default:
		}
		return handler.has("new")(l)
	}, poll.WithDelay(time.Millisecond))
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.polls, 1)
	assert.Equal(t, src.lists, 1)
}
