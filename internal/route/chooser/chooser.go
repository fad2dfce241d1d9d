// Package chooser picks one upstream among those that have room: the better of
// two drawn at random. What this VM has in flight and has seen decides;
// nothing that an upstream reports does.
//
// # Usage
//
//	i := chooser.Choose(candidates, weight, rng.IntN)
package chooser

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// minLatency keeps an upstream that was never tried from drawing all load.
const minLatency = time.Millisecond

// Candidate is an upstream that has room for the request.
type Candidate struct {
	InFlight namer.Weight
	Share    namer.Weight
	Latency  time.Duration
}

// Choose returns the index of the chosen candidate, or -1 when there is none.
// Draw returns a number from 0 up to but not including its argument.
func Choose(cs []Candidate, weight namer.Weight, draw func(int) int) int {
	switch len(cs) {
	case 0:
		return -1
	case 1:
		return 0
	}
	a := draw(len(cs))
	b := draw(len(cs) - 1)
	if b >= a {
		b++
	}
	if score(cs[b], weight) < score(cs[a], weight) {
		return b
	}
	return a
}

// score estimates how long the request would take: latency as seen, times the
// part of the share that would be in use.
func score(c Candidate, weight namer.Weight) float64 {
	latency := max(c.Latency, minLatency)
	return latency.Seconds() * float64(c.InFlight+weight) / float64(c.Share)
}
