package importer_test

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/importer"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const name = "main"

// translate returns the length of the spec as the generation.
func translate(r storer.Record) (namer.Generation, parser.Sources, error) {
	return namer.Generation(len(r.Spec)), parser.Sources{{Section: parser.Services, Text: []byte("[service desk]\n")}}, nil
}

func record(g namer.Generation, era storer.Era, revision storer.Revision) storer.Record {
	return storer.Record{Name: name, Version: storer.Version{Era: era, Revision: revision}, Spec: make([]byte, g)}
}

// TestOlderDocumentAfterRestore has the store come back from a copy with an earlier generation. It
// must not be applied; a later one is, although its revision is lower than that known before.
func TestOlderDocumentAfterRestore(t *testing.T) {
	t.Parallel()
	log := slog.New(slog.DiscardHandler)
	documents := keeper.New(log)
	im := importer.New(translate, name, documents, log)
	assert.NilError(t, im.Reset([]storer.Record{record(5, 1, 90)}))
	assert.Equal(t, documents.Generation(), namer.Generation(5))
	assert.NilError(t, im.Reset([]storer.Record{record(3, 2, 70)}))
	assert.Equal(t, documents.Generation(), namer.Generation(5))
	assert.ErrorContains(t, im.Reset(nil), "no record")
	assert.ErrorContains(t, im.Apply([]storer.Change{{Record: record(4, 2, 71)}, {Record: record(4, 2, 71), Removed: true}}), "no record")
	assert.Equal(t, documents.Generation(), namer.Generation(5))
	assert.NilError(t, im.Apply([]storer.Change{{Record: record(6, 2, 72)}}))
	assert.Equal(t, documents.Generation(), namer.Generation(6))
}

// TestObsoleteDocumentsDelayTheLatest guards against a configuration that is late because each
// one before it is parsed and adopted first.
func TestObsoleteDocumentsDelayTheLatest(t *testing.T) {
	t.Parallel()
	log := slog.New(slog.DiscardHandler)
	documents := keeper.New(log)
	var adopted []namer.Generation
	documents.Subscribe(func(s *keeper.Snapshot) { adopted = append(adopted, s.Head.Generation) })
	translated := 0
	im := importer.New(func(r storer.Record) (namer.Generation, parser.Sources, error) {
		translated++
		return translate(r)
	}, name, documents, log)
	assert.NilError(t, im.Apply([]storer.Change{{Record: record(2, 1, 70)}, {Record: record(3, 1, 71)}, {Record: record(4, 1, 72)}}))
	assert.DeepEqual(t, adopted, []namer.Generation{4})
	assert.Equal(t, translated, 1)
}

// TestLatestDocumentInvalid expects the latest valid one of several documents that are learned
// together.
func TestLatestDocumentInvalid(t *testing.T) {
	t.Parallel()
	log := slog.New(slog.DiscardHandler)
	documents := keeper.New(log)
	im := importer.New(func(r storer.Record) (namer.Generation, parser.Sources, error) {
		g, sources, err := translate(r)
		if g == 4 {
			sources = parser.Sources{{Section: parser.Services, Text: []byte("[service\n")}}
		}
		return g, sources, err
	}, name, documents, log)
	changes := []storer.Change{{Record: record(2, 1, 70)}, {Record: record(3, 1, 71)}, {Record: record(4, 1, 72)}}
	assert.ErrorContains(t, im.Apply(changes), "generation 4")
	assert.Equal(t, documents.Generation(), namer.Generation(3))
	assert.ErrorContains(t, im.Apply([]storer.Change{{Record: storer.Record{Name: "another"}}}), "generation 4")
	assert.NilError(t, im.Apply([]storer.Change{{Record: record(5, 1, 73)}}))
}
