// Package discoverer keeps the catalog of upstreams up to date from the records
// that upstreams and operators write, and tells of every change.
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

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// expireEvery is how often upstreams whose entries stayed missing are dropped.
const expireEvery = 100 * time.Millisecond

type (
	// Decode reads an upstream's record.
	Decode func(r storer.Record) (cataloger.Entry, error)

	// Discoverer owns the catalog.
	Discoverer struct {
		decode Decode
		clock  clockwork.Clock
		log    *slog.Logger

		mu      sync.Mutex
		catalog *cataloger.Cataloger
		// listed and read say that upstreams and drains were read here.
		listed  bool
		read    bool
		drained map[namer.Zone]bool
		changed func(*cataloger.View)
	}

	upstreams struct{ *Discoverer }
	drains    struct{ *Discoverer }
)

// New returns a discoverer that knows no upstream.
func New(decode Decode, clock clockwork.Clock, log *slog.Logger) *Discoverer {
	return &Discoverer{
		decode:  decode,
		clock:   clock,
		log:     log,
		catalog: cataloger.New(),
		drained: make(map[namer.Zone]bool),
		changed: func(*cataloger.View) {},
	}
}

// OnChange sets what is called with each new view, one call at a time.
func (d *Discoverer) OnChange(f func(*cataloger.View)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changed = f
	f(d.catalog.View())
}

// Serve drops upstreams whose entries stayed missing, until ctx ends.
func (d *Discoverer) Serve(ctx context.Context) error {
	ticker := d.clock.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		d.mu.Lock()
		if gone := d.catalog.Expire(d.clock.Now()); len(gone) > 0 {
			d.log.Info("upstreams gone", "upstreams", gone, "reason", "their entries did not come back after an outage")
			d.changed(d.catalog.View())
		}
		d.mu.Unlock()
	}
}

// View returns the upstreams and drained zones as they are known now.
func (d *Discoverer) View() *cataloger.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.catalog.View()
}

// Listed reports whether this VM has read the upstreams' records.
func (d *Discoverer) Listed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// Borrow takes over another VM's view while this one has not yet read the
// records itself, and reports whether it did.
func (d *Discoverer) Borrow(v *cataloger.View) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed || len(v.Upstreams) == 0 {
		return false
	}
	now := d.clock.Now()
	for _, u := range v.Upstreams {
		d.catalog.Put(now, u.Version, u.Entry)
	}
	if !d.read {
		d.drained = v.Drained
		d.catalog.SetDrained(v.Drained)
	}
	d.log.Info("upstreams borrowed", "count", len(v.Upstreams), "reason", "the store was not read yet")
	d.changed(d.catalog.View())
	return true
}

// Upstreams returns the handler of upstreams' records.
func (d *Discoverer) Upstreams() follower.Handler {
	return &upstreams{d}
}

// Drains returns the handler of the records that name zones to drain.
func (d *Discoverer) Drains() follower.Handler {
	return &drains{d}
}

// Reset implements follower.Handler.
func (u *upstreams) Reset(records []storer.Record) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	listed := make(map[namer.Upstream]bool, len(records))
	for _, r := range records {
		if u.put(now, r) {
			listed[namer.Upstream(r.Name)] = true
		}
	}
	u.catalog.RemoveUnlisted(now, listed)
	u.listed = true
	u.log.Info("upstreams listed", "count", len(listed))
	u.changed(u.catalog.View())
}

// Apply implements follower.Handler.
func (u *upstreams) Apply(changes []storer.Change) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	for _, c := range changes {
		if !c.Removed && u.put(now, c.Record) {
			continue
		}
		used := !u.catalog.Remove(now, namer.Upstream(c.Record.Name))
		u.log.Info("upstream removed", "upstream", c.Record.Name, "version", uint64(c.Record.Version), "used", used)
	}
	u.changed(u.catalog.View())
}

// put takes over a record, and reports whether it names an upstream.
func (d *Discoverer) put(now time.Time, r storer.Record) bool {
	e, err := d.decode(r)
	if err != nil {
		d.log.Warn("entry unreadable", "entry", r.Name, "version", uint64(r.Version), "reason", err.Error())
		return false
	}
	d.catalog.Put(now, r.Version, e)
	d.log.Info("upstream", "upstream", r.Name, "version", uint64(r.Version), "service", string(e.Service), "zone", string(e.Zone),
		"address", e.Address, "born", e.StartedMs, "draining", e.Draining, "cold", e.ColdLeft)
	return true
}

// Steady implements follower.Handler.
func (u *upstreams) Steady(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.catalog.SetAvailableSince(since)
}

// Reset implements follower.Handler.
func (d *drains) Reset(records []storer.Record) {
	zones := make(map[namer.Zone]bool, len(records))
	for _, r := range records {
		zones[namer.Zone(r.Name)] = true
	}
	d.set(zones)
}

// Apply implements follower.Handler.
func (d *drains) Apply(changes []storer.Change) {
	d.mu.Lock()
	zones := maps.Clone(d.drained)
	d.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			delete(zones, namer.Zone(c.Record.Name))
		} else {
			zones[namer.Zone(c.Record.Name)] = true
		}
	}
	d.set(zones)
}

func (d *drains) set(zones map[namer.Zone]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read = true
	if maps.Equal(zones, d.drained) {
		return
	}
	d.drained = zones
	d.log.Info("zones drained", "zones", len(zones), "names", slices.Sorted(maps.Keys(zones)))
	d.catalog.SetDrained(zones)
	d.changed(d.catalog.View())
}

// Steady implements follower.Handler. Records that name zones do not lapse.
func (d *drains) Steady(time.Time) {}
