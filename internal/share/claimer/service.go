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

// retryInterval is how long a VM without an ordinal waits before it tries
// again. It makes no call once it holds one.
const retryInterval = time.Second

type (
	// Platform is the part of the object API that claiming needs.
	Platform interface {
		Get(ctx context.Context, key string) (storer.Object, error)
		Put(ctx context.Context, key string, body []byte, version storer.Version) (storer.Version, error)
		VMs(ctx context.Context) ([]storer.ListedVM, error)
	}

	// Documents tells what is in force.
	Documents interface {
		Current() *keeper.Force
	}

	// Self says who claims.
	Self struct {
		VM          namer.VM
		Zone        namer.Zone
		Incarnation namer.Incarnation
	}

	// Claimer claims and releases one VM's ordinal.
	Claimer struct {
		self      Self
		platform  Platform
		documents Documents
		clock     clockwork.Clock
		log       *slog.Logger

		mu      sync.Mutex
		claimed Assignment
		changed func(Assignment)
	}
)

// New returns a claimer that holds nothing. Changed is called when it does.
func New(self Self, p Platform, d Documents, clock clockwork.Clock, log *slog.Logger, changed func(Assignment)) *Claimer {
	return &Claimer{self: self, platform: p, documents: d, clock: clock, log: log, changed: changed}
}

// Serve claims an ordinal, trying until it holds one.
func (c *Claimer) Serve(ctx context.Context) error {
	for {
		wait := retryInterval
		claimed, err := c.claim(ctx)
		switch {
		case err != nil:
			c.log.Warn("ordinal not claimed", "zone", string(c.self.Zone), "reason", err.Error())
		case claimed.Ordinal == 0:
			c.log.Info("ordinal not claimed", "zone", string(c.self.Zone), "reason", "every ordinal is held")
		default:
			wait = claimed.UsableFrom.Sub(c.clock.Now())
		}
		if wait > 0 {
			select {
			case <-c.clock.After(wait):
			case <-ctx.Done():
				return nil
			}
		}
		if claimed.Ordinal != 0 {
			c.hold(claimed)
			<-ctx.Done()
			return nil
		}
	}
}

// Release gives the ordinal back, so that a successor may use it at once. It
// is called when nothing is in flight any more.
func (c *Claimer) Release(ctx context.Context) error {
	c.mu.Lock()
	held := c.claimed.Ordinal
	c.claimed = Assignment{}
	c.mu.Unlock()
	if held == 0 {
		return nil
	}
	return c.update(ctx, func(t Table) Table {
		return Release(t, c.self.Incarnation.Text())
	})
}

func (c *Claimer) hold(claimed Assignment) {
	c.mu.Lock()
	c.claimed = claimed
	c.mu.Unlock()
	c.log.Info("ordinal held", "zone", string(c.self.Zone), "ordinal", int(claimed.Ordinal))
	c.changed(claimed)
}

func (c *Claimer) claim(ctx context.Context) (Assignment, error) {
	force := c.documents.Current()
	if force == nil {
		return Assignment{}, errors.New("no document is in force")
	}
	zone, ok := force.Document.Zone(c.self.Zone)
	if !ok {
		return Assignment{}, errors.Newf("no zone %q in places", c.self.Zone)
	}
	listed, err := c.platform.VMs(ctx)
	if err != nil {
		return Assignment{}, err
	}
	want := Claimant{VM: c.self.VM, Incarnation: c.self.Incarnation.Text(), Count: zone.VMs}
	for _, vm := range listed {
		want.Listed = append(want.Listed, vm.VM)
	}
	if !slices.Contains(want.Listed, c.self.VM) {
		// Others would take a holder that the list lacks for one that is gone.
		return Assignment{}, errors.New("the platform's list does not have this VM yet")
	}
	var claimed Assignment
	err = c.update(ctx, func(t Table) Table {
		if o, ok := t.OrdinalOf(want.Incarnation); ok {
			// An earlier write took effect although its answer was lost.
			claimed = Assignment{Ordinal: o, UsableFrom: c.clock.Now().Add(force.Document.LongestDeadline())}
			return t
		}
		var next Table
		next, claimed = Claim(t, want, c.clock.Now(), force.Document.LongestDeadline())
		return next
	})
	return claimed, err
}

func (c *Claimer) update(ctx context.Context, change func(Table) Table) error {
	key := Key(c.self.Zone)
	obj, err := c.platform.Get(ctx, key)
	table := Table{}
	switch {
	case errors.Is(err, storer.ErrMissing):
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
