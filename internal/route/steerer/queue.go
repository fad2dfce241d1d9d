package steerer

import (
	"context"
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
)

const (
	// maxQueueLength bounds the requests that wait for one service on one VM; more
	// could not be answered within any time limit at the rates of a small VM.
	maxQueueLength = 512
	// queueCheckInterval is how often waiting requests look again while nothing else
	// happens, since other VMs' work ends unseen.
	queueCheckInterval = 10 * time.Millisecond
)

type (
	// queue is the requests that wait for a service, the most urgent first.
	queue struct {
		waiters []*waiter
	}

	waiter struct {
		request  selector.Ask
		queuedAt time.Time
		decision chan selector.Decision
	}
)

// acquireUpstream returns the decision on a request, after a wait where it has to wait.
func (s *Steerer) acquireUpstream(ctx context.Context, a *activeRequest) selector.Decision {
	s.mu.Lock()
	now := s.clock.Now()
	w := &waiter{request: s.selectorRequest(a), queuedAt: now, decision: make(chan selector.Decision, 1)}
	q := s.queueFor(a.service)
	if !q.hasEarlier(w) {
		d := s.selector.Decide(now, w.request)
		if d.Kind == selector.Send {
			s.selector.Begin(now, d)
		}
		if d.Kind != selector.Wait {
			s.mu.Unlock()
			return d
		}
	}
	if len(q.waiters) >= maxQueueLength {
		s.mu.Unlock()
		return selector.Decision{Kind: selector.Refuse, Reason: selector.ByFull, RetryAfter: s.retryAfter(a)}
	}
	q.add(w)
	s.counts.Waited++
	s.scheduleCheck()
	s.mu.Unlock()
	return s.waitInQueue(ctx, a, w)
}

func (s *Steerer) selectorRequest(a *activeRequest) selector.Ask {
	return selector.Ask{
		Route:   a.route,
		Service: a.service,
		Object:  affinityObject(a.route, a.request),
		Ideal:   a.request.ReceivedAt.Add(a.route.Target),
		Due:     s.capAtShutdown(a.deadline),
		Tried:   a.tried,
	}
}

// affinityObject returns what a request is about, or nothing where upstreams remember none.
func affinityObject(route *parser.Route, r Request) string {
	if !route.Affinity {
		return ""
	}
	return r.Object
}

// waitInQueue waits for the request's turn, until its time is over or its caller has
// gone.
func (s *Steerer) waitInQueue(ctx context.Context, a *activeRequest, w *waiter) selector.Decision {
	timer := s.clock.NewTimer(a.deadline.Sub(s.clock.Now()) - minSendTime)
	defer timer.Stop()
	select {
	case d := <-w.decision:
		return d
	case <-timer.Chan():
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queueFor(a.service).remove(w)
	s.mu.Unlock()
	if !removed {
		return <-w.decision
	}
	return selector.Decision{Kind: selector.Refuse, Reason: selector.ByLate, RetryAfter: s.retryAfter(a)}
}

// release takes over what came of a send and lets others have the room.
func (s *Steerer) release(d selector.Decision, r selector.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.End(s.clock.Now(), d, r)
	s.serveQueues()
}

// serveQueues gives waiting requests their turns.
func (s *Steerer) serveQueues() {
	now := s.clock.Now()
	for _, q := range s.queues {
		q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
			d := s.selector.Decide(now, w.request)
			if d.Kind == selector.Wait {
				return false
			}
			if d.Kind == selector.Send {
				s.selector.Begin(now, d)
			}
			w.decision <- d
			return true
		})
	}
}

// scheduleCheck pumps at intervals for as long as anything waits.
func (s *Steerer) scheduleCheck() {
	if s.checkScheduled {
		return
	}
	s.checkScheduled = true
	s.clock.AfterFunc(queueCheckInterval, s.checkQueues)
}

func (s *Steerer) checkQueues() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkScheduled = false
	s.serveQueues()
	for _, q := range s.queues {
		if len(q.waiters) > 0 {
			s.scheduleCheck()
			return
		}
	}
}

func (s *Steerer) queueFor(service namer.Service) *queue {
	q := s.queues[service]
	if q == nil {
		q = &queue{}
		s.queues[service] = q
	}
	return q
}

// hasEarlier reports whether a waiting request is to go before w.
func (q *queue) hasEarlier(w *waiter) bool {
	return len(q.waiters) > 0 && !w.before(q.waiters[0])
}

func (q *queue) add(w *waiter) {
	at, _ := slices.BinarySearchFunc(q.waiters, w, func(x, y *waiter) int {
		if y.before(x) {
			return 1
		}
		return -1
	})
	q.waiters = slices.Insert(q.waiters, at, w)
}

func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiters, w)
	if at < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, at, at+1)
	return true
}

// before orders waiting requests: the more urgent first, and of the same
// urgency the one whose target is nearer.
func (w *waiter) before(o *waiter) bool {
	if w.request.Route.Rank != o.request.Route.Rank {
		return w.request.Route.Rank < o.request.Route.Rank
	}
	return w.request.Ideal.Before(o.request.Ideal)
}
