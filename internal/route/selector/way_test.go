package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/copier"
)

// measure has a VM know the way to every zone.
func (f *fixture) measure(own namer.Zone, near, far time.Duration) {
	for zone, region := range regions {
		switch {
		case zone == own:
			f.ObserveRTT(zone, time.Millisecond)
		case region == regions[own]:
			f.ObserveRTT(zone, near)
		default:
			f.ObserveRTT(zone, far)
		}
	}
}

// work has callers ask for objects at a rate, each answered in a time, for a while.
func (f *fixture) work(t *testing.T, rate int, work time.Duration, objects []string) {
	t.Helper()
	end := f.now.Add(2 * copier.Horizon)
	for i := 0; f.now.Before(end); i++ {
		f.now = f.now.Add(time.Second / time.Duration(rate))
		object := objects[i%len(objects)]
		f.RecordArrival(f.now, &f.doc.Routes[0], "desk", object)
		d := f.Decide(f.now, f.ask(object))
		f.Begin(f.now, d)
		r := answer(work, 0)
		r.Bytes = 1024
		f.End(f.now, d, r)
	}
}

// TestCopiesWhereTheyPay has the zones of a region send an object to one upstream until
// a copy in each zone pays. With a copy in each zone, every object is cold once a zone.
func TestCopiesWhereTheyPay(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		rate   int
		shared bool
	}{
		{"nothing known", 0, true},
		{"asked seldom", 10, true},
		{"asked often", 400, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			one, other := newFixture(t, "a1", view()), newFixture(t, "a2", view())
			for _, f := range []*fixture{one, other} {
				f.UpdatePlacements(f.now, nil)
				f.measure(f.zone, 7*time.Millisecond, 24*time.Millisecond)
				if tc.rate > 0 {
					f.work(t, tc.rate, 100*time.Millisecond, objects(100))
				}
			}
			assert.Equal(t, one.SharesCopies(one.now, "read", "desk"), tc.shared)
			used := make(map[namer.Upstream]bool)
			same := 0
			for _, o := range objects(200) {
				picked := one.pick(t, o)
				used[picked] = true
				if picked == other.pick(t, o) {
					same++
				}
			}
			if tc.shared {
				assert.Equal(t, same, 200)
				assert.Equal(t, len(used), 8, "all upstreams of the region: %v", used)
				return
			}
			assert.Equal(t, same, 0)
			assert.Equal(t, len(used), 4, "the upstreams of the zone: %v", used)
		})
	}
}

// TestLoadDoesNotMoveObjects has connections open slowly under load: what was near
// stays so, and objects stay shared.
func TestLoadDoesNotMoveObjects(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	f.UpdatePlacements(f.now, nil)
	f.measure("a1", 9*time.Millisecond, 110*time.Millisecond)
	for range 500 {
		f.ObserveRTT("a2", time.Second)
	}
	f.work(t, 10, 100*time.Millisecond, objects(100))
	assert.Assert(t, f.SharesCopies(f.now, "read", "desk"))
}

// TestUnmeasured names one upstream of each zone until its way is known.
func TestUnmeasured(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	assert.Equal(t, len(f.UnmeasuredZones()), 4)
	f.ObserveRTT("b1", time.Millisecond)
	unmeasured := f.UnmeasuredZones()
	_, ok := unmeasured["b1"]
	assert.Assert(t, !ok)
	assert.Equal(t, len(unmeasured), 3)
}

// TestRestoredPlacement has a VM that was restarted send objects to where they are
// still warm, though nothing is known of callers yet.
func TestRestoredPlacement(t *testing.T) {
	t.Parallel()
	before := newFixture(t, "a1", view())
	busy := map[namer.Service]map[namer.Zone]float64{"desk": {"a1": 24, "a2": 4, "b1": 2, "b2": 2}}
	before.UpdatePlacements(before.now, busy)
	after, fresh := newFixture(t, "a1", view()), newFixture(t, "a1", view())
	for name, p := range before.Placements() {
		assert.Assert(t, after.RestorePlacement(after.now, name, p))
	}
	after.UpdatePlacements(after.now, nil)
	fresh.UpdatePlacements(fresh.now, nil)
	same, cold := 0, 0
	for _, o := range objects(200) {
		home := before.pick(t, o)
		if after.pick(t, o) == home {
			same++
		}
		if fresh.pick(t, o) != home {
			cold++
		}
	}
	assert.Equal(t, same, 200)
	assert.Assert(t, cold > 50, "without the note %d of 200 objects would run cold", cold)
	assert.Assert(t, !before.RestorePlacement(before.now, "desk", nil), "what was worked out here stays")
}
