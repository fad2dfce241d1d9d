package lender

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/account/limiter"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

const (
	// maxLendTries bounds the zones that are asked for one need, one after the other.
	maxLendTries = 2
	// aheadDivisor divides what a keeper holds of borrowed tokens, to get what it gives ahead
	// of need.
	aheadDivisor = 4
	// shortGrace is the time after a need that was not met for which nothing is borrowed ahead
	// of need: VMs pause after a refusal, and would let the tokens expire.
	shortGrace = 500 * time.Millisecond
)

type (
	// kept is what a VM holds for an account as its zone's keeper, or as a former keeper.
	// The account's mutex guards it.
	kept struct {
		keeper *limiter.Keeper
		// borrowed holds tokens of other zones. They don't enter the keeper's level.
		borrowed limiter.Stock
		// borrowing is whether tokens are being borrowed ahead of need.
		borrowing bool
		// shortAt is when a need was last not met.
		shortAt time.Time
		lenders map[namer.Zone]lenderZone
		// askedAt is when tokens were last asked for here.
		askedAt time.Time
	}

	// lenderZone is what a keeper remembers of another zone.
	lenderZone struct {
		emptyUntil time.Time
		lentAt     time.Time
		// misses is the number of its replies in a row that gave too few tokens.
		misses int
	}
)

// look looks at the members, and confirms or revokes what this VM keeps. The caller holds l.mu.
func (l *Lender) look(now time.Time) {
	accounts := *l.accounts.Load()
	if len(accounts) == 0 {
		return
	}
	v, last := newView(l.self, l.deps.Members.Self(), l.deps.Members.Members()), l.currentView()
	l.view.Store(v)
	changed := !slices.Equal(v.zone, last.zone)
	for _, entry := range accounts {
		l.lookAt(now, v, entry, changed)
	}
	for vm, c := range l.callers {
		// No goroutine makes calls, so that nothing else uses brokenUntil.
		if !c.busy && len(c.queue) == 0 && !now.Before(c.brokenUntil) {
			delete(l.callers, vm)
		}
	}
}

// lookAt looks at an account. What this VM doesn't keep is looked at if the VMs of the zone
// have changed.
func (l *Lender) lookAt(now time.Time, v *view, entry *account, changed bool) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.record.endLimited(now) {
		l.log.Info("account no longer limited", "account", string(entry.name), "taken", entry.record.taken, "refused", entry.record.refused)
	}
	if entry.kept == nil && !changed && entry.looked {
		return
	}
	entry.looked = true
	sight := v.sight(l.self.VM, l.started, entry.hash)
	if entry.kept == nil && sight.First {
		entry.kept = newKept(now, entry)
	}
	if entry.kept == nil {
		return
	}
	entry.kept.keeper.Look(now, sight, l.timing)
	idle := now.Sub(entry.kept.askedAt) > entry.limit.IdleTime()
	if !sight.First && idle && entry.kept.keeper.Level(now) == 0 {
		entry.kept = nil
	}
}

// Lend handles a request of another VM for tokens.
func (l *Lender) Lend(ctx context.Context, lend *encoder.Lend) *encoder.Loan {
	accounts := *l.accounts.Load()
	loan := &encoder.Loan{Grants: make([]*encoder.Grant, len(lend.GetWants()))}
	wants := make([]want, 0, len(lend.GetWants()))
	places := make([]int, 0, len(lend.GetWants()))
	for i, w := range lend.GetWants() {
		loan.Grants[i] = &encoder.Grant{Wait: int32(failurePause.Milliseconds())}
		if entry := accounts[namer.Account(w.GetAccount())]; entry != nil {
			wants = append(wants, want{account: entry, need: max(0, int(w.GetNeed())), ahead: max(0, int(w.GetAhead()))})
			places = append(places, i)
		}
	}
	var grants []grant
	switch {
	case !lend.GetForeign():
		grants = l.give(ctx, wants, true)
	case lend.GetForwarded():
		grants = l.give(ctx, wants, false)
	default:
		grants = l.forward(ctx, wants)
	}
	for i, g := range grants {
		loan.Grants[places[i]] = &encoder.Grant{Count: int32(g.count), Wait: int32(g.wait.Milliseconds())} //nolint:gosec // Both are far below 2^31.
	}
	return loan
}

// give gives tokens as the keeper of accounts. If it has too few, it borrows the rest from
// other zones, unless the tokens are for one.
func (l *Lender) give(ctx context.Context, wants []want, mayBorrow bool) []grant {
	now := l.clock.Now()
	grants := make([]grant, len(wants))
	var short []want
	var places []int
	for i, w := range wants {
		g, expected, borrowAhead := l.giveOwn(now, w, mayBorrow)
		grants[i] = g
		if borrowAhead {
			l.borrowAhead(w.account, expected)
		}
		if !mayBorrow {
			l.counts.lent.Add(int64(g.count))
		}
		if mayBorrow && g.count < w.need {
			short = append(short, want{account: w.account, need: w.need - g.count, ahead: expected})
			places = append(places, i)
		}
	}
	for i, g := range l.borrow(ctx, short) {
		w, own := short[i], &grants[places[i]]
		spare := max(0, g.count-w.need)
		if spare > 0 {
			l.hold(now, w.account, spare)
		}
		own.count += g.count - spare
		if g.wait > 0 {
			own.wait = min(own.wait, g.wait)
		}
		if own.count >= wants[places[i]].need {
			own.wait = 0
		} else {
			l.recordShort(w.account)
		}
	}
	return grants
}

// giveOwn gives tokens that this VM holds. It returns also how many this VM expects to be asked
// for while borrowed tokens are valid, and whether it should borrow them now.
func (l *Lender) giveOwn(now time.Time, w want, ownZone bool) (g grant, expected int, borrowAhead bool) {
	entry := w.account
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.kept == nil {
		entry.kept = newKept(now, entry)
	}
	k := entry.kept
	k.askedAt = now
	if ownZone {
		g.count = k.borrowed.Take(now, w.need)
		if g.count == w.need {
			g.count += k.borrowed.Take(now, min(w.ahead, k.borrowed.Count(now)/aheadDivisor))
		}
	}
	g.count += k.keeper.Give(now, w.need-g.count, max(0, w.need+w.ahead-max(g.count, w.need)))
	if ownZone {
		k.borrowed.Arrive(now, max(g.count, w.need))
		expected = k.borrowed.Ahead(now, limiter.HoldTime)
		borrowAhead = !k.borrowing && now.Sub(k.shortAt) > shortGrace && float64(expected) > 2*k.keeper.Level(now)
		k.borrowing = k.borrowing || borrowAhead
	}
	if g.count < w.need {
		// Times below a millisecond would read as none.
		g.wait = max(k.keeper.Wait(now), time.Millisecond)
	}
	return g, expected, borrowAhead
}

// borrowAhead borrows tokens for requests that are expected while the tokens are valid.
func (l *Lender) borrowAhead(entry *account, expected int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.running.Go(func() {
		start := l.clock.Now()
		ctx, cancel := l.timeout(l.ctx, takeTimeout)
		defer cancel()
		g := l.borrow(ctx, []want{{account: entry, need: expected}})[0]
		l.hold(start, entry, g.count)
		if g.count == 0 {
			l.recordShort(entry)
		}
		entry.mu.Lock()
		defer entry.mu.Unlock()
		if entry.kept != nil {
			entry.kept.borrowing = false
		}
	})
}

// recordShort records that a need was not met.
func (l *Lender) recordShort(entry *account) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.kept != nil {
		entry.kept.shortAt = l.clock.Now()
	}
}

// hold keeps borrowed tokens for further requests.
func (l *Lender) hold(asked time.Time, entry *account, count int) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.kept != nil {
		entry.kept.borrowed.Add(l.clock.Now(), count, asked.Add(limiter.HoldTime))
	}
}

// forward passes a request of another zone on to the keepers of this zone.
func (l *Lender) forward(ctx context.Context, wants []want) []grant {
	v := l.currentView()
	grants := make([]grant, len(wants))
	places := make(map[peer][]int)
	for i, w := range wants {
		keeper, ok := v.keeper(w.account.hash)
		if !ok {
			keeper = peer{vm: l.self.VM}
		}
		places[keeper] = append(places[keeper], i)
	}
	l.each(places, wants, func(keeper peer, part []want) []grant {
		if keeper.vm == l.self.VM {
			return l.give(ctx, part, false)
		}
		ctx, cancel := l.timeout(ctx, lendTimeout)
		defer cancel()
		l.counts.calls.Add(1)
		got, err := l.call(ctx, keeper, part, &encoder.Lend{Foreign: true, Forwarded: true})
		if err != nil {
			return failed(part)
		}
		return got
	}, grants)
	return grants
}

// borrow asks other zones for tokens, for each account at most maxLendTries of them.
func (l *Lender) borrow(ctx context.Context, wants []want) []grant {
	if len(wants) == 0 {
		return nil
	}
	grants := make([]grant, len(wants))
	left := slices.Clone(wants)
	for range maxLendTries {
		now := l.clock.Now()
		places := make(map[peer][]int)
		zones := make(map[peer]namer.Zone)
		for i, w := range left {
			if w.need <= 0 {
				continue
			}
			zone, gateway, ok := l.chooseLender(now, w.account)
			if !ok {
				continue
			}
			zones[gateway] = zone
			places[gateway] = append(places[gateway], i)
		}
		if len(places) == 0 || ctx.Err() != nil {
			break
		}
		got := make([]grant, len(wants))
		l.each(places, left, func(gateway peer, part []want) []grant {
			return l.askZone(ctx, zones[gateway], gateway, part)
		}, got)
		for i, g := range got {
			grants[i].count += g.count
			left[i].need -= g.count
		}
	}
	for i, g := range grants {
		l.counts.borrowed.Add(int64(g.count))
		if left[i].need > 0 {
			grants[i].wait = l.lendersWait(wants[i].account)
		}
	}
	return grants
}

// askZone asks another zone for tokens and remembers for each account what it said.
func (l *Lender) askZone(ctx context.Context, zone namer.Zone, gateway peer, part []want) []grant {
	ctx, cancel := l.timeout(ctx, lendTimeout)
	defer cancel()
	l.counts.calls.Add(1)
	got, err := l.call(ctx, gateway, part, &encoder.Lend{Foreign: true})
	now := l.clock.Now()
	if err != nil {
		l.counts.failed.Add(1)
		got = failed(part)
	}
	for i, w := range part {
		l.remember(now, w.account, zone, got[i], got[i].count >= w.need)
	}
	return got
}

// chooseLender returns the zone that lent last, or else a random one, among those that
// generate the account's tokens and have not said that they have none, and a VM there.
func (l *Lender) chooseLender(now time.Time, entry *account) (namer.Zone, peer, bool) {
	v := l.currentView()
	entry.mu.Lock()
	defer entry.mu.Unlock()
	var best namer.Zone
	var bestLentAt time.Time
	eligible := 0
	for _, zone := range l.self.Zones {
		if zone == l.self.Zone || len(v.others[zone]) == 0 || !generates(entry.hash, zone, l.self.Zones, entry.limit.Generators) {
			continue
		}
		var z lenderZone
		if entry.kept != nil {
			z = entry.kept.lenders[zone]
		}
		if now.Before(z.emptyUntil) {
			continue
		}
		eligible++
		switch {
		case z.lentAt.After(bestLentAt):
			best, bestLentAt = zone, z.lentAt
		case bestLentAt.IsZero() && rand.IntN(eligible) == 0: //nolint:gosec // A choice needs no secrecy.
			best = zone
		}
	}
	if eligible == 0 {
		return "", peer{}, false
	}
	gateways := v.others[best]
	return best, gateways[rand.IntN(len(gateways))], true //nolint:gosec // A choice needs no secrecy.
}

// remember records whether a zone had the tokens that an account needed.
func (l *Lender) remember(now time.Time, entry *account, zone namer.Zone, g grant, met bool) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.kept == nil {
		entry.kept = newKept(now, entry)
	}
	if entry.kept.lenders == nil {
		entry.kept.lenders = make(map[namer.Zone]lenderZone)
	}
	if met {
		entry.kept.lenders[zone] = lenderZone{lentAt: now}
		return
	}
	misses := entry.kept.lenders[zone].misses
	entry.kept.lenders[zone] = lenderZone{emptyUntil: now.Add(pause(g.wait, misses)), misses: misses + 1}
}

// lendersWait returns the time until another zone may have tokens of an account.
func (l *Lender) lendersWait(entry *account) time.Duration {
	now := l.clock.Now()
	entry.mu.Lock()
	defer entry.mu.Unlock()
	wait := maxRetryAfter
	if entry.kept == nil || len(entry.kept.lenders) == 0 {
		return failurePause
	}
	for _, z := range entry.kept.lenders {
		wait = min(wait, max(z.emptyUntil.Sub(now), minPause))
	}
	return wait
}

// each calls f for each part of the wants, all at once, and puts the grants in their places.
func (l *Lender) each(places map[peer][]int, wants []want, f func(peer, []want) []grant, grants []grant) {
	var running sync.WaitGroup
	for to, indexes := range places {
		part := make([]want, len(indexes))
		for i, at := range indexes {
			part[i] = wants[at]
		}
		do := func() {
			for i, g := range f(to, part) {
				grants[indexes[i]] = g
			}
		}
		if len(places) == 1 {
			do()
			return
		}
		running.Go(do)
	}
	running.Wait()
}

func newKept(now time.Time, entry *account) *kept {
	return &kept{keeper: limiter.NewKeeper(now, entry.zoneLimit()), askedAt: now}
}

// failed returns the grants of a VM that could not be reached.
func failed(wants []want) []grant {
	grants := make([]grant, len(wants))
	for i := range grants {
		grants[i].wait = failurePause
	}
	return grants
}
