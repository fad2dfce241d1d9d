// Package budgeter bounds second sends to a part of a VM's own requests. Since
// each VM spends only from its own requests, the sum over all VMs keeps to the
// same part whatever they know of each other. A process that has just started
// spends nothing for the length of the window: the one before it may have spent all
// that its requests paid for just before it ended.
//
// It answers the pattern in which a failing upstream makes every request need
// a second one, and the second sends take down the upstreams that are left.
//
// # Usage
//
//	b := budgeter.New(0.2, 10*time.Second, started)
//	b.Request(now)
//	if b.Spend(now) {
//		// Send once more.
//	}
package budgeter

import "time"

const (
	// buckets is how finely the window slides.
	buckets = 20
	// held is one bucket more, since a window begins inside a bucket. Second sends
	// are counted over all of them and requests over one less, so that the bound
	// holds wherever a window begins.
	held = buckets + 1
)

// Budgeter counts the requests and second sends of one service on one VM. It is
// pure, and not safe for concurrent use.
type Budgeter struct {
	ratio    float64
	bucket   time.Duration
	first    time.Time
	begun    time.Time
	at       int64
	requests [held]int
	spent    [held]int
}

// New returns a budget of ratio second sends per request, over any window of a
// length, for a process that was started at a time.
func New(ratio float64, window time.Duration, started time.Time) *Budgeter {
	return &Budgeter{ratio: ratio, bucket: window / buckets, first: started.Add(window)}
}

// CountRequest counts a caller's request.
func (b *Budgeter) CountRequest(now time.Time) {
	b.slide(now)
	b.requests[b.index()]++
}

// TakeRetry takes one second send, and reports whether the budget had one.
func (b *Budgeter) TakeRetry(now time.Time) bool {
	if now.Before(b.first) {
		return false
	}
	b.slide(now)
	oldest := b.requests[(b.at+1)%held]
	if float64(sum(b.spent)+1) > b.ratio*float64(sum(b.requests)-oldest) {
		return false
	}
	b.spent[b.index()]++
	return true
}

func (b *Budgeter) index() int {
	return int(b.at % held)
}

// slide empties the buckets that have left the window. A clock that goes back
// leaves the buckets as they are.
func (b *Budgeter) slide(now time.Time) {
	if b.begun.IsZero() {
		b.begun = now
	}
	at := int64(now.Sub(b.begun) / b.bucket)
	for steps := 0; b.at < at && steps < held; steps++ {
		b.at++
		b.requests[b.index()] = 0
		b.spent[b.index()] = 0
	}
	b.at = max(b.at, at)
}

func sum(counts [held]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
