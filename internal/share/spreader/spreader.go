// Package spreader computes which fraction of the objects that a zone's callers ask
// for is assigned to the upstreams of which availability zone. A zone keeps its own
// objects as far as its upstreams have the capacity; the excess goes to zones with
// spare capacity, first within the region. Every VM computes the same placement from
// the same input. Placements change slowly, so that objects stay at upstreams where
// they are warm.
//
// It handles a region with more traffic than its upstreams can serve: a fixed
// fraction of its objects is served, and stays warm, in other zones. Without it,
// single requests would overflow to random zones, where their objects are cold.
//
// # Usage
//
//	s := spreader.New()
//	s.Update(now, loads)
//	for _, share := range s.Shares("zone-a") {
//		// share.Fraction of the objects of zone-a belongs to share.Zone.
//	}
package spreader

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	// targetUtilization is the fraction of a zone's slots that is filled before the
	// excess goes to other zones. The other half is left for bursts and lost upstreams.
	targetUtilization = 0.5
	// maxMovePerSecond limits the fraction of a zone's objects that moves between
	// zones in a second. The platform limits the shift of traffic between regions;
	// two seconds at this rate stay well below that limit.
	maxMovePerSecond = 0.03
	// minDemandFraction is the total demand, as a fraction of all slots, below which the
	// distribution of callers counts as unknown.
	minDemandFraction = 0.02
	// minFraction is the smallest fraction worth keeping; smaller ones hold
	// hardly an object and are dropped.
	minFraction = 0.005
)

type (
	// Load is the capacity of a zone's upstreams and the demand of its callers for
	// one service, both in slots.
	Load struct {
		Zone   namer.Zone
		Region namer.Region
		Slots  float64
		Demand float64
	}

	// Share is the fraction of some zone's objects that is assigned to Zone.
	Share struct {
		Zone     namer.Zone
		Fraction float64
	}

	// Placement maps the zone of the callers to the zones that their objects are
	// assigned to, with the fraction of the objects in each.
	Placement map[namer.Zone]map[namer.Zone]float64

	// Spreader keeps the placement of one service. It does no I/O and is not safe
	// for concurrent use.
	Spreader struct {
		updated   time.Time
		placement Placement
		zones     []namer.Zone
	}
)

// New returns a spreader without zones.
func New() *Spreader {
	return &Spreader{placement: make(Placement)}
}

// Restore continues from a placement that was used before a restart, because
// upstreams still have their objects warm according to it.
func (s *Spreader) Restore(now time.Time, p Placement) {
	s.updated = now
	s.placement = p.Clone()
	s.zones = slices.Sorted(maps.Keys(p))
}

// Placement returns a copy of the current placement.
func (s *Spreader) Placement() Placement {
	return s.placement.Clone()
}

// Clone returns a deep copy.
func (p Placement) Clone() Placement {
	out := make(Placement, len(p))
	for zone, fractions := range p {
		out[zone] = maps.Clone(fractions)
	}
	return out
}

// Distance returns the largest fraction of one zone's objects that the two
// placements assign to different zones.
func (p Placement) Distance(o Placement) float64 {
	largest := 0.0
	for zone, fractions := range p {
		moved := 0.0
		for other, fraction := range fractions {
			moved += max(0, fraction-o[zone][other])
		}
		largest = max(largest, moved)
	}
	return largest
}

// Update moves the placement towards the one that fits the loads, by at most
// maxMovePerSecond. The first update takes it over whole, and objects in a zone
// without slots are reassigned at once.
func (s *Spreader) Update(now time.Time, loads []Load) {
	first := s.updated.IsZero()
	maxMove := maxMovePerSecond * now.Sub(s.updated).Seconds()
	s.updated = now
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Zone, b.Zone) })
	s.zones = s.zones[:0]
	for _, l := range loads {
		s.zones = append(s.zones, l.Zone)
	}
	targets := targets(withDefaultDemand(loads))
	for i, l := range loads {
		current := s.placement[l.Zone]
		if first || current == nil {
			s.placement[l.Zone] = targets[i]
			continue
		}
		s.placement[l.Zone] = moveTowards(current, targets[i], maxMove, loads)
	}
}

// Shares returns the zones that a zone's objects are assigned to, ordered by
// name. The fractions add up to 1, or the result is empty.
func (s *Spreader) Shares(zone namer.Zone) []Share {
	var out []Share
	for _, z := range s.zones {
		if f := s.placement[zone][z]; f > 0 {
			out = append(out, Share{Zone: z, Fraction: f})
		}
	}
	return out
}

// withDefaultDemand returns the loads. While there are hardly any requests, it
// replaces their demand by an equal one in all zones, which together fills all
// upstreams to the target utilization. Otherwise the first requests after a start
// would overload the upstreams of a region that has only a few.
func withDefaultDemand(loads []Load) []Load {
	slots, demand := 0.0, 0.0
	for _, l := range loads {
		slots += l.Slots
		demand += l.Demand
	}
	if demand > minDemandFraction*slots {
		return loads
	}
	out := slices.Clone(loads)
	for i := range out {
		out[i].Demand = targetUtilization * slots / float64(len(out))
	}
	return out
}

// targets returns the placement that fits the loads, as one map for each load.
func targets(loads []Load) []map[namer.Zone]float64 {
	out := make([]map[namer.Zone]float64, len(loads))
	excess := make([]float64, len(loads))
	spare := make([]float64, len(loads))
	for i, l := range loads {
		out[i] = make(map[namer.Zone]float64)
		kept := min(l.Demand, targetUtilization*l.Slots)
		if l.Demand <= 0 && l.Slots > 0 {
			out[i][l.Zone] = 1
			spare[i] = targetUtilization * l.Slots
			continue
		}
		excess[i] = l.Demand - kept
		spare[i] = targetUtilization*l.Slots - kept
		add(out[i], l.Zone, kept, l.Demand)
	}
	placeExcess(loads, out, excess, spare, func(a, b Load) bool { return a.Region == b.Region })
	placeExcess(loads, out, excess, spare, func(Load, Load) bool { return true })
	placeOverCapacity(loads, out, excess)
	return out
}

// placeExcess assigns the excess of each zone to the zones that eligible allows,
// in proportion to their spare capacity. All zones are served at the same time, so
// that the result does not depend on their order.
func placeExcess(loads []Load, out []map[namer.Zone]float64, excess, spare []float64, eligible func(a, b Load) bool) {
	// requests holds the slots that each zone asks of each other zone, requested the
	// slots that are asked of each zone in all.
	requested := make([]float64, len(loads))
	requests := make([][]float64, len(loads))
	for i, l := range loads {
		requests[i] = make([]float64, len(loads))
		total := 0.0
		for j, o := range loads {
			if eligible(l, o) {
				total += spare[j]
			}
		}
		if total <= 0 || excess[i] <= 0 {
			continue
		}
		for j, o := range loads {
			if eligible(l, o) {
				requests[i][j] = min(excess[i], total) * spare[j] / total
				requested[j] += requests[i][j]
			}
		}
	}
	for i := range loads {
		for j, o := range loads {
			if requests[i][j] <= 0 {
				continue
			}
			granted := requests[i][j] * min(1, spare[j]/requested[j])
			add(out[i], o.Zone, granted, loads[i].Demand)
			excess[i] -= granted
		}
	}
	for j := range loads {
		spare[j] -= min(spare[j], requested[j])
	}
}

// placeOverCapacity assigns the excess that no zone has spare capacity for to all
// zones, in proportion to their slots.
func placeOverCapacity(loads []Load, out []map[namer.Zone]float64, excess []float64) {
	total := 0.0
	for _, l := range loads {
		total += l.Slots
	}
	if total <= 0 {
		return
	}
	for i, l := range loads {
		demand, left := l.Demand, excess[i]
		if len(out[i]) == 0 && left <= 0 {
			// A zone without upstreams and without demand yet: assign all its objects.
			demand, left = 1, 1
		}
		for _, o := range loads {
			add(out[i], o.Zone, left*o.Slots/total, demand)
		}
	}
}

// add converts slots to a fraction of the demand and adds it to a zone's fraction.
func add(fractions map[namer.Zone]float64, zone namer.Zone, slots, demand float64) {
	if slots <= 0 || demand <= 0 {
		return
	}
	fractions[zone] += slots / demand
}

// moveTowards returns the fractions after moving at most maxMove in total from
// current towards target.
func moveTowards(current, target map[namer.Zone]float64, maxMove float64, loads []Load) map[namer.Zone]float64 {
	out := make(map[namer.Zone]float64)
	total := 0.0
	for _, l := range loads {
		if l.Slots <= 0 {
			continue
		}
		out[l.Zone] = current[l.Zone]
		total += current[l.Zone]
	}
	if total <= 0 {
		return target
	}
	distance := 0.0
	for _, l := range loads {
		if l.Slots > 0 {
			out[l.Zone] /= total
			distance += math.Abs(target[l.Zone]-out[l.Zone]) / 2
		}
	}
	if distance <= 0 {
		return out
	}
	progress := min(1, maxMove/distance)
	for _, l := range loads {
		if l.Slots <= 0 {
			continue
		}
		out[l.Zone] += progress * (target[l.Zone] - out[l.Zone])
		if out[l.Zone] < minFraction && target[l.Zone] < minFraction {
			delete(out, l.Zone)
		}
	}
	return out
}
