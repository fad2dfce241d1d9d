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

// peer is a VM that is followed. It is silent until it is given updates.
type peer struct {
	updates chan storer.Update
	// opened tells from which versions it was followed.
	opened chan storer.Version

	clock clockwork.Clock

	mu   sync.Mutex
	gone bool
	// way is how long an update takes from the peer.
	way time.Duration
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
	return &words{peer: p, ctx: ctx}, nil
}

// words are what a peer tells one follower.
type words struct {
	peer *peer
	ctx  context.Context
}

// Next implements follower.Updates.
func (w *words) Next() (storer.Update, error) {
	w.peer.mu.Lock()
	way := w.peer.way
	w.peer.mu.Unlock()
	if way > 0 {
		select {
		case <-w.peer.clock.After(way):
		case <-w.ctx.Done():
			return storer.Update{}, w.ctx.Err()
		}
	}
	select {
	case u := <-w.peer.updates:
		return u, nil
	case <-w.ctx.Done():
		return storer.Update{}, w.ctx.Err()
	}
}

// Peer implements follower.Updates.
func (w *words) Peer() (namer.VM, bool) {
	w.peer.mu.Lock()
	defer w.peer.mu.Unlock()
	return "vm-1", !w.peer.gone
}

// Close implements follower.Updates.
func (w *words) Close() {}

func (s *source) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists + s.watches
}

// startBehind starts a follower of a peer that has told it of all records.
func startBehind(t *testing.T, opts ...follower.Option) (*source, *peer, *copied, *clockwork.FakeClock, *follower.Follower) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.put("first")
	kept := &copied{}
	p := newPeer(clock)
	opts = append([]follower.Option{follower.WithRelay(p), follower.WithMaxDelay(tightest)}, opts...)
	f := follower.New(src, kind, kept, clock, slog.New(slog.DiscardHandler), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	assert.Equal(t, <-p.opened, storer.Version(0))
	p.updates <- storer.Update{All: true, Changes: []storer.Change{change("first", 1)}, At: 1, Seen: 1}
	poll.WaitOn(t, sees(f, 1))
	return src, p, kept, clock, f
}

// passUntil lets time pass until a check succeeds.
func passUntil(t *testing.T, clock *clockwork.FakeClock, check poll.Check) {
	t.Helper()
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		return check(l)
	}, poll.WithDelay(time.Millisecond))
}

func sees(f *follower.Follower, version storer.Version) poll.Check {
	return func(poll.LogT) poll.Result {
		if f.SeenVersion() == version {
			return poll.Success()
		}
		return poll.Continue("seen %d", f.SeenVersion())
	}
}

func change(name string, version storer.Version) storer.Change {
	return storer.Change{Record: storer.Record{Name: name, Version: version}}
}

// TestPeerInPlaceOfTheStore has many VMs cost no calls: a VM that is told what is
// fresh asks the store for nothing.
func TestPeerInPlaceOfTheStore(t *testing.T) {
	t.Parallel()
	src, p, kept, clock, f := startBehind(t)
	for i := range 10 {
		clock.Advance(tightest / 2)
		u := storer.Update{At: storer.Version(i + 2), Seen: storer.Version(i + 2)}
		if i == 5 {
			u.Changes = []storer.Change{change("second", 7)}
		}
		p.updates <- u
		poll.WaitOn(t, sees(f, u.Seen))
	}
	poll.WaitOn(t, kept.has("second"))
	assert.Equal(t, src.calls(), 0)
}

// TestSilentPeer has a peer fall silent, or tell what the store confirmed too long
// ago. What changes meanwhile is known within the bound all the same.
func TestSilentPeer(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		tell func(p *peer)
	}{
		{"silent", func(*peer) {}},
		{"old word", func(p *peer) { p.updates <- storer.Update{At: 1, Seen: 1, Age: tightest} }},
		{"no peer", func(p *peer) {
			p.leave()
			p.updates <- storer.Update{At: 1, Seen: 1}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			src, p, kept, clock, _ := startBehind(t)
			src.put("missed")
			tc.tell(p)
			assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
			clock.Advance(tightest - 100*time.Millisecond)
			poll.WaitOn(t, kept.has("missed"))
		})
	}
}

// TestStaleViewFollowsPeer has a VM that the store turns away lose its peer for longer than its
// view stays fresh. It learns from the peer, once that one is back, what the store does not tell it.
func TestStaleViewFollowsPeer(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		age  time.Duration
	}{
		{"fresh word", 0},
		{"old word", tightest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			src, p, kept, clock, _ := startBehind(t)
			src.fail(storer.ErrBusy)
			p.mu.Lock()
			p.way = 100 * time.Millisecond
			p.mu.Unlock()
			clock.Advance(tightest)
			poll.WaitOn(t, src.turnedAway)
			u := storer.Update{Changes: []storer.Change{change("news", 2)}, At: 2, Seen: 2, Age: tc.age}
			poll.WaitOn(t, func(l poll.LogT) poll.Result {
				clock.Advance(10 * time.Millisecond)
				select {
				case p.updates <- u:
				default:
				}
				return kept.has("news")(l)
			}, poll.WithDelay(time.Millisecond))
		})
	}
}

// TestRefusedVMHearsPeer has the store turn a VM away while other peers tell that they have seen
// more: it goes on hearing the peer that it follows, and does not ask the store all the time.
func TestRefusedVMHearsPeer(t *testing.T) {
	t.Parallel()
	src, p, kept, clock, f := startBehind(t)
	src.fail(storer.ErrBusy)
	p.mu.Lock()
	p.way = 100 * time.Millisecond
	p.mu.Unlock()
	// Peers tell it all the time, as many of them do together.
	for range 100 {
		f.ObservePeerVersion(2)
		clock.Advance(10 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	poll.WaitOn(t, src.turnedAway)
	begun := clock.Now()
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		f.ObservePeerVersion(2)
		select {
		case p.updates <- storer.Update{Changes: []storer.Change{change("news", 2)}, At: 2, Seen: 2}:
		default:
		}
		return kept.has("news")(l)
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, clock.Since(begun) < tightest, "learned after %s", clock.Since(begun))
}

// TestPeerIsFollowedAgain has a VM return to its peer once that one's word is
// fresh, from where it has come to itself.
func TestPeerIsFollowedAgain(t *testing.T) {
	t.Parallel()
	src, p, kept, clock, _ := startBehind(t)
	src.put("missed")
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(tightest - 100*time.Millisecond)
	poll.WaitOn(t, kept.has("missed"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case since := <-p.opened:
			assert.Equal(t, since, storer.Version(2))
			return poll.Success()
		default:
			clock.Advance(10 * time.Millisecond)
			return poll.Continue("not followed again")
		}
	})
	p.updates <- storer.Update{Changes: []storer.Change{change("third", 3)}, At: 3, Seen: 3}
	poll.WaitOn(t, kept.has("third"))
}

// TestToldByAPeer has a followed peer lag behind others, which have seen more: the
// VM looks at the store.
func TestToldByAPeer(t *testing.T) {
	t.Parallel()
	src, p, kept, clock, f := startBehind(t)
	src.put("missed")
	p.updates <- storer.Update{At: 1, Seen: 1}
	assert.Equal(t, src.calls(), 0)
	f.ObservePeerVersion(2)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(400 * time.Millisecond)
	poll.WaitOn(t, kept.has("missed"))
	poll.WaitOn(t, sees(f, 2))
	f.ObservePeerVersion(2)
}

// TestSilentCall has a VM's peer fall silent, and then its own calls, as where connections go silent
// and new ones work. It does not wait for the calls' own limit, which is as long as the bound.
func TestSilentCall(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		calls int
		most  time.Duration
	}{
		{1, 3 * tightest / 2},
		{2, 5 * tightest / 2},
	} {
		t.Run(fmt.Sprint(tc.calls), func(t *testing.T) {
			t.Parallel()
			src, _, kept, clock, _ := startBehind(t)
			src.mu.Lock()
			src.silent = tc.calls
			src.mu.Unlock()
			src.put("missed")
			begun := clock.Now()
			passUntil(t, clock, kept.has("missed"))
			assert.Assert(t, clock.Since(begun) < tc.most, "known after %s", clock.Since(begun))
		})
	}
}

// TestPeersFailureIsNotOwn has the store turn away the peer that is followed, and nobody else. The
// VM asks the store itself, long before its view is stale, and is not taken for turned away.
func TestPeersFailureIsNotOwn(t *testing.T) {
	t.Parallel()
	src, p, kept, clock, f := startBehind(t, follower.WithMaxDelay(time.Minute))
	src.put("missed")
	p.updates <- storer.Update{At: 1, Seen: 1, Away: true}
	poll.WaitOn(t, kept.has("missed"))
	clock.Advance(time.Second)
	assert.Assert(t, !f.StoreUnreachable())
}

// TestPeersWordWhileTurnedAway has the store turn away a VM and its peer: the VM listens to the
// peer until it may ask again, and hears at once that the peer is answered.
func TestPeersWordWhileTurnedAway(t *testing.T) {
	t.Parallel()
	src, p, kept, _, f := startBehind(t, follower.WithMaxDelay(time.Minute))
	src.fail(storer.ErrBusy)
	p.updates <- storer.Update{At: 1, Seen: 1, Away: true}
	poll.WaitOn(t, src.turnedAway)
	for range 3 {
		p.updates <- storer.Update{At: 1, Seen: 1, Away: true}
	}
	p.updates <- storer.Update{Changes: []storer.Change{change("news", 2)}, At: 2, Seen: 2}
	poll.WaitOn(t, kept.has("news"))
	poll.WaitOn(t, sees(f, 2))
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.failed, 1)
}

// TestInterruptedCallIsNoAnswer has a call that gets no answer be ended by a peer's word: a VM that
// the store has turned away is no better off.
func TestInterruptedCallIsNoAnswer(t *testing.T) {
	t.Parallel()
	src, p, _, clock, f := startBehind(t)
	src.fail(storer.ErrBusy)
	p.updates <- storer.Update{At: 1, Seen: 1, Away: true}
	poll.WaitOn(t, src.turnedAway)
	src.mu.Lock()
	src.failing = nil
	src.silent = 1000
	src.mu.Unlock()
	p.leave()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		f.ObservePeerVersion(2)
		src.mu.Lock()
		defer src.mu.Unlock()
		if src.silent < 996 {
			return poll.Success()
		}
		return poll.Continue("%d calls to come", src.silent)
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, f.StoreUnreachable())
}

// TestTurnedAwayAgain has a VM that was turned away hear from its peer, lose it, and be turned away
// again: those that follow it are told so each time.
func TestTurnedAwayAgain(t *testing.T) {
	t.Parallel()
	src, p, _, clock, f := startBehind(t)
	src.fail(storer.ErrBusy)
	for range 2 {
		p.updates <- storer.Update{At: 1, Seen: 1, Away: true}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			clock.Advance(10 * time.Millisecond)
			u, _, err := f.Await(t.Context(), follower.Position{})
			if err == nil && u.Away {
				return poll.Success()
			}
			return poll.Continue("not told")
		}, poll.WithDelay(time.Millisecond))
		p.updates <- storer.Update{At: 1, Seen: 1}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			u, _, err := f.Await(t.Context(), follower.Position{})
			if err == nil && !u.Away {
				return poll.Success()
			}
			return poll.Continue("told of an outage")
		})
	}
}

// TestPeerTellsOfAnOutage has a VM that the store turns away hear nothing for some time. Whether records may have lapsed
// meanwhile depends on whether the store answered others, as its peer tells.
func TestPeerTellsOfAnOutage(t *testing.T) {
	t.Parallel()
	const lapse = 3 * time.Second
	for _, tc := range []struct {
		name   string
		silent time.Duration
		steady time.Duration
		// want is for how long the store is known to have answered, 0 when nothing is told.
		want time.Duration
	}{
		{"short silence", time.Second, 0, 0},
		{"the peer noticed the same", 6 * time.Second, 0, 100 * time.Millisecond},
		{"the peer came back before", 6 * time.Second, time.Second, time.Second + 100*time.Millisecond},
		{"the store answered the peer all the time", 6 * time.Second, time.Minute, time.Minute + 100*time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			src, p, kept, clock, f := startBehind(t, follower.WithMaxDelay(time.Minute), follower.WithMinOutage(lapse))
			src.fail(storer.ErrBusy)
			clock.Advance(tc.silent)
			p.updates <- storer.Update{At: 1, Seen: 2, Age: 100 * time.Millisecond, Steady: tc.steady}
			poll.WaitOn(t, sees(f, 2))
			if tc.want > 0 {
				poll.WaitOn(t, kept.steadySince(clock.Now().Add(-tc.want)))
				return
			}
			kept.mu.Lock()
			defer kept.mu.Unlock()
			assert.Equal(t, len(kept.steady), 0)
		})
	}
}

// TestOlderPeerAfterLostHistory has the store drop its history while a VM follows a peer that
// knows less than the VM itself. What the VM knows to be removed does not come back.
func TestOlderPeerAfterLostHistory(t *testing.T) {
	t.Parallel()
	src, p, kept, clock, f := startBehind(t)
	p.updates <- storer.Update{Changes: []storer.Change{change("gone", 2)}, At: 2, Seen: 2}
	poll.WaitOn(t, kept.has("gone"))
	removed := change("gone", 5)
	removed.Removed = true
	p.updates <- storer.Update{Changes: []storer.Change{removed}, At: 5, Seen: 5}
	poll.WaitOn(t, sees(f, 5))
	src.mu.Lock()
	src.first, src.at = 10, 12
	src.mu.Unlock()
	for len(p.opened) > 0 {
		<-p.opened
	}
	f.ObservePeerVersion(12)
	older := storer.Update{All: true, Changes: []storer.Change{change("first", 1), change("gone", 2)}, At: 3, Seen: 3}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		select {
		case since := <-p.opened:
			if since == 0 {
				return poll.Success()
			}
		default:
		}
		return poll.Continue("not opened anew")
	}, poll.WithDelay(time.Millisecond))
	p.updates <- older
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		kept.mu.Lock()
		defer kept.mu.Unlock()
		if kept.names["gone"] {
			return poll.Error(errors.New("what was removed is back"))
		}
		return sees(f, 12)(l)
	})
}

// TestOldPeerAfterLostHistory has the store drop its history while the peer that is followed has
// heard nothing of the store for too long. The VM reads the records from the store; what the
// peer tells would only lead back to the history that is gone.
func TestOldPeerAfterLostHistory(t *testing.T) {
	t.Parallel()
	src, p, kept, clock, _ := startBehind(t)
	src.mu.Lock()
	src.first, src.at = 10, 12
	src.records["new"] = storer.Record{Name: "new", Version: 12}
	src.mu.Unlock()
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		clock.Advance(10 * time.Millisecond)
		select {
		case p.updates <- storer.Update{All: true, Changes: []storer.Change{change("first", 1)}, At: 1, Seen: 1, Age: tightest}:
		default:
		}
		return kept.has("new")(l)
	}, poll.WithDelay(time.Millisecond))
}

// TestSilentPeerIsNoOutage has a peer be silent until the view is stale, with a bound that is longer than
// the least outage in which records lapse. The store answers the VM: it was not away.
func TestSilentPeerIsNoOutage(t *testing.T) {
	t.Parallel()
	src, _, kept, clock, _ := startBehind(t, follower.WithMaxDelay(2*tightest), follower.WithMinOutage(3*tightest/2))
	src.put("missed")
	passUntil(t, clock, kept.has("missed"))
	kept.mu.Lock()
	defer kept.mu.Unlock()
	assert.Equal(t, len(kept.steady), 0)
}

// TestGuideChangesWhilePeerIsSilent has another VM be the one to follow while the peer says nothing, as
// where two VMs follow each other. The change does not wait until the view is stale.
func TestGuideChangesWhilePeerIsSilent(t *testing.T) {
	t.Parallel()
	src, p, kept, clock, _ := startBehind(t, follower.WithMaxDelay(time.Minute), follower.WithMinOutage(time.Minute))
	src.put("missed")
	p.leave()
	begun := clock.Now()
	passUntil(t, clock, kept.has("missed"))
	assert.Assert(t, clock.Since(begun) < time.Second, "noticed after %s", clock.Since(begun))
}

// TestAwaitTellsOfOutages has an outage end: peers are told for how long the store has
// answered since.
func TestAwaitTellsOfOutages(t *testing.T) {
	t.Parallel()
	src, p, kept, clock, f := startBehind(t, follower.WithMaxDelay(time.Minute), follower.WithMinOutage(3*time.Second))
	src.fail(storer.ErrBusy)
	clock.Advance(6 * time.Second)
	p.updates <- storer.Update{At: 1, Seen: 2}
	poll.WaitOn(t, kept.steadySince(clock.Now()))
	clock.Advance(time.Second)
	p.updates <- storer.Update{At: 1, Seen: 3}
	poll.WaitOn(t, sees(f, 3))
	p.updates <- storer.Update{At: 1, Seen: 3}
	u, _, err := f.Await(t.Context(), follower.Position{})
	assert.NilError(t, err)
	assert.Equal(t, u.Steady, time.Second)
}

// TestAwait tells peers what they lack from where they are.
func TestAwait(t *testing.T) {
	t.Parallel()
	src, kept, clock, f := startFollower(t)
	for _, name := range []string{"second", "third"} {
		src.put(name)
		poll.WaitOn(t, kept.has(name))
		src.nextWatch(t, clock)
	}
	for _, tc := range []struct {
		name  string
		since storer.Version
		all   bool
		want  int
	}{
		{"nothing known", 0, true, 3},
		{"one known", 1, false, 2},
		{"two known", 2, false, 1},
		{"all known", 3, false, 0},
		{"more known than here", 9, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u, next, err := f.Await(t.Context(), follower.Position{Version: tc.since})
			assert.NilError(t, err)
			assert.Equal(t, u.All, tc.all)
			assert.Equal(t, len(u.Changes), tc.want)
			assert.Equal(t, next.Version, max(tc.since, 3))
		})
	}
}

// TestAwaitAfterLostHistory has a list replace a watch: a peer is told only of
// what differs.
func TestAwaitAfterLostHistory(t *testing.T) {
	t.Parallel()
	src, kept, clock, f := startFollower(t)
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
	wait(t, clock, tightest/2)
	poll.WaitOn(t, kept.has("missed"))
	u, _, err := f.Await(t.Context(), follower.Position{Version: 1})
	assert.NilError(t, err)
	assert.Assert(t, !u.All)
	assert.Equal(t, len(u.Changes), 1)
	assert.Equal(t, u.Changes[0].Record.Name, "missed")
}

// TestAwaitKeepsLittle has large records change often: what is kept for peers that
// lag is bounded, and such a peer gets all records.
func TestAwaitKeepsLittle(t *testing.T) {
	t.Parallel()
	_, p, kept, _, f := startBehind(t)
	large := make([]byte, 100<<10)
	for v := storer.Version(2); v < 42; v++ {
		u := storer.Update{Changes: []storer.Change{change("large", v)}, At: v, Seen: v}
		u.Changes[0].Record.Spec = large
		p.updates <- u
		poll.WaitOn(t, sees(f, v), poll.WithDelay(time.Millisecond))
	}
	poll.WaitOn(t, kept.has("large"))
	for _, tc := range []struct {
		since storer.Version
		all   bool
		want  int
	}{{1, true, 2}, {39, false, 2}} {
		u, _, err := f.Await(t.Context(), follower.Position{Version: tc.since})
		assert.NilError(t, err)
		assert.Equal(t, u.All, tc.all)
		assert.Equal(t, len(u.Changes), tc.want)
	}
}

// TestStartWaitsForAPeer has a VM that starts with its peer wait for the peer's records:
// where a whole fleet starts, one VM reads all pages and not each of them. It reads them
// itself when the peer stays silent.
func TestStartWaitsForAPeer(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	src := newSource(clock)
	src.put("first")
	p := newPeer(clock)
	f := follower.New(src, kind, &copied{}, clock, slog.New(slog.DiscardHandler), follower.WithRelay(p), follower.WithMaxDelay(tightest))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	<-p.opened
	f.ObservePeerVersion(7)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
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
