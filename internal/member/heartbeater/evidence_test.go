package heartbeater_test

import (
	"context"
	"fmt"
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
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
)

const (
	// shortInterval is the heartbeat interval of evidence tests, whose time is that of a bubble of synctest.
	shortInterval = 50 * time.Millisecond
	evidenceZones = 3
)

type (
	// evidenceFleet is a fleet of VMs that exchange evidence. VMs that are cut reach nobody
	// and are not reached.
	evidenceFleet struct {
		network
		zones    int
		evidence map[string]*quarantiner.Quarantiner
		cut      sync.Map
	}

	evidenceClient struct {
		networkClient
		fleet *evidenceFleet
	}
)

func (c evidenceClient) Call(ctx context.Context, address string, inc namer.Incarnation, req *encoder.Request) (*encoder.Reply, error) {
	for _, vm := range []string{c.from, address} {
		if _, isCut := c.fleet.cut.Load(vm); isCut {
			return nil, errors.New("cut")
		}
	}
	return c.networkClient.Call(ctx, address, inc, req)
}

// startEvidenceFleet starts VMs that know each other.
func startEvidenceFleet(t *testing.T, vms, zones int) *evidenceFleet {
	t.Helper()
	f := &evidenceFleet{
		zones:    zones,
		network:  network{members: make(map[string]*heartbeater.Heartbeater), bytes: make(map[string]int)},
		evidence: make(map[string]*quarantiner.Quarantiner),
	}
	for i := range vms {
		f.start(t, i)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name := range f.evidence {
			f.mu.Lock()
			h := f.members[name]
			f.mu.Unlock()
			if len(h.Members()) < min(vms/zones, vms-1) {
				return poll.Continue("%s knows %d VMs", name, len(h.Members()))
			}
		}
		return poll.Success()
	}, poll.WithDelay(shortInterval))
	return f
}

// start starts the i-th VM.
func (f *evidenceFleet) start(t *testing.T, i int) {
	t.Helper()
	name := fmt.Sprintf("vm-%d", i)
	inc, err := namer.RandomIncarnation()
	assert.NilError(t, err)
	clock, discard := clockwork.NewRealClock(), slog.New(slog.DiscardHandler)
	self := tracker.Member{
		VM: namer.VM(name), Zone: namer.Zone(fmt.Sprintf("zone-%d", i%f.zones)), Region: "region",
		CallerAddress: "10.1.0.32:8323", OperatorAddress: "10.1.0.32:9600", PeerAddress: name, Incarnation: inc, Started: clock.Now(),
	}
	q := quarantiner.New()
	deps := heartbeater.Dependencies{
		Peers: evidenceClient{networkClient{&f.network, name}, f}, Lister: vmList{}, Documents: keeper.New(discard), Evidence: q,
	}
	timing := heartbeater.Timing{
		HeartbeatInterval: shortInterval, ListInterval: 20 * shortInterval,
		Tracker: tracker.Timing{SuspectTimeout: 10 * shortInterval, DeadTimeout: 40 * shortInterval},
	}
	h := heartbeater.New(self, deps, []string{"vm-0", "vm-1", "vm-2"}, timing, clock, discard)
	f.mu.Lock()
	f.members[name] = h
	f.mu.Unlock()
	f.evidence[name] = q
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
}

// crash records at a VM that a process crashed under the request, and waits until another
// crash does not count as the same.
func (f *evidenceFleet) crash(name string, fp quarantiner.Fingerprints, process int) {
	now := time.Now()
	p := quarantiner.Process{Upstream: namer.Upstream(fmt.Sprintf("u%d", process)), StartedMs: 1}
	f.evidence[name].RecordBroken(now, fp, p)
	f.evidence[name].RecordGone(now, p)
	f.members[name].SendEvidence()
	time.Sleep(120 * time.Millisecond)
}

// refusedBy waits until all of the VMs refuse a request.
func (f *evidenceFleet) refusedBy(fp quarantiner.Fingerprints, names ...string) poll.Check {
	return func(poll.LogT) poll.Result {
		for _, name := range names {
			if f.evidence[name].Decide(time.Now(), fp).Action != quarantiner.Refuse {
				return poll.Continue("%s does not refuse the request", name)
			}
		}
		return poll.Success()
	}
}

func vmNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm-%d", i)
	}
	return out
}

// TestCrashesSeenByDifferentVMs guards against a request that crashes one upstream per VM
// and is refused by none.
func TestCrashesSeenByDifferentVMs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const vms = 15
		f := startEvidenceFleet(t, vms, evidenceZones)
		fp := quarantiner.FingerprintsOf("10.0.0.1", "GET", "shop.example", "/stock/1", nil)
		for i, name := range []string{"vm-3", "vm-7", "vm-11"} {
			f.crash(name, fp, i)
		}
		poll.WaitOn(t, f.refusedBy(fp, vmNames(vms)...), poll.WithDelay(time.Millisecond), poll.WithTimeout(3*time.Second))
	})
}

// TestRefusedRequestAtOtherVMs guards against a VM that sends a request since it started, or
// could not be reached, after the others learned to refuse it.
func TestRefusedRequestAtOtherVMs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const vms = 9
		f := startEvidenceFleet(t, vms, evidenceZones)
		fp := quarantiner.FingerprintsOf("10.0.0.1", "GET", "shop.example", "/stock/1", nil)
		// A call that has begun passes the cut.
		synctest.Wait()
		f.cut.Store("vm-8", true)
		for i := range 3 {
			f.crash("vm-4", fp, i)
		}
		poll.WaitOn(t, f.refusedBy(fp, vmNames(vms-1)...), poll.WithDelay(time.Millisecond))
		// Longer than heartbeats carry a change.
		time.Sleep(20 * shortInterval)
		assert.Assert(t, f.evidence["vm-8"].Empty())
		f.cut.Delete("vm-8")
		poll.WaitOn(t, f.refusedBy(fp, vmNames(vms)...), poll.WithDelay(time.Millisecond), poll.WithTimeout(3*time.Second))
		// To a VM that starts, the evidence is new, and it would tell vm-8.
		f.start(t, vms)
		poll.WaitOn(t, f.refusedBy(fp, vmNames(vms+1)...), poll.WithDelay(time.Millisecond), poll.WithTimeout(3*time.Second))
	})
}

// TestRefusedRequestAfterCut guards against a VM that could not be reached while the others of its
// zone learned to refuse a request. They know it, so they do not tell it all that they know.
func TestRefusedRequestAfterCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const vms = 3
		f := startEvidenceFleet(t, vms, 1)
		fp := quarantiner.FingerprintsOf("10.0.0.1", "GET", "shop.example", "/stock/1", nil)
		synctest.Wait()
		f.cut.Store("vm-2", true)
		for i := range 3 {
			f.crash("vm-1", fp, i)
		}
		time.Sleep(20 * shortInterval)
		assert.Assert(t, f.evidence["vm-2"].Empty())
		f.cut.Delete("vm-2")
		poll.WaitOn(t, f.refusedBy(fp, vmNames(vms)...), poll.WithDelay(time.Millisecond), poll.WithTimeout(3*time.Second))
	})
}
