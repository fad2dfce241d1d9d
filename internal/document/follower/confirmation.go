package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// The origins of a confirmation. They appear in logs and metrics.
const (
	ListOrigin  Origin = "list"
	WatchOrigin Origin = "watch"
	PollOrigin  Origin = "poll"
	PeerOrigin  Origin = "peer"
)

// Origin is what brought a confirmation by the store: a list, a watch, a watch that did not
// wait, or a relay parent's update.
type Origin string

// WithSuspension sets the function that returns for how long the machine has been suspended.
// The age of a confirmation includes that time.
func WithSuspension(suspended func() time.Duration) Option {
	return func(f *Follower) { f.suspended = suspended }
}

// AppliedAge returns how long ago the store confirmed what the handler has processed, or
// false before the first confirmation. Unlike Age, it does not count a confirmation that the
// handler is still processing.
func (f *Follower) AppliedAge() (time.Duration, bool) {
	at := f.feed.lastApplied()
	return f.clock.Since(at), !at.IsZero()
}

// ageText returns AppliedAge for the log, or "none" before the first confirmation.
func (f *Follower) ageText() string {
	age, confirmed := f.AppliedAge()
	if !confirmed {
		return "none"
	}
	return age.String()
}

// WithListConfirmations makes only lists confirm the records, since a watch may miss changes
// without an error. A relay root, and a VM without updates of its relay parent, then lists the
// records when their last confirmation is listAgeFraction of the maximum delay old.
func WithListConfirmations() Option {
	return func(f *Follower) { f.listsConfirm = true }
}

// ConfirmedBy returns the origin of the last confirmation of what the handler has processed. It is
// empty before the first.
func (f *Follower) ConfirmedBy() Origin {
	f.feed.mu.Lock()
	defer f.feed.mu.Unlock()
	return f.feed.appliedBy
}

// Poll makes this VM ask the store for changes at once, by a call whose answer confirms the
// records: a list where only lists do, or else a watch that does not wait. A poll
// that is under way is followed by another one. Poll does nothing during the backoff after a
// failed call, and while this VM has no records at all.
func (f *Follower) Poll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen == storer.Absent || f.clock.Now().Before(f.retryAt) {
		return
	}
	f.refreshDue = true
	if f.cancel != nil && !f.polling {
		f.cancel(errInterrupted)
	}
}

// AwaitApplied blocks until the handler has processed what the store confirmed after a time.
func (f *Follower) AwaitApplied(ctx context.Context, after time.Time) error {
	for {
		updated := f.feed.updates()
		if f.feed.lastApplied().After(after) {
			return nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting for a confirmation by the store")
		}
	}
}

// beginConfirmation returns the confirmation that begins now.
func (f *Follower) beginConfirmation(by Origin) confirmation {
	suspended := f.feed.suspended()
	return confirmation{at: f.clock.Now(), suspended: suspended, by: by}
}

// watchOrigin returns the origin of a watch's confirmation.
func watchOrigin(polls bool) Origin {
	if polls {
		return PollOrigin
	}
	return WatchOrigin
}

// markApplied records that the handler has processed what a confirmation covers.
func (f *feed) markApplied(c confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.timeOf(c); at.After(f.appliedAt) {
		f.appliedAt, f.appliedBy = at, c.by
	}
	f.wakeWaiters()
}

// lastApplied returns the time of the last confirmation of what the handler has processed.
func (f *feed) lastApplied() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accountSuspension()
	return f.appliedAt
}

// updates returns a channel that is closed at the next confirmation.
func (f *feed) updates() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.updated
}

// timeOf returns the time of a confirmation, earlier by the suspensions since it began. It is zero
// for an answer that confirms nothing. The caller holds f.mu.
func (f *feed) timeOf(c confirmation) time.Time {
	f.accountSuspension()
	if c.at.IsZero() {
		return time.Time{}
	}
	return c.at.Add(c.suspended - f.accounted)
}

// accountSuspension makes the confirmations older by the suspensions since the last call. The
// caller holds f.mu.
func (f *feed) accountSuspension() {
	total := f.suspended()
	passed := total - f.accounted
	if passed <= 0 {
		return
	}
	f.accounted = total
	for _, at := range []*time.Time{&f.confirmedAt, &f.appliedAt} {
		if !at.IsZero() {
			*at = at.Add(-passed)
		}
	}
}
