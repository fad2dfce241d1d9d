package runner

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

// fixedMembers knows a number of VMs of one other zone.
type fixedMembers struct{ others int }

func (m *fixedMembers) Members() []tracker.Member { return nil }

func (m *fixedMembers) Summaries() []tracker.ZoneSummary {
	return []tracker.ZoneSummary{{Zone: "other", VMs: m.others}}
}

// rankRecorder computes the rank once for each call, as the selector does.
type rankRecorder struct{ updates chan [2]int }

func (r *rankRecorder) SetMembers(vms, _ int, rank func(namer.Upstream, namer.Zone) int) {
	r.updates <- [2]int{vms, rank("u", "own")}
}

// next returns the next update.
func (r *rankRecorder) next(t *testing.T) (vms, rank int) {
	t.Helper()
	select {
	case u := <-r.updates:
		return u[0], u[1]
	case <-time.After(10 * time.Second):
		t.Fatal("the members are not counted again")
		return 0, 0
	}
}

// TestShareKeptAfterSettleTime guards against a VM that goes on without a share, or with the share
// of members that have gone, since nothing changes any more after the settle time.
func TestShareKeptAfterSettleTime(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	settings := loader.Settings{VM: "vm", Zone: "own", Regions: map[namer.Zone]namer.Region{"own": "r", "other": "r"}}
	settings.Timing.DeadTimeout = 5 * time.Second
	members, recorder := &fixedMembers{others: 9}, &rankRecorder{make(chan [2]int, 8)}
	c := newMemberCounter(recorder, members, clock, settings)
	c.update()
	vms, rank := recorder.next(t)
	assert.Assert(t, rank >= vms, "a VM that has just started has the rank %d", rank)
	clock.Advance(settings.Timing.DeadTimeout)
	vms, rank = recorder.next(t)
	assert.Assert(t, rank < vms, "rank %d of %d", rank, vms)
	members.others = 2
	c.update()
	vms, _ = recorder.next(t)
	assert.Equal(t, vms, 10)
	clock.Advance(settings.Timing.DeadTimeout)
	vms, _ = recorder.next(t)
	assert.Equal(t, vms, 3)
}
