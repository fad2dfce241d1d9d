package selector

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/copier"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
)

// rateHalfLife is the half-life of a request rate. It is long compared with a burst,
// which should not move objects, and short compared with the daily rise and fall.
const rateHalfLife = 4 * time.Second

type (
	statsKey struct {
		route   namer.Route
		service namer.Service
	}

	// routeStats describes the requests of a route to a service.
	routeStats struct {
		// decayedCount is the number of requests, with exponential decay.
		decayedCount   float64
		updated        time.Time
		started        time.Time
		processingTime time.Duration

		// copier counts requests and distinct objects.
		copier *copier.Copier
		// bytesPerRequest is the mean size of a request with its response.
		bytesPerRequest float64
		// zoneCopies says that each zone keeps its own copies of the objects.
		zoneCopies bool
		decidedAt  time.Time
	}
)

// RecordArrival counts a caller's request. The object is empty when the request is about
// none.
func (s *Selector) RecordArrival(now time.Time, r *parser.Route, service namer.Service, object string) {
	key := statsKey{route: r.Name, service: service}
	stats := s.stats[key]
	if stats == nil {
		stats = &routeStats{updated: now, started: now, copier: copier.New()}
		s.stats[key] = stats
	}
	stats.decay(now)
	stats.decayedCount++
	stats.processingTime = s.processingTime(r)
	if object != "" {
		stats.copier.Count(now, xxhash.Sum64String(object))
	}
}

// Demand returns the slots that this VM's callers need of each service if all objects
// are warm: request rate times processing time.
func (s *Selector) Demand(now time.Time) map[namer.Service]float64 {
	demand := make(map[namer.Service]float64)
	for key, r := range s.stats {
		r.decay(now)
		if r.decayedCount < 0.01 {
			delete(s.stats, key)
			continue
		}
		demand[key.service] += r.perSecond(now) * r.processingTime.Seconds()
	}
	return demand
}

// UpdatePlacements recomputes where objects belong from each zone's demand for each
// service.
func (s *Selector) UpdatePlacements(now time.Time, demand map[namer.Service]map[namer.Zone]float64) {
	for name, svc := range s.services {
		if s.spreaders[name] == nil {
			s.spreaders[name] = spreader.New()
		}
		s.spreaders[name].Update(now, s.zoneLoads(svc, demand[name]))
	}
}

// Placements returns the placement of each service's objects.
func (s *Selector) Placements() map[namer.Service]spreader.Placement {
	out := make(map[namer.Service]spreader.Placement, len(s.spreaders))
	for name, sp := range s.spreaders {
		out[name] = sp.Placement()
	}
	return out
}

// RestorePlacement sets a service's placement to the one from before a restart, unless a
// placement has been computed since. It reports whether it did.
func (s *Selector) RestorePlacement(now time.Time, name namer.Service, p spreader.Placement) bool {
	if s.spreaders[name] != nil {
		return false
	}
	s.spreaders[name] = spreader.New()
	s.spreaders[name].Restore(now, p)
	return true
}

func (s *Selector) zoneLoads(svc *service, demand map[namer.Zone]float64) []spreader.Load {
	loads := make([]spreader.Load, 0, len(s.self.Regions))
	for zone, region := range s.self.Regions {
		loads = append(loads, spreader.Load{Zone: zone, Region: region, Slots: svc.slots[zone], Demand: demand[zone]})
	}
	return loads
}

func (r *routeStats) decay(now time.Time) {
	r.decayedCount *= decayFactor(now.Sub(r.updated), rateHalfLife)
	r.updated = now
}

// perSecond returns the request rate, corrected for the time before the first request.
func (r *routeStats) perSecond(now time.Time) float64 {
	// With a steady rate of one request per second the decayed count converges to
	// this value; 1.4427 is 1/ln 2.
	const steadyCount = 1.4427 * float64(rateHalfLife) / float64(time.Second)
	observed := 1 - decayFactor(now.Sub(r.started), rateHalfLife)
	return r.decayedCount / (steadyCount * max(observed, 0.1))
}
