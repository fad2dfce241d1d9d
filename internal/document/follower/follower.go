// Package follower keeps a copy of one kind of the platform's records: it lists
// them once and then watches. A history that is gone makes it list again; a
// source that fails is asked again after a growing pause.
//
// # Usage
//
//	f := follower.New(calls, kind, handler, clock, log)
//	err := f.Serve(ctx)
package follower

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// watchTime is how long one watch waits; each costs one call. A watch may
	// miss changes without ending, so the next one must come soon enough to keep
	// the shortest bound that the platform sets on a change, 2 s.
	watchTime = 1200 * time.Millisecond
	// The pause before a failed call is tried again doubles up to the most, so
	// that a source that comes back is found within half a second.
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

		since  storer.Version
		listed bool
		lost   time.Time
	}
)

// New returns a follower of a kind.
func New(s Source, kind storer.Kind, h Handler, clock clockwork.Clock, log *slog.Logger) *Follower {
	return &Follower{source: s, kind: kind, handler: h, clock: clock, log: log.With("kind", string(kind))}
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
			f.sleep(ctx, pause)
			pause = min(2*pause, retryMost)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	changes, err := f.source.Changes(ctx, f.kind, f.since, watchTime)
	if err != nil {
		return err
	}
	f.regained()
	for _, c := range changes.List {
		f.handler.Apply(c)
	}
	f.since = max(f.since, changes.At)
	return nil
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

// sleep waits for a pause, varied by half so that many followers don't return
// together.
func (f *Follower) sleep(ctx context.Context, pause time.Duration) {
	timer := f.clock.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
