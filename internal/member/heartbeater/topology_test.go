package heartbeater_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

// fleet returns the members of two regions with two zones each.
func fleet(perZone int) []tracker.Member {
	var out []tracker.Member
	for _, region := range []string{"r1", "r2"} {
		for _, zone := range []string{"a", "b"} {
			for i := range perZone {
				out = append(out, tracker.Member{
					VM:   namer.VM(fmt.Sprintf("%s-%s-%d", region, zone, i)),
					Zone: namer.Zone(region + zone), Region: namer.Region(region),
				})
			}
		}
	}
	return out
}

// relayParents returns the relay parent of each VM that has one. Each VM knows all others.
func relayParents(all []tracker.Member) map[namer.VM]namer.VM {
	out := make(map[namer.VM]namer.VM, len(all))
	for _, self := range all {
		parent, ok := heartbeater.RelayParent(self, all)
		if ok {
			out[self.VM] = parent.VM
		}
	}
	return out
}

// TestRelayParent checks that the load on the store and the traffic between zones do not
// grow with the fleet: one VM reads the store, one VM of each further zone follows a VM of
// another zone, and one VM of each further region follows a VM of another region.
func TestRelayParent(t *testing.T) {
	t.Parallel()
	for _, perZone := range []int{1, 2, 15} {
		t.Run(fmt.Sprint(perZone), func(t *testing.T) {
			t.Parallel()
			all := fleet(perZone)
			parents := relayParents(all)
			assert.Equal(t, len(all)-len(parents), 1, "leads")
			members := make(map[namer.VM]tracker.Member)
			for _, m := range all {
				members[m.VM] = m
			}
			crossZone, crossRegion := 0, 0
			for vm, parent := range parents {
				if members[vm].Region != members[parent].Region {
					crossRegion++
				}
				if members[vm].Zone != members[parent].Zone {
					crossZone++
				}
				steps := 0
				for at, ok := vm, true; ok; at, ok = parents[at] {
					steps++
				}
				assert.Assert(t, steps <= 4, "%s is %d steps from the store", vm, steps)
			}
			assert.Equal(t, crossZone, 3)
			assert.Equal(t, crossRegion, 1)
		})
	}
}

// TestRelayParentWithoutStore checks that no VM has a relay parent that the store does not
// answer or that is not alive, since it would get no updates. If the store answers no VM, the
// relay tree is the same as if it answered all.
func TestRelayParentWithoutStore(t *testing.T) {
	t.Parallel()
	all := fleet(3)
	before := relayParents(all)
	isParent := make(map[namer.VM]bool)
	for _, parent := range before {
		isParent[parent] = true
	}
	for i := range all {
		if isParent[all[i].VM] && all[i].Region == "r1" {
			all[i].StoreUnreachable = true
		} else if isParent[all[i].VM] {
			all[i].State = tracker.Suspect
		}
	}
	for vm, parent := range relayParents(all) {
		for _, m := range all {
			if m.VM == parent {
				assert.Assert(t, !m.StoreUnreachable && m.State == tracker.Alive, "%s follows %s", vm, parent)
			}
		}
	}
	for i := range all {
		all[i].StoreUnreachable = true
		all[i].State = tracker.Alive
	}
	assert.DeepEqual(t, relayParents(all), before)
}
