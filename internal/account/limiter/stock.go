package limiter

import (
	"math"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	// maxBatches bounds the batches with different expiries in a stock.
	maxBatches = 4
	// arrivalTau is the time constant with which arrivals are averaged.
	arrivalTau = time.Second
	// expectedFraction is the part of the requests expected in the life of a token that a VM
	// asks tokens for ahead of need. minExpected is the number of expected requests below
	// which it asks for none, because most of them would expire.
	expectedFraction = 0.75
	minExpected      = 2
)

type (
	// Stock holds the tokens that a VM may spend, and averages the requests that need them.
	// The zero value is empty.
	Stock struct {
		now      time.Time
		batches  [maxBatches]batch
		used     int
		arrivals average
	}

	batch struct {
		count  int
		expiry time.Time
	}

	// average is the exponentially decaying count of events.
	average struct {
		at    time.Time
		count float64
	}
)

// Add adds tokens that expire at a time.
func (s *Stock) Add(now time.Time, count int, expiry time.Time) {
	s.expire(now)
	if count <= 0 || !expiry.After(s.now) {
		return
	}
	if s.used == maxBatches {
		// The later of two expiries would prolong the life of a token.
		last := &s.batches[maxBatches-1]
		last.count += count
		if expiry.Before(last.expiry) {
			last.expiry = expiry
		}
		return
	}
	s.batches[s.used] = batch{count: count, expiry: expiry}
	s.used++
}

// Spend spends a token, if there is one.
func (s *Stock) Spend(now time.Time) bool {
	return s.Take(now, 1) == 1
}

// Take removes and returns up to count tokens, the oldest first.
func (s *Stock) Take(now time.Time, count int) int {
	s.expire(now)
	taken := 0
	for i := range s.used {
		n := min(count-taken, s.batches[i].count)
		s.batches[i].count -= n
		taken += n
	}
	return taken
}

// Count returns the number of tokens.
func (s *Stock) Count(now time.Time) int {
	s.expire(now)
	sum := 0
	for _, b := range s.batches[:s.used] {
		sum += b.count
	}
	return sum
}

// Arrive counts requests that need tokens.
func (s *Stock) Arrive(now time.Time, requests int) {
	s.arrivals.add(now, float64(requests))
}

// Ahead returns the number of tokens to ask for ahead of need, if tokens have the given life.
func (s *Stock) Ahead(now time.Time, life time.Duration) int {
	expected := s.arrivals.rate(now) * life.Seconds()
	if expected < minExpected {
		return 0
	}
	return max(0, int(expectedFraction*expected)-s.Count(now))
}

// expire removes batches that are spent or have expired.
func (s *Stock) expire(now time.Time) {
	s.now = namer.Later(s.now, now)
	kept := 0
	for _, b := range s.batches[:s.used] {
		if b.count > 0 && b.expiry.After(s.now) {
			s.batches[kept] = b
			kept++
		}
	}
	s.used = kept
}

func (a *average) add(now time.Time, count float64) {
	a.decay(now)
	a.count += count
}

// rate returns the average per second.
func (a *average) rate(now time.Time) float64 {
	a.decay(now)
	return a.count / arrivalTau.Seconds()
}

func (a *average) decay(now time.Time) {
	if now.After(a.at) {
		a.count *= math.Exp(-now.Sub(a.at).Seconds() / arrivalTau.Seconds())
		a.at = now
	}
}
