// Package selector decides which upstream a request goes to. Each object has
// its upstreams in an order that every VM computes alike, so that an object
// stays warm on a few of them. Among these and the others the one with the
// lowest expected latency is taken: its queue, its speed, the way there, and
// the work of an object that it has not handled lately.
//
// It answers the pattern in which load rises beyond what the upstreams of a
// region can do: a cold second choice costs several times the work of a warm
// one, so requests wait a little for a warm slot before they are sent to
// another upstream.
//
// The package is pure and not safe for concurrent use.
//
// # Usage
//
//	s := selector.New(self)
//	s.Update(now, view, doc)
//	d := s.Decide(now, ask)
//	if d.Kind == selector.Send {
//		s.Begin(now, d)
//		s.End(now, d, report)
//	}
package selector

import (
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// What a decision says.
const (
	Send Action = iota
	Wait
	Refuse
)

// Why it says so.
const (
	ReasonPrimary    Reason = "primary"
	ReasonSecondary  Reason = "second"
	ReasonOverflow   Reason = "overflow"
	ReasonFull       Reason = "full"
	ReasonLate       Reason = "late"
	ReasonNoUpstream Reason = "no-upstream"
)

type (
	// Action says what is to be done with a request now.
	Action int

	// Reason says why.
	Reason string

	// Self says where this VM is.
	Self struct {
		VM     namer.VM
		Zone   namer.Zone
		Region namer.Region
		// Regions tells the region of each zone.
		Regions map[namer.Zone]namer.Region
	}

	// Request is a request that needs an upstream. Object is what it is about, and
	// empty when it is about none that upstreams remember. Due is when its
	// answer must be there, Ideal when it should be.
	Request struct {
		Route      *parser.Route
		Service    namer.Service
		Object     string
		TargetTime time.Time
		Deadline   time.Time
		// Tried are upstreams that it was sent to before.
		Tried []namer.Upstream
	}

	// Decision is what to do with a request. Expected is the latency that is
	// expected, RetryAfter when a refused caller should come back.
	Decision struct {
		Action          Action
		Reason          Reason
		ExpectedLatency time.Duration
		RetryAfter      time.Duration
		// Load is the requests that the upstream is thought to have, LoadAge
		// how old its own word on that is.
		Load    float64
		LoadAge time.Duration
		// Zone is the upstream's.
		Zone namer.Zone

		node   *node
		target cataloger.Target
		route  namer.Route
		warm   bool
		idle   bool
		// away says that the upstream is not in the region that the object
		// belongs to.
		away bool
	}

	// Selector holds what is known of the upstreams.
	Selector struct {
		self     Self
		services map[namer.Service]*service
		nodes    map[namer.Upstream]*node
		latency  map[namer.Route]time.Duration
		ways     ways
		// sharing are the zones of the region in the order of their names.
		sharing []namer.Zone
		rates   map[rateKey]*rate
		drained map[namer.Zone]bool
		spreads map[namer.Service]*spreader.Spreader
		drift   drift
		vms     int
		near    int
		rank    func(namer.Upstream) int
	}

	service struct {
		parser.Service
		nodes []*node
		// slots are those of each zone that gets work.
		slots map[namer.Zone]float64
	}
)

// New returns a selector that knows no upstream.
func New(self Self) *Selector {
	return &Selector{
		self:     self,
		services: make(map[namer.Service]*service),
		nodes:    make(map[namer.Upstream]*node),
		latency:  make(map[namer.Route]time.Duration),
		ways:     ways{usual: make(map[namer.Zone]time.Duration), least: make(map[namer.Zone]time.Duration)},
		sharing:  sharing(self),
		rates:    make(map[rateKey]*rate),
		spreads:  make(map[namer.Service]*spreader.Spreader),
		vms:      1,
		near:     1,
		rank:     func(namer.Upstream) int { return 0 },
	}
}

// sharing returns the zones of a VM's region.
func sharing(self Self) []namer.Zone {
	var out []namer.Zone
	for zone, region := range self.Regions {
		if region == self.Region {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// SetMembers takes over how many VMs there are in all and in this VM's zone, and a
// function that gives this VM's place among them for an upstream.
func (s *Selector) SetMembers(vms, near int, rank func(namer.Upstream) int) {
	s.vms = max(vms, 1)
	s.near = max(near, 1)
	s.rank = rank
}

// Decide returns what to do with a request now.
func (s *Selector) Decide(now time.Time, a Request) Decision {
	svc := s.services[a.Service]
	if svc == nil {
		return Decision{Action: Refuse, Reason: ReasonNoUpstream, RetryAfter: retryUnknown}
	}
	work := s.work(a.Route)
	best := Decision{Action: Refuse, Reason: ReasonNoUpstream, RetryAfter: retryUnknown}
	stay := best
	var bestCost, stayCost time.Duration
	candidates := s.candidates(now, svc, a)
	for i, c := range candidates {
		d := s.weigh(now, c, i, work)
		d.away = c.region != candidates[0].region
		cost := d.ExpectedLatency + preference(i, work, a.Object != "")
		if best.node == nil || cost < bestCost {
			best, bestCost = d, cost
		}
		if !d.away && (stay.node == nil || cost < stayCost) {
			stay, stayCost = d, cost
		}
	}
	if best.node == nil {
		return best
	}
	if best.away && a.Object != "" && !s.drift.allows(now) {
		best = stay
	}
	best.route = a.Route.Name
	best.target = best.node.target()
	best.target.Way = s.way(best.node)
	return settle(now, a, best)
}

// settle says whether the best upstream is to be used now.
func settle(now time.Time, a Request, d Decision) Decision {
	left := a.Deadline.Sub(now)
	switch {
	case d.ExpectedLatency > left:
		d.Action = Refuse
		d.Reason = ReasonLate
		d.RetryAfter = d.ExpectedLatency - left
	case d.Load >= d.node.capacity():
		d.Action = Wait
		d.Reason = ReasonFull
	default:
		d.Action = Send
	}
	return d
}

// weigh returns what a request at a candidate would mean. Place is the
// candidate's place in the object's order.
func (s *Selector) weigh(now time.Time, n *node, place int, work time.Duration) Decision {
	load := n.load(now)
	d := Decision{node: n, Zone: n.Zone, Load: load, LoadAge: n.loadAge(now), Reason: ReasonPrimary, warm: place < copies}
	effort := n.effort(now, work)
	switch {
	case place == 1:
		d.Reason = ReasonSecondary
	case place >= copies:
		d.Reason = ReasonOverflow
		effort = time.Duration(float64(effort) * coldWork)
	}
	slots := float64(n.Slots)
	d.idle = load < slots
	queued := max(0, load+1-slots)
	d.ExpectedLatency = time.Duration(queued/slots*float64(n.effort(now, work))) + effort + s.way(n)
	return d
}

// preference is added to an upstream's cost to keep an object where it is
// while that costs little.
func preference(place int, work time.Duration, affinity bool) time.Duration {
	if !affinity || place == 0 {
		return 0
	}
	if place < copies {
		return time.Duration(secondCost * float64(work))
	}
	return time.Duration(overflowCost * float64(work))
}

// work returns the latency of a warm request of a route on an idle upstream.
func (s *Selector) work(r *parser.Route) time.Duration {
	if w, ok := s.latency[r.Name]; ok {
		return w
	}
	return r.Target / 2
}

// way is the time to an upstream's zone and back.
func (s *Selector) way(n *node) time.Duration {
	return s.ways.usual[n.Zone]
}

// Begin counts a request as sent.
func (s *Selector) Begin(now time.Time, d Decision) {
	d.node.own++
	s.drift.count(now, d.away)
	if d.node.cold(now) {
		d.node.pace.Take(now)
	}
}

// Usable reports whether the upstream of a decision is still there, as the same process, and
// gets new work.
func (s *Selector) Usable(d Decision) bool {
	return s.nodes[d.target.Upstream] == d.node && !s.leaves(d.node)
}

// leaves reports whether an upstream, or its zone, is to get no new work.
func (s *Selector) leaves(n *node) bool {
	return n.Draining || s.drained[n.Zone]
}

// Target returns the upstream of a decision as it was when that was made.
func (d Decision) Target() cataloger.Target {
	return d.target
}
