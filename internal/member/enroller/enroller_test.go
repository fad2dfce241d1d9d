package enroller_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/enroller"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// list is a fake VM list of a store.
type list struct {
	mu      sync.Mutex
	era     storer.Era
	listed  bool
	writes  int
	failing error
}

// Enroll implements enroller.VMList.
func (l *list) Enroll(context.Context, storer.ListedVM) (storer.Era, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
	if l.failing != nil {
		return 0, l.failing
	}
	l.listed = true
	return l.era, nil
}

// Withdraw implements enroller.VMList.
func (l *list) Withdraw(context.Context, namer.VM) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = false
	return nil
}

// restore begins a new era without the VM's record.
func (l *list) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	l.listed = false
}

func (l *list) latestEra() storer.Era {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

func (l *list) isListed(poll.LogT) poll.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed {
		return poll.Success()
	}
	return poll.Continue("not on the list after %d writes", l.writes)
}

func start(t *testing.T, l *list) *clockwork.FakeClock {
	t.Helper()
	clock := clockwork.NewFakeClock()
	e := enroller.New(l, storer.ListedVM{VM: "vm-1"}, l.latestEra, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return clock
}

// advance advances the clock by seconds, one timer at a time.
func advance(t *testing.T, clock *clockwork.FakeClock, seconds int) {
	t.Helper()
	for range seconds {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(time.Second)
	}
}

// TestVMLostFromListAfterRestore has the store come back from a copy without the VM's record. VMs
// that start later must find the VM again.
func TestVMLostFromListAfterRestore(t *testing.T) {
	t.Parallel()
	l := &list{era: 1}
	clock := start(t, l)
	poll.WaitOn(t, l.isListed)
	advance(t, clock, 60)
	l.mu.Lock()
	assert.Equal(t, l.writes, 1)
	l.failing = errors.New("busy")
	l.mu.Unlock()
	l.restore()
	advance(t, clock, 25)
	l.mu.Lock()
	assert.Assert(t, l.writes > 1, "no write within 25 s")
	l.failing = nil
	l.mu.Unlock()
	advance(t, clock, 2)
	poll.WaitOn(t, l.isListed)
}

// TestWithdrawnVMStaysOffList restores the store while the VM shuts down. The VM must not add itself
// again, and goes on running.
func TestWithdrawnVMStaysOffList(t *testing.T) {
	t.Parallel()
	l := &list{era: 1}
	clock := clockwork.NewFakeClock()
	e := enroller.New(l, storer.ListedVM{VM: "vm-1"}, l.latestEra, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	poll.WaitOn(t, l.isListed)
	assert.NilError(t, e.Withdraw(t.Context()))
	l.restore()
	for range 2 {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(25 * time.Second)
	}
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(done), 0, "the enroller ended, which ends the process")
	l.mu.Lock()
	assert.Equal(t, l.writes, 1)
	l.mu.Unlock()
	cancel()
	assert.NilError(t, <-done)
}

// slowList is a VM list whose store takes a while to add a VM.
type slowList struct {
	list
	enrolling, proceed chan struct{}
}

// Enroll implements enroller.VMList.
func (l *slowList) Enroll(ctx context.Context, vm storer.ListedVM) (storer.Era, error) {
	l.enrolling <- struct{}{}
	<-l.proceed
	return l.list.Enroll(ctx, vm)
}

// startSlow starts an enroller on a list whose store does not proceed yet.
func startSlow(t *testing.T) (l *slowList, e *enroller.Enroller) {
	t.Helper()
	l = &slowList{enrolling: make(chan struct{}), proceed: make(chan struct{})}
	e = enroller.New(l, storer.ListedVM{VM: "vm-1"}, l.latestEra, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	<-l.enrolling
	return l, e
}

// TestWithdrawWhileEnrolling guards against a VM that stays on the list after it has ended, because
// it was withdrawn while a write that adds it was in progress.
func TestWithdrawWhileEnrolling(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l, e := startSlow(t)
		withdrawn := make(chan error, 1)
		go func() { withdrawn <- e.Withdraw(t.Context()) }()
		synctest.Wait()
		close(l.proceed)
		assert.NilError(t, <-withdrawn)
		synctest.Wait()
		assert.Assert(t, !l.listed)
	})
}

// TestWithdrawWithSlowStore guards against a stop that outlasts its time because a write that adds
// the VM gets no response.
func TestWithdrawWithSlowStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l, e := startSlow(t)
		defer close(l.proceed)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, e.Withdraw(ctx), context.DeadlineExceeded)
	})
}
