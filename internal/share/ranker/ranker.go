// Package ranker orders all VMs for an upstream and returns one VM's rank among them. VMs
// that divide a limit by rank stay within it together as long as each counts all VMs that
// may send, so a VM may count others that have ended, but must not miss any.
//
// VMs of the upstream's own zone take turns with the others in the order, of which those of its
// region come first: objects are placed near their callers, so a limit that is too small for all
// VMs goes to those that have requests for the upstream. A zone that has lost all its VMs, which
// have no rank when they start again, leaves half of the limit unused.
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
// upstream in a zone. Within the own zone and the other zones, it orders by the hash of the zone,
// then of the VM, since a VM knows the names of the VMs in its own zone but only the number of VMs
// in other zones. A VM that has just started is behind all others.
func (v View) Rank(now time.Time, u namer.Upstream, zone namer.Zone) int {
	if now.Before(v.settledAt) {
		return math.MaxInt
	}
	hash := func(name string) uint64 { return xxhash.Sum64String(name + "/" + string(u)) }
	position := 0
	for _, vm := range v.zoneVMs {
		if hash(string(vm)) < hash(string(v.self)) {
			position++
		}
	}
	if v.zone == zone {
		return takingTurns(position, 0, v.VMs()-v.zones[zone])
	}
	for other, vms := range v.zones {
		order := cmp.Or(
			cmp.Compare(v.distance(other, zone), v.distance(v.zone, zone)),
			cmp.Compare(hash(string(other)), hash(string(v.zone))))
		if other != zone && order < 0 {
			position += vms
		}
	}
	return takingTurns(position, 1, v.zones[zone])
}

// takingTurns returns the rank of a VM at a position in one of two lists that take turns, the
// first (0) or the second (1), until the shorter one ends.
func takingTurns(position, list, othersCount int) int {
	if position < othersCount {
		return 2*position + list
	}
	return position + othersCount
}

// distance returns 1 within a region, and 2 otherwise.
func (v View) distance(from, to namer.Zone) int {
	if v.regions[from] == v.regions[to] {
		return 1
	}
	return 2
}
