package claimer

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// retryInterval is how long a VM without an ordinal waits before it tries again. A
// VM that holds one makes no more calls.
const retryInterval = time.Second

type (
	// Platform is the part of the platform's object API that claiming needs.
	Platform interface {
		Get(ctx context.Context, key string) (storer.Object, error)
		Put(ctx context.Context, key string, body []byte, version storer.Version) (storer.Version, error)
		VMs(ctx context.Context) ([]storer.ListedVM, error)
	}

	// DocumentSource returns the current steering document.
	DocumentSource interface {
		Current() *keeper.Snapshot
	}

	// Self identifies the VM that claims.
	Self struct {
		VM          namer.VM
		Zone        namer.Zone
		Incarnation namer.Incarnation
	}

	// Claimer claims and releases the ordinal of one VM.
	Claimer struct {
		self      Self
		platform  Platform
		documents DocumentSource
		clock     clockwork.Clock
		log       *slog.Logger

		mu         sync.Mutex
		assignment Assignment
		onAssigned func(Assignment)
	}
)

// New returns a claimer without an ordinal. It calls onAssigned once its ordinal may
// be used.
func New(self Self, p Platform, d DocumentSource, clock clockwork.Clock, log *slog.Logger, onAssigned func(Assignment)) *Claimer {
	return &Claimer{self: self, platform: p, documents: d, clock: clock, log: log, onAssigned: onAssigned}
}

// Serve claims an ordinal, and retries until it holds one or ctx ends.
func (c *Claimer) Serve(ctx context.Context) error {
	for {
		wait := retryInterval
		assignment, err := c.claim(ctx)
		switch {
		case err != nil:
			c.log.Warn("ordinal not claimed; will retry", "zone", string(c.self.Zone), "reason", err.Error())
		case assignment.Ordinal == 0:
			c.log.Info("ordinal not claimed; will retry", "zone", string(c.self.Zone), "reason", "every ordinal is held")
		default:
			wait = assignment.UsableFrom.Sub(c.clock.Now())
		}
		if wait > 0 {
			select {
			case <-c.clock.After(wait):
			case <-ctx.Done():
				return nil
			}
		}
		if assignment.Ordinal != 0 {
			c.activate(assignment)
			<-ctx.Done()
			return nil
		}
	}
}

// Release releases the ordinal, so that a successor may use it at once. It must only
// be called when no requests are in flight any more.
func (c *Claimer) Release(ctx context.Context) error {
	c.mu.Lock()
	held := c.assignment.Ordinal
	c.assignment = Assignment{}
	c.mu.Unlock()
	if held == 0 {
		return nil
	}
	return c.update(ctx, func(t Table) Table {
		return Release(t, c.self.Incarnation.Hex())
	})
}

// activate stores an assignment that may be used from now on, and reports it.
func (c *Claimer) activate(assignment Assignment) {
	c.mu.Lock()
	c.assignment = assignment
	c.mu.Unlock()
	c.log.Info("ordinal held", "zone", string(c.self.Zone), "ordinal", int(assignment.Ordinal))
	c.onAssigned(assignment)
}

func (c *Claimer) claim(ctx context.Context) (Assignment, error) {
	current := c.documents.Current()
	if current == nil {
		return Assignment{}, errors.New("no steering document is in force yet")
	}
	zone, ok := current.Document.Zone(c.self.Zone)
	if !ok {
		return Assignment{}, errors.Newf("no zone %q in section places of the steering document", c.self.Zone)
	}
	listed, err := c.platform.VMs(ctx)
	if err != nil {
		return Assignment{}, err
	}
	claimant := Claimant{VM: c.self.VM, Incarnation: c.self.Incarnation.Hex(), Count: zone.VMCount}
	for _, vm := range listed {
		claimant.Listed = append(claimant.Listed, vm.VM)
	}
	if !slices.Contains(claimant.Listed, c.self.VM) {
		// Other VMs would treat a holder that isn't listed as gone and claim its ordinal.
		return Assignment{}, errors.New("this VM is not in the platform's list of VMs yet")
	}
	var assignment Assignment
	err = c.update(ctx, func(t Table) Table {
		if o, ok := t.OrdinalOf(claimant.Incarnation); ok {
			// An earlier update took effect although its response was lost.
			assignment = Assignment{Ordinal: o, UsableFrom: c.clock.Now().Add(current.Document.LongestDeadline())}
			return t
		}
		var next Table
		next, assignment = Claim(t, claimant, c.clock.Now(), current.Document.LongestDeadline())
		return next
	})
	return assignment, err
}

// update replaces the table with a changed one, on the condition that no other VM has
// changed it meanwhile.
func (c *Claimer) update(ctx context.Context, change func(Table) Table) error {
	key := Key(c.self.Zone)
	obj, err := c.platform.Get(ctx, key)
	table := Table{}
	switch {
	case errors.Is(err, storer.ErrNotFound):
	case err != nil:
		return err
	default:
		if table, err = DecodeTable(obj.Body); err != nil {
			return err
		}
	}
	raw, err := change(table).Encode()
	if err != nil {
		return err
	}
	_, err = c.platform.Put(ctx, key, raw, obj.Version)
	return err
}
