package selector

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/pacer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// scatter spreads a hash over all bits.
	scatter = 0x9e3779b97f4a7c15
	// coldPart is the part of a cold upstream's rate that is used, so that VMs
	// whose views of the members differ don't exceed it together.
	coldPart = 1.0
)

// Update takes over the upstreams and services in force.
func (s *Selector) Update(now time.Time, v *cataloger.View, doc *parser.Document) {
	returned := make(map[namer.Zone]bool)
	for zone := range s.drained {
		if !v.Drained[zone] {
			returned[zone] = true
		}
	}
	s.drained = v.Drained
	s.services = make(map[namer.Service]*service, len(doc.Services))
	for _, svc := range doc.Services {
		s.services[svc.Name] = &service{Service: svc, slots: make(map[namer.Zone]float64)}
	}
	nodes := make(map[namer.Upstream]*node, len(v.Upstreams))
	for _, u := range v.Upstreams {
		svc := s.services[u.Service]
		if svc == nil {
			continue
		}
		n := s.node(u)
		n.region = s.self.Regions[u.Zone]
		n.conns = max(1, svc.Conns/s.vms)
		n.rate = svc.ColdRate
		if returned[u.Zone] {
			n.Cold = now.Add(svc.Warmup)
		}
		nodes[u.Upstream] = n
		svc.nodes = append(svc.nodes, n)
		if !u.Draining && !v.Drained[u.Zone] {
			svc.slots[u.Zone] += float64(u.Slots)
		}
	}
	s.nodes = nodes
}

// node returns the state of an upstream, fresh when it is a new process.
func (s *Selector) node(u cataloger.Upstream) *node {
	known, ok := s.nodes[u.Upstream]
	if ok && known.Born == u.Born && known.Address == u.Address {
		cold := known.Cold
		known.Upstream = u
		if cold.After(u.Cold) {
			known.Cold = cold
		}
		return known
	}
	return &node{Upstream: u, hash: xxhash.Sum64String(string(u.Upstream)), slow: 1, ok: 1}
}

// candidates returns the upstreams that a request may be sent to now, in its
// object's order: the first of the zone that the object belongs to, the first
// of the next zone, which keeps the object for its own callers, then the rest.
func (s *Selector) candidates(now time.Time, svc *service, a Request) []*node {
	key := xxhash.Sum64String(a.Object)
	zones := s.zoneOrder(now, svc, a.Route.Name, key)
	list := make([]placed, 0, len(svc.nodes))
	for _, n := range svc.nodes {
		if s.usable(now, n, a) {
			list = append(list, placed{n: n, zone: zones[n.Zone], score: draw(n.hash, key, float64(n.Slots))})
		}
	}
	slices.SortFunc(list, func(x, y placed) int {
		return cmp.Or(cmp.Compare(x.zone, y.zone), cmp.Compare(x.score, y.score))
	})
	out := make([]*node, 0, len(list))
	for i := range list {
		if i == 0 || list[i].zone != list[i-1].zone {
			out = append(out, list[i].n)
		}
	}
	for i := range list {
		if i > 0 && list[i].zone == list[i-1].zone {
			out = append(out, list[i].n)
		}
	}
	return out
}

// placed is an upstream with the place of its zone for an object.
type placed struct {
	n     *node
	zone  int
	score float64
}

// zoneOrder returns each zone's place for an object: zones that hold a part of
// this zone's objects by that part, then those of the own region, then others.
func (s *Selector) zoneOrder(now time.Time, svc *service, route namer.Route, key uint64) map[namer.Zone]int {
	parts := s.parts(now, svc, route)
	zones := make([]zoned, 0, len(svc.slots))
	for name, slots := range svc.slots {
		z := zoned{name: name, tier: farTier, score: draw(xxhash.Sum64String(string(name)), key, slots)}
		switch {
		case parts[name] > 0:
			z.tier = partTier
			z.score = draw(xxhash.Sum64String(string(name)), key, parts[name])
		case len(parts) == 0 && name == s.self.Zone:
			z.tier = partTier
		case s.self.Regions[name] == s.self.Region:
			z.tier = nearTier
		}
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b zoned) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.score, b.score))
	})
	order := make(map[namer.Zone]int, len(zones))
	for i, z := range zones {
		order[z.name] = i
	}
	return order
}

// The tiers of zones in an object's order.
const (
	partTier = iota
	nearTier
	farTier
)

type zoned struct {
	name  namer.Zone
	tier  int
	score float64
}

func (s *Selector) usable(now time.Time, n *node, a Request) bool {
	if s.leaves(n) || now.Before(n.until) || !a.Route.Allows(n.region) {
		return false
	}
	if slices.Contains(a.Tried, n.Upstream.Upstream) {
		return false
	}
	if !n.cold(now) || n.rate <= 0 {
		return true
	}
	part := pacer.Part(int(float64(n.rate)*coldPart), s.vms, s.rank(n.Upstream.Upstream))
	return n.pace.Room(now, part)
}

// draw scores one of several by rendezvous hashing with a weight; the lowest
// score is first. One's coming and going moves only what was its own.
func draw(hash, key uint64, weight float64) float64 {
	h := mix(hash ^ key)
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -math.Log(unit) / max(weight, 1e-9)
}

// mix spreads every bit of x over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= scatter
	x ^= x >> 29
	x *= scatter
	x ^= x >> 32
	return x
}
