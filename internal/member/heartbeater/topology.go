package heartbeater

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

// GatewaysPerZone is the number of VMs of a zone that talk to other zones, watch the
// platform's head and read its list. One may die while the other goes on.
const GatewaysPerZone = 2

// IsGateway reports whether a VM is one of its zone's gateways, in the view of
// members that includes it. Every VM computes it alone; views that differ
// cost calls, not safety.
func IsGateway(vm namer.VM, zone namer.Zone, members []tracker.Member) bool {
	own := rank(vm, zone)
	above := 0
	for _, m := range members {
		if m.Zone == zone && m.VM != vm && m.State == tracker.Alive && rank(m.VM, zone) < own {
			above++
		}
	}
	return above < GatewaysPerZone
}

// RelayParent returns the member from which a VM hears of the store's records, in the
// view of members without it, or none on the one VM that asks the store itself. Each
// VM follows its zone's lead, that one the lead of its region, and that one the lead
// of all. So the calls do not grow with the fleet, and records cross into a zone and
// a region once. Views that differ cost calls, not safety.
func RelayParent(self tracker.Member, members []tracker.Member) (tracker.Member, bool) {
	leads := zoneLeads(self, members)
	zone := leads[self.Zone]
	if zone.VM != self.VM {
		return zone, true
	}
	region := firstLead(leads, func(m tracker.Member) bool { return m.Region == self.Region })
	if region.VM != self.VM {
		return region, true
	}
	all := firstLead(leads, func(tracker.Member) bool { return true })
	return all, all.VM != self.VM
}

// zoneLeads returns the lead of each zone, which is one of its first gateways: those
// are the VMs that other zones know.
func zoneLeads(self tracker.Member, members []tracker.Member) map[namer.Zone]tracker.Member {
	leads := map[namer.Zone]tracker.Member{self.Zone: self}
	for _, m := range members {
		if m.VM == self.VM || m.State != tracker.Alive {
			continue
		}
		first, ok := leads[m.Zone]
		if !ok || leadsBefore(m, first, rank(m.VM, m.Zone) < rank(first.VM, first.Zone)) {
			leads[m.Zone] = m
		}
	}
	return leads
}

// leadsBefore reports whether a is to lead rather than b, where earlier says that it is
// before b in their order. One that the store does not answer comes after all others.
func leadsBefore(a, b tracker.Member, earlier bool) bool {
	if a.StoreUnreachable != b.StoreUnreachable {
		return b.StoreUnreachable
	}
	return earlier
}

// firstLead returns the first of the leads that fit, by the order of their zones.
func firstLead(leads map[namer.Zone]tracker.Member, fits func(tracker.Member) bool) tracker.Member {
	var first tracker.Member
	for _, m := range leads {
		if !fits(m) {
			continue
		}
		if first.VM == "" || leadsBefore(m, first, rank("", m.Zone) < rank("", first.Zone)) {
			first = m
		}
	}
	return first
}

// Targets returns the members to send heartbeats to: every one of this zone,
// and from a gateway the gateways of the other zones.
func Targets(self tracker.Member, members []tracker.Member, gateway bool) []tracker.Member {
	var targets []tracker.Member
	for _, m := range members {
		own := m.Zone == self.Zone
		if m.VM != self.VM && (own || (gateway && IsGateway(m.VM, m.Zone, members))) {
			targets = append(targets, m)
		}
	}
	return targets
}

// ZoneView returns the members that a heartbeat to a zone tells of: all of the
// sender's zone, and of every other zone the few that look-ups name.
func ZoneView(self tracker.Member, members []tracker.Member, others int) []tracker.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b tracker.Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.State, b.State), cmp.Compare(rank(a.VM, a.Zone), rank(b.VM, b.Zone)))
	})
	var digest []tracker.Member
	zone := namer.Zone("")
	told := 0
	for _, m := range sorted {
		if m.Zone != zone {
			zone = m.Zone
			told = 0
		}
		if m.State == tracker.Dead || (m.Zone != self.Zone && told >= others) {
			continue
		}
		told++
		digest = append(digest, m)
	}
	return digest
}

func rank(vm namer.VM, zone namer.Zone) uint64 {
	return xxhash.Sum64String(string(zone) + "/" + string(vm))
}
