package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

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

func (h *heldHandler) Apply(changes []storer.Change) {
	if h.hold.Load() {
		close(h.blocked)
		<-h.release
	}
	h.recorder.Apply(changes)
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
