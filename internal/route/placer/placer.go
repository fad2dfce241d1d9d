// Package placer answers look-ups: which entry VMs a caller should use for a
// service, nearest zone first. A table is built when the document or the view
// of members changes; a look-up itself allocates nothing and calls nobody.
//
// # Usage
//
//	table := placer.New(document, generation, members)
//	placement := table.Place("blank-desk", callerAddress)
//	for _, e := range placement.List() {
//		fmt.Println(e.VM, e.Callers)
//	}
package placer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

// MaxEntries bounds the entry VMs of an answer.
const MaxEntries = 4

// nearest is how many of them are of the nearest zone.
const nearest = 2

// scatter spreads a hash over all bits of a score.
const scatter = 0x9e3779b97f4a7c15

// The bits of a caller's address that make its block when no block of the
// document has it.
const (
	blockBits4 = 24
	blockBits6 = 48
)

// Why a zone was chosen.
const (
	ByBlock     Reason = "block"
	ByException Reason = "exception"
	ByHash      Reason = "hash"
	ByFailover  Reason = "failover"
	ByNone      Reason = "none"
)

type (
	// Reason says why a zone was chosen.
	Reason string

	// Entry is an entry VM in an answer.
	Entry struct {
		VM      namer.VM
		Zone    namer.Zone
		Callers string
	}

	// Placement is the answer to a look-up. Home is the zone nearest to the
	// caller, Zone the one that serves it.
	Placement struct {
		Service    namer.Service
		Generation namer.Generation
		TTL        time.Duration
		Home       namer.Zone
		Zone       namer.Zone
		Reason     Reason
		Detail     string

		entries [MaxEntries]Entry
		count   int
	}

	// Table answers look-ups for one document and one view of members.
	Table struct {
		generation namer.Generation
		blocks     *bart.Table[int]
		zones      []zone
		services   []service
	}

	// zone is a zone with its live entry VMs. Order lists the other zones,
	// those of the same region first.
	zone struct {
		name    namer.Zone
		region  namer.Region
		entries []Entry
		hashes  []uint64
		order   []int
		drain   string
	}

	// service is a service with the zones that have an upstream for it.
	service struct {
		name       namer.Service
		ttl        time.Duration
		serves     []bool
		any        bool
		exceptions *bart.Table[int]
	}
)

// Blocks returns the longest-prefix table of a document's blocks. The values
// are indices into the document's zones.
func Blocks(doc *parser.Document) *bart.Table[int] {
	table := &bart.Table[int]{}
	index := make(map[namer.Zone]int, len(doc.Zones))
	for i, z := range doc.Zones {
		index[z.Name] = i
	}
	for _, b := range doc.Blocks {
		table.Insert(b.Prefix, index[b.Zone])
	}
	return table
}

// New returns the table for a document and the members in view, this VM's own
// entry included. Blocks may be shared by the tables of one document.
func New(doc *parser.Document, generation namer.Generation, blocks *bart.Table[int], members []tracker.Member) *Table {
	t := &Table{generation: generation, blocks: blocks}
	for _, z := range doc.Zones {
		drain, _ := doc.DrainOfZone(z.Name)
		t.zones = append(t.zones, zone{name: z.Name, region: z.Region, drain: drain})
	}
	for i := range t.zones {
		t.zones[i].order = t.order(i)
		t.zones[i].fill(doc, members)
	}
	for _, s := range doc.Services {
		t.services = append(t.services, t.service(doc, s))
	}
	return t
}

// List returns the entry VMs, the first to use first.
func (p *Placement) List() []Entry {
	return p.entries[:p.count]
}

// Home returns the zone nearest to a caller, whatever its state.
func (t *Table) Home(name namer.Service, caller netip.Addr) (namer.Zone, bool) {
	s := t.find(name)
	if s == nil || len(t.zones) == 0 {
		return "", false
	}
	home, _ := t.home(s, caller, blockHash(caller))
	return t.zones[home].name, true
}

// Place answers a look-up. ok is false for a service that the document lacks.
func (t *Table) Place(name namer.Service, caller netip.Addr) (p Placement, ok bool) {
	s := t.find(name)
	if s == nil {
		return p, false
	}
	p = Placement{Service: name, Generation: t.generation, TTL: s.ttl, Reason: ByNone}
	if len(t.zones) == 0 {
		return p, true
	}
	key := blockHash(caller)
	home, why := t.home(s, caller, key)
	p.Home = t.zones[home].name
	p.take(&t.zones[home], t.usable(s, home), key, nearest)
	if p.count > 0 {
		p.Zone = p.Home
		p.Reason = why
	}
	for _, i := range t.zones[home].order {
		if p.count == MaxEntries {
			break
		}
		before := p.count
		p.take(&t.zones[i], t.usable(s, i), key, 1)
		if before == 0 && p.count > 0 {
			p.Zone = t.zones[i].name
			p.Reason = ByFailover
			p.Detail = t.unusable(s, home)
		}
	}
	return p, true
}

func (t *Table) find(name namer.Service) *service {
	for i := range t.services {
		if t.services[i].name == name {
			return &t.services[i]
		}
	}
	return nil
}

func (t *Table) home(s *service, caller netip.Addr, key uint64) (int, Reason) {
	if s.any {
		if i, ok := s.exceptions.Lookup(caller); ok {
			return i, ByException
		}
	}
	if i, ok := t.blocks.Lookup(caller); ok {
		return i, ByBlock
	}
	return int(key % uint64(len(t.zones))), ByHash
}

func (t *Table) usable(s *service, i int) bool {
	return s.serves[i] && t.zones[i].drain == ""
}

// unusable says why a zone does not serve a caller.
func (t *Table) unusable(s *service, i int) string {
	switch {
	case t.zones[i].drain != "":
		return "drain " + t.zones[i].drain
	case !s.serves[i]:
		return "no upstream in the nearest zone"
	}
	return "no live entry VM in the nearest zone"
}

// take adds up to n of a zone's entry VMs. Rendezvous hashing by the caller's
// block keeps callers where they are when another VM comes or goes.
func (p *Placement) take(z *zone, usable bool, key uint64, n int) {
	if !usable {
		return
	}
	var best [nearest]ranked
	count := 0
	for i, h := range z.hashes {
		score := (h ^ key) * scatter
		if count == n && score <= best[n-1].score {
			continue
		}
		count = ranked{index: i, score: score}.insert(&best, count, n)
	}
	for _, r := range best[:min(count, MaxEntries-p.count)] {
		p.entries[p.count] = z.entries[r.index]
		p.count++
	}
}

// ranked is an entry VM of a zone by its score for a caller's block.
type ranked struct {
	index int
	score uint64
}

// insert keeps the n best in order, and returns how many there are.
func (r ranked) insert(best *[nearest]ranked, count, n int) int {
	at := count
	for at > 0 && best[at-1].score < r.score {
		at--
	}
	if at >= n {
		return count
	}
	count = min(count+1, n)
	copy(best[at+1:count], best[at:])
	best[at] = r
	return count
}

func (t *Table) order(home int) []int {
	order := make([]int, 0, len(t.zones))
	for i := range t.zones {
		if i != home {
			order = append(order, i)
		}
	}
	region := t.zones[home].region
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(t.distance(region, a, home), t.distance(region, b, home))
	})
	return order
}

// distance ranks the same region first, and then turns the document's order so
// that not every zone fails over to the same one.
func (t *Table) distance(region namer.Region, i, home int) int {
	turned := (i - home + len(t.zones)) % len(t.zones)
	if t.zones[i].region == region {
		return turned
	}
	return turned + len(t.zones)
}

func (z *zone) fill(doc *parser.Document, members []tracker.Member) {
	for _, m := range members {
		if m.Zone != z.name || m.State != tracker.Alive {
			continue
		}
		if _, drained := doc.DrainOf(parser.VMTarget, string(m.VM)); drained {
			continue
		}
		z.entries = append(z.entries, Entry{VM: m.VM, Zone: m.Zone, Callers: m.CallerAddress})
		z.hashes = append(z.hashes, xxhash.Sum64String(string(m.VM)))
	}
}

func (t *Table) service(doc *parser.Document, s parser.Service) service {
	out := service{name: s.Name, ttl: s.TTL, serves: make([]bool, len(t.zones)), exceptions: &bart.Table[int]{}}
	for i, z := range t.zones {
		out.serves[i] = serves(doc, s.Name, z.name)
		for _, e := range doc.Exceptions {
			if e.Service == s.Name && e.Zone == z.name {
				out.exceptions.Insert(e.Prefix, i)
				out.any = true
			}
		}
	}
	return out
}

func serves(doc *parser.Document, name namer.Service, z namer.Zone) bool {
	for _, u := range doc.Upstreams {
		if u.Service != name || u.Zone != z {
			continue
		}
		if _, drained := doc.DrainOf(parser.UpstreamTarget, string(u.Name)); !drained {
			return true
		}
	}
	return false
}

func blockHash(caller netip.Addr) uint64 {
	caller = caller.Unmap()
	bits := blockBits6
	if caller.Is4() {
		bits = blockBits4
	}
	prefix, err := caller.Prefix(bits)
	if err != nil {
		return 0
	}
	raw := prefix.Addr().As16()
	return xxhash.Sum64(raw[:])
}
