package heartbeater_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

// fleet returns VMs of two regions with two zones each.
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

// guides returns whom each VM follows, in views that hold all others.
func guides(all []tracker.Member) map[namer.VM]namer.VM {
	out := make(map[namer.VM]namer.VM, len(all))
	for _, self := range all {
		guide, ok := heartbeater.RelayParent(self, all)
		if ok {
			out[self.VM] = guide.VM
		}
	}
	return out
}

// TestGuide has one VM ask the store, one VM of each further zone follow a VM of
// another zone, and one of each further region a VM of another region, however many
// VMs there are.
func TestGuide(t *testing.T) {
	t.Parallel()
	for _, perZone := range []int{1, 2, 15} {
		t.Run(fmt.Sprint(perZone), func(t *testing.T) {
			t.Parallel()
			all := fleet(perZone)
			guides := guides(all)
			assert.Equal(t, len(all)-len(guides), 1, "leads")
			zone := make(map[namer.VM]tracker.Member)
			for _, m := range all {
				zone[m.VM] = m
			}
			crossings, far := 0, 0
			for vm, guide := range guides {
				if zone[vm].Region != zone[guide].Region {
					far++
				}
				if zone[vm].Zone != zone[guide].Zone {
					crossings++
				}
				steps := 0
				for at, ok := vm, true; ok; at, ok = guides[at] {
					steps++
				}
				assert.Assert(t, steps <= 4, "%s is %d steps from the store", vm, steps)
			}
			assert.Equal(t, crossings, 3)
			assert.Equal(t, far, 1)
		})
	}
}

// TestGuideWithoutStore has another VM ask the store for a region in place of one
// that the store does not answer, or that is not alive.
func TestGuideWithoutStore(t *testing.T) {
	t.Parallel()
	all := fleet(3)
	before := guides(all)
	led := make(map[namer.VM]bool)
	for _, guide := range before {
		led[guide] = true
	}
	for i := range all {
		if led[all[i].VM] && all[i].Region == "r1" {
			all[i].StoreUnreachable = true
		} else if led[all[i].VM] {
			all[i].State = tracker.Suspect
		}
	}
	for vm, guide := range guides(all) {
		for _, m := range all {
			if m.VM == guide {
				assert.Assert(t, !m.StoreUnreachable && m.State == tracker.Alive, "%s follows %s", vm, guide)
			}
		}
	}
	for i := range all {
		all[i].StoreUnreachable = true
		all[i].State = tracker.Alive
	}
	assert.DeepEqual(t, guides(all), before)
}
