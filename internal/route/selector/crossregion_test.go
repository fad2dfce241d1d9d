package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A deployment that starts with cold upstreams has every request try to leave its
// region from the first second on. The cross-region fraction must still rise slowly.
func TestCrossRegionFractionRisesSlowly(t *testing.T) {
	t.Parallel()
	const perSecond = 200
	var l crossRegionLimiter
	now := time.Unix(1000, 0)
	var fractions []float64
	for range 5 {
		crossRegion := 0
		for range 2 * perSecond {
			now = now.Add(time.Second / perSecond)
			allowed := l.allow(now)
			l.record(now, allowed)
			if allowed {
				crossRegion++
			}
		}
		fractions = append(fractions, float64(crossRegion)/(2*perSecond))
	}
	last := 0.0
	for _, fraction := range fractions {
		assert.Assert(t, fraction-last <= maxCrossRegionIncrease+0.02, "%v", fractions)
		last = fraction
	}
	assert.Assert(t, last > 0.3, "a lasting need for cross-region requests must be met in the end: %v", fractions)
}

func TestCrossRegionAllowanceOfAQuietVM(t *testing.T) {
	t.Parallel()
	var l crossRegionLimiter
	now := time.Unix(1000, 0)
	assert.Assert(t, l.allow(now))
	l.record(now, true)
	l.record(now, true)
	assert.Assert(t, !l.allow(now))
	assert.Assert(t, l.allow(now.Add(crossRegionWindow)))
}
