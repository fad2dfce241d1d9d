// Package cataloger keeps the upstreams that were discovered and the zones that are
// drained, which get no new requests. It does no I/O; the current time is an argument.
// Each call of View returns a new snapshot, which is not modified afterwards.
//
// It handles outages of the store that the entries come from: entries expire during
// an outage although their upstreams still run, and are written again shortly after
// the store is back.
//
// # Usage
//
//	c := cataloger.New()
//	c.Put(now, version, entry)
//	c.SetStoreReachableSince(since)
//	inUse := !c.Remove(now, name)
//	view := c.View()
package cataloger

import (
	"slices"
	"strings"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// outageGrace is how long after an outage of the store an entry may be missing
	// before its upstream counts as gone. The platform promises that the entries of
	// running upstreams are back about two seconds after an outage.
	outageGrace = 2 * time.Second
)

type (
	// Entry describes one discovered upstream. StartedMs is the start time of its
	// process in Unix milliseconds; it distinguishes successive processes with the
	// same name. ColdLeft is how much longer the upstream is cold.
	Entry struct {
		Upstream  namer.Upstream
		StartedMs int64
		Service   namer.Service
		Zone      namer.Zone
		Address   string
		Slots     int
		Draining  bool
		ColdLeft  time.Duration
	}

	// Upstream is an entry in use, with its version in the store. It is cold until
	// ColdUntil.
	Upstream struct {
		Entry
		Version   storer.Version
		ColdUntil time.Time
	}

	// Target is an upstream to send to. StartedMs distinguishes successive processes
	// at the same address. MaxIdleConns is the maximum number of idle connections
	// that are kept. RTT is the network round-trip time, or 0 when it is not known.
	Target struct {
		Upstream     namer.Upstream
		StartedMs    int64
		Address      string
		MaxIdleConns int
		RTT          time.Duration
	}

	// View is a snapshot of the upstreams and drained zones.
	View struct {
		Upstreams []Upstream
		Drained   map[namer.Zone]bool
	}

	// Cataloger collects entries.
	Cataloger struct {
		entries map[namer.Upstream]item
		drained map[namer.Zone]bool
		// reachableSince is the start of the period in which the store has answered
		// without an outage.
		reachableSince time.Time
	}

	item struct {
		upstream Upstream
		// missing marks an entry that was missing from the store within the grace
		// period after an outage. Expire removes it unless it is put again.
		missing bool
	}
)

// New returns an empty catalog.
func New() *Cataloger {
	return &Cataloger{entries: make(map[namer.Upstream]item), drained: make(map[namer.Zone]bool)}
}

// Put stores an entry and returns true, unless a later version of it is stored. The
// cold period keeps its end while the same process reports the same time left.
func (c *Cataloger) Put(now time.Time, version storer.Version, e Entry) bool {
	known, ok := c.entries[e.Upstream]
	if ok && version.Before(known.upstream.Version) {
		return false
	}
	u := Upstream{Entry: e, Version: version, ColdUntil: now.Add(e.ColdLeft)}
	if ok && known.upstream.StartedMs == e.StartedMs && known.upstream.ColdLeft == e.ColdLeft {
		u.ColdUntil = known.upstream.ColdUntil
	}
	c.entries[e.Upstream] = item{upstream: u}
	return true
}

// Remove removes an entry that is missing from the store, and reports whether its
// upstream is no longer in use. Within the grace period after an outage, it only marks
// the entry as missing, and the upstream stays in use.
func (c *Cataloger) Remove(now time.Time, name namer.Upstream) bool {
	known, ok := c.entries[name]
	if !ok {
		return true
	}
	if c.graceElapsed(now) {
		delete(c.entries, name)
		return true
	}
	known.missing = true
	c.entries[name] = known
	return false
}

// RemoveUnlisted calls Remove for every entry that is not listed.
func (c *Cataloger) RemoveUnlisted(now time.Time, listed map[namer.Upstream]bool) {
	for name := range c.entries {
		if !listed[name] {
			c.Remove(now, name)
		}
	}
}

// SetStoreReachableSince sets the start of the period in which the store has answered
// without an outage.
func (c *Cataloger) SetStoreReachableSince(since time.Time) {
	c.reachableSince = since
}

// Expire removes the entries that are still missing after the grace period, and
// returns their names.
func (c *Cataloger) Expire(now time.Time) []namer.Upstream {
	if !c.graceElapsed(now) {
		return nil
	}
	var expired []namer.Upstream
	for name, it := range c.entries {
		if it.missing {
			delete(c.entries, name)
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	return expired
}

// graceElapsed reports whether running upstreams have had the time to write their
// entries again since the last outage.
func (c *Cataloger) graceElapsed(now time.Time) bool {
	return now.Sub(c.reachableSince) >= outageGrace
}

// SetDrained replaces the set of drained zones.
func (c *Cataloger) SetDrained(zones map[namer.Zone]bool) {
	c.drained = zones
}

// View returns the upstreams, ordered by name, and the drained zones.
func (c *Cataloger) View() *View {
	v := &View{Drained: c.drained}
	for _, it := range c.entries {
		v.Upstreams = append(v.Upstreams, it.upstream)
	}
	slices.SortFunc(v.Upstreams, func(a, b Upstream) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return v
}
