package steerer

import (
	"context"
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/scheduler"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
)

// queueCheckInterval is how often queued requests are reconsidered when this VM sees no
// event. Requests of other VMs free slots without this VM being told.
const queueCheckInterval = 10 * time.Millisecond

type (
	// queue holds the requests for a service that wait, and the schedule of all of them.
	queue struct {
		*scheduler.Scheduler
		waiters map[*scheduler.Request]*waiter
	}

	// waiter is a queued request. Its decision channel has a buffer of one, so that
	// sending a decision never blocks.
	waiter struct {
		request  selector.Request
		decision chan selector.Decision
	}
)

// acquireUpstream returns the decision on a request. The request is queued while the chosen
// upstream is full, while this VM has as many requests in flight as it may, or behind
// requests of the service that come first.
func (s *Steerer) acquireUpstream(ctx context.Context, a *activeRequest) selector.Decision {
	s.mu.Lock()
	now := s.clock.Now()
	request := s.selectorRequest(a)
	q := s.queueFor(a.service)
	first := a.scheduled == nil
	a.scheduled = s.scheduledRequest(a, request)
	if first {
		q.RecordArrival(now, a.scheduled)
	}
	q.SetCapacity(s.selector.SlotsPerVM(a.service))
	d := s.selector.Decide(now, request)
	a.scheduled.Need = d.ExpectedLatency
	if d.Action == selector.Send && q.ComesFirst(now, a.scheduled) && q.MaySend(now, a.scheduled) {
		s.begin(now, q, a.scheduled, d)
		s.mu.Unlock()
		return d
	}
	if d.Action == selector.Refuse {
		s.mu.Unlock()
		return d
	}
	if !q.Add(now, a.scheduled) {
		s.mu.Unlock()
		return selector.Decision{Action: selector.Refuse, Reason: selector.ReasonFull, RetryAfter: s.retryAfter(a)}
	}
	w := &waiter{request: request, decision: make(chan selector.Decision, 1)}
	q.waiters[a.scheduled] = w
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

// scheduledRequest returns what the scheduler needs to know of a request. The caller holds
// s.mu.
func (s *Steerer) scheduledRequest(a *activeRequest, r selector.Request) *scheduler.Request {
	return &scheduler.Request{
		Route:      a.route.Name,
		Account:    namer.Account(a.accountName()),
		Rank:       scheduler.Rank(r.Priority),
		TargetTime: r.TargetTime,
		Deadline:   r.Deadline,
		Work:       s.selector.ProcessingTime(a.route),
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
	q := s.queueFor(a.service)
	removed := q.Remove(a.scheduled)
	delete(q.waiters, a.scheduled)
	s.mu.Unlock()
	if !removed {
		// The decision was made at the same moment.
		return <-w.decision
	}
	return selector.Decision{Action: selector.Refuse, Reason: selector.ReasonLate, RetryAfter: s.retryAfter(a)}
}

// begin counts a request as sent. The caller holds s.mu.
func (s *Steerer) begin(now time.Time, q *queue, r *scheduler.Request, d selector.Decision) {
	s.selector.Begin(now, d)
	q.Begin(now, r)
}

// release reports the result of an attempt to the selector and the scheduler, and decides on
// the queued requests of the service again, since an upstream may have a free slot now.
func (s *Steerer) release(a *activeRequest, d selector.Decision, r selector.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.selector.End(now, d, r)
	s.logPaces()
	q := s.queueFor(a.service)
	q.End(now, a.scheduled)
	if r.Load >= 0 {
		q.ReportLoad(now, r.RequestsLeft(), d.Slots())
	}
	s.serveQueue(now, a.service, q)
}

// serveQueues decides on all queued requests again. The caller holds s.mu.
func (s *Steerer) serveQueues() {
	now := s.clock.Now()
	for service, q := range s.queues {
		s.serveQueue(now, service, q)
	}
}

// serveQueue decides on the queued requests of a service again, in their order, and removes
// those that are sent or refused. The caller holds s.mu.
func (s *Steerer) serveQueue(now time.Time, service namer.Service, q *queue) {
	if q.Len() == 0 {
		return
	}
	q.SetCapacity(s.selector.SlotsPerVM(service))
	ordered := q.Ordered(now)
	for i := 0; i < len(ordered); {
		r := ordered[i]
		w := q.waiters[r]
		d := selector.Decision{Action: selector.Wait}
		if late := q.Late(now, ordered, i); late > 0 {
			d = selector.Decision{Action: selector.Refuse, Reason: selector.ReasonLate, RetryAfter: late}
			q.Refuse(r)
		} else if q.MaySend(now, r) {
			d = s.selector.Decide(now, w.request)
			r.Need = d.ExpectedLatency
		}
		if d.Action == selector.Wait {
			i++
			continue
		}
		q.Remove(r)
		delete(q.waiters, r)
		ordered = slices.Delete(ordered, i, i+1)
		if d.Action == selector.Send {
			s.begin(now, q, r, d)
		}
		w.decision <- d
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
		if q.Len() > 0 {
			s.scheduleCheck()
			return
		}
	}
}

func (s *Steerer) queueFor(service namer.Service) *queue {
	q := s.queues[service]
	if q == nil {
		q = &queue{Scheduler: scheduler.New(), waiters: make(map[*scheduler.Request]*waiter)}
		s.queues[service] = q
	}
	return q
}

// Queues returns the state of the requests of each service.
func (s *Steerer) Queues() map[namer.Service]scheduler.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	states := make(map[namer.Service]scheduler.State, len(s.queues))
	for service, q := range s.queues {
		states[service] = q.State(now)
	}
	return states
}
