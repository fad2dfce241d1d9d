package copier_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/share/copier"
)

var startTime = time.Unix(1000, 0)

// TestPaysOff compares the cost of a cold request with what the copy saves.
func TestPaysOff(t *testing.T) {
	t.Parallel()
	usual := copier.Workload{Rate: 50, Objects: 25, WarmDuration: 100 * time.Millisecond, RTT: 7 * time.Millisecond, BytesPerRequest: 2048}
	for _, tc := range []struct {
		name   string
		change func(*copier.Workload)
		pays   bool
	}{
		{"requested often", func(*copier.Workload) {}, true},
		{"requested rarely", func(w *copier.Workload) { w.Rate = 10 }, false},
		{"many objects", func(w *copier.Workload) { w.Objects = 250 }, false},
		{"cold requests are slow", func(w *copier.Workload) { w.WarmDuration = time.Second }, false},
		{"cold requests are slow and large", func(w *copier.Workload) { w.WarmDuration, w.BytesPerRequest = time.Second, 64<<10 }, true},
		{"long round trip", func(w *copier.Workload) { w.Rate, w.RTT = 10, 50*time.Millisecond }, true},
		{"no objects", func(w *copier.Workload) { w.Objects = 0 }, false},
		{"no object requested twice", func(w *copier.Workload) { w.Objects = math.Inf(1) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := usual
			tc.change(&w)
			assert.Equal(t, copier.PaysOff(w), tc.pays)
		})
	}
}

// TestEstimate checks the estimate on a VM that sees few of its zone's requests: it
// includes objects that this VM has not seen a request for.
func TestEstimate(t *testing.T) {
	t.Parallel()
	c := copier.New()
	_, _, ok := c.Estimate(startTime)
	assert.Assert(t, !ok)
	draw := rand.New(rand.NewPCG(1, 2))
	now := startTime
	for range 150 {
		now = now.Add(100 * time.Millisecond)
		c.Count(now, draw.Uint64N(200))
	}
	rate, objects, ok := c.Estimate(now)
	assert.Assert(t, ok)
	assert.Assert(t, rate > 9 && rate < 11, "%v", rate)
	assert.Assert(t, objects > 130 && objects < 300, "%v of 200", objects)
	_, _, ok = c.Estimate(now.Add(time.Hour))
	assert.Assert(t, ok)
}

// TestPropertyEstimate checks that the estimate is never below the number of distinct
// objects that were counted.
func TestPropertyEstimate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := copier.New()
		now := startTime
		seen := make(map[uint64]bool)
		for _, o := range rapid.SliceOfN(rapid.Uint64Range(0, 30), 20, 100).Draw(t, "objects") {
			now = now.Add(copier.PaybackPeriod / 110)
			seen[o] = true
			c.Count(now, o)
		}
		_, objects, ok := c.Estimate(now.Add(copier.PaybackPeriod))
		if ok && objects < float64(len(seen))-0.01 {
			t.Fatalf("estimated %v objects, but %d distinct ones were counted", objects, len(seen))
		}
	})
}
