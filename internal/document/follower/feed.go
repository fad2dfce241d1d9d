package follower

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// maxHistoryBytes limits the change history that is kept for peers whose records are
	// older; a peer whose version is older than the history gets all records. It is about
	// one page of the store.
	maxHistoryBytes = 1 << 20
	// deltaOverheadBytes is the size of a delta without its records.
	deltaOverheadBytes = 64
)

type (
	// Position is the state of a kind that a peer already has.
	Position struct {
		Version storer.Version
		// ConfirmedAt is when the store last confirmed that state.
		ConfirmedAt time.Time
		// StoreUnreachable is whether the last update reported that the store does not
		// answer this VM.
		StoreUnreachable bool
	}

	// feed is a copy of a kind's records, with a bounded change history, for the
	// peers that follow this VM. It has no updates until it is listed, which means that
	// it has got all records.
	feed struct {
		mu           sync.Mutex
		listed       bool
		records      map[string]storer.Record
		history      []delta
		historyBytes int
		version      storer.Version
		seen         storer.Version
		// firstEra is the first era that this VM knew, or 0.
		firstEra    storer.Era
		confirmedAt time.Time
		// appliedAt is the time of the last confirmation of what the handler has processed, and
		// appliedBy its origin.
		appliedAt time.Time
		appliedBy Origin
		// suspended returns for how long the machine has been suspended. The times of
		// confirmations are earlier by accounted, the part of it that they account for.
		suspended func() time.Duration
		accounted time.Duration
		// maxAge is the greatest age that a confirmation reached before the next one.
		maxAge time.Duration
		// The store has answered without an outage from reachableSince to lastAnswer. An
		// outage is a period longer than minOutage without an answer.
		// A restoration from an older copy ends the period too, since records are missing
		// until they are written again. reachableEra is the era of the period.
		reachableSince   time.Time
		lastAnswer       time.Time
		reachableEra     storer.Era
		minOutage        time.Duration
		storeUnreachable bool
		// updated is closed when there is an update for waiting peers.
		updated chan struct{}
	}

	// confirmation is the time at which a confirmation by the store began, for how long
	// the machine had been suspended by then, and what brought it.
	confirmation struct {
		at        time.Time
		suspended time.Duration
		by        Origin
	}

	// delta is the changes between two versions.
	delta struct {
		from    storer.Version
		to      storer.Version
		changes []storer.Change
	}
)

// Await blocks until there is an update for a peer at a position, and returns it with
// the peer's new position. An update has changes, a later confirmation by the store, or
// a change of whether the store answers.
func (f *Follower) Await(ctx context.Context, p Position) (storer.Update, Position, error) {
	for {
		u, next, updated, ok := f.feed.updateAfter(p)
		if ok {
			u.Age = max(0, f.clock.Since(next.ConfirmedAt))
			f.sentBytes.Add(int64(sizeOf(u.Changes)))
			return u, next, nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return storer.Update{}, p, errors.Wrap(ctx.Err(), "waiting for changes")
		}
	}
}

// newFeed returns an empty feed. The store counts as reachable from now on.
func newFeed(now time.Time, minOutage time.Duration) *feed {
	return &feed{
		records: make(map[string]storer.Record), reachableSince: now, lastAnswer: now, minOutage: minOutage, updated: make(chan struct{}),
		suspended: func() time.Duration { return 0 },
	}
}

// updateAfter returns the update for a peer at a position, or a channel that is closed
// when there may be one.
func (f *feed) updateAfter(p Position) (storer.Update, Position, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accountSuspension()
	p.Version = f.withEra(p.Version)
	if !f.listed || !p.Version.Before(f.version) && !f.confirmedAt.After(p.ConfirmedAt) && f.storeUnreachable == p.StoreUnreachable {
		return storer.Update{}, p, f.updated, false
	}
	u := storer.Update{Version: f.version, SeenVersion: f.seen, StoreUnreachable: f.storeUnreachable, StoreReachableFor: max(0, f.confirmedAt.Sub(f.reachableSince))}
	u.Changes, u.Full = f.changesSince(p.Version)
	return u, Position{Version: p.Version.Later(f.version), ConfirmedAt: f.confirmedAt, StoreUnreachable: f.storeUnreachable}, nil, true
}

// changesSince returns the changes after a version, or all records and true when the
// history does not reach back to that version.
func (f *feed) changesSince(since storer.Version) ([]storer.Change, bool) {
	known := since != storer.Absent
	if known && !since.Before(f.version) {
		return nil, false
	}
	var changes []storer.Change
	if known && len(f.history) > 0 && !since.Before(f.history[0].from) {
		for _, d := range f.history {
			if since.Before(d.to) {
				changes = append(changes, d.changes...)
			}
		}
		return latestOnly(changes), false
	}
	for _, r := range f.records {
		changes = append(changes, storer.Change{Record: r})
	}
	return changes, true
}

// latestOnly returns the last change of each record, in their order.
func latestOnly(changes []storer.Change) []storer.Change {
	later := make(map[string]bool, len(changes))
	latest := make([]storer.Change, 0, len(changes))
	for _, c := range slices.Backward(changes) {
		if !later[c.Record.Name] {
			later[c.Record.Name] = true
			latest = append(latest, c)
		}
	}
	slices.Reverse(latest)
	return latest
}

// changesTo returns the changes that write records.
func changesTo(records []storer.Record) []storer.Change {
	changes := make([]storer.Change, len(records))
	for i, r := range records {
		changes[i] = storer.Change{Record: r}
	}
	return changes
}

// replace sets all records. Their difference from the previous ones is added to the
// history as a delta, so that peers need not be sent all records. The history does not
// reach back to an earlier era: peers must learn that the store was restored. It reports whether
// there is a difference; without known records of that era there is.
func (f *feed) replace(now time.Time, records []storer.Record, version, seen storer.Version, confirmed confirmation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.records
	continued := f.listed && version.Era == f.version.Era
	f.listed = true
	f.records = make(map[string]storer.Record, len(records))
	for _, r := range records {
		f.records[r.Name] = r
	}
	var changes []storer.Change
	for _, r := range records {
		if old, ok := known[r.Name]; !ok || !equalRecords(old, r) {
			changes = append(changes, storer.Change{Record: r})
		}
	}
	for name, r := range known {
		if _, ok := f.records[name]; !ok {
			changes = append(changes, storer.Change{Record: r, Removed: true})
		}
	}
	changed := !continued || len(changes) > 0
	if !continued {
		f.version = version
		f.history, f.historyBytes = nil, 0
		changes = nil
	}
	f.addLocked(now, changes, version, seen, confirmed)
	return changed
}

// add applies changes up to a version that the store confirmed, and
// drops the oldest deltas beyond maxHistoryBytes. The version of the whole store up to which
// changes were seen may be later.
func (f *feed) add(now time.Time, changes []storer.Change, version, seen storer.Version, confirmed confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addLocked(now, changes, version, seen, confirmed)
}

// addLocked is add for callers that hold f.mu.
func (f *feed) addLocked(now time.Time, changes []storer.Change, version, seen storer.Version, confirmed confirmation) {
	confirmedAt := f.timeOf(confirmed)
	f.seen = f.seen.Later(seen)
	for _, c := range changes {
		if c.Removed {
			delete(f.records, c.Record.Name)
			continue
		}
		f.records[c.Record.Name] = c.Record
	}
	if f.version.Before(version) {
		d := delta{from: f.version, to: version, changes: changes}
		f.history = append(f.history, d)
		f.historyBytes += d.size()
		f.version = version
	}
	for f.historyBytes > maxHistoryBytes {
		f.historyBytes -= f.history[0].size()
		f.history = f.history[1:]
	}
	if confirmedAt.After(f.confirmedAt) {
		if !f.confirmedAt.IsZero() {
			f.maxAge = max(f.maxAge, now.Sub(f.confirmedAt))
		}
		f.confirmedAt = confirmedAt
	}
	f.wakeWaiters()
}

// markReachable joins a period in which the store answered this VM or another without
// an outage to the known one. It returns the start of the known period, and whether
// that changed. Periods that are more than minOutage apart, or of different eras, are not
// joined: the later one counts.
func (f *feed) markReachable(era storer.Era, since, until time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.reachableSince
	restored := f.reachableEra != 0 && era > f.reachableEra
	f.reachableEra = max(f.reachableEra, era)
	switch {
	case restored:
		f.reachableSince = since
	case since.Sub(f.lastAnswer) > f.minOutage:
		f.reachableSince = since
	case f.reachableSince.Sub(until) <= f.minOutage && since.Before(f.reachableSince):
		f.reachableSince = since
	}
	if until.After(f.lastAnswer) {
		f.lastAnswer = until
	}
	return f.reachableSince, !f.reachableSince.Equal(before)
}

// completeVersion adds the era to a version that a peer of an earlier build sent without
// it. Such a version counts in the first era that this VM knew, so that it is an old one
// after a restoration.
func (f *feed) completeVersion(version storer.Version) storer.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.withEra(version)
}

// setEra notes an era of the store.
func (f *feed) setEra(era storer.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstEra == 0 {
		f.firstEra = era
	}
}

// withEra is completeVersion for callers that hold f.mu.
func (f *feed) withEra(version storer.Version) storer.Version {
	if version.Era == 0 && version != storer.Absent {
		version.Era = f.firstEra
	}
	return version
}

// lastConfirmed returns when the store last confirmed the records.
func (f *feed) lastConfirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accountSuspension()
	return f.confirmedAt
}

// ages returns the age of the store's last confirmation, and the greatest age so far.
// Both are 0 before the first confirmation.
func (f *feed) ages(now time.Time) (age, oldest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accountSuspension()
	if f.confirmedAt.IsZero() {
		return 0, 0
	}
	age = now.Sub(f.confirmedAt)
	return age, max(age, f.maxAge)
}

// size returns the bytes of all records.
func (f *feed) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := 0
	for _, r := range f.records {
		size += sizeOf([]storer.Change{{Record: r}})
	}
	return size
}

// dominated reports whether one record has most of the bytes of all. Then the list of the
// records is hardly longer than one change of that record.
func (f *feed) dominated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	largest, total := 0, 0
	for _, r := range f.records {
		size := len(r.Spec) + len(r.Status)
		largest = max(largest, size)
		total += size
	}
	return largest > total/2
}

func (f *feed) setStoreUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeUnreachable != unreachable {
		f.storeUnreachable = unreachable
		f.wakeWaiters()
	}
}

// wakeWaiters wakes all blocked calls of Await. The caller holds f.mu.
func (f *feed) wakeWaiters() {
	close(f.updated)
	f.updated = make(chan struct{})
}

func (d delta) size() int {
	return deltaOverheadBytes + sizeOf(d.changes)
}

// sizeOf returns the size of the records of changes.
func sizeOf(changes []storer.Change) int {
	size := 0
	for _, c := range changes {
		size += len(c.Record.Name) + len(c.Record.Spec) + len(c.Record.Status)
	}
	return size
}

func equalRecords(a, b storer.Record) bool {
	return a.Version == b.Version && bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status)
}
