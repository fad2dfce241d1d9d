// Package cataloger keeps the upstreams that were discovered and the zones that are
// drained, which get no new requests. It does no I/O; the current time is an argument.
// Each call of View returns a new snapshot, which is not modified afterwards.
//
// It handles outages of the store that the entries come from: entries expire during
// an outage although their upstreams still run, and are written again shortly after
// the store is back. It also handles a store that is restored from an older copy: an
// upstream that is known to drain, or to be gone, stays so until it reports otherwise.
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
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// outageGrace is how long after an outage of the store an entry may be missing
	// before its upstream counts as gone. The platform promises that the entries of
	// running upstreams are back about two seconds after an outage.
	outageGrace = 2 * time.Second
	// maxSlots and maxColdLeft are the limits that a steering document has for the slots of
	// an upstream that it lists and for a service's warm-up time.
	maxSlots    = 100_000
	maxColdLeft = time.Hour
	maxPort     = 65535
	// goneRetention is how long a removed upstream is remembered, in case the store is
	// restored from a copy that still has its entry. Such copies are seconds old.
	goneRetention = 10 * time.Minute
	// maxGone limits the number of removed upstreams that are remembered.
	maxGone = 4096
	// heldTimeout is how long an entry that a restoration brought back is not used. The
	// store removes the entry of an upstream that is gone after three missing reports, so
	// an entry that stays longer belongs to one that runs.
	heldTimeout = 30 * time.Second
	// lateWriteTimeout is how long after the first report that seems to be earlier others like it
	// are taken for writes that the store carries out late. It does so within seconds.
	lateWriteTimeout = 10 * time.Second
)

type (
	// Sequence counts the reports of one process of an upstream. It is 0 if it is not known.
	Sequence uint64

	// Entry describes one discovered upstream. StartedMs is the start time of its
	// process in Unix milliseconds; it distinguishes successive processes with the
	// same name. ColdLeft is how much longer the upstream is cold.
	Entry struct {
		Upstream  namer.Upstream
		StartedMs int64
		Sequence  Sequence
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
		// gone has the last reports of removed upstreams. held has the entries of such
		// upstreams, or of earlier processes, that a restoration of the store brought back.
		gone map[namer.Upstream]goneItem
		held map[namer.Upstream]heldItem
		// late has the first ignored reports of processes that started before the known ones.
		late    map[namer.Upstream]lateItem
		drained map[namer.Zone]drainedZone
		// reachableSince is the start of the period in which the store has answered
		// without an outage and without a restoration.
		reachableSince time.Time
		// drainsReachableSince is the same for the records that name drained zones.
		drainsReachableSince time.Time
		// era is the latest era of the entries.
		era storer.Era
	}

	item struct {
		upstream Upstream
		// missing marks an entry that was missing from the store within the grace
		// period after an outage. Expire removes it unless it is put again.
		missing bool
		// restored marks an entry whose upstream has not reported, as far as the catalog
		// knows, since the store was restored.
		restored bool
	}

	goneItem struct {
		last      Entry
		era       storer.Era
		removedAt time.Time
	}

	drainedZone struct {
		// missing marks a zone whose record was missing from the store within the grace
		// period. ExpireDrained removes it unless it is drained again.
		missing bool
	}

	lateItem struct {
		startedMs int64
		since     time.Time
	}

	heldItem struct {
		upstream Upstream
		since    time.Time
	}
)

// Validate returns an error if no upstream can be used by the entry: a field is missing or
// out of range.
func (e Entry) Validate() error {
	switch {
	case e.Upstream == "":
		return errors.New("name missing")
	case e.Service == "" || e.Zone == "":
		return errors.New("service or zone missing")
	case e.StartedMs < 0:
		return errors.Newf("start time %d is negative", e.StartedMs)
	case e.Slots < 1 || e.Slots > maxSlots:
		return errors.Newf("%d slots are not from 1 to %d", e.Slots, maxSlots)
	case e.ColdLeft < 0 || e.ColdLeft > maxColdLeft:
		return errors.Newf("cold period %s is not from 0 to %s", e.ColdLeft, maxColdLeft)
	}
	return validateAddress(e.Address)
}

// validateAddress returns an error if an address is not a host and a port number.
func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	n, err := strconv.ParseUint(port, 10, 32)
	if host == "" || err != nil || n < 1 || n > maxPort {
		return errors.Newf("address %q lacks a host or a port from 1 to %d", address, maxPort)
	}
	return nil
}

// New returns an empty catalog.
func New() *Cataloger {
	return &Cataloger{
		entries: make(map[namer.Upstream]item),
		gone:    make(map[namer.Upstream]goneItem),
		held:    make(map[namer.Upstream]heldItem),
		late:    make(map[namer.Upstream]lateItem),
		drained: make(map[namer.Zone]drainedZone),
	}
}

// Put stores an entry and returns true, unless a later version of it is stored. After a
// restoration of the store, an entry that is no later report of its upstream is not stored if
// the upstream is known to be gone or to have started again since, and does not end its
// draining. The cold period keeps its end if the report is known already.
func (c *Cataloger) Put(now time.Time, version storer.Version, e Entry) bool {
	c.era = max(c.era, version.Era)
	u := Upstream{Entry: e, Version: version, ColdUntil: now.Add(e.ColdLeft)}
	if known, ok := c.entries[e.Upstream]; ok {
		return c.update(now, known, u)
	}
	if c.bringsBack(now, u) {
		c.hold(now, u, c.gone[e.Upstream].last)
		return false
	}
	delete(c.gone, e.Upstream)
	delete(c.held, e.Upstream)
	c.entries[e.Upstream] = item{upstream: u}
	return true
}

// bringsBack reports whether an entry shows only that a restoration brought back the entry of an
// upstream that is gone, or of an earlier process of it.
func (c *Cataloger) bringsBack(now time.Time, u Upstream) bool {
	g, ok := c.gone[u.Upstream]
	if !ok || now.Sub(g.removedAt) >= goneRetention || u.laterThan(g.last) {
		return false
	}
	h, held := c.held[u.Upstream]
	return u.Version.Era > g.era || held && !u.laterThan(h.upstream.Entry)
}

// hold keeps an entry that is not used yet. last is the last report before it was removed.
func (c *Cataloger) hold(now time.Time, u Upstream, last Entry) {
	since := now
	if h, ok := c.held[u.Upstream]; ok && h.upstream.Version.Era == u.Version.Era {
		since = h.since
	}
	u.Draining = u.Draining || last.Draining && u.StartedMs == last.StartedMs
	c.held[u.Upstream] = heldItem{upstream: u, since: since}
}

// update replaces a known entry as Put describes.
func (c *Cataloger) update(now time.Time, known item, u Upstream) bool {
	if u.Version.Before(known.upstream.Version) || c.isLateWrite(now, known, u) {
		return false
	}
	delete(c.late, u.Upstream)
	later := u.laterThan(known.upstream.Entry)
	restored := !later && (known.restored || u.Version.Era > known.upstream.Version.Era)
	if restored && u.StartedMs < known.upstream.StartedMs {
		// The entry of the running process is missing.
		c.Remove(now, u.Upstream)
		c.hold(now, u, known.upstream.Entry)
		return false
	}
	sameProcess := u.StartedMs == known.upstream.StartedMs
	// With the same version, the known state may be a peer's, which remembers more.
	if restored || !later && sameProcess && u.Version == known.upstream.Version {
		u.Draining = u.Draining || known.upstream.Draining
		u.Sequence = known.upstream.Sequence
		u.ColdLeft = known.upstream.ColdLeft
	}
	if sameProcess && known.upstream.ColdLeft == u.ColdLeft && known.upstream.Sequence == u.Sequence {
		u.ColdUntil = known.upstream.ColdUntil
	}
	delete(c.held, u.Upstream)
	c.entries[u.Upstream] = item{upstream: u, restored: restored}
	return true
}

// isLateWrite reports whether the store has carried out a write late: that of an earlier report
// of the known process, or of a process before it. Without a start time, the order of two
// reports is not known. A process whose clock is behind that of the one before it seems to be
// earlier, too, but goes on to report.
func (c *Cataloger) isLateWrite(now time.Time, known item, u Upstream) bool {
	if u.Version.Era != known.upstream.Version.Era || u.StartedMs > known.upstream.StartedMs {
		return false
	}
	if u.StartedMs == known.upstream.StartedMs {
		return u.StartedMs != 0 && u.Sequence != 0 && u.Sequence < known.upstream.Sequence
	}
	first, ok := c.late[u.Upstream]
	if !ok || first.startedMs != u.StartedMs {
		first = lateItem{startedMs: u.StartedMs, since: now}
		c.late[u.Upstream] = first
	}
	return now.Sub(first.since) < lateWriteTimeout
}

// laterThan reports whether an entry is a later report of an upstream than another one: that
// of a later process, or a later one of the same process.
func (e Entry) laterThan(other Entry) bool {
	if e.StartedMs != other.StartedMs {
		return e.StartedMs > other.StartedMs
	}
	return e.Sequence > other.Sequence
}

// Remove removes an entry that is missing from the store, and reports whether its
// upstream is no longer in use. Within the grace period after an outage, it only marks
// the entry as missing, and the upstream stays in use.
func (c *Cataloger) Remove(now time.Time, name namer.Upstream) bool {
	delete(c.held, name)
	known, ok := c.entries[name]
	if !ok {
		return true
	}
	if c.graceElapsed(now) {
		c.forget(now, known)
		return true
	}
	known.missing = true
	c.entries[name] = known
	return false
}

// forget removes an entry and remembers its last report.
func (c *Cataloger) forget(now time.Time, it item) {
	delete(c.entries, it.upstream.Upstream)
	delete(c.late, it.upstream.Upstream)
	c.gone[it.upstream.Upstream] = goneItem{last: it.upstream.Entry, era: c.era, removedAt: now}
	if len(c.gone) <= maxGone {
		return
	}
	oldest := it.upstream.Upstream
	for name, g := range c.gone {
		if now.Sub(g.removedAt) > goneRetention {
			delete(c.gone, name)
		} else if g.removedAt.Before(c.gone[oldest].removedAt) {
			oldest = name
		}
	}
	delete(c.gone, oldest)
}

// RemoveUnlisted calls Remove for every entry that is not listed.
func (c *Cataloger) RemoveUnlisted(now time.Time, listed map[namer.Upstream]bool) {
	for name := range c.entries {
		if !listed[name] {
			c.Remove(now, name)
		}
	}
	for name := range c.held {
		if !listed[name] {
			delete(c.held, name)
		}
	}
}

// SetStoreReachableSince sets the start of the period in which the store has answered
// without an outage and without a restoration.
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
			c.forget(now, it)
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	return expired
}

// Release stores the entries that have been held for heldTimeout, and returns their names.
func (c *Cataloger) Release(now time.Time) []namer.Upstream {
	var released []namer.Upstream
	for name, h := range c.held {
		if now.Sub(h.since) < heldTimeout {
			continue
		}
		delete(c.held, name)
		delete(c.gone, name)
		c.entries[name] = item{upstream: h.upstream, restored: true}
		released = append(released, name)
	}
	slices.Sort(released)
	return released
}

// ResetDrained replaces the set of drained zones. Zones that are missing from the store
// within the grace period after a restoration stay drained, since their records may be
// written again.
func (c *Cataloger) ResetDrained(now time.Time, zones map[namer.Zone]bool) {
	for zone := range c.drained {
		switch {
		case zones[zone]:
		case now.Sub(c.drainsReachableSince) < outageGrace:
			c.drained[zone] = drainedZone{missing: true}
		default:
			delete(c.drained, zone)
		}
	}
	for zone, drained := range zones {
		if drained {
			c.drained[zone] = drainedZone{}
		}
	}
}

// SetDrained sets whether a zone is drained.
func (c *Cataloger) SetDrained(zone namer.Zone, drained bool) {
	if drained {
		c.drained[zone] = drainedZone{}
	} else {
		delete(c.drained, zone)
	}
}

// SetDrainsReachableSince is SetStoreReachableSince for the records that name drained zones.
func (c *Cataloger) SetDrainsReachableSince(since time.Time) {
	c.drainsReachableSince = since
}

// ExpireDrained removes the drained zones that are still missing after the grace period.
func (c *Cataloger) ExpireDrained(now time.Time) {
	if now.Sub(c.drainsReachableSince) >= outageGrace {
		maps.DeleteFunc(c.drained, func(_ namer.Zone, d drainedZone) bool { return d.missing })
	}
}

// graceElapsed reports whether running upstreams have had the time to write their
// entries again since the last outage.
func (c *Cataloger) graceElapsed(now time.Time) bool {
	return now.Sub(c.reachableSince) >= outageGrace
}

// Drained returns the drained zones.
func (c *Cataloger) Drained() map[namer.Zone]bool {
	zones := make(map[namer.Zone]bool, len(c.drained))
	for zone := range c.drained {
		zones[zone] = true
	}
	return zones
}

// View returns the upstreams, ordered by name, and the drained zones.
func (c *Cataloger) View() *View {
	v := &View{Drained: c.Drained()}
	for _, it := range c.entries {
		v.Upstreams = append(v.Upstreams, it.upstream)
	}
	slices.SortFunc(v.Upstreams, func(a, b Upstream) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return v
}
