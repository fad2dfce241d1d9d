package placer_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/route/placer"
)

// newDocument returns a document with zones a1 and a2 in region a, and b1 and b2 in
// region b.
func newDocument(t *testing.T, drains, exceptions string) *parser.Document {
	var places strings.Builder
	for i, z := range []string{"a1", "a2", "b1", "b2"} {
		fmt.Fprintf(&places, "[zone %s]\nregion = %s\nvms = 3\n[block %s]\nnet = 10.%d.0.0/16\nzone = %s\n", z, z[:1], z, i, z)
		fmt.Fprintf(&places, "[upstream u%s]\nservice = desk\nzone = %s\naddress = 10.0.0.1:1\nslots = 1\nconns = 1\n", z, z)
	}
	doc, err := parser.Parse(parser.Sources{
		{Section: parser.Services, Text: []byte("[service desk]\n")}, {Section: parser.Places, Text: []byte(places.String())},
		{Section: parser.Drains, Text: []byte(drains)}, {Section: parser.Exceptions, Text: []byte(exceptions)},
	})
	assert.NilError(t, err)
	return doc
}

func members(states ...string) []tracker.Member {
	var ms []tracker.Member
	for _, z := range []string{"a1", "a2", "b1", "b2"} {
		for i := range 3 {
			m := tracker.Member{VM: namer.VM(fmt.Sprintf("%s-%d", z, i)), Zone: namer.Zone(z), Region: namer.Region(z[:1])}
			for _, s := range states {
				name, state, _ := strings.Cut(s, "=")
				if strings.HasPrefix(string(m.VM), name) {
					m.State = map[string]tracker.State{"dead": tracker.Dead, "leaving": tracker.Leaving, "suspect": tracker.Suspect}[state]
				}
			}
			ms = append(ms, m)
		}
	}
	return ms
}

func TestLookup(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, caller, drains, exceptions string
		states                           []string
		zones                            string
		reason                           placer.Reason
		detail                           string
	}{
		{"nearest", "10.0.0.1", "", "", nil, "a1 a1 a2 b1", placer.ReasonBlock, ""},
		{"another block", "10.3.0.1", "", "", nil, "b2 b2 b1 a1", placer.ReasonBlock, ""},
		{"one VM left", "10.0.0.1", "", "", []string{"a1-0=dead", "a1-1=leaving"}, "a1 a2 b1 b2", placer.ReasonBlock, ""},
		{"zone gone", "10.0.0.1", "", "", []string{"a1=dead"}, "a2 b1 b2", placer.ReasonFailover, "no live entry VM in the nearest zone"},
		{"zone drained", "10.0.0.1", "[drain d]\nkind = zone\ntarget = a1\n", "", nil, "a2 b1 b2", placer.ReasonFailover, "drain d"},
		{"region drained", "10.0.0.1", "[drain d]\nkind = region\ntarget = a\n", "", nil, "b1 b2", placer.ReasonFailover, "drain d"},
		{"upstream drained", "10.0.0.1", "[drain d]\nkind = upstream\ntarget = ua1\n", "", nil, "a2 b1 b2", placer.ReasonFailover, "no upstream in the nearest zone"},
		{"VM drained", "10.0.0.1", "[drain d]\nkind = vm\ntarget = a1-0\n", "", []string{"a1-1=dead"}, "a1 a2 b1 b2", placer.ReasonBlock, ""},
		{"exception", "10.0.0.1", "", "[exception e]\nnet = 10.0.0.0/24\nservice = desk\nzone = b2\n", nil, "b2 b2 b1 a1", placer.ReasonException, ""},
		{"nobody", "10.0.0.1", "", "", []string{"a=dead", "b=suspect"}, "", placer.ReasonNone, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			doc := newDocument(t, tc.drains, tc.exceptions)
			table := placer.NewTable(doc, 3, placer.Blocks(doc), members(tc.states...))
			p, ok := table.Lookup("desk", netip.MustParseAddr(tc.caller))
			assert.Assert(t, ok)
			var zones []string
			seen := make(map[namer.VM]bool)
			for _, e := range p.Entries() {
				assert.Assert(t, !seen[e.VM], "%s is listed twice", e.VM)
				seen[e.VM] = true
				zones = append(zones, string(e.Zone))
			}
			assert.Equal(t, strings.Join(zones, " "), tc.zones)
			assert.Equal(t, p.Reason, tc.reason)
			assert.Equal(t, p.Detail, tc.detail)
		})
	}
}

// TestRemovedVMMovesOnlyItsCallers removes one VM. Only the callers whose first entry VM
// it was may get another first one.
func TestRemovedVMMovesOnlyItsCallers(t *testing.T) {
	t.Parallel()
	doc := newDocument(t, "", "")
	blocks := placer.Blocks(doc)
	before := placer.NewTable(doc, 1, blocks, members())
	after := placer.NewTable(doc, 1, blocks, members("a1-1=dead"))
	counts := make(map[namer.VM]int)
	for i := range 256 {
		caller := netip.AddrFrom4([4]byte{10, 0, byte(i), 9})
		oldResult, _ := before.Lookup("desk", caller)
		newResult, _ := after.Lookup("desk", caller)
		counts[oldResult.Entries()[0].VM]++
		if oldResult.Entries()[0].VM != "a1-1" {
			assert.Equal(t, newResult.Entries()[0].VM, oldResult.Entries()[0].VM)
		}
	}
	for vm, n := range counts {
		assert.Assert(t, n > 40, "%s is the first entry VM of only %d of 256 blocks", vm, n)
	}
}

func TestLookupAllocatesNothing(t *testing.T) {
	doc := newDocument(t, "", "")
	table := placer.NewTable(doc, 1, placer.Blocks(doc), members())
	caller := netip.MustParseAddr("10.0.0.1")
	assert.Equal(t, testing.AllocsPerRun(100, func() { _, _ = table.Lookup("desk", caller) }), 0.0)
}
