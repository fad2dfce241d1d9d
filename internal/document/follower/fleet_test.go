package follower_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// relayFanOut is how many VMs follow each VM of a fleet, and relayDepth how many relays a
	// confirmation passes at most.
	relayFanOut = 13
	relayDepth  = 3
)

// directRelay follows another follower in the same process. The relay root has none.
type directRelay struct {
	parent *follower.Follower
}

// WaitForPeer implements follower.Relay.
func (directRelay) WaitForPeer(context.Context) {}

// Open implements follower.Relay.
func (r directRelay) Open(ctx context.Context, _ storer.Kind, since storer.Version) (follower.Updates, error) {
	if r.parent == nil {
		return nil, follower.ErrRelayRoot
	}
	return &directUpdates{ctx: ctx, parent: r.parent, position: follower.Position{Version: since}}, nil
}

type directUpdates struct {
	ctx      context.Context
	parent   *follower.Follower
	position follower.Position
}

// Next implements follower.Updates.
func (u *directUpdates) Next() (storer.Update, error) {
	update, next, err := u.parent.Await(u.ctx, u.position)
	u.position = next
	return update, err
}

// Peer implements follower.Updates.
func (u *directUpdates) Peer() (namer.VM, bool) { return "parent", true }

// Close implements follower.Updates.
func (u *directUpdates) Close() {}

// startFleet starts followers of which each follows one before it, all with the same handler, and
// waits until all know the records.
func startFleet(t *testing.T, src *source, handler follower.Handler, clock *clockwork.FakeClock, vms int, opts ...follower.Option) []*follower.Follower {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, vms)
	t.Cleanup(func() {
		cancel()
		for range vms {
			assert.NilError(t, <-done)
		}
	})
	fleet := make([]*follower.Follower, vms)
	for i := range fleet {
		relay := directRelay{}
		if i > 0 {
			relay.parent = fleet[(i-1)/relayFanOut]
		}
		fleet[i] = follower.New(src, kind, handler, clock, slog.New(slog.DiscardHandler),
			append(opts, follower.WithRelay(relay), follower.WithMaxDelay(shortestMaxDelay))...)
		go func() { done <- fleet[i].Serve(ctx) }()
		poll.WaitOn(t, hasSeen(fleet[i], version(1)), poll.WithDelay(time.Millisecond))
	}
	return fleet
}

// advanceFleet advances the clock step by step. It waits before each step until all followers have set
// their timers and have got the root's last confirmation, so a busy machine does not make them late.
func advanceFleet(t *testing.T, fleet []*follower.Follower, clock *clockwork.FakeClock, d time.Duration) {
	t.Helper()
	const step = 10 * time.Millisecond
	// A watch has two timers, and so has each stream of updates.
	timers := 2 * len(fleet)
	for begun := clock.Now(); clock.Since(begun) < d; clock.Advance(step) {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), timers))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			rootAge, _ := fleet[0].Age()
			for i, f := range fleet {
				if age, _ := f.Age(); age > rootAge+relayDepth*step {
					return poll.Continue("vm-%d is confirmed %s ago, the root %s", i, age, rootAge)
				}
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
}

// TestFleetCallsDoNotGrow checks that the calls for confirmations, and the bytes that they bring, are
// the same however many VMs there are, that all VMs are confirmed in time, and that no handler gets
// the same records again.
func TestFleetCallsDoNotGrow(t *testing.T) {
	t.Parallel()
	const periods = 5
	for _, vms := range []int{12, 66, 295} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			src := newSource(clock)
			src.put("first")
			src.mu.Lock()
			src.records["first"] = storer.Record{Name: "first", Version: version(1), Spec: make([]byte, 20<<10)}
			src.mu.Unlock()
			handler := &recorder{}
			fleet := startFleet(t, src, handler, clock, vms, follower.WithListConfirmations())
			before, learned, begun := src.calls(), fleet[0].Counts().StoreBytes, clock.Now()
			advanceFleet(t, fleet, clock, periods*shortestMaxDelay)
			calls, seconds := src.calls()-before, clock.Since(begun).Seconds()
			learned = fleet[0].Counts().StoreBytes - learned
			t.Logf("%.2f calls and %.0f bytes a second of all VMs", float64(calls)/seconds, float64(learned)/seconds)
			assert.Assert(t, calls <= 6*periods+3, "%d calls", calls)
			assert.Equal(t, handler.resets, vms)
			for i, f := range fleet {
				_, oldest := f.Age()
				assert.Assert(t, oldest < shortestMaxDelay, "vm-%d is confirmed after %s", i, oldest)
				assert.Assert(t, i == 0 || f.Counts().StoreBytes == 0, "vm-%d has read the store", i)
			}
		})
	}
}
