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
	// waitersMost bounds the requests that wait for one service on one VM; more
	// could not be answered within any time limit at the rates of a small VM.
	waitersMost = 512
	// pumpEvery is how often waiting requests look again while nothing else
	// happens, since other VMs' work ends unseen.
	pumpEvery = 10 * time.Millisecond
)

type (
	// queue is the requests that wait for a service, the most urgent first.
	queue struct {
		waiters []*waiter
	}

	waiter struct {
		ask   selector.Request
		begun time.Time
		turn  chan selector.Decision
	}
)

// acquire returns the decision on a request, after a wait where it has to wait.
func (s *Steerer) acquire(ctx context.Context, a *attempts) selector.Decision {
	s.mu.Lock()
	now := s.clock.Now()
	w := &waiter{ask: s.ask(a), begun: now, turn: make(chan selector.Decision, 1)}
	q := s.queueOf(a.service)
	if !q.passedBy(w) {
		d := s.selector.Decide(now, w.ask)
		if d.Action == selector.Send {
			s.selector.Begin(now, d)
		}
		if d.Action != selector.Wait {
			s.mu.Unlock()
			return d
		}
	}
	if len(q.waiters) >= waitersMost {
		s.mu.Unlock()
		return selector.Decision{Action: selector.Refuse, Reason: selector.ReasonFull, RetryAfter: s.retryAfter(a)}
	}
	q.add(w)
	s.counts.Waited++
	s.startTicking()
	s.mu.Unlock()
	return s.await(ctx, a, w)
}

func (s *Steerer) ask(a *attempts) selector.Request {
	return selector.Request{
		Route:      a.route,
		Service:    a.service,
		Object:     objectOf(a.route, a.request),
		TargetTime: a.request.Arrived.Add(a.route.Target),
		Deadline:   s.bounded(a.due),
		Tried:      a.tried,
	}
}

// objectOf returns what a request is about, or nothing where upstreams remember none.
func objectOf(route *parser.Route, r Request) string {
	if !route.Affinity {
		return ""
	}
	return r.Object
}

// await waits for the request's turn, until its time is over or its caller has
// gone.
func (s *Steerer) await(ctx context.Context, a *attempts, w *waiter) selector.Decision {
	timer := s.clock.NewTimer(a.due.Sub(s.clock.Now()) - leastLeft)
	defer timer.Stop()
	select {
	case d := <-w.turn:
		return d
	case <-timer.Chan():
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queueOf(a.service).remove(w)
	s.mu.Unlock()
	if !removed {
		return <-w.turn
	}
	return selector.Decision{Action: selector.Refuse, Reason: selector.ReasonLate, RetryAfter: s.retryAfter(a)}
}

// release takes over what came of a send and lets others have the room.
func (s *Steerer) release(d selector.Decision, r selector.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.End(s.clock.Now(), d, r)
	s.pump()
}

// pump gives waiting requests their turns.
func (s *Steerer) pump() {
	now := s.clock.Now()
	for _, q := range s.waiting {
		q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
			d := s.selector.Decide(now, w.ask)
			if d.Action == selector.Wait {
				return false
			}
			if d.Action == selector.Send {
				s.selector.Begin(now, d)
			}
			w.turn <- d
			return true
		})
	}
}

// startTicking pumps at intervals for as long as anything waits.
func (s *Steerer) startTicking() {
	if s.ticking {
		return
	}
	s.ticking = true
	s.clock.AfterFunc(pumpEvery, s.tick)
}

func (s *Steerer) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticking = false
	s.pump()
	for _, q := range s.waiting {
		if len(q.waiters) > 0 {
			s.startTicking()
			return
		}
	}
}

func (s *Steerer) queueOf(service namer.Service) *queue {
	q := s.waiting[service]
	if q == nil {
		q = &queue{}
		s.waiting[service] = q
	}
	return q
}

// passedBy reports whether a waiting request is to go before w.
func (q *queue) passedBy(w *waiter) bool {
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
	if w.ask.Route.Rank != o.ask.Route.Rank {
		return w.ask.Route.Rank < o.ask.Route.Rank
	}
	return w.ask.TargetTime.Before(o.ask.TargetTime)
}
