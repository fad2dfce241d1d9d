package follower_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// heldHandler blocks the next call once hold is set.
type heldHandler struct {
	recorder
	hold    atomic.Bool
	blocked chan struct{}
	release chan struct{}
}

func (h *heldHandler) Apply(changes []storer.Change) error {
	if h.hold.Load() {
		close(h.blocked)
		<-h.release
	}
	return h.recorder.Apply(changes)
}

// TestAppliedAge checks that a confirmation counts only once the handler has processed what it
// confirms, though peers get it before.
func TestAppliedAge(t *testing.T) {
	t.Parallel()
	handler := &heldHandler{blocked: make(chan struct{}), release: make(chan struct{})}
	_, p, clock, f := startHandlerWithPeer(t, handler)
	clock.Advance(time.Second)
	handler.hold.Store(true)
	p.updates <- storer.Update{Changes: []storer.Change{change("second", 2)}, Version: version(2), SeenVersion: version(2), Age: 100 * time.Millisecond}
	<-handler.blocked
	age, _ := f.Age()
	assert.Equal(t, age, 100*time.Millisecond)
	age, ok := f.AppliedAge()
	assert.Assert(t, ok)
	assert.Equal(t, age, time.Second)
	close(handler.release)
	assert.NilError(t, f.AwaitApplied(t.Context(), clock.Now().Add(-200*time.Millisecond)))
	age, _ = f.AppliedAge()
	assert.Equal(t, age, 100*time.Millisecond)
}

// TestPollOnDemand checks that a poll confirms the records at once, also on a VM that follows a
// relay parent, and that nothing is confirmed while the store does not answer.
func TestPollOnDemand(t *testing.T) {
	t.Parallel()
	src, _, _, clock, f := startWithPeer(t)
	src.put("second")
	clock.Advance(time.Millisecond)
	asked := clock.Now().Add(-time.Nanosecond)
	f.Poll()
	assert.NilError(t, f.AwaitApplied(t.Context(), asked))
	assert.Equal(t, f.SeenVersion(), version(2))
	src.mu.Lock()
	assert.Equal(t, src.polls, 1)
	assert.Equal(t, src.lists, 0)
	src.mu.Unlock()

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.AwaitApplied(ctx, clock.Now()) }()
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
}

// missChanges makes a change of which the store's watches bring nothing. It returns when it was made.
func (s *source) missChanges(name string) time.Time {
	s.mu.Lock()
	s.dropEvents, s.deaf = true, true
	s.mu.Unlock()
	s.put(name)
	return s.clock.Now()
}

// TestPollMissesChange guards against a poll that confirms records without a change that the
// store's watches miss.
func TestPollMissesChange(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		start func() (*source, *recorder, *clockwork.FakeClock, *follower.Follower)
	}{
		{"relay root", func() (*source, *recorder, *clockwork.FakeClock, *follower.Follower) {
			return startFollower(t, follower.WithListConfirmations())
		}},
		{"relay parent", func() (*source, *recorder, *clockwork.FakeClock, *follower.Follower) {
			src, _, handler, clock, f := startWithPeer(t, follower.WithListConfirmations())
			return src, handler, clock, f
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			src, handler, clock, f := tc.start()
			changed := src.missChanges("missed")
			clock.Advance(time.Millisecond)
			f.Poll()
			advanceUntil(t, clock, func(l poll.LogT) poll.Result {
				if age, _ := f.AppliedAge(); age >= clock.Since(changed) {
					return poll.Continue("confirmed %s ago", age)
				}
				if !handler.has("missed")(l).Done() {
					return poll.Error(errors.New("confirmed without the change"))
				}
				return poll.Success()
			})
		})
	}
}

// TestMissedChangeIsNotConfirmed guards against watches that confirm records without a change that
// they miss. The VM reads the store itself, from the start or once its relay parent is silent.
func TestMissedChangeIsNotConfirmed(t *testing.T) {
	t.Parallel()
	for _, silentParent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent parent %v", silentParent), func(t *testing.T) {
			t.Parallel()
			var (
				src     *source
				handler *recorder
				clock   *clockwork.FakeClock
				f       *follower.Follower
			)
			if silentParent {
				src, _, handler, clock, f = startWithPeer(t, follower.WithListConfirmations())
			} else {
				src, handler, clock, f = startFollower(t, follower.WithListConfirmations())
			}
			clock.Advance(100 * time.Millisecond)
			changed := src.missChanges("missed")
			advanceUntil(t, clock, func(l poll.LogT) poll.Result {
				age, _ := f.AppliedAge()
				result := handler.has("missed")(l)
				if !result.Done() && age < clock.Since(changed) {
					return poll.Error(errors.Newf("confirmed %s after the change, without it", clock.Since(changed)-age))
				}
				return result
			})
			assert.Assert(t, clock.Since(changed) < shortestMaxDelay, "known after %s", clock.Since(changed))
		})
	}
}

// TestListNotifiesPeers checks that a relay root notifies its peers of a change that only a list has
// brought, and not of lists without changes.
func TestListNotifiesPeers(t *testing.T) {
	t.Parallel()
	notified := make(chan struct{}, 8)
	src, handler, clock, f := startFollower(t, follower.WithListConfirmations(), follower.WithPeerNotifier(func() { notified <- struct{}{} }))
	<-notified
	begun := clock.Now()
	advanceUntil(t, clock, func(poll.LogT) poll.Result {
		if age, _ := f.AppliedAge(); age >= clock.Since(begun) {
			return poll.Continue("confirmed %s ago", age)
		}
		return poll.Success()
	})
	assert.Equal(t, len(notified), 0, "peers were notified without a change")
	src.missChanges("missed")
	advanceUntil(t, clock, handler.has("missed"))
	select {
	case <-notified:
	case <-time.After(10 * time.Second):
		t.Fatal("peers were not notified of the missed change")
	}
}

// refusingHandler can't take over records while refuse is set.
type refusingHandler struct {
	recorder
	refuse atomic.Bool
}

func (h *refusingHandler) Apply(changes []storer.Change) error {
	if h.refuse.Load() {
		return errors.New("refused")
	}
	return h.recorder.Apply(changes)
}

// TestRefusedRecordsAreNotConfirmed guards against confirmations of records that the handler could
// not take over, which would hide that it still uses older ones. Peers are told of the confirmation.
func TestRefusedRecordsAreNotConfirmed(t *testing.T) {
	t.Parallel()
	handler := &refusingHandler{}
	_, p, clock, f := startHandlerWithPeer(t, handler)
	handler.refuse.Store(true)
	clock.Advance(time.Second)
	p.updates <- storer.Update{Changes: []storer.Change{change("second", 2)}, Version: version(2), SeenVersion: version(2)}
	poll.WaitOn(t, hasSeen(f, version(2)))
	clock.Advance(time.Second)
	p.updates <- storer.Update{Version: version(3), SeenVersion: version(3)}
	poll.WaitOn(t, hasSeen(f, version(3)))
	age, _ := f.AppliedAge()
	assert.Equal(t, age, 2*time.Second)
	age, _ = f.Age()
	assert.Equal(t, age, time.Duration(0))

	handler.refuse.Store(false)
	p.updates <- storer.Update{Changes: []storer.Change{change("fourth", 4)}, Version: version(4), SeenVersion: version(4)}
	poll.WaitOn(t, hasSeen(f, version(4)))
	age, _ = f.AppliedAge()
	assert.Equal(t, age, time.Duration(0))
}

// TestSuspensionAgesConfirmation checks that the age of a confirmation includes the time for which
// the machine was suspended since, also towards peers, until the next confirmation.
func TestSuspensionAgesConfirmation(t *testing.T) {
	t.Parallel()
	var suspended atomic.Int64
	_, p, _, clock, f := startWithPeer(t, follower.WithSuspension(func() time.Duration { return time.Duration(suspended.Load()) }))
	suspended.Store(int64(time.Minute))
	clock.Advance(time.Second)
	for _, age := range []func() time.Duration{
		func() time.Duration { age, _ := f.Age(); return age },
		func() time.Duration { age, _ := f.AppliedAge(); return age },
		func() time.Duration {
			u, _, err := f.Await(t.Context(), follower.Position{})
			assert.NilError(t, err)
			return u.Age
		},
	} {
		assert.Equal(t, age(), 61*time.Second)
	}
	// The update that the follower was waiting for during the suspension counts as before it.
	p.updates <- storer.Update{Version: version(2), SeenVersion: version(2)}
	p.updates <- storer.Update{Version: version(3), SeenVersion: version(3)}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if age, _ := f.AppliedAge(); age != 0 {
			return poll.Continue("age %s", age)
		}
		return poll.Success()
	})
}
