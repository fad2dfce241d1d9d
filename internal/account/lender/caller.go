package lender

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

// maxWants bounds the accounts in one call.
const maxWants = 64

// errKeeperPaused is returned in place of a call to a keeper that lately failed.
var errKeeperPaused = errors.New("the keeper was not reached lately")

type (
	// caller makes the calls to one keeper, one at a time.
	caller struct {
		keeper peer
		queue  []*account
		busy   bool
		// brokenUntil is the time until which the keeper isn't called, since it could not be
		// reached. Only the goroutine that makes the calls uses it, or, while there is none, who
		// holds the lender's mutex.
		brokenUntil time.Time
	}

	// want is what is asked for one account, grant what is granted for it.
	want struct {
		account *account
		need    int
		ahead   int
	}

	grant struct {
		count int
		wait  time.Duration
	}
)

// enqueue puts an account, which its caller has marked as queued, into the queue for its
// keeper, and makes the calls unless they are being made.
func (l *Lender) enqueue(entry *account) {
	keeper, ok := l.currentView().keeper(entry.hash)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		// This VM shuts down and hears no other of its zone.
		keeper = peer{vm: l.self.VM}
	}
	c := l.callers[keeper.vm]
	if c == nil {
		c = &caller{}
		l.callers[keeper.vm] = c
	}
	c.keeper = keeper
	c.queue = append(c.queue, entry)
	if c.busy || l.closed {
		return
	}
	c.busy = true
	l.running.Go(func() { l.makeCalls(c) })
}

// makeCalls makes calls until the queue is empty.
func (l *Lender) makeCalls(c *caller) {
	for {
		l.mu.Lock()
		n := min(len(c.queue), maxWants)
		keeper, batch := c.keeper, c.queue[:n:n]
		c.queue = c.queue[n:]
		c.busy = n > 0
		l.mu.Unlock()
		if n == 0 {
			return
		}
		l.askFor(c, keeper, batch)
	}
}

// askFor asks a keeper for what the accounts of a batch need by now, and other zones if the
// keeper can't be reached.
func (l *Lender) askFor(c *caller, keeper peer, batch []*account) {
	start := l.clock.Now()
	wants := make([]want, 0, len(batch))
	for _, entry := range batch {
		entry.mu.Lock()
		entry.queued = false
		w := want{account: entry, need: max(0, len(entry.waiters)-entry.stock.Count(start))}
		if !start.Before(entry.aheadAfter) {
			w.ahead = entry.stock.Ahead(start, entry.limit.Life)
		}
		asks := len(entry.waiters) > 0 || w.ahead > 0
		entry.mu.Unlock()
		if asks {
			wants = append(wants, w)
		}
	}
	if len(wants) == 0 {
		return
	}
	ctx, cancel := l.timeout(l.ctx, takeTimeout)
	defer cancel()
	var grants []grant
	err := errKeeperPaused
	if !start.Before(c.brokenUntil) {
		grants, err = l.ask(ctx, keeper, wants)
	}
	if err != nil {
		grants = l.borrow(ctx, wants)
	}
	if err != nil && !errors.Is(err, errKeeperPaused) {
		c.brokenUntil = l.clock.Now().Add(keeperPause)
		l.counts.failed.Add(1)
		l.log.Debug("keeper of accounts not reached; asking other zones", "keeper", string(keeper.vm), "reason", err.Error())
	}
	var again []*account
	for i, w := range wants {
		l.settle(w.account, start, w.need, w.ahead > 0, grants[i])
		if l.mark(w.account) {
			again = append(again, w.account)
		}
	}
	for _, entry := range again {
		l.enqueue(entry)
	}
}

// mark marks an account as queued if requests still wait that are in no queue.
func (l *Lender) mark(entry *account) bool {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if len(entry.waiters) == 0 || entry.queued {
		return false
	}
	entry.queued = true
	return true
}

// ask asks the keeper of this zone, which may be this VM.
func (l *Lender) ask(ctx context.Context, keeper peer, wants []want) ([]grant, error) {
	if keeper.vm == l.self.VM {
		return l.give(ctx, wants, true), nil
	}
	ctx, cancel := l.timeout(ctx, keeperTimeout)
	defer cancel()
	l.counts.calls.Add(1)
	return l.call(ctx, keeper, wants, &encoder.Lend{})
}

// call sends a request for tokens to a VM.
func (l *Lender) call(ctx context.Context, to peer, wants []want, lend *encoder.Lend) ([]grant, error) {
	for _, w := range wants {
		lend.Wants = append(lend.Wants, &encoder.Want{Account: string(w.account.name), Need: int32(w.need), Ahead: int32(w.ahead)}) //nolint:gosec // Both are far below 2^31.
	}
	reply, err := l.deps.Peers.Call(ctx, to.address, to.incarnation, &encoder.Request{Kind: &encoder.Request_Lend{Lend: lend}})
	if err != nil {
		return nil, err
	}
	granted := reply.GetLoan().GetGrants()
	if len(granted) != len(wants) {
		return nil, errors.New("the reply does not fit the request")
	}
	grants := make([]grant, len(granted))
	for i, g := range granted {
		grants[i] = grant{count: int(g.GetCount()), wait: time.Duration(g.GetWait()) * time.Millisecond}
	}
	return grants, nil
}

// timeout returns a context that ends after d by the lender's clock.
func (l *Lender) timeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	timer := l.clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// currentView returns what this VM last saw of the members.
func (l *Lender) currentView() *view {
	if v := l.view.Load(); v != nil {
		return v
	}
	return &view{others: map[namer.Zone][]peer{}}
}
