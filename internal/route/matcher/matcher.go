// Package matcher finds the route of a request by its host and the longest matching
// path prefix.
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

// Table holds the routes of one document by host and path prefix. It is immutable.
type Table struct {
	hosts map[string]map[string]*parser.Route
}

// New returns the route table of a document.
func New(doc *parser.Document) *Table {
	t := &Table{hosts: make(map[string]map[string]*parser.Route)}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = make(map[string]*parser.Route)
		}
		t.hosts[r.Host][r.Prefix] = r
	}
	return t
}

// Match returns the route for a host and path. Every path prefix ends with a slash, so
// it tries the prefixes of the path that end with a slash, the longest first.
func (t *Table) Match(host, path string) (*parser.Route, bool) {
	routes := t.hosts[normalizeHost(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := routes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// PermittedRegions returns the regions that may serve all routes of a host, or nil if any
// region may.
func (t *Table) PermittedRegions(host string) []namer.Region {
	var common []namer.Region
	for _, r := range t.hosts[normalizeHost(host)] {
		if len(r.PermittedRegions) == 0 {
			continue
		}
		if common == nil {
			common = r.PermittedRegions
			continue
		}
		common = intersect(common, r.PermittedRegions)
	}
	return common
}

func intersect(a, b []namer.Region) []namer.Region {
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

// normalizeHost returns a host in lower case and without its port.
func normalizeHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}
