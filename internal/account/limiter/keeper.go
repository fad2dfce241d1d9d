package limiter

import (
	"math"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	// aheadFraction is the part of what is left that a keeper gives ahead of need, so that
	// the VMs that ask first don't empty it.
	aheadFraction = 0.25
	// unconfirmedWait is the time until the next token that a VM tells if it isn't confirmed as
	// keeper and doesn't know when it will be.
	unconfirmedWait = 250 * time.Millisecond
	// levelError is more than the rounding error of a level.
	levelError = 1e-9
)

// Keeper holds a zone's level of an account's tokens at one VM. A new one is empty.
type Keeper struct {
	limit          Limit
	level          float64
	at             time.Time
	confirmedUntil time.Time
	// share is the share of the zone's rate and depth that the confirmation is for.
	share  float64
	tenure tenure
}

// NewKeeper returns an empty keeper that isn't confirmed.
func NewKeeper(now time.Time, limit Limit) *Keeper {
	return &Keeper{limit: limit, at: now, confirmedUntil: now}
}

// SetLimit replaces the limit. A lower one cuts the level.
func (k *Keeper) SetLimit(now time.Time, limit Limit) {
	k.advance(now)
	k.limit = limit
	k.level = min(k.level, limit.Depth)
}

// Confirm lets the level rise until the given time, because this VM is the only keeper of the
// account in a part of its zone.
func (k *Keeper) Confirm(now, until time.Time, share float64) {
	k.advance(now)
	k.confirmedUntil = namer.Later(k.confirmedUntil, until)
	k.share = share
	k.level = min(k.level, share*k.limit.Depth)
}

// Revoke lets the level fall from now on, because another VM may be the keeper.
func (k *Keeper) Revoke(now time.Time) {
	k.advance(now)
	if k.confirmedUntil.After(k.at) {
		k.confirmedUntil = k.at
	}
}

// Give subtracts and returns tokens: up to need, and up to ahead of a part of what is left.
func (k *Keeper) Give(now time.Time, need, ahead int) int {
	k.advance(now)
	whole := int(k.level + levelError)
	count := min(max(need, 0), whole)
	if count == need {
		count += min(max(ahead, 0), int(aheadFraction*float64(whole-count)))
	}
	k.level = max(0, k.level-float64(count))
	return count
}

// Wait returns the time until the next token, as far as this VM knows.
func (k *Keeper) Wait(now time.Time) time.Duration {
	k.advance(now)
	missing := 1 - k.level
	share, begins := k.share, time.Duration(0)
	if !k.confirmedUntil.After(k.at) {
		share, begins = k.tenure.heard, k.tenure.from.Sub(k.at)
	}
	switch {
	case missing <= levelError:
		return 0
	case k.limit.Rate <= 0 || share <= 0 || begins < 0:
		return unconfirmedWait
	}
	return begins + time.Duration(math.Ceil(missing/(share*k.limit.Rate)*float64(time.Second)))
}

// Level returns the number of tokens, of which only whole ones are given.
func (k *Keeper) Level(now time.Time) float64 {
	k.advance(now)
	return k.level
}

// advance lets the level rise up to the end of the confirmation and fall after it. A clock
// that goes back stands still.
func (k *Keeper) advance(now time.Time) {
	if now.After(k.at) && k.confirmedUntil.After(k.at) {
		end := now
		if k.confirmedUntil.Before(end) {
			end = k.confirmedUntil
		}
		k.level = min(k.share*k.limit.Depth, k.level+k.share*k.limit.Rate*end.Sub(k.at).Seconds())
		k.at = end
	}
	if now.After(k.at) {
		k.level = max(0, k.level-k.limit.Rate*now.Sub(k.at).Seconds())
		k.at = now
	}
}
