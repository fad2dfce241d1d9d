package heartbeater_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const heartbeatInterval = 500 * time.Millisecond

type (
	// pair connects heartbeaters by address and counts what they exchange.
	pair struct {
		mu      sync.Mutex
		members map[string]*heartbeater.Heartbeater
		sent    map[string]int
		// reported is the number of other members in all heartbeats.
		reported int
		down     map[string]bool
	}

	// pairClient sends the heartbeats of one VM.
	pairClient struct {
		*pair
		from string
	}

	emptyList struct{}
)

func (emptyList) VMs(context.Context) ([]storer.ListedVM, error) { return nil, nil }

func (c pairClient) Call(ctx context.Context, address string, _ namer.Incarnation, req *encoder.Request) (*encoder.Reply, error) {
	defer c.count()
	c.mu.Lock()
	c.reported += len(req.GetHeartbeat().GetMembers())
	peer := c.members[address]
	down := c.down[address] || c.down[c.from]
	c.mu.Unlock()
	if peer == nil || down {
		return nil, errors.New("unreachable")
	}
	hb := peer.HandleHeartbeat(ctx, req.GetHeartbeat())
	return &encoder.Reply{Kind: &encoder.Reply_Heartbeat{Heartbeat: hb}}, nil
}

// count counts a heartbeat after its reply or its failure.
func (c pairClient) count() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[c.from]++
}

func (p *pair) counts() (a, b, reported int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent["a"], p.sent["b"], p.reported
}

func start(t *testing.T) (*pair, map[string]*heartbeater.Heartbeater, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	p := &pair{members: make(map[string]*heartbeater.Heartbeater), sent: make(map[string]int), down: make(map[string]bool)}
	timing := heartbeater.Timing{
		HeartbeatInterval: heartbeatInterval, ListInterval: time.Hour,
		Tracker: tracker.Timing{SuspectTimeout: 3 * heartbeatInterval, DeadTimeout: 10 * heartbeatInterval},
	}
	log := slog.New(slog.DiscardHandler)
	for _, name := range []string{"a", "b"} {
		inc, err := namer.RandomIncarnation()
		assert.NilError(t, err)
		self := tracker.Member{VM: namer.VM(name), Zone: "z", Region: "r", PeerAddress: name, Incarnation: inc, Started: clock.Now()}
		deps := heartbeater.Dependencies{Peers: pairClient{p, name}, Lister: emptyList{}, Documents: keeper.New(log)}
		p.members[name] = heartbeater.New(self, deps, []string{"a", "b"}, timing, clock, log)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, h := range p.members {
		running.Go(func() { assert.Check(t, h.Serve(ctx)) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(p.members["a"].Members()) == 1 && len(p.members["b"].Members()) == 1 {
			return poll.Success()
		}
		return poll.Continue("a and b do not know each other yet")
	})
	return p, p.members, clock
}

// advance moves the clock by n heartbeat intervals, and checks that one heartbeat is sent in each. It
// waits until all that an interval brings has ended: a heartbeat is not sent before the one before
// it has ended, which a busy machine may hold up.
func advance(t *testing.T, p *pair, clock *clockwork.FakeClock, n int) {
	t.Helper()
	for range n {
		synctest.Wait()
		a, b, _ := p.counts()
		clock.Advance(heartbeatInterval)
		synctest.Wait()
		a2, b2, _ := p.counts()
		assert.Assert(t, a2+b2 > a+b, "no heartbeat was sent")
	}
}

// TestOneOfPairSends checks that a pair exchanges one heartbeat per interval, and that
// heartbeats report other members only after changes. Otherwise traffic would double and
// every heartbeat would carry the member list.
func TestOneOfPairSends(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p, _, clock := start(t)
		advance(t, p, clock, 10)
		_, b, reported := p.counts()
		advance(t, p, clock, 20)
		_, b2, reported2 := p.counts()
		assert.Equal(t, b2, b, "the VM with the higher name sends although it gets heartbeats in time")
		assert.Assert(t, reported2-reported <= 4, "%d members reported in 20 heartbeats without changes", reported2-reported)
	})
}

// TestSilentPeerIsContacted checks that the other VM of a pair sends once the usual sender
// is silent, and then suspects it.
func TestSilentPeerIsContacted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p, members, clock := start(t)
		advance(t, p, clock, 5)
		_, b, _ := p.counts()
		p.mu.Lock()
		p.down["a"] = true
		p.mu.Unlock()
		advance(t, p, clock, 5)
		_, b2, _ := p.counts()
		assert.Assert(t, b2 > b, "b sent no heartbeat to the silent VM")
		assert.Equal(t, members["b"].Members()[0].State, tracker.Suspect)
	})
}

// TestLeavingIsAnnouncedAtOnce checks that a VM that leaves sends heartbeats immediately,
// also to a peer whose heartbeats it otherwise only answers.
func TestLeavingIsAnnouncedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p, members, clock := start(t)
		advance(t, p, clock, 5)
		members["b"].BeginShutdown()
		synctest.Wait()
		assert.Equal(t, members["a"].Members()[0].State, tracker.Leaving)
	})
}

// TestWaitForPeer checks that a VM that has just started waits for the first heartbeat of a
// peer, that the wait is bounded if no peer answers, and that a VM that is its own only
// seed does not wait.
func TestWaitForPeer(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	log := slog.New(slog.DiscardHandler)
	self := tracker.Member{VM: "a", Zone: "z", Region: "r", PeerAddress: "a", Incarnation: namer.Incarnation{1}}
	timing := heartbeater.Timing{
		HeartbeatInterval: heartbeatInterval, ListInterval: time.Hour,
		Tracker: tracker.Timing{SuspectTimeout: 3 * heartbeatInterval, DeadTimeout: 10 * heartbeatInterval},
	}
	deps := heartbeater.Dependencies{Peers: pairClient{&pair{}, "a"}, Lister: emptyList{}, Documents: keeper.New(log)}
	begin := func(seeds ...string) (*heartbeater.Heartbeater, chan struct{}) {
		h := heartbeater.New(self, deps, seeds, timing, clock, log)
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.WaitForPeer(t.Context())
		}()
		return h, done
	}
	_, alone := begin("a")
	<-alone
	h, contacted := begin("a", "b")
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	inc := namer.Incarnation{2}
	h.HandleHeartbeat(t.Context(), &encoder.Heartbeat{Sender: &encoder.Member{Vm: "b", Zone: "z", Region: "r", Peers: "b", Incarnation: inc[:]}})
	<-contacted
	_, silent := begin("a", "b")
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	<-silent
}

// TestZoneSizeChangesAlone guards against a VM that goes on with too few VMs of another zone, since
// their number came after its members.
func TestZoneSizeChangesAlone(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	var members [2]tracker.Member
	for i, name := range []string{"a", "b"} {
		inc, err := namer.RandomIncarnation()
		assert.NilError(t, err)
		members[i] = tracker.Member{VM: namer.VM(name), Zone: namer.Zone("zone-" + name), Region: "r", PeerAddress: name, Incarnation: inc, Started: clock.Now(), ZoneSize: 1, LastHeard: clock.Now()}
	}
	p := &pair{members: make(map[string]*heartbeater.Heartbeater), sent: make(map[string]int), down: make(map[string]bool)}
	log := slog.New(slog.DiscardHandler)
	deps := heartbeater.Dependencies{Peers: pairClient{p, "a"}, Lister: emptyList{}, Documents: keeper.New(log)}
	timing := heartbeater.Timing{
		HeartbeatInterval: heartbeatInterval, ListInterval: time.Hour,
		Tracker: tracker.Timing{SuspectTimeout: time.Hour, DeadTimeout: time.Hour},
	}
	h := heartbeater.New(members[0], deps, []string{"a"}, timing, clock, log)
	sizes := make(chan int, 16)
	h.OnChange(func() {
		for _, s := range h.Summaries() {
			if s.Zone == members[1].Zone {
				sizes <- s.VMs
			}
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, h.Serve(ctx)) })
	defer running.Wait()
	defer cancel()
	for _, size := range []int{1, 14} {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		summary := tracker.ZoneSummary{Zone: members[1].Zone, VMs: size, At: clock.Now()}
		h.HandleHeartbeat(t.Context(), &encoder.Heartbeat{
			Sender:    converter.Member(members[1], clock.Now()),
			Summaries: []*encoder.Summary{converter.Summary(summary, clock.Now())},
		})
		clock.Advance(heartbeatInterval)
		select {
		case got := <-sizes:
			assert.Equal(t, got, size)
		case <-time.After(10 * time.Second):
			t.Fatalf("the change to %d VMs was not reported", size)
		}
	}
}

// TestForgottenSenderGetsNoMembers guards against hundreds of members in each reply to a VM that this
// one does not keep, such as one of another zone that is no gateway in its view. It gets them with
// the reply to its next complete sender.
func TestForgottenSenderGetsNoMembers(t *testing.T) {
	t.Parallel()
	clock, log := clockwork.NewFakeClock(), slog.New(slog.DiscardHandler)
	member := func(name string) tracker.Member {
		inc, err := namer.RandomIncarnation()
		assert.NilError(t, err)
		return tracker.Member{VM: namer.VM(name), Zone: "z", Region: "r", PeerAddress: name, Incarnation: inc, Started: clock.Now(), LastHeard: clock.Now()}
	}
	timing := heartbeater.Timing{HeartbeatInterval: heartbeatInterval, ListInterval: time.Hour, Tracker: tracker.Timing{SuspectTimeout: time.Hour, DeadTimeout: time.Hour}}
	deps := heartbeater.Dependencies{Peers: pairClient{&pair{}, "a"}, Lister: emptyList{}, Documents: keeper.New(log)}
	h := heartbeater.New(member("a"), deps, []string{"a"}, timing, clock, log)
	for _, name := range []string{"b", "c"} {
		h.HandleHeartbeat(t.Context(), &encoder.Heartbeat{Sender: converter.Member(member(name), clock.Now())})
	}
	forgotten := member("d")
	reply := h.HandleHeartbeat(t.Context(), &encoder.Heartbeat{Sender: converter.CompactMember(forgotten, clock.Now())})
	assert.Equal(t, len(reply.GetMembers()), 0)
	assert.Equal(t, reply.GetSender().GetPeers(), "a")
	reply = h.HandleHeartbeat(t.Context(), &encoder.Heartbeat{Sender: converter.Member(forgotten, clock.Now())})
	assert.Assert(t, len(reply.GetMembers()) >= 2, "%d members", len(reply.GetMembers()))
}
