// Package chooser chooses an upstream by power of two choices: it draws two candidates at
// random and takes the one with the lower score. The score depends only on what this VM
// has in flight and the latency that it has observed, not on what upstreams report.
//
// # Usage
//
//	i := chooser.Choose(candidates, weight, rng.IntN)
package chooser

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// minLatency is the lowest latency that enters a score. Without it, an upstream that was
// never used would score zero and get every request.
const minLatency = time.Millisecond

// Candidate is an upstream with free capacity for the request. InFlight is the weight that
// this VM has in flight there, Share this VM's share of its capacity, Latency the
// observed latency or 0.
type Candidate struct {
	InFlight namer.Weight
	Share    namer.Weight
	Latency  time.Duration
}

// Choose returns the index of the chosen candidate for a request of a weight, or -1 if
// there are no candidates. The function randIntN returns a random number from 0 up to but
// not including its argument.
func Choose(cs []Candidate, weight namer.Weight, randIntN func(int) int) int {
	switch len(cs) {
	case 0:
		return -1
	case 1:
		return 0
	}
	a := randIntN(len(cs))
	b := randIntN(len(cs) - 1)
	if b >= a {
		// The second draw leaves out the first candidate.
		b++
	}
	if score(cs[b], weight) < score(cs[a], weight) {
		return b
	}
	return a
}

// score estimates how long the request would take: the observed latency times the fraction
// of this VM's share that would be in use.
func score(c Candidate, weight namer.Weight) float64 {
	latency := max(c.Latency, minLatency)
	return latency.Seconds() * float64(c.InFlight+weight) / float64(c.Share)
}
