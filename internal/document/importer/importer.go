// Package importer puts documents in force that come from another writer's
// records: it has them translated and offers them to the keeper.
//
// # Usage
//
//	im := importer.New(translate, name, documents, log)
//	f := follower.New(calls, kind, im, clock, log)
package importer

import (
	"log/slog"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// platformAuthor stands for the other writer in the head of a document.
const platformAuthor namer.Author = "platform"

type (
	// Translate turns a record into the text of a document.
	Translate func(r storer.Record) (namer.Generation, parser.Sources, error)

	// DocumentKeeper takes what is to be in force.
	DocumentKeeper interface {
		Adopt(head keeper.Head, sources parser.Sources) (bool, error)
	}

	// Importer handles the records of one kind, of which one is the document.
	Importer struct {
		translate Translate
		name      string
		documents DocumentKeeper
		log       *slog.Logger
	}
)

// New returns an importer of the record with a name.
func New(t Translate, name string, d DocumentKeeper, log *slog.Logger) *Importer {
	return &Importer{translate: t, name: name, documents: d, log: log}
}

// Reset implements follower.Handler.
func (i *Importer) Reset(records []storer.Record) {
	for _, r := range records {
		i.handle(storer.Change{Record: r})
	}
}

// Apply implements follower.Handler. A document that is removed or can't be
// read leaves the last one in force.
func (i *Importer) Apply(changes []storer.Change) {
	for _, c := range changes {
		i.handle(c)
	}
}

func (i *Importer) handle(c storer.Change) {
	if c.Record.Name != i.name || c.Removed {
		return
	}
	generation, sources, err := i.translate(c.Record)
	if err != nil {
		i.log.Error("document not read", "version", uint64(c.Record.Version), "reason", err.Error())
		return
	}
	head := keeper.Head{Generation: generation}
	for _, src := range sources {
		edit := keeper.Edit{Generation: generation, Section: src.Section, Author: platformAuthor}
		head.Sections = append(head.Sections, keeper.SectionHead{Hash: keeper.HashOf(src.Text), Edit: edit})
	}
	if _, err := i.documents.Adopt(head, sources); err != nil {
		i.log.Error("document refused", "generation", uint64(generation), "reason", err.Error())
	}
}

// StoreReachableSince implements follower.Handler. The configuration does not lapse.
func (i *Importer) StoreReachableSince(time.Time) {}
