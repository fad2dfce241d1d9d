package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

func refused(load int, retryAfter time.Duration) selector.Report {
	return selector.Report{Refused: true, Load: load, RetryAfter: retryAfter}
}

// An upstream that asks for a pause when it refuses a request must get no other one until
// the pause ends, whatever it reported before and whatever its record says.
func TestPausedUpstreamPicked(t *testing.T) {
	t.Parallel()
	const pause = time.Second
	for _, tc := range []struct {
		name  string
		load  int
		event func(f *fixture, d selector.Decision)
		after time.Duration
		want  bool
	}{
		{"at once", 1, nil, 0, false},
		{"just before the end", 1, nil, pause - time.Millisecond, false},
		{"at the end", 1, nil, pause, true},
		{"full upstream, just before the end", 6, nil, pause - time.Millisecond, false},
		{"shorter pause asked for later", 1, func(f *fixture, d selector.Decision) {
			f.Begin(f.now, d)
			f.End(f.now, d, refused(1, time.Millisecond))
		}, pause - time.Millisecond, false},
		{"longer pause asked for later", 1, func(f *fixture, d selector.Decision) {
			f.Begin(f.now, d)
			f.End(f.now, d, refused(1, 2*time.Second))
		}, pause, false},
		{"refusal without a pause", 1, func(f *fixture, d selector.Decision) {
			f.Begin(f.now, d)
			f.End(f.now, d, refused(1, 0))
		}, 0, false},
		{"success of an earlier request", 1, func(f *fixture, d selector.Decision) {
			f.Begin(f.now, d)
			f.End(f.now, d, answered(100*time.Millisecond, 0))
		}, 0, false},
		{"record removed and back", 1, func(f *fixture, d selector.Decision) {
			f.Update(f.now, without(startedView(), d.Target().Upstream), f.doc)
			f.Update(f.now, startedView(), f.doc)
		}, 0, false},
		{"later process", 1, func(f *fixture, d selector.Decision) {
			f.Update(f.now, with(startedView(), d.Target().Upstream, func(e *cataloger.Entry) { e.StartedMs++ }), f.doc)
		}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "a1", startedView())
			d := f.Decide(f.now, f.request("o"))
			f.Begin(f.now, d)
			f.End(f.now, d, refused(tc.load, pause))
			if tc.event != nil {
				tc.event(f, d)
			}
			f.now = f.now.Add(tc.after)
			var others []namer.Upstream
			for _, u := range without(startedView(), d.Target().Upstream).Upstreams {
				others = append(others, u.Upstream)
			}
			assert.Equal(t, f.Decide(f.now, f.request("o", others...)).Action == selector.Send, tc.want)
		})
	}
}

// A decision made before the upstream asked for a pause must not be carried out in it.
func TestPausedUpstreamUsedByEarlierDecision(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", startedView())
	early, d := f.Decide(f.now, f.request("o")), f.Decide(f.now, f.request("o"))
	f.Begin(f.now, d)
	f.End(f.now, d, refused(1, time.Second))
	assert.Assert(t, !f.Usable(f.now, early))
	assert.Assert(t, f.Usable(f.now.Add(time.Second), early))
}

// With all of its upstreams paused, a request must not be held when no pause ends before
// its deadline, nor be refused when one ends well before it.
func TestAllUpstreamsPaused(t *testing.T) {
	t.Parallel()
	all := make([]namer.Upstream, 0, 16)
	for _, u := range startedView().Upstreams {
		all = append(all, u.Upstream)
	}
	for _, tc := range []struct {
		name string
		// pause is that of all upstreams of region a, pauseB of those of region b.
		pause, pauseB time.Duration
		route         int
		tried         []namer.Upstream
		action        selector.Action
		reason        selector.Reason
		retryAfter    time.Duration
	}{
		{"ends before the deadline", time.Second, time.Minute, 0, nil, selector.Wait, selector.ReasonPaused, 0},
		{"ends after the deadline", 4 * time.Second, 3 * time.Second, 0, nil, selector.Refuse, selector.ReasonPaused, 3 * time.Second},
		{"ends too close to the deadline", 1990 * time.Millisecond, time.Minute, 0, nil, selector.Refuse, selector.ReasonPaused, 1990 * time.Millisecond},
		{"the first to end is in a region that the route excludes", time.Minute, time.Second, 1, nil, selector.Refuse, selector.ReasonPaused, time.Minute},
		{"all were tried", time.Second, time.Minute, 0, all, selector.Refuse, selector.ReasonPaused, time.Second},
		{"others were tried", time.Minute, 0, 0, all, selector.Refuse, selector.ReasonNoUpstream, 300 * time.Millisecond},
		{"another region takes requests", time.Second, 0, 0, nil, selector.Send, selector.ReasonPrimary, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "a1", startedView())
			f.pauseAll("a", tc.pause)
			f.pauseAll("b", tc.pauseB)
			r := f.request("o", tc.tried...)
			r.Route = &f.doc.Routes[tc.route]
			d := f.Decide(f.now, r)
			assert.Equal(t, d.Action, tc.action)
			assert.Equal(t, d.Reason, tc.reason)
			assert.Equal(t, d.RetryAfter, tc.retryAfter)
		})
	}
}

// pauseAll makes every upstream of a region ask for a pause.
func (f *fixture) pauseAll(region namer.Region, pause time.Duration) {
	r := f.request("o")
	route := *r.Route
	route.PermittedRegions = []namer.Region{region}
	r.Route = &route
	for {
		d := f.Decide(f.now, r)
		if d.Action != selector.Send {
			return
		}
		f.Begin(f.now, d)
		f.End(f.now, d, refused(1, pause))
		r.Tried = append(r.Tried, d.Target().Upstream)
	}
}
