package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// The next steps after the relay parent's updates ended.
const (
	// readStore means that this VM is the relay root and keeps asking the store.
	readStore nextStep = iota
	// askStoreOnce means that this VM calls the store once and then follows its relay
	// parent again.
	askStoreOnce
	// switchParent means that another relay parent is to be followed at once, without a call
	// to the store, since nothing was missed.
	switchParent
)

var (
	// ErrRelayRoot is returned on a relay root, a VM that reads the store itself.
	ErrRelayRoot = errors.New("this VM asks the store itself")

	errParentRestored         = errors.New("the peer's changes are from after the store was restored, this VM's records from before")
	errParentBehind           = errors.New("the peer's records are older than this VM's")
	errParentStale            = errors.New("the last confirmation by the store that the peer reports is too old")
	errParentStoreUnreachable = errors.New("the store does not answer the peer")
	errParentSilent           = errors.New("no update in time")
	errParentChanged          = errors.New("this VM has another relay parent")
)

type (
	// nextStep is what a follower does after the relay parent's updates ended.
	nextStep int

	// Relay opens the updates of this VM's relay parent.
	Relay interface {
		// WaitForPeer blocks until this VM knows a peer or a timeout has passed.
		WaitForPeer(ctx context.Context)
		// Open returns the updates of a kind after a version. It returns ErrRelayRoot
		// on a relay root.
		Open(ctx context.Context, kind storer.Kind, since storer.Version) (Updates, error)
	}

	// Updates is a stream of a relay parent's updates.
	Updates interface {
		// Next blocks until the next update.
		Next() (storer.Update, error)
		// Peer returns the VM that sends the updates, and whether it is still this VM's
		// relay parent.
		Peer() (namer.VM, bool)
		Close()
	}
)

// follow applies the relay parent's updates until they end, this VM has another relay
// parent, or it has to ask the store itself.
func (f *Follower) follow(parent context.Context) nextStep {
	if f.relay == nil {
		return readStore
	}
	if !f.listed {
		f.relay.WaitForPeer(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	if !f.beginFollow(cancel) {
		return askStoreOnce
	}
	defer f.end()
	giveUp := func() { cancel(errParentSilent) }
	since := f.since
	if !f.listed {
		since = storer.Absent
	}
	timeout := f.clock.AfterFunc(f.parentTimeout(), giveUp)
	defer func() { timeout.Stop() }()
	updates, err := f.relay.Open(ctx, f.kind, since)
	if err != nil {
		return f.unfollow(causeOf(ctx, err))
	}
	defer updates.Close()
	if !f.listed {
		timeout.Stop()
		timeout = f.clock.AfterFunc(initialRecordsTimeout, giveUp)
	}
	f.watchParentChange(ctx, updates, cancel)
	for {
		// A suspension while this VM waits counts twice, until the next update.
		suspended := f.feed.suspended()
		u, err := updates.Next()
		if err != nil {
			err = causeOf(ctx, err)
			if errors.Is(err, errParentChanged) {
				return switchParent
			}
			return f.unfollow(err)
		}
		peer, current := updates.Peer()
		f.setParent(peer)
		left := f.staleAge() - u.Age
		f.completeUpdate(&u)
		if err := f.checkUpdate(u, left); err != nil {
			return f.unfollow(err)
		}
		if left > 0 && !u.StoreUnreachable {
			timeout.Stop()
			timeout = f.clock.AfterFunc(left, giveUp)
		}
		f.applyUpdate(u, suspended)
		// During the backoff, stale updates, or those of a relay parent that the store does
		// not answer, are still better than none.
		mayAsk := f.backoffLeft() <= 0
		switch {
		case left <= 0 && mayAsk:
			return f.unfollow(errParentStale)
		case u.StoreUnreachable && mayAsk:
			return f.unfollow(errParentStoreUnreachable)
		case !current:
			return switchParent
		}
	}
}

// causeOf returns why a call was canceled, or its error if it was not.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// watchParentChange cancels the updates when this VM has another relay parent. It does not
// wait for an update, since a silent relay parent may in turn be following this VM.
func (f *Follower) watchParentChange(ctx context.Context, updates Updates, cancel context.CancelCauseFunc) {
	ticker := f.clock.NewTicker(parentCheckInterval)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
			}
			if _, current := updates.Peer(); !current {
				cancel(errParentChanged)
				return
			}
		}
	}()
}

// completeUpdate adds the era to the versions in an update of a peer of an earlier build.
func (f *Follower) completeUpdate(u *storer.Update) {
	if u.Version.Era != 0 {
		return
	}
	u.Version = f.feed.completeVersion(u.Version)
	u.SeenVersion = f.feed.completeVersion(u.SeenVersion)
	for i := range u.Changes {
		u.Changes[i].Record.Version = f.feed.completeVersion(u.Changes[i].Record.Version)
	}
}

// checkUpdate returns why this VM, which had records before, must not apply the relay
// parent's update; nil if it may. left is the time until the update is stale.
func (f *Follower) checkUpdate(u storer.Update, left time.Duration) error {
	switch {
	case u.Version.Era < f.era:
		// Its records, and its confirmations, are from before the store was restored.
		return errParentBehind
	case !u.Full && f.listed && u.Version.Era > f.since.Era:
		// Changes of another era don't apply to this VM's records.
		return errParentRestored
	case !u.Full || f.since == storer.Absent:
		return nil
	case u.Version.Before(f.since):
		// The snapshot would restore records that were removed since.
		return errParentBehind
	case left <= 0:
		// The next watch would begin in the change history that the store has just
		// dropped.
		return errParentStale
	}
	return nil
}

func (f *Follower) applyUpdate(u storer.Update, suspended time.Duration) {
	if !u.StoreUnreachable {
		f.feed.setStoreUnreachable(false)
	}
	now := f.clock.Now()
	confirmedAt := now.Add(-u.Age)
	confirmed := confirmation{at: confirmedAt, suspended: suspended, by: PeerOrigin}
	f.noteEra(u.Version)
	f.markReachable(u.Version.Era, confirmedAt.Add(-u.StoreReachableFor), confirmedAt)
	f.since = f.since.Later(u.Version)
	if u.Full {
		records := make([]storer.Record, len(u.Changes))
		for i, c := range u.Changes {
			records[i] = c.Record
		}
		f.listed = true
		f.feed.replace(now, records, f.since, u.SeenVersion, confirmed)
		f.apply(confirmed, u.SeenVersion, true, func() error {
			err := f.handler.Reset(records)
			f.logLearned(u.Changes, u.Version, u.Age, now)
			return err
		})
		return
	}
	f.feed.add(now, u.Changes, f.since, u.SeenVersion, confirmed)
	f.apply(confirmed, u.SeenVersion, len(u.Changes) > 0, func() error {
		err := f.handler.Apply(u.Changes)
		f.logLearned(u.Changes, u.Version, u.Age, now)
		return err
	})
}

// parentTimeout returns how long to wait for the relay parent's first update. It ends before
// the records of this VM become stale, but lasts at least minParentTimeout and the backoff:
// when the records are stale already, the relay parent may still have later ones while the
// store does not answer this VM.
func (f *Follower) parentTimeout() time.Duration {
	if !f.listed {
		return minParentTimeout
	}
	return max(minParentTimeout, f.staleAge()-f.clock.Since(f.feed.lastConfirmed()), f.backoffLeft())
}

// staleAge returns the age of the store's last confirmation at which records are stale.
func (f *Follower) staleAge() time.Duration {
	return time.Duration(staleFraction * float64(f.maxDelay))
}

// beginFollow lets a poll cancel the updates. It reports false when a poll is due
// already.
func (f *Follower) beginFollow(cancel context.CancelCauseFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pollDue || f.refreshDue {
		return false
	}
	f.cancel = cancel
	return true
}

// setParent sets the relay parent whose updates are applied, and logs a change.
func (f *Follower) setParent(peer namer.VM) {
	if f.parent != peer {
		f.log.Info("peer followed", "peer", string(peer), "since", f.since)
	}
	f.parent = peer
}

// unfollow clears the relay parent, logs why if there was one, and returns the next step.
func (f *Follower) unfollow(err error) nextStep {
	if f.parent != "" {
		f.log.Info("peer not followed", "peer", string(f.parent), "since", f.since, "reason", err.Error())
	}
	f.parent = ""
	if errors.Is(err, ErrRelayRoot) {
		return readStore
	}
	return askStoreOnce
}
