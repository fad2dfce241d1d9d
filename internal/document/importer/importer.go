// Package importer adopts steering documents that another system writes to the platform's
// store. It translates the record that holds the document and passes the result to the
// keeper.
//
// # Usage
//
//	im := importer.New(translate, name, documents, log)
//	f := follower.New(calls, kind, im, clock, log)
package importer

import (
	"log/slog"
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// platformAuthor is the author of imported edits, since the record names none.
const platformAuthor namer.Author = "platform"

type (
	// Translate returns the generation and the source texts of the document in a record.
	Translate func(r storer.Record) (namer.Generation, parser.Sources, error)

	// DocumentKeeper makes a document current.
	DocumentKeeper interface {
		Adopt(head keeper.Head, sources parser.Sources) (bool, error)
	}

	// Importer handles changes of the records of one kind and imports the document from
	// the record with the given name. It ignores the other records.
	Importer struct {
		translate Translate
		name      string
		documents DocumentKeeper
		log       *slog.Logger
	}
)

// New returns an importer of the document in the record called name.
func New(t Translate, name string, d DocumentKeeper, log *slog.Logger) *Importer {
	return &Importer{translate: t, name: name, documents: d, log: log}
}

// Reset implements follower.Handler.
func (i *Importer) Reset(records []storer.Record) {
	for _, r := range records {
		if r.Name == i.name {
			i.adopt(r)
		}
	}
}

// Apply implements follower.Handler. Of several documents it adopts the latest that is valid,
// without parsing those before it. If the record is removed or no document is valid, the
// current document stays.
func (i *Importer) Apply(changes []storer.Change) {
	for _, c := range slices.Backward(changes) {
		if c.Record.Name == i.name && !c.Removed && i.adopt(c.Record) {
			return
		}
	}
}

// adopt adopts the document in a record and reports whether it became current.
func (i *Importer) adopt(r storer.Record) bool {
	generation, sources, err := i.translate(r)
	if err != nil {
		i.log.Error("translating the document record failed; keeping the current document", "version", r.Version, "reason", err.Error())
		return false
	}
	head := keeper.Head{Generation: generation}
	for _, src := range sources {
		edit := keeper.Edit{Generation: generation, Section: src.Section, Author: platformAuthor}
		head.Sections = append(head.Sections, keeper.SectionHead{Hash: keeper.HashOf(src.Text), Edit: edit})
	}
	adopted, err := i.documents.Adopt(head, sources)
	if err != nil {
		i.log.Error("adopting the document failed; keeping the current one", "generation", uint64(generation), "reason", err.Error())
	}
	return adopted
}

// StoreReachableSince implements follower.Handler. It does nothing, since the document does
// not expire during an outage of the store.
func (i *Importer) StoreReachableSince(time.Time) {}
