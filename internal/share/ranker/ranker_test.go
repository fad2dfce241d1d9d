package ranker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/pacer"
	"github.com/waxwingloom/waxwingloom/internal/share/ranker"
)

const (
	settleTime = 5 * time.Second
	zones      = 6
	zoneSize   = 14
	// lostZones zones start again together, the first ones.
	lostZones = 2
	coldRate  = 5
	upstreams = 50
)

var startTime = time.Unix(1000, 0)

// fleet has the rankers of all VMs, by zone.
type fleet struct {
	rand  *rand.Rand
	names [zones][]namer.VM
	vms   [zones][]*ranker.Ranker
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 0))}
	for z := range zones {
		for i := range zoneSize {
			name := namer.VM(fmt.Sprintf("vm-%d-%d", z, i))
			f.names[z] = append(f.names[z], name)
			f.vms[z] = append(f.vms[z], ranker.New(name, zoneName(z), testRegions(), startTime.Add(-time.Hour), settleTime))
		}
	}
	return f
}

// testRegions returns the regions of the zones, of two zones each.
func testRegions() map[namer.Zone]namer.Region {
	out := make(map[namer.Zone]namer.Region)
	for z := range zones {
		out[zoneName(z)] = namer.Region(fmt.Sprintf("region-%d", z/2))
	}
	return out
}

func zoneName(z int) namer.Zone { return namer.Zone(fmt.Sprintf("zone-%d", z)) }

// restart starts the VMs of the lost zones again.
func (f *fleet) restart(now time.Time) {
	for z := range lostZones {
		for i, name := range f.names[z] {
			f.vms[z][i] = ranker.New(name, zoneName(z), testRegions(), now, settleTime)
		}
	}
}

// update gives each VM a view of the members. The VMs of the lost zones know any of the
// members of their zone and of the summaries of other zones, and other VMs any number that a
// lost zone has reported while its VMs learned of one another.
func (f *fleet) update(now time.Time, settled bool) [zones][]ranker.View {
	var views [zones][]ranker.View
	for z := range zones {
		for i, r := range f.vms[z] {
			fresh := z < lostZones && !settled
			var others []namer.VM
			for j, name := range f.names[z] {
				if j != i && (!fresh || f.rand.IntN(2) == 0) {
					others = append(others, name)
				}
			}
			counts := make(map[namer.Zone]int)
			for other := range zones {
				counts[zoneName(other)] = zoneSize
				if !settled && (fresh || other < lostZones) {
					counts[zoneName(other)] = 1 + f.rand.IntN(zoneSize)
				}
			}
			counts[zoneName(z)] = len(others) + 1
			views[z] = append(views[z], r.Update(now, counts, others))
		}
	}
	return views
}

// sum returns the sum of the shares of all VMs in an upstream's cold rate.
func sum(now time.Time, views [zones][]ranker.View, u namer.Upstream) int {
	total := 0
	for _, zone := range views {
		for _, v := range zone {
			total += pacer.Share(coldRate, v.VMs(), v.Rank(now, u, zoneName(int(u[len(u)-1])%(zones+1))))
		}
	}
	return total
}

// TestVMsThatStartTogetherSendToColdUpstream guards against a flooded upstream when a region's
// VMs start again: each knew few members and took a share for itself.
func TestVMsThatStartTogetherSendToColdUpstream(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		f := newFleet(seed)
		f.update(startTime, true)
		restarted := startTime.Add(time.Second)
		f.restart(restarted)
		for after := time.Duration(0); after < settleTime; after += settleTime / 10 {
			now := restarted.Add(after)
			views := f.update(now, false)
			for u := range upstreams {
				got := sum(now, views, namer.Upstream(fmt.Sprintf("u-%d", u)))
				assert.Assert(t, got <= coldRate, "seed %d, %s after the start: %d requests", seed, after, got)
			}
		}
	}
}

// TestShareComesBack guards against a rate limit that is not used once all VMs know one another.
func TestShareComesBack(t *testing.T) {
	t.Parallel()
	f := newFleet(1)
	f.update(startTime, true)
	f.restart(startTime)
	f.update(startTime, false)
	now := startTime.Add(settleTime)
	views := f.update(now, true)
	for u := range upstreams {
		assert.Equal(t, sum(now, views, namer.Upstream(fmt.Sprintf("u-%d", u))), coldRate)
	}
}

// TestSmallerZoneCountsLater guards against a zone that counts with its highest number for good,
// or with a smaller number at once, however long the higher one was known.
func TestSmallerZoneCountsLater(t *testing.T) {
	t.Parallel()
	r := ranker.New("vm", "own", nil, startTime, settleTime)
	count := func(after time.Duration, vms int) int {
		return r.Update(startTime.Add(after), map[namer.Zone]int{"own": 1, "other": vms}, nil).VMs()
	}
	assert.Equal(t, count(0, 14), 15)
	assert.Equal(t, count(time.Minute, 3), 15)
	assert.Equal(t, count(time.Minute+2*time.Second, 7), 15)
	assert.Equal(t, count(time.Minute+4*time.Second, 2), 15)
	assert.Equal(t, count(time.Minute+settleTime, 2), 8)
	assert.Equal(t, count(time.Minute+4*time.Second+settleTime, 2), 3)
}

// TestShareGoesToNearVMs guards against a cold upstream that is left idle since VMs of other zones,
// which have no requests for it, hold the shares in its limit.
func TestShareGoesToNearVMs(t *testing.T) {
	t.Parallel()
	f := newFleet(1)
	f.update(startTime, true)
	now := startTime.Add(settleTime)
	views := f.update(now, true)
	for u := range upstreams {
		home := u % zones
		for z, zone := range views {
			for _, v := range zone {
				rank := v.Rank(now, namer.Upstream(fmt.Sprintf("u-%d", u)), zoneName(home))
				switch {
				case z == home:
					assert.Assert(t, rank < 2*zoneSize && rank%2 == 0)
				case z/2 == home/2:
					assert.Assert(t, rank < 2*zoneSize && rank%2 == 1)
				default:
					assert.Assert(t, rank >= 2*zoneSize)
				}
			}
		}
	}
}
