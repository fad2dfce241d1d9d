// Package enroller adds this VM to the platform's VM list, in which VMs that know no peer
// find the others. It adds the VM again after a restoration of the store from an older copy,
// which may lack the VM's record.
//
// # Usage
//
//	e := enroller.New(store, self, era, clock, log)
//	go e.Serve(ctx)
//	defer e.Withdraw(ctx)
package enroller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// retryInterval is the delay before a failed write is retried.
	retryInterval = time.Second
	// eraCheckInterval is how often the enroller checks whether the store was restored.
	eraCheckInterval = time.Second
	// maxEnrollDelay limits the random delay after a restoration, which all VMs notice at about
	// the same time. The store limits the rate of writes.
	maxEnrollDelay = 20 * time.Second
)

// errWithdrawn is returned for a VM that is not added because it was withdrawn.
var errWithdrawn = errors.New("the VM was withdrawn")

type (
	// VMList is the platform's VM list.
	VMList interface {
		Enroll(ctx context.Context, vm storer.ListedVM) (storer.Era, error)
		Withdraw(ctx context.Context, vm namer.VM) error
	}

	// LatestEra returns the latest era of the store that this VM knows.
	LatestEra func() storer.Era

	// Enroller adds one VM to the list and removes it.
	Enroller struct {
		list      VMList
		self      storer.ListedVM
		latestEra LatestEra
		clock     clockwork.Clock
		log       *slog.Logger
		withdrawn atomic.Bool
		// writing holds a value while the list is written. Another write waits for it, since
		// the store may apply writes in progress in any order.
		writing chan struct{}
	}
)

// New returns an enroller for the VM self.
func New(list VMList, self storer.ListedVM, era LatestEra, clock clockwork.Clock, log *slog.Logger) *Enroller {
	return &Enroller{list: list, self: self, latestEra: era, clock: clock, log: log, writing: make(chan struct{}, 1)}
}

// Serve adds the VM to the list at the start and after each restoration of the store, until
// ctx ends or the VM is withdrawn. It retries until the write succeeds, and returns when ctx
// ends.
func (e *Enroller) Serve(ctx context.Context) error {
	for ctx.Err() == nil && !e.withdrawn.Load() {
		era, err := e.enroll(ctx)
		if errors.Is(err, errWithdrawn) {
			break
		}
		if err != nil {
			e.log.Warn("writing to the VM list failed; retrying", "reason", err.Error())
			e.sleep(ctx, retryInterval)
			continue
		}
		e.log.Info("enrolled", "peers", e.self.PeerAddress)
		for ctx.Err() == nil && e.latestEra() <= era {
			e.sleep(ctx, eraCheckInterval)
		}
		e.sleep(ctx, rand.N(maxEnrollDelay))
	}
	<-ctx.Done()
	return nil
}

// enroll adds the VM to the list unless it was withdrawn.
func (e *Enroller) enroll(ctx context.Context) (storer.Era, error) {
	e.writing <- struct{}{}
	defer func() { <-e.writing }()
	if e.withdrawn.Load() {
		return 0, errWithdrawn
	}
	return e.list.Enroll(ctx, e.self)
}

// sleep waits for d or until ctx ends.
func (e *Enroller) sleep(ctx context.Context, d time.Duration) {
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// Withdraw removes the VM from the list for good. It waits for a write that adds the VM until
// ctx ends.
func (e *Enroller) Withdraw(ctx context.Context) error {
	e.withdrawn.Store(true)
	select {
	case e.writing <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for the write that adds the VM")
	}
	defer func() { <-e.writing }()
	return e.list.Withdraw(ctx, e.self.VM)
}
