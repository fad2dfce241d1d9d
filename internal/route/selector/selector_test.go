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

const text = `
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
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(text)}})
	assert.NilError(t, err)
	return doc
}

// view has four upstreams of four slots in each zone.
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

func (f *fixture) ask(object string, tried ...namer.Upstream) selector.Request {
	return selector.Request{
		Route: &f.doc.Routes[0], Service: "desk", Object: object, TargetTime: f.now.Add(200 * time.Millisecond), Deadline: f.now.Add(2 * time.Second), Tried: tried,
	}
}

func (f *fixture) pick(t testing.TB, object string) namer.Upstream {
	t.Helper()
	d := f.Decide(f.now, f.ask(object))
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

func answer(latency time.Duration, load int) selector.Report {
	return selector.Report{Latency: latency, Load: load}
}

// TestVMsAgree has two VMs of a zone send an object to the same upstream.
func TestVMsAgree(t *testing.T) {
	t.Parallel()
	one, other := newFixture(t, "a1", view()), newFixture(t, "a1", view())
	used := make(map[namer.Upstream]int)
	for _, o := range objects(200) {
		assert.Equal(t, one.pick(t, o), other.pick(t, o))
		used[one.pick(t, o)]++
	}
	assert.Equal(t, len(used), 4, "the objects of a zone belong to its own upstreams: %v", used)
}

// TestLittleMoves takes an upstream away: only its objects move.
func TestLittleMoves(t *testing.T) {
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

func TestNeverChosen(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		spoil func(v *cataloger.View)
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
			tc.spoil(v)
			f := newFixture(t, "a1", v)
			for _, o := range objects(100) {
				assert.Equal(t, string(f.pick(t, o)[:2]), "a2", "the next zone of the region")
			}
		})
	}
}

func TestAllowedRegions(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "b1", view())
	a := f.ask("o")
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
	assert.Equal(t, f.Decide(f.now, a).Action, selector.Refuse, "no upstream of another region may serve")
}

// TestColdZone takes a drained zone back: its upstreams get no more than their
// rate until they are warm, and some of it.
func TestColdZone(t *testing.T) {
	t.Parallel()
	v := view()
	v.Drained["a1"] = true
	f := newFixture(t, "a1", v)
	f.SetMembers(4, 2, func(namer.Upstream) int { return 0 })
	f.Update(f.now, view(), f.doc)
	cold := make(map[namer.Upstream]int)
	for i := range 1000 {
		f.now = noon.Add(time.Duration(i) * time.Millisecond)
		d := f.Decide(f.now, f.ask(objects(100)[i%100]))
		name := d.Target().Upstream
		f.Begin(f.now, d)
		f.End(f.now, d, answer(50*time.Millisecond, 0))
		if name[:2] == "a1" {
			cold[name]++
		}
	}
	assert.Equal(t, len(cold), 4)
	for name, n := range cold {
		assert.Assert(t, n <= 3, "%s got %d of 12 by one of four VMs", name, n)
	}
	f.now = noon.Add(4 * time.Second)
	used := 0
	for _, o := range objects(100) {
		if f.pick(t, o)[:2] == "a1" {
			used++
		}
	}
	assert.Equal(t, used, 100, "warm upstreams get their objects back")
}

// TestFullPrimary sends to the second copy when the first has a queue, and
// waits when both have one, in place of a cold upstream.
func TestFullPrimary(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	warm(f)
	first := f.pick(t, "o")
	load(f, "o", 12)
	second := f.pick(t, "o")
	assert.Assert(t, second != first)
	assert.Equal(t, string(second[:2]), "a2")
	load(f, "o", 12)
	d := f.Decide(f.now, f.ask("o"))
	assert.Equal(t, d.Action, selector.Wait)
}

// warm teaches the fixture what a request takes.
func warm(f *fixture) {
	for _, o := range objects(200) {
		d := f.Decide(f.now, f.ask(o))
		f.Begin(f.now, d)
		f.End(f.now, d, answer(100*time.Millisecond, 0))
	}
}

// load has the upstream that an object would go to say that it is busy.
func load(f *fixture, object string, requests int) {
	d := f.Decide(f.now, f.ask(object))
	f.Begin(f.now, d)
	f.End(f.now, d, answer(100*time.Millisecond, requests))
}

// TestSlowUpstream loses its objects while it is slow, and gets them back.
func TestSlowUpstream(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	warm(f)
	slow := f.pick(t, "o")
	for range 40 {
		d := f.Decide(f.now, f.ask("o"))
		name := d.Target().Upstream
		latency := 100 * time.Millisecond
		if name == slow {
			latency = time.Second
		}
		f.Begin(f.now, d)
		f.End(f.now, d, answer(latency, 0))
	}
	assert.Assert(t, f.pick(t, "o") != slow)
	f.now = f.now.Add(30 * time.Second)
	assert.Equal(t, f.pick(t, "o"), slow)
}

// TestUnreachable leaves an upstream alone for a while after a connection to it
// could not be opened.
func TestUnreachable(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	d := f.Decide(f.now, f.ask("o"))
	down := d.Target().Upstream
	f.Begin(f.now, d)
	f.End(f.now, d, selector.Report{ConnectFailed: true, Load: -1})
	assert.Assert(t, f.pick(t, "o") != down)
	f.now = f.now.Add(time.Second)
	assert.Equal(t, f.pick(t, "o"), down)
}

// TestHopeless refuses at once what can't be answered in time.
// TestRefusedWithFreeSlots has an upstream refuse part of its requests although it
// has room. It is not taken as full, since its objects would run cold elsewhere.
func TestRefusedWithFreeSlots(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		load int
		full bool
	}{
		{"free slots", 1, false},
		{"all slots taken", 4, true},
		{"load not told", -1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "a1", view())
			d := f.Decide(f.now, f.ask("o"))
			primary := d.Target().Upstream
			f.Begin(f.now, d)
			f.End(f.now, d, selector.Report{Refused: true, Load: tc.load})
			assert.Equal(t, f.pick(t, "o") != primary, tc.full)
		})
	}
}

func TestHopeless(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	warm(f)
	a := f.ask("o")
	a.Deadline = f.now.Add(30 * time.Millisecond)
	d := f.Decide(f.now, a)
	assert.Equal(t, d.Action, selector.Refuse)
	assert.Equal(t, d.Reason, selector.ReasonLate)
	assert.Assert(t, d.RetryAfter > 0)
}

// TestWayCounts prefers an idle upstream near by to one far away.
func TestWayCounts(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	for _, o := range objects(400) {
		for _, tried := range [][]namer.Upstream{nil, {"a1-0", "a1-1", "a1-2", "a1-3", "a2-0", "a2-1", "a2-2", "a2-3"}} {
			d := f.Decide(f.now, f.ask(o, tried...))
			name := d.Target().Upstream
			way := time.Millisecond
			if name[:1] == "b" {
				way = 110 * time.Millisecond
			}
			f.Begin(f.now, d)
			f.End(f.now, d, selector.Report{Latency: 100*time.Millisecond + 2*way, ConnectTime: way, Load: 0})
		}
	}
	d := f.Decide(f.now, f.ask("o"))
	assert.Assert(t, d.ExpectedLatency < 150*time.Millisecond, "%v", d.ExpectedLatency)
	d = f.Decide(f.now, f.ask("o", "a1-0", "a1-1", "a1-2", "a1-3", "a2-0", "a2-1", "a2-2", "a2-3"))
	assert.Assert(t, d.ExpectedLatency > 200*time.Millisecond, "%v", d.ExpectedLatency)
}

func BenchmarkDecide(b *testing.B) {
	f := newFixture(b, "a1", view())
	warm(f)
	list := objects(100)
	i := 0
	for b.Loop() {
		f.Decide(f.now, f.ask(list[i%len(list)]))
		i++
	}
}
