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

const longest = 5 * time.Second

func TestClaim(t *testing.T) {
	t.Parallel()
	now := time.Unix(100, 0)
	held := claimer.Table{Holders: []claimer.Holder{
		{Ordinal: 1, VM: "a", Incarnation: "a1"}, {Ordinal: 2, VM: "b", Incarnation: "b1"},
	}}
	for _, tc := range []struct {
		name  string
		table claimer.Table
		want  claimer.Claimant
		got   claimer.Assignment
	}{
		{"first", claimer.Table{}, claimer.Claimant{VM: "a", Incarnation: "a1", Count: 2, Listed: []namer.VM{"a"}}, claimer.Assignment{Ordinal: 1, UsableFrom: now}},
		{"full", held, claimer.Claimant{VM: "c", Incarnation: "c1", Count: 2, Listed: []namer.VM{"a", "b", "c"}}, claimer.Assignment{}},
		{"gone", held, claimer.Claimant{VM: "c", Incarnation: "c1", Count: 2, Listed: []namer.VM{"a", "c"}}, claimer.Assignment{Ordinal: 2, UsableFrom: now.Add(longest)}},
		{"released", claimer.Release(held, "a1"), claimer.Claimant{VM: "c", Incarnation: "c1", Count: 2, Listed: []namer.VM{"a", "b", "c"}}, claimer.Assignment{Ordinal: 1, UsableFrom: now}},
		{"restarted", held, claimer.Claimant{VM: "b", Incarnation: "b2", Count: 2, Listed: []namer.VM{"a", "b"}}, claimer.Assignment{Ordinal: 2, UsableFrom: now.Add(longest)}},
		{"fewer ordinals", held, claimer.Claimant{VM: "b", Incarnation: "b2", Count: 1, Listed: []namer.VM{"a", "b"}}, claimer.Assignment{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			next, got := claimer.Claim(tc.table, tc.want, now, longest)
			assert.DeepEqual(t, got, tc.got)
			o, ok := next.OrdinalOf(tc.want.Incarnation)
			assert.Equal(t, ok, got.Ordinal != 0)
			assert.Equal(t, o, got.Ordinal)
		})
	}
}

// TestPropertyOneHolder runs VMs that come, die, restart and release. No
// ordinal is used while the one before may still use it.
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
		born := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				born++
				vm := namer.VM(fmt.Sprint("vm", born))
				listed = append(listed, vm)
				want := claimer.Claimant{VM: vm, Incarnation: fmt.Sprint(born), Count: 2, Listed: listed}
				var c claimer.Assignment
				table, c = claimer.Claim(table, want, now, longest)
				if c.Ordinal != 0 {
					users = append(users, user{vm: vm, alive: true, claim: c})
				}
			case 1:
				// A crash: what it sent may run until the longest deadline, and
				// the list notes it late.
				for i := range users {
					if users[i].alive {
						users[i].alive = false
						if !now.Before(users[i].claim.UsableFrom) {
							users[i].until = now.Add(longest)
						}
						listed = without(listed, users[i].vm)
						break
					}
				}
			case 2:
				for i := range users {
					// One whose time has not come goes without a release.
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
						t.Fatalf("%s and %s use ordinal %d at once", a.vm, b.vm, a.claim.Ordinal)
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
