package heartbeater_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// fleetVMs start together in fleetZones zones of three regions.
	fleetVMs   = 300
	fleetZones = 9
	// controlBytes is what a VM may send and take for control in a second, by the
	// size that the project is designed for.
	controlBytes = 22 << 10
	// startLogBytes bounds what one VM logs of members in its first seconds: a line
	// of a few hundred bytes for each heartbeat that brings news.
	startLogBytes = 32 << 10
)

type (
	// fabric connects many heartbeaters and counts each one's bytes.
	fabric struct {
		mu      sync.Mutex
		members map[string]*heartbeater.Heartbeater
		bytes   map[string]int
	}

	fabricEnd struct {
		*fabric
		from string
	}
)

func (e fabricEnd) Ask(ctx context.Context, address string, _ namer.Incarnation, req *encoder.Request) (*encoder.Reply, error) {
	e.mu.Lock()
	peer := e.members[address]
	e.mu.Unlock()
	if peer == nil {
		return nil, errors.New("unreachable")
	}
	reply := &encoder.Reply{Kind: &encoder.Reply_Heartbeat{Heartbeat: peer.HandleHeartbeat(ctx, req.GetHeartbeat())}}
	size := proto.Size(req) + proto.Size(reply)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bytes[e.from] += size
	e.bytes[address] += size
	return reply, nil
}

// take returns and forgets the bytes of the VM that had most.
func (f *fabric) take() (most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.bytes {
		most = max(most, n)
	}
	f.bytes = make(map[string]int)
	return most
}

type seeds []storer.ListedVM

func (s seeds) VMs(context.Context) ([]storer.ListedVM, error) { return s, nil }

// TestManyStartTogether has hundreds of VMs start at once and learn of each other.
// What each sends is bounded, each knows its zone and a few of each other zone, and
// the sums of other zones are whole.
func TestManyStartTogether(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	f := &fabric{members: make(map[string]*heartbeater.Heartbeater), bytes: make(map[string]int)}
	timing := heartbeater.Timing{
		HeartbeatInterval: beat, ListInterval: 20 * beat, Tracker: tracker.Timing{SuspectTimeout: 3 * beat, DeadTimeout: 10 * beat},
	}
	var logged bytes.Buffer
	quiet := slog.New(slog.DiscardHandler)
	for i := range fleetVMs {
		name := fmt.Sprintf("vm-%d", i)
		inc, err := namer.RandomIncarnation()
		assert.NilError(t, err)
		zone := i % fleetZones
		self := tracker.Member{
			VM: namer.VM(name), Zone: namer.Zone(fmt.Sprintf("zone-%d", zone)), Region: namer.Region(fmt.Sprintf("region-%d", zone%3)),
			CallerAddress: "10.1.0.32:8323", OperatorAddress: "10.1.0.32:9600", PeerAddress: name, Incarnation: inc, Started: clock.Now(),
		}
		log := quiet
		if i == 0 {
			log = slog.New(slog.NewTextHandler(&logged, nil))
		}
		services := heartbeater.Services{Peers: fabricEnd{f, name}, Lister: seeds{}, Documents: keeper.New(quiet)}
		h := heartbeater.New(self, services, []string{"vm-0", "vm-1", "vm-2"}, timing, clock, log)
		h.SetDemands(func() []tracker.Demand { return []tracker.Demand{{Service: "desk", Slots: 1}} })
		f.members[name] = h
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, h := range f.members {
		running.Go(func() { assert.Check(t, h.Serve(ctx)) })
	}
	defer running.Wait()
	defer cancel()
	const started = 10
	for range started {
		f.advance(t, clock)
	}
	assert.Assert(t, logged.Len() < startLogBytes, "%d bytes logged", logged.Len())
	f.take()
	const steady = 12
	for range steady {
		f.advance(t, clock)
	}
	most := f.take()
	seconds := int(steady * beat / time.Second)
	assert.Assert(t, most < seconds*controlBytes, "%d bytes in %d s", most, seconds)
	for name, h := range f.members {
		known := len(h.Members())
		assert.Check(t, known >= fleetVMs/fleetZones && known <= 2*fleetVMs/fleetZones, "%s knows %d VMs", name, known)
		vms, slots := 0, 0.0
		for _, s := range h.Summaries() {
			vms += s.VMs
			for _, n := range s.Demands {
				slots += n.Slots
			}
		}
		assert.Check(t, vms == fleetVMs && slots == fleetVMs, "%s counts %d VMs and %v slots", name, vms, slots)
	}
}

// advance lets one heartbeat of all VMs pass.
func (f *fabric) advance(t *testing.T, clock *clockwork.FakeClock) {
	t.Helper()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), fleetVMs))
	clock.Advance(beat)
	f.settle()
}

// settle waits until no more heartbeats are exchanged.
func (f *fabric) settle() {
	last := -1
	for {
		f.mu.Lock()
		sum := 0
		for _, n := range f.bytes {
			sum += n
		}
		f.mu.Unlock()
		if sum == last {
			return
		}
		last = sum
		time.Sleep(40 * time.Millisecond)
	}
}
