// Package enroller writes this VM into the platform's list, so that VMs which
// know nobody find the others there.
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

// retryTime is the pause before a write that failed is tried again.
const retryTime = time.Second

type (
	// VMList is the platform's list of VMs.
	VMList interface {
		Enroll(ctx context.Context, vm storer.ListedVM) error
		Withdraw(ctx context.Context, vm namer.VM) error
	}

	// Enroller writes one VM into the list.
	Enroller struct {
		list  VMList
		self  storer.ListedVM
		clock clockwork.Clock
		log   *slog.Logger
	}
)

// New returns an enroller of a VM.
func New(list VMList, self storer.ListedVM, clock clockwork.Clock, log *slog.Logger) *Enroller {
	return &Enroller{list: list, self: self, clock: clock, log: log}
}

// Serve writes the VM once, and again until that has worked.
func (e *Enroller) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := e.list.Enroll(ctx, e.self)
		if err == nil {
			e.log.Info("enrolled", "peers", e.self.Peers)
			<-ctx.Done()
			return nil
		}
		e.log.Warn("not enrolled", "reason", err.Error())
		select {
		case <-ctx.Done():
		case <-e.clock.After(retryTime):
		}
	}
	return nil
}

// Withdraw removes the VM.
func (e *Enroller) Withdraw(ctx context.Context) error {
	return e.list.Withdraw(ctx, e.self.VM)
}
