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

// LiveTable keeps the table for the document in force and the members in view.
// Look-ups read it without a lock.
type LiveTable struct {
	members func() []tracker.Member
	table   atomic.Pointer[Table]

	mu     sync.Mutex
	force  *keeper.Force
	blocks *bart.Table[int]
}

// NewLiveTable returns a director without a table. Members returns every entry
// VM in view, this one included.
func NewLiveTable(members func() []tracker.Member) *LiveTable {
	return &LiveTable{members: members}
}

// SetDocument takes over a document.
func (d *LiveTable) SetDocument(f *keeper.Force) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.force == nil || placesHash(d.force) != placesHash(f) {
		d.blocks = Blocks(f.Document)
	}
	d.force = f
	d.rebuild()
}

// Refresh takes over a changed view of the members.
func (d *LiveTable) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuild()
}

// Lookup answers a look-up. ready is false before there is a document.
func (d *LiveTable) Lookup(service namer.Service, caller netip.Addr) (p Result, known, ready bool) {
	t := d.table.Load()
	if t == nil {
		return Result{}, false, false
	}
	p, known = t.Lookup(service, caller)
	return p, known, true
}

// Home returns the zone nearest to a caller.
func (d *LiveTable) Home(service namer.Service, caller netip.Addr) (namer.Zone, bool) {
	t := d.table.Load()
	if t == nil {
		return "", false
	}
	return t.Home(service, caller)
}

func (d *LiveTable) rebuild() {
	if d.force == nil {
		return
	}
	d.table.Store(NewTable(d.force.Document, d.force.Head.Generation, d.blocks, d.members()))
}

func placesHash(f *keeper.Force) keeper.Hash {
	sec, _ := f.Head.Section("places")
	return sec.Hash
}
