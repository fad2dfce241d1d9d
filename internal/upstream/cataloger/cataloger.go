// Package cataloger holds the upstreams that were discovered and the zones that
// get no new work. It is pure: the time is an argument, and every change
// returns a new view that is never changed afterwards.
//
// It answers the pattern in which the source of the entries is away for some
// seconds: entries lapse meanwhile although their upstreams live, and come back
// shortly after the source does.
//
// # Usage
//
//	c := cataloger.New()
//	c.Put(now, version, entry)
//	c.Steady(since)
//	used := !c.Remove(now, name)
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
	// returnTime is how long an entry may be missing after an outage of the
	// source before its upstream is taken as gone. The platform promises that
	// living upstreams are back about two seconds after an outage.
	returnTime = 2 * time.Second
)

type (
	// Entry is what is known of one discovered upstream. Born tells one process
	// from the next under the same name.
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

	// Upstream is an entry in force, as of a version. Cold is when it stops
	// being cold.
	Upstream struct {
		Entry
		Version   storer.Version
		ColdUntil time.Time
	}

	// Target is an upstream to send to. Born tells one process from the next at
	// the same address. Conns bounds the idle connections that are kept. Way is the
	// time there and back, 0 when it is not known.
	Target struct {
		Upstream  namer.Upstream
		StartedMs int64
		Address   string
		Conns     int
		RoundTrip time.Duration
	}

	// View is the upstreams and drained zones at one moment.
	View struct {
		Upstreams []Upstream
		Drained   map[namer.Zone]bool
	}

	// Cataloger collects entries.
	Cataloger struct {
		entries map[namer.Upstream]held
		drained map[namer.Zone]bool
		// steady is since when the source has answered without an outage.
		steady time.Time
	}

	held struct {
		upstream Upstream
		missing  bool
	}
)

// New returns an empty catalog.
func New() *Cataloger {
	return &Cataloger{entries: make(map[namer.Upstream]held), drained: make(map[namer.Zone]bool)}
}

// Put takes over an entry, unless a later version of it is known.
func (c *Cataloger) Put(now time.Time, version storer.Version, e Entry) bool {
	known, ok := c.entries[e.Upstream]
	if ok && version < known.upstream.Version {
		return false
	}
	u := Upstream{Entry: e, Version: version, ColdUntil: now.Add(e.ColdLeft)}
	if ok && known.upstream.StartedMs == e.StartedMs && known.upstream.ColdLeft == e.ColdLeft {
		u.ColdUntil = known.upstream.ColdUntil
	}
	c.entries[e.Upstream] = held{upstream: u}
	return true
}

// Remove notes that an entry is missing, and reports whether its upstream is in use no
// longer. It stays in use for a short time after an outage of the source.
func (c *Cataloger) Remove(now time.Time, name namer.Upstream) bool {
	known, ok := c.entries[name]
	if !ok {
		return true
	}
	if c.settled(now) {
		delete(c.entries, name)
		return true
	}
	known.missing = true
	c.entries[name] = known
	return false
}

// RemoveUnlisted removes every entry whose name is not among those listed.
func (c *Cataloger) RemoveUnlisted(now time.Time, listed map[namer.Upstream]bool) {
	for name := range c.entries {
		if !listed[name] {
			c.Remove(now, name)
		}
	}
}

// SetAvailableSince notes since when the source has answered without an outage.
func (c *Cataloger) SetAvailableSince(since time.Time) {
	c.steady = since
}

// Expire drops upstreams whose entries stayed missing, and returns their names.
func (c *Cataloger) Expire(now time.Time) []namer.Upstream {
	if !c.settled(now) {
		return nil
	}
	var dropped []namer.Upstream
	for name, h := range c.entries {
		if h.missing {
			delete(c.entries, name)
			dropped = append(dropped, name)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// settled reports whether living upstreams had the time to come back since the last
// outage.
func (c *Cataloger) settled(now time.Time) bool {
	return now.Sub(c.steady) >= returnTime
}

// SetDrained replaces the zones that get no new work.
func (c *Cataloger) SetDrained(zones map[namer.Zone]bool) {
	c.drained = zones
}

// View returns the upstreams in the order of their names.
func (c *Cataloger) View() *View {
	v := &View{Drained: c.drained}
	for _, h := range c.entries {
		v.Upstreams = append(v.Upstreams, h.upstream)
	}
	slices.SortFunc(v.Upstreams, func(a, b Upstream) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return v
}
