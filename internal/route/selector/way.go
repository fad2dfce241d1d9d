package selector

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// wayGain is the weight of a new sample that is longer than what is known.
	wayGain = 0.02
	// regionRatio is how many times as far as the other zones of the own region
	// the nearest other region must be for the region to count as one place. In
	// the deployments that the brief names, regions are about four or about twelve
	// times as far; with the first, each zone keeps its own copies.
	regionRatio = 7
)

// ways is what is known of the time to each zone and back.
type ways struct {
	// usual is what to expect.
	usual map[namer.Zone]time.Duration
	// least is the shortest that was seen, which load does not change.
	least map[namer.Zone]time.Duration
}

// LearnWay takes the time that opening a connection to a zone took, which is one
// round trip. The usual time rises slowly, so that a longer way is learned too.
func (s *Selector) LearnWay(zone namer.Zone, opening time.Duration) {
	usual, ok := s.ways.usual[zone]
	if !ok || opening < usual {
		s.ways.usual[zone] = opening
	} else {
		s.ways.usual[zone] = usual + time.Duration(wayGain*float64(opening-usual))
	}
	least, ok := s.ways.least[zone]
	if !ok || opening < least {
		s.ways.least[zone] = opening
		s.pooled = s.isPooled()
	}
}

// Pooled reports whether the zones of the region share the copies of objects.
func (s *Selector) Pooled() bool {
	return s.pooled
}

// Unmeasured returns an upstream of each zone to which the way is not known.
func (s *Selector) Unmeasured() map[namer.Zone]cataloger.Target {
	out := make(map[namer.Zone]cataloger.Target)
	for _, n := range s.nodes {
		if _, ok := s.ways.least[n.Zone]; !ok && !n.Draining && !s.drained[n.Zone] {
			out[n.Zone] = n.target()
		}
	}
	return out
}

// isPooled reports whether the zones of the own region are so near to each other,
// compared with other regions, that they share the copies of their objects.
func (s *Selector) isPooled() bool {
	var near, far time.Duration
	for zone, way := range s.ways.least {
		switch {
		case zone == s.self.Zone:
		case s.self.Regions[zone] == s.self.Region:
			near = max(near, way)
		case far == 0 || way < far:
			far = way
		}
	}
	return near > 0 && far > regionRatio*near
}

// parts returns which part of the objects of this VM's callers belongs to which
// zone. VMs whose zones share copies all return the same.
func (s *Selector) parts(svc *service) map[namer.Zone]float64 {
	parts := make(map[namer.Zone]float64)
	sp := s.spreads[svc.Name]
	if sp == nil {
		return parts
	}
	zones := []namer.Zone{s.self.Zone}
	if s.pooled {
		zones = s.sharing
	}
	for _, zone := range zones {
		for _, p := range sp.Parts(zone) {
			parts[p.Zone] += p.Part
		}
	}
	return parts
}
