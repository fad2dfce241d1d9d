package matcher_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/matcher"
)

func document() *parser.Document {
	return &parser.Document{Routes: []parser.Route{
		{Name: "all", Host: "shop.example", Prefix: "/"},
		{Name: "stock", Host: "shop.example", Prefix: "/stock/"},
		{Name: "rare", Host: "shop.example", Prefix: "/stock/rare/", PermittedRegions: []namer.Region{"r1", "r2"}},
		{Name: "kiln", Host: "kiln.example", Prefix: "/slot/", PermittedRegions: []namer.Region{"r2", "r3"}},
	}}
}

func TestMatch(t *testing.T) {
	t.Parallel()
	table := matcher.New(document())
	for _, tc := range []struct{ host, path, route string }{
		{"shop.example", "/stock/42", "stock"},
		{"shop.example", "/stock/", "stock"},
		{"shop.example", "/stock/rare/1/2", "rare"},
		{"shop.example", "/stockings/", "all"},
		{"shop.example", "/stock", "all"},
		{"SHOP.example:8080", "/stock/1", "stock"},
		{"kiln.example", "/slot/9", "kiln"},
		{"kiln.example", "/", ""},
		{"other.example", "/stock/42", ""},
		{"", "", ""},
	} {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			t.Parallel()
			r, ok := table.Match(tc.host, tc.path)
			assert.Equal(t, ok, tc.route != "")
			if ok {
				assert.Equal(t, string(r.Name), tc.route)
			}
		})
	}
}

func TestRegions(t *testing.T) {
	t.Parallel()
	table := matcher.New(document())
	assert.DeepEqual(t, table.PermittedRegions("shop.example"), []namer.Region{"r1", "r2"})
	assert.DeepEqual(t, table.PermittedRegions("kiln.example"), []namer.Region{"r2", "r3"})
	assert.Assert(t, table.PermittedRegions("other.example") == nil)
}

// TestPropertyLongestPrefix compares the table with a linear search of all routes.
func TestPropertyLongestPrefix(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		doc := &parser.Document{}
		for _, p := range rapid.SliceOfDistinct(rapid.StringMatching(`/([ab]{1,2}/){0,3}`), rapid.ID[string]).Draw(t, "prefixes") {
			doc.Routes = append(doc.Routes, parser.Route{Name: namer.Route(p), Host: "h", Prefix: p})
		}
		path := rapid.StringMatching(`/([ab]{0,2}/){0,4}[ab]{0,2}`).Draw(t, "path")
		want := ""
		for _, r := range doc.Routes {
			if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(want) {
				want = r.Prefix
			}
		}
		r, ok := matcher.New(doc).Match("h", path)
		if ok != (want != "") || ok && r.Prefix != want {
			t.Fatalf("%q: got %v, want %q", path, r, want)
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	table := matcher.New(document())
	for b.Loop() {
		table.Match("shop.example", "/stock/rare/1/2")
	}
}
