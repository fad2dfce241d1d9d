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
	// bound is a time within which changes must be known that does not bind: the least
	// outage, of two reports, is shorter.
	bound = time.Minute
	// beat is the interval at which upstreams report to the store.
	beat = 1500 * time.Millisecond
)

// refusing is a store that turns this VM away.
type refusing struct{}

func (refusing) List(context.Context, storer.Kind, string) (storer.Page, error) {
	return storer.Page{}, storer.ErrBusy
}

func (refusing) Changes(context.Context, storer.Kind, storer.Version, time.Duration) (storer.Changes, error) {
	return storer.Changes{}, storer.ErrBusy
}

// teller is the peer that is followed.
type teller struct {
	ctx     context.Context
	updates chan storer.Update
}

func (*teller) WaitForPeer(context.Context) {}

func (p *teller) Open(ctx context.Context, _ storer.Kind, _ storer.Version) (follower.Updates, error) {
	return &teller{ctx: ctx, updates: p.updates}, nil
}

func (p *teller) Next() (storer.Update, error) {
	select {
	case u := <-p.updates:
		return u, nil
	case <-p.ctx.Done():
		return storer.Update{}, p.ctx.Err()
	}
}

func (*teller) Peer() (namer.VM, bool) { return "vm-1", true }

func (*teller) Close() {}

// followPeer starts a VM that has known one upstream for a minute, from a peer.
func followPeer(t *testing.T) (*discoverer.Discoverer, *teller, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	d := discoverer.New(decode, clock, slog.New(slog.DiscardHandler))
	p := &teller{updates: make(chan storer.Update)}
	f := follower.New(refusing{}, "upstreams", d.Upstreams(), clock, slog.New(slog.DiscardHandler),
		follower.WithRelay(p), follower.WithMaxDelay(bound), follower.WithMinOutage(2*beat))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	p.updates <- storer.Update{All: true, Changes: []storer.Change{{Record: record("a", "", 1)}}, At: 1, Seen: 1}
	poll.WaitOn(t, used(d, "a", true))
	for range 60 {
		clock.Advance(time.Second)
		p.updates <- storer.Update{At: 1, Seen: 1}
	}
	return d, p, clock
}

// used checks whether an upstream is in the view.
func used(d *discoverer.Discoverer, name namer.Upstream, want bool) poll.Check {
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

// TestRemovalAfterPeerLostStore has the store turn away the peer that is followed, for less
// time than entries take to lapse, while an upstream leaves. The store was never away, so the
// removal counts as soon as it is known.
func TestRemovalAfterPeerLostStore(t *testing.T) {
	t.Parallel()
	d, p, clock := followPeer(t)
	for range 2 {
		// The second one is taken once the first has been applied.
		p.updates <- storer.Update{At: 1, Seen: 1, Away: true}
	}
	clock.Advance(900 * time.Millisecond)
	removed := []storer.Change{{Record: record("a", "", 2), Removed: true}}
	p.updates <- storer.Update{Changes: removed, At: 2, Seen: 2}
	poll.WaitOn(t, used(d, "a", false))
}

// TestRemovalAfterVMWasCutOff has a VM hear nothing for longer than entries take to lapse,
// while the store answered others. A removal counts; it does not where nobody reached the store.
func TestRemovalAfterVMWasCutOff(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		steady time.Duration
		used   bool
	}{
		{"others reached the store", time.Minute, false},
		{"nobody reached the store", 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d, p, clock := followPeer(t)
			clock.Advance(4 * beat)
			removed := []storer.Change{{Record: record("a", "", 2), Removed: true}}
			for range 2 {
				p.updates <- storer.Update{Changes: removed, At: 2, Seen: 2, Steady: tc.steady}
			}
			poll.WaitOn(t, used(d, "a", tc.used))
		})
	}
}
