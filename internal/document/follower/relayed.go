package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// What is to be done after a peer was followed.
const (
	// leads says that this VM is to ask the store, for as long as it leads.
	leads turn = iota
	// asks says that this VM is to ask the store once.
	asks
	// switches says that another peer is to be followed now, and that nothing was
	// missed.
	switches
)

var (
	// ErrRelayRoot says that a VM follows nobody and asks the store itself.
	ErrRelayRoot = errors.New("this VM asks the store itself")

	errBehind   = errors.New("the peer knows less than this VM")
	errStale    = errors.New("the peer's word is too old")
	errPeerAway = errors.New("the store does not answer the peer")
)

type (
	// turn is what is to be done next.
	turn int

	// Relay opens another VM's updates.
	Relay interface {
		// WaitForPeer waits until this VM knows a peer, or has had the time to.
		WaitForPeer(ctx context.Context)
		// Open returns the updates of a kind after a version. It returns ErrLead
		// on a VM that is to ask the store itself.
		Open(ctx context.Context, kind storer.Kind, since storer.Version) (Updates, error)
	}

	// Updates is what a peer tells.
	Updates interface {
		// Next waits for the next update.
		Next() (storer.Update, error)
		// Peer returns the peer, and whether it is still the one to follow.
		Peer() (namer.VM, bool)
		Close()
	}
)

// follow takes a peer's updates until they end or are not fresh any more.
func (f *Follower) follow(parent context.Context) turn {
	if f.relay == nil {
		return leads
	}
	if !f.listed {
		f.relay.WaitForPeer(parent)
	}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	if !f.beginFollow(cancel) {
		return asks
	}
	defer f.end()
	since := f.since
	if !f.listed {
		since = 0
	}
	stale := f.clock.AfterFunc(f.patience(), cancel)
	defer func() { stale.Stop() }()
	updates, err := f.relay.Open(ctx, f.kind, since)
	if err != nil {
		return f.unfollow(err)
	}
	defer updates.Close()
	if !f.listed {
		stale.Stop()
		stale = f.clock.AfterFunc(firstWait, cancel)
	}
	moved := f.watchGuide(ctx, updates, cancel)
	for {
		u, err := updates.Next()
		if err != nil && moved.Load() {
			return switches
		}
		if err != nil {
			return f.unfollow(err)
		}
		peer, current := updates.Peer()
		f.noteFollowed(peer)
		left := f.staleTime() - u.Age
		if err := f.refusal(u, left); err != nil {
			return f.unfollow(err)
		}
		if left > 0 && !u.Away {
			stale.Stop()
			stale = f.clock.AfterFunc(left, cancel)
		}
		f.take(u)
		// While the store may not be asked, even such a peer is listened to.
		mayAsk := f.resting() <= 0
		switch {
		case left <= 0 && mayAsk:
			return f.unfollow(errStale)
		case u.Away && mayAsk:
			return f.unfollow(errPeerAway)
		case !current:
			return switches
		}
	}
}

// watchGuide ends the following when another peer is to be followed, and notes that. A peer
// that says nothing may be waiting for this VM in turn.
func (f *Follower) watchGuide(ctx context.Context, updates Updates, cancel context.CancelFunc) *atomic.Bool {
	moved := new(atomic.Bool)
	ticker := f.clock.NewTicker(guideTime)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
			}
			if _, current := updates.Peer(); !current {
				moved.Store(true)
				cancel()
				return
			}
		}
	}()
	return moved
}

// refusal returns why a VM that knew something before does not take all records of a peer,
// where left is how long they stay fresh, or nil.
func (f *Follower) refusal(u storer.Update, left time.Duration) error {
	switch {
	case !u.All || f.since == 0:
		return nil
	case u.At < f.since:
		// They would bring back what was removed since.
		return errBehind
	case left <= 0:
		// They would lead back to the history that the store has just dropped.
		return errStale
	}
	return nil
}

// take applies a peer's update.
func (f *Follower) take(u storer.Update) {
	if !u.Away {
		f.feed.setAway(false)
	}
	now := f.clock.Now()
	fresh := now.Add(-u.Age)
	f.reach(fresh.Add(-u.Steady), fresh)
	if u.All || len(u.Changes) > 0 {
		f.logLearned(len(u.Changes), u.At, u.Age)
	}
	f.since = max(f.since, u.At)
	if u.All {
		records := make([]storer.Record, len(u.Changes))
		for i, c := range u.Changes {
			records[i] = c.Record
		}
		f.listed = true
		f.handler.Reset(records)
		f.sees(u.Seen)
		f.feed.replace(now, records, f.since, fresh)
		return
	}
	if len(u.Changes) > 0 {
		f.handler.Apply(u.Changes)
	}
	f.sees(u.Seen)
	f.feed.add(now, u.Changes, f.since, fresh)
}

// patience returns how long a peer may take to say something. What is known must not
// become stale meanwhile; where it is stale already, a peer may still know more than the
// store tells this VM.
func (f *Follower) patience() time.Duration {
	if !f.listed {
		return firstTime
	}
	return max(firstTime, f.staleTime()-f.clock.Since(f.feed.confirmed()), f.resting())
}

func (f *Follower) staleTime() time.Duration {
	return time.Duration(stalePart * float64(f.bound))
}

// beginFollow lets a look end the following, and reports whether none is due.
func (f *Follower) beginFollow(cancel context.CancelFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.look {
		return false
	}
	f.cancel = cancel
	return true
}

func (f *Follower) noteFollowed(peer namer.VM) {
	if f.followed != peer {
		f.log.Info("peer followed", "peer", string(peer), "since", uint64(f.since))
	}
	f.followed = peer
}

// unfollow tells once that a VM turns from its peer to the store.
func (f *Follower) unfollow(err error) turn {
	if f.followed != "" {
		f.log.Info("peer not followed", "peer", string(f.followed), "since", uint64(f.since), "reason", err.Error())
	}
	f.followed = ""
	if errors.Is(err, ErrRelayRoot) {
		return leads
	}
	return asks
}
