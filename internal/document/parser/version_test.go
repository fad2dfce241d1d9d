package parser_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
)

// routes returns a document of many routes, of which the version decides one.
func routes(version int) parser.Sources {
	var b bytes.Buffer
	b.WriteString("[service desk]\nconns = 100\n[service yard]\nconns = 100\n")
	for i := range 1400 {
		service := "desk"
		if i == version {
			service = "yard"
		}
		_, _ = fmt.Fprintf(&b, "[route r-%d]\nhost = shop.example\npath = /p%d/\nsplit = %s:1\nonce = yes\ntimeout = 1500ms\n", i, i, service)
	}
	return parser.Sources{{Section: parser.Services, Text: b.Bytes()}}
}

// TestEachVersionParsedWhole guards against a configuration that is late, and requests that wait,
// since each change of one route takes as much processor time as the whole configuration.
func TestEachVersionParsedWhole(t *testing.T) {
	p := parser.New()
	version := 0
	parse := func() {
		d, err := p.Parse(routes(version))
		assert.NilError(t, err)
		assert.Equal(t, d.Routes[version].Services[0].Service, d.Services[1].Name)
		version++
	}
	encode := testing.AllocsPerRun(1, func() { routes(version) })
	first := testing.AllocsPerRun(1, func() { p = parser.New(); parse() }) - encode
	next := testing.AllocsPerRun(10, parse) - encode
	assert.Assert(t, next < first/4, "%.0f allocations, %.0f for the first version", next, first)
}

func BenchmarkNextVersion(b *testing.B) {
	p := parser.New()
	version := 0
	sources := []parser.Sources{routes(1), routes(2)}
	for b.Loop() {
		version++
		if _, err := p.Parse(sources[version%2]); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFirstVersion(b *testing.B) {
	sources := routes(1)
	for b.Loop() {
		if _, err := parser.Parse(sources); err != nil {
			b.Fatal(err)
		}
	}
}
