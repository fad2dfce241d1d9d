package quarantiner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
)

const (
	// gossipStep is the resolution of a gossip's time, gossipWindow how long a VM sends what
	// has changed, gossipInterval the interval between its messages.
	gossipStep     = 10 * time.Millisecond
	gossipWindow   = 3 * time.Second
	gossipInterval = 500 * time.Millisecond
)

type (
	// gossip is a fleet of VMs that send each other their evidence, with delays. A VM that
	// learns something new sends at once, as the heartbeater does.
	gossip struct {
		now   time.Time
		vms   []*quarantiner.Quarantiner
		due   []time.Time
		queue []gossipMessage
		rng   *rand.Rand
		news  int
	}

	gossipMessage struct {
		at      time.Time
		to      int
		records []quarantiner.Record
	}
)

func newGossip(vms int) *gossip {
	g := &gossip{now: start, due: make([]time.Time, vms), rng: rand.New(rand.NewPCG(1, 2))}
	for range vms {
		g.vms = append(g.vms, quarantiner.New())
	}
	return g
}

// run runs the fleet for a time and returns how often a VM learned something new.
func (g *gossip) run(d time.Duration) int {
	g.news = 0
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(gossipStep) {
		g.deliver()
		for i, q := range g.vms {
			if g.now.Before(g.due[i]) {
				continue
			}
			g.due[i] = g.now.Add(gossipInterval)
			records := q.Changed(g.now.Add(-gossipWindow), 64)
			for to := range g.vms {
				if to == i {
					continue
				}
				// A message carries ages, so that the delay makes crashes look later.
				delay := gossipStep * time.Duration(1+g.rng.IntN(5))
				g.queue = append(g.queue, gossipMessage{g.now.Add(delay), to, delayed(records, delay)})
			}
		}
	}
	return g.news
}

func (g *gossip) deliver() {
	var rest []gossipMessage
	for _, m := range g.queue {
		if m.at.After(g.now) {
			rest = append(rest, m)
			continue
		}
		if g.vms[m.to].Merge(g.now, m.records) {
			g.news++
			g.due[m.to] = g.now
		}
	}
	g.queue = rest
}

func delayed(records []quarantiner.Record, delay time.Duration) []quarantiner.Record {
	out := make([]quarantiner.Record, len(records))
	for i, r := range records {
		out[i].Fingerprint = r.Fingerprint
		for _, c := range r.Crashes {
			c.At = c.At.Add(delay)
			out[i].Crashes = append(out[i].Crashes, c)
		}
	}
	return out
}

// TestGossipOfClearedRequestEnds guards against VMs that forget a request that was cleared late
// and learn of it again from others that have not forgotten it yet, over and over.
func TestGossipOfClearedRequestEnds(t *testing.T) {
	t.Parallel()
	g := newGossip(6)
	for n := range 3 {
		crash(g.vms[n], at(n-2), fingerprint(1), n)
	}
	g.run(10 * time.Second)
	g.now = g.now.Add(30 * time.Minute)
	g.vms[0].RecordResponse(g.now, fingerprint(1))
	g.due[0] = g.now
	g.run(10 * time.Second)
	assert.Equal(t, g.run(10*time.Second), 0)
	for _, q := range g.vms {
		assert.Equal(t, q.Decide(g.now, fingerprint(1)).Action, quarantiner.Admit)
	}
}

// BenchmarkHeartbeat measures what a heartbeat takes out of full evidence.
func BenchmarkHeartbeat(b *testing.B) {
	q := quarantiner.New()
	for n := range 2040 {
		for p := range 3 {
			crash(q, start, fingerprint(n), 3*n+p)
		}
	}
	b.Run("Changed", func(b *testing.B) {
		for range b.N {
			q.Changed(start.Add(-time.Second), 64)
		}
	})
	b.Run("Hash", func(b *testing.B) {
		for range b.N {
			q.Hash(start)
		}
	})
}
