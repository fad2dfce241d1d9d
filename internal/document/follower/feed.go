package follower

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// feedBytes bounds the changes that are kept for peers that lag behind; one
	// that lags further gets all records. It is about one page of the store.
	feedBytes = 1 << 20
	// stepBytes is counted for a step beside its records.
	stepBytes = 64
)

type (
	// Position is how much of a kind a peer has been told.
	Position struct {
		Version          storer.Version
		ConfirmedAt      time.Time
		StoreUnreachable bool
	}

	// feed is a copy of a kind's records for peers that follow this VM.
	feed struct {
		mu      sync.Mutex
		listed  bool
		records map[string]storer.Record
		steps   []step
		// kept is the size of the steps in bytes.
		kept  int
		at    storer.Version
		seen  storer.Version
		fresh time.Time
		// oldest is the greatest age that a confirmation has reached before the next came.
		oldest time.Duration
		// The store is known to have answered without an outage from steady to reached. A
		// longer time than lapse without an answer is an outage.
		steady  time.Time
		reached time.Time
		lapse   time.Duration
		away    bool
		news    chan struct{}
	}

	// step is the changes between two versions.
	step struct {
		from    storer.Version
		to      storer.Version
		changes []storer.Change
	}
)

// Await returns what a peer at a position lacks, once there is something: changes,
// a later confirmation by the store, or the loss of the store.
func (f *Follower) Await(ctx context.Context, p Position) (storer.Update, Position, error) {
	for {
		u, next, news, ok := f.feed.after(p)
		if ok {
			u.Age = max(0, f.clock.Since(next.ConfirmedAt))
			return u, next, nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return storer.Update{}, p, errors.Wrap(ctx.Err(), "waiting for changes")
		}
	}
}

// newFeed returns a feed that knows nothing, as of now.
func newFeed(now time.Time, lapse time.Duration) *feed {
	return &feed{records: make(map[string]storer.Record), steady: now, reached: now, lapse: lapse, news: make(chan struct{})}
}

// after returns what lies after a position, or what to wait for.
func (f *feed) after(p Position) (storer.Update, Position, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || p.Version >= f.at && !f.fresh.After(p.ConfirmedAt) && f.away == p.StoreUnreachable {
		return storer.Update{}, p, f.news, false
	}
	u := storer.Update{At: f.at, Seen: f.seen, Away: f.away, Steady: max(0, f.fresh.Sub(f.steady))}
	u.Changes, u.All = f.lacking(p.Version)
	return u, Position{Version: max(p.Version, f.at), ConfirmedAt: f.fresh, StoreUnreachable: f.away}, nil, true
}

// lacking returns the changes after a version, or all records when the changes
// are not known so far back.
func (f *feed) lacking(since storer.Version) ([]storer.Change, bool) {
	if since >= f.at && since > 0 {
		return nil, false
	}
	var changes []storer.Change
	if len(f.steps) > 0 && f.steps[0].from <= since && since > 0 {
		for _, s := range f.steps {
			if s.to > since {
				changes = append(changes, s.changes...)
			}
		}
		return changes, false
	}
	for _, r := range f.records {
		changes = append(changes, storer.Change{Record: r})
	}
	return changes, true
}

// replace takes over all records. What differs from those before becomes a step,
// so that peers need not be told of all.
func (f *feed) replace(now time.Time, records []storer.Record, at storer.Version, fresh time.Time) {
	f.mu.Lock()
	known := f.records
	listed := f.listed
	f.listed = true
	f.records = make(map[string]storer.Record, len(records))
	for _, r := range records {
		f.records[r.Name] = r
	}
	var changes []storer.Change
	for _, r := range records {
		if old, ok := known[r.Name]; !ok || !same(old, r) {
			changes = append(changes, storer.Change{Record: r})
		}
	}
	for name, r := range known {
		if _, ok := f.records[name]; !ok {
			changes = append(changes, storer.Change{Record: r, Removed: true})
		}
	}
	if !listed {
		f.at = at
		changes = nil
	}
	f.mu.Unlock()
	f.add(now, changes, at, fresh)
}

// add takes over changes up to a version, confirmed by the store at a time.
func (f *feed) add(now time.Time, changes []storer.Change, at storer.Version, fresh time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			delete(f.records, c.Record.Name)
			continue
		}
		f.records[c.Record.Name] = c.Record
	}
	if at > f.at {
		s := step{from: f.at, to: at, changes: changes}
		f.steps = append(f.steps, s)
		f.kept += s.size()
		f.at = at
	}
	for f.kept > feedBytes {
		f.kept -= f.steps[0].size()
		f.steps = f.steps[1:]
	}
	if fresh.After(f.fresh) {
		if !f.fresh.IsZero() {
			f.oldest = max(f.oldest, now.Sub(f.fresh))
		}
		f.fresh = fresh
	}
	f.wake()
}

// reach takes over that the store answered somebody without an outage between two times.
// It returns since when it is known to have done so until now, and whether that is news.
func (f *feed) reach(steady, reached time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.steady
	switch {
	case steady.Sub(f.reached) > f.lapse:
		f.steady = steady
	case f.steady.Sub(reached) <= f.lapse && steady.Before(f.steady):
		f.steady = steady
	}
	if reached.After(f.reached) {
		f.reached = reached
	}
	return f.steady, !f.steady.Equal(before)
}

func (f *feed) sees(version storer.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = max(f.seen, version)
}

// confirmed returns when the store last confirmed what is known.
func (f *feed) confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// ages returns how old the store's last confirmation is, and the most that one was.
func (f *feed) ages(now time.Time) (age, oldest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fresh.IsZero() {
		return 0, 0
	}
	age = now.Sub(f.fresh)
	return age, max(age, f.oldest)
}

func (f *feed) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away != away {
		f.away = away
		f.wake()
	}
}

func (f *feed) wake() {
	close(f.news)
	f.news = make(chan struct{})
}

func (s step) size() int {
	size := stepBytes
	for _, c := range s.changes {
		size += len(c.Record.Name) + len(c.Record.Spec) + len(c.Record.Status)
	}
	return size
}

func same(a, b storer.Record) bool {
	return a.Version == b.Version && bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status)
}
