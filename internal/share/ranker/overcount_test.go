package ranker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/ranker"
)

// TestCountingMoreVMsNeverLowersRank guards against a limit that is exceeded since a VM that counts
// others which have ended takes the place of one that counts fewer. The ranks of VMs that count
// right differ, so those below any number are no more than it; a higher rank only leaves some out.
func TestCountingMoreVMsNeverLowersRank(t *testing.T) {
	t.Parallel()
	r := rand.New(rand.NewPCG(1, 0))
	now := startTime.Add(time.Hour)
	for range 2000 {
		counts, more := make(map[namer.Zone]int), make(map[namer.Zone]int)
		for z := range zones {
			counts[zoneName(z)] = 1 + r.IntN(4)
			more[zoneName(z)] = counts[zoneName(z)] + r.IntN(3)
		}
		own, home := zoneName(r.IntN(zones)), zoneName(r.IntN(zones))
		var others, moreOthers []namer.VM
		for i := range more[own] - 1 {
			name := namer.VM(rune('a' + i))
			moreOthers = append(moreOthers, name)
			if len(others) < counts[own]-1 {
				others = append(others, name)
			}
		}
		rank := func(counts map[namer.Zone]int, others []namer.VM) int {
			view := ranker.New("vm", own, testRegions(), startTime, settleTime).Update(now, counts, others)
			return view.Rank(now, "u", home)
		}
		assert.Assert(t, rank(more, moreOthers) >= rank(counts, others))
	}
}
