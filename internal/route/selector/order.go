package selector

import (
	"cmp"
	"maps"
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
	// hashMultiplier is 2^64 divided by the golden ratio; a multiplication by it
	// spreads a hash over all bits.
	hashMultiplier = 0x9e3779b97f4a7c15
	// coldRateFraction is the fraction of a cold upstream's rate limit that is used.
	// A value below 1 leaves a margin for VMs whose views of the members differ, which
	// could exceed the limit together.
	coldRateFraction = 1.0
	// missingRetention is how long the state of an upstream is kept while its record, or its
	// service, is missing.
	missingRetention = 10 * time.Second
)

// Update replaces the upstreams and services. When the drain of a zone has ended, its
// upstreams count as cold for the service's warm-up time.
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
	upstreams := make(map[namer.Upstream]*upstreamState, len(v.Upstreams))
	for _, u := range v.Upstreams {
		svc := s.services[u.Service]
		if svc == nil {
			continue
		}
		state := s.stateOf(u)
		state.load = s.loadOf(u.Service)
		state.region = s.self.Regions[u.Zone]
		state.maxIdleConns = max(1, svc.MaxConns/s.vms)
		state.coldRate = svc.MaxColdRate
		state.share = nil
		state.warmup = svc.Warmup
		state.notice = s.noticeOf(state)
		if returned[u.Zone] {
			state.ColdUntil = now.Add(svc.Warmup)
		}
		s.paceStarted(now, state, returned[u.Zone])
		upstreams[u.Upstream] = state
		svc.upstreams = append(svc.upstreams, state)
	}
	s.setUpstreams(now, upstreams)
	for _, svc := range s.services {
		s.countSlots(svc)
	}
}

// loadOf returns the mean load of a service's upstreams. It is kept while a document lacks the
// service.
func (s *Selector) loadOf(name namer.Service) *serviceLoad {
	l := s.loads[name]
	if l == nil {
		l = newServiceLoad()
		s.loads[name] = l
	}
	return l
}

// countSlots counts the slots of a service in each zone that gets new work.
func (s *Selector) countSlots(svc *service) {
	clear(svc.slots)
	for _, u := range svc.upstreams {
		if !s.isDraining(u) {
			svc.slots[u.Zone] += float64(u.Slots)
		}
	}
}

// stateOf returns the state of an upstream. A new process starts with fresh state, but what
// was sent to its address lately may have reached it, and a record that is read late may be of a
// process that has ended, too.
func (s *Selector) stateOf(u cataloger.Upstream) *upstreamState {
	known := s.upstreams[u.Upstream]
	if known == nil {
		known = s.missing[u.Upstream].state
	}
	if known != nil && known.StartedMs == u.StartedMs && known.Address == u.Address {
		cold := known.ColdUntil
		known.Upstream = u
		if cold.After(u.ColdUntil) {
			known.ColdUntil = cold
		}
		return known
	}
	state := &upstreamState{Upstream: u, hash: xxhash.Sum64String(string(u.Upstream)), slowness: 1, successRate: 1, pacer: &pacer.Pacer{}}
	if known != nil && known.Address == u.Address {
		state.pacer = known.pacer
		state.lost = known.lost
		if known.ColdUntil.After(u.ColdUntil) {
			state.ColdUntil = known.ColdUntil
		}
	}
	return state
}

// setUpstreams replaces the upstreams, and keeps the state of those that are missing now for a
// time: a record may be missing or unreadable for a moment, and a document may lack a service.
func (s *Selector) setUpstreams(now time.Time, upstreams map[namer.Upstream]*upstreamState) {
	for name, state := range s.upstreams {
		if upstreams[name] == nil {
			s.missing[name] = missingUpstream{state: state, since: now}
		}
	}
	maps.DeleteFunc(s.missing, func(name namer.Upstream, m missingUpstream) bool {
		return upstreams[name] != nil || now.Sub(m.since) >= missingRetention
	})
	s.upstreams = upstreams
}

// candidateList holds the upstreams that a request may be sent to now, in its object's order:
// the first upstream of each zone in the order of the zones, then the others.
type candidateList struct {
	firsts []rankedUpstream
	others []rankedUpstream
}

// candidates returns the upstreams that a request may be sent to now. The secondary upstream is
// in the next zone after the primary's, which keeps the object warm for its own callers.
func (s *Selector) candidates(now time.Time, svc *service, r Request) candidateList {
	key := xxhash.Sum64String(r.Object)
	zones := s.zoneOrder(now, svc, r.Route.Name, key)
	list := candidateList{others: make([]rankedUpstream, 0, len(svc.upstreams))}
	at := make(map[namer.Zone]int, len(zones))
	for _, u := range svc.upstreams {
		if !s.eligible(now, u, r) {
			continue
		}
		ranked := rankedUpstream{upstream: u, zonePosition: zones[u.Zone], score: rendezvousScore(u.hash, key, float64(u.Slots))}
		i, ok := at[u.Zone]
		switch {
		case !ok:
			at[u.Zone] = len(list.firsts)
			list.firsts = append(list.firsts, ranked)
			continue
		case ranked.score < list.firsts[i].score:
			list.firsts[i], ranked = ranked, list.firsts[i]
		}
		list.others = append(list.others, ranked)
	}
	slices.SortFunc(list.firsts, compareRanked)
	return list
}

func compareRanked(x, y rankedUpstream) int {
	return cmp.Or(cmp.Compare(x.zonePosition, y.zonePosition), cmp.Compare(x.score, y.score))
}

// rankedUpstream is an upstream with the position of its zone in an object's order.
type rankedUpstream struct {
	upstream     *upstreamState
	zonePosition int
	score        float64
}

// zoneOrder returns each zone's position for an object: first the zones in which objects
// of this VM's callers are placed, weighted by their fraction, then the other zones of
// the region, then those of other regions, both weighted by slots.
func (s *Selector) zoneOrder(now time.Time, svc *service, route namer.Route, key uint64) map[namer.Zone]int {
	fractions := s.objectFractions(now, svc, route)
	zones := make([]rankedZone, 0, len(svc.slots))
	for name, slots := range svc.slots {
		z := rankedZone{name: name, tier: remoteTier, score: rendezvousScore(xxhash.Sum64String(string(name)), key, slots)}
		switch {
		case fractions[name] > 0:
			z.tier = placementTier
			z.score = rendezvousScore(xxhash.Sum64String(string(name)), key, fractions[name])
		case len(fractions) == 0 && name == s.self.Zone:
			z.tier = placementTier
		case s.self.Regions[name] == s.self.Region:
			z.tier = regionTier
		}
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b rankedZone) int {
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
	placementTier = iota
	regionTier
	remoteTier
)

type rankedZone struct {
	name  namer.Zone
	tier  int
	score float64
}

// eligible reports whether a request may be sent to an upstream now. A cold upstream is
// eligible while this VM's share of its rate limit is not used up, one that has become warm or
// recovered while its pace allows it.
func (s *Selector) eligible(now time.Time, u *upstreamState, r Request) bool {
	if s.isDraining(u) || u.notice.pauseLeft(now) > 0 || now.Before(u.retryAt) || !r.allowsRegion(u.region) {
		return false
	}
	if slices.Contains(r.Tried, u.Upstream.Upstream) {
		return false
	}
	if s.isPaced(now, u) {
		return u.pacer.CanSend(now, s.coldShare(u))
	}
	return u.pace.Allows(now, u.inFlight)
}

// isPaced reports whether the rate of requests to an upstream is limited.
func (s *Selector) isPaced(now time.Time, u *upstreamState) bool {
	return u.isCold(now) && u.coldRate > 0
}

// coldShare returns how many requests this VM may send within the pacer's window to an upstream
// while it is cold. It is asked for each queued request, and the rank takes long to compute.
func (s *Selector) coldShare(u *upstreamState) int {
	if u.share == nil {
		share := pacer.Share(int(float64(u.coldRate)*coldRateFraction), s.vms, s.rank(u.Upstream.Upstream, u.Zone))
		u.share = &share
	}
	return *u.share
}

// rendezvousScore returns the score of one zone or upstream by weighted rendezvous
// hashing; the lowest score comes first. When one is added or removed, only the objects
// that it gains or had move.
func rendezvousScore(hash, key uint64, weight float64) float64 {
	h := mixBits(hash ^ key)
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -math.Log(unit) / max(weight, 1e-9)
}

// mixBits makes every bit of the result depend on every bit of x.
func mixBits(x uint64) uint64 {
	x ^= x >> 32
	x *= hashMultiplier
	x ^= x >> 29
	x *= hashMultiplier
	x ^= x >> 32
	return x
}
