// Package lender keeps the limits of client accounts over all entry VMs. It does the input
// and output of package limiter: it asks the keepers of accounts for tokens, lends tokens to
// other VMs, and borrows from other zones.
//
// The keeper of an account in a zone is the first of the zone's VMs that are alive, in
// rendezvous order by account. Requests that find no token wait for a call to the keeper; at
// most one call to each keeper is in flight, and it asks for all that wait by then. Accounts
// that send steadily get tokens ahead of need. A keeper that has too few asks other zones,
// through the members that it knows there. A refusal that an account has no tokens is
// remembered until the time that it tells, so that a flood costs few calls.
//
// Without accounts that have a limit there are no calls and there is no state.
//
// # Usage
//
//	l, cleanup := lender.New(self, terms, timing, deps, clock, log)
//	defer cleanup()
//	go l.Serve(ctx)
//	l.SetDocument(document)
//	if ok, retryAfter := l.Take(ctx, account); !ok {
//		// Refuse the request with 429.
//	}
package lender

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/account/limiter"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

const (
	// lookInterval is the interval of looks at the members.
	lookInterval = 100 * time.Millisecond
	// takeTimeout bounds the time that a request waits for a token. It covers a call to the
	// keeper, which covers two to other zones, and a VM that gets no processor time meanwhile.
	takeTimeout = 250 * time.Millisecond
	// keeperTimeout bounds a call to a keeper, which may borrow meanwhile. lendTimeout bounds
	// a call to another zone; what arrives later has expired.
	keeperTimeout = 150 * time.Millisecond
	lendTimeout   = 60 * time.Millisecond
	// minPause is the time for which a VM refuses an account by itself, or doesn't ask a zone,
	// after the first reply that there are too few tokens. It doubles with each further one,
	// up to maxPauseFactor times, and no less than the reply tells.
	minPause       = 20 * time.Millisecond
	maxPauseFactor = 8
	// failurePause is the time until a zone that could not be reached is asked again. A VM
	// that can reach none refuses for as long. A keeper that could not be reached is asked
	// again after keeperPause; meanwhile, other zones are asked in its place.
	failurePause = 100 * time.Millisecond
	keeperPause  = 500 * time.Millisecond
	// maxRetryAfter bounds the time that a refusal tells.
	maxRetryAfter = 2 * time.Second
	// limitedGrace is the time without refusals after which an account is no longer limited.
	limitedGrace = 5 * time.Second
)

type (
	// PeerClient sends a request to another entry VM.
	PeerClient interface {
		Call(ctx context.Context, address string, want namer.Incarnation, req *encoder.Request) (*encoder.Reply, error)
	}

	// Members tells this VM's view of the members.
	Members interface {
		Self() tracker.Member
		Members() []tracker.Member
	}

	// Dependencies holds what a lender calls.
	Dependencies struct {
		Peers   PeerClient
		Members Members
	}

	// Self is this VM. Zones has all zones of the deployment. Seeded is whether the VM knows
	// addresses of other VMs, so that it is cut off while it hears none.
	Self struct {
		VM     namer.VM
		Zone   namer.Zone
		Zones  []namer.Zone
		Seeded bool
	}

	// Lender keeps the limits of accounts at one VM.
	Lender struct {
		self   Self
		terms  limiter.Terms
		timing limiter.Timing
		deps   Dependencies
		clock  clockwork.Clock
		log    *slog.Logger
		// started is when the lender was built.
		started time.Time

		// accounts has the accounts that have a limit. The map is replaced, not changed.
		accounts atomic.Pointer[map[namer.Account]*account]
		view     atomic.Pointer[view]
		// limited is closed at the first document with limited accounts.
		limited chan struct{}
		counts  callCounts

		// ctx ends calls at the clean-up, which waits for running.
		ctx     context.Context
		running sync.WaitGroup

		mu      sync.Mutex
		closed  bool
		callers map[namer.VM]*caller
	}

	// result is what a request that waited gets.
	result struct {
		ok         bool
		retryAfter time.Duration
	}

	// waiter is a request that waits for a token. Its channel has room for the result.
	waiter chan result

	// account is the state of an account that has a limit.
	account struct {
		name namer.Account
		hash uint64

		mu        sync.Mutex
		limit     limiter.Limit
		generates bool // whether this VM's zone is one of the generators
		stock     limiter.Stock
		waiters   []waiter
		// queued is whether the account is in the queue of a caller.
		queued bool
		// refuseUntil is the time until which requests are refused without a call.
		refuseUntil time.Time
		// misses is the number of replies in a row that gave too few tokens.
		misses int
		// aheadAfter is the time from which tokens are asked for ahead of need.
		aheadAfter time.Time
		record     record
		// looked is whether this VM has looked who keeps the account.
		looked bool
		kept   *kept
	}
)

// New returns a lender without accounts. Its clean-up function ends all calls.
func New(self Self, terms limiter.Terms, timing limiter.Timing, deps Dependencies, clock clockwork.Clock, log *slog.Logger) (*Lender, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lender{
		self: self, terms: terms, timing: timing, deps: deps, clock: clock, log: log,
		started: clock.Now(), limited: make(chan struct{}), ctx: ctx, callers: make(map[namer.VM]*caller),
	}
	l.accounts.Store(&map[namer.Account]*account{})
	cleanup := func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		cancel()
		l.running.Wait()
	}
	return l, cleanup
}

// SetDocument takes over the limits of a document. Lowered limits cut what this VM may give at
// once; what VMs hold expires.
func (l *Lender) SetDocument(d *parser.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	known := *l.accounts.Load()
	accounts := make(map[namer.Account]*account)
	for i := range d.Accounts {
		a := &d.Accounts[i]
		if a.Rate <= 0 {
			continue
		}
		entry, ok := known[a.Name]
		if !ok {
			entry = newAccount(a.Name)
		}
		l.setLimit(now, entry, a)
		accounts[a.Name] = entry
	}
	l.accounts.Store(&accounts)
	if len(accounts) > 0 {
		l.look(now)
		select {
		case <-l.limited:
		default:
			close(l.limited)
		}
	}
}

// Serve looks at the members at intervals until ctx ends, from the first document with limited
// accounts on.
func (l *Lender) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-l.limited:
	}
	ticker := l.clock.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		l.Look()
	}
}

// Look looks at the members and adopts what this VM is to keep.
func (l *Lender) Look() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look(l.clock.Now())
}

// Take takes a token of an account for a request that is about to be sent. It reports false,
// and the time after which a token may be there, if there is none. Without a token in stock it
// waits for one, at most for takeTimeout. It returns true for an account without a limit.
func (l *Lender) Take(ctx context.Context, a *parser.Account) (ok bool, retryAfter time.Duration) {
	if a == nil || a.Rate <= 0 {
		return true, 0
	}
	entry := (*l.accounts.Load())[a.Name]
	if entry == nil {
		entry = l.adopt(a)
	}
	now := l.clock.Now()
	entry.mu.Lock()
	entry.stock.Arrive(now, 1)
	if len(entry.waiters) == 0 && entry.stock.Spend(now) {
		entry.record.take(now)
		refill := !entry.queued && !now.Before(entry.aheadAfter) && 2*entry.stock.Ahead(now, entry.limit.Life) > entry.stock.Count(now)
		entry.queued = entry.queued || refill
		entry.mu.Unlock()
		if refill {
			l.enqueue(entry)
		}
		return true, 0
	}
	if now.Before(entry.refuseUntil) {
		retryAfter = l.refuse(now, entry)
		entry.mu.Unlock()
		return false, retryAfter
	}
	w := make(waiter, 1)
	entry.waiters = append(entry.waiters, w)
	enqueue := !entry.queued
	entry.queued = true
	entry.mu.Unlock()
	if enqueue {
		l.enqueue(entry)
	}
	return l.await(ctx, entry, w)
}

// await waits for the result of a request, until ctx ends or for takeTimeout.
func (l *Lender) await(ctx context.Context, entry *account, w waiter) (ok bool, retryAfter time.Duration) {
	timer := l.clock.NewTimer(takeTimeout)
	defer timer.Stop()
	select {
	case r := <-w:
		return r.ok, r.retryAfter
	case <-ctx.Done():
	case <-timer.Chan():
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	for i, other := range entry.waiters {
		if other == w {
			entry.waiters = append(entry.waiters[:i], entry.waiters[i+1:]...)
			return false, max(l.refuse(l.clock.Now(), entry), failurePause)
		}
	}
	r := <-w
	return r.ok, r.retryAfter
}

// refuse counts a refusal and returns the time after which the caller may return. If more
// requests are refused than served, they are spread over the time in which there is room for
// them. The caller holds entry.mu.
func (l *Lender) refuse(now time.Time, entry *account) time.Duration {
	if entry.record.refuse(now) {
		l.log.Info("account limited; refusing requests until tokens are generated", "account", string(entry.name), "wait", entry.refuseUntil.Sub(now).String())
	}
	wait := max(entry.refuseUntil.Sub(now), 0)
	spread := float64(max(wait, minPause)) * entry.record.excess(now)
	return min(wait+time.Duration(rand.Float64()*spread), maxRetryAfter) //nolint:gosec // Jitter needs no secrecy.
}

// settle adds the tokens of a grant that was asked for at start, and answers the requests
// that wait, of which the first asked ones were asked for.
func (l *Lender) settle(entry *account, start time.Time, asked int, ahead bool, g grant) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	now := l.clock.Now()
	entry.stock.Add(now, g.count, start.Add(entry.limit.Life))
	served := 0
	for served < len(entry.waiters) && entry.stock.Spend(now) {
		entry.record.take(now)
		entry.waiters[served] <- result{ok: true}
		served++
	}
	if ahead && g.count <= asked {
		entry.aheadAfter = now.Add(jitter(maxPauseFactor * minPause))
	}
	if g.count >= asked {
		entry.misses = 0
	} else if g.wait > 0 {
		entry.refuseUntil = now.Add(pause(g.wait, entry.misses))
		entry.misses++
		for _, w := range entry.waiters[served:] {
			w <- result{retryAfter: l.refuse(now, entry)}
		}
		served = len(entry.waiters)
	}
	entry.waiters = append(entry.waiters[:0], entry.waiters[served:]...)
}

// adopt adds an account of a document that this VM has not taken over yet, or has just
// replaced.
func (l *Lender) adopt(a *parser.Account) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := *l.accounts.Load()
	if entry := known[a.Name]; entry != nil {
		return entry
	}
	entry := newAccount(a.Name)
	l.setLimit(l.clock.Now(), entry, a)
	accounts := maps.Clone(known)
	accounts[a.Name] = entry
	l.accounts.Store(&accounts)
	return entry
}

// setLimit takes over an account's limit.
func (l *Lender) setLimit(now time.Time, entry *account, a *parser.Account) {
	limit := l.terms.Limit(a.Rate, a.Burst)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.limit == limit {
		return
	}
	entry.limit = limit
	entry.generates = generates(entry.hash, l.self.Zone, l.self.Zones, limit.Generators)
	entry.refuseUntil = time.Time{}
	if entry.kept != nil {
		entry.kept.keeper.SetLimit(now, entry.zoneLimit())
	}
}

// zoneLimit returns the share of the limit that this VM's zone generates.
func (a *account) zoneLimit() limiter.Limit {
	if !a.generates {
		return limiter.Limit{Generators: a.limit.Generators, Life: a.limit.Life}
	}
	return a.limit
}

func newAccount(name namer.Account) *account {
	return &account{name: name, hash: hashOf(string(name))}
}

// pause returns how long not to ask again after a reply that told wait, the next after misses
// such replies in a row.
func pause(wait time.Duration, misses int) time.Duration {
	return jitter(max(wait, minPause*time.Duration(min(1<<min(misses, maxPauseFactor), maxPauseFactor))))
}

// jitter returns a time between three and five quarters of d, so that VMs don't ask at the
// same moment.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1)) //nolint:gosec // Jitter needs no secrecy.
}
