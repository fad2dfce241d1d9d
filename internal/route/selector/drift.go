package selector

import "time"

const (
	// driftWindow is the length of the windows that the platform compares.
	driftWindow = 2 * time.Second
	// driftRise is how much the part of requests that leave their object's
	// region may grow from one window to the next. It is half of the shift that
	// the users allow; the rest is for objects that move and for chance.
	driftRise = 0.075
	// driftFew is how many may leave in any window, so that single requests of a
	// quiet VM are not held back.
	driftFew = 2
)

// drift counts requests that are sent outside the region that their object
// belongs to, because its upstreams there are busy.
type drift struct {
	begun time.Time
	now   window
	last  window
}

type window struct {
	sent int
	away int
}

// allows reports whether another request may leave its object's region.
func (d *drift) allows(now time.Time) bool {
	d.turn(now)
	part := driftRise
	if d.last.sent > 0 {
		part += float64(d.last.away) / float64(d.last.sent)
	}
	return d.now.away < driftFew || float64(d.now.away+1) <= part*float64(max(d.now.sent+1, d.last.sent))
}

// count takes a request that is sent.
func (d *drift) count(now time.Time, away bool) {
	d.turn(now)
	d.now.sent++
	if away {
		d.now.away++
	}
}

func (d *drift) turn(now time.Time) {
	age := now.Sub(d.begun)
	switch {
	case d.begun.IsZero() || age >= 2*driftWindow:
		*d = drift{begun: now}
	case age >= driftWindow:
		*d = drift{begun: d.begun.Add(driftWindow), last: d.now}
	}
}
