package selector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const documentText = `
[service desk]
warmup = 3s
coldrate = 12
[route read]
host = shop
path = /read/
split = desk:1
timeout = 2s
target = 200ms
affinity = yes
[route near]
host = shop
path = /near/
split = desk:1
regions = a
`

var (
	noon    = time.Unix(1000, 0)
	regions = map[namer.Zone]namer.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
)

func document(t testing.TB) *parser.Document {
	t.Helper()
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(documentText)}})
	assert.NilError(t, err)
	return doc
}

// view returns four upstreams of four slots in each zone.
func view() *cataloger.View {
	v := &cataloger.View{Drained: map[namer.Zone]bool{}}
	for _, zone := range []namer.Zone{"a1", "a2", "b1", "b2"} {
		for i := range 4 {
			v.Upstreams = append(v.Upstreams, cataloger.Upstream{Entry: cataloger.Entry{
				Upstream: namer.Upstream(fmt.Sprintf("%s-%d", zone, i)), Service: "desk", Zone: zone, Address: "x", Slots: 4,
			}})
		}
	}
	return v
}

type fixture struct {
	*selector.Selector
	doc  *parser.Document
	now  time.Time
	zone namer.Zone
}

func newFixture(t testing.TB, zone namer.Zone, v *cataloger.View) *fixture {
	t.Helper()
	f := &fixture{doc: document(t), now: noon, zone: zone}
	f.Selector = selector.New(selector.Self{VM: "v", Zone: zone, Region: regions[zone], Regions: regions})
	f.Update(f.now, v, f.doc)
	return f
}

func (f *fixture) request(object string, tried ...namer.Upstream) selector.Request {
	return selector.Request{
		Route: &f.doc.Routes[0], Service: "desk", Object: object, TargetTime: f.now.Add(200 * time.Millisecond), Deadline: f.now.Add(2 * time.Second), Tried: tried,
	}
}

func (f *fixture) pick(t testing.TB, object string) namer.Upstream {
	t.Helper()
	d := f.Decide(f.now, f.request(object))
	assert.Equal(t, d.Action, selector.Send, "%v", d.Reason)
	name := d.Target().Upstream
	return name
}

func objects(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("object-%d", i)
	}
	return out
}

func answered(latency time.Duration, load int) selector.Report {
	return selector.Report{Latency: latency, Load: load}
}

// The VMs of a zone must send an object to the same upstream.
func TestVMsOfAZonePickTheSameUpstream(t *testing.T) {
	t.Parallel()
	one, other := newFixture(t, "a1", view()), newFixture(t, "a1", view())
	used := make(map[namer.Upstream]int)
	for _, o := range objects(200) {
		assert.Equal(t, one.pick(t, o), other.pick(t, o))
		used[one.pick(t, o)]++
	}
	assert.Equal(t, len(used), 4, "the objects of a zone must be spread over its own upstreams: %v", used)
}

func TestRemovedUpstreamMovesOnlyItsObjects(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	before := make(map[string]namer.Upstream)
	for _, o := range objects(200) {
		before[o] = f.pick(t, o)
	}
	v := view()
	v.Upstreams = v.Upstreams[1:]
	f.Update(f.now, v, f.doc)
	for _, o := range objects(200) {
		if before[o] != "a1-0" {
			assert.Equal(t, f.pick(t, o), before[o])
		}
	}
}

func TestDrainingUpstreamsAreNotPicked(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		drain func(v *cataloger.View)
	}{
		{"draining", func(v *cataloger.View) {
			for i := range 4 {
				v.Upstreams[i].Draining = true
			}
		}},
		{"zone drained", func(v *cataloger.View) { v.Drained["a1"] = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			v := view()
			tc.drain(v)
			f := newFixture(t, "a1", v)
			for _, o := range objects(100) {
				assert.Equal(t, string(f.pick(t, o)[:2]), "a2", "must be in the other zone of the region")
			}
		})
	}
}

func TestPermittedRegions(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "b1", view())
	a := f.request("o")
	a.Route = &f.doc.Routes[1]
	for range 20 {
		d := f.Decide(f.now, a)
		assert.Equal(t, d.Action, selector.Send)
		name := d.Target().Upstream
		assert.Equal(t, string(name[:1]), "a")
		a.Tried = append(a.Tried, name)
		if len(a.Tried) == 8 {
			break
		}
	}
	assert.Equal(t, f.Decide(f.now, a).Action, selector.Refuse, "no upstream of another region may be used")
}

// After a drain the upstreams of a zone are cold. Until they are warm, each gets some
// requests, but no more than its rate limit allows.
func TestColdZoneIsRateLimited(t *testing.T) {
	t.Parallel()
	v := view()
	v.Drained["a1"] = true
	f := newFixture(t, "a1", v)
	f.SetMembers(4, 2, func(namer.Upstream, namer.Zone) int { return 0 })
	f.Update(f.now, view(), f.doc)
	cold := make(map[namer.Upstream]int)
	for i := range 1000 {
		f.now = noon.Add(time.Duration(i) * time.Millisecond)
		d := f.Decide(f.now, f.request(objects(100)[i%100]))
		name := d.Target().Upstream
		f.Begin(f.now, d)
		f.End(f.now, d, answered(50*time.Millisecond, 0))
		if name[:2] == "a1" {
			cold[name]++
		}
	}
	assert.Equal(t, len(cold), 4)
	for name, n := range cold {
		assert.Assert(t, n <= 3, "%s got %d requests from one of four VMs, which share a limit of 12", name, n)
	}
	f.now = noon.Add(4 * time.Second)
	used := 0
	for _, o := range objects(100) {
		if f.pick(t, o)[:2] == "a1" {
			used++
		}
	}
	assert.Equal(t, used, 100, "warm upstreams must get their objects back")
}

// A cold upstream must not get more than its limit in a second because what was sent to it is no
// longer counted: its record was gone for a moment, or says only now that it is cold.
func TestSendsToColdUpstreamForgotten(t *testing.T) {
	t.Parallel()
	const limit = 12
	coldView := func() *cataloger.View {
		v := view()
		v.Upstreams = v.Upstreams[:1]
		v.Upstreams[0].ColdUntil = noon.Add(3 * time.Second)
		return v
	}
	warmView := coldView()
	warmView.Upstreams[0].ColdUntil = time.Time{}
	newProcess := coldView()
	newProcess.Upstreams[0].StartedMs++
	for _, tc := range []struct {
		name   string
		before *cataloger.View
		news   []*cataloger.View
	}{
		{"record removed and back", coldView(), []*cataloger.View{{}, coldView()}},
		{"known to be cold only now", warmView, []*cataloger.View{coldView()}},
		{"new process known only now", warmView, []*cataloger.View{newProcess}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "a1", tc.before)
			sent := 0
			sendUpTo := func(most int) {
				for d := f.Decide(f.now, f.request("o")); d.Action == selector.Send && sent < most; d = f.Decide(f.now, f.request("o")) {
					f.Begin(f.now, d)
					assert.Assert(t, f.Admit(f.now, d))
					f.End(f.now, d, answered(100*time.Millisecond, 0))
					sent++
				}
			}
			sendUpTo(limit)
			assert.Equal(t, sent, limit)
			for _, v := range tc.news {
				f.Update(f.now, v, f.doc)
			}
			sendUpTo(2 * limit)
			assert.Equal(t, sent, limit)
		})
	}
}

// A request goes to the secondary upstream when the primary has a queue. When both have
// one, it waits instead of going to an upstream where the object is cold.
func TestFullPrimaryUsesSecondaryThenWaits(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	warm(f)
	primary := f.pick(t, "o")
	reportLoad(f, "o", 12)
	secondary := f.pick(t, "o")
	assert.Assert(t, secondary != primary)
	assert.Equal(t, string(secondary[:2]), "a2")
	reportLoad(f, "o", 12)
	d := f.Decide(f.now, f.request("o"))
	assert.Equal(t, d.Action, selector.Wait)
}

// warm lets the selector learn the usual processing time.
func warm(f *fixture) {
	for _, o := range objects(200) {
		d := f.Decide(f.now, f.request(o))
		f.Begin(f.now, d)
		f.End(f.now, d, answered(100*time.Millisecond, 0))
	}
}

// reportLoad sends a request for an object; its upstream reports a load in the response.
func reportLoad(f *fixture, object string, requests int) {
	d := f.Decide(f.now, f.request(object))
	f.Begin(f.now, d)
	f.End(f.now, d, answered(100*time.Millisecond, requests))
}

// A slow upstream loses its objects and gets them back later.
func TestSlowUpstreamIsAvoidedForAWhile(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	warm(f)
	slow := f.pick(t, "o")
	for range 40 {
		d := f.Decide(f.now, f.request("o"))
		name := d.Target().Upstream
		latency := 100 * time.Millisecond
		if name == slow {
			latency = time.Second
		}
		f.Begin(f.now, d)
		f.End(f.now, d, answered(latency, 0))
	}
	assert.Assert(t, f.pick(t, "o") != slow)
	f.now = f.now.Add(30 * time.Second)
	assert.Equal(t, f.pick(t, "o"), slow)
}

// An upstream gets no requests for a while after a connection to it could not be opened.
func TestConnectFailureBackoff(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	d := f.Decide(f.now, f.request("o"))
	down := d.Target().Upstream
	f.Begin(f.now, d)
	f.End(f.now, d, selector.Report{ConnectFailed: true, Load: -1})
	assert.Assert(t, f.pick(t, "o") != down)
	f.now = f.now.Add(time.Second)
	assert.Equal(t, f.pick(t, "o"), down)
}

// An upstream that refuses requests although it has free slots must not be taken as
// full, since its objects would run cold elsewhere. It is full when it reports no free
// slot, or no load at all.
func TestRefusedWithFreeSlots(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		load int
		full bool
	}{
		{"free slots", 1, false},
		{"all slots taken", 4, true},
		{"load not reported", -1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "a1", view())
			d := f.Decide(f.now, f.request("o"))
			primary := d.Target().Upstream
			f.Begin(f.now, d)
			f.End(f.now, d, selector.Report{Refused: true, Load: tc.load})
			assert.Equal(t, f.pick(t, "o") != primary, tc.full)
		})
	}
}

// A request that can't be answered by its deadline is refused at once.
func TestRefusesRequestThatCannotMeetDeadline(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	warm(f)
	a := f.request("o")
	a.Deadline = f.now.Add(30 * time.Millisecond)
	d := f.Decide(f.now, a)
	assert.Equal(t, d.Action, selector.Refuse)
	assert.Equal(t, d.Reason, selector.ReasonLate)
	assert.Assert(t, d.RetryAfter > 0)
}

// The expected latency includes the RTT. With all upstreams of the own region tried, it is
// that of a region 110 ms away.
func TestExpectedLatencyIncludesRTT(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	for _, o := range objects(400) {
		for _, tried := range [][]namer.Upstream{nil, {"a1-0", "a1-1", "a1-2", "a1-3", "a2-0", "a2-1", "a2-2", "a2-3"}} {
			d := f.Decide(f.now, f.request(o, tried...))
			name := d.Target().Upstream
			rtt := time.Millisecond
			if name[:1] == "b" {
				rtt = 110 * time.Millisecond
			}
			f.Begin(f.now, d)
			f.End(f.now, d, selector.Report{Latency: 100*time.Millisecond + 2*rtt, ConnectTime: rtt, Load: 0})
		}
	}
	d := f.Decide(f.now, f.request("o"))
	assert.Assert(t, d.ExpectedLatency < 150*time.Millisecond, "%v", d.ExpectedLatency)
	d = f.Decide(f.now, f.request("o", "a1-0", "a1-1", "a1-2", "a1-3", "a2-0", "a2-1", "a2-2", "a2-3"))
	assert.Assert(t, d.ExpectedLatency > 200*time.Millisecond, "%v", d.ExpectedLatency)
}

// viewOf returns n upstreams, as many in each zone.
func viewOf(n int) *cataloger.View {
	v := &cataloger.View{Drained: map[namer.Zone]bool{}}
	for i := range n {
		zone := []namer.Zone{"a1", "a2", "b1", "b2"}[i%4]
		v.Upstreams = append(v.Upstreams, cataloger.Upstream{Entry: cataloger.Entry{
			Upstream: namer.Upstream(fmt.Sprintf("%s-%d", zone, i)), Service: "desk", Zone: zone, Address: "x", Slots: 4,
		}})
	}
	return v
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{16, 78, 350} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(b, "a1", viewOf(n))
			warm(f)
			list := objects(100)
			i := 0
			for b.Loop() {
				f.Decide(f.now, f.request(list[i%len(list)]))
				i++
			}
		})
	}
}
