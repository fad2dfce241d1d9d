// Package budgeter implements a retry budget: it limits the retries on a VM to a
// fraction of the requests that this VM received. Because each VM counts only its own
// requests, the total over all VMs keeps to the same fraction without coordination.
// A process that has just started allows no retries for the length of the window,
// because its predecessor may have used the whole budget just before it ended.
//
// It prevents retry storms: when a failing upstream makes every request need a
// retry, the retries would overload the remaining upstreams.
//
// # Usage
//
//	b := budgeter.New(0.2, 10*time.Second, started)
//	b.CountRequest(now)
//	if b.TakeRetry(now) {
//		// Send the request again.
//	}
package budgeter

import "time"

const (
	// bucketsPerWindow is the resolution of the sliding window.
	bucketsPerWindow = 20
	// bucketCount has one bucket more, because a window may begin within a bucket.
	// Retries are counted over all buckets and requests over all but the oldest, so
	// that the limit holds wherever a window begins.
	bucketCount = bucketsPerWindow + 1
)

// Budgeter counts the requests and retries of one service on one VM. It does no I/O
// and is not safe for concurrent use.
type Budgeter struct {
	ratio        float64
	bucketLength time.Duration
	// retriesFrom is when the first retry may be allowed.
	retriesFrom time.Time
	// origin is the start of bucket 0, current the number of the newest bucket.
	origin   time.Time
	current  int64
	requests [bucketCount]int
	retries  [bucketCount]int
}

// New returns a budget that allows ratio retries per request in any window of the
// given length, for a process that started at the given time.
func New(ratio float64, window time.Duration, started time.Time) *Budgeter {
	return &Budgeter{ratio: ratio, bucketLength: window / bucketsPerWindow, retriesFrom: started.Add(window)}
}

// CountRequest counts a request of a caller.
func (b *Budgeter) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.index()]++
}

// TakeRetry counts a retry if the budget allows it, and reports whether it does.
func (b *Budgeter) TakeRetry(now time.Time) bool {
	if now.Before(b.retriesFrom) {
		return false
	}
	b.advance(now)
	oldest := b.requests[(b.current+1)%bucketCount]
	if float64(sum(b.retries)+1) > b.ratio*float64(sum(b.requests)-oldest) {
		return false
	}
	b.retries[b.index()]++
	return true
}

func (b *Budgeter) index() int {
	return int(b.current % bucketCount)
}

// advance clears the buckets that have left the window. When the clock goes back, it
// keeps the buckets as they are.
func (b *Budgeter) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	bucket := int64(now.Sub(b.origin) / b.bucketLength)
	for steps := 0; b.current < bucket && steps < bucketCount; steps++ {
		b.current++
		b.requests[b.index()] = 0
		b.retries[b.index()] = 0
	}
	b.current = max(b.current, bucket)
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
