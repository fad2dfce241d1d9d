package placer

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/gaissmai/bart"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

// Director keeps the table for the document in force and the members in view.
// Look-ups read it without a lock.
type Director struct {
	members func() []tracker.Member
	table   atomic.Pointer[Table]

	mu     sync.Mutex
	force  *keeper.Snapshot
	blocks *bart.Table[int]
}

// NewDirector returns a director without a table. Members returns every entry
// VM in view, this one included.
func NewDirector(members func() []tracker.Member) *Director {
	return &Director{members: members}
}

// SetForce takes over a document.
func (d *Director) SetForce(f *keeper.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.force == nil || placesHash(d.force) != placesHash(f) {
		d.blocks = Blocks(f.Document)
	}
	d.force = f
	d.rebuild()
}

// Refresh takes over a changed view of the members.
func (d *Director) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuild()
}

// Place answers a look-up. ready is false before there is a document.
func (d *Director) Place(service namer.Service, caller netip.Addr) (p Placement, known, ready bool) {
	t := d.table.Load()
	if t == nil {
		return Placement{}, false, false
	}
	p, known = t.Place(service, caller)
	return p, known, true
}

// Home returns the zone nearest to a caller.
func (d *Director) Home(service namer.Service, caller netip.Addr) (namer.Zone, bool) {
	t := d.table.Load()
	if t == nil {
		return "", false
	}
	return t.Home(service, caller)
}

func (d *Director) rebuild() {
	if d.force == nil {
		return
	}
	d.table.Store(New(d.force.Document, d.force.Head.Generation, d.blocks, d.members()))
}

func placesHash(f *keeper.Snapshot) keeper.Hash {
	sec, _ := f.Head.Section("places")
	return sec.Hash
}
