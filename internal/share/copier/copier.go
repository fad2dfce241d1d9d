// Package copier decides whether the zones of a region keep copies of a route's
// objects each, or share one. A further copy costs one cold run; it saves the way to
// another zone, and the bytes on it, for each request that it serves while the object
// is remembered. Where an object is asked for seldom, copies would run cold only.
//
// It answers the pattern in which many objects are asked for seldom, and all of them
// are cold at once: after a start, or when upstreams were lost.
//
// The package is pure and not safe for concurrent use.
//
// # Usage
//
//	c := copier.New()
//	c.Count(now, object)
//	rate, objects, ok := c.Estimate(now)
//	if ok && copier.Pays(copier.Demand{Rate: rate * vms, Objects: objects, Work: work, Way: way, Bytes: bytes}) {
//		// Each zone keeps its own copies.
//	}
package copier

import (
	"math"
	"time"
)

const (
	// PaybackPeriod is the time in which a copy must pay for itself; upstreams that are
	// replaced and demand that shifts leave it no longer life.
	PaybackPeriod = 15 * time.Second
	// ColdExtraFactor is how much more work an object is that an upstream has not handled
	// lately, as a part of its warm work. Measured on trials: 1/0.3.
	ColdExtraFactor = 2.3
	// kilobyteTime is what a kilobyte between two zones weighs, in time.
	kilobyteTime = 5 * time.Millisecond
	// shortest is the part of the horizon below which nothing is said.
	shortest = 0.4
	// objectsMost bounds the objects that are told apart in a horizon.
	objectsMost = 8192
)

type (
	// Demand is what is asked of a route's objects in a zone.
	Demand struct {
		// Rate is the zone's requests a second, Objects how many objects they are for.
		Rate    float64
		Objects float64
		// WarmDuration is a warm request's time at its upstream, Way the time to another
		// zone of the region and back, Bytes what a request and its answer have.
		WarmDuration    time.Duration
		RoundTrip       time.Duration
		BytesPerRequest float64
	}

	// Copier counts the requests for a route's objects on one VM.
	Copier struct {
		current window
		last    window
	}

	// window is what was counted in a time.
	window struct {
		begun    time.Time
		length   time.Duration
		requests int
		objects  map[uint64]struct{}
	}
)

// New returns a copier that has counted nothing.
func New() *Copier {
	return &Copier{}
}

// PaysOff reports whether a copy in each zone saves more than it costs.
func PaysOff(d Demand) bool {
	if d.Objects <= 0 {
		return false
	}
	served := d.Rate / d.Objects * PaybackPeriod.Seconds()
	saved := d.RoundTrip + time.Duration(d.BytesPerRequest/1024*float64(kilobyteTime))
	return served*saved.Seconds() > ColdExtraFactor*d.WarmDuration.Seconds()
}

// Count counts a request for an object, which is given by its hash.
func (c *Copier) Count(now time.Time, object uint64) {
	if c.current.objects == nil || now.Sub(c.current.begun) >= PaybackPeriod {
		c.last = c.current
		c.last.length = now.Sub(c.last.begun)
		c.current = window{begun: now, objects: make(map[uint64]struct{})}
	}
	c.current.requests++
	if len(c.current.objects) < objectsMost {
		c.current.objects[object] = struct{}{}
	}
}

// Estimate returns the requests a second and the number of objects that they are drawn
// from, or false while too little is known.
func (c *Copier) Estimate(now time.Time) (rate, objects float64, ok bool) {
	w := c.last
	if w.objects == nil || w.length > 2*PaybackPeriod {
		w = c.current
		w.length = now.Sub(w.begun)
	}
	if w.requests == 0 || w.length.Seconds() < shortest*PaybackPeriod.Seconds() {
		return 0, 0, false
	}
	return float64(w.requests) / w.length.Seconds(), drawnFrom(w.requests, len(w.objects)), true
}

// drawnFrom returns from how many objects a number of requests came, when they were for
// so many different ones and each was as likely: some have not been asked for yet.
func drawnFrom(requests, different int) float64 {
	n, d := float64(requests), float64(different)
	if different >= requests {
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
