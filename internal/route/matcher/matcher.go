// Package matcher finds the route of a request: of the routes of its host, the
// one with the longest prefix of its path.
//
// # Usage
//
//	t := matcher.New(doc)
//	route, ok := t.Match("shop.example", "/stock/42")
package matcher

import (
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// Table is the routes of one document. It is never changed.
type Table struct {
	hosts map[string]map[string]*parser.Route
}

// New returns the table of a document.
func New(doc *parser.Document) *Table {
	t := &Table{hosts: make(map[string]map[string]*parser.Route)}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = make(map[string]*parser.Route)
		}
		t.hosts[r.Host][r.PathPrefix] = r
	}
	return t
}

// Match returns the route of a host and path. Every prefix ends with a slash,
// so each slash of the path, from the last, is where one may end.
func (t *Table) Match(host, path string) (*parser.Route, bool) {
	routes := t.hosts[plainHost(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := routes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Regions returns the regions that may serve every route of a host, or nil when
// any may.
func (t *Table) Regions(host string) []namer.Region {
	var common []namer.Region
	for _, r := range t.hosts[plainHost(host)] {
		if len(r.AllowedRegions) == 0 {
			continue
		}
		if common == nil {
			common = r.AllowedRegions
			continue
		}
		common = both(common, r.AllowedRegions)
	}
	return common
}

func both(a, b []namer.Region) []namer.Region {
	out := []namer.Region{}
	for _, x := range a {
		for _, y := range b {
			if x == y {
				out = append(out, x)
			}
		}
	}
	return out
}

// plainHost takes the port off a host.
func plainHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}
