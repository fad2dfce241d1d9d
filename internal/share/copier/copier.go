// Package copier decides whether the zones of a region each keep their own copy of
// a route's objects warm, or share one. Another copy costs one cold request. It saves
// the round trip to another zone, and the bytes sent there, for each request that it
// serves while the object stays warm. If objects are requested rarely, most requests
// to additional copies would be cold.
//
// It handles routes with many objects that are requested rarely, which are all cold
// at the same time after a start or when upstreams are lost.
//
// The package does no I/O, and its types are not safe for concurrent use.
//
// # Usage
//
//	c := copier.New()
//	c.Count(now, object)
//	rate, objects, ok := c.Estimate(now)
//	if ok && copier.PaysOff(copier.Workload{
//		Rate: rate * vms, Objects: objects, WarmDuration: warm, RTT: rtt, BytesPerRequest: bytes,
//	}) {
//		// Each zone keeps its own copies.
//	}
package copier

import (
	"math"
	"time"
)

const (
	// PaybackPeriod is the time in which a copy must save more than it costs. Copies
	// don't live longer, since upstreams are replaced and demand shifts.
	PaybackPeriod = 15 * time.Second
	// ColdExtraFactor is the extra work of a cold request, as a multiple of the work of
	// a warm one: in trials, a cold request took 1/0.3 times as long as a warm one.
	ColdExtraFactor = 2.3
	// crossZoneCostPerKB is the cost of sending a kilobyte between two zones, expressed
	// as time.
	crossZoneCostPerKB = 5 * time.Millisecond
	// minWindowFraction is the fraction of PaybackPeriod that must have been counted
	// before there is an estimate.
	minWindowFraction = 0.4
	// maxDistinctObjects limits the distinct objects that are remembered in a window.
	maxDistinctObjects = 8192
)

type (
	// Workload describes the requests for a route's objects in one zone.
	Workload struct {
		// Rate is the zone's requests per second; Objects is the number of objects that
		// they are for.
		Rate    float64
		Objects float64
		// WarmDuration is the time that a warm request takes at its upstream. RTT is
		// the round-trip time to another zone of the region. BytesPerRequest is the size
		// of a request and its response.
		WarmDuration    time.Duration
		RTT             time.Duration
		BytesPerRequest float64
	}

	// Copier counts the requests for a route's objects on one VM, in consecutive
	// windows of PaybackPeriod.
	Copier struct {
		current window
		last    window
	}

	// window holds the counts of one period.
	window struct {
		start    time.Time
		length   time.Duration
		requests int
		objects  map[uint64]struct{}
	}
)

// New returns a copier without counts.
func New() *Copier {
	return &Copier{}
}

// PaysOff reports whether a copy in each zone saves more than it costs within
// PaybackPeriod.
func PaysOff(w Workload) bool {
	if w.Objects <= 0 {
		return false
	}
	requestsPerObject := w.Rate / w.Objects * PaybackPeriod.Seconds()
	savedPerRequest := w.RTT + time.Duration(w.BytesPerRequest/1024*float64(crossZoneCostPerKB))
	return requestsPerObject*savedPerRequest.Seconds() > ColdExtraFactor*w.WarmDuration.Seconds()
}

// Count counts a request for an object, which is identified by its hash.
func (c *Copier) Count(now time.Time, object uint64) {
	if c.current.objects == nil || now.Sub(c.current.start) >= PaybackPeriod {
		c.last = c.current
		c.last.length = now.Sub(c.last.start)
		c.current = window{start: now, objects: make(map[uint64]struct{})}
	}
	c.current.requests++
	if len(c.current.objects) < maxDistinctObjects {
		c.current.objects[object] = struct{}{}
	}
}

// Estimate returns the requests per second and the number of objects that the route
// has, including those not requested yet. It uses the last complete window, or the
// current one if there is none or if the last one is longer than two periods; a window
// ends with the first request after PaybackPeriod. It returns false while too little
// was counted.
func (c *Copier) Estimate(now time.Time) (rate, objects float64, ok bool) {
	w := c.last
	if w.objects == nil || w.length > 2*PaybackPeriod {
		w = c.current
		w.length = now.Sub(w.start)
	}
	if w.requests == 0 || w.length.Seconds() < minWindowFraction*PaybackPeriod.Seconds() {
		return 0, 0, false
	}
	return float64(w.requests) / w.length.Seconds(), estimateObjects(w.requests, len(w.objects)), true
}

// estimateObjects returns the number of objects from which the given number of
// requests drew the given number of distinct ones. It assumes that all objects are
// equally likely: N requests to M objects are expected to hit M*(1-exp(-N/M))
// distinct ones, which it solves for M by bisection. If no object was requested twice,
// there is no bound on M, and it returns infinity.
func estimateObjects(requests, distinct int) float64 {
	n, d := float64(requests), float64(distinct)
	if distinct >= requests {
		return math.Inf(1)
	}
	low, high := d, d*n
	for range 50 {
		mid := (low + high) / 2
		if mid*-math.Expm1(-n/mid) < d {
			low = mid
		} else {
			high = mid
		}
	}
	return (low + high) / 2
}
