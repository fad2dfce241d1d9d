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

var noon = time.Unix(1000, 0)

// TestPaysOff weighs a cold run against what the copy saves.
func TestPaysOff(t *testing.T) {
	t.Parallel()
	usual := copier.Demand{Rate: 50, Objects: 25, WarmDuration: 100 * time.Millisecond, RoundTrip: 7 * time.Millisecond, BytesPerRequest: 2048}
	for _, tc := range []struct {
		name   string
		change func(*copier.Demand)
		pays   bool
	}{
		{"asked often", func(*copier.Demand) {}, true},
		{"asked seldom", func(d *copier.Demand) { d.Rate = 10 }, false},
		{"many objects", func(d *copier.Demand) { d.Objects = 250 }, false},
		{"cold runs are long", func(d *copier.Demand) { d.WarmDuration = time.Second }, false},
		{"cold runs are long, and requests large", func(d *copier.Demand) { d.WarmDuration, d.BytesPerRequest = time.Second, 64<<10 }, true},
		{"zones are far", func(d *copier.Demand) { d.Rate, d.RoundTrip = 10, 50*time.Millisecond }, true},
		{"nothing known", func(d *copier.Demand) { d.Objects = 0 }, false},
		{"no object asked twice", func(d *copier.Demand) { d.Objects = math.Inf(1) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := usual
			tc.change(&d)
			assert.Equal(t, copier.PaysOff(d), tc.pays)
		})
	}
}

// TestEstimate has a VM that sees few of its zone's requests tell from how many objects
// they are drawn, though it has not seen all of these.
func TestEstimate(t *testing.T) {
	t.Parallel()
	c := copier.New()
	_, _, ok := c.Estimate(noon)
	assert.Assert(t, !ok)
	draw := rand.New(rand.NewPCG(1, 2))
	now := noon
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

// TestPropertyEstimate never finds fewer objects than were seen.
func TestPropertyEstimate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := copier.New()
		now := noon
		seen := make(map[uint64]bool)
		for _, o := range rapid.SliceOfN(rapid.Uint64Range(0, 30), 20, 100).Draw(t, "objects") {
			now = now.Add(copier.PaybackPeriod / 110)
			seen[o] = true
			c.Count(now, o)
		}
		_, objects, ok := c.Estimate(now.Add(copier.PaybackPeriod))
		if ok && objects < float64(len(seen))-0.01 {
			t.Fatalf("%v objects, %d were seen", objects, len(seen))
		}
	})
}
