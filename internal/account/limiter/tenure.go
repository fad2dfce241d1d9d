package limiter

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// confirmTime is how long a look at the members confirms a keeper. It is several times the
// interval of looks, so that a VM that is short of processor time stays keeper.
const confirmTime = 500 * time.Millisecond

// freshHeartbeats is the time after its start, in heartbeat intervals, in which a VM that
// becomes keeper is the first one after a start of all VMs.
const freshHeartbeats = 2

type (
	// Timing holds the times of the members' heartbeats.
	Timing struct {
		HeartbeatInterval time.Duration
		SuspectTimeout    time.Duration
	}

	// Sight is what a VM sees of its zone when it looks at the members.
	Sight struct {
		// First is whether the VM is the first of those alive in the account's order.
		First bool
		// Heard is the fraction of the zone's VMs that this VM hears, itself included.
		Heard float64
		// SilentSince is when a VM that precedes this one and fell silent was last heard, the
		// latest if there are several.
		SilentSince time.Time
		// FreshSince is when this VM started, if all VMs of the zone that it knows started at
		// about the same time, and zero otherwise.
		FreshSince time.Time
	}

	// tenure is what a VM has seen for the time that it is keeper by its own view.
	tenure struct {
		lookedAt time.Time
		// from is when the VM may be confirmed, or zero if it isn't keeper.
		from time.Time
		// fresh is whether the level is to begin with the limit's Start.
		fresh bool
		// generatesFrom is the time from which tokens count that are generated, at most from.
		generatesFrom time.Time
		// heard is the fraction of the zone that counts. A higher one counts only after a
		// heartbeat interval: risen is the lowest fraction since risingFrom, when it began to
		// be higher.
		heard      float64
		risen      float64
		risingFrom time.Time
	}
)

// Look confirms the keeper for a short time, or not, by what its VM sees. A new keeper waits
// until its predecessor's confirmation has run out: one that is alive hears of this VM within a
// heartbeat, and one that is cut off finds that out as other VMs find it silent. A VM that
// didn't look for longer than others take to find it silent begins anew. If all VMs of the zone
// have just started, none was confirmed since, so the time until the first confirmation counts,
// and the level begins with the limit's Start. A keeper that hears a
// fraction of its zone generates that share, so that the VMs of a divided zone generate no
// more than the zone.
func (k *Keeper) Look(now time.Time, s Sight, t Timing) {
	paused := now.Sub(k.tenure.lookedAt) > t.SuspectTimeout
	k.tenure.lookedAt = namer.Later(k.tenure.lookedAt, now)
	if !s.First || s.Heard <= 0 || paused {
		k.Revoke(now)
		k.tenure.from = time.Time{}
	}
	if !s.First || s.Heard <= 0 {
		return
	}
	if k.tenure.from.IsZero() {
		k.tenure.from = now.Add(t.HeartbeatInterval)
		if !s.SilentSince.IsZero() {
			k.tenure.from = namer.Later(k.tenure.from, s.SilentSince.Add(t.SuspectTimeout+t.HeartbeatInterval+confirmTime))
		}
		k.tenure.heard, k.tenure.risingFrom = s.Heard, time.Time{}
		k.tenure.generatesFrom = k.tenure.from
		k.tenure.fresh = !s.FreshSince.IsZero() && now.Sub(s.FreshSince) <= freshHeartbeats*t.HeartbeatInterval
		if !s.FreshSince.IsZero() && now.Sub(s.FreshSince) <= t.HeartbeatInterval {
			// Another VM may have been confirmed from a heartbeat interval after the start on.
			k.tenure.generatesFrom = namer.Later(s.FreshSince, k.tenure.from.Add(-t.HeartbeatInterval))
		}
	}
	k.tenure.hear(now, s.Heard, t.HeartbeatInterval)
	if now.Before(k.tenure.from) {
		return
	}
	k.Confirm(now, now.Add(confirmTime), k.tenure.heard)
	if k.tenure.fresh {
		k.tenure.fresh = false
		k.level = min(k.share*k.limit.Depth, k.level+k.share*k.limit.Start)
	}
	if k.tenure.generatesFrom.Before(k.tenure.from) {
		k.credit(k.tenure.from.Sub(k.tenure.generatesFrom))
		k.tenure.generatesFrom = k.tenure.from
	}
}

// credit adds what the zone would have generated in a time in which no VM was confirmed.
func (k *Keeper) credit(d time.Duration) {
	k.level = min(k.share*k.limit.Depth, k.level+k.share*k.limit.Rate*d.Seconds())
}

// hear takes over the fraction of the zone that is heard: a lower one at once, a higher one
// after a delay, in which the keeper of the other part of a zone that was divided hears of it.
func (t *tenure) hear(now time.Time, heard float64, delay time.Duration) {
	switch {
	case heard <= t.heard:
		t.heard, t.risingFrom = heard, time.Time{}
	case t.risingFrom.IsZero():
		t.risen, t.risingFrom = heard, now
	default:
		t.risen = min(t.risen, heard)
		if now.Sub(t.risingFrom) >= delay {
			t.heard, t.risingFrom = t.risen, time.Time{}
		}
	}
}
