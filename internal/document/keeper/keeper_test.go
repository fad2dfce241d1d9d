package keeper_test

import (
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// newDocument returns the head and the sources of a document whose only section is text.
func newDocument(g namer.Generation, text string) (keeper.Head, parser.Sources) {
	head := keeper.Head{Generation: g, Sections: []keeper.SectionHead{{
		Hash: keeper.HashOf([]byte(text)), Edit: keeper.Edit{Section: parser.Services, Generation: g},
	}}}
	return head, parser.Sources{{Section: parser.Services, Text: []byte(text)}}
}

// TestPropertyGenerationNeverDecreases offers documents in arbitrary order and checks that
// only higher generations are adopted and passed to subscribers.
func TestPropertyGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := keeper.New(slog.New(slog.DiscardHandler))
		highest := namer.Generation(0)
		notified := namer.Generation(0)
		k.Subscribe(func(s *keeper.Snapshot) {
			if s.Head.Generation <= notified {
				t.Fatalf("subscriber was called with generation %d after %d", s.Head.Generation, notified)
			}
			notified = s.Head.Generation
		})
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			g := namer.Generation(rapid.IntRange(0, 12).Draw(t, "generation"))
			head, sources := newDocument(g, "[service a]\n")
			adopted, err := k.Adopt(head, sources)
			assert.NilError(t, err)
			if adopted != (g > highest) {
				t.Fatalf("offered generation %d, current %d: adopted %v", g, highest, adopted)
			}
			highest = max(highest, g)
			if k.Generation() != highest {
				t.Fatalf("current generation is %d, want %d", k.Generation(), highest)
			}
		}
	})
}

func TestAdoptRefusesWrongHash(t *testing.T) {
	t.Parallel()
	k := keeper.New(slog.New(slog.DiscardHandler))
	head, _ := newDocument(1, "[service a]\n")
	_, other := newDocument(1, "[service b]\n")
	_, err := k.Adopt(head, other)
	assert.ErrorContains(t, err, "text of section services of generation 1 does not match its hash in the head")
	assert.Assert(t, k.Current() == nil)
}

// TestEachVersionAdoptedWhole guards against a keeper that parses all of a document of which one
// route changes.
func TestEachVersionAdoptedWhole(t *testing.T) {
	generation := namer.Generation(0)
	texts := []string{manyServices(0), manyServices(1)}
	k := keeper.New(slog.New(slog.DiscardHandler))
	adopt := func() {
		generation++
		adopted, err := k.Adopt(newDocument(generation, texts[generation%2]))
		assert.NilError(t, err)
		assert.Assert(t, adopted)
	}
	first := testing.AllocsPerRun(1, func() { k = keeper.New(slog.New(slog.DiscardHandler)); adopt() })
	next := testing.AllocsPerRun(5, adopt)
	assert.Assert(t, next < first/4, "%.0f allocations, %.0f for the first version", next, first)
}

// manyServices returns a section of many services, of which one differs.
func manyServices(different int) string {
	var b strings.Builder
	for i := range 1400 {
		conns := "100"
		if i == different {
			conns = "200"
		}
		b.WriteString("[service s" + strconv.Itoa(i) + "]\nconns = " + conns + "\n")
	}
	return b.String()
}
