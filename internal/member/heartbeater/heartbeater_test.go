package heartbeater_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const beat = 500 * time.Millisecond

type (
	// wire connects heartbeaters by address and counts what they exchange.
	wire struct {
		mu      sync.Mutex
		members map[string]*heartbeater.Heartbeater
		sent    map[string]int
		told    int
		down    map[string]bool
	}

	// end is one VM's end of the wire.
	end struct {
		*wire
		from string
	}

	nobody struct{}
)

func (nobody) VMs(context.Context) ([]storer.ListedVM, error) { return nil, nil }

func (e end) Ask(ctx context.Context, address string, _ namer.Incarnation, req *encoder.Request) (*encoder.Reply, error) {
	defer e.count()
	e.mu.Lock()
	e.told += len(req.GetHeartbeat().GetMembers())
	peer := e.members[address]
	down := e.down[address] || e.down[e.from]
	e.mu.Unlock()
	if peer == nil || down {
		return nil, errors.New("unreachable")
	}
	hb := peer.HandleHeartbeat(ctx, req.GetHeartbeat())
	return &encoder.Reply{Kind: &encoder.Reply_Heartbeat{Heartbeat: hb}}, nil
}

// count counts a heartbeat once it has been answered.
func (e end) count() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent[e.from]++
}

func (w *wire) counts() (a, b, told int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent["a"], w.sent["b"], w.told
}

func start(t *testing.T) (*wire, map[string]*heartbeater.Heartbeater, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	w := &wire{members: make(map[string]*heartbeater.Heartbeater), sent: make(map[string]int), down: make(map[string]bool)}
	timing := heartbeater.Timing{
		HeartbeatInterval: beat, ListInterval: time.Hour, Tracker: tracker.Timing{SuspectTimeout: 3 * beat, DeadTimeout: 10 * beat},
	}
	log := slog.New(slog.DiscardHandler)
	for _, name := range []string{"a", "b"} {
		inc, err := namer.RandomIncarnation()
		assert.NilError(t, err)
		self := tracker.Member{VM: namer.VM(name), Zone: "z", Region: "r", PeerAddress: name, Incarnation: inc, Started: clock.Now()}
		services := heartbeater.Services{Peers: end{w, name}, Lister: nobody{}, Documents: keeper.New(log)}
		w.members[name] = heartbeater.New(self, services, []string{"a", "b"}, timing, clock, log)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, h := range w.members {
		running.Go(func() { assert.Check(t, h.Serve(ctx)) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(w.members["a"].Members()) == 1 && len(w.members["b"].Members()) == 1 {
			return poll.Success()
		}
		return poll.Continue("not met")
	})
	return w, w.members, clock
}

// beats lets a number of heartbeats pass, one at a time.
func beats(t *testing.T, w *wire, clock *clockwork.FakeClock, n int) {
	t.Helper()
	for range n {
		a, b, _ := w.counts()
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
		clock.Advance(beat)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if a2, b2, _ := w.counts(); a2+b2 > a+b {
				return poll.Success()
			}
			return poll.Continue("no heartbeat")
		})
	}
}

// TestOneOfTwoSends has each pair exchange one heartbeat an interval, and tell
// of other members only while there is news.
func TestOneOfTwoSends(t *testing.T) {
	t.Parallel()
	w, _, clock := start(t)
	beats(t, w, clock, 10)
	_, b, told := w.counts()
	beats(t, w, clock, 20)
	_, b2, told2 := w.counts()
	assert.Equal(t, b2, b, "the VM with the higher name sends although it is asked in time")
	assert.Assert(t, told2-told <= 4, "%d members told of in 20 heartbeats without news", told2-told)
}

// TestSilentPeerIsAsked has the other VM send once the first falls silent.
func TestSilentPeerIsAsked(t *testing.T) {
	t.Parallel()
	w, members, clock := start(t)
	beats(t, w, clock, 5)
	w.mu.Lock()
	w.down["a"] = true
	w.mu.Unlock()
	beats(t, w, clock, 5)
	_, b, _ := w.counts()
	assert.Assert(t, b > 0, "nobody asked the silent VM")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if members["b"].Members()[0].State == tracker.Suspect {
			return poll.Success()
		}
		return poll.Continue("not suspect")
	})
}

// TestLeavingIsNewsAtOnce has a leaving VM tell its peers without waiting for
// its turn to send.
func TestLeavingIsNewsAtOnce(t *testing.T) {
	t.Parallel()
	w, members, clock := start(t)
	beats(t, w, clock, 5)
	members["b"].Leave()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if members["a"].Members()[0].State == tracker.Leaving {
			return poll.Success()
		}
		return poll.Continue("not leaving")
	})
}

// TestMeet has a VM that has just started wait for the first word of a peer, and no
// longer than a peer may take.
func TestMeet(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	log := slog.New(slog.DiscardHandler)
	self := tracker.Member{VM: "a", Zone: "z", Region: "r", PeerAddress: "a", Incarnation: namer.Incarnation{1}}
	timing := heartbeater.Timing{HeartbeatInterval: beat, ListInterval: time.Hour, Tracker: tracker.Timing{SuspectTimeout: 3 * beat, DeadTimeout: 10 * beat}}
	services := heartbeater.Services{Peers: end{&wire{}, "a"}, Lister: nobody{}, Documents: keeper.New(log)}
	begin := func(seeds ...string) (*heartbeater.Heartbeater, chan struct{}) {
		h := heartbeater.New(self, services, seeds, timing, clock, log)
		met := make(chan struct{})
		go func() {
			defer close(met)
			h.WaitForPeer(t.Context())
		}()
		return h, met
	}
	_, alone := begin("a")
	<-alone
	h, told := begin("a", "b")
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	inc := namer.Incarnation{2}
	h.HandleHeartbeat(t.Context(), &encoder.Heartbeat{Sender: &encoder.Member{Vm: "b", Zone: "z", Region: "r", Peers: "b", Incarnation: inc[:]}})
	<-told
	_, silent := begin("a", "b")
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	<-silent
}
