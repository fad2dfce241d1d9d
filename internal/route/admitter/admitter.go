// Package admitter is the admission control for the upstreams of one service in this
// VM's zone. It admits, queues or refuses requests. It counts the weight of a request's
// class, never requests, and never has more in flight at an upstream than this VM's share
// of it.
//
// # Usage
//
//	pool := admitter.New(clock, rng.IntN)
//	pool.Configure(limits, shares)
//	grant, refusal := pool.Acquire(ctx, request)
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
	// Pool controls the admission of one service's requests on one VM.
	Pool struct {
		mu         sync.Mutex
		clock      clockwork.Clock
		controller controller
		waiting    map[ticket]chan *upstreamState
	}

	// Grant is the capacity for one request at one upstream. It is held until Done.
	Grant struct {
		Upstream namer.Upstream
		Address  string
		MaxConns int

		pool      *Pool
		upstream  *upstreamState
		weight    namer.Weight
		grantedAt time.Time
		once      sync.Once
	}

	// Usage is the weight that a pool has in flight, its total share (Whole), its free
	// capacity (Room) and the number of queued requests.
	Usage struct {
		InFlight namer.Weight
		Whole    namer.Weight
		Room     namer.Weight
		Queued   int
	}
)

// New returns a pool without upstreams. Function randIntN returns a random number in
// [0, n) for its argument n. The pool calls it while holding a lock.
func New(clock clockwork.Clock, randIntN func(int) int) *Pool {
	return &Pool{clock: clock, controller: controller{randIntN: randIntN}, waiting: make(map[ticket]chan *upstreamState)}
}

// Configure replaces limits and shares.
func (p *Pool) Configure(limits Limits, shares []UpstreamShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.controller.configure(now, limits, shares)
	p.deliver(p.controller.admitQueued(now))
}

// Acquire returns the capacity for a request, or a refusal. A queued request waits until
// its deadline or the end of ctx.
func (p *Pool) Acquire(ctx context.Context, r Request) (*Grant, Refusal) {
	p.mu.Lock()
	d := p.controller.decide(p.clock.Now(), r)
	if d.upstream != nil {
		p.mu.Unlock()
		return p.grant(d.upstream, r.Weight), Refusal{}
	}
	if d.refusal != (Refusal{}) {
		p.mu.Unlock()
		return nil, d.refusal
	}
	granted := make(chan *upstreamState, 1)
	p.waiting[d.ticket] = granted
	p.mu.Unlock()
	return p.await(ctx, r, d.ticket, granted)
}

// Usage returns the pool's present usage.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := Usage{Room: p.controller.freeCapacity(p.clock.Now()), Queued: len(p.controller.queue)}
	u.InFlight, u.Whole = p.controller.totals()
	return u
}

// Done releases the capacity. Failed says that the upstream failed the request; a refusal
// by the upstream is no failure.
func (g *Grant) Done(failed bool) {
	g.once.Do(func() {
		p := g.pool
		p.mu.Lock()
		defer p.mu.Unlock()
		now := p.clock.Now()
		p.deliver(p.controller.release(now, g.upstream, g.weight, now.Sub(g.grantedAt), failed))
	})
}

func (p *Pool) await(ctx context.Context, r Request, t ticket, granted <-chan *upstreamState) (*Grant, Refusal) {
	timer := p.clock.NewTimer(r.Deadline.Sub(p.clock.Now()))
	defer timer.Stop()
	select {
	case u := <-granted:
		return p.grant(u, r.Weight), Refusal{}
	case <-timer.Chan():
	case <-ctx.Done():
	}
	p.mu.Lock()
	queued := p.controller.cancel(t)
	delete(p.waiting, t)
	p.mu.Unlock()
	if !queued {
		return p.grant(<-granted, r.Weight), Refusal{}
	}
	return nil, Refusal{Code: CodeDeadlineExceeded, Reason: "no slot came free before the deadline"}
}

func (p *Pool) grant(u *upstreamState, weight namer.Weight) *Grant {
	return &Grant{
		Upstream:  u.Upstream,
		Address:   u.Address,
		MaxConns:  u.MaxConns,
		pool:      p,
		upstream:  u,
		weight:    weight,
		grantedAt: p.clock.Now(),
	}
}

// deliver passes admitted requests their upstreams. The channels are buffered: a request
// that gives up at the same time still finds its upstream there.
func (p *Pool) deliver(admitted []admission) {
	for _, a := range admitted {
		p.waiting[a.ticket] <- a.upstream
		delete(p.waiting, a.ticket)
	}
}
