package selector

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/copier"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// wayGain is the weight of a new sample that is longer than what is known.
	wayGain = 0.02
)

// ways is what is known of the time to each zone and back.
type ways struct {
	// usual is what to expect.
	usual map[namer.Zone]time.Duration
	// least is the shortest that was seen, which load does not change.
	least map[namer.Zone]time.Duration
}

// ObserveRTT takes the time that opening a connection to a zone took, which is one
// round trip. The usual time rises slowly, so that a longer way is learned too.
func (s *Selector) ObserveRTT(zone namer.Zone, opening time.Duration) {
	usual, ok := s.ways.usual[zone]
	if !ok || opening < usual {
		s.ways.usual[zone] = opening
	} else {
		s.ways.usual[zone] = usual + time.Duration(wayGain*float64(opening-usual))
	}
	least, ok := s.ways.least[zone]
	if !ok || opening < least {
		s.ways.least[zone] = opening
	}
}

// UnmeasuredZones returns an upstream of each zone to which the way is not known.
func (s *Selector) UnmeasuredZones() map[namer.Zone]cataloger.Target {
	out := make(map[namer.Zone]cataloger.Target)
	for _, n := range s.nodes {
		if _, ok := s.ways.least[n.Zone]; !ok && !s.leaves(n) {
			out[n.Zone] = n.target()
		}
	}
	return out
}

// nearWay returns the time to the farthest other zone of the region and back.
func (s *Selector) nearWay() time.Duration {
	var near time.Duration
	for zone, way := range s.ways.least {
		if zone != s.self.Zone && s.self.Regions[zone] == s.self.Region {
			near = max(near, way)
		}
	}
	return near
}

// SharesCopies reports whether the zones of the region share the copies of a route's
// objects, which they do until copies of their own are known to pay. What is decided
// holds for a while, since a change costs cold runs.
func (s *Selector) SharesCopies(now time.Time, route namer.Route, service namer.Service) bool {
	r := s.rates[rateKey{route: route, service: service}]
	if r == nil {
		return true
	}
	if now.Sub(r.decided) < copier.Horizon {
		return !r.apart
	}
	rate, objects, ok := r.copier.Estimate(now)
	if !ok {
		return !r.apart
	}
	r.decided = now
	r.apart = copier.Pays(copier.Demand{
		Rate: rate * float64(s.near), Objects: objects, Work: r.work, Way: s.nearWay(), Bytes: r.bytes,
	})
	return !r.apart
}

// RoutesWithZoneCopies returns the routes to a service for whose objects zones keep copies of their own.
func (s *Selector) RoutesWithZoneCopies() map[namer.Route]namer.Service {
	out := make(map[namer.Route]namer.Service)
	for key, r := range s.rates {
		if r.apart {
			out[key.route] = key.service
		}
	}
	return out
}

// parts returns which part of the objects of this VM's callers belongs to which
// zone. VMs whose zones share copies all return the same.
func (s *Selector) parts(now time.Time, svc *service, route namer.Route) map[namer.Zone]float64 {
	parts := make(map[namer.Zone]float64)
	sp := s.spreads[svc.Name]
	if sp == nil {
		return parts
	}
	zones := []namer.Zone{s.self.Zone}
	if s.SharesCopies(now, route, svc.Name) {
		zones = s.sharing
	}
	for _, zone := range zones {
		for _, p := range sp.Parts(zone) {
			parts[p.Zone] += p.Part
		}
	}
	return parts
}
