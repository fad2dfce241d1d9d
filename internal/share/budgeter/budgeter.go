// Package budgeter implements a retry budget: it limits the retries on a VM to a
// fraction of the requests that this VM received, in any window of time. VMs don't
// coordinate, and callers move between them, so the windows of two VMs may pay twice for
// one window of all. Therefore a request also pays for a retry only for a short time, the
// carry: the retries of all VMs in a window are paid by the requests of that window and of
// the carry before it, whichever VMs had them. One retry may be paid by older requests on
// each VM, so that services with few requests have any.
//
// The requests of the first carry after the start of a process pay for nothing, because
// its predecessor may have used older ones just before it ended.
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
	bucketsPerWindow = 100
	// carryBuckets is the carry, with the bucket in progress.
	carryBuckets = 5
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
	// paysFrom is when requests begin to pay for retries.
	paysFrom time.Time
	// origin is the start of bucket 0, current the number of the newest bucket.
	origin   time.Time
	current  int64
	requests [bucketCount]int
	retries  [bucketCount]int
	// paid is the number of retries that requests of the carry have paid for and that were not made.
	paid float64
}

// New returns a budget that allows ratio retries per request in any window of the
// given length, for a process that started at the given time.
func New(ratio float64, window time.Duration, started time.Time) *Budgeter {
	length := window / bucketsPerWindow
	return &Budgeter{ratio: ratio, bucketLength: length, paysFrom: started.Add(carryBuckets * length)}
}

// CountRequest counts a request of a caller.
func (b *Budgeter) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.index()]++
	if !now.Before(b.paysFrom) {
		b.paid += b.ratio
	}
}

// TakeRetry counts a retry if the budget allows it, and reports whether it does.
func (b *Budgeter) TakeRetry(now time.Time) bool {
	b.advance(now)
	if b.paid < 1 {
		return false
	}
	oldest := b.requests[(b.current+1)%bucketCount]
	if float64(sum(b.retries)+1) > b.ratio*float64(sum(b.requests)-oldest) {
		return false
	}
	b.retries[b.index()]++
	b.paid--
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
		b.expire()
		b.current++
		b.requests[b.index()] = 0
		b.retries[b.index()] = 0
	}
	b.current = max(b.current, bucket)
}

// expire drops what requests have paid that are older than the carry once the next bucket begins.
func (b *Budgeter) expire() {
	recent := 0
	for i := range int64(carryBuckets - 1) {
		recent += b.requests[(b.current-i+bucketCount)%bucketCount]
	}
	b.paid = min(b.paid, max(1, b.ratio*float64(recent)))
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
