// Package locator tells callers which entry VMs to use: live ones, the nearest
// first. It is pure.
//
// # Usage
//
//	entries := locator.Choose(locator.Place{Zone: "a", Region: "r"}, members, nil)
package locator

import (
	"slices"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

const (
	// enough is how many entry VMs an answer should name: with two, callers
	// have another one at once when the first fails.
	enough = 2
	// most bounds an answer; the platform's callers read as many.
	most = 64
)

// Location says where a caller is.
type Location struct {
	Zone   namer.Zone
	Region namer.Region
}

// Choose returns the callers' addresses of the entry VMs to use: those of the
// caller's zone, then of its region, then of the allowed regions, then any,
// as far as the nearer ones are not enough. It names a suspect VM only when
// there is no other.
func Choose(p Location, members []tracker.Member, allowed []namer.Region) []string {
	for _, states := range [][]tracker.State{{tracker.Alive}, {tracker.Suspect}, {tracker.Leaving}} {
		if out := choose(p, members, allowed, states); len(out) > 0 {
			return out
		}
	}
	return nil
}

func choose(p Location, members []tracker.Member, allowed []namer.Region, states []tracker.State) []string {
	rings := []func(tracker.Member) bool{
		func(m tracker.Member) bool { return m.Zone == p.Zone },
		func(m tracker.Member) bool { return m.Region == p.Region },
		func(m tracker.Member) bool { return len(allowed) == 0 || slices.Contains(allowed, m.Region) },
		func(tracker.Member) bool { return true },
	}
	var out []string
	for i, near := range rings {
		// Farther VMs are named only when no nearer one is there.
		if len(out) >= enough || i >= 2 && len(out) > 0 {
			break
		}
		for _, m := range members {
			if near(m) && slices.Contains(states, m.State) && !slices.Contains(out, m.CallerAddress) && len(out) < most {
				out = append(out, m.CallerAddress)
			}
		}
	}
	return out
}
