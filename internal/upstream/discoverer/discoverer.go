// Package discoverer keeps the catalog of upstreams up to date. It reads the records
// that upstreams write about themselves and those by which operators drain zones, and
// reports every change to a callback.
//
// # Usage
//
//	d := discoverer.New(decode, clock, log)
//	d.OnChange(steerer.SetUpstreams)
//	f := follower.New(calls, kind, d.Upstreams(), clock, log)
//	g := follower.New(calls, drains, d.Drains(), clock, log)
package discoverer

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// expireInterval is how often entries whose records stayed missing after an outage are
// removed.
const expireInterval = 100 * time.Millisecond

type (
	// Decode decodes an upstream's record.
	Decode func(r storer.Record) (cataloger.Entry, error)

	// Discoverer keeps the catalog of one VM. It is safe for concurrent use.
	Discoverer struct {
		decode Decode
		clock  clockwork.Clock
		log    *slog.Logger

		mu      sync.Mutex
		catalog *cataloger.Cataloger
		// upstreamsListed and drainsListed are set once this VM has all records of the
		// kind, from the store or from its relay parent.
		upstreamsListed bool
		drainsListed    bool
		onChange        func(*cataloger.View)
		// unreadable has the error of each record that could not be decoded.
		unreadable map[string]error
	}

	upstreams struct{ *Discoverer }
	drains    struct{ *Discoverer }
)

// New returns a discoverer with an empty catalog.
func New(decode Decode, clock clockwork.Clock, log *slog.Logger) *Discoverer {
	return &Discoverer{
		decode:   decode,
		clock:    clock,
		log:      log,
		catalog:  cataloger.New(),
		onChange: func(*cataloger.View) {},

		unreadable: make(map[string]error),
	}
}

// OnChange sets the callback for new views, and calls it with the current one. Calls
// don't overlap.
func (d *Discoverer) OnChange(f func(*cataloger.View)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onChange = f
	f(d.catalog.View())
}

// Serve removes entries whose records stayed missing after an outage, until ctx ends.
func (d *Discoverer) Serve(ctx context.Context) error {
	ticker := d.clock.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		d.mu.Lock()
		if expired := d.catalog.Expire(d.clock.Now()); len(expired) > 0 {
			d.log.Info("upstreams gone", "upstreams", expired, "reason", "their entries did not come back after an outage")
			d.onChange(d.catalog.View())
		}
		if released := d.catalog.Release(d.clock.Now()); len(released) > 0 {
			d.log.Info("upstreams used again", "upstreams", released, "reason", "their entries stayed in the store after it was restored")
			d.onChange(d.catalog.View())
		}
		d.changeDrained(func() { d.catalog.ExpireDrained(d.clock.Now()) })
		d.mu.Unlock()
	}
}

// View returns the current snapshot of upstreams and drained zones.
func (d *Discoverer) View() *cataloger.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.catalog.View()
}

// Listed reports whether this VM has all upstreams' records, from the store or from its
// relay parent.
func (d *Discoverer) Listed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreamsListed
}

// Unreadable returns how many records could not be decoded, and the error of one of them.
func (d *Discoverer) Unreadable() (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(d.unreadable)) {
		return len(d.unreadable), errors.Wrapf(d.unreadable[name], "entry %s", name)
	}
	return 0, nil
}

// Borrow uses another VM's view until this VM has all upstreams' records, and reports
// whether it did. Drained zones whose records this VM has are kept, because the other view
// may be older.
func (d *Discoverer) Borrow(v *cataloger.View) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.upstreamsListed || len(v.Upstreams) == 0 {
		return false
	}
	now := d.clock.Now()
	for _, u := range v.Upstreams {
		d.catalog.Put(now, u.Version, u.Entry)
	}
	if !d.drainsListed {
		d.catalog.ResetDrained(now, v.Drained)
	}
	d.log.Info("upstreams borrowed", "count", len(v.Upstreams), "reason", "the store was not read yet")
	d.onChange(d.catalog.View())
	return true
}

// Upstreams returns the handler for the records of upstreams.
func (d *Discoverer) Upstreams() follower.Handler {
	return &upstreams{d}
}

// Drains returns the handler for the records that name drained zones.
func (d *Discoverer) Drains() follower.Handler {
	return &drains{d}
}

// Reset implements follower.Handler.
func (u *upstreams) Reset(records []storer.Record) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	listed := make(map[namer.Upstream]bool, len(records))
	clear(u.unreadable)
	for _, r := range records {
		if u.put(now, r) {
			listed[namer.Upstream(r.Name)] = true
		}
	}
	u.catalog.RemoveUnlisted(now, listed)
	u.upstreamsListed = true
	u.log.Info("upstreams listed", "count", len(listed))
	u.onChange(u.catalog.View())
	return nil
}

// Apply implements follower.Handler.
func (u *upstreams) Apply(changes []storer.Change) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	for _, c := range changes {
		if !c.Removed && u.put(now, c.Record) {
			continue
		}
		if c.Removed {
			delete(u.unreadable, c.Record.Name)
		}
		inUse := !u.catalog.Remove(now, namer.Upstream(c.Record.Name))
		u.log.Info("upstream removed", "upstream", c.Record.Name, "version", c.Record.Version, "used", inUse)
	}
	u.onChange(u.catalog.View())
	return nil
}

// put stores a record in the catalog, and reports whether it could be decoded.
func (d *Discoverer) put(now time.Time, r storer.Record) bool {
	e, err := d.decode(r)
	if err != nil {
		d.unreadable[r.Name] = err
		d.log.Warn("entry unreadable; treating it as removed", "entry", r.Name, "version", r.Version, "reason", err.Error())
		return false
	}
	delete(d.unreadable, r.Name)
	if !d.catalog.Put(now, r.Version, e) {
		d.log.Info("entry ignored", "entry", r.Name, "version", r.Version, "reason", "a later state of the upstream is known")
		return true
	}
	d.log.Info("upstream", "upstream", r.Name, "version", r.Version, "service", string(e.Service), "zone", string(e.Zone),
		"address", e.Address, "born", e.StartedMs, "draining", e.Draining, "cold", e.ColdLeft)
	return true
}

// StoreReachableSince implements follower.Handler.
func (u *upstreams) StoreReachableSince(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.catalog.SetStoreReachableSince(since)
}

// Reset implements follower.Handler.
func (d *drains) Reset(records []storer.Record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	zones := make(map[namer.Zone]bool, len(records))
	for _, r := range records {
		zones[namer.Zone(r.Name)] = true
	}
	d.drainsListed = true
	d.changeDrained(func() { d.catalog.ResetDrained(d.clock.Now(), zones) })
	return nil
}

// Apply implements follower.Handler.
func (d *drains) Apply(changes []storer.Change) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainsListed = true
	d.changeDrained(func() {
		for _, c := range changes {
			d.catalog.SetDrained(namer.Zone(c.Record.Name), !c.Removed)
		}
	})
	return nil
}

// changeDrained changes the set of drained zones, and reports the new view if it differs. The
// caller holds d.mu.
func (d *Discoverer) changeDrained(change func()) {
	before := d.catalog.Drained()
	change()
	after := d.catalog.Drained()
	if maps.Equal(before, after) {
		return
	}
	d.log.Info("zones drained", "zones", len(after), "names", slices.Sorted(maps.Keys(after)))
	d.onChange(d.catalog.View())
}

// StoreReachableSince implements follower.Handler. Records that name drained zones don't
// expire, but a restored store may lack them until they are written again.
func (d *drains) StoreReachableSince(since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catalog.SetDrainsReachableSince(since)
}
