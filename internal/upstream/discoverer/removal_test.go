package discoverer_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/discoverer"
)

const (
	// maxDelay is the time within which changes must be known. It has no effect here: the
	// shortest outage, of two report intervals, is shorter and limits it.
	maxDelay = time.Minute
	// reportInterval is how often upstreams write their records to the store.
	reportInterval = 1500 * time.Millisecond
)

// busyStore is a store that refuses every call of this VM.
type busyStore struct{}

func (busyStore) List(context.Context, storer.Kind, string) (storer.Page, error) {
	return storer.Page{}, storer.ErrBusy
}

func (busyStore) Changes(context.Context, storer.Kind, storer.Version, time.Duration) (storer.Changes, error) {
	return storer.Changes{}, storer.ErrBusy
}

// fakePeer is the relay and the relay parent of this VM. The test sends its updates.
type fakePeer struct {
	ctx     context.Context
	updates chan storer.Update
}

func (*fakePeer) WaitForPeer(context.Context) {}

func (p *fakePeer) Open(ctx context.Context, _ storer.Kind, _ storer.Version) (follower.Updates, error) {
	return &fakePeer{ctx: ctx, updates: p.updates}, nil
}

func (p *fakePeer) Next() (storer.Update, error) {
	select {
	case u := <-p.updates:
		return u, nil
	case <-p.ctx.Done():
		return storer.Update{}, p.ctx.Err()
	}
}

func (*fakePeer) Peer() (namer.VM, bool) { return "vm-1", true }

func (*fakePeer) Close() {}

// followPeer starts a VM that follows a relay parent, and has known one upstream from it
// for a minute.
func followPeer(t *testing.T) (*discoverer.Discoverer, *fakePeer, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	d := discoverer.New(decode, clock, slog.New(slog.DiscardHandler))
	p := &fakePeer{updates: make(chan storer.Update)}
	f := follower.New(busyStore{}, "upstreams", d.Upstreams(), clock, slog.New(slog.DiscardHandler),
		follower.WithRelay(p), follower.WithMaxDelay(maxDelay), follower.WithMinOutage(2*reportInterval))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	p.updates <- storer.Update{Full: true, Changes: []storer.Change{{Record: record("a", "", 1)}}, Version: version(1), SeenVersion: version(1)}
	poll.WaitOn(t, inView(d, "a", true))
	for range 60 {
		clock.Advance(time.Second)
		p.updates <- storer.Update{Version: version(1), SeenVersion: version(1)}
	}
	return d, p, clock
}

// inView checks whether an upstream is in the view, or the view is empty when want is false.
func inView(d *discoverer.Discoverer, name namer.Upstream, want bool) poll.Check {
	return func(poll.LogT) poll.Result {
		for _, u := range d.View().Upstreams {
			if u.Upstream == name && want {
				return poll.Success()
			}
		}
		if !want && len(d.View().Upstreams) == 0 {
			return poll.Success()
		}
		return poll.Continue("view %v", d.View().Upstreams)
	}
}

// TestRemovalAfterPeerLostStore guards against delayed removals: the store refuses the
// calls of the relay parent while an upstream is removed, for less time than records take
// to expire. This is no outage of the store, so the removal must take effect at once,
// without the grace period.
func TestRemovalAfterPeerLostStore(t *testing.T) {
	t.Parallel()
	d, p, clock := followPeer(t)
	for range 2 {
		// The second update is received only after the first one was applied.
		p.updates <- storer.Update{Version: version(1), SeenVersion: version(1), StoreUnreachable: true}
	}
	clock.Advance(900 * time.Millisecond)
	removed := []storer.Change{{Record: record("a", "", 2), Removed: true}}
	p.updates <- storer.Update{Changes: removed, Version: version(2), SeenVersion: version(2)}
	poll.WaitOn(t, inView(d, "a", false))
}

// TestRemovalAfterVMWasCutOff has a VM that receives no updates for longer than records
// take to expire. A removal takes effect at once if the store answered other VMs in this
// time. If no VM reached it, the removal falls into the grace period after an outage.
func TestRemovalAfterVMWasCutOff(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name         string
		reachableFor time.Duration
		inUse        bool
	}{
		{"others reached the store", time.Minute, false},
		{"nobody reached the store", 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d, p, clock := followPeer(t)
			clock.Advance(4 * reportInterval)
			removed := []storer.Change{{Record: record("a", "", 2), Removed: true}}
			for range 2 {
				p.updates <- storer.Update{Changes: removed, Version: version(2), SeenVersion: version(2), StoreReachableFor: tc.reachableFor}
			}
			poll.WaitOn(t, inView(d, "a", tc.inUse))
		})
	}
}
