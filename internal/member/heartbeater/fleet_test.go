package heartbeater_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
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
	// fleetVMs VMs start at once in fleetZones zones of three regions.
	fleetVMs   = 300
	fleetZones = 9
	// maxControlBytesPerSecond bounds the control traffic of a VM, sent and received, at
	// the fleet size that the project is designed for.
	maxControlBytesPerSecond = 22 << 10
	// maxStartLogBytes bounds what one VM logs about members in its first seconds: one
	// line of a few hundred bytes for each heartbeat with changes.
	maxStartLogBytes = 32 << 10
)

type (
	// network connects many heartbeaters and counts the bytes of each.
	network struct {
		mu      sync.Mutex
		members map[string]*heartbeater.Heartbeater
		bytes   map[string]int
	}

	networkClient struct {
		*network
		from string
	}
)

func (c networkClient) Call(ctx context.Context, address string, _ namer.Incarnation, req *encoder.Request) (*encoder.Reply, error) {
	c.mu.Lock()
	peer := c.members[address]
	c.mu.Unlock()
	if peer == nil {
		return nil, errors.New("unreachable")
	}
	reply := &encoder.Reply{Kind: &encoder.Reply_Heartbeat{Heartbeat: peer.HandleHeartbeat(ctx, req.GetHeartbeat())}}
	size := proto.Size(req) + proto.Size(reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes[c.from] += size
	c.bytes[address] += size
	return reply, nil
}

// resetMax returns the byte count of the VM with the most traffic and resets all counts.
func (net *network) resetMax() (most int) {
	net.mu.Lock()
	defer net.mu.Unlock()
	for _, n := range net.bytes {
		most = max(most, n)
	}
	net.bytes = make(map[string]int)
	return most
}

type vmList []storer.ListedVM

func (s vmList) VMs(context.Context) ([]storer.ListedVM, error) { return s, nil }

// TestManyStartTogether starts hundreds of VMs at once. It guards against traffic that
// grows with the square of the fleet, and against members and demand that get lost between
// zones: each VM's traffic and log are bounded, each knows its whole zone and a few members
// of each other zone, and its zone summaries add up to the whole fleet.
func TestManyStartTogether(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		net := &network{members: make(map[string]*heartbeater.Heartbeater), bytes: make(map[string]int)}
		timing := heartbeater.Timing{
			HeartbeatInterval: heartbeatInterval, ListInterval: 20 * heartbeatInterval,
			Tracker: tracker.Timing{SuspectTimeout: 3 * heartbeatInterval, DeadTimeout: 10 * heartbeatInterval},
		}
		var logged bytes.Buffer
		discard := slog.New(slog.DiscardHandler)
		for i := range fleetVMs {
			name := fmt.Sprintf("vm-%d", i)
			inc, err := namer.RandomIncarnation()
			assert.NilError(t, err)
			zone := i % fleetZones
			self := tracker.Member{
				VM: namer.VM(name), Zone: namer.Zone(fmt.Sprintf("zone-%d", zone)), Region: namer.Region(fmt.Sprintf("region-%d", zone%3)),
				CallerAddress: "10.1.0.32:8323", OperatorAddress: "10.1.0.32:9600", PeerAddress: name, Incarnation: inc, Started: clock.Now(),
			}
			log := discard
			if i == 0 {
				log = slog.New(slog.NewTextHandler(&logged, nil))
			}
			deps := heartbeater.Dependencies{Peers: networkClient{net, name}, Lister: vmList{}, Documents: keeper.New(discard)}
			h := heartbeater.New(self, deps, []string{"vm-0", "vm-1", "vm-2"}, timing, clock, log)
			h.SetDemands(func() []tracker.Demand { return []tracker.Demand{{Service: "desk", Slots: 1}} })
			net.members[name] = h
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for _, h := range net.members {
			running.Go(func() { assert.Check(t, h.Serve(ctx)) })
		}
		defer running.Wait()
		defer cancel()
		const startIntervals = 10
		for range startIntervals {
			net.advance(clock)
		}
		assert.Assert(t, logged.Len() < maxStartLogBytes, "%d bytes logged", logged.Len())
		net.resetMax()
		const measuredIntervals = 12
		for range measuredIntervals {
			net.advance(clock)
		}
		most := net.resetMax()
		seconds := int(measuredIntervals * heartbeatInterval / time.Second)
		assert.Assert(t, most < seconds*maxControlBytesPerSecond, "%d bytes in %d s", most, seconds)
		for name, h := range net.members {
			known := len(h.Members())
			assert.Check(t, known >= fleetVMs/fleetZones && known <= 2*fleetVMs/fleetZones, "%s knows %d VMs", name, known)
			vms, slots := 0, 0.0
			for _, s := range h.Summaries() {
				vms += s.VMs
				for _, n := range s.Demands {
					slots += n.Slots
				}
			}
			assert.Check(t, vms == fleetVMs && slots == fleetVMs, "%s sums up to %d VMs and %v slots", name, vms, slots)
		}
	})
}

// advance moves the clock by one heartbeat interval and waits until all heartbeats have
// been exchanged.
func (net *network) advance(clock *clockwork.FakeClock) {
	synctest.Wait()
	clock.Advance(heartbeatInterval)
	synctest.Wait()
}
