package selector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const warmup = 3 * time.Second

// lostFixture returns a selector that has lost the process of an object's first upstream, and a target
// of it.
func lostFixture(t *testing.T) (*fixture, cataloger.Target) {
	t.Helper()
	f, name := coldFixture(t)
	target := f.Decide(f.now, f.request("o")).Target()
	assert.Equal(t, target.Upstream, name)
	assert.Assert(t, f.RecordLost(target))
	return f, target
}

// Until the store tells of the new process, all VMs would send to an upstream that starts again
// as to the warm process before it.
func TestRestartedUpstreamTakenForWarm(t *testing.T) {
	t.Parallel()
	f, target := lostFixture(t)
	sent := 0
	for f.now.Before(noon.Add(time.Second)) {
		ds := f.beginTo(target.Upstream, 9)
		sent += f.admit(ds)
		for _, d := range ds {
			f.End(f.now, d, answered(10*time.Millisecond, 0))
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
	assert.Equal(t, sent, coldShare)
}

// Requests whose upstream was chosen before it was lost must not all be sent to the process
// that comes next.
func TestBacklogSentToRestartedUpstream(t *testing.T) {
	t.Parallel()
	f, name := coldFixture(t)
	ds := f.beginTo(name, 5)
	assert.Assert(t, len(ds) > coldShare)
	assert.Assert(t, f.RecordLost(ds[0].Target()))
	assert.Equal(t, f.admit(ds), coldShare)
}

// An upstream that only this VM could not reach must get its requests back.
func TestLostUpstreamStaysCold(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		event func(f *fixture, target cataloger.Target)
		after time.Duration
		warm  bool
	}{
		{"not reachable", func(*fixture, cataloger.Target) {}, time.Minute, false},
		{"reachable for less than the warm-up time", func(f *fixture, target cataloger.Target) {
			f.RecordContact(f.now, target)
		}, warmup - time.Millisecond, false},
		{"reachable for the warm-up time", func(f *fixture, target cataloger.Target) {
			f.RecordContact(f.now, target)
		}, warmup, true},
		{"a request was admitted", func(f *fixture, target cataloger.Target) {
			assert.Equal(t, f.answerTo(target.Upstream, 1), 1)
		}, warmup, true},
		{"contact with an earlier process", func(f *fixture, target cataloger.Target) {
			target.StartedMs--
			f.RecordContact(f.now, target)
		}, warmup, false},
		{"lost again", func(f *fixture, target cataloger.Target) {
			f.RecordContact(f.now, target)
			f.RecordLost(target)
		}, warmup, false},
		{"record of the same process", func(f *fixture, target cataloger.Target) {
			f.Update(f.now, with(startedView(), target.Upstream, func(e *cataloger.Entry) { e.Sequence++ }), f.doc)
		}, warmup, false},
		{"record of the next process, which is not reachable", func(f *fixture, target cataloger.Target) {
			f.Update(f.now, with(startedView(), target.Upstream, func(e *cataloger.Entry) { e.StartedMs++ }), f.doc)
		}, time.Minute, false},
		{"record of the next process, which is reachable for the warm-up time", func(f *fixture, target cataloger.Target) {
			f.Update(f.now, with(startedView(), target.Upstream, func(e *cataloger.Entry) { e.StartedMs++ }), f.doc)
			target.StartedMs++
			f.RecordContact(f.now, target)
		}, warmup, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f, target := lostFixture(t)
			tc.event(f, target)
			f.now = f.now.Add(tc.after)
			assert.Equal(t, f.answerTo(target.Upstream, 5) > coldShare, tc.warm)
		})
	}
}

// An upstream must not count as warm since its record disappeared and came back while its
// process was not known to run.
func TestLostUpstreamForgotten(t *testing.T) {
	t.Parallel()
	f, target := lostFixture(t)
	f.Update(f.now, without(startedView(), target.Upstream), f.doc)
	f.Update(f.now, startedView(), f.doc)
	assert.Equal(t, len(f.beginTo(target.Upstream, 5)), coldShare)
}

// A record that was written late may be that of a process between the one that was lost and the
// one that runs. Its cold period must not end that of the running process.
func TestRecordOfProcessThatHasEnded(t *testing.T) {
	t.Parallel()
	for _, contact := range []bool{true, false} {
		t.Run(fmt.Sprint(contact), func(t *testing.T) {
			t.Parallel()
			f, target := lostFixture(t)
			if contact {
				f.RecordContact(f.now, target)
			}
			v := f.restarted(target.Upstream)
			for i := range v.Upstreams {
				v.Upstreams[i].ColdUntil = f.now.Add(time.Second)
			}
			f.Update(f.now, v, f.doc)
			f.now = f.now.Add(warmup - time.Millisecond)
			assert.Equal(t, len(f.beginTo(target.Upstream, 5)), coldShare)
		})
	}
}

// A VM without a share must find out by itself that the upstream has become warm.
func TestLostUpstreamWithoutShareStaysCold(t *testing.T) {
	t.Parallel()
	f, target := lostFixture(t)
	f.SetMembers(100, 2, func(namer.Upstream, namer.Zone) int { return 50 })
	assert.Equal(t, len(f.beginTo(target.Upstream, 1)), 0)
	assert.Assert(t, f.IsLost(target))
	f.RecordContact(f.now, target)
	assert.Assert(t, !f.IsLost(target))
	f.now = f.now.Add(warmup)
	assert.Equal(t, len(f.beginTo(target.Upstream, 1)), 1)
}

// What is reported about an earlier process must not make the one that runs count as cold.
func TestEarlierProcessLost(t *testing.T) {
	t.Parallel()
	f, name := coldFixture(t)
	target := f.Decide(f.now, f.request("o")).Target()
	f.Update(f.now, with(startedView(), name, func(e *cataloger.Entry) { e.StartedMs++ }), f.doc)
	assert.Assert(t, !f.RecordLost(target))
	assert.Assert(t, len(f.beginTo(name, 5)) > coldShare)
}
