package lender_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/account/limiter"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
)

// heardAfter is the time after which VMs that start at once have heard each other.
const heardAfter = time.Second

// fault is a failure, or a change of the limit, at a time for a duration.
type fault struct {
	kind     string
	at, last time.Duration
	node     int
}

// TestPropertySumStaysWithinBound guards against any order of messages, losses, deaths, starts,
// cuts, pauses and changed limits in which all VMs together exceed the bound.
func TestPropertySumStaysWithinBound(t *testing.T) {
	const seconds = 12
	rapid.Check(t, func(rt *rapid.T) {
		terms := limiter.Terms{
			Window: 2 * time.Second, Overage: rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "overage"),
			Slack: rapid.IntRange(0, 20).Draw(rt, "slack"), Zones: rapid.IntRange(1, 3).Draw(rt, "zones"),
		}
		perZone := rapid.IntRange(1, 5).Draw(rt, "vms")
		a := parser.Account{Name: "a", Rate: rapid.IntRange(1, 80).Draw(rt, "rate"), Burst: rapid.IntRange(0, 60).Draw(rt, "burst")}
		f := func() int { return rapid.IntRange(0, 9000).Draw(rt, "ms") }
		var faults []fault
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			faults = append(faults, fault{
				kind: rapid.SampledFrom([]string{"kill", "restart", "isolate", "divide", "cut", "freeze", "raise", "lower"}).Draw(rt, "kind"),
				at:   time.Duration(f()) * time.Millisecond,
				last: time.Duration(rapid.IntRange(100, 4500).Draw(rt, "last")) * time.Millisecond,
				node: rapid.IntRange(0, terms.Zones*perZone-1).Draw(rt, "node"),
			})
		}
		bad := rapid.Float64Range(0, 0.3).Draw(rt, "bad messages")
		seed := rapid.Uint64().Draw(rt, "seed")
		var violation string
		synctest.Test(t, func(t *testing.T) {
			violation = playFaults(t, terms, perZone, seed, a, faults, bad, seconds)
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// playFaults sends far more than the limit allows, in bursts from some VMs and between pauses,
// while faults happen. It returns what exceeded the bound, or "".
func playFaults(t *testing.T, terms limiter.Terms, perZone int, seed uint64, a parser.Account, faults []fault, bad float64, seconds int) string {
	t.Helper()
	f := newFleet(t, terms, perZone, seed, documentOf(a))
	defer f.stop()
	f.lost, f.doubled, f.late = bad/3, bad/3, bad/3
	start := time.Now()
	// limits has the bounds of the limits in force, by the time at which they ended.
	type era struct {
		until time.Time
		bound float64
	}
	var eras []era
	current := a
	for _, fa := range faults {
		f.running.Go(func() {
			if f.sleep(fa.at) {
				f.play(fa)
			}
		})
	}
	change := func(rate, burst int) {
		f.mu.Lock()
		eras = append(eras, era{time.Now(), terms.Bound(current.Rate, current.Burst)})
		current.Rate, current.Burst = max(rate, 1), burst
		d := documentOf(current)
		f.mu.Unlock()
		f.setDocument(d)
	}
	f.running.Go(func() {
		for tick := 0; f.sleep(20 * time.Millisecond); tick++ {
			for _, fa := range faults {
				if tick == int(fa.at/(20*time.Millisecond)) {
					switch fa.kind {
					case "raise":
						change(current.Rate*3, current.Burst*3)
					case "lower":
						change(current.Rate/10, current.Burst/10)
					}
				}
			}
		}
	})
	rng := rand.New(rand.NewPCG(seed, 2))
	for time.Since(start) < time.Duration(seconds)*time.Second {
		// A burst from a few VMs, and then a pause in which levels rise.
		few := f.nodes[:1+rng.IntN(len(f.nodes))]
		f.load(&a, float64(20+5*a.Rate), time.Duration(rng.IntN(1500))*time.Millisecond, anyOf(few))
		f.sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	f.sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, end := range f.spent["a"] {
		count := 0
		for _, at := range f.spent["a"] {
			if !at.After(end) && end.Sub(at) <= terms.Window {
				count++
			}
		}
		bound := terms.Bound(current.Rate, current.Burst)
		for _, e := range eras {
			// A lower limit binds one window after it is in force everywhere.
			if end.Sub(e.until) < 2*terms.Window {
				bound = max(bound, e.bound)
			}
		}
		if float64(count) > bound {
			return fmt.Sprintf("%d requests in the window that ends %v after the start, bound %.1f", count, end.Sub(start), bound)
		}
	}
	return ""
}

// play makes a failure happen and ends it.
func (f *fleet) play(fa fault) {
	n := f.nodes[fa.node]
	zone := inZone(f.nodes, n.zone)
	if fa.kind == "isolate" || fa.kind == "divide" {
		// The VMs of a zone must have heard each other before they lose each other: a part
		// that never heard of the rest can't know that it is one.
		f.sleep(heardAfter - min(fa.at, heardAfter))
	}
	switch fa.kind {
	case "kill":
		f.kill(n)
		f.sleep(fa.last)
		f.restart(n)
	case "restart":
		f.kill(n)
		f.restart(n)
	case "isolate":
		f.set(func() { n.group++ })
		f.sleep(fa.last)
		f.set(func() { n.group = 0 })
	case "divide":
		f.set(func() {
			for _, m := range zone[:len(zone)/2] {
				m.group++
			}
		})
		f.sleep(fa.last)
		f.set(func() {
			for _, m := range zone[:len(zone)/2] {
				m.group = 0
			}
		})
	case "cut":
		f.set(func() { f.cut[n.zone] = true })
		f.sleep(fa.last)
		f.set(func() { f.cut[n.zone] = false })
	case "freeze":
		f.freeze(n, fa.last)
	}
}

// freeze stops a VM for a time. When it goes on, it reads heartbeats that arrived meanwhile.
func (f *fleet) freeze(n *node, d time.Duration) {
	f.set(func() { n.frozen = true })
	f.sleep(d)
	f.set(func() {
		n.frozen = false
		for m := range n.heard {
			n.heard[m] = time.Now()
		}
	})
}

// restart starts a VM that was killed, once its zone is whole.
func (f *fleet) restart(n *node) {
	whole := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return !slices.ContainsFunc(f.nodes, func(m *node) bool { return m.zone == n.zone && m.group != 0 })
	}
	for !whole() {
		if !f.sleep(100 * time.Millisecond) {
			return
		}
	}
	f.mu.Lock()
	up := n.up
	f.mu.Unlock()
	if !up {
		f.start(n)
	}
}
