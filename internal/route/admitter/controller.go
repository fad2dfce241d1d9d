package admitter

import (
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/chooser"
)

// The codes of refusals.
const (
	CodeNoUpstream       arbiter.Code = "no-upstream"
	CodeQueueFull        arbiter.Code = "overloaded"
	CodeDeadlineExceeded arbiter.Code = "deadline"
	CodeTooHeavy         arbiter.Code = "too-heavy"
)

const (
	// consecutiveFailuresToEject is the number of failures in a row after which an
	// upstream is ejected. The duration doubles with each ejection since the last success.
	consecutiveFailuresToEject = 3
	initialEjection            = time.Second
	maxEjection                = 30 * time.Second

	// warmupDuration is the time in which an upstream that joins reaches its full
	// share, starting at initialWarmupFraction of it.
	warmupDuration        = 10 * time.Second
	initialWarmupFraction = 0.2

	// latencySmoothingFactor is the weight of a new sample in the mean latency.
	latencySmoothingFactor = 0.1
)

type (
	// Limits holds the admission limits of a service. ReservePercent is the percentage of
	// the VM's total share that is reserved for once-only classes, MaxEjectedPercent the
	// percentage of upstreams that may be ejected at a time.
	Limits struct {
		MaxQueued         int
		ReservePercent    int
		MaxEjectedPercent int
	}

	// UpstreamShare is an upstream with this VM's share of its capacity. A drained upstream
	// gets no new work.
	UpstreamShare struct {
		Upstream namer.Upstream
		Address  string
		Share    namer.Weight
		MaxConns int
		Drained  bool
	}

	// Request is a request for capacity at an upstream. Once marks a once-only class.
	// Avoid names an upstream to use only when no other has capacity.
	Request struct {
		Weight   namer.Weight
		Once     bool
		Deadline time.Time
		Avoid    namer.Upstream
	}

	// Refusal is the reason why a request gets no capacity. The zero value means that it
	// was not refused.
	Refusal struct {
		Code   arbiter.Code
		Reason string
	}

	// ticket identifies a queued request.
	ticket uint64

	// decision has one field set: the upstream that was granted, the ticket of the
	// queued request, or the refusal.
	decision struct {
		upstream *upstreamState
		ticket   ticket
		refusal  Refusal
	}

	// admission is a queued request that was granted capacity.
	admission struct {
		ticket   ticket
		upstream *upstreamState
	}

	upstreamState struct {
		UpstreamShare
		inFlight            namer.Weight
		latency             time.Duration
		consecutiveFailures int
		ejections           int
		ejectedUntil        time.Time
		warmupStart         time.Time
	}

	waiter struct {
		ticket  ticket
		request Request
	}

	// controller decides on the admission of one service's requests on one VM. It is a
	// state machine without clock, lock or goroutine.
	controller struct {
		limits      Limits
		upstreams   []*upstreamState
		queue       []waiter
		lastTicket  ticket
		meanLatency time.Duration
		randIntN    func(int) int
	}
)

// configure replaces limits and shares. Weight in flight at an upstream that stays
// remains counted. An upstream that joins after the first configuration, or whose drain
// has ended, starts with a warm-up.
func (c *controller) configure(now time.Time, limits Limits, shares []UpstreamShare) {
	c.limits = limits
	first := len(c.upstreams) == 0
	old := c.upstreams
	c.upstreams = make([]*upstreamState, 0, len(shares))
	for _, s := range shares {
		state := findState(old, s)
		if state == nil {
			state = &upstreamState{warmupStart: now}
			if first {
				state.warmupStart = now.Add(-warmupDuration)
			}
		}
		if state.Drained && !s.Drained {
			state.warmupStart = now
		}
		state.UpstreamShare = s
		c.upstreams = append(c.upstreams, state)
	}
	c.keepInFlight(old)
}

// keepInFlight keeps the state of an upstream that left the document while requests to it
// are in flight, so that they are still counted if it returns.
func (c *controller) keepInFlight(old []*upstreamState) {
	for _, u := range old {
		if u.inFlight > 0 && !slices.Contains(c.upstreams, u) {
			u.Share = 0
			u.Drained = true
			c.upstreams = append(c.upstreams, u)
		}
	}
}

func findState(old []*upstreamState, s UpstreamShare) *upstreamState {
	for _, u := range old {
		if u.Upstream == s.Upstream && u.Address == s.Address {
			return u
		}
	}
	return nil
}

// decide grants capacity to a request, queues it or refuses it.
func (c *controller) decide(now time.Time, r Request) decision {
	if !c.fitsAny(r.Weight) {
		return decision{refusal: c.unfitRefusal()}
	}
	if !now.Before(r.Deadline) {
		return decision{refusal: Refusal{Code: CodeDeadlineExceeded, Reason: "the deadline has passed"}}
	}
	if len(c.queue) == 0 {
		if u := c.pick(now, r); u != nil {
			u.inFlight += r.Weight
			return decision{upstream: u}
		}
	}
	if len(c.queue) >= c.limits.MaxQueued {
		return decision{refusal: Refusal{Code: CodeQueueFull, Reason: "no slot is free and the queue is full"}}
	}
	if now.Add(c.estimatedWait()).After(r.Deadline) {
		return decision{refusal: Refusal{Code: CodeDeadlineExceeded, Reason: "the queue is longer than the deadline allows"}}
	}
	c.lastTicket++
	c.queue = append(c.queue, waiter{ticket: c.lastTicket, request: r})
	return decision{ticket: c.lastTicket}
}

// release returns a finished request's weight and admits queued requests.
func (c *controller) release(now time.Time, u *upstreamState, weight namer.Weight, took time.Duration, failed bool) []admission {
	u.inFlight -= weight
	if failed {
		c.recordFailure(now, u)
	} else {
		u.consecutiveFailures = 0
		u.ejections = 0
		u.latency = movingAverage(u.latency, took)
		c.meanLatency = movingAverage(c.meanLatency, took)
	}
	return c.admitQueued(now)
}

// admitQueued admits the queued requests for which there is capacity, in order of
// arrival. Requests that are past their deadline stay queued until cancel.
func (c *controller) admitQueued(now time.Time) []admission {
	var admitted []admission
	kept := c.queue[:0]
	for _, w := range c.queue {
		u := c.pick(now, w.request)
		if u == nil {
			kept = append(kept, w)
			continue
		}
		u.inFlight += w.request.Weight
		admitted = append(admitted, admission{ticket: w.ticket, upstream: u})
	}
	c.queue = kept
	return admitted
}

// cancel removes a request from the queue and reports whether it was there.
func (c *controller) cancel(t ticket) bool {
	before := len(c.queue)
	c.queue = slices.DeleteFunc(c.queue, func(w waiter) bool { return w.ticket == t })
	return len(c.queue) < before
}

// freeCapacity returns the weight that can still be admitted.
func (c *controller) freeCapacity(now time.Time) namer.Weight {
	var free namer.Weight
	for _, u := range c.upstreams {
		if c.available(now, u) {
			free += max(u.currentShare(now)-u.inFlight, 0)
		}
	}
	return free
}

func (c *controller) totals() (inFlight, share namer.Weight) {
	for _, u := range c.upstreams {
		inFlight += u.inFlight
		share += u.Share
	}
	return inFlight, share
}

func (c *controller) fitsAny(weight namer.Weight) bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstreamState) bool { return !u.Drained && u.Share >= weight })
}

func (c *controller) unfitRefusal() Refusal {
	if slices.ContainsFunc(c.upstreams, func(u *upstreamState) bool { return !u.Drained && u.Share > 0 }) {
		return Refusal{Code: CodeTooHeavy, Reason: "the class weighs more than this VM's share of any upstream"}
	}
	return Refusal{Code: CodeNoUpstream, Reason: "this VM has no share of any upstream that takes new work"}
}

// pick returns an upstream that can take the request within all limits, or nil. It
// returns the upstream to avoid only when there is no other.
func (c *controller) pick(now time.Time, r Request) *upstreamState {
	if !r.Once && c.usesReserve(r.Weight) {
		return nil
	}
	if u := c.pickExcept(now, r, r.Avoid); u != nil || r.Avoid == "" {
		return u
	}
	return c.pickExcept(now, r, "")
}

func (c *controller) pickExcept(now time.Time, r Request, avoid namer.Upstream) *upstreamState {
	var fitting []*upstreamState
	var candidates []chooser.Candidate
	for _, u := range c.upstreams {
		share := u.currentShare(now)
		if !c.available(now, u) || u.inFlight+r.Weight > share || u.Upstream == avoid {
			continue
		}
		fitting = append(fitting, u)
		candidates = append(candidates, chooser.Candidate{InFlight: u.inFlight, Share: share, Latency: u.latency})
	}
	i := chooser.Choose(candidates, r.Weight, c.randIntN)
	if i < 0 {
		return nil
	}
	return fitting[i]
}

// usesReserve reports whether an idempotent request would use capacity that is reserved
// for once-only classes. A reserve that rounds down to zero has no effect.
func (c *controller) usesReserve(weight namer.Weight) bool {
	inFlight, share := c.totals()
	reserve := share * namer.Weight(c.limits.ReservePercent) / 100
	return inFlight+weight > share-reserve
}

func (c *controller) available(now time.Time, u *upstreamState) bool {
	return !u.Drained && !u.ejectedUntil.After(now)
}

// recordFailure counts a failure and ejects the upstream after too many in a row. It
// ejects no upstream beyond the maximum percentage, so that enough upstreams remain to
// carry the load.
func (c *controller) recordFailure(now time.Time, u *upstreamState) {
	u.consecutiveFailures++
	if u.consecutiveFailures < consecutiveFailuresToEject {
		return
	}
	ejected := 0
	for _, other := range c.upstreams {
		if other.ejectedUntil.After(now) {
			ejected++
		}
	}
	if (ejected+1)*100 > c.limits.MaxEjectedPercent*len(c.upstreams) {
		return
	}
	u.ejectedUntil = now.Add(min(initialEjection<<u.ejections, maxEjection))
	// The process may be another one by then.
	u.warmupStart = u.ejectedUntil
	u.ejections = min(u.ejections+1, 5)
	u.consecutiveFailures = 0
}

// estimatedWait estimates how long a request at the end of the queue waits for capacity.
func (c *controller) estimatedWait() time.Duration {
	_, share := c.totals()
	if share == 0 {
		return 0
	}
	var ahead namer.Weight
	for _, w := range c.queue {
		ahead += w.request.Weight
	}
	return time.Duration(float64(c.meanLatency) * float64(ahead) / float64(share))
}

// currentShare returns the part of this VM's share of the upstream that may be used now.
// It grows linearly during the warm-up. At least one unit of weight can always be used.
func (u *upstreamState) currentShare(now time.Time) namer.Weight {
	age := max(0, now.Sub(u.warmupStart))
	if age >= warmupDuration {
		return u.Share
	}
	fraction := initialWarmupFraction + (1-initialWarmupFraction)*age.Seconds()/warmupDuration.Seconds()
	return min(u.Share, namer.Weight(fraction*float64(u.Share))+1)
}

func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(latencySmoothingFactor*float64(sample-mean))
}
