package selector

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/copier"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
)

// rateAge is the half-life of a rate. It is long against a burst, which should
// not move objects, and short against a day's rise and fall.
const rateAge = 4 * time.Second

type (
	rateKey struct {
		route   namer.Route
		service namer.Service
	}

	// rate counts requests, fading.
	rate struct {
		count float64
		at    time.Time
		begun time.Time
		work  time.Duration

		// copier counts the objects, bytes is the size of a request with its answer.
		copier  *copier.Copier
		bytes   float64
		apart   bool
		decided time.Time
	}
)

// RecordArrival counts a caller's request. Object is empty where it is about none.
func (s *Selector) RecordArrival(now time.Time, r *parser.Route, service namer.Service, object string) {
	key := rateKey{route: r.Name, service: service}
	known := s.rates[key]
	if known == nil {
		known = &rate{at: now, begun: now, copier: copier.New()}
		s.rates[key] = known
	}
	known.fade(now)
	known.count++
	known.work = s.work(r)
	if object != "" {
		known.copier.Count(now, xxhash.Sum64String(object))
	}
}

// Demand returns the slots that this VM's callers need, as far as objects are
// warm.
func (s *Selector) Demand(now time.Time) map[namer.Service]float64 {
	needs := make(map[namer.Service]float64)
	for key, r := range s.rates {
		r.fade(now)
		if r.count < 0.01 {
			delete(s.rates, key)
			continue
		}
		needs[key.service] += r.perSecond(now) * r.work.Seconds()
	}
	return needs
}

// UpdatePlacements takes over what each zone's callers need of each service.
func (s *Selector) UpdatePlacements(now time.Time, needs map[namer.Service]map[namer.Zone]float64) {
	for name, svc := range s.services {
		if s.spreads[name] == nil {
			s.spreads[name] = spreader.New()
		}
		s.spreads[name].Update(now, s.loads(svc, needs[name]))
	}
}

// Placements returns where objects belong, by service.
func (s *Selector) Placements() map[namer.Service]spreader.Placement {
	out := make(map[namer.Service]spreader.Placement, len(s.spreads))
	for name, sp := range s.spreads {
		out[name] = sp.Placement()
	}
	return out
}

// RestorePlacement takes over where a service's objects belonged before a restart, unless
// that was worked out here already.
func (s *Selector) RestorePlacement(now time.Time, name namer.Service, p spreader.Placement) bool {
	if s.spreads[name] != nil {
		return false
	}
	s.spreads[name] = spreader.New()
	s.spreads[name].Restore(now, p)
	return true
}

func (s *Selector) loads(svc *service, needs map[namer.Zone]float64) []spreader.Load {
	loads := make([]spreader.Load, 0, len(s.self.Regions))
	for zone, region := range s.self.Regions {
		loads = append(loads, spreader.Load{Zone: zone, Region: region, Slots: svc.slots[zone], Need: needs[zone]})
	}
	return loads
}

func (r *rate) fade(now time.Time) {
	r.count *= halved(now.Sub(r.at), rateAge)
	r.at = now
}

// perSecond corrects for the time before the first request.
func (r *rate) perSecond(now time.Time) float64 {
	// A steady rate of one a second adds up to this count in the long run.
	const full = 1.4427 * float64(rateAge) / float64(time.Second)
	seen := 1 - halved(now.Sub(r.begun), rateAge)
	return r.count / (full * max(seen, 0.1))
}
