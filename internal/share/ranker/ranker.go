// Package ranker orders all VMs for an upstream and returns one VM's rank among them. VMs
// that divide a limit by rank stay within it together as long as each counts all VMs that
// may send, so a VM may count others that have ended, but must not miss any.
//
// The VMs of the upstream's own zone come first, then those of its region: objects are placed
// near their callers, so a limit that is too small for all VMs goes to those that have requests
// for the upstream.
//
// It handles VMs that start, many at once, and do not know most members yet: they have no
// rank until they had the time to hear them. It also handles zones whose VMs start together
// and report too few members at first: the highest recent number counts.
//
// # Usage
//
//	r := ranker.New(self, zone, regions, started, settleTime)
//	view := r.Update(now, zones, zoneVMs)
//	share := pacer.Share(total, view.VMs(), view.Rank(now, upstream, upstreamZone))
package ranker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// Ranker keeps the recent numbers of VMs of the zones. It does no I/O and is not safe
	// for concurrent use.
	Ranker struct {
		self       namer.VM
		zone       namer.Zone
		regions    map[namer.Zone]namer.Region
		started    time.Time
		settleTime time.Duration
		counts     map[namer.Zone][]count
	}

	// View is the members at a time. It is not modified afterwards.
	View struct {
		self      namer.VM
		zone      namer.Zone
		regions   map[namer.Zone]namer.Region
		settledAt time.Time
		zones     map[namer.Zone]int
		zoneVMs   []namer.VM
	}

	// count is a number of VMs that was known until a time.
	count struct {
		vms   int
		until time.Time
	}
)

// New returns a ranker for a VM that started at a time. Regions maps each zone to its region. The
// settle time is how long VMs may take to learn of one that starts, and it of them.
func New(self namer.VM, zone namer.Zone, regions map[namer.Zone]namer.Region, started time.Time, settleTime time.Duration) *Ranker {
	return &Ranker{self: self, zone: zone, regions: regions, started: started, settleTime: settleTime, counts: make(map[namer.Zone][]count)}
}

// Update sets the number of VMs of each zone and the other VMs of the own zone, and returns
// the new view. A zone counts with its highest number within the settle time.
func (r *Ranker) Update(now time.Time, zones map[namer.Zone]int, zoneVMs []namer.VM) View {
	highest := make(map[namer.Zone]int, len(zones))
	for zone, vms := range zones {
		if known := r.counts[zone]; len(known) > 0 {
			known[len(known)-1].until = now
		}
		recent := slices.DeleteFunc(r.counts[zone], func(c count) bool { return c.vms <= vms || now.Sub(c.until) >= r.settleTime })
		r.counts[zone] = append(recent, count{vms: vms, until: now})
		highest[zone] = r.counts[zone][0].vms
	}
	return View{self: r.self, zone: r.zone, regions: r.regions, settledAt: r.started.Add(r.settleTime), zones: highest, zoneVMs: slices.Clone(zoneVMs)}
}

// VMs returns the number of VMs in all zones.
func (v View) VMs() int {
	total := 0
	for _, vms := range v.zones {
		total += vms
	}
	return total
}

// Rank returns this VM's position among all VMs, from 0, in an order that is specific to the
// upstream in a zone. It orders by the nearness of the VM's zone, then by the hash of the zone,
// then of the VM, since a VM knows the names of the VMs in its own zone but only the number of VMs
// in other zones. A VM that has just started is behind all others.
func (v View) Rank(now time.Time, u namer.Upstream, zone namer.Zone) int {
	if now.Before(v.settledAt) {
		return math.MaxInt
	}
	hash := func(name string) uint64 { return xxhash.Sum64String(name + "/" + string(u)) }
	rank := 0
	for _, vm := range v.zoneVMs {
		if hash(string(vm)) < hash(string(v.self)) {
			rank++
		}
	}
	for other, vms := range v.zones {
		order := cmp.Or(
			cmp.Compare(v.distance(other, zone), v.distance(v.zone, zone)),
			cmp.Compare(hash(string(other)), hash(string(v.zone))))
		if order < 0 {
			rank += vms
		}
	}
	return rank
}

// distance returns 0 within a zone, 1 within a region, and 2 otherwise.
func (v View) distance(from, to namer.Zone) int {
	switch {
	case from == to:
		return 0
	case v.regions[from] == v.regions[to]:
		return 1
	}
	return 2
}
