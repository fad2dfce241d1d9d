package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// The record of an upstream may be missing or unreadable for a moment, and a document may lack
// its service. That must not make the upstream count as warm.
func TestLostUpstreamForgottenWithItsRecord(t *testing.T) {
	t.Parallel()
	drained := startedView()
	drained.Drained = map[namer.Zone]bool{"a1": true}
	for lossName, lose := range map[string]func(f *fixture, target cataloger.Target){
		"lost":            func(f *fixture, target cataloger.Target) { assert.Assert(t, f.RecordLost(target)) },
		"reachable again": func(f *fixture, target cataloger.Target) { f.RecordLost(target); f.RecordContact(f.now, target) },
		"its zone came back": func(f *fixture, _ cataloger.Target) {
			f.Update(f.now, drained, f.doc)
			f.Update(f.now, startedView(), f.doc)
		},
	} {
		for missingName, miss := range map[string]func(f *fixture, name namer.Upstream){
			"record":  func(f *fixture, name namer.Upstream) { f.Update(f.now, without(startedView(), name), f.doc) },
			"service": func(f *fixture, _ namer.Upstream) { f.Update(f.now, startedView(), &parser.Document{}) },
		} {
			t.Run(lossName+", "+missingName+" missing", func(t *testing.T) {
				t.Parallel()
				f, name := coldFixture(t)
				lose(f, f.Decide(f.now, f.request("o")).Target())
				f.now = f.now.Add(100 * time.Millisecond)
				miss(f, name)
				f.now = f.now.Add(100 * time.Millisecond)
				f.Update(f.now, startedView(), f.doc)
				assert.Assert(t, len(f.beginTo(name, 9)) <= coldShare)
			})
		}
	}
}
