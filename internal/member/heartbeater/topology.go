package heartbeater

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

// GatewaysPerZone is the number of VMs of a zone that exchange heartbeats with other
// zones, watch the document's head on the platform and read the platform's VM list. With
// two of them, the zone stays connected when one fails.
const GatewaysPerZone = 2

// IsGateway reports whether a VM is one of its zone's gateways among the given members,
// by rendezvous hashing over the VMs of the zone that are alive. Every VM computes it from
// its own view. Views that differ cost additional calls but do not affect safety.
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

// RelayParent returns a VM's relay parent, given the other members, or false on the relay
// root, which reads the store itself. Each VM follows its zone's leader, zone leaders follow
// the leader of their region, and region leaders follow the relay root. So the store's load
// does not grow with the fleet, and records cross into each zone and region once. Views that
// differ cost additional calls but do not affect safety.
func RelayParent(self tracker.Member, members []tracker.Member) (tracker.Member, bool) {
	leaders := zoneLeaders(self, members)
	zone := leaders[self.Zone]
	if zone.VM != self.VM {
		return zone, true
	}
	region := firstLeader(leaders, func(m tracker.Member) bool { return m.Region == self.Region })
	if region.VM != self.VM {
		return region, true
	}
	root := firstLeader(leaders, func(tracker.Member) bool { return true })
	return root, root.VM != self.VM
}

// zoneLeaders returns the leader of each zone: the first of its alive members in rendezvous
// order whose calls the store answers. Gateways are chosen in the same order, so the leader is
// one of the VMs that other zones know.
func zoneLeaders(self tracker.Member, members []tracker.Member) map[namer.Zone]tracker.Member {
	leaders := map[namer.Zone]tracker.Member{self.Zone: self}
	for _, m := range members {
		if m.VM == self.VM || m.State != tracker.Alive {
			continue
		}
		first, ok := leaders[m.Zone]
		if !ok || preferred(m, first, rank(m.VM, m.Zone) < rank(first.VM, first.Zone)) {
			leaders[m.Zone] = m
		}
	}
	return leaders
}

// preferred reports whether a is to lead rather than b, where earlier says that a precedes
// b in rendezvous order. Members that the store does not answer come after all others.
func preferred(a, b tracker.Member, earlier bool) bool {
	if a.StoreUnreachable != b.StoreUnreachable {
		return b.StoreUnreachable
	}
	return earlier
}

// firstLeader returns the first of the matching leaders, in the rendezvous order of their
// zones.
func firstLeader(leaders map[namer.Zone]tracker.Member, match func(tracker.Member) bool) tracker.Member {
	var first tracker.Member
	for _, m := range leaders {
		if !match(m) {
			continue
		}
		if first.VM == "" || preferred(m, first, rank("", m.Zone) < rank("", first.Zone)) {
			first = m
		}
	}
	return first
}

// Targets returns the members to send heartbeats to: all others of the zone and, on a
// gateway, also the gateways of the other zones.
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

// ZoneView returns the members that a VM of a zone keeps and reports to others: all of its
// own zone, and of every other zone the first perOtherZone, which lookups return. It
// leaves out dead members.
func ZoneView(self tracker.Member, members []tracker.Member, perOtherZone int) []tracker.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b tracker.Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.State, b.State), cmp.Compare(rank(a.VM, a.Zone), rank(b.VM, b.Zone)))
	})
	var view []tracker.Member
	zone := namer.Zone("")
	added := 0
	for _, m := range sorted {
		if m.Zone != zone {
			zone = m.Zone
			added = 0
		}
		if m.State == tracker.Dead || (m.Zone != self.Zone && added >= perOtherZone) {
			continue
		}
		added++
		view = append(view, m)
	}
	return view
}

// rank is the hash that orders the VMs of a zone: rendezvous order, lowest first. With an
// empty VM it orders zones.
func rank(vm namer.VM, zone namer.Zone) uint64 {
	return xxhash.Sum64String(string(zone) + "/" + string(vm))
}
