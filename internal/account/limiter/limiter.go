// Package limiter divides the limit of a client account among the entry VMs, so that all of
// them together stay within a bound in any window, and what lies within the limit is served.
// It is pure: time is an argument, and there is no I/O and no goroutine.
//
// The load that it answers: accounts of very different size, most of which send less than
// one request a second to each VM, so that a fixed share of the limit for each VM would be
// below one request.
//
// A token is the permission to send one request. Each zone generates a share of an account's
// tokens at one VM, the zone's Keeper of the account. A VM that takes tokens holds them in a
// Stock, where they expire. Terms derives the rate, the depth of a keeper's level and the life
// of a token from the limit and the bound.
//
// # Why the sum holds
//
// The potential of a zone is the sum of the levels that all its VMs hold for an account. While
// all of the zone's VMs hear each other, one of them is confirmed as keeper, and its level rises
// at the zone's rate up to the zone's depth. If the zone is divided, there is a keeper on each
// side, with a share of the rate and of the depth by the VMs that it hears; the shares add up to
// at most 1. The level of a VM that isn't confirmed falls at the whole rate. So the potential
// doesn't rise while such a level is above 0, and is at most the depth otherwise: it never
// exceeds the depth, and in any time t the zone gives out at most depth + rate*t tokens. A token
// that left a level never enters one again: it is spent within HoldTime and Life of that, or
// expires. So the requests of a window W are at most the tokens given out in
// W + HoldTime + Life + SendTime, whatever is lost, delayed or repeated.
// Terms chooses the depth by this sum, with a reserve for zones in which two VMs generate
// because their views of the members differ in another way.
//
// The VMs before a start of all may have spent the whole depth. So what a zone begins with after
// such a start is set aside from the depth, for one such start in a window.
//
// # Usage
//
//	limit := terms.Limit(account.Rate, account.Burst)
//	k := limiter.NewKeeper(now, limit)
//	k.Look(now, sight, timing) // several times a second
//	count := k.Give(now, need, ahead)
//	stock.Add(count, askedAt.Add(limit.Life))
//	if stock.Spend(now) {
//		// Send the request.
//	}
package limiter

import (
	"math"
	"time"
)

// HoldTime is how long a keeper may hold tokens that it borrowed, from its request on. It
// covers a round trip between distant regions and a VM that gets no processor time meanwhile.
const HoldTime = 100 * time.Millisecond

const (
	// minLife and maxLife bound the life of a token at a VM. A shorter one would expire on
	// its way; a longer one would leave too much to VMs that no longer need it.
	minLife = 100 * time.Millisecond
	maxLife = 500 * time.Millisecond
	// heldFraction and reserveFraction are the largest parts of what the bound allows beyond
	// rate and burst that are spent on tokens that VMs hold, and on the reserve for a zone in
	// which two VMs generate.
	heldFraction    = 0.6
	reserveFraction = 0.15
	// depthFraction is the part of the burst that may be spent at once. The rest of what the
	// bound allows raises the rate: the bound is on windows, in each of which the burst is
	// allowed anew, and a steady excess is more common than a burst within a second.
	depthFraction = 0.4
	// startFraction is the largest part of what the bound allows beyond the rate, and
	// startBurst the part of the burst, that are set aside for a start of all VMs.
	startFraction = 0.2
	startBurst    = 0.05
	// minDepth is the least depth of a zone, in tokens: the keeper of a zone of which a part
	// fell silent still has whole tokens to give.
	minDepth = 2
	// usualDepth is the depth of a zone, in tokens, of an account with a small burst: enough
	// for requests that come together by chance.
	usualDepth = 3
)

type (
	// Terms holds how closely limits are kept. In any Window, an account may send
	// (rate*Window + burst) * (1+Overage) + Slack requests. Zones is the number of zones.
	// SendTime is the longest time between spending a token and sending the request.
	Terms struct {
		Window   time.Duration
		Overage  float64
		Slack    int
		Zones    int
		SendTime time.Duration
	}

	// Limit is the share of an account's limit that each of Generators zones generates. Rate
	// is in tokens per second, Depth is the largest number of unspent tokens.
	Limit struct {
		Rate       float64
		Depth      float64
		Generators int
		// Start is the level with which a zone begins whose VMs have all just started. Small
		// accounts would otherwise have no whole token for a second or more.
		Start float64
		// Life is how long a token may be spent after it was asked for.
		Life time.Duration
	}
)

// Bound returns the largest number of requests that an account may send in a window.
func (t Terms) Bound(rate, burst int) float64 {
	return (float64(rate)*t.Window.Seconds()+float64(burst))*(1+t.Overage) + float64(t.Slack)
}

// Limit returns the share of an account's limit that each zone generates. Where the bound allows
// it, the rate is at least the account's, and in a window no less is given than the limit allows
// there. If the depth would be less than minDepth for each zone, fewer zones generate. If the
// bound leaves too little for one token beside the rate, the rate is reduced.
func (t Terms) Limit(rate, burst int) Limit {
	r, window := float64(rate), t.Window.Seconds()
	bound := t.Bound(rate, burst)
	beyond := max(0, bound-r*window-float64(burst))
	fixed := (HoldTime + t.SendTime).Seconds()
	life := min(max(heldFraction*beyond/r-fixed, minLife.Seconds()), maxLife.Seconds())
	reserve := min(r*window/float64(max(t.Zones, 1)), reserveFraction*beyond)
	counted := window + fixed + life
	zones := float64(max(t.Zones, 1))
	// What the bound leaves beside the account's rate.
	spare := max(bound-reserve-r*counted, 1)
	start := max(0, min(startFraction*spare, startBurst*float64(burst)+zones, spare-usualDepth*zones))
	depth := min(spare-start, max(depthFraction*float64(burst), usualDepth*zones))
	r = max(0, (bound-reserve-start-depth)/counted)
	generators := min(max(t.Zones, 1), max(int(depth/minDepth), 1))
	return Limit{
		Rate:       r / float64(generators),
		Depth:      depth / float64(generators),
		Generators: generators,
		Start:      start / float64(generators),
		Life:       time.Duration(life * float64(time.Second)),
	}
}

// IdleTime is the time in which a level falls from the depth to 0.
func (l Limit) IdleTime() time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(l.Depth / l.Rate * float64(time.Second)))
}
