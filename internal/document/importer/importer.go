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

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// platformAuthor is the author of imported edits, since the record names none.
const platformAuthor namer.Author = "platform"

var errNoRecord = errors.New("the store has no record of the document")

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
		// err is why the store's latest document is not in force, or nil.
		err error
	}
)

// New returns an importer of the document in the record called name.
func New(t Translate, name string, d DocumentKeeper, log *slog.Logger) *Importer {
	return &Importer{translate: t, name: name, documents: d, log: log}
}

// Reset implements follower.Handler. It fails like Apply.
func (i *Importer) Reset(records []storer.Record) error {
	i.err = errNoRecord
	for _, r := range records {
		if r.Name == i.name {
			_, i.err = i.adopt(r)
		}
	}
	return i.err
}

// Apply implements follower.Handler. Of several documents it adopts the latest that is valid,
// without parsing those before it. If the record is removed or no document is valid, the
// current document stays. It fails while the store has no record of the document, or one that
// can't be adopted: what the current document lacks may then be a withdrawn key.
func (i *Importer) Apply(changes []storer.Change) error {
	latest := true
	for _, c := range slices.Backward(changes) {
		if c.Record.Name != i.name {
			continue
		}
		adopted, err := false, errNoRecord
		if !c.Removed {
			adopted, err = i.adopt(c.Record)
		}
		if latest {
			i.err = err
			latest = false
		}
		if adopted {
			break
		}
	}
	return i.err
}

// adopt adopts the document in a record and reports whether it became current.
func (i *Importer) adopt(r storer.Record) (bool, error) {
	generation, sources, err := i.translate(r)
	if err != nil {
		i.log.Error("translating the document record failed; keeping the current document", "version", r.Version, "reason", err.Error())
		return false, errors.Wrap(err, "translating the document record")
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
	return adopted, err
}

// StoreReachableSince implements follower.Handler. It does nothing, since the document does
// not expire during an outage of the store.
func (i *Importer) StoreReachableSince(time.Time) {}
