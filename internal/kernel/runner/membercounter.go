package runner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/share/ranker"
)

type (
	// memberLister knows the VMs of the own zone, and the numbers of VMs of the others.
	memberLister interface {
		Members() []tracker.Member
		Summaries() []tracker.ZoneSummary
	}

	// memberSetter is told the numbers of VMs, in all and in the own zone, and this VM's rank.
	memberSetter interface {
		SetMembers(vms, zoneVMs int, rank func(namer.Upstream, namer.Zone) int)
	}
)

// memberCounter passes the numbers of VMs, and this VM's rank among them, to the steerer.
type memberCounter struct {
	steerer memberSetter
	members memberLister
	clock   clockwork.Clock
	zone    namer.Zone
	zones   []namer.Zone
	// settleTime is that of the ranker.
	settleTime time.Duration

	mu     sync.Mutex
	ranker *ranker.Ranker
}

func newMemberCounter(st memberSetter, members memberLister, clock clockwork.Clock, s loader.Settings) *memberCounter {
	return &memberCounter{
		steerer:    st,
		members:    members,
		clock:      clock,
		zone:       s.Zone,
		zones:      slices.Collect(maps.Keys(s.Regions)),
		settleTime: s.Timing.DeadTimeout,
		ranker:     ranker.New(s.VM, s.Zone, s.Regions, clock.Now(), s.Timing.DeadTimeout),
	}
}

// update passes the current members to the steerer, and again after the settle time, when a zone
// may count with fewer VMs and this VM may have a rank.
func (c *memberCounter) update() {
	c.refresh()
	c.clock.AfterFunc(c.settleTime, c.refresh)
}

// refresh passes the current members to the steerer. A zone without a known summary counts as
// one VM.
func (c *memberCounter) refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	zones := make(map[namer.Zone]int, len(c.zones))
	for _, zone := range c.zones {
		zones[zone] = 1
	}
	for _, summary := range c.members.Summaries() {
		zones[summary.Zone] = max(summary.VMs, 1)
	}
	var zoneVMs []namer.VM
	for _, m := range c.members.Members() {
		if m.Zone == c.zone && m.State != tracker.Dead {
			zoneVMs = append(zoneVMs, m.VM)
		}
	}
	view := c.ranker.Update(c.clock.Now(), zones, zoneVMs)
	c.steerer.SetMembers(view.VMs(), len(zoneVMs)+1, func(u namer.Upstream, zone namer.Zone) int { return view.Rank(c.clock.Now(), u, zone) })
}
