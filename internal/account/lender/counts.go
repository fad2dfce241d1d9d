package lender

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	// maxCounted is the number of accounts with counts of their own: those with the most
	// requests. All others are counted as one, under restName.
	maxCounted = 10
	restName   = "rest"
	// recentTau is the time constant with which taken and refused requests are averaged.
	recentTau = time.Second
)

type (
	// Counts are the counts of a lender since its start. Calls counts the calls to keepers and
	// to other zones, Failed those without a reply. Borrowed and Lent are tokens from and to
	// other zones. Limited is the number of accounts that are limited now.
	Counts struct {
		Calls    int64
		Failed   int64
		Borrowed int64
		Lent     int64
		Limited  int
		Accounts map[namer.Account]AccountCounts
	}

	// AccountCounts are the requests of an account that got a token, and that were refused.
	AccountCounts struct {
		Taken   int64
		Refused int64
	}

	callCounts struct {
		calls    atomic.Int64
		failed   atomic.Int64
		borrowed atomic.Int64
		lent     atomic.Int64
	}

	// record counts the requests of an account. recentTaken and recentRefused decay.
	record struct {
		taken         int64
		refused       int64
		recentTaken   float64
		recentRefused float64
		at            time.Time
		refusedAt     time.Time
		limited       bool
	}
)

// Counts returns the counts since the start.
func (l *Lender) Counts() Counts {
	c := Counts{
		Calls: l.counts.calls.Load(), Failed: l.counts.failed.Load(),
		Borrowed: l.counts.borrowed.Load(), Lent: l.counts.lent.Load(),
		Accounts: make(map[namer.Account]AccountCounts),
	}
	type named struct {
		name namer.Account
		AccountCounts
	}
	var all []named
	for name, entry := range *l.accounts.Load() {
		entry.mu.Lock()
		r := entry.record
		entry.mu.Unlock()
		all = append(all, named{name, AccountCounts{Taken: r.taken, Refused: r.refused}})
		if r.limited {
			c.Limited++
		}
	}
	slices.SortFunc(all, func(a, b named) int {
		return cmp.Or(cmp.Compare(b.Taken+b.Refused, a.Taken+a.Refused), cmp.Compare(a.name, b.name))
	})
	for i, n := range all {
		if i >= maxCounted {
			n.name = restName
		}
		sum := c.Accounts[n.name]
		sum.Taken += n.Taken
		sum.Refused += n.Refused
		c.Accounts[n.name] = sum
	}
	return c
}

func (r *record) take(now time.Time) {
	r.decay(now)
	r.taken++
	r.recentTaken++
}

// refuse counts a refusal and reports whether it is the first since the account was limited
// last.
func (r *record) refuse(now time.Time) bool {
	r.decay(now)
	r.refused++
	r.recentRefused++
	r.refusedAt = now
	begins := !r.limited
	r.limited = true
	return begins
}

// endLimited reports whether the account has just ceased to be limited.
func (r *record) endLimited(now time.Time) bool {
	ends := r.limited && now.Sub(r.refusedAt) > limitedGrace
	r.limited = r.limited && !ends
	return ends
}

// excess returns how many requests were lately refused for each that was served.
func (r *record) excess(now time.Time) float64 {
	r.decay(now)
	return r.recentRefused / (1 + r.recentTaken)
}

func (r *record) decay(now time.Time) {
	if now.After(r.at) {
		factor := math.Exp(-now.Sub(r.at).Seconds() / recentTau.Seconds())
		r.recentTaken *= factor
		r.recentRefused *= factor
		r.at = now
	}
}
