// Package selector decides which upstream a request is sent to. Each object has its
// upstreams in an order that every VM computes alike by rendezvous hashing, so that an
// object stays warm on a few of them. Among all upstreams the one with the lowest
// expected latency is taken. The latency is estimated from the upstream's queue, its
// slowness, the round-trip time (RTT) to its zone, and the additional processing time of
// an object that it has not handled lately.
//
// The package handles load beyond the capacity of a region's upstreams. An upstream that
// has the object cold takes several times the work of a warm one, so requests wait a
// little for a free warm upstream before they are sent to another one.
//
// The package is pure: the time is an argument, and there is no I/O. It is not safe for
// concurrent use.
//
// # Usage
//
//	s := selector.New(self)
//	s.Update(now, view, doc)
//	d := s.Decide(now, request)
//	if d.Action == selector.Send {
//		s.Begin(now, d)
//		s.End(now, d, report)
//	}
package selector

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/pacer"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
	"github.com/waxwingloom/waxwingloom/internal/share/starter"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// The actions of a decision.
const (
	Send Action = iota
	Wait
	Refuse
)

// The reasons of a decision. They are written to log lines and to refusals.
const (
	ReasonPrimary    Reason = "primary"
	ReasonSecondary  Reason = "second"
	ReasonOverflow   Reason = "overflow"
	ReasonFull       Reason = "full"
	ReasonLate       Reason = "late"
	ReasonPaused     Reason = "paused"
	ReasonNoUpstream Reason = "no-upstream"
)

type (
	// Action is what to do with a request now.
	Action int

	// Reason is the reason of a decision.
	Reason string

	// Self identifies this VM and its location.
	Self struct {
		VM     namer.VM
		Zone   namer.Zone
		Region namer.Region
		// Regions maps each zone to its region.
		Regions map[namer.Zone]namer.Region
	}

	// Request is a request that needs an upstream. Object is the affinity key, empty
	// when the request is about no object that upstreams keep warm. Deadline is the
	// time by which it must be answered, TargetTime the time by which it should be.
	Request struct {
		Route      *parser.Route
		Service    namer.Service
		Object     string
		TargetTime time.Time
		Deadline   time.Time
		// Tried lists the upstreams that earlier attempts were sent to.
		Tried []namer.Upstream
		// Priority 0 is the most urgent. It is the account's or the route's.
		Priority int
		// AccountRegions are the regions that the account permits in addition to the route's
		// restriction. Without any, it permits all.
		AccountRegions []namer.Region
	}

	// Decision is what to do with a request, at which upstream. RetryAfter is the time
	// after which the caller of a refused request should retry.
	Decision struct {
		Action          Action
		Reason          Reason
		ExpectedLatency time.Duration
		RetryAfter      time.Duration
		// Load is the estimated number of requests at the upstream, LoadAge the
		// age of the load that the upstream last reported.
		Load    float64
		LoadAge time.Duration
		// ColdLeft is how much longer the upstream is known to be cold, 0 when it is not.
		ColdLeft time.Duration
		// Zone is the upstream's zone.
		Zone namer.Zone
		// PrimaryLoad and PrimaryLatency are the estimated load of the object's primary, and
		// the latency that was expected there, where another upstream was chosen. They are
		// 0 otherwise.
		PrimaryLoad    float64
		PrimaryLatency time.Duration

		id       pacer.ID
		upstream *upstreamState
		target   cataloger.Target
		route    namer.Route
		// usual is the usual processing time of a warm request.
		usual time.Duration
		// warm says that the upstream is one that keeps the object warm.
		warm bool
		// freeSlot says that the upstream was estimated to have a free slot.
		freeSlot bool
		// crossRegion says that the upstream is not in the region that the object
		// belongs to.
		crossRegion bool
	}

	// Selector holds what this VM knows of the upstreams.
	Selector struct {
		self      Self
		services  map[namer.Service]*service
		upstreams map[namer.Upstream]*upstreamState
		loads     map[namer.Service]*serviceLoad
		// processingTimes holds each route's usual processing time of a warm
		// request, without queueing and RTT.
		processingTimes map[namer.Route]time.Duration
		// secondaryFactors holds how much longer each route's requests take at secondary
		// upstreams.
		secondaryFactors map[namer.Route]float64
		rtts             zoneRTTs
		// regionZones lists the zones of the region in the order of their names.
		regionZones []namer.Zone
		stats       map[statsKey]*routeStats
		drained     map[namer.Zone]bool
		notices     map[namer.Upstream]*notice
		missing     map[namer.Upstream]missingUpstream
		spreaders   map[namer.Service]*spreader.Spreader
		crossRegion crossRegionLimiter
		vms         int
		zoneVMs     int
		rank        func(namer.Upstream, namer.Zone) int
		lastID      pacer.ID
		paceCounts  starter.Counts
		paceEvents  []PaceEvent
	}

	// missingUpstream is an upstream that has left the view.
	missingUpstream struct {
		state *upstreamState
		since time.Time
	}

	service struct {
		parser.Service
		upstreams []*upstreamState
		// slots holds the slots of each zone that gets new work.
		slots map[namer.Zone]float64
	}
)

// allowsRegion reports whether both the route and the account permit a region.
func (r *Request) allowsRegion(region namer.Region) bool {
	return r.Route.AllowsRegion(region) && (len(r.AccountRegions) == 0 || slices.Contains(r.AccountRegions, region))
}

// New returns a selector without upstreams.
func New(self Self) *Selector {
	return &Selector{
		self:             self,
		services:         make(map[namer.Service]*service),
		upstreams:        make(map[namer.Upstream]*upstreamState),
		loads:            make(map[namer.Service]*serviceLoad),
		processingTimes:  make(map[namer.Route]time.Duration),
		secondaryFactors: make(map[namer.Route]float64),
		rtts:             zoneRTTs{smoothed: make(map[namer.Zone]time.Duration), lowest: make(map[namer.Zone]time.Duration)},
		regionZones:      zonesOfRegion(self),
		stats:            make(map[statsKey]*routeStats),
		notices:          make(map[namer.Upstream]*notice),
		missing:          make(map[namer.Upstream]missingUpstream),
		spreaders:        make(map[namer.Service]*spreader.Spreader),
		vms:              1,
		zoneVMs:          1,
		rank:             func(namer.Upstream, namer.Zone) int { return 0 },
	}
}

// zonesOfRegion returns the zones of a VM's region in the order of their names.
func zonesOfRegion(self Self) []namer.Zone {
	var out []namer.Zone
	for zone, region := range self.Regions {
		if region == self.Region {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// SetMembers sets the number of VMs in all and in this VM's zone. Rank returns this VM's
// position among all VMs, in an order that is specific to an upstream in a zone.
func (s *Selector) SetMembers(vms, zoneVMs int, rank func(namer.Upstream, namer.Zone) int) {
	s.vms = max(vms, 1)
	s.zoneVMs = max(zoneVMs, 1)
	s.rank = rank
	for _, u := range s.upstreams {
		u.share = nil
	}
}

// Decide returns what to do with a request now.
func (s *Selector) Decide(now time.Time, r Request) Decision {
	svc := s.services[r.Service]
	if svc == nil {
		return Decision{Action: Refuse, Reason: ReasonNoUpstream, RetryAfter: noUpstreamRetryAfter}
	}
	d := s.decideNow(now, svc, r)
	if d.Action == Refuse {
		return s.decideAfterPause(now, svc, r, d)
	}
	return d
}

// decideNow decides by the upstreams that take requests now.
func (s *Selector) decideNow(now time.Time, svc *service, r Request) Decision {
	times := s.timesOf(r.Route)
	best := Decision{Action: Refuse, Reason: ReasonNoUpstream, RetryAfter: noUpstreamRetryAfter}
	bestInRegion := best
	var primary Decision
	var bestCost, inRegionCost time.Duration
	list := s.candidates(now, svc, r)
	consider := func(i int, u *upstreamState) {
		d := s.evaluate(now, u, i, times)
		d.crossRegion = u.region != list.firsts[0].upstream.region
		if i == 0 {
			primary = d
		}
		cost := d.ExpectedLatency + affinityPenalty(i, times.usual, r.Object != "")
		if best.upstream == nil || cost < bestCost {
			best, bestCost = d, cost
		}
		if !d.crossRegion && (bestInRegion.upstream == nil || cost < inRegionCost) {
			bestInRegion, inRegionCost = d, cost
		}
	}
	for i, c := range list.firsts {
		consider(i, c.upstream)
	}
	if len(list.firsts) < warmCopies || max(bestCost, inRegionCost) > minOverflowCost(times.usual, r.Object != "") {
		slices.SortFunc(list.others, compareRanked)
		for i, c := range list.others {
			consider(len(list.firsts)+i, c.upstream)
		}
	}
	if best.upstream == nil {
		return best
	}
	if best.crossRegion && r.Object != "" && !s.crossRegion.allow(now) {
		best = bestInRegion
	}
	if best.upstream != primary.upstream {
		best.PrimaryLoad, best.PrimaryLatency = primary.Load, primary.ExpectedLatency
	}
	best.route = r.Route.Name
	best.target = best.upstream.target()
	best.target.RTT = s.rtt(best.upstream)
	s.lastID++
	best.id = s.lastID
	return withAction(now, r, best)
}

// withAction decides whether to use the best upstream now. It refuses a request that
// cannot meet its deadline, and lets a request wait while the upstream's load is at its
// limit.
func withAction(now time.Time, r Request, d Decision) Decision {
	left := r.Deadline.Sub(now)
	switch {
	case d.ExpectedLatency > left:
		d.Action = Refuse
		d.Reason = ReasonLate
		d.RetryAfter = d.ExpectedLatency - left
	case d.Load >= d.upstream.maxLoad():
		d.Action = Wait
		d.Reason = ReasonFull
	default:
		d.Action = Send
	}
	return d
}

// evaluate returns the expected latency of a request at a candidate. Position is the
// candidate's position in the object's order.
func (s *Selector) evaluate(now time.Time, u *upstreamState, position int, times routeTimes) Decision {
	load := u.estimatedLoad(now)
	d := Decision{upstream: u, usual: times.usual, Zone: u.Zone, Load: load, LoadAge: u.loadAge(now), ColdLeft: u.coldLeft(now), Reason: ReasonPrimary, warm: position < warmCopies}
	processing := u.expectedProcessingTime(now, times.usual)
	switch {
	case position == 1:
		d.Reason = ReasonSecondary
		processing = time.Duration(float64(processing) * times.secondaryFactor)
	case position >= warmCopies:
		d.Reason = ReasonOverflow
		processing = time.Duration(float64(processing) * coldFactor)
	}
	slots := float64(u.Slots)
	d.freeSlot = load < slots
	queued := max(0, load+1-slots)
	d.ExpectedLatency = time.Duration(queued/slots*float64(u.expectedProcessingTime(now, times.usual))) + processing + s.rtt(u)
	return d
}

// affinityPenalty returns what is added to an upstream's cost, so that an object stays
// at its primary upstream unless another one is faster by more than that.
func affinityPenalty(position int, usual time.Duration, affinity bool) time.Duration {
	if !affinity || position == 0 {
		return 0
	}
	if position < warmCopies {
		return time.Duration(secondaryPenaltyFactor * float64(usual))
	}
	return time.Duration(overflowPenaltyFactor * float64(usual))
}

// minOverflowCost returns the lowest cost that an upstream can have at which the object is
// cold. Where others cost less, these need not be evaluated.
func minOverflowCost(usual time.Duration, affinity bool) time.Duration {
	return time.Duration(minSlowness*minHostSlowness*coldFactor*float64(usual)) + affinityPenalty(warmCopies, usual, affinity)
}

// ProcessingTime returns the usual processing time of a warm request of a route.
func (s *Selector) ProcessingTime(r *parser.Route) time.Duration {
	return s.processingTime(r)
}

// SlotsPerVM returns the slots of a service's upstreams for each VM.
func (s *Selector) SlotsPerVM(name namer.Service) float64 {
	svc := s.services[name]
	if svc == nil {
		return 0
	}
	slots := 0.0
	for _, n := range svc.slots {
		slots += n
	}
	return slots / float64(s.vms)
}

// processingTime returns the usual processing time of a warm request of a route at an
// upstream with a free slot. Before the first sample that is half of the route's target.
func (s *Selector) processingTime(r *parser.Route) time.Duration {
	if usual, ok := s.processingTimes[r.Name]; ok {
		return usual
	}
	return r.LatencyTarget / 2
}

// rtt returns the expected RTT to an upstream's zone, 0 when it is unknown.
func (s *Selector) rtt(u *upstreamState) time.Duration {
	return s.rtts.smoothed[u.Zone]
}

// Begin counts a request as in flight at the upstream of its decision.
func (s *Selector) Begin(now time.Time, d Decision) {
	d.upstream.inFlight++
	s.crossRegion.record(now, d.crossRegion)
	d.upstream.pacer.Reserve(now, d.id)
}

// Admit reports whether a request for which Begin was called may be sent now, on a connection
// to the upstream of its decision. The upstream may have been found to be cold meanwhile.
func (s *Selector) Admit(now time.Time, d Decision) bool {
	if !s.Usable(now, d) {
		return false
	}
	u := d.upstream
	s.recordContact(now, u)
	limit := math.MaxInt
	if s.isPaced(now, u) {
		limit = s.coldShare(u)
	}
	return u.pacer.Confirm(now, d.id, limit)
}

// Usable reports whether the upstream of a decision still runs as the same process, as far as
// this VM knows, and takes requests.
func (s *Selector) Usable(now time.Time, d Decision) bool {
	return s.upstreams[d.target.Upstream] == d.upstream && !s.isDraining(d.upstream) && d.upstream.notice.pauseLeft(now) == 0
}

// IsDraining reports whether the upstream of a decision, or its zone, must get no new work.
func (s *Selector) IsDraining(d Decision) bool {
	return s.isDraining(d.upstream)
}

// isDraining reports whether an upstream or its zone must get no new work.
func (s *Selector) isDraining(u *upstreamState) bool {
	return u.Draining || s.drained[u.Zone] || u.notice.isLeaving()
}

// Target returns the upstream of a decision as it was at the time of the decision.
func (d Decision) Target() cataloger.Target {
	return d.target
}

// Slots returns the number of requests that the upstream processes at a time.
func (d Decision) Slots() int {
	return d.upstream.Slots
}
