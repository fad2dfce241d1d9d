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
		name   string
		hear   []tracker.Member
		doubt  bool
		at     time.Time
		want   tracker.State
		holder byte
	}{
		{"alive", []tracker.Member{member(1, 1, 1, now)}, false, now, tracker.Alive, 1},
		{"suspect", []tracker.Member{member(1, 1, 1, now)}, false, after(2 * time.Second), tracker.Suspect, 1},
		{"dead", []tracker.Member{member(1, 1, 1, now)}, false, after(6 * time.Second), tracker.Dead, 1},
		{"leaving", []tracker.Member{leaving}, false, now, tracker.Leaving, 1},
		{"leaving is not taken back", []tracker.Member{leaving, member(1, 1, 3, now)}, false, now, tracker.Leaving, 1},
		{"a new process is not leaving", []tracker.Member{leaving, member(2, 2, 1, now)}, false, now, tracker.Alive, 2},
		{"an old process's word", []tracker.Member{member(2, 2, 1, now), member(1, 1, 9, now)}, false, now, tracker.Alive, 2},
		{"an old copy refreshes nothing", []tracker.Member{member(1, 1, 5, now), member(1, 1, 4, after(9*time.Second))}, false, after(6 * time.Second), tracker.Dead, 1},
		{"the clock steps back", []tracker.Member{member(1, 1, 1, now)}, false, now.Add(-time.Hour), tracker.Alive, 1},
		{"doubted", []tracker.Member{member(1, 1, 1, now)}, true, now, tracker.Suspect, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := tracker.New("self", timing)
			for _, m := range tc.hear {
				tr.Merge(now, m)
			}
			if tc.doubt {
				assert.Assert(t, tr.MarkUnreachable(now, namer.Incarnation{tc.holder}))
				assert.Assert(t, !tr.MarkUnreachable(now, namer.Incarnation{tc.holder}), "no news")
			}
			view := tr.View(tc.at)
			assert.Equal(t, len(view), 1)
			assert.Equal(t, view[0].State, tc.want)
			assert.Equal(t, view[0].Incarnation, namer.Incarnation{tc.holder})
		})
	}
}

func TestDoubtEndsWhenHeard(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tr := tracker.New("self", timing)
	tr.Merge(now, member(1, 1, 1, now))
	tr.MarkUnreachable(now.Add(100*time.Millisecond), namer.Incarnation{1})
	tr.Merge(now.Add(200*time.Millisecond), member(1, 1, 2, now.Add(50*time.Millisecond)))
	assert.Equal(t, tr.View(now.Add(200 * time.Millisecond))[0].State, tracker.Suspect, "an older word proves nothing")
	tr.Merge(now.Add(300*time.Millisecond), member(1, 1, 3, now.Add(300*time.Millisecond)))
	assert.Equal(t, tr.View(now.Add(300 * time.Millisecond))[0].State, tracker.Alive)
}

// TestPropertyOrderDoesNotMatter hands the same words over in two orders, as
// gossip does, and compares the views.
func TestPropertyOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		words := make([]tracker.Member, rapid.IntRange(1, 8).Draw(t, "words"))
		for i := range words {
			inc := rapid.IntRange(1, 3).Draw(t, "incarnation")
			sequence := rapid.IntRange(1, 4).Draw(t, "sequence")
			// One word of one process is the same wherever it is repeated.
			words[i] = member(byte(inc), inc, sequence, now.Add(time.Duration(inc*10+sequence)*time.Second))
			words[i].Generation = namer.Generation(inc*100 + sequence)
			words[i].Leaving = sequence == 4
		}
		order := rapid.Permutation(words).Draw(t, "order")
		a, b := tracker.New("self", timing), tracker.New("self", timing)
		later := now.Add(time.Hour)
		for i := range words {
			a.Merge(later, words[i])
			b.Merge(later, order[i])
		}
		if x, y := fmt.Sprint(a.View(later)), fmt.Sprint(b.View(later)); x != y {
			t.Fatalf("%s and %s", x, y)
		}
	})
}

// TestClockSetBackBeforeARestart has a new process whose start seems older than
// that of the one before. It counts once the other has been silent.
func TestClockSetBackBeforeARestart(t *testing.T) {
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
	assert.Equal(t, tr.View(later)[0].Incarnation, namer.Incarnation{2}, "an old copy of the first changes nothing")
}

// TestTold holds how members are judged that are known from others only: longer than
// those that are heard, since they are told of seldom. A word from the future counts as
// one of now, so that nobody is alive for good.
func TestTold(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	told := member(1, 1, 1, now)
	told.Indirect = true
	tr := tracker.New("self", timing)
	tr.Merge(now, told)
	state := func(after time.Duration) tracker.State { return tr.View(now.Add(after))[0].State }
	assert.Equal(t, state(5*time.Second), tracker.Alive)
	assert.Equal(t, state(7*time.Second), tracker.Suspect)
	tr.Refresh(now.Add(8*time.Second), told.Incarnation, now.Add(time.Hour))
	assert.Equal(t, state(9*time.Second), tracker.Alive)
	assert.Equal(t, state(time.Minute), tracker.Dead)

	heard := member(1, 1, 2, now.Add(time.Minute))
	tr.Merge(now.Add(time.Minute), heard)
	assert.Equal(t, state(62*time.Second), tracker.Suspect, "one that is heard is judged by its own silence")
}
