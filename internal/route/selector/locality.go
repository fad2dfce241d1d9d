package selector

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/copier"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// rttIncreaseWeight is the weight of a new RTT sample that is above the
	// smoothed RTT.
	rttIncreaseWeight = 0.02
)

// zoneRTTs holds the measured round-trip time (RTT) to each zone.
type zoneRTTs struct {
	// smoothed is the expected RTT.
	smoothed map[namer.Zone]time.Duration
	// lowest is the lowest RTT seen, which does not depend on load.
	lowest map[namer.Zone]time.Duration
}

// ObserveRTT records the time to open a connection to a zone, which is one round trip.
// The smoothed RTT falls to a lower sample at once and rises slowly, so that a path that
// became longer is learned too.
func (s *Selector) ObserveRTT(zone namer.Zone, sample time.Duration) {
	smoothed, ok := s.rtts.smoothed[zone]
	if !ok || sample < smoothed {
		s.rtts.smoothed[zone] = sample
	} else {
		s.rtts.smoothed[zone] = smoothed + time.Duration(rttIncreaseWeight*float64(sample-smoothed))
	}
	lowest, ok := s.rtts.lowest[zone]
	if !ok || sample < lowest {
		s.rtts.lowest[zone] = sample
	}
}

// UnmeasuredZones returns the zones whose RTT is unknown, each with one of its upstreams
// to measure it with.
func (s *Selector) UnmeasuredZones() map[namer.Zone]cataloger.Target {
	out := make(map[namer.Zone]cataloger.Target)
	for _, u := range s.upstreams {
		if _, ok := s.rtts.lowest[u.Zone]; !ok && !s.isDraining(u) {
			out[u.Zone] = u.target()
		}
	}
	return out
}

// maxRegionRTT returns the RTT to the farthest other zone of the region.
func (s *Selector) maxRegionRTT() time.Duration {
	var highest time.Duration
	for zone, rtt := range s.rtts.lowest {
		if zone != s.self.Zone && s.self.Regions[zone] == s.self.Region {
			highest = max(highest, rtt)
		}
	}
	return highest
}

// SharesCopies reports whether the zones of the region share the warm copies of a route's
// objects. They do until a copy in each zone is known to pay off. A decision holds for
// the time in which a copy must pay for itself, since a change makes objects run cold at
// their new upstreams.
func (s *Selector) SharesCopies(now time.Time, route namer.Route, service namer.Service) bool {
	r := s.stats[statsKey{route: route, service: service}]
	if r == nil {
		return true
	}
	if now.Sub(r.decidedAt) < copier.PaybackPeriod {
		return !r.zoneCopies
	}
	rate, objects, ok := r.copier.Estimate(now)
	if !ok {
		return !r.zoneCopies
	}
	r.decidedAt = now
	r.zoneCopies = copier.PaysOff(copier.Workload{
		Rate: rate * float64(s.zoneVMs), Objects: objects, WarmDuration: r.processingTime, RTT: s.maxRegionRTT(), BytesPerRequest: r.bytesPerRequest,
	})
	return !r.zoneCopies
}

// RoutesWithZoneCopies returns the routes, with their service, for whose objects each zone
// keeps its own warm copies.
func (s *Selector) RoutesWithZoneCopies() map[namer.Route]namer.Service {
	out := make(map[namer.Route]namer.Service)
	for key, r := range s.stats {
		if r.zoneCopies {
			out[key.route] = key.service
		}
	}
	return out
}

// objectFractions returns the fraction of the objects of this VM's callers that is placed
// in each zone. Where the zones of the region share copies it adds up the fractions of all
// of them, so that all VMs of the region return the same.
func (s *Selector) objectFractions(now time.Time, svc *service, route namer.Route) map[namer.Zone]float64 {
	fractions := make(map[namer.Zone]float64)
	sp := s.spreaders[svc.Name]
	if sp == nil {
		return fractions
	}
	zones := []namer.Zone{s.self.Zone}
	if s.SharesCopies(now, route, svc.Name) {
		zones = s.regionZones
	}
	for _, zone := range zones {
		for _, p := range sp.Shares(zone) {
			fractions[p.Zone] += p.Fraction
		}
	}
	return fractions
}
