// Package accountant decides how much of the daemon's memory and how many connections each
// caller's connection may hold. It answers the load of callers that nobody controls: many large
// bodies at once, whole or in pieces, most of which stop short of their end; chunks of any
// size; connections on which nothing comes.
//
// All connections share one account in bytes. What a connection holds beyond a small amount
// counts as large, and large holdings together leave a share of the account to small ones. If
// the account is full, the connections that have stood still longest and hold most are closed,
// but none whose request is in progress at an upstream; if that does not make room, the request
// is refused. The decisions are a function of the calls and their times.
//
// # Usage
//
//	a := accountant.New(accountant.Limits{Bytes: 64 << 20, Connections: 1000})
//	h, ok := a.Open("192.0.2.1", now, closeConn)
//	defer h.Close()
//	h.Enter(now, accountant.Reading)
//	if !h.Take(now, 4096) {
//		// Refuse the request.
//	}
package accountant

import (
	"context"
	"sync"
	"time"
)

const (
	// ConnectionBytes is what an open connection takes: the buffers of net/http and the
	// stacks of its goroutines.
	ConnectionBytes = 32 << 10
	// smallBytes is what a connection may hold without counting as large. It exceeds a
	// connection with a request of usual size.
	smallBytes = 128 << 10
	// Large holdings may take largeNumerator/largeDenominator of the account.
	largeNumerator   = 3
	largeDenominator = 4
	// minStandstill is the shortest time without progress after which a connection whose
	// request is being read, or whose response is being written, may be closed for a large
	// holding. Closing sooner would let large bodies that all make progress end each other.
	minStandstill = 250 * time.Millisecond
)

// The states of a connection.
const (
	// Idle means that no whole head of a request is there.
	Idle State = iota
	// Reading means that the body of a request is being read.
	Reading
	// Running means that a request is in progress. Such a connection is never closed.
	Running
	// Writing means that a response is being written.
	Writing
)

type (
	// State is what a connection is doing.
	State int

	// Limits are the limits on all connections together. 0 means that there is no limit.
	Limits struct {
		Bytes int64
		// Connections is the largest number of open connections, and CallerConnections that
		// of one caller's address.
		Connections       int
		CallerConnections int
	}

	// Counts are what is held now, and what was decided since the process started.
	Counts struct {
		HeldBytes   int64
		PeakBytes   int64
		Connections int
		// RefusedBytes counts the requests and RefusedConnections the connections that were
		// refused, and Closed the connections that were closed to make room.
		RefusedBytes       int64
		RefusedConnections int64
		Closed             int64
	}

	// Eviction says why a connection was closed: what it was doing, the bytes that it held,
	// and the time since it last made progress.
	Eviction struct {
		State      State
		Bytes      int64
		Standstill time.Duration
	}

	// Accountant keeps the account. It is safe for concurrent use.
	Accountant struct {
		limits Limits

		mu       sync.Mutex
		holders  map[*Holder]struct{}
		byCaller map[string]int
		large    int64
		counts   Counts
	}

	// Holder is the account's entry of one connection. A nil Holder may take anything.
	Holder struct {
		account *Accountant
		caller  string
		evict   func(Eviction)

		// account.mu guards the fields below.
		state State
		// pins is the number of requests beside that of state that are in progress.
		pins int
		held int64
		// progressAt is when the connection was last granted bytes, or changed its state.
		progressAt time.Time
		evicted    bool
		closed     bool
	}

	// Loan is what one request takes beside what its connection holds. One goroutine uses it.
	Loan struct {
		holder *Holder
		bytes  int64
	}

	holderKey struct{}
)

// String returns the state's name in logs.
func (s State) String() string {
	switch s {
	case Idle:
		return "idle"
	case Reading:
		return "reading"
	case Running:
		return "running"
	case Writing:
		return "writing"
	}
	return "unknown"
}

// New returns an empty account.
func New(limits Limits) *Accountant {
	return &Accountant{limits: limits, holders: make(map[*Holder]struct{}), byCaller: make(map[string]int)}
}

// Open enters a connection from an address, or returns false if it must be refused. The
// account calls evict, without its lock and at most once, when the connection must be closed.
func (a *Accountant) Open(caller string, now time.Time, evict func(Eviction)) (*Holder, bool) {
	h := &Holder{account: a, caller: caller, evict: evict, progressAt: now}
	a.mu.Lock()
	victims, ok := a.makeConnectionRoom(h, now)
	if ok {
		var more []*Holder
		more, ok = a.makeRoom(h, ConnectionBytes, now, victims)
		victims = append(victims, more...)
	}
	if !ok {
		a.counts.RefusedConnections++
		a.mu.Unlock()
		return nil, false
	}
	notify := a.close(victims, now)
	a.holders[h] = struct{}{}
	a.byCaller[caller]++
	a.add(h, ConnectionBytes)
	a.mu.Unlock()
	notify()
	return h, true
}

// Counts returns what is held now, and the decisions since the process started.
func (a *Accountant) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.counts
	counts.Connections = len(a.holders)
	return counts
}

// WithHolder returns a context from which HolderOf finds the entry of a connection.
func WithHolder(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// HolderOf returns the entry of a request's connection, nil if it has none.
func HolderOf(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}

// NewLoan returns an empty loan.
func (h *Holder) NewLoan() *Loan {
	return &Loan{holder: h}
}

// Take adds bytes to the loan, and reports whether it may.
func (l *Loan) Take(now time.Time, bytes int64) bool {
	if !l.holder.Take(now, bytes) {
		return false
	}
	l.bytes += bytes
	return true
}

// Return gives all bytes of the loan back.
func (l *Loan) Return() {
	l.holder.Give(l.bytes)
	l.bytes = 0
}

// Bytes returns what the loan has taken.
func (l *Loan) Bytes() int64 {
	return l.bytes
}

// Enter notes what the connection is doing.
func (h *Holder) Enter(now time.Time, state State) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.state, h.progressAt = state, now
}

// Pin keeps the connection from being closed until Unpin is called as often.
func (h *Holder) Pin() {
	h.addPins(1)
}

// Unpin undoes Pin.
func (h *Holder) Unpin() {
	h.addPins(-1)
}

func (h *Holder) addPins(n int) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.pins += n
}

// Take adds bytes to what the connection holds, and reports whether it may. If it may not, its
// request must be refused. Nothing may be taken once the connection is closed, since nothing
// would give it back.
func (h *Holder) Take(now time.Time, bytes int64) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	if h.closed {
		a.mu.Unlock()
		return false
	}
	victims, ok := a.makeRoom(h, bytes, now, nil)
	if h.evicted || !ok {
		a.counts.RefusedBytes++
		a.mu.Unlock()
		return false
	}
	notify := a.close(victims, now)
	a.add(h, bytes)
	h.progressAt = now
	a.mu.Unlock()
	notify()
	return true
}

// TakeFree is Take for what can wait: it leaves the share that large holdings leave, closes no
// other connection, and a refusal does not count.
func (h *Holder) TakeFree(now time.Time, bytes int64) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	victims, ok := a.makeRoom(h, bytes, now, nil)
	if h.evicted || h.closed || !ok || len(victims) > 0 || a.limits.Bytes > 0 && a.counts.HeldBytes+bytes > a.largeLimit() {
		return false
	}
	a.add(h, bytes)
	h.progressAt = now
	return true
}

// Give returns bytes that the connection has taken.
func (h *Holder) Give(bytes int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.evicted && !h.closed {
		h.account.add(h, -bytes)
	}
}

// Evicted reports whether the account has closed the connection.
func (h *Holder) Evicted() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Close removes the connection with all that it holds.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed {
		h.closed = true
		h.account.remove(h)
	}
}

// makeConnectionRoom chooses the connections to close so that another one may be opened. The
// caller holds a.mu.
func (a *Accountant) makeConnectionRoom(h *Holder, now time.Time) ([]*Holder, bool) {
	var mayClose func(*Holder) bool
	switch {
	case a.limits.CallerConnections > 0 && a.byCaller[h.caller] >= a.limits.CallerConnections:
		mayClose = func(other *Holder) bool { return other.caller == h.caller && other.closable(now, true) }
	case a.limits.Connections > 0 && len(a.holders) >= a.limits.Connections:
		mayClose = func(other *Holder) bool { return other.closable(now, true) }
	default:
		return nil, true
	}
	victim := a.choose(h, now, nil, mayClose)
	if victim == nil {
		return nil, false
	}
	return []*Holder{victim}, true
}

// makeRoom chooses the connections to close, beside those chosen already, so that h may take
// bytes. The caller holds a.mu.
func (a *Accountant) makeRoom(h *Holder, bytes int64, now time.Time, chosen []*Holder) ([]*Holder, bool) {
	if a.limits.Bytes <= 0 {
		return nil, true
	}
	missing := a.counts.HeldBytes + bytes - a.limits.Bytes
	missingLarge := a.large + largePart(h.held+bytes) - largePart(h.held) - a.largeLimit()
	small := largePart(h.held+bytes) == 0
	if small {
		missingLarge = 0
	}
	for _, other := range chosen {
		missing -= other.held
		missingLarge -= largePart(other.held)
	}
	var victims []*Holder
	for missing > 0 || missingLarge > 0 {
		victim := a.choose(h, now, append(chosen, victims...), func(other *Holder) bool {
			isLarge := largePart(other.held) > 0
			return (missingLarge <= 0 || isLarge) && other.closable(now, small && isLarge)
		})
		if victim == nil {
			return nil, false
		}
		victims = append(victims, victim)
		missing -= victim.held
		missingLarge -= largePart(victim.held)
	}
	return victims, true
}

// largeLimit is how much of the account large holdings may take together.
func (a *Accountant) largeLimit() int64 {
	return a.limits.Bytes / largeDenominator * largeNumerator
}

// choose returns the connection that has stood still longest and holds most, by the product
// of both, among those that may be closed, or nil. The caller holds a.mu.
func (a *Accountant) choose(h *Holder, now time.Time, chosen []*Holder, mayClose func(*Holder) bool) *Holder {
	var best *Holder
	bestScore := float64(-1)
	for other := range a.holders {
		if other == h || !mayClose(other) || contains(chosen, other) {
			continue
		}
		if score := now.Sub(other.progressAt).Seconds() * float64(other.held); score > bestScore {
			best, bestScore = other, score
		}
	}
	return best
}

// closable reports whether the connection may be closed to make room. One without a whole head
// may be closed at any time, and one that reads a body too if that is urgent: its request is
// refused as not run.
func (h *Holder) closable(now time.Time, urgent bool) bool {
	if h.pins > 0 {
		return false
	}
	switch h.state {
	case Idle:
		return true
	case Reading:
		return urgent || now.Sub(h.progressAt) >= minStandstill
	case Writing:
		return now.Sub(h.progressAt) >= minStandstill
	case Running:
	}
	return false
}

// close removes victims, and returns a function that closes their connections, to be called
// without the lock. The caller holds a.mu.
func (a *Accountant) close(victims []*Holder, now time.Time) func() {
	evictions := make([]Eviction, len(victims))
	for i, v := range victims {
		evictions[i] = Eviction{State: v.state, Bytes: v.held, Standstill: now.Sub(v.progressAt)}
		v.evicted = true
		a.remove(v)
		a.counts.Closed++
	}
	return func() {
		for i, v := range victims {
			v.evict(evictions[i])
		}
	}
}

// remove removes a connection, which may have been removed before. The caller holds a.mu.
func (a *Accountant) remove(h *Holder) {
	if _, ok := a.holders[h]; !ok {
		return
	}
	delete(a.holders, h)
	a.add(h, -h.held)
	if a.byCaller[h.caller]--; a.byCaller[h.caller] <= 0 {
		delete(a.byCaller, h.caller)
	}
}

// add changes what a connection holds. The caller holds a.mu.
func (a *Accountant) add(h *Holder, bytes int64) {
	a.large += largePart(h.held+bytes) - largePart(h.held)
	h.held += bytes
	a.counts.HeldBytes += bytes
	a.counts.PeakBytes = max(a.counts.PeakBytes, a.counts.HeldBytes)
}

// largePart returns how much of what a connection holds counts as large.
func largePart(held int64) int64 {
	return max(0, held-smallBytes)
}

func contains(holders []*Holder, h *Holder) bool {
	for _, other := range holders {
		if other == h {
			return true
		}
	}
	return false
}
