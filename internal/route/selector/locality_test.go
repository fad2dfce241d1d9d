package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/copier"
)

// observeRTTs records an RTT to every zone.
func (f *fixture) observeRTTs(own namer.Zone, sameRegion, otherRegion time.Duration) {
	for zone, region := range regions {
		switch {
		case zone == own:
			f.ObserveRTT(zone, time.Millisecond)
		case region == regions[own]:
			f.ObserveRTT(zone, sameRegion)
		default:
			f.ObserveRTT(zone, otherRegion)
		}
	}
}

// sendRequests sends requests for objects in turn, at a rate per second, each answered
// with a latency. It lasts long enough for a decision on copies.
func (f *fixture) sendRequests(t *testing.T, rate int, latency time.Duration, objects []string) {
	t.Helper()
	end := f.now.Add(2 * copier.PaybackPeriod)
	for i := 0; f.now.Before(end); i++ {
		f.now = f.now.Add(time.Second / time.Duration(rate))
		object := objects[i%len(objects)]
		f.RecordArrival(f.now, &f.doc.Routes[0], "desk", object)
		d := f.Decide(f.now, f.request(object))
		f.Begin(f.now, d)
		r := answered(latency, 0)
		r.Bytes = 1024
		f.End(f.now, d, r)
	}
}

// The zones of a region send an object to the same upstream until a copy in each zone pays
// off: with a copy in each zone, every object runs cold once in each zone.
func TestZoneCopiesOnlyWhereTheyPayOff(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		rate   int
		shared bool
	}{
		{"no requests yet", 0, true},
		{"rare requests", 10, true},
		{"frequent requests", 400, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			one, other := newFixture(t, "a1", view()), newFixture(t, "a2", view())
			for _, f := range []*fixture{one, other} {
				f.UpdatePlacements(f.now, nil)
				f.observeRTTs(f.zone, 7*time.Millisecond, 24*time.Millisecond)
				if tc.rate > 0 {
					f.sendRequests(t, tc.rate, 100*time.Millisecond, objects(100))
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
				assert.Equal(t, len(used), 8, "all upstreams of the region must be used: %v", used)
				return
			}
			assert.Equal(t, same, 0)
			assert.Equal(t, len(used), 4, "only the upstreams of the zone must be used: %v", used)
		})
	}
}

// Connections that open slowly under load must not make a near zone count as far, so
// zones go on sharing copies.
func TestSlowConnectsUnderLoadDoNotMoveObjects(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	f.UpdatePlacements(f.now, nil)
	f.observeRTTs("a1", 9*time.Millisecond, 110*time.Millisecond)
	for range 500 {
		f.ObserveRTT("a2", time.Second)
	}
	f.sendRequests(t, 10, 100*time.Millisecond, objects(100))
	assert.Assert(t, f.SharesCopies(f.now, "read", "desk"))
}

// Every zone is listed with one upstream until its RTT is known.
func TestUnmeasuredZones(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	assert.Equal(t, len(f.UnmeasuredZones()), 4)
	f.ObserveRTT("b1", time.Millisecond)
	unmeasured := f.UnmeasuredZones()
	_, ok := unmeasured["b1"]
	assert.Assert(t, !ok)
	assert.Equal(t, len(unmeasured), 3)
}

// A VM that was restarted must send objects to the zones where they are still warm,
// although it knows no demand yet.
func TestRestoredPlacementKeepsObjectsWarm(t *testing.T) {
	t.Parallel()
	before := newFixture(t, "a1", view())
	demand := map[namer.Service]map[namer.Zone]float64{"desk": {"a1": 24, "a2": 4, "b1": 2, "b2": 2}}
	before.UpdatePlacements(before.now, demand)
	after, fresh := newFixture(t, "a1", view()), newFixture(t, "a1", view())
	for name, p := range before.Placements() {
		assert.Assert(t, after.RestorePlacement(after.now, name, p))
	}
	after.UpdatePlacements(after.now, nil)
	fresh.UpdatePlacements(fresh.now, nil)
	same, cold := 0, 0
	for _, o := range objects(200) {
		primary := before.pick(t, o)
		if after.pick(t, o) == primary {
			same++
		}
		if fresh.pick(t, o) != primary {
			cold++
		}
	}
	assert.Equal(t, same, 200)
	assert.Assert(t, cold > 50, "without the restored placement %d of 200 objects would run cold", cold)
	assert.Assert(t, !before.RestorePlacement(before.now, "desk", nil), "a computed placement must not be replaced")
}
