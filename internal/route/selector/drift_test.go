package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDriftRisesSlowly has every request want to leave its region from the
// first second on, as when a deployment starts with cold upstreams.
func TestDriftRisesSlowly(t *testing.T) {
	t.Parallel()
	const perSecond = 200
	var d drift
	now := time.Unix(1000, 0)
	var parts []float64
	for range 5 {
		away := 0
		for range 2 * perSecond {
			now = now.Add(time.Second / perSecond)
			leaves := d.allows(now)
			d.count(now, leaves)
			if leaves {
				away++
			}
		}
		parts = append(parts, float64(away)/(2*perSecond))
	}
	last := 0.0
	for _, part := range parts {
		assert.Assert(t, part-last <= driftRise+0.02, "%v", parts)
		last = part
	}
	assert.Assert(t, last > 0.3, "what is needed for long is allowed: %v", parts)
}

func TestDriftOfAQuietVM(t *testing.T) {
	t.Parallel()
	var d drift
	now := time.Unix(1000, 0)
	assert.Assert(t, d.allows(now))
	d.count(now, true)
	d.count(now, true)
	assert.Assert(t, !d.allows(now))
	assert.Assert(t, d.allows(now.Add(driftWindow)))
}
