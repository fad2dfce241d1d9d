// Package spreader says which part of the objects of each availability zone's
// callers belongs to the upstreams of which zone. A zone keeps its own objects
// as far as its upstreams carry them; the rest goes to zones with room, those of
// the same region first. Every VM computes the same from the same figures, and
// the parts move slowly, so that objects stay where they are warm.
//
// It answers the pattern in which a region has more callers than upstreams:
// a fixed part of its objects stays warm elsewhere, in place of requests that
// spill at random and are cold wherever they come.
//
// # Usage
//
//	s := spreader.New()
//	s.Update(now, loads)
//	for _, p := range s.Parts("zone-a") {
//		// p.Part of the zone's objects belongs to p.Zone.
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
	// use is the part of a zone's slots that its own callers' objects may fill
	// before some go elsewhere. Half is left for bursts and lost upstreams.
	use = 0.5
	// pace is how much of a zone's objects may move in a second. Two seconds of
	// it stay well below the shift between regions that the platform allows.
	pace = 0.03
	// idle is the need, as a part of all slots, below which nothing is known of
	// the callers yet.
	idle = 0.02
	// least is a part too small to be worth an object.
	least = 0.005
)

type (
	// Load is what a zone has and what its callers need of one service, both in
	// slots.
	Load struct {
		Zone   namer.Zone
		Region namer.Region
		Slots  float64
		Need   float64
	}

	// Share is the part of a zone's objects that belongs to a zone.
	Share struct {
		Zone     namer.Zone
		Fraction float64
	}

	// Placement is the part of each zone's objects that belongs to each zone.
	Placement map[namer.Zone]map[namer.Zone]float64

	// Spreader holds the parts of one service. It is pure, and not safe for
	// concurrent use.
	Spreader struct {
		at    time.Time
		parts Placement
		order []namer.Zone
	}
)

// New returns a spreader without zones.
func New() *Spreader {
	return &Spreader{parts: make(Placement)}
}

// Restore takes over a placement that was in force before a restart. Upstreams
// still have their objects warm where it says.
func (s *Spreader) Restore(now time.Time, p Placement) {
	s.at = now
	s.parts = p.Clone()
	s.order = slices.Sorted(maps.Keys(p))
}

// Placement returns all parts.
func (s *Spreader) Placement() Placement {
	return s.parts.Clone()
}

// Clone returns a copy.
func (p Placement) Clone() Placement {
	out := make(Placement, len(p))
	for zone, parts := range p {
		out[zone] = maps.Clone(parts)
	}
	return out
}

// Distance returns the largest part of a zone's objects that two placements put
// elsewhere.
func (p Placement) Distance(o Placement) float64 {
	most := 0.0
	for zone, parts := range p {
		away := 0.0
		for other, part := range parts {
			away += max(0, part-o[zone][other])
		}
		most = max(most, away)
	}
	return most
}

// Update moves the parts towards what the loads ask for. A zone without slots
// loses its parts at once.
func (s *Spreader) Update(now time.Time, loads []Load) {
	first := s.at.IsZero()
	step := pace * now.Sub(s.at).Seconds()
	s.at = now
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Zone, b.Zone) })
	s.order = s.order[:0]
	for _, l := range loads {
		s.order = append(s.order, l.Zone)
	}
	goals := goals(expected(loads))
	for i, l := range loads {
		known := s.parts[l.Zone]
		if first || known == nil {
			s.parts[l.Zone] = goals[i]
			continue
		}
		s.parts[l.Zone] = approach(known, goals[i], step, loads)
	}
}

// Shares returns where a zone's objects belong, in the order of the zones'
// names. They add up to 1, or there are none.
func (s *Spreader) Shares(zone namer.Zone) []Share {
	var out []Share
	for _, z := range s.order {
		if p := s.parts[zone][z]; p > 0 {
			out = append(out, Share{Zone: z, Fraction: p})
		}
	}
	return out
}

// expected returns the loads, or before there are callers what the deployment
// is made for: zones whose callers need the same, and all together what their
// upstreams may be filled with.
func expected(loads []Load) []Load {
	slots, need := 0.0, 0.0
	for _, l := range loads {
		slots += l.Slots
		need += l.Need
	}
	if need > idle*slots {
		return loads
	}
	out := slices.Clone(loads)
	for i := range out {
		out[i].Need = use * slots / float64(len(out))
	}
	return out
}

// goals returns the parts that fit the loads.
func goals(loads []Load) []map[namer.Zone]float64 {
	out := make([]map[namer.Zone]float64, len(loads))
	rest := make([]float64, len(loads))
	room := make([]float64, len(loads))
	for i, l := range loads {
		out[i] = make(map[namer.Zone]float64)
		kept := min(l.Need, use*l.Slots)
		if l.Need <= 0 && l.Slots > 0 {
			out[i][l.Zone] = 1
			room[i] = use * l.Slots
			continue
		}
		rest[i] = l.Need - kept
		room[i] = use*l.Slots - kept
		add(out[i], l.Zone, kept, l.Need)
	}
	place(loads, out, rest, room, func(a, b Load) bool { return a.Region == b.Region })
	place(loads, out, rest, room, func(Load, Load) bool { return true })
	overfill(loads, out, rest)
	return out
}

// place gives what is left of each zone to the zones that are near, by their
// room. All zones share the room at once, so that none comes first.
func place(loads []Load, out []map[namer.Zone]float64, rest, room []float64, near func(a, b Load) bool) {
	taken := make([]float64, len(loads))
	given := make([][]float64, len(loads))
	for i, l := range loads {
		given[i] = make([]float64, len(loads))
		total := 0.0
		for j, o := range loads {
			if near(l, o) {
				total += room[j]
			}
		}
		if total <= 0 || rest[i] <= 0 {
			continue
		}
		for j, o := range loads {
			if near(l, o) {
				given[i][j] = min(rest[i], total) * room[j] / total
				taken[j] += given[i][j]
			}
		}
	}
	for i := range loads {
		for j, o := range loads {
			if given[i][j] <= 0 {
				continue
			}
			fits := given[i][j] * min(1, room[j]/taken[j])
			add(out[i], o.Zone, fits, loads[i].Need)
			rest[i] -= fits
		}
	}
	for j := range loads {
		room[j] -= min(room[j], taken[j])
	}
}

// overfill gives what fits nowhere to all zones by their slots.
func overfill(loads []Load, out []map[namer.Zone]float64, rest []float64) {
	total := 0.0
	for _, l := range loads {
		total += l.Slots
	}
	if total <= 0 {
		return
	}
	for i, l := range loads {
		need, left := l.Need, rest[i]
		if len(out[i]) == 0 && left <= 0 {
			// A zone without upstreams whose callers need nothing yet.
			need, left = 1, 1
		}
		for _, o := range loads {
			add(out[i], o.Zone, left*o.Slots/total, need)
		}
	}
}

func add(parts map[namer.Zone]float64, zone namer.Zone, slots, need float64) {
	if slots <= 0 || need <= 0 {
		return
	}
	parts[zone] += slots / need
}

// approach moves parts towards a goal by at most a step in all.
func approach(known, goal map[namer.Zone]float64, step float64, loads []Load) map[namer.Zone]float64 {
	out := make(map[namer.Zone]float64)
	total := 0.0
	for _, l := range loads {
		if l.Slots <= 0 {
			continue
		}
		out[l.Zone] = known[l.Zone]
		total += known[l.Zone]
	}
	if total <= 0 {
		return goal
	}
	away := 0.0
	for _, l := range loads {
		if l.Slots > 0 {
			out[l.Zone] /= total
			away += math.Abs(goal[l.Zone]-out[l.Zone]) / 2
		}
	}
	if away <= 0 {
		return out
	}
	share := min(1, step/away)
	for _, l := range loads {
		if l.Slots <= 0 {
			continue
		}
		out[l.Zone] += share * (goal[l.Zone] - out[l.Zone])
		if out[l.Zone] < least && goal[l.Zone] < least {
			delete(out, l.Zone)
		}
	}
	return out
}
