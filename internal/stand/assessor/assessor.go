// Package assessor measures the memory and CPU time that the control plane takes
// on one entry VM, at the size that the users plan for. docs/CAPACITY.md is
// derived from its figures.
//
// # Usage
//
//	err := assessor.Run(os.Stdout)
package assessor

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gaissmai/bart"
	"google.golang.org/protobuf/proto"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/route/placer"
)

// The size that the users plan for.
const (
	entryVMs   = 4400
	blocks     = 2_900_000
	upstreams  = 1800 // one for each site
	regions    = 40
	zones      = 143
	vmsPerZone = entryVMs / zones
	// membersPerOtherZone is the number of members of each other zone that a
	// heartbeat contains.
	membersPerOtherZone = 3

	iterations  = 200
	lookupCount = 2_000_000
	tokenCount  = 200_000
)

// printRow prints the name of a figure and its value.
func printRow(out io.Writer, name, format string, args ...any) {
	fmt.Fprintf(out, "%-52s %s\n", name, fmt.Sprintf(format, args...))
}

// Run measures everything and prints a row for each figure.
func Run(out io.Writer) error {
	printRow(out, "size", "%d nodes, %d blocks, %d sites, %d regions, %d zones, %d VMs a zone", entryVMs, blocks, upstreams, regions, zones, vmsPerZone)
	table := measureBlockTable(out)
	doc, err := measureDocument(out)
	if err != nil {
		return err
	}
	measureLookup(out, doc, table)
	measureHeartbeat(out)
	return measureOnceOnly(out)
}

func measureBlockTable(out io.Writer) *bart.Table[int] {
	rng := rand.New(rand.NewPCG(1, 2))
	prefixes := make([]netip.Prefix, blocks)
	for i := range prefixes {
		a := rng.Uint32()
		bits := 20 + rng.IntN(5)
		prefixes[i] = netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)}), bits).Masked()
	}
	before := heapBytes()
	start := time.Now()
	table := &bart.Table[int]{}
	for i, p := range prefixes {
		table.Insert(p, i%zones)
	}
	printRow(out, "block table: distinct prefixes", "%d", table.Size())
	printRow(out, "block table: build", "%.2f s", time.Since(start).Seconds())
	printRow(out, "block table: memory", "%.1f MB", float64(heapBytes()-before)/1e6)
	start = time.Now()
	found := 0
	for i := range lookupCount {
		if _, ok := table.Lookup(prefixes[i%blocks].Addr()); ok {
			found++
		}
	}
	printRow(out, "block table: one look-up", "%.0f ns (%d of %d found)", nanosPerOp(start, lookupCount), found, lookupCount)
	start = time.Now()
	next := table
	for i := range iterations {
		next = next.InsertPersist(prefixes[i], 1)
	}
	printRow(out, "block table: one edit, readers undisturbed", "%.1f µs", nanosPerOp(start, iterations)/1e3)
	runtime.KeepAlive(prefixes)
	return table
}

func measureDocument(out io.Writer) (*parser.Document, error) {
	var services, places strings.Builder
	services.WriteString("[service desk]\n[class desk/stock]\npath = /stock\n")
	for z := range zones {
		fmt.Fprintf(&places, "[zone z%d]\nregion = r%d\nvms = %d\n", z, z%regions, vmsPerZone)
	}
	for u := range upstreams {
		fmt.Fprintf(&places, "[upstream u%d]\nservice = desk\nzone = z%d\naddress = 10.%d.%d.1:80\nslots = 6\nconns = 330\n", u, u%zones, u/250, u%250)
	}
	sources := parser.Sources{
		{Section: parser.Services, Text: []byte(services.String())}, {Section: parser.Places, Text: []byte(places.String())},
	}
	start := time.Now()
	doc, err := parser.Parse(sources)
	if err != nil {
		return nil, errors.Wrap(err, "parsing a document of the planned size")
	}
	printRow(out, "document without blocks: text", "%d bytes", places.Len()+services.Len())
	printRow(out, "document without blocks: parse and check", "%.1f ms", nanosPerOp(start, 1)/1e6)
	wire := &encoder.Document{Sections: []*encoder.Section{{Name: "places", Text: sources[1].Text}}}
	raw, err := proto.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encoding")
	}
	start = time.Now()
	for range iterations {
		if err := proto.Unmarshal(raw, &encoder.Document{}); err != nil {
			return nil, errors.Wrap(err, "decoding")
		}
	}
	printRow(out, "document without blocks: decode from a peer", "%.1f µs", nanosPerOp(start, iterations)/1e3)
	return doc, nil
}

func measureLookup(out io.Writer, doc *parser.Document, table *bart.Table[int]) {
	all := members()
	start := time.Now()
	var t *placer.Table
	for range 3 {
		t = placer.NewTable(doc, 1, table, all)
	}
	printRow(out, "placement table: build after a change of members", "%.1f ms", nanosPerOp(start, 3)/1e6)
	rng := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		a := rng.Uint32()
		addrs[i] = netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)})
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start = time.Now()
	for i := range lookupCount {
		p, _ := t.Lookup("desk", addrs[i%len(addrs)])
		runtime.KeepAlive(p)
	}
	took := nanosPerOp(start, lookupCount)
	runtime.ReadMemStats(&after)
	printRow(out, "placement: one decision", "%.0f ns, %.3f allocations", took, float64(after.Mallocs-before.Mallocs)/lookupCount)
}

// members returns all entry VMs of a deployment of the planned size.
func members() []tracker.Member {
	all := make([]tracker.Member, 0, entryVMs)
	now := time.Now()
	for i := range entryVMs {
		z := i % zones
		all = append(all, tracker.Member{
			VM: namer.VM(fmt.Sprintf("zone-%d-%d", z, i/zones)), Zone: namer.Zone(fmt.Sprintf("z%d", z)),
			Region: namer.Region(fmt.Sprintf("r%d", z%regions)), CallerAddress: "10.100.100.100:8080", PeerAddress: "10.100.100.100:7002",
			OperatorAddress: "10.100.100.100:7001", Incarnation: namer.Incarnation{byte(i), byte(i >> 8), 1}, Started: now,
			LastHeard: now, Sequence: 123456, Generation: 123456, FreeCapacity: []tracker.FreeCapacity{{Service: "blank-desk", Weight: 4}},
		})
	}
	return all
}

func measureHeartbeat(out io.Writer) {
	all := members()
	self := all[0]
	now := time.Now()
	compose := func(perOther int) *encoder.Heartbeat {
		hb := &encoder.Heartbeat{Sender: converter.Member(self, now)}
		for _, m := range heartbeater.ZoneView(self, all, perOther) {
			hb.Members = append(hb.Members, converter.Member(m, now))
		}
		return hb
	}
	for _, variant := range []struct {
		name            string
		membersPerOther int
	}{{"heartbeat as sent (own zone, 3 of each other zone)", membersPerOtherZone}, {"heartbeat of the own zone alone", 0}, {"summary of 143 zones, one VM each", 1}} {
		hb := compose(variant.membersPerOther)
		raw, _ := proto.Marshal(hb)
		t := tracker.New("other", tracker.Timing{SuspectTimeout: time.Minute, DeadTimeout: time.Hour})
		start := time.Now()
		for range iterations {
			got := &encoder.Heartbeat{}
			_ = proto.Unmarshal(raw, got)
			for _, m := range got.GetMembers() {
				if member, ok := converter.MemberFrom(m, now); ok {
					t.Merge(now, member)
				}
			}
		}
		printRow(out, variant.name, "%d members, %d bytes, %.1f µs to take", len(hb.GetMembers()), len(raw), nanosPerOp(start, iterations)/1e3)
	}
	start := time.Now()
	for range 20 {
		compose(membersPerOtherZone)
	}
	printRow(out, "heartbeat as sent: compose", "%.1f µs", nanosPerOp(start, 20)/1e3)
	view := tracker.New("other", tracker.Timing{SuspectTimeout: time.Minute, DeadTimeout: time.Hour})
	before := heapBytes()
	for _, m := range all {
		view.Merge(now, m)
	}
	printRow(out, "view of every entry VM: memory", "%.2f MB", float64(heapBytes()-before)/1e6)
	runtime.KeepAlive(view)
	gateways := 0
	for _, m := range all {
		if heartbeater.IsGateway(m.VM, m.Zone, all) {
			gateways++
		}
	}
	printRow(out, "VMs that watch the head and read the list", "%d of %d", gateways, entryVMs)
	printRow(out, "targets of a gateway's heartbeats", "%d", len(heartbeater.Targets(firstGateway(all), all, true)))
}

// firstGateway returns the first gateway of the deployment.
func firstGateway(all []tracker.Member) tracker.Member {
	for _, m := range all {
		if heartbeater.IsGateway(m.VM, m.Zone, all) {
			return m
		}
	}
	return all[0]
}

func measureOnceOnly(out io.Writer) error {
	inc := namer.Incarnation{1}
	minter, err := arbiter.NewMinter(inc, "10.0.0.1:1", rand.NewChaCha8([32]byte{}), tokenCount)
	if err != nil {
		return err
	}
	now := time.Now()
	minted := make([]arbiter.Token, tokenCount)
	for i := range minted {
		if minted[i], err = minter.Mint(now, time.Hour, "desk", arbiter.WitnessPeer{Incarnation: namer.Incarnation{2}, PeerAddress: "10.0.0.2:1"}); err != nil {
			return err
		}
	}
	before := heapBytes()
	start := time.Now()
	owner := arbiter.NewOwner(inc, minter)
	for _, t := range minted {
		owner.Begin(now, t, arbiter.Digest{1})
		owner.IntentAnswered(t.Nonce, arbiter.Verdict{Accepted: true})
		owner.MarkSent(t.Nonce)
		owner.Finish(t.Nonce, arbiter.Outcome{Execution: arbiter.Ran, Response: arbiter.Response{Status: 200, Upstream: "u", VM: "v"}})
	}
	printRow(out, "owner: tokens a second on one core", "%.0f", float64(tokenCount)/time.Since(start).Seconds())
	printRow(out, "owner: memory for one token without a body", "%.0f bytes", float64(heapBytes()-before)/tokenCount)
	runtime.KeepAlive(owner)
	before = heapBytes()
	start = time.Now()
	witness := arbiter.NewWitness(namer.Incarnation{2}, tokenCount)
	for _, t := range minted {
		witness.RecordIntent(now, t)
	}
	printRow(out, "witness: intents a second on one core", "%.0f", float64(tokenCount)/time.Since(start).Seconds())
	printRow(out, "witness: memory for one intent", "%.0f bytes", float64(heapBytes()-before)/tokenCount)
	runtime.KeepAlive(witness)
	return nil
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// nanosPerOp returns the mean nanoseconds of each of n operations since start.
func nanosPerOp(start time.Time, n int) float64 {
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}
