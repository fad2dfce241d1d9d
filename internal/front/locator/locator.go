// Package locator chooses the entry VMs that a caller should use: live ones,
// preferring the caller's zone, then its region. It has no state and no I/O.
//
// # Usage
//
//	entries := locator.Choose(locator.Location{Zone: "a", Region: "r"}, members, nil)
package locator

import (
	"slices"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

const (
	// minEntries is the wanted number of entry VMs. With two, a caller can switch to
	// the other one at once when the first fails.
	minEntries = 2
	// maxEntries limits the result to the number that the platform's callers read.
	maxEntries = 64
)

// Location is the zone and region of a caller.
type Location struct {
	Zone   namer.Zone
	Region namer.Region
}

// Choose returns the addresses on which the chosen entry VMs listen for callers.
// It takes those of the caller's zone and, if they are fewer than two, those of its
// region. Only if there are none does it take those of the allowed regions, then
// those of any region; without allowed regions, every region is allowed. Suspect
// VMs are returned only if no VM is alive, and leaving VMs only if none is alive or
// suspect. VMs that refuse the keys of client accounts are returned only if no other VM is
// alive or suspect.
func Choose(l Location, members []tracker.Member, allowed []namer.Region) []string {
	sure := slices.DeleteFunc(slices.Clone(members), func(m tracker.Member) bool { return m.AccountsStale })
	for _, tier := range []struct {
		members []tracker.Member
		state   tracker.State
	}{
		{sure, tracker.Alive},
		{sure, tracker.Suspect},
		{members, tracker.Alive},
		{members, tracker.Suspect},
		{members, tracker.Leaving},
	} {
		if out := chooseByState(l, tier.members, allowed, tier.state); len(out) > 0 {
			return out
		}
	}
	return nil
}

// chooseByState does the work of Choose for the members in one state.
func chooseByState(l Location, members []tracker.Member, allowed []namer.Region, state tracker.State) []string {
	tiers := []func(tracker.Member) bool{
		func(m tracker.Member) bool { return m.Zone == l.Zone },
		func(m tracker.Member) bool { return m.Region == l.Region },
		func(m tracker.Member) bool { return len(allowed) == 0 || slices.Contains(allowed, m.Region) },
		func(tracker.Member) bool { return true },
	}
	var out []string
	for i, inTier := range tiers {
		// VMs outside the caller's region are used only if the region has none.
		if len(out) >= minEntries || i >= 2 && len(out) > 0 {
			break
		}
		for _, m := range members {
			if inTier(m) && m.State == state && !slices.Contains(out, m.CallerAddress) && len(out) < maxEntries {
				out = append(out, m.CallerAddress)
			}
		}
	}
	return out
}
