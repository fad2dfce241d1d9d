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
	// maxQueueLength bounds the queue of one service on one VM. At the request rates of
	// a small VM, a longer queue could not be served within any deadline.
	maxQueueLength = 512
	// queueCheckInterval is how often queued requests are reconsidered when this VM sees
	// no event. Requests of other VMs free slots without this VM being told.
	queueCheckInterval = 10 * time.Millisecond
)

type (
	// queue holds the requests that wait for a service, the most urgent first.
	queue struct {
		waiters []*waiter
	}

	// waiter is a queued request. Its decision channel has a buffer of one, so that
	// sending a decision never blocks.
	waiter struct {
		request  selector.Request
		queuedAt time.Time
		decision chan selector.Decision
	}
)

// acquireUpstream returns the selector's decision on a request. The request is queued
// while the chosen upstream is full, or behind requests of the service that come first.
func (s *Steerer) acquireUpstream(ctx context.Context, a *activeRequest) selector.Decision {
	s.mu.Lock()
	now := s.clock.Now()
	w := &waiter{request: s.selectorRequest(a), queuedAt: now, decision: make(chan selector.Decision, 1)}
	q := s.queueFor(a.service)
	if !q.hasEarlier(w) {
		d := s.selector.Decide(now, w.request)
		if d.Action == selector.Send {
			s.selector.Begin(now, d)
		}
		if d.Action != selector.Wait {
			s.mu.Unlock()
			return d
		}
	}
	if len(q.waiters) >= maxQueueLength {
		s.mu.Unlock()
		return selector.Decision{Action: selector.Refuse, Reason: selector.ReasonFull, RetryAfter: s.retryAfter(a)}
	}
	q.add(w)
	s.counts.Waited++
	s.scheduleCheck()
	s.mu.Unlock()
	return s.waitInQueue(ctx, a, w)
}

// selectorRequest returns what the selector needs to know of a request. The caller
// holds s.mu.
func (s *Steerer) selectorRequest(a *activeRequest) selector.Request {
	return selector.Request{
		Route:      a.route,
		Service:    a.service,
		Object:     affinityObject(a.route, a.request),
		TargetTime: a.request.ReceivedAt.Add(a.route.LatencyTarget),
		Deadline:   s.capAtShutdown(a.deadline),
		Tried:      a.tried,
		Priority:   a.priority(),

		AccountRegions: a.accountRegions(),
	}
}

// affinityObject returns the object of a request, or "" for a route without affinity.
func affinityObject(route *parser.Route, r Request) string {
	if !route.Affinity {
		return ""
	}
	return r.Object
}

// waitInQueue waits for the decision on a queued request. It gives up when too little
// time is left to send the request, or when the caller disconnects.
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
		// The decision was made at the same moment.
		return <-w.decision
	}
	return selector.Decision{Action: selector.Refuse, Reason: selector.ReasonLate, RetryAfter: s.retryAfter(a)}
}

// release reports the result of an attempt to the selector, and decides on the queued
// requests again, since an upstream may have a free slot now.
func (s *Steerer) release(d selector.Decision, r selector.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.End(s.clock.Now(), d, r)
	s.logPaces()
	s.serveQueues()
}

// serveQueues decides on every queued request again, in queue order, and removes those
// that are sent or refused. The caller holds s.mu.
func (s *Steerer) serveQueues() {
	now := s.clock.Now()
	for _, q := range s.queues {
		q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
			d := s.selector.Decide(now, w.request)
			if d.Action == selector.Wait {
				return false
			}
			if d.Action == selector.Send {
				s.selector.Begin(now, d)
			}
			w.decision <- d
			return true
		})
	}
}

// scheduleCheck schedules the next call of checkQueues, which repeats for as long as
// requests are queued.
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

// hasEarlier reports whether a queued request comes before w, or is of equal order.
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

// before reports whether w is served before o: the request with the lower Priority first,
// and within a priority the one with the earlier target time.
func (w *waiter) before(o *waiter) bool {
	if w.request.Priority != o.request.Priority {
		return w.request.Priority < o.request.Priority
	}
	return w.request.TargetTime.Before(o.request.TargetTime)
}
