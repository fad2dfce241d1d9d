// Package follower keeps a copy of one kind of the platform's records: it lists
// them once and then watches. A history that is gone makes it list again; a
// source that fails is asked again after a growing pause.
//
// A watch may miss changes without ending. A lead replaces its watches often and
// so finds what was missed; the others follow a peer, which passes on what it
// learns and when the store last confirmed it. A VM whose peer is silent, or has
// heard nothing of the store for too long, asks the store itself. So the calls
// grow with leads, not with VMs.
//
// # Usage
//
//	f := follower.New(calls, kind, handler, clock, log, follower.WithRelay(relay), follower.WithBound(bound))
//	go f.Serve(ctx)
//	version := f.Seen()
//	f.Told(peersVersion)
//	update, position, err := f.Await(ctx, position)
package follower

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// defaultBound is the time within which a change must be known, where none is
	// set.
	defaultBound = 2 * time.Second
	// defaultLapse is the least outage of the store in which records may lapse, where
	// none is set.
	defaultLapse = 2 * time.Second
	// leadPart is how long a lead's watch waits, as a part of the bound; each
	// costs one call. A watch that heard nothing proves only that nothing had
	// changed when it began, so a confirmation can be two watches old.
	leadPart = 0.25
	// stalePart is the age of the store's last confirmation, as a part of the
	// bound, at which a VM asks the store itself. It is over two watches and the ways
	// over three peers, and leaves time for the VM's own call.
	stalePart = 0.8
	// answerPart is how long an answer may take beyond the wait of a watch, as a part of
	// the bound. It doubles with each call that fails, since large answers take longer on
	// slow links.
	answerPart = 0.25
	// answerDoubles bounds how often that doubles; the calls have a limit of their own.
	answerDoubles = 4
	// behindTime is how long a peer may have seen more before this VM looks
	// again, since the watches of all hear of a change at about the same time. It
	// is over twice the longest round trip to the store that the brief names.
	behindTime = 300 * time.Millisecond
	// lateTime is the age below which a watch that brings changes shows that
	// the one before it had missed them.
	lateTime = 100 * time.Millisecond
	// batchPart is the pause after a watch that brought changes, as a part of the
	// bound, so that many changes in a row come with few calls.
	batchPart = 0.1
	// lookTime is the wait of a watch that only looks.
	lookTime = time.Millisecond
	// The pause before a failed call is tried again doubles up to the most, so
	// that a source that comes back is found within half a second. It is varied
	// by half, so that many followers don't return together.
	retryFirst = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// retryFollower is the longest pause of a VM that follows a peer; it hears
	// from there that the source is back.
	retryFollower = 2 * time.Second
	// firstTime is how long a VM that has just started, or knows nothing fresh, waits for a
	// peer's word before it asks the store; it is two round trips of the longest way that
	// the brief names.
	firstTime = 250 * time.Millisecond
	// firstWait is how long it waits for the records of a peer that it has reached: the
	// peer may be reading many pages, or wait for a peer of its own.
	firstWait = time.Second
	// guideTime is how often a VM looks whether it is to follow another peer, as often as
	// peers' heartbeats come.
	guideTime = 500 * time.Millisecond
	// awayTime is how long the source must have failed before this VM says so to
	// its peers; a single failed call is tried again well before.
	awayTime = 300 * time.Millisecond
)

// errInterrupted says that a watch was ended to look for what a peer has seen.
var errInterrupted = errors.New("a peer has seen more")

type (
	// Source is the part of the platform that is followed.
	Source interface {
		List(ctx context.Context, kind storer.Kind, after string) (storer.Page, error)
		Changes(ctx context.Context, kind storer.Kind, since storer.Version, wait time.Duration) (storer.Changes, error)
	}

	// Handler takes what is learned. Its methods are called one at a time.
	Handler interface {
		// Reset takes all records of the kind.
		Reset(records []storer.Record)
		// Apply takes changes that were learned together, in their order.
		Apply(changes []storer.Change)
		// StoreReachableSince tells since when the store is known to have answered without an outage
		// in which records may lapse. It comes before what was learned by then.
		StoreReachableSince(since time.Time)
	}

	// Follower follows one kind.
	Follower struct {
		source  Source
		kind    storer.Kind
		handler Handler
		clock   clockwork.Clock
		log     *slog.Logger

		relay  Relay
		bound  time.Duration
		lapse  time.Duration
		news   func()
		feed   *feed
		since  storer.Version
		listed bool
		// failed counts the calls that failed since the last one that was answered.
		failed int
		// quiet says that the last watch ended without changes.
		quiet bool
		// followed is the peer whose updates are taken, or empty.
		followed namer.VM

		mu   sync.Mutex
		lost time.Time
		seen storer.Version
		// rested is when the store may be asked again after a call that failed.
		rested time.Time
		// look asks for a look, and looking says that one is under way.
		look    bool
		looking bool
		cancel  context.CancelFunc
	}

	// Option changes a follower.
	Option func(*Follower)
)

// WithRelay sets whom a VM that is no lead follows. Without it the VM is a lead.
func WithRelay(r Relay) Option {
	return func(f *Follower) { f.relay = r }
}

// WithPeerNotifier sets what is called when a lead finds changes that its watch had
// missed.
func WithPeerNotifier(news func()) Option {
	return func(f *Follower) { f.news = news }
}

// WithMaxDelay sets the time within which a change must be known. It is at most the outage
// that WithLapse sets.
func WithMaxDelay(d time.Duration) Option {
	return func(f *Follower) { f.bound = d }
}

// WithMinOutage sets the least outage of the store in which records may lapse although those
// who write them live.
func WithMinOutage(d time.Duration) Option {
	return func(f *Follower) { f.lapse = d }
}

// New returns a follower of a kind.
func New(s Source, kind storer.Kind, h Handler, clock clockwork.Clock, log *slog.Logger, opts ...Option) *Follower {
	f := &Follower{
		source:  s,
		kind:    kind,
		handler: h,
		clock:   clock,
		log:     log.With("kind", string(kind)),
		bound:   defaultBound,
		lapse:   defaultLapse,
		news:    func() {},
	}
	for _, opt := range opts {
		opt(f)
	}
	// A silent peer must make the VM ask the store before the silence is as long as an
	// outage.
	f.bound = min(f.bound, f.lapse)
	f.feed = newFeed(clock.Now(), f.lapse)
	return f
}

// Kind returns the kind that is followed.
func (f *Follower) Kind() storer.Kind {
	return f.kind
}

// StoreUnreachable reports whether the store has not answered this VM's own calls for some time. What a
// peer says of its calls is not counted: another VM may be answered.
func (f *Follower) StoreUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lost.IsZero() && f.clock.Since(f.lost) >= awayTime
}

// SeenVersion returns the version of the last change that is known.
func (f *Follower) SeenVersion() storer.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

// Age returns how long ago the store confirmed what is known here, and the longest that
// it has been since the start; 0 before the first confirmation.
func (f *Follower) Age() (age, oldest time.Duration) {
	return f.feed.ages(f.clock.Now())
}

// ObservePeerVersion takes over how far a peer has seen the kind.
func (f *Follower) ObservePeerVersion(version storer.Version) {
	if version <= f.SeenVersion() {
		return
	}
	f.clock.AfterFunc(behindTime, func() { f.catchUp(version) })
}

// catchUp ends the running watch if it has not brought a version by now. A look
// that is under way goes on: the way to the store may take longer than the time
// between two peers' words. A VM that has just started and knows nothing yet is about to
// learn all. One that the store has just turned away goes on hearing its peer.
func (f *Follower) catchUp(version storer.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.seen || f.looking || f.seen == 0 || f.clock.Now().Before(f.rested) {
		return
	}
	f.look = true
	if f.cancel != nil {
		f.cancel()
	}
}

// Serve follows until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	pause := retryFirst
	for ctx.Err() == nil {
		longest := retryFollower
		switch f.follow(ctx) {
		case switches:
			continue
		case leads:
			longest = retryMost
		}
		if left := f.resting(); left > 0 {
			// A peer may be heard again before the store is asked again.
			f.pause(ctx, min(left, retryMost))
			if f.resting() > 0 {
				continue
			}
		}
		err := f.ask(ctx)
		switch {
		case err == nil:
			pause = retryFirst
		case errors.Is(err, errInterrupted):
			// The next call looks for what a peer has seen.
		case errors.Is(err, storer.ErrHistory):
			f.log.Info("history gone", "since", uint64(f.since), "reason", "listing again")
			f.listed = false
		case ctx.Err() == nil:
			f.noteLost(err)
			f.failed++
			f.rest(pause/2 + rand.N(pause))
			pause = min(2*pause, longest)
		}
	}
	return nil
}

// ask calls the store once.
func (f *Follower) ask(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// rest puts off the next call to the store after one that failed.
func (f *Follower) rest(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rested = f.clock.Now().Add(d)
	f.look = false
}

// resting returns how long the store is not to be asked, 0 or less when it may be.
func (f *Follower) resting() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rested.Sub(f.clock.Now())
}

// watch waits for changes once.
func (f *Follower) watch(parent context.Context) error {
	ctx, wait, looks := f.begin(parent)
	defer f.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := f.clock.AfterFunc(wait+f.answerTime(), cancel)
	defer limit.Stop()
	begun := f.clock.Now()
	changes, err := f.source.Changes(ctx, f.kind, f.since, wait)
	if err != nil {
		if f.interrupted() {
			return errInterrupted
		}
		return err
	}
	f.regained()
	f.reach(begun, begun)
	if len(changes.List) > 0 {
		f.logLearned(len(changes.List), changes.At, f.clock.Since(begun))
		f.handler.Apply(changes.List)
		// An answer without changes may come of a watch that heard nothing, so
		// it does not move the place from which the next one begins.
		f.since = max(f.since, changes.At)
	}
	if len(changes.List) > 0 || looks {
		f.sees(changes.At)
	}
	f.feed.add(f.clock.Now(), changes.List, f.since, begun)
	if len(changes.List) > 0 && f.quiet && f.clock.Since(begun) < lateTime {
		f.log.Info("changes were missed", "since", uint64(f.since), "count", len(changes.List), "reason", "the last watch heard nothing")
		f.news()
	}
	f.quiet = len(changes.List) == 0
	if !f.quiet {
		f.pause(parent, time.Duration(batchPart*float64(f.bound)))
	}
	return nil
}

// begin returns how long the next watch is to wait, and whether it only looks.
func (f *Follower) begin(ctx context.Context) (context.Context, time.Duration, bool) {
	wait := time.Duration(leadPart * float64(f.bound))
	f.mu.Lock()
	defer f.mu.Unlock()
	looks := f.look
	f.look = false
	f.looking = looks
	if looks {
		wait = lookTime
	}
	ctx, f.cancel = context.WithCancel(ctx)
	return ctx, wait, looks
}

// answerTime returns how long an answer may take beyond the wait of a watch.
func (f *Follower) answerTime() time.Duration {
	return time.Duration(answerPart*float64(f.bound)) << min(f.failed, answerDoubles)
}

func (f *Follower) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel()
	f.cancel = nil
	f.looking = false
}

// interrupted reports whether the watch ended because a peer has seen more.
func (f *Follower) interrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.look
}

func (f *Follower) sees(version storer.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = max(f.seen, version)
	f.feed.sees(version)
}

// list reads all pages. Changes between two pages are seen by the watch, which
// begins at the first page's version.
func (f *Follower) list(ctx context.Context) error {
	var records []storer.Record
	begun := f.clock.Now()
	after := ""
	first := storer.Version(0)
	for {
		page, err := f.source.List(ctx, f.kind, after)
		if err != nil {
			return err
		}
		if after == "" {
			first = page.At
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Name
	}
	f.regained()
	f.reach(begun, begun)
	f.since = first
	f.listed = true
	f.logLearned(len(records), first, f.clock.Since(begun))
	f.handler.Reset(records)
	f.sees(first)
	f.feed.replace(f.clock.Now(), records, first, begun)
	f.news()
	return nil
}

// logLearned tells from whom records or changes were learned, up to which version, and how
// long ago the store confirmed that.
func (f *Follower) logLearned(count int, at storer.Version, age time.Duration) {
	from := "store"
	if f.followed != "" {
		from = string(f.followed)
	}
	f.log.Info("learned", "from", from, "count", count, "since", uint64(f.since), "at", uint64(at), "age", age)
}

func (f *Follower) noteLost(err error) {
	f.mu.Lock()
	known := !f.lost.IsZero()
	if !known {
		f.lost = f.clock.Now()
	}
	f.mu.Unlock()
	f.feed.setAway(true)
	if known {
		return
	}
	f.log.Warn("store lost", "since", uint64(f.since), "reason", err.Error())
}

// reach takes over that the store answered somebody without an outage between two times.
func (f *Follower) reach(steady, reached time.Time) {
	since, news := f.feed.reach(steady, reached)
	if news {
		f.handler.StoreReachableSince(since)
	}
}

// regained notes that the store has answered this VM.
func (f *Follower) regained() {
	f.failed = 0
	f.mu.Lock()
	lost := f.lost
	f.lost = time.Time{}
	f.mu.Unlock()
	if lost.IsZero() {
		return
	}
	f.feed.setAway(false)
	f.log.Info("store regained", "since", uint64(f.since), "away", f.clock.Since(lost))
}

// pause waits, or until ctx ends.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := f.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
