package parser_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

func readExample(t testing.TB, name string) parser.Sources {
	var sources parser.Sources
	for _, s := range parser.Sections() {
		text, err := os.ReadFile(filepath.Join("../../../examples", name, string(s)+".ini"))
		assert.NilError(t, err)
		sources = append(sources, parser.Source{Section: s, Text: text})
	}
	return sources
}

// TestExampleSizes checks that the example documents have the numbers of upstreams, slots,
// connections and zones that the users specified.
func TestExampleSizes(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		service namer.Service
		count   int
		slots   namer.Weight
		conns   int
	}{
		{"lonestar", "blank-desk", 20, 6, 330},
		{"lonestar", "kiln-book", 12, 3, 330},
		{"tavua", "tintdesk", 28, 7, 390},
		{"tavua", "orderyard", 12, 4, 390},
	} {
		t.Run(string(tc.service), func(t *testing.T) {
			t.Parallel()
			doc, err := parser.Parse(readExample(t, tc.name))
			assert.NilError(t, err)
			count := 0
			for _, u := range doc.Upstreams {
				if u.Service != tc.service {
					continue
				}
				count++
				assert.Equal(t, u.Slots, tc.slots)
				assert.Equal(t, u.MaxConns, tc.conns)
			}
			assert.Equal(t, count, tc.count)
			assert.Equal(t, len(doc.Zones), 6)
		})
	}
}

func TestInvalidEntries(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		section parser.Section
		add     string
		want    string
	}{
		{"class without service", parser.Services, "[class x/y]\npath = /", `service "x" must stand before its classes`},
		{"once-only class with GET", parser.Services, "[class blank-desk/g]\npath = /g\nonce = yes", "a once-only class can't use GET, which clients may repeat"},
		{"path", parser.Services, "[class blank-desk/g]\npath = g", `path: "g" must start with /`},
		{"upstream in unknown zone", parser.Places, "[upstream u]\nservice = blank-desk\nzone = nope\naddress = 10.0.0.1:1\nslots = 1\nconns = 1", `[upstream u] zone: no zone "nope" in places`},
		{"drain of unknown zone", parser.Drains, "[drain d]\nkind = zone\ntarget = nope", `drains.ini:10: [drain d] target: no zone "nope" in places`},
		{"shift cap of unknown zone", parser.Limits, "[shift nope]\nweight = 1", `no zone "nope" in places`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			sources := readExample(t, "lonestar")
			text := string(sources.Text(tc.section)) + "\n" + tc.add + "\n"
			_, err := parser.Parse(sources.With(tc.section, []byte(text)))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

// TestValidSectionsInvalidTogether guards against two edits of different sections that are
// valid alone but together make the document invalid: the second one is rejected.
func TestValidSectionsInvalidTogether(t *testing.T) {
	t.Parallel()
	sources := readExample(t, "lonestar")
	drained := sources.With(parser.Drains, []byte("[drain d]\nkind = upstream\ntarget = kb-01\n"))
	_, err := parser.Parse(drained)
	assert.NilError(t, err)
	places := string(sources.Text(parser.Places))
	from := strings.Index(places, "[upstream kb-01]")
	to := strings.Index(places, "[upstream kb-02]")
	without := []byte(places[:from] + places[to:])
	_, err = parser.Parse(sources.With(parser.Places, without))
	assert.NilError(t, err)
	_, err = parser.Parse(drained.With(parser.Places, without))
	assert.ErrorContains(t, err, `no upstream "kb-01" in places`)
}

func TestClassify(t *testing.T) {
	t.Parallel()
	doc, err := parser.Parse(readExample(t, "lonestar"))
	assert.NilError(t, err)
	service, ok := doc.Service("blank-desk")
	assert.Assert(t, ok)
	for _, tc := range []struct {
		method, path string
		want         namer.Class
	}{
		{"GET", "/stock", "stock"},
		{"GET", "/stock/mesquite", "stock"},
		{"GET", "/stockade", ""},
		{"POST", "/orders", "order"},
		{"GET", "/orders", ""},
	} {
		t.Run(tc.method+tc.path, func(t *testing.T) {
			t.Parallel()
			class, _ := service.Classify(tc.method, tc.path)
			assert.Equal(t, class.Name, tc.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range parser.Sections() {
		f.Add(string(readExample(f, "tavua").Text(s)))
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, s := range parser.Sections() {
			doc, err := parser.Parse(parser.Sources{{Section: s, Text: []byte(text)}})
			if (doc == nil) == (err == nil) {
				t.Fatalf("want either a document or an error, got document %v and error %v", doc, err)
			}
		}
	})
}
