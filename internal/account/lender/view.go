package lender

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingloom/waxwingloom/internal/account/limiter"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

// freshSpread is how much the starts of VMs that start together may differ. It is the only time
// that is compared between clocks of VMs; an error gives a zone half a second's tokens too many.
const freshSpread = 500 * time.Millisecond

type (
	// peer is another VM, or this one.
	peer struct {
		vm          namer.VM
		hash        uint64
		address     string
		incarnation namer.Incarnation
	}

	// silentPeer is a VM of this zone that fell silent.
	silentPeer struct {
		hash  uint64
		since time.Time
	}

	// view is what this VM last saw of the members.
	view struct {
		// zone has the VMs of this zone that are alive, with this one unless it shuts down.
		zone   []peer
		silent []silentPeer
		// others has the VMs of each other zone that are alive, as far as they are known.
		others map[namer.Zone][]peer
		// heard is the fraction of the VMs of its zone that this VM hears, itself included.
		heard float64
		// fresh is whether the VMs of the zone started at about the same time.
		fresh bool
	}
)

// newView returns what self sees of the members.
func newView(self Self, own tracker.Member, members []tracker.Member) *view {
	v := &view{others: make(map[namer.Zone][]peer), fresh: true}
	if !own.Leaving {
		v.zone = append(v.zone, peer{vm: self.VM, hash: hashOf(string(self.VM))})
	}
	heard, known, largest := 1, 1, 0
	for _, m := range members {
		p := peer{vm: m.VM, hash: hashOf(string(m.VM)), address: m.PeerAddress, incarnation: m.Incarnation}
		alive := m.State == tracker.Alive
		if m.Zone != self.Zone {
			if alive {
				v.others[m.Zone] = append(v.others[m.Zone], p)
			}
			continue
		}
		v.fresh = v.fresh && m.Started.Sub(own.Started).Abs() <= freshSpread
		if m.State != tracker.Dead || !m.Leaving {
			known++
		}
		switch {
		case alive:
			v.zone = append(v.zone, p)
			largest = max(largest, m.ZoneSize)
		case !m.Leaving:
			v.silent = append(v.silent, silentPeer{hash: p.hash, since: m.LastHeard})
		}
		if !m.Indirect && (alive || m.State == tracker.Leaving) {
			heard++
		}
	}
	v.heard = float64(heard) / float64(max(known, largest))
	if len(members) == 0 && self.Seeded {
		// This VM has heard no other yet.
		v.heard = 0
	}
	return v
}

// keeper returns the VM of this zone that keeps an account, or false if there is none.
func (v *view) keeper(account uint64) (peer, bool) {
	if len(v.zone) == 0 {
		return peer{}, false
	}
	return slices.MinFunc(v.zone, func(a, b peer) int {
		return cmp.Or(cmp.Compare(mix(account, a.hash), mix(account, b.hash)), cmp.Compare(a.vm, b.vm))
	}), true
}

// sight returns what self, whose process started at a time by its own clock, sees as a keeper of
// an account.
func (v *view) sight(self namer.VM, started time.Time, account uint64) limiter.Sight {
	first, ok := v.keeper(account)
	s := limiter.Sight{First: ok && first.vm == self, Heard: v.heard}
	if v.fresh {
		s.FreshSince = started
	}
	if !s.First {
		return s
	}
	own := mix(account, first.hash)
	for _, p := range v.silent {
		if mix(account, p.hash) < own {
			s.SilentSince = namer.Later(s.SilentSince, p.since)
		}
	}
	return s
}

// generates reports whether a zone is one of the first count of all zones in rendezvous order
// by account.
func generates(account uint64, zone namer.Zone, zones []namer.Zone, count int) bool {
	own := mix(account, hashOf(string(zone)))
	before := 0
	for _, z := range zones {
		if z != zone && mix(account, hashOf(string(z))) < own {
			before++
		}
	}
	return before < count
}

func hashOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

// mix combines two hashes into one (the finalizer of MurmurHash3).
func mix(a, b uint64) uint64 {
	x := a ^ (b<<32 | b>>32)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
