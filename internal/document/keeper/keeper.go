// Package keeper holds the steering document that a VM currently applies. It replaces it
// only by a document of a higher generation. A lower one may come from a read that lags
// behind, from a peer with an older document, or from a platform that was restored from
// an older copy.
//
// # Usage
//
//	k := keeper.New(log)
//	adopted, err := k.Adopt(head, sources)
//	if snapshot := k.Current(); snapshot != nil {
//		service, ok := snapshot.Document.Service("blank-desk")
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

// HeadKey is the key under which the platform stores the head.
const HeadKey = "head"

type (
	// Hash is the SHA-256 digest of a section's text, in hexadecimal.
	Hash string

	// Edit describes an accepted edit of one section.
	Edit struct {
		ID         string           `json:"id"`
		Generation namer.Generation `json:"generation"`
		Section    parser.Section   `json:"section"`
		Author     namer.Author     `json:"author"`
		Time       time.Time        `json:"time"`
	}

	// SectionHead is the hash of a section's current text and the edit that wrote it.
	SectionHead struct {
		Hash Hash `json:"hash"`
		Edit Edit `json:"edit"`
	}

	// Head lists the current texts of all sections. The platform stores it as a single
	// object, and an edit is accepted when the update of that object succeeds. Edits
	// holds the most recent edits, oldest first.
	Head struct {
		Generation namer.Generation `json:"generation"`
		Sections   []SectionHead    `json:"sections"`
		Edits      []Edit           `json:"edits"`
	}

	// Snapshot is one generation of the document: its head, its source texts and the
	// parsed document. It is immutable.
	Snapshot struct {
		Head     Head
		Sources  parser.Sources
		Document *parser.Document
	}

	// Keeper holds the current document and notifies subscribers when it changes.
	Keeper struct {
		log         *slog.Logger
		mu          sync.Mutex
		parser      *parser.Parser
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

// Key returns the key under which the platform stores the text with this hash.
func (h Hash) Key() string {
	return "section-" + string(h)
}

// Section returns the entry of one section.
func (h Head) Section(s parser.Section) (SectionHead, bool) {
	for _, sec := range h.Sections {
		if sec.Edit.Section == s {
			return sec, true
		}
	}
	return SectionHead{}, false
}

// FindEdit returns the edit with the given id if it is among the most recent edits, or if
// it wrote the current text of its section.
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

// Encode returns the head as JSON, the form in which the platform stores it.
func (h Head) Encode() ([]byte, error) {
	raw, err := json.Marshal(h)
	return raw, errors.Wrap(err, "encoding the head")
}

// DecodeHead parses a head that was encoded by Encode.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	err := json.Unmarshal(raw, &h)
	return h, errors.Wrap(err, "decoding the head")
}

// New returns a keeper without a document.
func New(log *slog.Logger) *Keeper {
	return &Keeper{log: log, parser: parser.New()}
}

// Current returns the current document, or nil if none has been adopted yet.
func (k *Keeper) Current() *Snapshot {
	return k.current.Load()
}

// Generation returns the generation of the current document, or 0 if there is none yet.
func (k *Keeper) Generation() namer.Generation {
	if cur := k.Current(); cur != nil {
		return cur.Head.Generation
	}
	return 0
}

// StaleOffers returns how often the platform offered a generation below the current one.
func (k *Keeper) StaleOffers() uint64 {
	return k.staleCount.Load()
}

// RecordStaleOffer counts and logs that the platform offered a generation below the
// current one.
func (k *Keeper) RecordStaleOffer(offered namer.Generation) {
	k.staleCount.Add(1)
	k.log.Warn("ignored an older generation", "offered", uint64(offered), "generation", uint64(k.Generation()),
		"reason", "the platform is behind the generation in force")
}

// Subscribe calls f with the current document, if there is one, and then with each
// document that is adopted, in order. Keeper holds its lock during the calls.
func (k *Keeper) Subscribe(f func(*Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, f)
	if cur := k.Current(); cur != nil {
		f(cur)
	}
}

// Adopt makes a document current if its generation is higher than that of the current
// one, and reports whether it did. It fails if a text doesn't match its hash in the head
// or if the document is invalid.
func (k *Keeper) Adopt(head Head, sources parser.Sources) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if head.Generation <= k.Generation() {
		return false, nil
	}
	for _, sec := range head.Sections {
		if HashOf(sources.Text(sec.Edit.Section)) != sec.Hash {
			return false, errors.Newf("text of section %s of generation %d does not match its hash in the head", sec.Edit.Section, head.Generation)
		}
	}
	doc, err := k.parser.Parse(sources)
	if err != nil {
		return false, errors.Wrapf(err, "generation %d", head.Generation)
	}
	snapshot := &Snapshot{Head: head, Sources: sources, Document: doc}
	k.current.Store(snapshot)
	k.log.Info("in force", "generation", uint64(head.Generation))
	for _, f := range k.subscribers {
		f(snapshot)
	}
	return true, nil
}
