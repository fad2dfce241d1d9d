package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	paceVMs, paceUpstreams, paceSlots = 4, 8, 6
	paceTick, paceWork                = 5 * time.Millisecond, 60 * time.Millisecond
	paceCold                          = time.Second
)

type (
	// pacedUpstream runs up to paceSlots requests at once and queues the others. It knows no object
	// when it starts; one that it has to load takes three times the work, and until coldUntil twice.
	pacedUpstream struct {
		name      namer.Upstream
		started   int64
		down      bool
		coldUntil time.Time
		warm      map[string]bool
		held      []*pacedRequest
	}

	pacedRequest struct {
		vm       int
		object   string
		decision selector.Decision
		sentAt   time.Time
		left     time.Duration
	}

	// pacedFleet has a selector for each VM and moves them through simulated time.
	pacedFleet struct {
		t         *testing.T
		now       time.Time
		doc       *parser.Document
		vms       []*selector.Selector
		waiting   [][]string
		upstreams map[namer.Upstream]*pacedUpstream
		rand      *rand.Rand
		// perTick is the number of requests that arrive in a tick, at all VMs.
		perTick  int
		answered int
	}
)

func newPacedFleet(t *testing.T, perTick int) *pacedFleet {
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte("[service desk]\nwarmup = 1s\n" +
		"[route read]\nhost = shop\npath = /\nsplit = desk:1\ntarget = 100ms\ntimeout = 4s\naffinity = yes\n")}})
	assert.NilError(t, err)
	f := &pacedFleet{t: t, now: noon, doc: doc, perTick: perTick, rand: rand.New(rand.NewPCG(1, 0)), upstreams: make(map[namer.Upstream]*pacedUpstream)}
	for i := range paceUpstreams {
		name := namer.Upstream(fmt.Sprint("u", i))
		f.upstreams[name] = &pacedUpstream{name: name, started: 1, warm: make(map[string]bool)}
	}
	for range paceVMs {
		f.vms = append(f.vms, selector.New(selector.Self{VM: "v", Zone: "a1", Region: "a", Regions: regions}))
	}
	f.waiting = make([][]string, paceVMs)
	f.update()
	return f
}

// update tells all VMs of the running processes.
func (f *pacedFleet) update() {
	v := &cataloger.View{Drained: map[namer.Zone]bool{}}
	for i := range paceUpstreams {
		u := f.upstreams[namer.Upstream(fmt.Sprint("u", i))]
		v.Upstreams = append(v.Upstreams, cataloger.Upstream{ColdUntil: u.coldUntil, Entry: cataloger.Entry{
			Upstream: u.name, Service: "desk", Zone: "a1", Address: string(u.name), Slots: paceSlots, StartedMs: u.started,
		}})
	}
	for _, vm := range f.vms {
		vm.Update(f.now, v, f.doc)
	}
}

// restart replaces the processes of the first n upstreams.
func (f *pacedFleet) restart(n int) {
	for i := range n {
		u := f.upstreams[namer.Upstream(fmt.Sprint("u", i))]
		f.stop(u)
		u.started, u.coldUntil, u.warm, u.down = u.started+1, f.now.Add(paceCold), make(map[string]bool), false
	}
	f.update()
}

// stop ends a process with all that it holds.
func (f *pacedFleet) stop(u *pacedUpstream) {
	for _, r := range u.held {
		f.vms[r.vm].End(f.now, r.decision, selector.Report{Failed: true, Load: -1})
	}
	u.held, u.down = nil, true
}

// run moves the time on, and calls check after each tick.
func (f *pacedFleet) run(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(paceTick) {
		for range f.perTick {
			vm := f.rand.IntN(paceVMs)
			f.waiting[vm] = append(f.waiting[vm], fmt.Sprint("object-", f.rand.IntN(64)))
		}
		for vm := range f.vms {
			f.send(vm)
		}
		for _, u := range f.upstreams {
			f.work(u)
		}
		check()
	}
}

// send decides on what waits at a VM.
func (f *pacedFleet) send(vm int) {
	left := f.waiting[vm][:0]
	for _, object := range f.waiting[vm] {
		r := selector.Request{Route: &f.doc.Routes[0], Service: "desk", Object: object, TargetTime: f.now.Add(100 * time.Millisecond), Deadline: f.now.Add(4 * time.Second)}
		d := f.vms[vm].Decide(f.now, r)
		if d.Action != selector.Send {
			left = append(left, object)
			continue
		}
		f.vms[vm].Begin(f.now, d)
		u := f.upstreams[d.Target().Upstream]
		if u.down {
			f.vms[vm].End(f.now, d, selector.Report{Unsent: true, ConnectFailed: true, Load: -1})
			f.vms[vm].RecordLost(d.Target())
			left = append(left, object)
			continue
		}
		work := paceWork
		if !u.warm[object] {
			work *= 3
		}
		if f.now.Before(u.coldUntil) {
			work *= 2
		}
		u.warm[object] = true
		u.held = append(u.held, &pacedRequest{vm: vm, object: object, decision: d, sentAt: f.now, left: work})
	}
	f.waiting[vm] = left
}

// work runs an upstream for a tick.
func (f *pacedFleet) work(u *pacedUpstream) {
	var left, done []*pacedRequest
	for i, r := range u.held {
		if i < paceSlots {
			r.left -= paceTick
		}
		if r.left > 0 {
			left = append(left, r)
		} else {
			done = append(done, r)
		}
	}
	u.held = left
	for _, r := range done {
		f.answered++
		f.vms[r.vm].End(f.now, r.decision, answered(f.now.Sub(r.sentAt), len(left)))
	}
}

// contact tells all VMs that an upstream can be reached, as their probes do.
func (f *pacedFleet) contact(u *pacedUpstream) {
	for _, vm := range f.vms {
		for _, target := range vm.Lost() {
			if target.Upstream == u.name {
				vm.RecordContact(f.now, target)
			}
		}
	}
}

// TestFirstStartOfAll guards against a ramp that slows the start of a whole system.
func TestFirstStartOfAll(t *testing.T) {
	t.Parallel()
	f := newPacedFleet(t, 8)
	most := 0
	f.run(100*time.Millisecond, func() {
		for _, u := range f.upstreams {
			most = max(most, len(u.held))
		}
	})
	assert.Assert(t, most > paceVMs, "upstreams get %d requests at once", most)
	assert.Equal(t, f.vms[0].Paces(f.now), selector.PaceCounts{})
}

// TestStartedUpstreams guards against upstreams that are flooded when they start again during
// traffic, one or half of all at once, and against ones that are left idle while others are full.
func TestStartedUpstreams(t *testing.T) {
	t.Parallel()
	for _, started := range []int{1, paceUpstreams / 2} {
		t.Run(fmt.Sprint(started), func(t *testing.T) {
			t.Parallel()
			f := newPacedFleet(t, 3)
			f.run(3*time.Second, func() {})
			f.restart(started)
			u := f.upstreams["u0"]
			f.run(200*time.Millisecond, func() {
				assert.Assert(t, len(u.held) <= paceVMs, "flooded: %d requests", len(u.held))
			})
			idle := 0
			f.run(paceCold, func() {
				if len(u.held) == 0 && len(f.upstreams["u7"].held) > paceSlots {
					idle++
				}
			})
			assert.Assert(t, idle < 20, "idle for %d of 200 ticks", idle)
			before := f.answered
			f.run(4*time.Second, func() {})
			f.run(time.Second, func() { assert.Equal(t, f.vms[0].Paces(f.now).Paced, 0, "it is never at its full pace") })
			assert.Assert(t, f.answered-before > 950*3, "%d requests of 3000 answered", f.answered-before)
		})
	}
}

// TestRecoveredUpstream guards against an upstream that gets nothing until its back-off ends although
// it is known to be reachable, and against one that flaps and gets all that waits each time.
func TestRecoveredUpstream(t *testing.T) {
	t.Parallel()
	f := newPacedFleet(t, 3)
	f.run(2*time.Second, func() {})
	u := f.upstreams["u0"]
	for range 5 {
		f.stop(u)
		f.run(700*time.Millisecond, func() {})
		u.down = false
		f.contact(u)
		got := 0
		f.run(100*time.Millisecond, func() {
			got = max(got, len(u.held))
			assert.Assert(t, len(u.held) <= paceVMs, "flooded: %d requests", len(u.held))
		})
		assert.Assert(t, got > 0, "idle after it has recovered")
		f.run(400*time.Millisecond, func() {})
	}
}
