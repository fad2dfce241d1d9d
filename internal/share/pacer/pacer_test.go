package pacer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/share/pacer"
)

// TestShares adds up to no more than the whole, however many VMs share it.
func TestShares(t *testing.T) {
	t.Parallel()
	for _, whole := range []int{0, 1, 5, 13, 100} {
		for vms := 1; vms <= 300; vms++ {
			sum := 0
			for rank := range vms {
				sum += pacer.Share(whole, vms, rank)
			}
			assert.Assert(t, sum <= whole, "%d of %d by %d VMs", sum, whole, vms)
			assert.Assert(t, whole < 1 || sum >= min(whole, vms)/2, "%d of %d by %d VMs", sum, whole, vms)
		}
	}
}

// TestLimitUnderBacklog meets a cold upstream with all waiting work at once: no second
// gets more than the rate.
func TestLimitUnderBacklog(t *testing.T) {
	t.Parallel()
	const most = 3
	var p pacer.Pacer
	now := time.Unix(1000, 0)
	var sent []time.Time
	for range 5000 {
		now = now.Add(time.Millisecond)
		if p.CanSend(now, most) {
			p.RecordSend(now)
			sent = append(sent, now)
		}
	}
	for i := range sent {
		within := 0
		for _, other := range sent[i:] {
			if other.Sub(sent[i]) < time.Second {
				within++
			}
		}
		assert.Assert(t, within <= most)
	}
	assert.Assert(t, len(sent) >= 10, "the rate is not used: %d in 5 s", len(sent))
}
