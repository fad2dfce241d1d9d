package claimer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/claimer"
)

const maxDeadline = 5 * time.Second

func TestClaim(t *testing.T) {
	t.Parallel()
	now := time.Unix(100, 0)
	held := claimer.Table{Holders: []claimer.Holder{
		{Ordinal: 1, VM: "a", Incarnation: "a1"}, {Ordinal: 2, VM: "b", Incarnation: "b1"},
	}}
	for _, tc := range []struct {
		name     string
		table    claimer.Table
		claimant claimer.Claimant
		want     claimer.Assignment
	}{
		{"first", claimer.Table{}, claimer.Claimant{VM: "a", Incarnation: "a1", Count: 2, Listed: []namer.VM{"a"}}, claimer.Assignment{Ordinal: 1, UsableFrom: now}},
		{"full", held, claimer.Claimant{VM: "c", Incarnation: "c1", Count: 2, Listed: []namer.VM{"a", "b", "c"}}, claimer.Assignment{}},
		{"gone", held, claimer.Claimant{VM: "c", Incarnation: "c1", Count: 2, Listed: []namer.VM{"a", "c"}}, claimer.Assignment{Ordinal: 2, UsableFrom: now.Add(maxDeadline)}},
		{"released", claimer.Release(held, "a1"), claimer.Claimant{VM: "c", Incarnation: "c1", Count: 2, Listed: []namer.VM{"a", "b", "c"}}, claimer.Assignment{Ordinal: 1, UsableFrom: now}},
		{"restarted", held, claimer.Claimant{VM: "b", Incarnation: "b2", Count: 2, Listed: []namer.VM{"a", "b"}}, claimer.Assignment{Ordinal: 2, UsableFrom: now.Add(maxDeadline)}},
		{"fewer ordinals", held, claimer.Claimant{VM: "b", Incarnation: "b2", Count: 1, Listed: []namer.VM{"a", "b"}}, claimer.Assignment{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			next, got := claimer.Claim(tc.table, tc.claimant, now, maxDeadline)
			assert.DeepEqual(t, got, tc.want)
			o, ok := next.OrdinalOf(tc.claimant.Incarnation)
			assert.Equal(t, ok, got.Ordinal != 0)
			assert.Equal(t, o, got.Ordinal)
		})
	}
}

// TestPropertyOneHolder checks that no ordinal is used by a VM while its predecessor may
// still use it. VMs start, crash and release their ordinals.
func TestPropertyOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type user struct {
			vm    namer.VM
			until time.Time
			alive bool
			claim claimer.Assignment
		}
		now := time.Unix(100, 0)
		table := claimer.Table{}
		var users []user
		var listed []namer.VM
		started := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				started++
				vm := namer.VM(fmt.Sprint("vm", started))
				listed = append(listed, vm)
				claimant := claimer.Claimant{VM: vm, Incarnation: fmt.Sprint(started), Count: 2, Listed: listed}
				var c claimer.Assignment
				table, c = claimer.Claim(table, claimant, now, maxDeadline)
				if c.Ordinal != 0 {
					users = append(users, user{vm: vm, alive: true, claim: c})
				}
			case 1:
				// A crash: requests that the VM sent may run until the longest
				// deadline. The platform removes a VM from its list after the crash,
				// never before.
				for i := range users {
					if users[i].alive {
						users[i].alive = false
						if !now.Before(users[i].claim.UsableFrom) {
							users[i].until = now.Add(maxDeadline)
						}
						listed = without(listed, users[i].vm)
						break
					}
				}
			case 2:
				for i := range users {
					// A VM whose ordinal isn't usable yet must not release it.
					if users[i].alive && !now.Before(users[i].claim.UsableFrom) {
						users[i].alive = false
						users[i].until = now
						table = claimer.Release(table, fmt.Sprint(users[i].vm[2:]))
						break
					}
				}
			}
			for i, a := range users {
				for _, b := range users[i+1:] {
					if a.claim.Ordinal == b.claim.Ordinal && (a.alive || b.claim.UsableFrom.Before(a.until)) {
						t.Fatalf("%s and %s use ordinal %d at the same time", a.vm, b.vm, a.claim.Ordinal)
					}
				}
			}
		}
	})
}

func without(vms []namer.VM, vm namer.VM) []namer.VM {
	var out []namer.VM
	for _, v := range vms {
		if v != vm {
			out = append(out, v)
		}
	}
	return out
}
