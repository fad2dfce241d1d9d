// Package capper holds back traffic that is shifted into a zone. It admits at
// most a given weight within any window of the cap's length, counted where the
// traffic arrives.
//
// # Usage
//
//	c := capper.New(now)
//	c.Limit(now, share, window)
//	if !c.Admit(now, weight) {
//		// Refuse the request: it did not run.
//	}
package capper

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// Capper counts the weight admitted within the window that ends now.
	Capper struct {
		now     time.Time
		opens   time.Time
		started time.Time
		limited bool
		limit   namer.Weight
		window  time.Duration
		used    namer.Weight
		admits  []admit
	}

	admit struct {
		at     time.Time
		weight namer.Weight
	}
)

// New returns a capper without a limit.
func New(now time.Time) *Capper {
	return &Capper{now: now, started: now}
}

// SetLimit sets the weight allowed within any window. A process that has just
// started can't know what its predecessor admitted, so it admits nothing
// until a whole window has passed since its start. The same holds after a
// window was made longer, since what fell out of the shorter one is forgotten.
func (c *Capper) SetLimit(now time.Time, limit namer.Weight, window time.Duration) {
	c.now = namer.Later(c.now, now)
	if c.limited && window > c.window {
		c.started = c.now
	}
	c.limited = true
	c.limit = limit
	c.window = window
	c.opens = c.started.Add(window)
}

// ClearLimit takes the cap away.
func (c *Capper) ClearLimit() {
	c.limited = false
	c.admits = nil
	c.used = 0
}

// Admit reports whether the weight fits under the cap, and counts it if so.
func (c *Capper) Admit(now time.Time, weight namer.Weight) bool {
	if !c.limited {
		return true
	}
	c.now = namer.Later(c.now, now)
	c.expire()
	if c.now.Before(c.opens) || c.used+weight > c.limit {
		return false
	}
	c.used += weight
	c.admits = append(c.admits, admit{at: c.now, weight: weight})
	return true
}

// Used returns the weight admitted within the window that ends now.
func (c *Capper) Used(now time.Time) namer.Weight {
	c.now = namer.Later(c.now, now)
	c.expire()
	return c.used
}

func (c *Capper) expire() {
	for len(c.admits) > 0 && c.now.Sub(c.admits[0].at) >= c.window {
		c.used -= c.admits[0].weight
		c.admits = c.admits[1:]
	}
}
