package pacer_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/share/pacer"
)

// TestShares checks that the shares of all VMs add up to no more than the total, and
// to at least half of what can be given out.
func TestShares(t *testing.T) {
	t.Parallel()
	for _, total := range []int{0, 1, 5, 13, 100} {
		for vms := 1; vms <= 300; vms++ {
			sum := 0
			for rank := range vms {
				sum += pacer.Share(total, vms, rank)
			}
			assert.Assert(t, sum <= total, "%d of %d for %d VMs", sum, total, vms)
			assert.Assert(t, total < 1 || sum >= min(total, vms)/2, "%d of %d for %d VMs", sum, total, vms)
		}
	}
}

// TestShareWithoutRank checks that a VM that does not know its rank yet gets no share of a
// total that is more than the number of VMs it knows.
func TestShareWithoutRank(t *testing.T) {
	t.Parallel()
	assert.Equal(t, pacer.Share(100, 6, math.MaxInt), 0)
	assert.Equal(t, pacer.Share(100, 6, 6), 0)
	assert.Equal(t, pacer.Share(100, 6, 5), 16)
}

// TestLimitUnderBacklog checks that no second exceeds the limit while a backlog of
// requests waits for a cold upstream.
func TestLimitUnderBacklog(t *testing.T) {
	t.Parallel()
	const limit = 3
	var p pacer.Pacer
	now := time.Unix(1000, 0)
	var sent []time.Time
	for id := range pacer.ID(5000) {
		now = now.Add(time.Millisecond)
		if p.CanSend(now, limit) {
			p.Reserve(now, id)
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
		assert.Assert(t, within <= limit)
	}
	assert.Assert(t, len(sent) >= 10, "the limit is not used up: %d in 5 s", len(sent))
}
