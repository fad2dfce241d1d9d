package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// startedMs is the start time of the upstreams' processes.
const startedMs = 5000

// startedView returns view with the start times of the processes.
func startedView() *cataloger.View {
	v := view()
	for i := range v.Upstreams {
		v.Upstreams[i].StartedMs = startedMs
	}
	return v
}

// without returns a view that lacks one upstream.
func without(v *cataloger.View, name namer.Upstream) *cataloger.View {
	out := &cataloger.View{Drained: v.Drained}
	for _, u := range v.Upstreams {
		if u.Upstream != name {
			out.Upstreams = append(out.Upstreams, u)
		}
	}
	return out
}

// with returns a view in which the entry of one upstream is changed.
func with(v *cataloger.View, name namer.Upstream, change func(e *cataloger.Entry)) *cataloger.View {
	for i := range v.Upstreams {
		if v.Upstreams[i].Upstream == name {
			change(&v.Upstreams[i].Entry)
		}
	}
	return v
}

// An upstream that said in a response that it is leaving must get no further request,
// although its record still says that it is ready, or says so again: a store that was
// restored from an older copy has the record back.
func TestLeavingUpstreamPickedByItsRecord(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		change func(f *fixture, leaver namer.Upstream)
		picked bool
	}{
		{"record unchanged", func(*fixture, namer.Upstream) {}, false},
		{"record written again", func(f *fixture, _ namer.Upstream) {
			f.Update(f.now, startedView(), f.doc)
		}, false},
		{"record drains and is ready again", func(f *fixture, leaver namer.Upstream) {
			f.Update(f.now, with(startedView(), leaver, func(e *cataloger.Entry) { e.Draining = true }), f.doc)
			f.Update(f.now, startedView(), f.doc)
		}, false},
		{"record removed and back", func(f *fixture, leaver namer.Upstream) {
			f.Update(f.now, without(startedView(), leaver), f.doc)
			f.Update(f.now, startedView(), f.doc)
		}, false},
		{"service removed and back", func(f *fixture, _ namer.Upstream) {
			f.Update(f.now, startedView(), &parser.Document{})
			f.Update(f.now, startedView(), f.doc)
		}, false},
		{"record of an earlier process", func(f *fixture, leaver namer.Upstream) {
			f.Update(f.now, with(startedView(), leaver, func(e *cataloger.Entry) { e.StartedMs-- }), f.doc)
		}, false},
		{"other address", func(f *fixture, leaver namer.Upstream) {
			f.Update(f.now, with(startedView(), leaver, func(e *cataloger.Entry) { e.Address = "y" }), f.doc)
		}, false},
		{"record of a later process", func(f *fixture, leaver namer.Upstream) {
			f.Update(f.now, with(startedView(), leaver, func(e *cataloger.Entry) { e.StartedMs++ }), f.doc)
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "a1", startedView())
			d := f.Decide(f.now, f.request("o"))
			leaver := d.Target().Upstream
			f.Begin(f.now, d)
			f.End(f.now, d, selector.Report{Leaving: true, Load: -1})
			assert.Assert(t, !f.Usable(f.now, d))
			tc.change(f, leaver)
			assert.Equal(t, f.pick(t, "o") == leaver, tc.picked)
		})
	}
}

// The notice must also hold if it comes after the upstream's record has disappeared and
// come back, so that the decision knows another state of the upstream than the view.
func TestNoticeLostBetweenStates(t *testing.T) {
	t.Parallel()
	for name, r := range map[string]selector.Report{
		"leaving": {Leaving: true, Load: -1},
		"pause":   refused(1, time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "a1", startedView())
			d := f.Decide(f.now, f.request("o"))
			f.Begin(f.now, d)
			f.Update(f.now, without(startedView(), d.Target().Upstream), f.doc)
			f.Update(f.now, startedView(), f.doc)
			f.End(f.now, d, r)
			assert.Assert(t, f.pick(t, "o") != d.Target().Upstream)
		})
	}
}

// With all upstreams leaving, requests are refused instead of queued.
func TestRequestQueuedForLeavingUpstreams(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", startedView())
	for range 16 {
		d := f.Decide(f.now, f.request("o"))
		assert.Equal(t, d.Action, selector.Send)
		f.Begin(f.now, d)
		f.End(f.now, d, selector.Report{Leaving: true, Load: -1})
	}
	d := f.Decide(f.now, f.request("o"))
	assert.Equal(t, d.Action, selector.Refuse)
	assert.Equal(t, d.Reason, selector.ReasonNoUpstream)
}

// A notice that an earlier process sent before it ended must not keep requests from the next
// one, also if that has already asked for a pause.
func TestLateNoticeOfEarlierProcess(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", startedView())
	late := f.Decide(f.now, f.request("o"))
	f.Begin(f.now, late)
	name := late.Target().Upstream
	f.Update(f.now, with(startedView(), name, func(e *cataloger.Entry) { e.StartedMs++ }), f.doc)
	d := f.Decide(f.now, f.request("o"))
	assert.Equal(t, d.Target().Upstream, name)
	f.Begin(f.now, d)
	f.End(f.now, d, refused(1, time.Second))
	f.End(f.now, late, selector.Report{Leaving: true, Load: -1})
	f.now = f.now.Add(time.Second)
	assert.Equal(t, f.pick(t, "o"), name)
}

// A process whose clock is behind that of the process before it must get requests, although that
// one said that it was leaving. Its record has a later version in the same era of the store.
func TestNoticeOfProcessWithLaterStart(t *testing.T) {
	t.Parallel()
	record := func(r storer.Revision, startedMs int64) *cataloger.View {
		v := startedView()
		for i := range v.Upstreams {
			v.Upstreams[i].Version = storer.Version{Era: 1, Revision: r}
		}
		v.Upstreams[0].StartedMs = startedMs
		return v
	}
	f := newFixture(t, "a1", record(80, startedMs))
	all := f.request("o")
	leaver := record(80, startedMs).Upstreams[0].Upstream
	for _, u := range startedView().Upstreams {
		if u.Upstream != leaver {
			all.Tried = append(all.Tried, u.Upstream)
		}
	}
	d := f.Decide(f.now, all)
	assert.Equal(t, d.Target().Upstream, leaver)
	f.Begin(f.now, d)
	f.End(f.now, d, selector.Report{Leaving: true, Load: -1})
	f.Update(f.now, without(record(80, startedMs), leaver), f.doc)
	f.Update(f.now, record(90, startedMs-1), f.doc)
	assert.Equal(t, f.Decide(f.now, all).Action, selector.Send)
}
