// Package starter finds the pace at which an upstream gets requests after it has started or
// recovered, from how it answers.
//
// It handles upstreams that come back with empty caches. If such an upstream counts like the
// others at once, all that waits is sent to it and comes late; if it is kept away for a fixed time,
// it is idle while others are full. The pace is this VM's limit on requests in flight there. It
// begins at one request and doubles with each good response, up to the upstream's slots, and then
// ends. A refusal, a failure or a response that is far slower than expected halves it, but never to
// less than one request, so that the upstream isn't left idle. Without responses the pace rises
// with time.
//
// A process that was running when this VM learned of it has no pace: there is no ramp at the start
// of a whole system. The package does no I/O, and its types are not safe for concurrent use.
//
// # Usage
//
//	p.Begin(coldUntil, slots, &counts)
//	if p.Allows(now, inFlight) {
//		// Send.
//		p.Record(now, starter.Judge(latency, expected), &counts)
//	}
package starter

import (
	"math"
	"time"
)

// The outcomes of a request.
const (
	// Good is a response about as fast as expected.
	Good Outcome = iota
	// Slow is a response that is slower, but no sign that the upstream is overloaded.
	Slow
	// Bad is a refusal, a failure, or a response that is far slower than expected.
	Bad
)

const (
	// initialLimit and minLimit are requests in flight. The upstream is never left idle.
	initialLimit = 1.0
	minLimit     = 1.0
	// stepFactor is by which a good response raises, and a bad one lowers, the limit.
	stepFactor = 2.0
	// doublingTime is how long the limit takes to double without responses.
	doublingTime = 500 * time.Millisecond
	// goodRatio and badRatio bound the latency of a good response, and that of one that is not
	// bad, as multiples of the expected one. A process that has just started may be slower for
	// some seconds.
	goodRatio = 2.0
	badRatio  = 4.0
)

type (
	// Outcome is how an upstream answered a request.
	Outcome int

	// Counts are the numbers of paces that have begun, and of the outcomes that raised or
	// lowered one.
	Counts struct {
		Begun int64
		Ups   int64
		Downs int64
	}

	// Pace is the pace of one process of an upstream. The zero value limits nothing.
	Pace struct {
		// limit is 0 when the pace has ended.
		limit   float64
		slots   float64
		updated time.Time
	}
)

// Judge returns the outcome of a response by its latency and the expected one, which is that of an
// object that the upstream has to load.
func Judge(latency, expected time.Duration) Outcome {
	switch ratio := float64(latency) / float64(max(expected, time.Millisecond)); {
	case ratio < goodRatio:
		return Good
	case ratio < badRatio:
		return Slow
	}
	return Bad
}

// Begin starts the pace anew. It rises by itself from a time on, which may be in the future.
func (p *Pace) Begin(from time.Time, slots int, c *Counts) {
	c.Begun++
	*p = Pace{limit: initialLimit, slots: float64(slots), updated: from}
}

// IsActive reports whether the pace has not ended.
func (p *Pace) IsActive(now time.Time) bool {
	p.update(now)
	return p.limit > 0
}

// Allows reports whether this VM may have another request in flight.
func (p *Pace) Allows(now time.Time, inFlight int) bool {
	return !p.IsActive(now) || float64(inFlight) < math.Floor(p.limit)
}

// Limit returns the limit on requests in flight, or 0 if there is none.
func (p *Pace) Limit(now time.Time) float64 {
	p.update(now)
	return p.limit
}

// Record moves the pace by an outcome, and counts that.
func (p *Pace) Record(now time.Time, o Outcome, c *Counts) {
	if !p.IsActive(now) {
		return
	}
	switch o {
	case Good:
		c.Ups++
		p.limit *= stepFactor
	case Bad:
		c.Downs++
		p.limit = max(minLimit, p.limit/stepFactor)
	}
	p.update(now)
}

// update raises the limit by the time that has passed, and ends the pace at the upstream's slots.
func (p *Pace) update(now time.Time) {
	if p.limit <= 0 {
		return
	}
	if passed := now.Sub(p.updated); passed > 0 {
		p.limit *= math.Exp2(float64(passed) / float64(doublingTime))
		p.updated = now
	}
	if p.limit >= p.slots {
		p.limit = 0
	}
}
