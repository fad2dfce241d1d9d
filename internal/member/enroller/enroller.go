// Package enroller writes this VM into the platform's store, so that VMs which
// know nobody find the others there, and reads who else is written there.
//
// # Usage
//
//	e := enroller.New(calls, self, clock, log)
//	go e.Serve(ctx)
//	vms, err := e.VMs(ctx)
package enroller

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// Kind holds one record for each entry VM.
const Kind storer.Kind = "entryvms"

// retryTime is the pause before a write that failed is tried again.
const retryTime = time.Second

type (
	// Enroller writes and reads the list of VMs.
	Enroller struct {
		calls storer.Calls
		self  storer.ListedVM
		clock clockwork.Clock
		log   *slog.Logger
	}
)

// New returns an enroller of this VM.
func New(calls storer.Calls, self storer.ListedVM, clock clockwork.Clock, log *slog.Logger) *Enroller {
	return &Enroller{calls: calls, self: self, clock: clock, log: log}
}

// Serve writes this VM's record once, and again until that has worked.
func (e *Enroller) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := e.write(ctx)
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

// Withdraw removes this VM's record.
func (e *Enroller) Withdraw(ctx context.Context) error {
	err := e.calls.Delete(ctx, Kind, string(e.self.VM))
	if errors.Is(err, storer.ErrMissing) {
		return nil
	}
	return err
}

// VMs returns the VMs that are written in the store, this one left out.
func (e *Enroller) VMs(ctx context.Context) ([]storer.ListedVM, error) {
	var vms []storer.ListedVM
	after := ""
	for {
		page, err := e.calls.List(ctx, Kind, after)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			after = r.Name
			var vm storer.ListedVM
			if err := json.Unmarshal(r.Spec, &vm); err != nil {
				e.log.Warn("entry VM unreadable", "entry", r.Name, "reason", err.Error())
				continue
			}
			if vm.VM != e.self.VM {
				vms = append(vms, vm)
			}
		}
		if !page.More || len(page.Records) == 0 {
			return vms, nil
		}
	}
}

// write creates the record, or replaces that of an earlier process.
func (e *Enroller) write(ctx context.Context) error {
	spec, err := json.Marshal(e.self)
	if err != nil {
		return errors.Wrap(err, "encoding this VM's record")
	}
	_, err = e.calls.Create(ctx, Kind, string(e.self.VM), spec)
	if !errors.Is(err, storer.ErrConflict) {
		return err
	}
	old, err := e.calls.Read(ctx, Kind, string(e.self.VM))
	if err != nil {
		return err
	}
	_, err = e.calls.Replace(ctx, Kind, string(e.self.VM), spec, old.Version)
	return err
}
