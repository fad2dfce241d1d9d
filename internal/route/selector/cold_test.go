package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// coldShare is what one of four VMs may send per second to an upstream of the test's service
// while it is cold.
const coldShare = 3

// coldFixture returns a selector of one of four VMs, and the first upstream of an object.
func coldFixture(t *testing.T) (*fixture, namer.Upstream) {
	t.Helper()
	f := newFixture(t, "a1", startedView())
	f.SetMembers(4, 2, func(namer.Upstream, namer.Zone) int { return 0 })
	return f, f.pick(t, "o")
}

// beginTo begins up to n requests to an upstream, and returns their decisions.
func (f *fixture) beginTo(name namer.Upstream, n int) []selector.Decision {
	var out []selector.Decision
	for range n {
		d := f.Decide(f.now, f.request("o"))
		if d.Action != selector.Send || d.Target().Upstream != name {
			break
		}
		f.Begin(f.now, d)
		out = append(out, d)
	}
	return out
}

// answerTo sends up to n requests to an upstream, one after another within an instant, each of which
// is answered well, and returns how many were sent.
func (f *fixture) answerTo(name namer.Upstream, n int) int {
	sent := 0
	for sent < n {
		ds := f.beginTo(name, 1)
		if f.admit(ds) == 0 {
			break
		}
		f.End(f.now, ds[0], answered(10*time.Millisecond, 0))
		sent++
	}
	return sent
}

// admit returns how many of the decisions are admitted.
func (f *fixture) admit(ds []selector.Decision) int {
	n := 0
	for _, d := range ds {
		if f.Admit(f.now, d) {
			n++
		}
	}
	return n
}

// restarted returns the view in which an upstream has started again and is cold.
func (f *fixture) restarted(name namer.Upstream) *cataloger.View {
	v := with(startedView(), name, func(e *cataloger.Entry) { e.StartedMs++ })
	for i := range v.Upstreams {
		if v.Upstreams[i].Upstream == name {
			v.Upstreams[i].ColdUntil = f.now.Add(3 * time.Second)
		}
	}
	return v
}

// Requests that were sent just before the news of a new process may have reached it.
func TestSendsBeforeNewsNotCounted(t *testing.T) {
	t.Parallel()
	f, name := coldFixture(t)
	assert.Equal(t, f.admit(f.beginTo(name, coldShare)), coldShare)
	f.now = f.now.Add(500 * time.Millisecond)
	f.Update(f.now, f.restarted(name), f.doc)
	assert.Equal(t, len(f.beginTo(name, 1)), 0, "sent beyond the share within a second")
	f.now = f.now.Add(time.Second)
	assert.Equal(t, len(f.beginTo(name, 9)), coldShare)
}

// A request that could not be sent, since no connection opened, must not take the place of
// others.
func TestUnsentRequestsCounted(t *testing.T) {
	t.Parallel()
	f, name := coldFixture(t)
	f.Update(f.now, f.restarted(name), f.doc)
	for _, d := range f.beginTo(name, 9) {
		f.End(f.now, d, selector.Report{Unsent: true, Inconclusive: true, Load: -1})
	}
	assert.Equal(t, f.admit(f.beginTo(name, 9)), coldShare)
}

// The rank among hundreds of VMs takes longer to compute than a decision, and while upstreams are
// cold each queued request is decided on again and again.
func TestRankComputedForEachDecision(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", startedView())
	calls := 0
	f.SetMembers(4, 2, func(namer.Upstream, namer.Zone) int { calls++; return 0 })
	name := f.pick(t, "o")
	f.Update(f.now, f.restarted(name), f.doc)
	for range 100 {
		f.Decide(f.now, f.request("o"))
	}
	assert.Equal(t, calls, 1)
	f.SetMembers(100, 2, func(namer.Upstream, namer.Zone) int { return 99 })
	assert.Equal(t, len(f.beginTo(name, 1)), 0, "the share of the former members is used")
}
