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

// LiveTable holds the table for the current document and the current members, and
// rebuilds it when one of them changes. Lookups read the table without a lock.
type LiveTable struct {
	members func() []tracker.Member
	table   atomic.Pointer[Table]

	mu      sync.Mutex
	current *keeper.Snapshot
	blocks  *bart.Table[int]
}

// NewLiveTable returns a LiveTable without a table. The members function returns the
// known entry VMs, this one included.
func NewLiveTable(members func() []tracker.Member) *LiveTable {
	return &LiveTable{members: members}
}

// SetDocument rebuilds the table for a document. It rebuilds the table of blocks only if
// the places section has changed.
func (l *LiveTable) SetDocument(snapshot *keeper.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || placesSectionHash(l.current) != placesSectionHash(snapshot) {
		l.blocks = Blocks(snapshot.Document)
	}
	l.current = snapshot
	l.rebuild()
}

// Refresh rebuilds the table after a change of the members.
func (l *LiveTable) Refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rebuild()
}

// Lookup returns the entry VMs for a caller of a service. known is false for a service
// that the document lacks, and ready is false before there is a document.
func (l *LiveTable) Lookup(service namer.Service, caller netip.Addr) (r Result, known, ready bool) {
	t := l.table.Load()
	if t == nil {
		return Result{}, false, false
	}
	r, known = t.Lookup(service, caller)
	return r, known, true
}

// Home returns the home zone of a caller. It returns false before there is a document,
// and if the document lacks the service or has no zones.
func (l *LiveTable) Home(service namer.Service, caller netip.Addr) (namer.Zone, bool) {
	t := l.table.Load()
	if t == nil {
		return "", false
	}
	return t.Home(service, caller)
}

func (l *LiveTable) rebuild() {
	if l.current == nil {
		return
	}
	l.table.Store(NewTable(l.current.Document, l.current.Head.Generation, l.blocks, l.members()))
}

func placesSectionHash(snapshot *keeper.Snapshot) keeper.Hash {
	sec, _ := snapshot.Head.Section("places")
	return sec.Hash
}
