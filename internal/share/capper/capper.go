// Package capper limits the traffic that is shifted into a zone. It admits at most a
// given weight in any window of the given length (a sliding window), counted where the
// traffic arrives.
//
// # Usage
//
//	c := capper.New(now)
//	c.SetLimit(now, limit, window)
//	if !c.Admit(now, weight) {
//		// Refuse the request: it did not run.
//	}
package capper

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// Capper keeps the weight that was admitted in the window that ends now.
	Capper struct {
		now        time.Time
		admitsFrom time.Time
		started    time.Time
		limited    bool
		limit      namer.Weight
		window     time.Duration
		used       namer.Weight
		admissions []admission
	}

	admission struct {
		at     time.Time
		weight namer.Weight
	}
)

// New returns a capper without a limit.
func New(now time.Time) *Capper {
	return &Capper{now: now, started: now}
}

// SetLimit sets the weight that is admitted in any window. A process that has just
// started doesn't know what its predecessor admitted, so it admits nothing until a
// whole window has passed since its start. The same holds after the window was made
// longer, because admissions that left the shorter window are no longer known.
func (c *Capper) SetLimit(now time.Time, limit namer.Weight, window time.Duration) {
	c.now = namer.Later(c.now, now)
	if c.limited && window > c.window {
		c.started = c.now
	}
	c.limited = true
	c.limit = limit
	c.window = window
	c.admitsFrom = c.started.Add(window)
}

// ClearLimit removes the limit.
func (c *Capper) ClearLimit() {
	c.limited = false
	c.admissions = nil
	c.used = 0
}

// Admit reports whether the weight is within the limit, and counts it if so.
func (c *Capper) Admit(now time.Time, weight namer.Weight) bool {
	if !c.limited {
		return true
	}
	c.now = namer.Later(c.now, now)
	c.expire()
	if c.now.Before(c.admitsFrom) || c.used+weight > c.limit {
		return false
	}
	c.used += weight
	c.admissions = append(c.admissions, admission{at: c.now, weight: weight})
	return true
}

// Used returns the weight that was admitted in the window that ends now.
func (c *Capper) Used(now time.Time) namer.Weight {
	c.now = namer.Later(c.now, now)
	c.expire()
	return c.used
}

func (c *Capper) expire() {
	for len(c.admissions) > 0 && c.now.Sub(c.admissions[0].at) >= c.window {
		c.used -= c.admissions[0].weight
		c.admissions = c.admissions[1:]
	}
}
