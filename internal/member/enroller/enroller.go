// Package enroller adds this VM to the platform's VM list, in which VMs that know no peer
// find the others.
//
// # Usage
//
//	e := enroller.New(store, self, clock, log)
//	go e.Serve(ctx)
//	defer e.Withdraw(ctx)
package enroller

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// retryInterval is the delay before a failed write is retried.
const retryInterval = time.Second

type (
	// VMList is the platform's VM list.
	VMList interface {
		Enroll(ctx context.Context, vm storer.ListedVM) error
		Withdraw(ctx context.Context, vm namer.VM) error
	}

	// Enroller adds one VM to the list and removes it.
	Enroller struct {
		list  VMList
		self  storer.ListedVM
		clock clockwork.Clock
		log   *slog.Logger
	}
)

// New returns an enroller for the VM self.
func New(list VMList, self storer.ListedVM, clock clockwork.Clock, log *slog.Logger) *Enroller {
	return &Enroller{list: list, self: self, clock: clock, log: log}
}

// Serve adds the VM to the list, retrying until the write succeeds, and then waits until
// ctx ends.
func (e *Enroller) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := e.list.Enroll(ctx, e.self)
		if err == nil {
			e.log.Info("enrolled", "peers", e.self.PeerAddress)
			<-ctx.Done()
			return nil
		}
		e.log.Warn("writing to the VM list failed; retrying", "reason", err.Error())
		select {
		case <-ctx.Done():
		case <-e.clock.After(retryInterval):
		}
	}
	return nil
}

// Withdraw removes the VM from the list.
func (e *Enroller) Withdraw(ctx context.Context) error {
	return e.list.Withdraw(ctx, e.self.VM)
}
