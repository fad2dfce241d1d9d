package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
)

// TestLongRequestsDoNotMakeUpstreamSlow guards against an upstream that loses its objects,
// which are cold elsewhere, since 3 of 100 requests take seven times as long at any upstream.
func TestLongRequestsDoNotMakeUpstreamSlow(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	warm(f)
	elsewhere := 0
	for i := range 4000 {
		f.now = f.now.Add(10 * time.Millisecond)
		d := f.Decide(f.now, f.request(objects(100)[i%100]))
		if d.Reason != selector.ReasonPrimary {
			elsewhere++
		}
		latency := 100 * time.Millisecond
		if i%33 == 0 {
			latency *= 7
		}
		f.Begin(f.now, d)
		f.End(f.now, d, answered(latency, 1))
	}
	assert.Assert(t, elsewhere < 20, "%d of 4000 sent elsewhere", elsewhere)
}

// TestSlowHost checks that an upstream whose host is slow at this moment is passed over, gets
// its objects back soon after, and isn't taken for a slow upstream itself.
func TestSlowHost(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	warm(f)
	primary := f.pick(t, "o")
	for range 20 {
		d := f.Decide(f.now, f.request("o"))
		if d.Target().Upstream != primary {
			break
		}
		f.Begin(f.now, d)
		f.End(f.now, d, selector.Report{Latency: 250 * time.Millisecond, Load: 1, HostSlowness: 2.5})
	}
	assert.Assert(t, f.pick(t, "o") != primary)
	f.now = f.now.Add(time.Second)
	assert.Equal(t, f.pick(t, "o"), primary)
	d := f.Decide(f.now, f.request("o"))
	assert.Assert(t, d.ExpectedLatency < 130*time.Millisecond, "%v", d.ExpectedLatency)
}

// TestColdSecondary checks that a request waits for its primary, rather than to go to the
// secondary, once objects of its route have been found to be cold there.
func TestColdSecondary(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	warm(f)
	primary := f.pick(t, "o")
	reportLoad(f, "o", 9)
	assert.Assert(t, f.pick(t, "o") != primary)
	for range 30 {
		d := f.Decide(f.now, f.request("o"))
		if d.Reason != selector.ReasonSecondary {
			break
		}
		f.Begin(f.now, d)
		f.End(f.now, d, answered(330*time.Millisecond, 1))
	}
	d := f.Decide(f.now, f.request("o"))
	assert.Equal(t, d.Target().Upstream, primary)
}

// slowHosts is a fleet of VMs whose requests go to upstreams on hosts of which a part is slow,
// others every interval. Responses take the time that their host needs for them.
type slowHosts struct {
	vms      []*fixture
	names    []namer.Upstream
	slow     map[namer.Upstream]bool
	inFlight map[namer.Upstream]int
	rng      *rand.Rand
	pending  []pendingRequest
	// silent hosts don't report how slow they are.
	silent bool
}

type pendingRequest struct {
	vm       *fixture
	decision selector.Decision
	end      time.Time
}

func newSlowHosts(t *testing.T, vms int) *slowHosts {
	w := &slowHosts{slow: make(map[namer.Upstream]bool), inFlight: make(map[namer.Upstream]int), rng: rand.New(rand.NewPCG(1, 2))}
	for range vms {
		w.vms = append(w.vms, newFixture(t, "a1", view()))
		warm(w.vms[len(w.vms)-1])
	}
	for _, u := range view().Upstreams {
		w.names = append(w.names, u.Upstream)
	}
	return w
}

// step sends one request of each VM in a random order, ends those that are due, and returns how
// many went to slow hosts.
func (w *slowHosts) step(now time.Time, requests int) (toSlow int) {
	kept := w.pending[:0]
	for _, p := range w.pending {
		if p.end.After(now) {
			kept = append(kept, p)
			continue
		}
		name := p.decision.Target().Upstream
		w.inFlight[name]--
		p.vm.now = now
		p.vm.End(now, p.decision, selector.Report{Latency: time.Duration(w.slowness(name) * float64(100*time.Millisecond)), Load: w.inFlight[name] + 1, HostSlowness: w.reported(name)})
	}
	w.pending = kept
	for range requests {
		vm := w.vms[w.rng.IntN(len(w.vms))]
		vm.now = now
		d := vm.Decide(now, vm.request(fmt.Sprint(w.rng.IntN(100))))
		if d.Action != selector.Send {
			continue
		}
		vm.Begin(now, d)
		name := d.Target().Upstream
		w.inFlight[name]++
		if w.slow[name] {
			toSlow++
		}
		w.pending = append(w.pending, pendingRequest{vm: vm, decision: d, end: now.Add(time.Duration(w.slowness(name) * float64(100*time.Millisecond)))})
	}
	return toSlow
}

func (w *slowHosts) reported(name namer.Upstream) float64 {
	if w.silent {
		return 0
	}
	return w.slowness(name)
}

func (w *slowHosts) slowness(name namer.Upstream) float64 {
	if w.slow[name] {
		return 2.5
	}
	return 1
}

// run plays 12 s with a quarter of the hosts slow, others each 0.6 s. It returns how many requests
// went to slow hosts, and how often an upstream had more requests than may be sent to it.
func (w *slowHosts) run() (toSlow, overloaded int) {
	for ms := 0; ms < 12000; ms += 10 {
		if ms%600 == 0 {
			clear(w.slow)
			for _, i := range w.rng.Perm(8)[:2] {
				w.slow[w.names[i]] = true
			}
		}
		toSlow += w.step(noon.Add(time.Duration(ms)*time.Millisecond), 1+ms/10%2)
		for _, name := range w.names[:8] {
			if w.inFlight[name] > 6 {
				overloaded++
			}
		}
	}
	return toSlow, overloaded
}

// TestFleetDoesNotSwing checks that VMs which read the same figure of slow hosts don't leave
// them together to flood the others, and that few VMs, whose figures are young, avoid them.
func TestFleetDoesNotSwing(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		vms         int
		maxFraction float64
	}{{2, 0.75}, {24, 1}, {66, 1}} {
		t.Run(fmt.Sprint(tc.vms), func(t *testing.T) {
			t.Parallel()
			told, blind := newSlowHosts(t, tc.vms), newSlowHosts(t, tc.vms)
			blind.silent = true
			toSlow, overloaded := told.run()
			blindToSlow, blindOverloaded := blind.run()
			assert.Assert(t, float64(toSlow) <= tc.maxFraction*float64(blindToSlow), "%d to slow hosts, %d without the figure", toSlow, blindToSlow)
			assert.Assert(t, overloaded <= blindOverloaded, "over the limit in %d steps, %d without the figure", overloaded, blindOverloaded)
		})
	}
}
