// Package follower keeps a copy of one kind of the platform's records: it lists
// them once and then watches. A history that is gone makes it list again; a
// source that fails is asked again after a growing pause.
//
// A watch may miss changes without ending. A lead replaces its watches often and
// so finds what was missed; the others hear from their peers how far these have
// seen, and look again when they are behind. So the calls grow with leads, not
// with VMs.
//
// # Usage
//
//	f := follower.New(calls, kind, handler, clock, log, follower.WithLead(lead, news))
//	go f.Serve(ctx)
//	version := f.Seen()
//	f.Told(peersVersion)
package follower

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// leadTime is how long a lead's watch waits; each costs one call. What a
	// watch missed must be known everywhere within the shortest bound that the
	// platform sets on a change, 2 s.
	leadTime = 800 * time.Millisecond
	// watchTime is how long the watches of others wait.
	watchTime = 20 * time.Second
	// behindTime is how long a peer may have seen more before this VM looks
	// again, since the watches of all hear of a change at about the same time. It
	// is over twice the longest round trip to the store that the brief names.
	behindTime = 300 * time.Millisecond
	// lateTime is the age below which a watch that brings changes shows that
	// the one before it had missed them.
	lateTime = 100 * time.Millisecond
	// batchTime is the pause after a watch that brought changes, so that many
	// changes in a row come with few calls.
	batchTime = 100 * time.Millisecond
	// lookTime is the wait of a watch that only looks.
	lookTime = time.Millisecond
	// The pause before a failed call is tried again doubles up to the most, so
	// that a source that comes back is found within half a second. It is varied
	// by half, so that many followers don't return together.
	retryFirst = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

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
		// Apply takes one change.
		Apply(c storer.Change)
		// Lost and Regained tell of the source's failures.
		Lost()
		Regained()
	}

	// Follower follows one kind.
	Follower struct {
		source  Source
		kind    storer.Kind
		handler Handler
		clock   clockwork.Clock
		log     *slog.Logger

		lead   func() bool
		news   func()
		since  storer.Version
		listed bool
		lost   time.Time
		// quiet says that the last watch ended without changes.
		quiet bool

		mu   sync.Mutex
		seen storer.Version
		// look asks for a look, and looking says that one is under way.
		look    bool
		looking bool
		cancel  context.CancelFunc
	}

	// Option changes a follower.
	Option func(*Follower)
)

// WithLead sets what says whether this VM is a lead, and what is called when a
// lead finds changes that its watch had missed. Without it the VM is a lead.
func WithLead(lead func() bool, news func()) Option {
	return func(f *Follower) {
		f.lead = lead
		f.news = news
	}
}

// New returns a follower of a kind.
func New(s Source, kind storer.Kind, h Handler, clock clockwork.Clock, log *slog.Logger, opts ...Option) *Follower {
	f := &Follower{
		source:  s,
		kind:    kind,
		handler: h,
		clock:   clock,
		log:     log.With("kind", string(kind)),
		lead:    func() bool { return true },
		news:    func() {},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Kind returns the kind that is followed.
func (f *Follower) Kind() storer.Kind {
	return f.kind
}

// Seen returns the version of the last change that is known.
func (f *Follower) Seen() storer.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

// Told takes over how far a peer has seen the kind.
func (f *Follower) Told(version storer.Version) {
	if version <= f.Seen() {
		return
	}
	f.clock.AfterFunc(behindTime, func() { f.catchUp(version) })
}

// catchUp ends the running watch if it has not brought a version by now. A look
// that is under way goes on: the way to the store may take longer than the time
// between two peers' words.
func (f *Follower) catchUp(version storer.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.seen || f.looking {
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
		err := f.step(ctx)
		switch {
		case err == nil:
			f.regained()
			pause = retryFirst
		case errors.Is(err, storer.ErrHistory):
			f.log.Info("history gone", "since", uint64(f.since), "reason", "listing again")
			f.listed = false
		case ctx.Err() == nil:
			f.noteLost(err)
			f.pause(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, retryMost)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// watch waits for changes once.
func (f *Follower) watch(parent context.Context) error {
	ctx, wait, looks := f.begin(parent)
	defer f.end()
	begun := f.clock.Now()
	changes, err := f.source.Changes(ctx, f.kind, f.since, wait)
	if err != nil {
		if f.interrupted() {
			return nil
		}
		return err
	}
	f.regained()
	for _, c := range changes.List {
		f.handler.Apply(c)
	}
	if len(changes.List) > 0 {
		// An answer without changes may come of a watch that heard nothing, so
		// it does not move the place from which the next one begins.
		f.since = max(f.since, changes.At)
	}
	if len(changes.List) > 0 || looks {
		f.sees(changes.At)
	}
	if len(changes.List) > 0 && f.quiet && f.clock.Since(begun) < lateTime {
		f.log.Info("changes were missed", "since", uint64(f.since), "count", len(changes.List), "reason", "the last watch heard nothing")
		f.news()
	}
	f.quiet = len(changes.List) == 0
	if !f.quiet {
		f.pause(parent, batchTime)
	}
	return nil
}

// begin returns how long the next watch is to wait, and whether it only looks.
func (f *Follower) begin(ctx context.Context) (context.Context, time.Duration, bool) {
	wait := watchTime
	if f.lead() {
		wait = leadTime
	}
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
}

// list reads all pages. Changes between two pages are seen by the watch, which
// begins at the first page's version.
func (f *Follower) list(ctx context.Context) error {
	var records []storer.Record
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
	f.since = first
	f.listed = true
	f.handler.Reset(records)
	f.sees(first)
	f.news()
	return nil
}

func (f *Follower) noteLost(err error) {
	if !f.lost.IsZero() {
		return
	}
	f.lost = f.clock.Now()
	f.log.Warn("store lost", "since", uint64(f.since), "reason", err.Error())
	f.handler.Lost()
}

func (f *Follower) regained() {
	if f.lost.IsZero() {
		return
	}
	f.log.Info("store regained", "since", uint64(f.since), "away", f.clock.Since(f.lost))
	f.lost = time.Time{}
	f.handler.Regained()
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
