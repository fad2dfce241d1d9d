package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

var timing = tracker.Timing{SuspectTimeout: time.Second, DeadTimeout: 5 * time.Second}

func member(inc byte, started, sequence int, heard time.Time) tracker.Member {
	return tracker.Member{
		VM: "a", Incarnation: namer.Incarnation{inc}, Started: time.Unix(int64(started), 0), Sequence: uint64(sequence), LastHeard: heard,
	}
}

func TestStates(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	leaving := member(1, 1, 2, now)
	leaving.Leaving = true
	after := now.Add
	for _, tc := range []struct {
		name        string
		merge       []tracker.Member
		unreachable bool
		at          time.Time
		want        tracker.State
		incarnation byte
	}{
		{"alive", []tracker.Member{member(1, 1, 1, now)}, false, now, tracker.Alive, 1},
		{"suspect", []tracker.Member{member(1, 1, 1, now)}, false, after(2 * time.Second), tracker.Suspect, 1},
		{"dead", []tracker.Member{member(1, 1, 1, now)}, false, after(6 * time.Second), tracker.Dead, 1},
		{"leaving", []tracker.Member{leaving}, false, now, tracker.Leaving, 1},
		{"leaving is not revoked", []tracker.Member{leaving, member(1, 1, 3, now)}, false, now, tracker.Leaving, 1},
		{"a new process is not leaving", []tracker.Member{leaving, member(2, 2, 1, now)}, false, now, tracker.Alive, 2},
		{"a description of an old process", []tracker.Member{member(2, 2, 1, now), member(1, 1, 9, now)}, false, now, tracker.Alive, 2},
		{"an old copy does not count as heard", []tracker.Member{member(1, 1, 5, now), member(1, 1, 4, after(9*time.Second))}, false, after(6 * time.Second), tracker.Dead, 1},
		{"the clock is set back", []tracker.Member{member(1, 1, 1, now)}, false, now.Add(-time.Hour), tracker.Alive, 1},
		{"doubted", []tracker.Member{member(1, 1, 1, now)}, true, now, tracker.Suspect, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := tracker.New("self", timing)
			for _, m := range tc.merge {
				tr.Merge(now, m)
			}
			if tc.unreachable {
				assert.Assert(t, tr.MarkUnreachable(now, namer.Incarnation{tc.incarnation}))
				assert.Assert(t, !tr.MarkUnreachable(now, namer.Incarnation{tc.incarnation}), "reported as a change twice")
			}
			view := tr.View(tc.at)
			assert.Equal(t, len(view), 1)
			assert.Equal(t, view[0].State, tc.want)
			assert.Equal(t, view[0].Incarnation, namer.Incarnation{tc.incarnation})
		})
	}
}

// TestUnreachableEndsWhenHeard checks that a member that could not be reached stays suspect
// until it is heard after that time.
func TestUnreachableEndsWhenHeard(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tr := tracker.New("self", timing)
	tr.Merge(now, member(1, 1, 1, now))
	tr.MarkUnreachable(now.Add(100*time.Millisecond), namer.Incarnation{1})
	tr.Merge(now.Add(200*time.Millisecond), member(1, 1, 2, now.Add(50*time.Millisecond)))
	assert.Equal(t, tr.View(now.Add(200 * time.Millisecond))[0].State, tracker.Suspect, "it was heard before it became unreachable")
	tr.Merge(now.Add(300*time.Millisecond), member(1, 1, 3, now.Add(300*time.Millisecond)))
	assert.Equal(t, tr.View(now.Add(300 * time.Millisecond))[0].State, tracker.Alive)
}

// TestPropertyMergeOrderDoesNotMatter merges the same descriptions in two orders, as gossip
// may deliver them, and compares the views, which must converge.
func TestPropertyMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		descriptions := make([]tracker.Member, rapid.IntRange(1, 8).Draw(t, "words"))
		for i := range descriptions {
			inc := rapid.IntRange(1, 3).Draw(t, "incarnation")
			sequence := rapid.IntRange(1, 4).Draw(t, "sequence")
			// All copies of a description have the same content.
			descriptions[i] = member(byte(inc), inc, sequence, now.Add(time.Duration(inc*10+sequence)*time.Second))
			descriptions[i].Generation = namer.Generation(inc*100 + sequence)
			descriptions[i].Leaving = sequence == 4
		}
		order := rapid.Permutation(descriptions).Draw(t, "order")
		a, b := tracker.New("self", timing), tracker.New("self", timing)
		later := now.Add(time.Hour)
		for i := range descriptions {
			a.Merge(later, descriptions[i])
			b.Merge(later, order[i])
		}
		if x, y := fmt.Sprint(a.View(later)), fmt.Sprint(b.View(later)); x != y {
			t.Fatalf("%s and %s", x, y)
		}
	})
}

// TestClockSetBackBeforeRestart covers a VM whose clock is set back before its restart, so
// that the new process claims an earlier start than the previous one. It must replace the
// previous one once that has been silent for the suspect timeout.
func TestClockSetBackBeforeRestart(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tr := tracker.New("self", timing)
	tr.Merge(now, member(1, 9, 5, now))
	soon := now.Add(timing.SuspectTimeout)
	tr.Merge(soon, member(2, 7, 1, soon))
	assert.Equal(t, tr.View(soon)[0].Incarnation, namer.Incarnation{1})
	later := soon.Add(time.Millisecond)
	tr.Merge(later, member(2, 7, 2, later))
	assert.Equal(t, tr.View(later)[0].Incarnation, namer.Incarnation{2})
	tr.Merge(later, member(1, 9, 5, now))
	assert.Equal(t, tr.View(later)[0].Incarnation, namer.Incarnation{2}, "an old copy of the first process replaced the second")
}

// TestIndirect checks that members known only through others may be silent for longer than
// those heard directly, since they are reported seldom. A time in the future counts as the
// current time, so that no member stays alive forever.
func TestIndirect(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	indirect := member(1, 1, 1, now)
	indirect.Indirect = true
	tr := tracker.New("self", timing)
	tr.Merge(now, indirect)
	state := func(after time.Duration) tracker.State { return tr.View(now.Add(after))[0].State }
	assert.Equal(t, state(5*time.Second), tracker.Alive)
	assert.Equal(t, state(7*time.Second), tracker.Suspect)
	tr.Refresh(now.Add(8*time.Second), indirect.Incarnation, now.Add(time.Hour))
	assert.Equal(t, state(9*time.Second), tracker.Alive)
	assert.Equal(t, state(time.Minute), tracker.Dead)

	heard := member(1, 1, 2, now.Add(time.Minute))
	tr.Merge(now.Add(time.Minute), heard)
	assert.Equal(t, state(62*time.Second), tracker.Suspect, "a member heard directly has the normal timeouts")
}
