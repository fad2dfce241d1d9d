// Package keeper holds the steering document in force on one VM. It moves only
// to a higher generation, whoever offers a lower one: a read that lags, an old
// peer, or a platform restored from an older copy.
//
// # Usage
//
//	k := keeper.New(log)
//	adopted, err := k.Adopt(head, sources)
//	if force := k.Current(); force != nil {
//		service, ok := force.Document.Service("blank-desk")
//	}
package keeper

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// HeadKey is the platform's key of the head.
const HeadKey = "head"

type (
	// Hash identifies a section's text.
	Hash string

	// Edit is one accepted edit.
	Edit struct {
		ID         string           `json:"id"`
		Generation namer.Generation `json:"generation"`
		Section    parser.Section   `json:"section"`
		Author     namer.Author     `json:"author"`
		Time       time.Time        `json:"time"`
	}

	// SectionHead is the text in force of one section and the edit that
	// brought it.
	SectionHead struct {
		Hash Hash `json:"hash"`
		Edit Edit `json:"edit"`
	}

	// Head is the one object whose update accepts an edit. Edits holds the
	// latest edits, the last one last.
	Head struct {
		Generation namer.Generation `json:"generation"`
		Sections   []SectionHead    `json:"sections"`
		Edits      []Edit           `json:"edits"`
	}

	// Snapshot is a document in force. It is never changed.
	Snapshot struct {
		Head     Head
		Sources  parser.Sources
		Document *parser.Document
	}

	// Keeper holds the document in force.
	Keeper struct {
		log         *slog.Logger
		mu          sync.Mutex
		current     atomic.Pointer[Snapshot]
		subscribers []func(*Snapshot)
		staleCount  atomic.Uint64
	}
)

// HashOf returns the hash of a section's text.
func HashOf(text []byte) Hash {
	sum := sha256.Sum256(text)
	return Hash(hex.EncodeToString(sum[:]))
}

// Key returns the platform's key of the text with this hash.
func (h Hash) Key() string {
	return "section-" + string(h)
}

// Section returns the head of one section.
func (h Head) Section(s parser.Section) (SectionHead, bool) {
	for _, sec := range h.Sections {
		if sec.Edit.Section == s {
			return sec, true
		}
	}
	return SectionHead{}, false
}

// FindEdit returns the edit with an id, if it is among the latest or still in
// force in its section.
func (h Head) FindEdit(id string) (Edit, bool) {
	for _, sec := range h.Sections {
		if sec.Edit.ID == id {
			return sec.Edit, true
		}
	}
	for _, e := range h.Edits {
		if e.ID == id {
			return e, true
		}
	}
	return Edit{}, false
}

// Encode returns the head as the platform holds it.
func (h Head) Encode() ([]byte, error) {
	raw, err := json.Marshal(h)
	return raw, errors.Wrap(err, "encoding the head")
}

// DecodeHead reads a head.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	err := json.Unmarshal(raw, &h)
	return h, errors.Wrap(err, "decoding the head")
}

// New returns a keeper without a document.
func New(log *slog.Logger) *Keeper {
	return &Keeper{log: log}
}

// Current returns the document in force, or nil before the first.
func (k *Keeper) Current() *Snapshot {
	return k.current.Load()
}

// Generation returns the generation in force, 0 before the first.
func (k *Keeper) Generation() namer.Generation {
	if f := k.Current(); f != nil {
		return f.Head.Generation
	}
	return 0
}

// Stale returns how often a lower generation was offered by the platform.
func (k *Keeper) Stale() uint64 {
	return k.staleCount.Load()
}

// NoteStale logs and counts an offer by the platform of a lower generation.
func (k *Keeper) NoteStale(offered namer.Generation) {
	k.staleCount.Add(1)
	k.log.Warn("generation refused", "offered", uint64(offered), "generation", uint64(k.Generation()),
		"reason", "the platform is behind the generation in force")
}

// Subscribe calls f with every document that comes into force from now on, in
// order and under a lock.
func (k *Keeper) Subscribe(f func(*Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, f)
	if cur := k.Current(); cur != nil {
		f(cur)
	}
}

// Adopt puts a document in force if its generation is higher. Every text must
// have the hash that the head gives.
func (k *Keeper) Adopt(head Head, sources parser.Sources) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if head.Generation <= k.Generation() {
		return false, nil
	}
	for _, sec := range head.Sections {
		if HashOf(sources.Text(sec.Edit.Section)) != sec.Hash {
			return false, errors.Newf("section %s of generation %d does not have its hash", sec.Edit.Section, head.Generation)
		}
	}
	doc, err := parser.Parse(sources)
	if err != nil {
		return false, errors.Wrapf(err, "generation %d", head.Generation)
	}
	force := &Snapshot{Head: head, Sources: sources, Document: doc}
	k.current.Store(force)
	k.log.Info("in force", "generation", uint64(head.Generation))
	for _, f := range k.subscribers {
		f(force)
	}
	return true, nil
}
