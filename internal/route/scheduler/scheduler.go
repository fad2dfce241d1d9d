// Package scheduler decides in which order the requests for one service are sent from one VM,
// how many at a time, and which are refused since they can't be answered in time.
//
// It handles load beyond the capacity of a service for seconds: a class or an account that
// sends a multiple of its usual requests, or upstreams that all have their objects cold.
//
//   - More urgent ranks come first. What other ranks wait for gets leastShare of what is sent,
//     so that none starves.
//   - Within a rank, requests that can still meet their target time come before those that
//     can't any more, which would only make the others late too.
//   - Among these, classes (routes) and accounts take turns by the work that they ask for, as
//     in start-time fair queueing. Within a class and account the earliest target comes first,
//     and the latest one while there are requests that have lost theirs: with the earliest
//     first, each would be sent when it is just too late.
//   - A request that isn't expected to be answered by its deadline behind those that come
//     first is refused at once, with the time until there is room for it.
//   - Requests of lower ranks leave the slots free that those of higher ranks are going to
//     need, by their rate and processing time.
//
// The package is pure: the time is an argument, and there is no I/O. It is not safe for
// concurrent use.
//
// # Usage
//
//	s := scheduler.New()
//	s.RecordArrival(now, request)
//	s.Add(now, request)
//	for _, r := range s.Ordered(now) {
//		if s.MaySend(now, r) {
//			s.Remove(r)
//			s.Begin(now, r)
//		}
//	}
//	// When its response is there:
//	s.End(now, r)
//	s.ReportLoad(now, requests, slots)
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	// maxQueued bounds the requests that wait for one service on one VM. At the request
	// rates of a small VM, more could not be served within any deadline.
	maxQueued = 512
	// leastShare is the fraction of the requests that are sent which ranks have that wait
	// while others come first.
	leastShare = 0.1
	// minLateShare is the fraction of the requests that are sent which those are expected to
	// get whose target is lost. How long a burst lasts isn't known.
	minLateShare = 0.25
	// overloadMemory is how long the latest target comes first after a request has lost its
	// target. A queue in which each request just misses it is no use to any.
	overloadMemory = time.Second
	// rateHalfLife is the half-life of the rates of arrivals and of requests sent.
	rateHalfLife = time.Second
)

type (
	// Rank is the urgency of a request. 0 is the most urgent.
	Rank int

	// Request is a request that is sent or waits. Work is its usual processing time, Need
	// the latency that is expected if it is sent now, which the caller may update.
	Request struct {
		Route      namer.Route
		Account    namer.Account
		Rank       Rank
		TargetTime time.Time
		Deadline   time.Time
		Work       time.Duration
		Need       time.Duration

		arrivedAt time.Time
		// late is whether the target time can't be met any more, latestFirst whether the
		// rank has lost targets lately, and tag the virtual time at which the request's turn
		// comes.
		late        bool
		latestFirst bool
		tag         float64
	}

	// State is what operators see of a scheduler. Limit is the number of requests that may be
	// in flight, -1 while upstreams report no load. Hopeless counts the requests that were
	// refused since they would not have been answered in time.
	State struct {
		Queued   int
		InFlight int
		Limit    int
		Hopeless int64
	}

	// Scheduler holds the requests of one service.
	Scheduler struct {
		queued []*Request
		flows  map[flowKey]*flow
		ranks  map[Rank]*rank
		window window
		sent   rate
		// hopeless counts requests that were refused since they would have been late.
		hopeless int64
		// owed is what lower ranks are owed of the requests that are sent, in requests.
		owed float64
		// sentCount numbers the requests that are sent.
		sentCount int64
	}

	flowKey struct {
		rank    Rank
		route   namer.Route
		account namer.Account
	}

	// flow is the requests of a class and account. virtual is the virtual time, in seconds
	// of work, at which its next turn comes.
	flow struct {
		virtual float64
	}

	// rank holds what is known of all requests of a rank. virtual is its virtual time: the
	// turn of the request that was sent last.
	rank struct {
		virtual  float64
		inFlight int
		arrivals rate
		// work is the mean processing time.
		work time.Duration
		// overloadedAt is when a queued request was last found to have lost its target.
		overloadedAt time.Time
		// lastSent is the number of the request of the rank that was sent last.
		lastSent int64
	}
)

// New returns a scheduler without requests.
func New() *Scheduler {
	return &Scheduler{flows: make(map[flowKey]*flow), ranks: make(map[Rank]*rank)}
}

// RecordArrival counts a request that a caller sent.
func (s *Scheduler) RecordArrival(now time.Time, r *Request) {
	k := s.rank(r.Rank)
	k.arrivals.count(now)
	k.work += (r.Work - k.work) / 8
}

// Add queues a request. It returns false if too many wait already.
func (s *Scheduler) Add(now time.Time, r *Request) bool {
	if len(s.queued) >= maxQueued {
		return false
	}
	r.arrivedAt = now
	s.queued = append(s.queued, r)
	return true
}

// Remove removes a queued request, and reports whether it was queued.
func (s *Scheduler) Remove(r *Request) bool {
	at := slices.Index(s.queued, r)
	if at < 0 {
		return false
	}
	s.queued = slices.Delete(s.queued, at, at+1)
	return true
}

// Refuse removes a queued request that would not be answered in time.
func (s *Scheduler) Refuse(r *Request) {
	if s.Remove(r) {
		s.hopeless++
	}
}

// State returns the scheduler's state.
func (s *Scheduler) State(now time.Time) State {
	limit := -1
	if l := s.window.limit(now); !math.IsInf(l, 1) {
		limit = int(l)
	}
	return State{Queued: len(s.queued), InFlight: s.inFlight(), Limit: limit, Hopeless: s.hopeless}
}

// Len returns the number of queued requests.
func (s *Scheduler) Len() int {
	return len(s.queued)
}

// ComesFirst reports whether no queued request comes before r, which isn't queued.
func (s *Scheduler) ComesFirst(now time.Time, r *Request) bool {
	if len(s.queued) == 0 {
		return true
	}
	s.queued = append(s.queued, r)
	first := s.Ordered(now)[0] == r
	s.Remove(r)
	return first
}

// Ordered returns the queued requests in the order in which they are to be sent.
func (s *Scheduler) Ordered(now time.Time) []*Request {
	ordered := slices.Clone(s.queued)
	for _, r := range ordered {
		r.late = now.Add(r.Need).After(r.TargetTime)
		if r.late {
			s.rank(r.Rank).overloadedAt = now
		}
	}
	for _, r := range ordered {
		r.latestFirst = s.rank(r.Rank).isOverloaded(now)
	}
	slices.SortStableFunc(ordered, func(a, b *Request) int {
		if a.Rank != b.Rank {
			return cmp.Compare(a.Rank, b.Rank)
		}
		if a.latestFirst {
			a, b = b, a
		}
		return a.TargetTime.Compare(b.TargetTime)
	})
	turns := make(map[flowKey]float64)
	for _, r := range ordered {
		key := r.flow()
		turn, ok := turns[key]
		if !ok {
			turn = s.turn(r)
		}
		r.tag = turn
		if !r.late {
			turns[key] = turn + r.Work.Seconds()
		}
	}
	slices.SortStableFunc(ordered, compareOrder)
	s.promote(ordered)
	return ordered
}

// compareOrder orders requests by rank, then those that can meet their target, then by turn.
func compareOrder(a, b *Request) int {
	if a.Rank != b.Rank {
		return cmp.Compare(a.Rank, b.Rank)
	}
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	if a.late {
		return a.Deadline.Compare(b.Deadline)
	}
	return cmp.Compare(a.tag, b.tag)
}

// promote moves a request of another rank to the front if these are owed one: the first of the
// rank that has waited longest for one.
func (s *Scheduler) promote(ordered []*Request) {
	if s.owed < 1 || len(ordered) == 0 {
		return
	}
	first := -1
	for i, r := range ordered {
		if r.Rank != ordered[0].Rank && (first < 0 || s.rank(r.Rank).lastSent < s.rank(ordered[first].Rank).lastSent) {
			first = i
		}
	}
	if first < 0 {
		return
	}
	r := ordered[first]
	copy(ordered[1:first+1], ordered[:first])
	ordered[0] = r
}

// MaySend reports whether r may be sent now: there is room for it, besides what more urgent
// ranks are going to need.
func (s *Scheduler) MaySend(now time.Time, r *Request) bool {
	limit := s.window.limit(now)
	if math.IsInf(limit, 1) {
		return true
	}
	inFlight, below, reserved := 0, 0, 0.0
	for k, state := range s.ranks {
		inFlight += state.inFlight
		if k >= r.Rank {
			below += state.inFlight
		} else {
			reserved += max(0, state.arrivals.perSecond(now)*state.work.Seconds()-float64(state.inFlight))
		}
	}
	switch {
	case float64(inFlight)+1 > limit && inFlight > 0:
		return false
	case float64(inFlight)+1+reserved > limit:
		return float64(below)+1 <= max(1, leastShare*limit)
	}
	return true
}

// Begin counts a request as sent. It must not be queued any more.
func (s *Scheduler) Begin(now time.Time, r *Request) {
	k := s.rank(r.Rank)
	turn := s.turn(r)
	k.virtual = max(k.virtual, turn)
	s.flows[r.flow()] = &flow{virtual: turn + r.Work.Seconds()}
	k.inFlight++
	s.sent.count(now)
	s.sentCount++
	k.lastSent = s.sentCount
	s.pay(r)
	s.forgetIdleFlows()
	s.window.recordInFlight(now, s.inFlight())
}

// pay keeps account of what lower ranks are owed while they wait for others.
func (s *Scheduler) pay(r *Request) {
	lowest := r.Rank
	for _, q := range s.queued {
		lowest = max(lowest, q.Rank)
	}
	first := r.Rank
	for _, q := range s.queued {
		first = min(first, q.Rank)
	}
	switch {
	case lowest == first:
		s.owed = 0
	case r.Rank > first:
		s.owed = max(0, s.owed-1)
	default:
		s.owed = min(s.owed+leastShare, 1)
	}
}

// End counts a request as no longer in flight.
func (s *Scheduler) End(now time.Time, r *Request) {
	s.rank(r.Rank).inFlight--
	s.window.recordInFlight(now, s.inFlight())
}

// ReportLoad records the running and waiting requests that an upstream reported, besides the
// one that it answered.
func (s *Scheduler) ReportLoad(now time.Time, requests, slots int) {
	s.window.reportLoad(now, float64(max(requests, 0)), float64(max(slots, 1)))
	s.window.recordInFlight(now, s.inFlight())
}

// SetCapacity sets the slots of all upstreams of the service for each VM.
func (s *Scheduler) SetCapacity(slotsPerVM float64) {
	s.window.slots = slotsPerVM
}

// Late returns how much too late the response to the i-th of the ordered requests is expected,
// or 0 if it is expected by its deadline.
func (s *Scheduler) Late(now time.Time, ordered []*Request, i int) time.Duration {
	r := ordered[i]
	// While nothing is sent, the last rate is the best that is known.
	served := s.sent.perSecond(s.sent.at)
	if served <= 0 || !r.late {
		return 0
	}
	// After a calm time the rate of sends is low, but those in flight end one after the other.
	if r.Need > 0 {
		served = max(served, float64(s.inFlight())/r.Need.Seconds())
	}
	arriving := 0.0
	for k, state := range s.ranks {
		if k <= r.Rank {
			arriving += state.arrivals.perSecond(now)
		}
	}
	served = max(served-arriving, minLateShare*served)
	wait := time.Duration(float64(i) / served * float64(time.Second))
	return max(0, now.Add(wait+r.Need).Sub(r.Deadline))
}

func (s *Scheduler) inFlight() int {
	n := 0
	for _, k := range s.ranks {
		n += k.inFlight
	}
	return n
}

func (s *Scheduler) rank(r Rank) *rank {
	k := s.ranks[r]
	if k == nil {
		k = &rank{}
		s.ranks[r] = k
	}
	return k
}

// isOverloaded reports whether a request of the rank has lost its target lately.
func (k *rank) isOverloaded(now time.Time) bool {
	return !k.overloadedAt.IsZero() && now.Sub(k.overloadedAt) < overloadMemory
}

// turn returns the virtual time of the next turn of a request's flow. A flow that was idle
// doesn't save turns.
func (s *Scheduler) turn(r *Request) float64 {
	virtual := s.rank(r.Rank).virtual
	if f := s.flows[r.flow()]; f != nil {
		return max(virtual, f.virtual)
	}
	return virtual
}

// forgetIdleFlows removes the flows that no longer differ from new ones.
func (s *Scheduler) forgetIdleFlows() {
	for key, f := range s.flows {
		if f.virtual <= s.rank(key.rank).virtual {
			delete(s.flows, key)
		}
	}
}

func (r *Request) flow() flowKey {
	return flowKey{rank: r.Rank, route: r.Route, account: r.Account}
}
