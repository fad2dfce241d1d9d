// Package admitter admits or refuses requests for the upstreams of one service
// in this VM's zone. It counts class weight, never requests, and never puts
// more in flight at an upstream than this VM's share of it.
//
// # Usage
//
//	pool := admitter.New(clock, rng.IntN)
//	pool.Configure(limits, slots)
//	grant, refusal := pool.Acquire(ctx, ask)
//	if grant == nil {
//		return refusal
//	}
//	defer grant.Done(failed)
package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// Pool is the admission of one service on one VM.
	Pool struct {
		mu      sync.Mutex
		clock   clockwork.Clock
		book    book
		waiting map[ticket]chan *slotState
	}

	// Grant is room for one request at one upstream, until Done.
	Grant struct {
		Upstream namer.Upstream
		Address  string
		MaxConns int

		pool   *Pool
		slot   *slotState
		weight namer.Weight
		since  time.Time
		once   sync.Once
	}

	// Usage is what a pool has in flight, of how much.
	Usage struct {
		InFlight namer.Weight
		Whole    namer.Weight
		Room     namer.Weight
		Queued   int
	}
)

// New returns a pool without upstreams. Draw returns a random number from 0 up
// to but not including its argument, and is called under a lock.
func New(clock clockwork.Clock, draw func(int) int) *Pool {
	return &Pool{clock: clock, book: book{draw: draw}, waiting: make(map[ticket]chan *slotState)}
}

// Configure takes over new limits and shares.
func (p *Pool) Configure(limits Limits, slots []UpstreamShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.book.configure(now, limits, slots)
	p.admit(p.book.serve(now))
}

// Acquire returns room for a request, or why there is none. It waits in the
// queue until the request's deadline or the end of ctx.
func (p *Pool) Acquire(ctx context.Context, a Request) (*Grant, Refusal) {
	p.mu.Lock()
	d := p.book.ask(p.clock.Now(), a)
	if d.slot != nil {
		p.mu.Unlock()
		return p.grant(d.slot, a.Weight), Refusal{}
	}
	if d.refusal != (Refusal{}) {
		p.mu.Unlock()
		return nil, d.refusal
	}
	turn := make(chan *slotState, 1)
	p.waiting[d.queued] = turn
	p.mu.Unlock()
	return p.await(ctx, a, d.queued, turn)
}

// Usage returns what is in flight now.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := Usage{Room: p.book.room(p.clock.Now()), Queued: len(p.book.queue)}
	u.InFlight, u.Whole = p.book.total()
	return u
}

// Done gives the room back. Failed says that the upstream did not answer as it
// should; a refusal of its own is no failure.
func (g *Grant) Done(failed bool) {
	g.once.Do(func() {
		p := g.pool
		p.mu.Lock()
		defer p.mu.Unlock()
		now := p.clock.Now()
		p.admit(p.book.release(now, g.slot, g.weight, now.Sub(g.since), failed))
	})
}

func (p *Pool) await(ctx context.Context, a Request, t ticket, turn <-chan *slotState) (*Grant, Refusal) {
	timer := p.clock.NewTimer(a.Deadline.Sub(p.clock.Now()))
	defer timer.Stop()
	select {
	case s := <-turn:
		return p.grant(s, a.Weight), Refusal{}
	case <-timer.Chan():
	case <-ctx.Done():
	}
	p.mu.Lock()
	queued := p.book.cancel(t)
	delete(p.waiting, t)
	p.mu.Unlock()
	if !queued {
		return p.grant(<-turn, a.Weight), Refusal{}
	}
	return nil, Refusal{Code: CodeDeadline, Reason: "no slot came free before the deadline"}
}

func (p *Pool) grant(s *slotState, weight namer.Weight) *Grant {
	return &Grant{
		Upstream: s.Upstream,
		Address:  s.Address,
		MaxConns: s.MaxConns,
		pool:     p,
		slot:     s,
		weight:   weight,
		since:    p.clock.Now(),
	}
}

// admit hands queued requests their room. The channels have space for it, so
// a request that is just giving up finds it there.
func (p *Pool) admit(admitted []admission) {
	for _, a := range admitted {
		p.waiting[a.ticket] <- a.slot
		delete(p.waiting, a.ticket)
	}
}
