// Package budgeter bounds second sends to a part of a VM's own requests. Since
// each VM spends only from its own requests, the sum over all VMs keeps to the
// same part whatever they know of each other.
//
// It answers the pattern in which a failing upstream makes every request need
// a second one, and the second sends take down the upstreams that are left.
//
// # Usage
//
//	b := budgeter.New(0.2, 10*time.Second)
//	b.Request(now)
//	if b.Spend(now) {
//		// Send once more.
//	}
package budgeter

import "time"

// buckets is how finely the window slides.
const buckets = 10

// Budgeter counts the requests and second sends of one service on one VM. It is
// pure, and not safe for concurrent use.
type Budgeter struct {
	ratio    float64
	bucket   time.Duration
	begun    time.Time
	at       int64
	requests [buckets]int
	spent    [buckets]int
}

// New returns a budget of ratio second sends per request, over any window of a
// length.
func New(ratio float64, window time.Duration) *Budgeter {
	return &Budgeter{ratio: ratio, bucket: window / buckets}
}

// Request counts a caller's request.
func (b *Budgeter) Request(now time.Time) {
	b.slide(now)
	b.requests[b.index()]++
}

// Spend takes one second send, and reports whether the budget had one.
func (b *Budgeter) Spend(now time.Time) bool {
	b.slide(now)
	if float64(sum(b.spent)+1) > b.ratio*float64(sum(b.requests)) {
		return false
	}
	b.spent[b.index()]++
	return true
}

func (b *Budgeter) index() int {
	return int(b.at % buckets)
}

// slide empties the buckets that have left the window. A clock that goes back
// leaves the buckets as they are.
func (b *Budgeter) slide(now time.Time) {
	if b.begun.IsZero() {
		b.begun = now
	}
	at := int64(now.Sub(b.begun) / b.bucket)
	for steps := 0; b.at < at && steps < buckets; steps++ {
		b.at++
		b.requests[b.index()] = 0
		b.spent[b.index()] = 0
	}
	b.at = max(b.at, at)
}

func sum(counts [buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
