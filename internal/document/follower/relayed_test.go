package follower_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// peer is a fake relay and the relay parent whose updates it opens. It is silent until a test
// sends updates to its channel.
type peer struct {
	updates chan storer.Update
	// opened has the versions from which updates were opened.
	opened chan storer.Version

	clock clockwork.Clock

	mu sync.Mutex
	// gone makes the follower the relay root.
	gone bool
	// delay is the transmission time of an update.
	delay time.Duration
}

func newPeer(clock clockwork.Clock) *peer {
	return &peer{clock: clock, updates: make(chan storer.Update), opened: make(chan storer.Version, 64)}
}

func (p *peer) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
}

// WaitForPeer implements follower.Relay.
func (p *peer) WaitForPeer(context.Context) {}

// Open implements follower.Relay.
func (p *peer) Open(ctx context.Context, _ storer.Kind, since storer.Version) (follower.Updates, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return nil, follower.ErrRelayRoot
	}
	p.opened <- since
	return &peerUpdates{peer: p, ctx: ctx}, nil
}

// peerUpdates is the stream of updates to one follower.
type peerUpdates struct {
	peer *peer
	ctx  context.Context
}

// Next implements follower.Updates.
func (s *peerUpdates) Next() (storer.Update, error) {
	s.peer.mu.Lock()
	delay := s.peer.delay
	s.peer.mu.Unlock()
	if delay > 0 {
		select {
		case <-s.peer.clock.After(delay):
		case <-s.ctx.Done():
			return storer.Update{}, s.ctx.Err()
		}
	}
	select {
	case u := <-s.peer.updates:
		return u, nil
	case <-s.ctx.Done():
		return storer.Update{}, s.ctx.Err()
	}
}

// Peer implements follower.Updates.
func (s *peerUpdates) Peer() (namer.VM, bool) {
	s.peer.mu.Lock()
	defer s.peer.mu.Unlock()
	return "vm-1", !s.peer.gone
}

// Close implements follower.Updates.
func (s *peerUpdates) Close() {}

func (s *source) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists + s.watches
}

// startWithPeer starts a follower that has got all records from its relay parent.
func startWithPeer(t *testing.T, opts ...follower.Option) (*source, *peer, *recorder, *clockwork.FakeClock, *follower.Follower) {
	t.Helper()
	handler := &recorder{}
	src, p, clock, f := startHandlerWithPeer(t, handler, opts...)
	return src, p, handler, clock, f
}

// startHandlerWithPeer is startWithPeer with the test's own handler.
func startHandlerWithPeer(t *testing.T, handler follower.Handler, opts ...follower.Option) (*source, *peer, *clockwork.FakeClock, *follower.Follower) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.put("first")
	p := newPeer(clock)
	opts = append([]follower.Option{follower.WithRelay(p), follower.WithMaxDelay(shortestMaxDelay)}, opts...)
	f := follower.New(src, kind, handler, clock, slog.New(slog.DiscardHandler), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	assert.Equal(t, <-p.opened, version(0))
	p.updates <- storer.Update{Full: true, Changes: []storer.Change{change("first", 1)}, Version: version(1), SeenVersion: version(1)}
	poll.WaitOn(t, hasSeen(f, version(1)))
	return src, p, clock, f
}

// advanceUntil advances the clock until a check succeeds.
func advanceUntil(t *testing.T, clock *clockwork.FakeClock, check poll.Check) {
	t.Helper()
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		return check(l)
	}, poll.WithDelay(time.Millisecond))
}

func hasSeen(f *follower.Follower, version storer.Version) poll.Check {
	return func(poll.LogT) poll.Result {
		if f.SeenVersion() == version {
			return poll.Success()
		}
		return poll.Continue("seen %s", f.SeenVersion())
	}
}

func change(name string, r storer.Revision) storer.Change {
	return storer.Change{Record: storer.Record{Name: name, Version: version(r)}}
}

// TestPeerReplacesStore checks that a VM with fresh updates from its relay parent makes no
// calls to the store, so that the calls don't grow with the VMs.
func TestPeerReplacesStore(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeer(t)
	for i := range 10 {
		clock.Advance(shortestMaxDelay / 2)
		u := storer.Update{Version: version(storer.Revision(i + 2)), SeenVersion: version(storer.Revision(i + 2))}
		if i == 5 {
			u.Changes = []storer.Change{change("second", 7)}
		}
		p.updates <- u
		poll.WaitOn(t, hasSeen(f, u.SeenVersion))
	}
	poll.WaitOn(t, handler.has("second"))
	assert.Equal(t, src.calls(), 0)
}

// TestSilentPeer checks that a change is known within the maximum delay although the relay
// parent is silent, is gone, or sends what the store confirmed too long ago.
func TestSilentPeer(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		act  func(p *peer)
	}{
		{"silent", func(*peer) {}},
		{"stale update", func(p *peer) {
			p.updates <- storer.Update{Version: version(1), SeenVersion: version(1), Age: shortestMaxDelay}
		}},
		{"no peer", func(p *peer) {
			p.leave()
			p.updates <- storer.Update{Version: version(1), SeenVersion: version(1)}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			src, p, handler, clock, _ := startWithPeer(t)
			src.put("missed")
			tc.act(p)
			assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
			clock.Advance(shortestMaxDelay - 100*time.Millisecond)
			poll.WaitOn(t, handler.has("missed"))
		})
	}
}

// TestStaleViewFollowsPeer checks that a VM whose calls the store refuses, and whose records
// have become stale while its relay parent was silent, learns changes from the relay parent
// when that sends updates again.
func TestStaleViewFollowsPeer(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		age  time.Duration
	}{
		{"fresh update", 0},
		{"stale update", shortestMaxDelay},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			src, p, handler, clock, _ := startWithPeer(t)
			src.fail(storer.ErrBusy)
			p.mu.Lock()
			p.delay = 100 * time.Millisecond
			p.mu.Unlock()
			clock.Advance(shortestMaxDelay)
			poll.WaitOn(t, src.hasFailedCall)
			u := storer.Update{Changes: []storer.Change{change("news", 2)}, Version: version(2), SeenVersion: version(2), Age: tc.age}
			poll.WaitOn(t, func(l poll.LogT) poll.Result {
				clock.Advance(10 * time.Millisecond)
				select {
				case p.updates <- u:
				default:
				}
				return handler.has("news")(l)
			}, poll.WithDelay(time.Millisecond))
		})
	}
}

// TestRefusedVMHearsPeer has the store refuse a VM's calls while other peers report that they
// have seen a later version. The reports must not make the VM ask the store all the time
// instead of waiting for its relay parent's updates.
func TestRefusedVMHearsPeer(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeer(t)
	src.fail(storer.ErrBusy)
	p.mu.Lock()
	p.delay = 100 * time.Millisecond
	p.mu.Unlock()
	// Many peers together report all the time.
	for range 100 {
		f.ObservePeerVersion(version(2))
		clock.Advance(10 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	poll.WaitOn(t, src.hasFailedCall)
	begun := clock.Now()
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		f.ObservePeerVersion(version(2))
		select {
		case p.updates <- storer.Update{Changes: []storer.Change{change("news", 2)}, Version: version(2), SeenVersion: version(2)}:
		default:
		}
		return handler.has("news")(l)
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, clock.Since(begun) < shortestMaxDelay, "learned after %s", clock.Since(begun))
}

// TestPeerIsFollowedAgain checks that a VM that has asked the store itself follows its relay
// parent again, and opens its updates from the version that it learned from the store.
func TestPeerIsFollowedAgain(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, _ := startWithPeer(t)
	src.put("missed")
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(shortestMaxDelay - 100*time.Millisecond)
	poll.WaitOn(t, handler.has("missed"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case since := <-p.opened:
			assert.Equal(t, since, version(2))
			return poll.Success()
		default:
			clock.Advance(10 * time.Millisecond)
			return poll.Continue("not followed again")
		}
	})
	p.updates <- storer.Update{Changes: []storer.Change{change("third", 3)}, Version: version(3), SeenVersion: version(3)}
	poll.WaitOn(t, handler.has("third"))
}

// TestPeerVersionTriggersPoll checks that a VM polls the store when other peers have seen a
// later version than its relay parent.
func TestPeerVersionTriggersPoll(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeer(t)
	src.put("missed")
	p.updates <- storer.Update{Version: version(1), SeenVersion: version(1)}
	assert.Equal(t, src.calls(), 0)
	f.ObservePeerVersion(version(2))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(400 * time.Millisecond)
	poll.WaitOn(t, handler.has("missed"))
	poll.WaitOn(t, hasSeen(f, version(2)))
	f.ObservePeerVersion(version(2))
}

// TestSilentCall covers a VM whose relay parent is silent and whose own next calls get no
// answer, as when open connections go silent while new ones work. The VM must not wait for the
// timeout of the calls themselves, which is as long as the maximum delay.
func TestSilentCall(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		calls int
		limit time.Duration
	}{
		{1, 3 * shortestMaxDelay / 2},
		{2, 5 * shortestMaxDelay / 2},
	} {
		t.Run(fmt.Sprint(tc.calls), func(t *testing.T) {
			t.Parallel()
			src, _, handler, clock, _ := startWithPeer(t)
			src.mu.Lock()
			src.unanswered = tc.calls
			src.mu.Unlock()
			src.put("missed")
			begun := clock.Now()
			advanceUntil(t, clock, handler.has("missed"))
			assert.Assert(t, clock.Since(begun) < tc.limit, "known after %s", clock.Since(begun))
		})
	}
}

// TestPeersFailureIsNotOwn has the store refuse only the calls of the relay parent. The
// VM asks the store itself, long before its records are stale, and does not report the store as
// unreachable.
func TestPeersFailureIsNotOwn(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeer(t, follower.WithMaxDelay(time.Minute))
	src.put("missed")
	p.updates <- storer.Update{Version: version(1), SeenVersion: version(1), StoreUnreachable: true}
	poll.WaitOn(t, handler.has("missed"))
	clock.Advance(time.Second)
	assert.Assert(t, !f.StoreUnreachable())
}

// TestParentUpdatesDuringBackoff has the store refuse the calls of a VM and its relay parent. The
// VM receives the parent's updates during its backoff, and learns changes from them at once when
// the store answers the parent again.
func TestParentUpdatesDuringBackoff(t *testing.T) {
	t.Parallel()
	src, p, handler, _, f := startWithPeer(t, follower.WithMaxDelay(time.Minute))
	src.fail(storer.ErrBusy)
	p.updates <- storer.Update{Version: version(1), SeenVersion: version(1), StoreUnreachable: true}
	poll.WaitOn(t, src.hasFailedCall)
	for range 3 {
		p.updates <- storer.Update{Version: version(1), SeenVersion: version(1), StoreUnreachable: true}
	}
	p.updates <- storer.Update{Changes: []storer.Change{change("news", 2)}, Version: version(2), SeenVersion: version(2)}
	poll.WaitOn(t, handler.has("news"))
	poll.WaitOn(t, hasSeen(f, version(2)))
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.failedCalls, 1)
}

// TestInterruptedCallIsNoAnswer checks that a call without an answer that a peer's report cancels
// does not count as an answer: the store stays unreachable.
func TestInterruptedCallIsNoAnswer(t *testing.T) {
	t.Parallel()
	src, p, _, clock, f := startWithPeer(t)
	src.fail(storer.ErrBusy)
	p.updates <- storer.Update{Version: version(1), SeenVersion: version(1), StoreUnreachable: true}
	poll.WaitOn(t, src.hasFailedCall)
	src.mu.Lock()
	src.failing = nil
	src.unanswered = 1000
	src.mu.Unlock()
	p.leave()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		f.ObservePeerVersion(version(2))
		src.mu.Lock()
		defer src.mu.Unlock()
		if src.unanswered < 996 {
			return poll.Success()
		}
		return poll.Continue("%d calls to come", src.unanswered)
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, f.StoreUnreachable())
}

// TestRepeatedOutageIsRelayed has the store refuse the calls of a VM and its relay parent twice,
// and answer the parent between. The VM's updates must report it each time.
func TestRepeatedOutageIsRelayed(t *testing.T) {
	t.Parallel()
	src, p, _, clock, f := startWithPeer(t)
	src.fail(storer.ErrBusy)
	for range 2 {
		p.updates <- storer.Update{Version: version(1), SeenVersion: version(1), StoreUnreachable: true}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			clock.Advance(10 * time.Millisecond)
			u, _, err := f.Await(t.Context(), follower.Position{})
			if err == nil && u.StoreUnreachable {
				return poll.Success()
			}
			return poll.Continue("no outage reported")
		}, poll.WithDelay(time.Millisecond))
		p.updates <- storer.Update{Version: version(1), SeenVersion: version(1)}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			u, _, err := f.Await(t.Context(), follower.Position{})
			if err == nil && !u.StoreUnreachable {
				return poll.Success()
			}
			return poll.Continue("an outage reported")
		})
	}
}

// TestPeerTellsOfAnOutage has a VM whose calls the store refuses get no update for some time.
// Whether records may have expired meanwhile depends on whether the store answered other VMs,
// which the relay parent's update reports.
func TestPeerTellsOfAnOutage(t *testing.T) {
	t.Parallel()
	const minOutage = 3 * time.Second
	for _, tc := range []struct {
		name   string
		silent time.Duration
		steady time.Duration
		// want is for how long the store is known to have answered; 0 when the handler is
		// not called.
		want time.Duration
	}{
		{"short silence", time.Second, 0, 0},
		{"the peer saw the same outage", 6 * time.Second, 0, 100 * time.Millisecond},
		{"the store answered the peer earlier", 6 * time.Second, time.Second, time.Second + 100*time.Millisecond},
		{"the store answered the peer all the time", 6 * time.Second, time.Minute, time.Minute + 100*time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			src, p, handler, clock, f := startWithPeer(t, follower.WithMaxDelay(time.Minute), follower.WithMinOutage(minOutage))
			src.fail(storer.ErrBusy)
			clock.Advance(tc.silent)
			p.updates <- storer.Update{Version: version(1), SeenVersion: version(2), Age: 100 * time.Millisecond, StoreReachableFor: tc.steady}
			poll.WaitOn(t, hasSeen(f, version(2)))
			if tc.want > 0 {
				poll.WaitOn(t, handler.wasReachableSince(clock.Now().Add(-tc.want)))
				return
			}
			handler.mu.Lock()
			defer handler.mu.Unlock()
			assert.Equal(t, len(handler.reachableSince), 0)
		})
	}
}

// TestOlderPeerAfterLostHistory has the store drop the change history while the relay parent's
// records are older than the VM's. They must not restore a record that the VM knows to be
// removed.
func TestOlderPeerAfterLostHistory(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeer(t)
	p.updates <- storer.Update{Changes: []storer.Change{change("gone", 2)}, Version: version(2), SeenVersion: version(2)}
	poll.WaitOn(t, handler.has("gone"))
	removed := change("gone", 5)
	removed.Removed = true
	p.updates <- storer.Update{Changes: []storer.Change{removed}, Version: version(5), SeenVersion: version(5)}
	poll.WaitOn(t, hasSeen(f, version(5)))
	src.mu.Lock()
	src.historyStart, src.version = 10, 12
	src.mu.Unlock()
	for len(p.opened) > 0 {
		<-p.opened
	}
	f.ObservePeerVersion(version(12))
	older := storer.Update{Full: true, Changes: []storer.Change{change("first", 1), change("gone", 2)}, Version: version(3), SeenVersion: version(3)}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		select {
		case since := <-p.opened:
			if since == storer.Absent {
				return poll.Success()
			}
		default:
		}
		return poll.Continue("all records not requested")
	}, poll.WithDelay(time.Millisecond))
	p.updates <- older
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		handler.mu.Lock()
		defer handler.mu.Unlock()
		if handler.names["gone"] {
			return poll.Error(errors.New("what was removed is back"))
		}
		return hasSeen(f, version(12))(l)
	})
}

// TestStalePeerAfterLostHistory has the store drop the change history while the last
// confirmation that the relay parent reports is too old. The VM must list the records from the
// store: after the parent's records, its next watch would begin in the dropped history again.
func TestStalePeerAfterLostHistory(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, _ := startWithPeer(t)
	src.mu.Lock()
	src.historyStart, src.version = 10, 12
	src.records["new"] = storer.Record{Name: "new", Version: version(12)}
	src.mu.Unlock()
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		select {
		case p.updates <- storer.Update{Full: true, Changes: []storer.Change{change("first", 1)}, Version: version(1), SeenVersion: version(1), Age: shortestMaxDelay}:
		default:
		}
		return handler.has("new")(l)
	}, poll.WithDelay(time.Millisecond))
}

// TestSilentPeerIsNoOutage has the relay parent be silent until the records are stale, with a
// maximum delay that is longer than the shortest outage in which records expire. The store
// answers the VM, so no outage must be reported.
func TestSilentPeerIsNoOutage(t *testing.T) {
	t.Parallel()
	src, _, handler, clock, _ := startWithPeer(t, follower.WithMaxDelay(2*shortestMaxDelay), follower.WithMinOutage(3*shortestMaxDelay/2))
	src.put("missed")
	advanceUntil(t, clock, handler.has("missed"))
	handler.mu.Lock()
	defer handler.mu.Unlock()
	assert.Equal(t, len(handler.reachableSince), 0)
}

// TestRelayParentChangesWhilePeerIsSilent has a VM's relay parent change while the previous one
// is silent, as when two VMs follow each other. The VM must notice before its records are stale.
func TestRelayParentChangesWhilePeerIsSilent(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, _ := startWithPeer(t, follower.WithMaxDelay(time.Minute), follower.WithMinOutage(time.Minute))
	src.put("missed")
	p.leave()
	begun := clock.Now()
	advanceUntil(t, clock, handler.has("missed"))
	assert.Assert(t, clock.Since(begun) < time.Second, "noticed after %s", clock.Since(begun))
}

// TestAwaitReportsReachablePeriod checks that an update reports for how long the store has
// answered since the last outage.
func TestAwaitReportsReachablePeriod(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeer(t, follower.WithMaxDelay(time.Minute), follower.WithMinOutage(3*time.Second))
	src.fail(storer.ErrBusy)
	clock.Advance(6 * time.Second)
	p.updates <- storer.Update{Version: version(1), SeenVersion: version(2)}
	poll.WaitOn(t, handler.wasReachableSince(clock.Now()))
	clock.Advance(time.Second)
	p.updates <- storer.Update{Version: version(1), SeenVersion: version(3)}
	poll.WaitOn(t, hasSeen(f, version(3)))
	p.updates <- storer.Update{Version: version(1), SeenVersion: version(3)}
	u, _, err := f.Await(t.Context(), follower.Position{})
	assert.NilError(t, err)
	assert.Equal(t, u.StoreReachableFor, time.Second)
}

// TestAwait checks the changes, or all records, that a peer gets by its position.
func TestAwait(t *testing.T) {
	t.Parallel()
	src, handler, clock, f := startFollower(t)
	for _, name := range []string{"second", "third"} {
		src.put(name)
		poll.WaitOn(t, handler.has(name))
		src.advanceToNextWatch(t, clock)
	}
	for _, tc := range []struct {
		name  string
		since storer.Revision
		all   bool
		want  int
	}{
		{"nothing known", 0, true, 3},
		{"one known", 1, false, 2},
		{"two known", 2, false, 1},
		{"all known", 3, false, 0},
		{"later version than here", 9, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u, next, err := f.Await(t.Context(), follower.Position{Version: version(tc.since)})
			assert.NilError(t, err)
			assert.Equal(t, u.Full, tc.all)
			assert.Equal(t, len(u.Changes), tc.want)
			assert.Equal(t, next.Version, version(max(tc.since, 3)))
		})
	}
}

// TestAwaitAfterLostHistory has the store drop the change history, so that the VM lists the
// records again. A peer must get only the difference, and not all records.
func TestAwaitAfterLostHistory(t *testing.T) {
	t.Parallel()
	src, handler, clock, f := startFollower(t)
	src.dropHistory(t)
	src.advanceWatched(t, clock, shortestMaxDelay/2, handler.has("missed"))
	u, _, err := f.Await(t.Context(), follower.Position{Version: version(1)})
	assert.NilError(t, err)
	assert.Assert(t, !u.Full)
	assert.Equal(t, len(u.Changes), 1)
	assert.Equal(t, u.Changes[0].Record.Name, "missed")
}

// TestAwaitHistoryLimit has large records change often. The history for peers that lag is
// bounded; a peer that lags further gets all records.
func TestAwaitHistoryLimit(t *testing.T) {
	t.Parallel()
	_, p, handler, _, f := startWithPeer(t)
	large := []string{"large", "larger"}
	for v := storer.Revision(2); v < 42; v++ {
		u := storer.Update{Changes: []storer.Change{change(large[v%2], v)}, Version: version(v), SeenVersion: version(v)}
		u.Changes[0].Record.Spec = make([]byte, 100<<10)
		p.updates <- u
		poll.WaitOn(t, hasSeen(f, version(v)), poll.WithDelay(time.Millisecond))
	}
	poll.WaitOn(t, handler.has("larger"))
	for _, tc := range []struct {
		since storer.Revision
		all   bool
		want  int
	}{{1, true, 3}, {39, false, 2}} {
		u, _, err := f.Await(t.Context(), follower.Position{Version: version(tc.since)})
		assert.NilError(t, err)
		assert.Equal(t, u.Full, tc.all)
		assert.Equal(t, len(u.Changes), tc.want)
	}
}

// TestStartWaitsForAPeer checks that a VM that starts waits for its relay parent's records, so
// that one VM and not each reads all pages when a whole fleet starts. It reads them itself when
// the relay parent stays silent.
func TestStartWaitsForAPeer(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.put("first")
	p := newPeer(clock)
	f := follower.New(src, kind, &recorder{}, clock, slog.New(slog.DiscardHandler), follower.WithRelay(p), follower.WithMaxDelay(shortestMaxDelay))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	<-p.opened
	f.ObservePeerVersion(version(7))
	// Those of the version, of the initial records and of the parent's checks: the one for
	// the parent's answer, which is shorter, is stopped by then.
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 3))
	clock.Advance(500 * time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, src.calls(), 0)
	clock.Advance(time.Second)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if src.calls() > 0 {
			return poll.Success()
		}
		return poll.Continue("not listed")
	})
}

// TestObsoleteVersionsAreSent guards against peers that are sent each version of a record since
// theirs, where one would do.
func TestObsoleteVersionsAreSent(t *testing.T) {
	t.Parallel()
	src, handler, clock, f := startFollower(t)
	for _, name := range []string{"second", "config", "config", "third", "config"} {
		src.put(name)
		poll.WaitOn(t, handler.has(name))
		src.advanceToNextWatch(t, clock)
	}
	poll.WaitOn(t, hasSeen(f, version(6)))
	u, _, err := f.Await(t.Context(), follower.Position{Version: version(1)})
	assert.NilError(t, err)
	assert.DeepEqual(t, u.Changes, []storer.Change{change("second", 2), change("third", 5), change("config", 6)})
}

// TestObsoleteVersionOfRemovedRecordIsSent expects the removal of a record alone.
func TestObsoleteVersionOfRemovedRecordIsSent(t *testing.T) {
	t.Parallel()
	_, p, handler, _, f := startWithPeer(t)
	gone := change("second", 3)
	gone.Removed = true
	for _, c := range []storer.Change{change("second", 2), gone} {
		p.updates <- storer.Update{Changes: []storer.Change{c}, Version: c.Record.Version, SeenVersion: c.Record.Version}
	}
	p.updates <- storer.Update{Changes: []storer.Change{change("third", 4)}, Version: version(4), SeenVersion: version(4)}
	poll.WaitOn(t, handler.has("third"))
	poll.WaitOn(t, hasSeen(f, version(4)))
	u, _, err := f.Await(t.Context(), follower.Position{Version: version(1)})
	assert.NilError(t, err)
	assert.DeepEqual(t, u.Changes, []storer.Change{gone, change("third", 4)})
}

// slowHandler is a handler whose Apply waits until it may end.
type slowHandler struct {
	recorder
	begun, end chan struct{}
}

func (h *slowHandler) Apply(changes []storer.Change) error {
	h.begun <- struct{}{}
	<-h.end
	return h.recorder.Apply(changes)
}

// startApplying starts a follower whose handler is applying version 2, and returns a function
// that ends that.
func startApplying(t *testing.T) (*source, *peer, *clockwork.FakeClock, *follower.Follower, func()) {
	t.Helper()
	h := &slowHandler{begun: make(chan struct{}, 8), end: make(chan struct{})}
	end := sync.OnceFunc(func() { close(h.end) })
	src, p, clock, f := startHandlerWithPeer(t, h)
	t.Cleanup(end)
	p.updates <- storer.Update{Changes: []storer.Change{change("second", 2)}, Version: version(2), SeenVersion: version(2)}
	<-h.begun
	return src, p, clock, f, end
}

// TestPollWhileApplying guards against a VM that gives up its relay parent and asks the store for
// what it is applying, because peers were faster.
func TestPollWhileApplying(t *testing.T) {
	t.Parallel()
	src, p, clock, f, end := startApplying(t)
	assert.Assert(t, f.Applying())
	f.ObservePeerVersion(version(2))
	clock.Advance(300 * time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	end()
	poll.WaitOn(t, hasSeen(f, version(2)))
	assert.Assert(t, !f.Applying())
	assert.Equal(t, src.calls(), 0)
	assert.Equal(t, len(p.opened), 0, "another stream was opened")
	select {
	case p.updates <- storer.Update{Version: version(3), SeenVersion: version(3)}:
	case <-time.After(5 * time.Second):
		t.Fatal("the stream was given up")
	}
	poll.WaitOn(t, hasSeen(f, version(3)))
	assert.Equal(t, src.calls(), 0)
}

// TestVersionHeardWhileApplying has a peer report a version that the changes being applied lack.
// The peer does not report it again.
func TestVersionHeardWhileApplying(t *testing.T) {
	t.Parallel()
	src, _, clock, f, end := startApplying(t)
	src.put("second")
	src.put("third")
	f.ObservePeerVersion(version(3))
	clock.Advance(300 * time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, src.calls(), 0)
	end()
	poll.WaitOn(t, hasSeen(f, version(3)))
	assert.Equal(t, src.calls(), 1)
}

// TestObsoleteVersionsArePolled guards against a poll of the store that brings each version of a large
// record since this VM's, where a peer has the last one.
func TestObsoleteVersionsArePolled(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeer(t)
	u := storer.Update{Changes: []storer.Change{change("large", 2)}, Version: version(2), SeenVersion: version(2)}
	u.Changes[0].Record.Spec = make([]byte, 100<<10)
	p.updates <- u
	poll.WaitOn(t, hasSeen(f, version(2)))
	src.put("large")
	src.put("large")
	f.ObservePeerVersion(version(3))
	advanceUntil(t, clock, hasSeen(f, version(3)))
	poll.WaitOn(t, handler.has("large"))
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.lists, 1)
	assert.Equal(t, src.watches, 0)
}

// TestPeersWaitForHandler guards against changes that reach a VM late because each relay parent
// on the way applies them before it sends them on.
func TestPeersWaitForHandler(t *testing.T) {
	t.Parallel()
	_, _, _, f, end := startApplying(t)
	defer end()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	u, _, err := f.Await(ctx, follower.Position{Version: version(1), ConfirmedAt: time.Now().Add(time.Hour)})
	assert.NilError(t, err)
	assert.DeepEqual(t, u.Changes, []storer.Change{change("second", 2)})
	assert.Equal(t, u.SeenVersion, version(2))
}

// TestObsoleteVersionsAreRead guards against a VM that never catches up with a large record: a call
// that gets no whole answer in time is repeated, and the answer has each version since, so it
// only grows.
func TestObsoleteVersionsAreRead(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		sizes     map[string]int
		wantLists int
	}{
		{"one large record", map[string]int{"large": 100 << 10, "small": 100}, 2},
		{"many records", map[string]int{"a": 100, "b": 100, "c": 100}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			src := newSource(clock)
			for name, size := range tc.sizes {
				src.put(name)
				r := src.records[name]
				r.Spec = make([]byte, size)
				src.records[name] = r
			}
			src.unanswered = 1
			handler := &recorder{}
			f := follower.New(src, kind, handler, clock, slog.New(slog.DiscardHandler), follower.WithMaxDelay(shortestMaxDelay))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- f.Serve(ctx) }()
			t.Cleanup(func() {
				cancel()
				assert.NilError(t, <-done)
			})
			poll.WaitOn(t, hasSeen(f, version(storer.Revision(len(tc.sizes)))))
			src.put("later")
			advanceUntil(t, clock, handler.has("later"))
			src.mu.Lock()
			defer src.mu.Unlock()
			assert.Equal(t, src.lists, tc.wantLists)
		})
	}
}
