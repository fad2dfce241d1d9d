// Package placer looks up which entry VMs a caller should use for a service, those of
// the nearest zone first. The lookup table is rebuilt when the document or the list of
// members changes; a lookup reads it without allocations or calls to other VMs.
//
// # Usage
//
//	table := placer.NewTable(document, generation, placer.Blocks(document), members)
//	result, ok := table.Lookup("blank-desk", callerAddress)
//	for _, e := range result.Entries() {
//		fmt.Println(e.VM, e.CallerAddress)
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

// MaxEntries is the maximum number of entry VMs in a lookup result.
const MaxEntries = 4

// maxHomeEntries is the maximum number of entry VMs from the caller's home zone.
const maxHomeEntries = 2

// hashMultiplier spreads a hash over all bits of a score. It is 2^64 divided by the
// golden ratio, as in Fibonacci hashing.
const hashMultiplier = 0x9e3779b97f4a7c15

// The prefix lengths of the block of a caller's address. The hash of this block selects
// the entry VMs of a zone, and also the home zone if no block of the document contains
// the address.
const (
	ipv4BlockBits = 24
	ipv6BlockBits = 48
)

// The reasons for the choice of a zone.
const (
	ReasonBlock     Reason = "block"
	ReasonException Reason = "exception"
	ReasonHash      Reason = "hash"
	ReasonFailover  Reason = "failover"
	ReasonNone      Reason = "none"
)

type (
	// Reason is the reason for the choice of a zone.
	Reason string

	// Entry is an entry VM in a lookup result.
	Entry struct {
		VM            namer.VM
		Zone          namer.Zone
		CallerAddress string
	}

	// Result is the result of a lookup. Home is the home zone, which is the zone nearest
	// to the caller, and Zone is the zone that serves the caller. If another zone serves
	// it, Detail says why.
	Result struct {
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

	// Table is the lookup table for one document and one list of members.
	Table struct {
		generation namer.Generation
		blocks     *bart.Table[int]
		zones      []zone
		services   []service
	}

	// zone is a zone with its live entry VMs and the hashes of their names. failover lists
	// the indices of the other zones, those of the same region first. drainName is the
	// drain that applies to the zone, if any.
	zone struct {
		name      namer.Zone
		region    namer.Region
		entries   []Entry
		hashes    []uint64
		failover  []int
		drainName string
	}

	// service is a service. hasUpstream tells for each zone whether it has an upstream for
	// the service that takes new requests.
	service struct {
		name          namer.Service
		ttl           time.Duration
		hasUpstream   []bool
		hasExceptions bool
		exceptions    *bart.Table[int]
	}
)

// Blocks returns a table for longest-prefix matches in a document's blocks. The values
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

// NewTable returns the table for a document and the members, which include this VM. The
// tables of one document may share blocks.
func NewTable(doc *parser.Document, generation namer.Generation, blocks *bart.Table[int], members []tracker.Member) *Table {
	t := &Table{generation: generation, blocks: blocks}
	for _, z := range doc.Zones {
		drain, _ := doc.DrainOfZone(z.Name)
		t.zones = append(t.zones, zone{name: z.Name, region: z.Region, drainName: drain})
	}
	for i := range t.zones {
		t.zones[i].failover = t.failoverOrder(i)
		t.zones[i].addMembers(doc, members)
	}
	for _, s := range doc.Services {
		t.services = append(t.services, t.newService(doc, s))
	}
	return t
}

// Entries returns the entry VMs in the order in which the caller should try them.
func (r *Result) Entries() []Entry {
	return r.entries[:r.count]
}

// Home returns the home zone of a caller, also if that zone cannot serve it. It returns
// false if the document lacks the service or has no zones.
func (t *Table) Home(name namer.Service, caller netip.Addr) (namer.Zone, bool) {
	s := t.findService(name)
	if s == nil || len(t.zones) == 0 {
		return "", false
	}
	home, _ := t.homeZone(s, caller, blockHash(caller))
	return t.zones[home].name, true
}

// Lookup returns the entry VMs for a caller of a service. ok is false for a service that
// the document lacks.
func (t *Table) Lookup(name namer.Service, caller netip.Addr) (r Result, ok bool) {
	s := t.findService(name)
	if s == nil {
		return r, false
	}
	r = Result{Service: name, Generation: t.generation, TTL: s.ttl, Reason: ReasonNone}
	if len(t.zones) == 0 {
		return r, true
	}
	key := blockHash(caller)
	home, reason := t.homeZone(s, caller, key)
	r.Home = t.zones[home].name
	r.addEntries(&t.zones[home], t.usable(s, home), key, maxHomeEntries)
	if r.count > 0 {
		r.Zone = r.Home
		r.Reason = reason
	}
	for _, i := range t.zones[home].failover {
		if r.count == MaxEntries {
			break
		}
		before := r.count
		r.addEntries(&t.zones[i], t.usable(s, i), key, 1)
		if before == 0 && r.count > 0 {
			r.Zone = t.zones[i].name
			r.Reason = ReasonFailover
			r.Detail = t.unusableReason(s, home)
		}
	}
	return r, true
}

func (t *Table) findService(name namer.Service) *service {
	for i := range t.services {
		if t.services[i].name == name {
			return &t.services[i]
		}
	}
	return nil
}

func (t *Table) homeZone(s *service, caller netip.Addr, key uint64) (int, Reason) {
	if s.hasExceptions {
		if i, ok := s.exceptions.Lookup(caller); ok {
			return i, ReasonException
		}
	}
	if i, ok := t.blocks.Lookup(caller); ok {
		return i, ReasonBlock
	}
	return int(key % uint64(len(t.zones))), ReasonHash
}

func (t *Table) usable(s *service, i int) bool {
	return s.hasUpstream[i] && t.zones[i].drainName == ""
}

// unusableReason returns why the home zone does not serve a caller.
func (t *Table) unusableReason(s *service, i int) string {
	switch {
	case t.zones[i].drainName != "":
		return "drain " + t.zones[i].drainName
	case !s.hasUpstream[i]:
		return "no upstream in the nearest zone"
	}
	return "no live entry VM in the nearest zone"
}

// addEntries adds up to n of a zone's entry VMs. It selects them by rendezvous hashing
// of the caller's block and the VM: when a VM is added or removed, only callers that
// used it or will use it get other entry VMs.
func (r *Result) addEntries(z *zone, usable bool, key uint64, n int) {
	if !usable {
		return
	}
	var best [maxHomeEntries]scoredEntry
	count := 0
	for i, h := range z.hashes {
		score := (h ^ key) * hashMultiplier
		if count == n && score <= best[n-1].score {
			continue
		}
		count = scoredEntry{index: i, score: score}.insert(&best, count, n)
	}
	for _, e := range best[:min(count, MaxEntries-r.count)] {
		r.entries[r.count] = z.entries[e.index]
		r.count++
	}
}

// scoredEntry is the index of a zone's entry VM and its score for a caller's block.
type scoredEntry struct {
	index int
	score uint64
}

// insert adds an entry to the n best ones, which are sorted by descending score, and
// returns how many there are.
func (e scoredEntry) insert(best *[maxHomeEntries]scoredEntry, count, n int) int {
	at := count
	for at > 0 && best[at-1].score < e.score {
		at--
	}
	if at >= n {
		return count
	}
	count = min(count+1, n)
	copy(best[at+1:count], best[at:])
	best[at] = e
	return count
}

func (t *Table) failoverOrder(home int) []int {
	order := make([]int, 0, len(t.zones))
	for i := range t.zones {
		if i != home {
			order = append(order, i)
		}
	}
	region := t.zones[home].region
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(t.failoverRank(region, a, home), t.failoverRank(region, b, home))
	})
	return order
}

// failoverRank returns the rank of zone i among the zones to which the home zone fails
// over. Zones of the same region come first. Within a group, the document's order is
// rotated to start after the home zone, so that not all zones fail over to the same one.
func (t *Table) failoverRank(region namer.Region, i, home int) int {
	rotated := (i - home + len(t.zones)) % len(t.zones)
	if t.zones[i].region == region {
		return rotated
	}
	return rotated + len(t.zones)
}

func (z *zone) addMembers(doc *parser.Document, members []tracker.Member) {
	for _, m := range members {
		if m.Zone != z.name || m.State != tracker.Alive {
			continue
		}
		if _, drained := doc.DrainOf(parser.VMTarget, string(m.VM)); drained {
			continue
		}
		z.entries = append(z.entries, Entry{VM: m.VM, Zone: m.Zone, CallerAddress: m.CallerAddress})
		z.hashes = append(z.hashes, xxhash.Sum64String(string(m.VM)))
	}
}

func (t *Table) newService(doc *parser.Document, s parser.Service) service {
	out := service{name: s.Name, ttl: s.TTL, hasUpstream: make([]bool, len(t.zones)), exceptions: &bart.Table[int]{}}
	for i, z := range t.zones {
		out.hasUpstream[i] = hasUpstream(doc, s.Name, z.name)
		for _, e := range doc.Exceptions {
			if e.Service == s.Name && e.Zone == z.name {
				out.exceptions.Insert(e.Prefix, i)
				out.hasExceptions = true
			}
		}
	}
	return out
}

func hasUpstream(doc *parser.Document, name namer.Service, z namer.Zone) bool {
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
	bits := ipv6BlockBits
	if caller.Is4() {
		bits = ipv4BlockBits
	}
	prefix, err := caller.Prefix(bits)
	if err != nil {
		return 0
	}
	raw := prefix.Addr().As16()
	return xxhash.Sum64(raw[:])
}
