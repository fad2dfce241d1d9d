package selector

import (
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
	// ownRegion is how much more weight an upstream of the own region has in an
	// object's order.
	ownRegion = 50.0
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
		s.services[svc.Name] = &service{Service: svc}
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
// object's order.
func (s *Selector) candidates(now time.Time, svc *service, a Ask) []*node {
	key := xxhash.Sum64String(a.Object)
	type scored struct {
		n     *node
		score float64
	}
	list := make([]scored, 0, len(svc.nodes))
	for _, n := range svc.nodes {
		if s.usable(now, n, a) {
			list = append(list, scored{n: n, score: s.score(n, key)})
		}
	}
	slices.SortFunc(list, func(x, y scored) int {
		if x.score < y.score {
			return -1
		}
		return 1
	})
	out := make([]*node, len(list))
	for i, x := range list {
		out[i] = x.n
	}
	return out
}

func (s *Selector) usable(now time.Time, n *node, a Ask) bool {
	if n.Draining || s.drained[n.Zone] || now.Before(n.until) || !a.Route.Allows(n.region) {
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

// score orders upstreams for an object: rendezvous hashing by weight, the
// lowest first. An upstream's own coming and going moves only its objects.
func (s *Selector) score(n *node, key uint64) float64 {
	h := mix(n.hash ^ key)
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	weight := float64(n.Slots)
	if n.region == s.self.Region {
		weight *= ownRegion
	}
	return -math.Log(unit) / weight
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
