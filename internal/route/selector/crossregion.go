package selector

import "time"

const (
	// crossRegionWindow is the length of the windows whose cross-region fractions
	// the platform compares.
	crossRegionWindow = 2 * time.Second
	// maxCrossRegionIncrease is how much the fraction of requests that are sent
	// outside their object's region may grow from one window to the next. It is
	// half of the shift that users allow; the other half is left for objects whose
	// placement moves and for random variation.
	maxCrossRegionIncrease = 0.075
	// minCrossRegionAllowance is the number of requests that may leave their
	// region in any window, so that a VM with little traffic can send single ones.
	minCrossRegionAllowance = 2
)

// crossRegionLimiter limits how fast the fraction of requests grows that are sent
// outside the region that their object belongs to because its upstreams there are
// busy. It counts requests in consecutive windows.
type crossRegionLimiter struct {
	windowStart time.Time
	current     window
	previous    window
}

type window struct {
	requests    int
	crossRegion int
}

// allow reports whether another request may leave its object's region. A window that
// has just begun is expected to get at least as many requests as the previous one.
func (l *crossRegionLimiter) allow(now time.Time) bool {
	l.advance(now)
	fraction := maxCrossRegionIncrease
	if l.previous.requests > 0 {
		fraction += float64(l.previous.crossRegion) / float64(l.previous.requests)
	}
	return l.current.crossRegion < minCrossRegionAllowance || float64(l.current.crossRegion+1) <= fraction*float64(max(l.current.requests+1, l.previous.requests))
}

// record counts a request that is sent.
func (l *crossRegionLimiter) record(now time.Time, crossRegion bool) {
	l.advance(now)
	l.current.requests++
	if crossRegion {
		l.current.crossRegion++
	}
}

// advance starts a new window when the current one has ended.
func (l *crossRegionLimiter) advance(now time.Time) {
	age := now.Sub(l.windowStart)
	switch {
	case l.windowStart.IsZero() || age >= 2*crossRegionWindow:
		*l = crossRegionLimiter{windowStart: now}
	case age >= crossRegionWindow:
		*l = crossRegionLimiter{windowStart: l.windowStart.Add(crossRegionWindow), previous: l.current}
	}
}
