// Package gatekeeper decides whether the requests of client accounts may pass on this VM, and
// how old its knowledge of the accounts may be. A key is accepted only while the store's last
// confirmation of the document is younger than the time after which a withdrawn key must not
// run. A key that is not known may be new, so the store is asked before it is refused.
//
// It answers the load of many unknown keys: one call to the store at a time asks for all that
// wait, calls that find nothing are rare, and few requests wait. Callers that go on with a
// withdrawn key cost no call.
//
// # Usage
//
//	k := gatekeeper.New(configFollower, terms, clock, log)
//	k.SetDocument(document)
//	account, denial := k.Identify(ctx, credential)
package gatekeeper

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
)

const (
	// maxAgeFraction is the age of the accounts at which keys are refused, as a fraction of
	// the revoke timeout. The rest allows for clocks of unlike rates along the relay tree, and
	// for ages that messages round to milliseconds.
	maxAgeFraction = 0.9
	// refreshTimeout is how long a request with an unknown key waits for a confirmation of the
	// accounts.
	refreshTimeout = 400 * time.Millisecond
	// The interval between two calls to the store for unknown keys is minAskInterval after one
	// that found a key, and maxAskInterval after one that did not. Requests in between wait for
	// the confirmations that come anyway.
	minAskInterval = 250 * time.Millisecond
	maxAskInterval = 30 * time.Second
	// maxWaiting is the number of requests with unknown keys that wait at the same time.
	maxWaiting = 32
	// unknownRetention is how long a key that was confirmed to be unknown is refused without
	// another confirmation, and maxUnknown how many such keys are remembered.
	unknownRetention = time.Second
	maxUnknown       = 256
	// maxWithdrawn is the number of withdrawn keys that are remembered. They are refused without
	// a confirmation.
	maxWithdrawn = 4096
)

type (
	// Confirmations tells when the store confirmed the document in force.
	Confirmations interface {
		// AppliedAge returns the time since the last confirmation, or false before the first.
		AppliedAge() (time.Duration, bool)
		// Poll makes this VM ask the store at once.
		Poll()
		// AwaitApplied waits for a confirmation that began after a time.
		AwaitApplied(ctx context.Context, after time.Time) error
	}

	// Terms are the bounds on the age of the accounts. After RevokeTimeout a withdrawn key must
	// not be accepted by any VM; 0 means that only VMs in touch with the store are bound. Within
	// MaxApplyDelay a new key must be accepted by all VMs in touch.
	Terms struct {
		RevokeTimeout time.Duration
		MaxApplyDelay time.Duration
	}

	// Gatekeeper decides for one VM. It is safe for concurrent use.
	Gatekeeper struct {
		confirmations Confirmations
		terms         Terms
		clock         clockwork.Clock
		log           *slog.Logger
		// index is nil while the document has no accounts.
		index atomic.Pointer[authenticator.Index]

		mu sync.Mutex
		// waiting holds the requests that wait for a confirmation.
		waiting map[*wait]struct{}
		// unknown has the time until which each key is refused without a confirmation.
		unknown     map[authenticator.Credential]time.Time
		withdrawn   map[authenticator.Credential]struct{}
		askedAt     time.Time
		askInterval time.Duration
		askDue      bool
		asks        int64
		stale       bool
	}

	// wait is a request that waits for a confirmation until it is canceled.
	wait struct {
		credential authenticator.Credential
		cancel     context.CancelFunc
	}

	// State is what the metrics show. Age is that of the accounts, and meaningless before
	// the first confirmation.
	State struct {
		Age       time.Duration
		Confirmed bool
		Stale     bool
		// Asks counts the calls to the store for unknown keys.
		Asks int64
	}
)

// MaxAge returns the age of the accounts at which keys are refused. It is 0 if there is none.
func (t Terms) MaxAge() time.Duration {
	return time.Duration(maxAgeFraction * float64(t.RevokeTimeout))
}

// New returns a gatekeeper without accounts.
func New(c Confirmations, terms Terms, clock clockwork.Clock, log *slog.Logger) *Gatekeeper {
	return &Gatekeeper{
		confirmations: c, terms: terms, clock: clock, log: log,
		waiting: make(map[*wait]struct{}), unknown: make(map[authenticator.Credential]time.Time),
		withdrawn: make(map[authenticator.Credential]struct{}), askInterval: minAskInterval,
	}
}

// SetDocument replaces the accounts. Keys that only the document before had are refused from
// now on, and requests that wait for one that is new go on.
func (k *Gatekeeper) SetDocument(d *parser.Document) {
	var index *authenticator.Index
	if len(d.Accounts) > 0 {
		index = authenticator.New(d.Accounts)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	withdrawn := k.index.Swap(index).Withdrawn(index)
	clear(k.unknown)
	if len(k.withdrawn)+len(withdrawn) > maxWithdrawn {
		clear(k.withdrawn)
	}
	for _, c := range withdrawn[:min(len(withdrawn), maxWithdrawn)] {
		k.withdrawn[c] = struct{}{}
	}
	for w := range k.waiting {
		if index == nil {
			break
		}
		if _, denial := index.Identify(w.credential); denial == authenticator.None {
			w.cancel()
		}
	}
}

// Find returns the account that holds a credential's key now, or why the request is refused.
// It never waits.
func (k *Gatekeeper) Find(c authenticator.Credential) (*parser.Account, authenticator.Denial) {
	index := k.index.Load()
	if index == nil {
		return nil, authenticator.StaleAccounts
	}
	account, denial := index.Identify(c)
	if (denial == authenticator.None || denial == authenticator.UnknownKey) && k.tooOld() {
		return nil, authenticator.StaleAccounts
	}
	return account, denial
}

// Identify is Find for a request that has just arrived: before it refuses a key as unknown, it
// waits a bounded time until the store has confirmed the accounts.
func (k *Gatekeeper) Identify(ctx context.Context, c authenticator.Credential) (*parser.Account, authenticator.Denial) {
	account, denial := k.Find(c)
	if denial != authenticator.UnknownKey {
		return account, denial
	}
	arrived := k.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &wait{credential: c, cancel: cancel}
	known, admitted := k.beginWait(arrived, w)
	if known {
		return nil, authenticator.UnknownKey
	}
	if !admitted {
		return nil, k.unconfirmed()
	}
	timer := k.clock.AfterFunc(refreshTimeout, cancel)
	err := k.confirmations.AwaitApplied(ctx, arrived)
	timer.Stop()
	account, denial = k.Find(c)
	k.endWait(w, err == nil, denial)
	if denial == authenticator.UnknownKey && err != nil {
		denial = k.unconfirmed()
	}
	return account, denial
}

// Stale reports whether this VM refuses all keys because its accounts are too old.
func (k *Gatekeeper) Stale() bool {
	stale := k.index.Load() != nil && k.tooOld()
	k.mu.Lock()
	changed := k.stale != stale
	k.stale = stale
	k.mu.Unlock()
	if changed {
		age, confirmed := k.confirmations.AppliedAge()
		k.log.Warn("accounts", "stale", stale, "age", age, "confirmed", confirmed)
	}
	return stale
}

// State returns what the metrics show.
func (k *Gatekeeper) State() State {
	age, confirmed := k.confirmations.AppliedAge()
	s := State{Age: age, Confirmed: confirmed, Stale: k.Stale()}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.Asks = k.asks
	return s
}

// tooOld reports whether a key may have been withdrawn for as long as the revoke timeout
// without this VM knowing.
func (k *Gatekeeper) tooOld() bool {
	if k.terms.RevokeTimeout == 0 {
		return false
	}
	age, confirmed := k.confirmations.AppliedAge()
	return !confirmed || age >= k.terms.MaxAge()
}

// unconfirmed returns the denial of a key that is unknown without a confirmation. Where the
// accounts are old, the key may be one that other VMs already know.
func (k *Gatekeeper) unconfirmed() authenticator.Denial {
	age, confirmed := k.confirmations.AppliedAge()
	if confirmed && age < k.terms.MaxApplyDelay {
		return authenticator.UnknownKey
	}
	return authenticator.StaleAccounts
}

// beginWait reports whether a key is known to be unknown or withdrawn, and whether the request may wait for
// a confirmation.
func (k *Gatekeeper) beginWait(now time.Time, w *wait) (known, admitted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, withdrawn := k.withdrawn[w.credential]; withdrawn || now.Before(k.unknown[w.credential]) {
		return true, false
	}
	if len(k.waiting) >= maxWaiting {
		return false, false
	}
	k.waiting[w] = struct{}{}
	k.scheduleAsk(now)
	return false, true
}

// endWait records the result of a wait.
func (k *Gatekeeper) endWait(w *wait, confirmed bool, denial authenticator.Denial) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, w)
	switch {
	case denial == authenticator.None:
		k.askInterval = minAskInterval
	case denial == authenticator.UnknownKey && confirmed:
		if len(k.unknown) >= maxUnknown {
			clear(k.unknown)
		}
		k.unknown[w.credential] = k.clock.Now().Add(unknownRetention)
	}
}

// scheduleAsk asks the store as soon as the interval between two calls allows that, unless the
// request will not wait for so long. The caller holds k.mu.
func (k *Gatekeeper) scheduleAsk(now time.Time) {
	left := k.askedAt.Add(k.askInterval).Sub(now)
	switch {
	case k.askDue:
	case left <= 0:
		k.askNow(now)
	case left < refreshTimeout:
		k.askDue = true
		k.clock.AfterFunc(left, k.ask)
	}
}

// ask asks the store unless nobody waits any more.
func (k *Gatekeeper) ask() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.askDue = false
	if len(k.waiting) > 0 {
		k.askNow(k.clock.Now())
	}
}

// askNow asks the store. The caller holds k.mu.
func (k *Gatekeeper) askNow(now time.Time) {
	k.askedAt = now
	k.askInterval = maxAskInterval
	k.asks++
	k.log.Info("asking the store for an unknown key", "waiting", len(k.waiting))
	k.confirmations.Poll()
}
