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
	CodeNoUpstream arbiter.Code = "no-upstream"
	CodeQueueFull  arbiter.Code = "overloaded"
	CodeDeadline   arbiter.Code = "deadline"
	CodeTooHeavy   arbiter.Code = "too-heavy"
)

const (
	// failuresToEject is how many failures in a row eject an upstream.
	failuresToEject = 3
	ejectFirst      = time.Second
	ejectLongest    = 30 * time.Second

	// warmTime is how long an upstream that joins takes to reach its share;
	// it begins at the part warmFirst.
	warmTime  = 10 * time.Second
	warmFirst = 0.2

	// latencyPart is how much one answer moves the mean latency.
	latencyPart = 0.1
)

type (
	// Limits is a service's rules of admission.
	Limits struct {
		MaxQueued         int
		ReservePercent    int
		MaxEjectedPercent int
	}

	// UpstreamShare is an upstream with this VM's share of it.
	UpstreamShare struct {
		Upstream namer.Upstream
		Address  string
		Share    namer.Weight
		MaxConns int
		Drained  bool
	}

	// Request is one request for room.
	Request struct {
		Weight   namer.Weight
		Once     bool
		Deadline time.Time
		Avoid    namer.Upstream
	}

	// Refusal says why there is no room. The zero value is none.
	Refusal struct {
		Code   arbiter.Code
		Reason string
	}

	// ticket names a queued request.
	ticket uint64

	// decision is a grant, a place in the queue or a refusal.
	decision struct {
		slot    *slotState
		queued  ticket
		refusal Refusal
	}

	// admission is a queued request that now has room.
	admission struct {
		ticket ticket
		slot   *slotState
	}

	slotState struct {
		UpstreamShare
		inFlight  namer.Weight
		latency   time.Duration
		failures  int
		ejections int
		ejected   time.Time
		since     time.Time
	}

	waiter struct {
		ticket ticket
		ask    Request
	}

	// book is the admission of one service on one VM, as a state machine
	// without clock, lock or goroutine.
	book struct {
		limits Limits
		slots  []*slotState
		queue  []waiter
		last   ticket
		mean   time.Duration
		draw   func(int) int
	}
)

// configure takes over new limits and shares. What is in flight at an upstream
// that stays is kept, and one that joins later than the first starts slowly.
func (b *book) configure(now time.Time, limits Limits, slots []UpstreamShare) {
	b.limits = limits
	first := len(b.slots) == 0
	old := b.slots
	b.slots = make([]*slotState, 0, len(slots))
	for _, s := range slots {
		state := take(old, s)
		if state == nil {
			state = &slotState{since: now}
			if first {
				state.since = now.Add(-warmTime)
			}
		}
		if state.Drained && !s.Drained {
			state.since = now
		}
		state.UpstreamShare = s
		b.slots = append(b.slots, state)
	}
	b.keepBusy(old)
}

// keepBusy keeps an upstream that left the document for as long as it has work
// in flight, so that its return finds that work counted.
func (b *book) keepBusy(old []*slotState) {
	for _, o := range old {
		if o.inFlight > 0 && !slices.Contains(b.slots, o) {
			o.Share = 0
			o.Drained = true
			b.slots = append(b.slots, o)
		}
	}
}

func take(old []*slotState, s UpstreamShare) *slotState {
	for _, o := range old {
		if o.Upstream == s.Upstream && o.Address == s.Address {
			return o
		}
	}
	return nil
}

// ask decides about a request: room now, a place in the queue, or none.
func (b *book) ask(now time.Time, a Request) decision {
	if !b.fitsAny(a.Weight) {
		return decision{refusal: b.unfit()}
	}
	if !now.Before(a.Deadline) {
		return decision{refusal: Refusal{Code: CodeDeadline, Reason: "the deadline has passed"}}
	}
	if len(b.queue) == 0 {
		if s := b.pick(now, a); s != nil {
			s.inFlight += a.Weight
			return decision{slot: s}
		}
	}
	if len(b.queue) >= b.limits.MaxQueued {
		return decision{refusal: Refusal{Code: CodeQueueFull, Reason: "no slot is free and the queue is full"}}
	}
	if now.Add(b.wait()).After(a.Deadline) {
		return decision{refusal: Refusal{Code: CodeDeadline, Reason: "the queue is longer than the deadline allows"}}
	}
	b.last++
	b.queue = append(b.queue, waiter{ticket: b.last, ask: a})
	return decision{queued: b.last}
}

// release gives a request's weight back and returns the queued requests that
// have room now.
func (b *book) release(now time.Time, s *slotState, weight namer.Weight, took time.Duration, failed bool) []admission {
	s.inFlight -= weight
	if failed {
		b.fail(now, s)
	} else {
		s.failures = 0
		s.ejections = 0
		s.latency = mix(s.latency, took)
		b.mean = mix(b.mean, took)
	}
	return b.serve(now)
}

// serve admits from the queue whatever has room, in order of arrival. Requests
// that are too late are left for cancel.
func (b *book) serve(now time.Time) []admission {
	var admitted []admission
	kept := b.queue[:0]
	for _, w := range b.queue {
		s := b.pick(now, w.ask)
		if s == nil {
			kept = append(kept, w)
			continue
		}
		s.inFlight += w.ask.Weight
		admitted = append(admitted, admission{ticket: w.ticket, slot: s})
	}
	b.queue = kept
	return admitted
}

// cancel takes a request out of the queue and reports whether it was there.
func (b *book) cancel(t ticket) bool {
	before := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(w waiter) bool { return w.ticket == t })
	return len(b.queue) < before
}

// room returns the weight that is free.
func (b *book) room(now time.Time) namer.Weight {
	var free namer.Weight
	for _, s := range b.slots {
		if b.open(now, s) {
			free += max(s.share(now)-s.inFlight, 0)
		}
	}
	return free
}

func (b *book) total() (inFlight, whole namer.Weight) {
	for _, s := range b.slots {
		inFlight += s.inFlight
		whole += s.Share
	}
	return inFlight, whole
}

func (b *book) fitsAny(weight namer.Weight) bool {
	return slices.ContainsFunc(b.slots, func(s *slotState) bool { return !s.Drained && s.Share >= weight })
}

func (b *book) unfit() Refusal {
	if slices.ContainsFunc(b.slots, func(s *slotState) bool { return !s.Drained && s.Share > 0 }) {
		return Refusal{Code: CodeTooHeavy, Reason: "the class weighs more than this VM's share of any upstream"}
	}
	return Refusal{Code: CodeNoUpstream, Reason: "this VM has no share of any upstream that takes new work"}
}

// pick returns an upstream that has room for the request under every rule. It
// takes the upstream to avoid only when there is no other.
func (b *book) pick(now time.Time, a Request) *slotState {
	if !a.Once && b.reserved(a.Weight) {
		return nil
	}
	if s := b.pickExcept(now, a, a.Avoid); s != nil || a.Avoid == "" {
		return s
	}
	return b.pickExcept(now, a, "")
}

func (b *book) pickExcept(now time.Time, a Request, avoid namer.Upstream) *slotState {
	var open []*slotState
	var cands []chooser.Candidate
	for _, s := range b.slots {
		share := s.share(now)
		if !b.open(now, s) || s.inFlight+a.Weight > share || s.Upstream == avoid {
			continue
		}
		open = append(open, s)
		cands = append(cands, chooser.Candidate{InFlight: s.inFlight, Share: share, Latency: s.latency})
	}
	i := chooser.Choose(cands, a.Weight, b.draw)
	if i < 0 {
		return nil
	}
	return open[i]
}

// reserved reports whether an idempotent request would use the part of the
// share that is kept for once-only classes. A part below one slot is none.
func (b *book) reserved(weight namer.Weight) bool {
	inFlight, whole := b.total()
	kept := whole * namer.Weight(b.limits.ReservePercent) / 100
	return inFlight+weight > whole-kept
}

func (b *book) open(now time.Time, s *slotState) bool {
	return !s.Drained && !s.ejected.After(now)
}

// fail counts a failure and ejects the upstream when there are too many in a
// row, unless so many are ejected already that the rest could not carry on.
func (b *book) fail(now time.Time, s *slotState) {
	s.failures++
	if s.failures < failuresToEject {
		return
	}
	out := 0
	for _, o := range b.slots {
		if o.ejected.After(now) {
			out++
		}
	}
	if (out+1)*100 > b.limits.MaxEjectedPercent*len(b.slots) {
		return
	}
	s.ejected = now.Add(min(ejectFirst<<s.ejections, ejectLongest))
	s.ejections = min(s.ejections+1, 5)
	s.failures = 0
}

// wait estimates how long a request at the end of the queue waits for a slot.
func (b *book) wait() time.Duration {
	_, whole := b.total()
	if whole == 0 {
		return 0
	}
	var ahead namer.Weight
	for _, w := range b.queue {
		ahead += w.ask.Weight
	}
	return time.Duration(float64(b.mean) * float64(ahead) / float64(whole))
}

// share is the part of the upstream that may be used now. It grows while the
// upstream is warming up, and always has room for one request.
func (s *slotState) share(now time.Time) namer.Weight {
	age := now.Sub(s.since)
	if age >= warmTime {
		return s.Share
	}
	part := warmFirst + (1-warmFirst)*age.Seconds()/warmTime.Seconds()
	return min(s.Share, namer.Weight(part*float64(s.Share))+1)
}

func mix(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(latencyPart*float64(sample-mean))
}
