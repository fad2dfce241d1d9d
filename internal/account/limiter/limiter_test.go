package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/account/limiter"
)

const (
	step      = 20 * time.Millisecond
	lookSteps = 5
	beatSteps = 25
	// heardSteps is the time after which VMs that start, or reach each other again, have heard
	// each other. TestZoneDividedFromItsStart has the zone that is divided earlier.
	heardSteps  = 50
	deadTimeout = 5 * time.Second
)

var (
	timing = limiter.Timing{HeartbeatInterval: beatSteps * step, SuspectTimeout: 3 * beatSteps * step}
	epoch  = time.Unix(1000, 0)
)

type (
	// vm is a VM of a zone, whose order for the account is that of the zone's VMs. VMs of
	// different groups don't reach each other.
	vm struct {
		up, frozen bool
		group      int
		started    time.Time
		heard      map[int]time.Time
		// lost has when connections to others ended.
		lost   map[int]time.Time
		keeper *limiter.Keeper
	}

	zone struct {
		vms   []*vm
		limit limiter.Limit
	}
)

func (z *zone) start(now time.Time, v *vm) {
	v.up, v.frozen, v.started, v.keeper = true, false, now, limiter.NewKeeper(now, z.limit)
	v.heard, v.lost = make(map[int]time.Time), make(map[int]time.Time)
}

// beat exchanges a VM's heartbeats with those that it reaches.
func (z *zone) beat(now time.Time, i int) {
	v := z.vms[i]
	for j, w := range z.vms {
		if i != j && v.up && w.up && !v.frozen && !w.frozen && v.group == w.group {
			v.heard[j], w.heard[i] = now, now
		}
	}
}

func (z *zone) sight(now time.Time, i int) limiter.Sight {
	s := limiter.Sight{First: true}
	heard, known := 1, 1+len(z.vms[i].heard)
	for j, at := range z.vms[i].heard {
		if now.Sub(at) <= timing.SuspectTimeout && !z.vms[i].lost[j].After(at) {
			heard++
			s.First = s.First && j > i
			size := 1
			for _, at := range z.vms[j].heard {
				if now.Sub(at) <= deadTimeout {
					size++
				}
			}
			known = max(known, size)
		} else if j < i && at.After(s.SilentSince) {
			s.SilentSince = at
		}
	}
	s.Heard = float64(heard) / float64(known)
	s.FreshSince = z.vms[i].started
	for j := range z.vms[i].heard {
		if z.vms[j].started.Sub(z.vms[i].started).Abs() > timing.HeartbeatInterval {
			s.FreshSince = time.Time{}
		}
	}
	if heard == 1 && known == 1 && len(z.vms) > 1 {
		s.Heard = 0
	}
	return s
}

// fail makes a failure happen and returns what ends it.
func (z *zone) fail(now time.Time, kind string, i int) func(now time.Time) {
	v := z.vms[i]
	switch kind {
	case "kill":
		v.up = false
		return func(now time.Time) {
			if !v.up {
				z.start(now, v)
			}
		}
	case "power":
		for _, w := range z.vms {
			w.up = false
		}
		return func(now time.Time) {
			for _, w := range z.vms {
				z.start(now, w)
			}
		}
	case "freeze":
		v.frozen = true
		return func(now time.Time) {
			v.frozen = false
			for j := range v.heard {
				// It reads heartbeats that arrived meanwhile.
				v.heard[j] = now
			}
		}
	case "divide":
		for _, w := range z.vms[:i] {
			w.group = 1
		}
	case "isolate", "lose":
		v.group = 2
		for _, w := range z.vms {
			if kind == "lose" && w != v {
				// The others notice at once that its connections ended.
				w.lost[i] = now
			}
		}
	}
	return func(time.Time) {
		for _, w := range z.vms {
			w.group = 0
		}
	}
}

// TestPropertyZoneGivesAtMostItsPart guards against failures after which the VMs of a zone give
// more than its depth and rate: whoever holds tokens of the account gives them all at random
// moments.
func TestPropertyZoneGivesAtMostItsPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		z := &zone{limit: limiter.Limit{Rate: float64(rapid.IntRange(1, 100).Draw(rt, "rate")), Depth: float64(rapid.IntRange(2, 100).Draw(rt, "depth")), Generators: 1}}
		for range rapid.IntRange(1, 6).Draw(rt, "vms") {
			v := &vm{}
			z.start(epoch, v)
			z.vms = append(z.vms, v)
		}
		kinds := make(map[int]string)
		for at := 100; at < 900; at += 50 + rng.IntN(350) {
			kinds[at] = rapid.SampledFrom([]string{"kill", "freeze", "divide", "isolate", "lose", "power"}).Draw(rt, "kind")
		}
		type gift struct {
			at    time.Time
			count int
		}
		var gifts []gift
		var end func(time.Time)
		endStep := 0
		for tick := range 1000 {
			now := epoch.Add(time.Duration(tick) * step)
			if kind, ok := kinds[tick]; ok && end == nil && tick > endStep+heardSteps {
				end, endStep = z.fail(now, kind, rng.IntN(len(z.vms))), tick+1+rng.IntN(240)
			}
			if end != nil && tick == endStep {
				end(now)
				end = nil
			}
			greedy := rng.IntN(60) == 0
			for i, v := range z.vms {
				if !v.up || v.frozen {
					continue
				}
				if (tick+i*7)%beatSteps == 0 {
					z.beat(now, i)
				}
				if (tick+i)%lookSteps == 0 {
					v.keeper.Look(now, z.sight(now, i), timing)
				}
				if greedy || rng.IntN(200) == 0 {
					gifts = append(gifts, gift{now, v.keeper.Give(now, 1<<20, 0)})
				}
			}
		}
		for i := range gifts {
			sum := 0
			for _, g := range gifts[i:] {
				sum += g.count
				if most := z.limit.Depth + z.limit.Rate*g.at.Sub(gifts[i].at).Seconds(); float64(sum) > most+1e-6 {
					rt.Fatalf("%d tokens from %v to %v, at most %.1f", sum, gifts[i].at.Sub(epoch), g.at.Sub(epoch), most)
				}
			}
		}
	})
}

// TestZoneDividedFromItsStart guards against a zone whose VMs start while it is divided: the VMs
// of each side know only each other, and take their side for the zone.
func TestZoneDividedFromItsStart(t *testing.T) {
	t.Parallel()
	z := &zone{limit: limiter.Limit{Rate: 10, Depth: 10, Generators: 1}}
	for i := range 4 {
		v := &vm{group: i % 2}
		z.start(epoch, v)
		z.vms = append(z.vms, v)
	}
	given, end := 0, epoch.Add(5*time.Second)
	for now := epoch; now.Before(end); now = now.Add(lookSteps * step) {
		for i, v := range z.vms {
			z.beat(now, i)
			v.keeper.Look(now, z.sight(now, i), timing)
			given += v.keeper.Give(now, 1<<20, 0)
		}
	}
	most := z.limit.Depth + z.limit.Rate*end.Sub(epoch).Seconds()
	assert.Assert(t, float64(given) <= most, "%d tokens, at most %.0f", given, most)
}

// TestPropertyLimitsKeepTheBound guards against a depth and a life by which zones that keep
// their parts exceed the bound together.
func TestPropertyLimitsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := limiter.Terms{
			Window:  time.Duration(rapid.IntRange(1000, 60000).Draw(rt, "window")) * time.Millisecond,
			Overage: rapid.Float64Range(0, 1).Draw(rt, "overage"), Slack: rapid.IntRange(0, 100).Draw(rt, "slack"),
			Zones: rapid.IntRange(1, 40).Draw(rt, "zones"), SendTime: 50 * time.Millisecond,
		}
		rate, burst := rapid.IntRange(1, 1<<30).Draw(rt, "rate"), rapid.IntRange(0, 1<<30).Draw(rt, "burst")
		l := terms.Limit(rate, burst)
		held := terms.Window + l.Life + limiter.HoldTime + terms.SendTime
		most := float64(l.Generators) * (l.Depth + l.Start + l.Rate*held.Seconds())
		if most > terms.Bound(rate, burst)*(1+1e-9) || l.Depth < 1 || l.Rate <= 0 || l.Life <= 0 || l.Generators > terms.Zones {
			rt.Fatalf("%+v gives %.3f, bound %.3f", l, most, terms.Bound(rate, burst))
		}
	})
}

// TestLimits checks the division of limits of the sizes that deployments have.
func TestLimits(t *testing.T) {
	t.Parallel()
	terms := limiter.Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20, Zones: 6, SendTime: 50 * time.Millisecond}
	for _, tc := range []struct{ rate, burst int }{{4, 4}, {40, 40}, {660, 660}, {660, 0}} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			t.Parallel()
			l := terms.Limit(tc.rate, tc.burst)
			t.Logf("%+v", l)
			assert.Equal(t, l.Generators, 6)
			assert.Assert(t, l.Rate*6 > 0.999*float64(tc.rate), "the rate is lower than the account's")
			inWindow := l.Depth + l.Rate*terms.Window.Seconds()
			assert.Assert(t, inWindow*6 >= float64(tc.rate)*terms.Window.Seconds()+float64(tc.burst), "less is served in a window than the limit allows")
		})
	}
}

// TestStartOfAll checks that a small account has a token in each zone a heartbeat after there is
// a keeper after a start of all VMs, and not after the start of one VM.
func TestStartOfAll(t *testing.T) {
	t.Parallel()
	terms := limiter.Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20, Zones: 6, SendTime: 50 * time.Millisecond}
	for _, tc := range []struct {
		fresh time.Time
		given int
	}{{epoch, 1}, {time.Time{}, 0}} {
		k := limiter.NewKeeper(epoch, terms.Limit(4, 4))
		sight := limiter.Sight{First: true, Heard: 1, FreshSince: tc.fresh}
		k.Look(epoch, sight, timing)
		assert.Equal(t, k.Give(epoch, 1, 0), 0)
		confirmed := epoch.Add(timing.HeartbeatInterval)
		k.Look(confirmed, sight, timing)
		later := confirmed.Add(timing.HeartbeatInterval)
		k.Look(later, sight, timing)
		assert.Equal(t, k.Give(later, 1, 0), tc.given)
	}
}

// TestStockExpires guards against tokens that are spent after their life.
func TestStockExpires(t *testing.T) {
	t.Parallel()
	var s limiter.Stock
	for i := range 6 {
		s.Add(epoch, 2, epoch.Add(time.Duration(10-i)*time.Second))
	}
	assert.Equal(t, s.Count(epoch), 12)
	assert.Equal(t, s.Take(epoch.Add(9*time.Second), 20), 2)
	s.Add(epoch.Add(9*time.Second), 1, epoch.Add(9*time.Second))
	assert.Assert(t, !s.Spend(epoch.Add(9*time.Second)), "a token was spent that had expired when it arrived")
	assert.Assert(t, !s.Spend(epoch), "the clock was set back")
}

// TestWaitOfNewKeeper guards against callers that are told to return before a keeper that has
// just started can have a token for them.
func TestWaitOfNewKeeper(t *testing.T) {
	t.Parallel()
	k := limiter.NewKeeper(epoch, limiter.Limit{Rate: 2, Depth: 2, Generators: 1})
	look := func(after time.Duration) {
		k.Look(epoch.Add(after), limiter.Sight{First: true, Heard: 1}, timing)
	}
	look(0)
	told := k.Wait(epoch)
	for after := time.Duration(0); after < told; after += 100 * time.Millisecond {
		assert.Equal(t, k.Give(epoch.Add(after), 1, 0), 0)
		look(after)
	}
	assert.Equal(t, k.Give(epoch.Add(told), 1, 0), 1)
	assert.Equal(t, told, timing.HeartbeatInterval+500*time.Millisecond)
}
