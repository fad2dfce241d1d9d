package selector

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	// coldFactorLimit bounds what one sample says about the secondary upstreams of a route.
	coldFactorLimit = coldFactor
	// hostHalfLife is the half-life of the slowness that an upstream reported of its host,
	// which other work there changes within a second.
	hostHalfLife = 300 * time.Millisecond
	// medianSize is the number of samples of which the median counts. One request that takes
	// long at any upstream doesn't make its upstream a slow one.
	medianSize = 3
)

type (
	// hostReport is how slow an upstream's host was, as a multiple of its usual time.
	//
	// It handles hosts that other work slows down for moments, a few of them at a time.
	hostReport struct {
		slowness float64
		at       time.Time
	}

	// routeTimes are the expected processing times of a route's requests.
	routeTimes struct {
		// usual is that of a warm request at a primary upstream.
		usual time.Duration
		// secondaryFactor is that at a secondary upstream, as a multiple of usual.
		secondaryFactor float64
	}

	// recentRatios holds the last samples of an upstream's slowness.
	recentRatios struct {
		ratios [medianSize]float64
		count  int
	}
)

// expected returns the expected slowness of the host, which approaches the usual one as the report
// gets older.
func (h hostReport) expected(now time.Time) float64 {
	if h.at.IsZero() {
		return 1
	}
	return 1 + (h.slowness-1)*decayFactor(now.Sub(h.at), hostHalfLife)
}

// add adds a sample and returns the median of the last ones, or 1 while there are too few.
func (r *recentRatios) add(ratio float64) float64 {
	r.ratios[r.count%medianSize] = ratio
	r.count++
	if r.count < medianSize {
		return 1
	}
	a, b, c := r.ratios[0], r.ratios[1], r.ratios[2]
	return max(min(a, b), min(max(a, b), c))
}

// recordProcessingTime updates the route's usual processing time, the upstream's slowness, and
// how much longer secondary upstreams take. It leaves out requests that had to queue or that
// met a cold object or a cold upstream. A sample of three times the usual or more doesn't
// change the usual time.
func (s *Selector) recordProcessingTime(now time.Time, d Decision, sample time.Duration) {
	if sample <= 0 || !d.warm || !d.freeSlot || d.upstream.isCold(now) {
		return
	}
	u := d.upstream
	if u.host.slowness > 0 && u.host.at.Equal(now) {
		sample = time.Duration(float64(sample) / u.host.slowness)
	}
	usual, ok := s.processingTimes[d.route]
	if !ok {
		s.processingTimes[d.route] = sample
		return
	}
	ratio := min(float64(sample)/float64(max(usual, time.Millisecond)), maxSlowness)
	if d.Reason == ReasonSecondary {
		factor := s.secondaryFactor(d.route)
		s.secondaryFactors[d.route] = max(1, factor+latencySmoothingFactor*(min(ratio, coldFactorLimit)-factor))
		ratio /= factor
	} else if ratio < 3 {
		s.processingTimes[d.route] = usual + time.Duration(latencySmoothingFactor*float64(sample-usual))
	}
	u.slowness += slownessSmoothingFactor * (u.recent.add(ratio) - u.slowness)
}

// timesOf returns the expected processing times of a route's requests.
func (s *Selector) timesOf(r *parser.Route) routeTimes {
	return routeTimes{usual: s.processingTime(r), secondaryFactor: s.secondaryFactor(r.Name)}
}

// secondaryFactor returns the processing time of a route's requests at secondary upstreams, as
// a multiple of that at primary ones. Objects that are seldom requested are cold there.
func (s *Selector) secondaryFactor(route namer.Route) float64 {
	return max(1, s.secondaryFactors[route])
}
