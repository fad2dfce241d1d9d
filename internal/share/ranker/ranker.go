// Package ranker orders all VMs for an upstream and returns one VM's rank among them. VMs
// that divide a limit by rank stay within it together as long as each counts all VMs that
// may send, so a VM may count others that have ended, but must not miss any.
//
// It handles VMs that start, many at once, and do not know most members yet: they have no
// rank until they had the time to hear them. It also handles zones whose VMs start together
// and report too few members at first: the highest recent number counts.
//
// # Usage
//
//	r := ranker.New(self, zone, started, settleTime)
//	view := r.Update(now, zones, zoneVMs)
//	share := pacer.Share(total, view.VMs(), view.Rank(now, upstream))
package ranker

import (
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
		started    time.Time
		settleTime time.Duration
		counts     map[namer.Zone][]count
	}

	// View is the members at a time. It is not modified afterwards.
	View struct {
		self      namer.VM
		zone      namer.Zone
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

// New returns a ranker for a VM that started at a time. The settle time is how long VMs may
// take to learn of one that starts, and it of them.
func New(self namer.VM, zone namer.Zone, started time.Time, settleTime time.Duration) *Ranker {
	return &Ranker{self: self, zone: zone, started: started, settleTime: settleTime, counts: make(map[namer.Zone][]count)}
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
	return View{self: r.self, zone: r.zone, settledAt: r.started.Add(r.settleTime), zones: highest, zoneVMs: slices.Clone(zoneVMs)}
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
// upstream. It orders by the hash of the zone, then of the VM, since a VM knows the names of
// the VMs in its own zone but only the number of VMs in other zones. A VM that has just
// started is behind all others.
func (v View) Rank(now time.Time, u namer.Upstream) int {
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
	for zone, vms := range v.zones {
		if hash(string(zone)) < hash(string(v.zone)) {
			rank += vms
		}
	}
	return rank
}
