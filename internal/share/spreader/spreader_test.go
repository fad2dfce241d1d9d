package spreader_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
)

// loads returns three regions of two zones each. All zones have the same demand, so
// region a has a third of the traffic but only a tenth of the slots.
func loads(demand float64) []spreader.Load {
	return []spreader.Load{
		{Zone: "a1", Region: "a", Slots: 6, Demand: demand},
		{Zone: "a2", Region: "a", Slots: 6, Demand: demand},
		{Zone: "b1", Region: "b", Slots: 24, Demand: demand},
		{Zone: "b2", Region: "b", Slots: 24, Demand: demand},
		{Zone: "c1", Region: "c", Slots: 30, Demand: demand},
		{Zone: "c2", Region: "c", Slots: 30, Demand: demand},
	}
}

// fractions returns a zone's shares as a map.
func fractions(s *spreader.Spreader, zone namer.Zone) map[namer.Zone]float64 {
	out := make(map[namer.Zone]float64)
	for _, p := range s.Shares(zone) {
		out[p.Zone] = p.Fraction
	}
	return out
}

func TestEnoughLocalCapacity(t *testing.T) {
	t.Parallel()
	s := spreader.New()
	s.Update(time.Unix(1000, 0), loads(2))
	for _, l := range loads(2) {
		got := fractions(s, l.Zone)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[l.Zone], 1.0)
	}
}

// TestExcessPlacedInOtherRegions checks that an overloaded region keeps the objects
// that its upstreams have capacity for, and that the excess goes to zones with spare
// capacity.
func TestExcessPlacedInOtherRegions(t *testing.T) {
	t.Parallel()
	s := spreader.New()
	s.Update(time.Unix(1000, 0), loads(9))
	got := fractions(s, "a1")
	assert.Assert(t, got["a1"] > 0.3 && got["a1"] < 0.4, "%v", got)
	assert.Equal(t, got["a2"], 0.0, "the other zone of the region has no spare capacity")
	assert.Assert(t, got["c1"] > got["b1"], "the zone with more spare capacity gets more: %v", got)
	assert.Equal(t, fractions(s, "b1")["b1"], 1.0)
}

// TestNoCallersYet guards against overloading a region's few upstreams with the
// first requests after a start: without traffic, equal demand in all zones is assumed.
func TestNoCallersYet(t *testing.T) {
	t.Parallel()
	s := spreader.New()
	s.Update(time.Unix(1000, 0), loads(0))
	got := fractions(s, "a1")
	assert.Assert(t, got["a1"] > 0.25 && got["a1"] < 0.35, "%v", got)
	assert.Equal(t, fractions(s, "c1")["c1"], 1.0)
}

// TestMovesGradually checks that few objects move in a second, however fast the
// traffic rises.
func TestMovesGradually(t *testing.T) {
	t.Parallel()
	s := spreader.New()
	now := time.Unix(1000, 0)
	s.Update(now, loads(3))
	before := fractions(s, "a1")
	for second := range 20 {
		now = now.Add(time.Second)
		s.Update(now, loads(20))
		after := fractions(s, "a1")
		assert.Assert(t, moved(before, after) <= 0.035, "second %d moved %v", second, moved(before, after))
		before = after
	}
	assert.Assert(t, before["a1"] < 0.7, "%v", before)
}

// TestZoneDrained checks that a zone without slots gets no objects from the next
// update on.
func TestZoneDrained(t *testing.T) {
	t.Parallel()
	s := spreader.New()
	now := time.Unix(1000, 0)
	s.Update(now, loads(9))
	drained := loads(9)
	drained[4].Slots = 0
	s.Update(now.Add(time.Second), drained)
	for _, l := range drained {
		assert.Equal(t, fractions(s, l.Zone)["c1"], 0.0)
	}
}

// moved returns the fraction of a zone's objects that changed their zone.
func moved(before, after map[namer.Zone]float64) float64 {
	sum := 0.0
	for _, z := range []namer.Zone{"a1", "a2", "b1", "b2", "c1", "c2"} {
		sum += math.Abs(before[z] - after[z])
	}
	return sum / 2
}

// TestPropertyShares checks that a zone's fractions add up to one and that no zone
// is filled beyond its slots while another has spare capacity.
func TestPropertyShares(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "zones")
		var list []spreader.Load
		slots, demand := 0.0, 0.0
		for i := range n {
			l := spreader.Load{
				Zone:   namer.Zone(rune('a' + i)),
				Region: namer.Region(rune('A' + i/2)),
				Slots:  float64(rapid.IntRange(0, 60).Draw(t, "slots")),
				Demand: rapid.Float64Range(0, 60).Draw(t, "need"),
			}
			slots += l.Slots
			demand += l.Demand
			list = append(list, l)
		}
		if slots == 0 {
			return
		}
		s := spreader.New()
		s.Update(time.Unix(1000, 0), list)
		filled := make(map[namer.Zone]float64)
		for _, l := range list {
			sum := 0.0
			for _, p := range s.Shares(l.Zone) {
				sum += p.Fraction
				filled[p.Zone] += p.Fraction * l.Demand
			}
			if math.Abs(sum-1) > 1e-6 {
				t.Fatalf("the fractions of %s add up to %v", l.Zone, sum)
			}
		}
		for _, l := range list {
			if demand < 0.4*slots && filled[l.Zone] > l.Slots+1e-6 {
				t.Fatalf("%s has %v slots and gets %v, of %v in %v", l.Zone, l.Slots, filled[l.Zone], demand, slots)
			}
		}
	})
}

// TestRestore checks that a spreader continues from the placement of before a
// restart, with the usual limit on moves.
func TestRestore(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	before := spreader.New()
	before.Update(now, loads(2))
	after := spreader.New()
	after.Restore(now, before.Placement())
	assert.Equal(t, after.Placement().Distance(before.Placement()), 0.0)
	assert.DeepEqual(t, fractions(after, "a1"), fractions(before, "a1"))
	after.Update(now.Add(time.Second), loads(9))
	moved := after.Placement().Distance(before.Placement())
	assert.Assert(t, moved > 0 && moved <= 0.031, "%v of a zone's objects moved in a second", moved)
}

func TestDistance(t *testing.T) {
	t.Parallel()
	one := spreader.Placement{"a": {"a": 1}, "b": {"a": 0.5, "b": 0.5}}
	for _, tc := range []struct {
		name  string
		other spreader.Placement
		want  float64
	}{
		{"same", one, 0},
		{"some", spreader.Placement{"a": {"a": 0.75, "b": 0.25}, "b": {"a": 0.5, "b": 0.5}}, 0.25},
		{"nothing", spreader.Placement{}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, one.Distance(tc.other), tc.want)
		})
	}
}
