package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/route/scheduler"
)

const (
	fleetSlots  = 48
	fleetWork   = 100 * time.Millisecond
	fleetTarget = 300 * time.Millisecond
	fleetLimit  = 1500 * time.Millisecond
)

type (
	// fleet is some VMs that send to one pool of slots, which works off what it gets in the
	// order of its arrival.
	fleet struct {
		now  time.Time
		vms  []*scheduler.Scheduler
		pool []sending
	}

	sending struct {
		vm      *scheduler.Scheduler
		request *scheduler.Request
		end     time.Time
	}

	// outcomes are the outcomes of the requests that arrived in a period.
	outcomes struct {
		arrived, inTime int
	}
)

// step lets time pass, and reports which requests were answered in time.
func (f *fleet) step(length time.Duration, inTime func(*scheduler.Request)) {
	f.now = f.now.Add(length)
	for i := 0; i < min(fleetSlots, len(f.pool)); {
		s := &f.pool[i]
		if s.end.IsZero() {
			s.end = f.now.Add(fleetWork)
		}
		if f.now.Before(s.end) {
			i++
			continue
		}
		if !f.now.After(s.request.TargetTime) {
			inTime(s.request)
		}
		vm, request := s.vm, s.request
		f.pool = append(f.pool[:i], f.pool[i+1:]...)
		vm.End(f.now, request)
		vm.ReportLoad(f.now, len(f.pool), fleetSlots)
	}
	for _, vm := range f.vms {
		f.serve(vm)
	}
}

// serve sends and refuses what waits at a VM.
func (f *fleet) serve(vm *scheduler.Scheduler) {
	ordered := vm.Ordered(f.now)
	for i, r := range ordered {
		switch {
		case vm.Late(f.now, ordered, i) > 0:
			vm.Remove(r)
		case vm.MaySend(f.now, r):
			vm.Remove(r)
			vm.Begin(f.now, r)
			f.pool = append(f.pool, sending{vm: vm, request: r})
		}
	}
}

// TestBurstIsSurvived replays a demand of one and a half times the slots for 5 s. Meanwhile as
// many requests as there is room for must be in time, not all of them late, and within a
// second of its end nearly all again. 24 VMs decide alone.
func TestBurstIsSurvived(t *testing.T) {
	t.Parallel()
	f := &fleet{now: noon}
	for range 24 {
		f.vms = append(f.vms, scheduler.New())
		f.vms[len(f.vms)-1].SetCapacity(fleetSlots / 24.0)
	}
	results := make([]outcomes, 12)
	second := make(map[*scheduler.Request]int)
	due, next := 0.0, 0
	for ms := 0; ms < 12000; ms += 5 {
		rate := 0.6
		if ms >= 2000 && ms < 7000 {
			rate = 1.5
		}
		for due += rate * fleetSlots * 0.005 / fleetWork.Seconds(); due >= 1; due-- {
			r := &scheduler.Request{Route: "read", TargetTime: f.now.Add(fleetTarget), Deadline: f.now.Add(fleetLimit), Work: fleetWork, Need: fleetWork * 3 / 2}
			second[r] = ms / 1000
			results[ms/1000].arrived++
			vm := f.vms[next%len(f.vms)]
			next++
			vm.RecordArrival(f.now, r)
			vm.Add(f.now, r)
			f.serve(vm)
		}
		f.step(5*time.Millisecond, func(r *scheduler.Request) { results[second[r]].inTime++ })
	}
	for s, r := range results[:11] {
		share := float64(r.inTime) / float64(r.arrived)
		switch {
		case s >= 2 && s < 7:
			assert.Assert(t, share > 0.6, "second %d: %v in time, there is room for two thirds", s, share)
		case s != 7:
			assert.Assert(t, share > 0.95, "second %d: %v in time", s, share)
		}
	}
}
