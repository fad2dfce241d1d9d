package capper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/capper"
)

type admitted struct {
	at     time.Time
	weight namer.Weight
}

// TestPropertyAnyWindow checks the limit in every window of its length, across restarts
// of the process and clock steps backwards.
func TestPropertyAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = time.Second
		limit := namer.Weight(rapid.IntRange(0, 20).Draw(t, "limit"))
		now := time.Unix(100, 0)
		latest := now
		c := capper.New(now)
		c.SetLimit(now, limit, window)
		var log []admitted
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(-50, 400).Draw(t, "step")) * time.Millisecond
			now = now.Add(step)
			latest = namer.Later(latest, now)
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				now = latest
				c = capper.New(now)
				c.SetLimit(now, limit, window)
			}
			weight := namer.Weight(rapid.IntRange(1, 5).Draw(t, "weight"))
			if c.Admit(now, weight) {
				log = append(log, admitted{at: latest, weight: weight})
			}
			var used namer.Weight
			for _, a := range log {
				if latest.Sub(a.at) < window {
					used += a.weight
				}
			}
			if used > limit {
				t.Fatalf("admitted %d within %s; limit is %d", used, window, limit)
			}
		}
	})
}

func TestAdmitsUpToTheLimit(t *testing.T) {
	t.Parallel()
	now := time.Unix(100, 0)
	c := capper.New(now)
	assert.Assert(t, c.Admit(now, 1000), "no limit yet")
	c.SetLimit(now, 3, time.Second)
	assert.Assert(t, !c.Admit(now, 1), "a predecessor may have used up the limit in this window")
	now = now.Add(time.Second)
	assert.Assert(t, c.Admit(now, 2))
	assert.Assert(t, !c.Admit(now, 2))
	assert.Assert(t, c.Admit(now, 1))
	assert.Assert(t, c.Admit(now.Add(time.Second), 3))
}

// TestLongerWindow guards against admitting too much after the window was made longer
// under load: what the shorter window has dropped still counts in the longer one.
func TestLongerWindow(t *testing.T) {
	t.Parallel()
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	c := capper.New(start)
	c.SetLimit(start, 3, time.Second)
	assert.Assert(t, c.Admit(at(1000), 3))
	assert.Assert(t, c.Admit(at(2000), 3))
	c.SetLimit(at(2100), 3, 5*time.Second)
	assert.Assert(t, !c.Admit(at(4000), 1))
	assert.Assert(t, !c.Admit(at(7000), 1))
	assert.Assert(t, c.Admit(at(7100), 3))
}
