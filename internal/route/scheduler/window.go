package scheduler

import (
	"math"
	"time"
)

const (
	// maxLoad is the number of requests at the upstreams, per slot, up to which a VM sends
	// more. What waits at an upstream can't be overtaken by what is more urgent. At a
	// lower mean load, some upstreams have free slots while requests wait for others.
	maxLoad = 1.8
	// loadHalfLife is the half-life of the mean load and of the mean number of requests in
	// flight, about the time that a request takes.
	loadHalfLife = 300 * time.Millisecond
	// staleHalfLife is the half-life of the mean load while no upstream reports any.
	staleHalfLife = time.Second
)

type (
	// window limits a VM's requests in flight, so that all VMs together keep the upstreams
	// near maxLoad. They don't ask each other: all see the same load, and each scales what it
	// has in flight by how far the load is from maxLoad, so that the sum scales alike.
	window struct {
		slots    float64
		load     mean
		inFlight mean
	}

	// mean is an exponentially weighted mean over time.
	mean struct {
		sum    float64
		weight float64
		at     time.Time
	}

	// rate is an exponentially decaying count of events.
	rate struct {
		events  float64
		at      time.Time
		started time.Time
	}
)

// limit returns the number of requests that may be in flight.
func (w *window) limit(now time.Time) float64 {
	if w.load.weight == 0 {
		return math.Inf(1)
	}
	load := w.load.value() * halfLife(now.Sub(w.load.at), staleHalfLife)
	own := w.inFlight.value()
	if load <= maxLoad {
		return own + 1 + (maxLoad-load)*w.slots
	}
	return own*maxLoad/load + 1
}

// recordInFlight records the number of this VM's requests in flight.
func (w *window) recordInFlight(now time.Time, n int) {
	w.inFlight.record(now, float64(n), 1)
}

// reportLoad records the load that an upstream reported. A busy upstream sends more responses
// than another one, so its reports weigh less.
func (w *window) reportLoad(now time.Time, requests, slots float64) {
	w.load.record(now, requests/slots, 1/min(requests+1, slots))
}

func (m *mean) record(now time.Time, value, weight float64) {
	left := halfLife(now.Sub(m.at), loadHalfLife)
	m.sum = m.sum*left + value*weight
	m.weight = m.weight*left + weight
	m.at = now
}

func (m *mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

func (r *rate) count(now time.Time) {
	if r.started.IsZero() {
		r.started = now
	}
	r.events = r.events*halfLife(now.Sub(r.at), rateHalfLife) + 1
	r.at = now
}

// perSecond returns the rate, corrected for the time before the first event.
func (r *rate) perSecond(now time.Time) float64 {
	if r.started.IsZero() {
		return 0
	}
	// A steady rate of one event per second converges to this count; 1.4427 is 1/ln 2.
	const steady = 1.4427 * float64(rateHalfLife) / float64(time.Second)
	observed := 1 - halfLife(now.Sub(r.started), rateHalfLife)
	return r.events * halfLife(now.Sub(r.at), rateHalfLife) / (steady * max(observed, 0.1))
}

// halfLife returns the factor by which a value decays in a time.
func halfLife(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(half))
}
