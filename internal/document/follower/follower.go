// Package follower keeps a copy of one kind of the store's records: it lists them
// once and then watches for changes. It lists them again when the store no longer has
// the change history, and retries failed calls with exponential backoff.
//
// A watch may miss changes without ending. A relay root, a VM that reads the store
// itself, therefore keeps its watches short, so that the next one brings what was
// missed. The other VMs follow a peer, their relay parent, whose updates report the
// changes that it learns and when the store last confirmed them. A VM whose relay parent
// is silent, or has had no confirmation by the store for too long, asks the store itself.
// So the number of calls to the store grows with the relay roots, not with the VMs.
//
// A confirmation says that no change before it is missing. Where that must not err,
// WithListConfirmations lets only lists confirm the records.
//
// # Usage
//
//	f := follower.New(calls, kind, handler, clock, log, follower.WithRelay(relay), follower.WithMaxDelay(limit))
//	go f.Serve(ctx)
//	version := f.SeenVersion()
//	f.ObservePeerVersion(peersVersion)
//	update, position, err := f.Await(ctx, position)
package follower

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// defaultMaxDelay is the time within which a change must be known, unless
	// WithMaxDelay sets it.
	defaultMaxDelay = 2 * time.Second
	// defaultMinOutage is the shortest outage of the store in which records may expire,
	// unless WithMinOutage sets it.
	defaultMinOutage = 2 * time.Second
	// watchWaitFraction is how long a watch waits for changes, as a fraction of the
	// maximum delay; each watch costs one call. A watch without changes shows at most that
	// nothing had changed when it began, so a confirmation can be two watches old.
	watchWaitFraction = 0.25
	// listAgeFraction is the age of the last confirmation, as a fraction of the maximum delay, at
	// which records are listed again if only lists confirm them. It is that of two watches.
	listAgeFraction = 2 * watchWaitFraction
	// minTransferBytesPerSecond is the rate at which known records are expected to arrive again. It
	// is that of the slowest links in the requirements.
	minTransferBytesPerSecond = 1 << 20
	// staleFraction is the age of the store's last confirmation, as a fraction of the
	// maximum delay, at which a VM asks the store itself. It is longer than two watches
	// and the transmission over three peers, and leaves time for the VM's own call.
	staleFraction = 0.8
	// answerTimeoutFraction is how long an answer may take beyond the wait of a watch,
	// as a fraction of the maximum delay. It doubles with each failed call, since large
	// answers take longer on slow links.
	answerTimeoutFraction = 0.25
	// maxAnswerTimeoutDoublings limits how often the answer timeout doubles; the calls
	// have a timeout of their own.
	maxAnswerTimeoutDoublings = 4
	// catchUpGrace is how long a peer may have seen a later version before this VM polls
	// the store, since the watches of all VMs deliver a change at about the same time.
	// It is over twice the longest round trip to the store in the requirements.
	catchUpGrace = 300 * time.Millisecond
	// missedMaxWait is the duration below which a watch that brings changes shows that
	// the watch before it had missed them.
	missedMaxWait = 100 * time.Millisecond
	// batchPauseFraction is the pause after a watch that brought changes, as a fraction
	// of the maximum delay, so that many changes in a row take few calls.
	batchPauseFraction = 0.1
	// pollWait is the wait of a watch that only polls.
	pollWait = time.Millisecond
	// The backoff after a failed call doubles from initialBackoff to maxBackoff, so that
	// a store that is back is found within half a second. It has a jitter of half its
	// length, so that many followers don't return together.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxFollowerBackoff is the longest backoff of a VM with a relay parent; it learns
	// from the updates that the store answers again.
	maxFollowerBackoff = 2 * time.Second
	// minParentTimeout is how long a VM that has just started, or whose records are stale,
	// waits for an update of its relay parent before it asks the store. It is two round
	// trips over the longest distance in the requirements.
	minParentTimeout = 250 * time.Millisecond
	// initialRecordsTimeout is how long a VM that has just started waits for the records
	// of a relay parent that it has reached: the parent may be reading many pages, or wait
	// for its own relay parent.
	initialRecordsTimeout = time.Second
	// parentCheckInterval is how often a VM checks whether it has another relay parent.
	// It is the interval of peers' heartbeats.
	parentCheckInterval = 500 * time.Millisecond
	// unreachableGrace is how long the store's answers must have failed before this VM
	// reports it to its peers; a single failed call is retried well before.
	unreachableGrace = 300 * time.Millisecond
)

var (
	// errInterrupted is returned by a watch that was canceled for a poll of the store.
	errInterrupted = errors.New("watch interrupted: a peer has seen a later version")
	// errRestored is returned when an answer shows that the store was restored from an older
	// copy since the records were listed.
	errRestored = errors.New("the store was restored from an older copy")
	// errEarlierEra is returned for an answer that the store gave before it was restored.
	errEarlierEra = errors.New("the answer is from before the store was restored")
	errNoAnswer   = errors.New("no whole answer in time")
)

type (
	// Source is the store's API for one kind of records.
	Source interface {
		List(ctx context.Context, kind storer.Kind, after string) (storer.Page, error)
		// Changes returns the store's era also with storer.ErrCompacted.
		Changes(ctx context.Context, kind storer.Kind, since storer.Version, wait time.Duration) (storer.Changes, error)
	}

	// Handler processes records and changes. Its methods are called one at a time. An error
	// means that the latest records are not in force on this VM: AppliedAge counts no
	// confirmation until a later call returns nil.
	Handler interface {
		// Reset replaces all records of the kind.
		Reset(records []storer.Record) error
		// Apply applies changes that were learned together, in their order.
		Apply(changes []storer.Change) error
		// StoreReachableSince sets since when the store has answered without an outage in
		// which records may expire, and without a restoration from an older copy, in which
		// records may be missing. It is called before what was learned by then is passed to
		// Reset or Apply.
		StoreReachableSince(since time.Time)
	}

	// Follower keeps a copy of the records of one kind.
	Follower struct {
		source  Source
		kind    storer.Kind
		handler Handler
		clock   clockwork.Clock
		log     *slog.Logger

		relay Relay
		// listsConfirm is whether only lists confirm the records.
		listsConfirm bool
		maxDelay     time.Duration
		minOutage    time.Duration
		suspended    func() time.Duration
		notifyPeers  func()
		feed         *feed
		// since is the version from which the next watch begins. listed is whether this VM
		// has got all records, from the store or from a relay parent.
		since  storer.Version
		listed bool
		// era is the latest era that this VM knows, from the store or a relay parent.
		era storer.Era
		// handlerErr is the error of the handler's last call.
		handlerErr error
		// failures counts the calls that failed since the last one that was answered, and
		// unansweredLists the attempts to list the first records in which no answer began.
		failures        int
		unansweredLists int
		// lastWatchEmpty is whether the last watch ended without changes.
		lastWatchEmpty bool
		// parent is the relay parent whose updates are applied, or empty.
		parent namer.VM

		applying   atomic.Bool
		storeBytes atomic.Int64
		peerBytes  atomic.Int64
		sentBytes  atomic.Int64

		mu               sync.Mutex
		unreachableSince time.Time
		// storeErr is the error of this VM's last call, nil if the store answered it, and
		// refusal is handlerErr.
		storeErr error
		refusal  error
		seen     storer.Version
		// heard is the latest version that a peer has seen while the handler was processing what
		// may include it, or storer.Absent.
		heard storer.Version
		// retryAt is when the store may be asked again after a failed call.
		retryAt time.Time
		// pollDue requests a poll of the store since a peer has seen a later version, refreshDue
		// one by a watch; polling is whether one is under way.
		pollDue    bool
		refreshDue bool
		polling    bool
		cancel     context.CancelCauseFunc
	}

	// Counts is the number of bytes of records, as the store writes them, that were learned
	// from the store and from peers and that were sent to peers.
	Counts struct {
		StoreBytes int64
		PeerBytes  int64
		SentBytes  int64
	}

	// Option configures a follower.
	Option func(*Follower)
)

// WithRelay sets the relay that opens the updates of the relay parent. Without it the VM
// is a relay root and always reads the store itself.
func WithRelay(r Relay) Option {
	return func(f *Follower) { f.relay = r }
}

// WithPeerNotifier sets a function that reports to peers which version this VM has seen. It
// is called after a list, and when a watch brings changes that the previous watch had
// missed.
func WithPeerNotifier(notify func()) Option {
	return func(f *Follower) { f.notifyPeers = notify }
}

// WithMaxDelay sets the time within which a change must be known. It is limited to the
// duration that WithMinOutage sets.
func WithMaxDelay(d time.Duration) Option {
	return func(f *Follower) { f.maxDelay = d }
}

// WithMinOutage sets the shortest outage of the store in which records may expire
// although their writers still run.
func WithMinOutage(d time.Duration) Option {
	return func(f *Follower) { f.minOutage = d }
}

// New returns a follower of a kind.
func New(s Source, kind storer.Kind, h Handler, clock clockwork.Clock, log *slog.Logger, opts ...Option) *Follower {
	f := &Follower{
		source:      s,
		kind:        kind,
		handler:     h,
		clock:       clock,
		log:         log.With("kind", string(kind)),
		maxDelay:    defaultMaxDelay,
		minOutage:   defaultMinOutage,
		notifyPeers: func() {},
	}
	for _, opt := range opts {
		opt(f)
	}
	// With a silent relay parent, the VM must ask the store before the silence is as long
	// as an outage.
	f.maxDelay = min(f.maxDelay, f.minOutage)
	f.feed = newFeed(clock.Now(), f.minOutage)
	if f.suspended != nil {
		f.feed.suspended = f.suspended
	}
	return f
}

// Kind returns the kind that is followed.
func (f *Follower) Kind() storer.Kind {
	return f.kind
}

// StoreUnreachable reports whether the store has not answered this VM's own calls for
// unreachableGrace. The relay parent's failed calls don't count: the store may answer
// other VMs.
func (f *Follower) StoreUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unreachableSince.IsZero() && f.clock.Since(f.unreachableSince) >= unreachableGrace
}

// SeenVersion returns the version of the store up to which changes are known.
func (f *Follower) SeenVersion() storer.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

// Age returns how long ago the store confirmed the records, and the greatest such age
// since the start. Both are 0 before the first confirmation.
func (f *Follower) Age() (age, oldest time.Duration) {
	return f.feed.ages(f.clock.Now())
}

// ObservePeerVersion polls the store if a peer has seen a version that this VM does not
// learn within catchUpGrace.
func (f *Follower) ObservePeerVersion(version storer.Version) {
	version = f.feed.completeVersion(version)
	if !f.SeenVersion().Before(version) {
		return
	}
	f.clock.AfterFunc(catchUpGrace, func() { f.pollIfBehind(version) })
}

// pollIfBehind cancels the running watch, or the relay parent's updates, and requests a
// poll of the store if the version is still unknown. It does nothing while
//   - a poll is under way: its round trip may take longer than the time between two
//     peers' reports, which would cancel it each time;
//   - this VM has just started and knows nothing: it is about to learn all records;
//   - the handler is processing what may well be that version: once it is done, the poll
//     is requested if the version is still unknown;
//   - the backoff after a failed call lasts: this VM goes on with its relay parent's
//     updates.
func (f *Follower) pollIfBehind(version storer.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.seen.Before(version) || f.polling || f.seen == storer.Absent:
	case f.applying.Load():
		f.heard = f.heard.Later(version)
	default:
		f.requestPoll()
	}
}

// requestPoll makes the next call to the store a poll, at once unless the backoff after a failed
// call lasts. The caller holds f.mu.
func (f *Follower) requestPoll() {
	if f.clock.Now().Before(f.retryAt) {
		return
	}
	f.pollDue = true
	if f.cancel != nil {
		f.cancel(errInterrupted)
	}
}

// Serve keeps the copy up to date until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	backoff := initialBackoff
	for ctx.Err() == nil {
		longest := maxFollowerBackoff
		switch f.follow(ctx) {
		case switchParent:
			continue
		case readStore:
			longest = maxBackoff
		}
		if left := f.backoffLeft(); left > 0 {
			// The relay parent may be followed again before the store is asked again.
			f.sleep(ctx, min(left, maxBackoff))
			if f.backoffLeft() > 0 {
				continue
			}
		}
		err := f.callStore(ctx)
		switch {
		case err == nil:
			backoff = initialBackoff
		case errors.Is(err, errInterrupted):
			// The next call is a poll for the version that a peer has seen.
		case errors.Is(err, errRestored):
			f.listed = false
		case errors.Is(err, storer.ErrCompacted):
			f.log.Info("the store dropped the change history", "since", f.since, "reason", "listing again")
			f.listed = false
		case ctx.Err() == nil:
			f.noteStoreLost(err)
			f.failures++
			f.backOff(backoff/2 + rand.N(backoff))
			backoff = min(2*backoff, longest)
		}
	}
	return nil
}

// callStore lists the records if that is still to be done, or else watches once. A watch returns
// each version since the last answer, so after a failed call, or when peers are ahead, one large
// record is listed instead: the answer does not grow with the time that it takes.
func (f *Follower) callStore(ctx context.Context) error {
	switch {
	case !f.listed:
		_, err := f.list(ctx)
		if err == nil {
			f.notifyPeers()
		}
		return err
	case f.feed.dominated() && (f.failures > 0 || f.isPollDue()):
		defer f.end()
		_, err := f.list(f.beginPoll(ctx))
		return err
	case f.isListDue():
		return f.confirm(ctx)
	}
	return f.watch(ctx)
}

// isListDue reports whether a confirmation is due that only a list can give.
func (f *Follower) isListDue() bool {
	f.mu.Lock()
	refresh := f.refreshDue
	f.mu.Unlock()
	return f.listsConfirm && (refresh || f.untilList() <= 0)
}

// untilList returns the time until the records have to be listed for a confirmation.
func (f *Follower) untilList() time.Duration {
	return time.Duration(listAgeFraction*float64(f.maxDelay)) - f.clock.Since(f.feed.lastConfirmed())
}

// confirm lists the known records again, and notifies peers of changes that the watches have
// missed. The time limit allows for the size of the records.
func (f *Follower) confirm(parent context.Context) error {
	defer f.end()
	ctx, cancel := context.WithCancelCause(f.beginPoll(parent))
	defer cancel(nil)
	transfer := time.Duration(f.feed.size()) * time.Second / minTransferBytesPerSecond
	limit := f.clock.AfterFunc(f.answerTimeout()+transfer, func() { cancel(errNoAnswer) })
	defer limit.Stop()
	changed, err := f.list(ctx)
	if err != nil {
		return causeOf(ctx, err)
	}
	if changed {
		f.log.Info("changes were missed", "since", f.since, "reason", "a list has brought them")
		f.notifyPeers()
	}
	return nil
}

// isPollDue reports whether a peer has seen a version that this VM lacks.
func (f *Follower) isPollDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pollDue
}

// beginPoll returns the context of a poll that is not a watch.
func (f *Follower) beginPoll(ctx context.Context) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pollDue, f.refreshDue = false, false
	f.polling = true
	ctx, f.cancel = context.WithCancelCause(ctx)
	return ctx
}

// backOff delays the next call to the store after a failed one.
func (f *Follower) backOff(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryAt = f.clock.Now().Add(d)
	f.pollDue, f.refreshDue = false, false
}

// backoffLeft returns how long the store must not be asked; 0 or less when it may be.
func (f *Follower) backoffLeft() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retryAt.Sub(f.clock.Now())
}

// watch waits for changes in one call, and applies them.
func (f *Follower) watch(parent context.Context) error {
	ctx, wait, polls := f.beginWatch(parent)
	defer f.end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := f.clock.AfterFunc(wait+f.answerTimeout(), func() { cancel(errNoAnswer) })
	defer limit.Stop()
	begun := f.clock.Now()
	var confirmed confirmation
	if !f.listsConfirm {
		confirmed = f.beginConfirmation(watchOrigin(polls))
	}
	changes, err := f.source.Changes(f.withPatience(ctx), f.kind, f.since, wait)
	if errors.Is(err, storer.ErrCompacted) && changes.StoreVersion.Era > f.era {
		// The relay parent may not have noticed the restoration that dropped the history.
		f.noteEra(changes.StoreVersion)
	}
	if err != nil {
		if f.interrupted() {
			return errInterrupted
		}
		return causeOf(ctx, err)
	}
	if err := f.checkEra(changes.StoreVersion); err != nil {
		return err
	}
	f.noteStoreAnswered()
	f.markReachable(f.era, begun, begun)
	seen := storer.Absent
	if len(changes.Items) > 0 || polls {
		seen = changes.StoreVersion
	}
	if len(changes.Items) > 0 {
		// Only an answer with changes advances the version from which the next watch
		// begins: a watch without changes may have missed some.
		f.since = f.since.Later(changes.StoreVersion)
	}
	answered := f.clock.Now()
	f.feed.add(answered, changes.Items, f.since, seen, confirmed)
	f.apply(confirmed, seen, len(changes.Items) > 0, func() error {
		err := f.handler.Apply(changes.Items)
		f.logLearned(changes.Items, changes.StoreVersion, answered.Sub(begun), answered)
		return err
	})
	if len(changes.Items) > 0 && f.lastWatchEmpty && f.clock.Since(begun) < missedMaxWait {
		f.log.Info("changes were missed", "since", f.since, "count", len(changes.Items), "reason", "the last watch heard nothing")
		f.notifyPeers()
	}
	f.lastWatchEmpty = len(changes.Items) == 0
	if !f.lastWatchEmpty {
		f.sleep(parent, time.Duration(batchPauseFraction*float64(f.maxDelay)))
	}
	return nil
}

// beginWatch returns the context of the next watch, how long it waits, and whether it
// is a poll.
func (f *Follower) beginWatch(ctx context.Context) (context.Context, time.Duration, bool) {
	wait := time.Duration(watchWaitFraction * float64(f.maxDelay))
	f.mu.Lock()
	defer f.mu.Unlock()
	polls := f.pollDue || f.refreshDue
	f.pollDue, f.refreshDue = false, false
	f.polling = polls
	switch {
	case polls:
		wait = pollWait
	case f.listsConfirm:
		wait = max(pollWait, min(wait, f.untilList()))
	}
	ctx, f.cancel = context.WithCancelCause(ctx)
	return ctx, wait, polls
}

// answerTimeout returns how long an answer may take beyond the wait of a watch.
func (f *Follower) answerTimeout() time.Duration {
	return time.Duration(answerTimeoutFraction*float64(f.maxDelay)) << min(f.failures, maxAnswerTimeoutDoublings)
}

// end releases the context of a watch or of the relay parent's updates.
func (f *Follower) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel(nil)
	f.cancel = nil
	f.polling = false
}

// interrupted reports whether the watch was canceled for a poll.
func (f *Follower) interrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pollDue || f.refreshDue
}

// apply passes what was learned, if anything, to the handler, after which changes up to a version
// are known. The feed has them already: peers need not wait for this VM's handler, and their own
// may succeed where it fails.
func (f *Follower) apply(confirmed confirmation, seen storer.Version, learned bool, handle func() error) {
	f.applying.Store(true)
	if learned {
		f.noteHandled(handle())
	}
	if f.handlerErr == nil {
		f.feed.markApplied(confirmed)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applying.Store(false)
	f.seen = f.seen.Later(seen)
	if f.seen.Before(f.heard) {
		f.requestPoll()
	}
	f.heard = storer.Absent
}

// noteHandled stores the result of the handler's last call, and logs when it begins or ceases to
// fail.
func (f *Follower) noteHandled(err error) {
	switch {
	case err != nil && f.handlerErr == nil:
		f.log.Warn("records not in force; the store's confirmations don't count", "since", f.since, "age", f.ageText(), "reason", err.Error())
	case err == nil && f.handlerErr != nil:
		f.log.Info("records in force again", "since", f.since, "age", f.ageText())
	}
	f.handlerErr = err
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusal = err
}

// checkEra returns why an answer of the store must not be applied to the known records; nil
// if it may. Records of an earlier era are to be listed again: a later era gives out
// revisions again, so the answer lacks changes.
func (f *Follower) checkEra(version storer.Version) error {
	if version.Era < f.era {
		return errEarlierEra
	}
	f.noteEra(version)
	if f.listed && f.since.Era < f.era {
		return errRestored
	}
	return nil
}

// noteEra records the era of an answer of the store or of a relay parent's update, and logs a
// restoration.
func (f *Follower) noteEra(version storer.Version) {
	if f.era != 0 && version.Era > f.era {
		f.log.Warn("store restored from an older copy", "since", f.since, "at", version, "reason", "listing again")
	}
	f.era = version.Era
	f.feed.setEra(version.Era)
}

// list reads all pages and reports whether the records differ from those known before. The next
// watch begins at the version of the first page, so it brings the changes that were made between
// two pages.
func (f *Follower) list(ctx context.Context) (bool, error) {
	var records []storer.Record
	confirmed := f.beginConfirmation(ListOrigin)
	begun := confirmed.at
	after := ""
	var first storer.Version
	for {
		page, err := f.listPage(ctx, after)
		if err != nil {
			return false, err
		}
		if err := f.checkEra(page.StoreVersion); err != nil {
			return false, err
		}
		if after == "" {
			first = page.StoreVersion
		}
		if page.StoreVersion.Era != first.Era {
			return false, errRestored
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Name
	}
	f.noteStoreAnswered()
	f.markReachable(f.era, begun, begun)
	f.since = first
	known := f.listed
	f.listed = true
	answered := f.clock.Now()
	changed := f.feed.replace(answered, records, first, first, confirmed) || !known
	if !changed {
		f.storeBytes.Add(int64(sizeOf(changesTo(records))))
	}
	f.apply(confirmed, first, changed, func() error {
		err := f.handler.Reset(records)
		f.logLearned(changesTo(records), first, answered.Sub(begun), answered)
		return err
	})
	return changed, nil
}

// logLearned counts and logs changes that were applied from begun on: their origin, number,
// size and version, how old the store's confirmation was when they arrived, and how long the
// handler took.
func (f *Follower) logLearned(changes []storer.Change, at storer.Version, age time.Duration, begun time.Time) {
	from, count := "store", &f.storeBytes
	if f.parent != "" {
		from, count = string(f.parent), &f.peerBytes
	}
	size := sizeOf(changes)
	count.Add(int64(size))
	f.log.Info("learned", "from", from, "count", len(changes), "bytes", size, "since", f.since, "at", at,
		"age", age, "took", f.clock.Since(begun))
}

// Applying reports whether the handler is processing records or changes.
func (f *Follower) Applying() bool {
	return f.applying.Load()
}

// Counts returns the number of bytes of records that were learned and sent to peers so far.
func (f *Follower) Counts() Counts {
	return Counts{StoreBytes: f.storeBytes.Load(), PeerBytes: f.peerBytes.Load(), SentBytes: f.sentBytes.Load()}
}

// noteStoreLost records that a call of this VM failed, and logs the first failure.
func (f *Follower) noteStoreLost(err error) {
	f.mu.Lock()
	f.storeErr = err
	known := !f.unreachableSince.IsZero()
	if !known {
		f.unreachableSince = f.clock.Now()
	}
	f.mu.Unlock()
	f.feed.setStoreUnreachable(true)
	if known {
		return
	}
	f.log.Warn("store lost", "since", f.since, "age", f.ageText(), "confirmedby", string(f.ConfirmedBy()), "reason", err.Error())
}

// markReachable records a period in which the store answered this VM or another without
// an outage, and informs the handler if that changes the start of the known period.
func (f *Follower) markReachable(era storer.Era, since, until time.Time) {
	start, changed := f.feed.markReachable(era, since, until)
	if changed {
		f.handler.StoreReachableSince(start)
	}
}

// noteStoreAnswered records that the store answered a call of this VM, and logs it if
// calls had failed before.
func (f *Follower) noteStoreAnswered() {
	f.failures = 0
	f.mu.Lock()
	lost := f.unreachableSince
	f.unreachableSince, f.storeErr = time.Time{}, nil
	f.mu.Unlock()
	if lost.IsZero() {
		return
	}
	f.feed.setStoreUnreachable(false)
	f.log.Info("store regained", "since", f.since, "away", f.clock.Since(lost))
}

// sleep waits for d or until ctx ends.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := f.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
