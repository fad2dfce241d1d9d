// Package editor accepts edits of the steering document. The conditional
// update of the head object is the one point at which an edit is accepted: of
// two operators who race exactly one wins, and the whole document is checked
// with the edit in place. A lost answer is settled by the edit's id.
//
// # Usage
//
//	e := editor.New(platform, clock)
//	result := e.Apply(ctx, editor.Edit{ID: id, Section: parser.Drains, Text: text, Author: "kai", Base: 7})
//	if result.Verdict == editor.Conflict {
//		// result.Winner says which edit came first.
//	}
package editor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// How an edit ended.
const (
	// Unknown means that the edit may have been accepted or not.
	Unknown Verdict = iota
	// Accepted means that the edit is in the head.
	Accepted
	// Conflict means that another edit of the section came first.
	Conflict
	// Invalid means that the document would not be valid with the edit.
	Invalid
	// Failed means that the edit was not accepted and never will be.
	Failed
)

const (
	// tries bounds how often an edit starts over because an edit of another
	// section came between.
	tries = 8
	// settleTries bounds the reads that settle a lost answer.
	settleTries = 5
	settlePause = 300 * time.Millisecond
	// history is how many edits the head remembers.
	history = 200
)

type (
	// Verdict is how an edit ended.
	Verdict int

	// Edit is a new text for one section. Base is the section's generation
	// that the operator had read; 0 means that the section was empty.
	Edit struct {
		ID      string
		Section parser.Section
		Text    []byte
		Author  namer.Author
		Base    namer.Generation
	}

	// Result is a verdict with its details: the accepted edit or the one that
	// came first, and what is wrong.
	Result struct {
		Verdict  Verdict
		Edit     keeper.Edit
		Problems checker.Problems
		Reason   string
	}

	// Platform is the part of the object API that accepting an edit needs.
	Platform interface {
		Get(ctx context.Context, key string) (storer.Object, error)
		Put(ctx context.Context, key string, body []byte, version storer.Version) (storer.Version, error)
	}

	// Editor accepts edits.
	Editor struct {
		platform Platform
		clock    clockwork.Clock
	}
)

// String returns the verdict's word in answers.
func (v Verdict) String() string {
	return [...]string{"unknown", "accepted", "conflict", "invalid", "failed"}[v]
}

// New returns an editor that writes to the platform.
func New(platform Platform, clock clockwork.Clock) *Editor {
	return &Editor{platform: platform, clock: clock}
}

// Apply takes an edit to its verdict. The same edit again, by its id, is no
// second edit.
func (e *Editor) Apply(ctx context.Context, edit Edit) Result {
	for range tries {
		result, again := e.try(ctx, edit)
		if !again {
			return result
		}
	}
	return Result{Verdict: Failed, Reason: "edits of other sections kept coming between"}
}

// Settle reads whether an edit was accepted.
func (e *Editor) Settle(ctx context.Context, id string) Result {
	reason := "no answer from the platform"
	for range settleTries {
		head, _, err := ReadHead(ctx, e.platform)
		if err == nil {
			if found, ok := head.Find(id); ok {
				return Result{Verdict: Accepted, Edit: found}
			}
			// A write whose answer was lost may still be on its way, so its
			// absence from the head proves nothing.
			reason = "the edit is not among the latest edits"
		} else {
			reason = err.Error()
		}
		select {
		case <-e.clock.After(settlePause):
		case <-ctx.Done():
			return Result{Verdict: Unknown, Reason: reason}
		}
	}
	return Result{Verdict: Unknown, Reason: reason}
}

func (e *Editor) try(ctx context.Context, edit Edit) (Result, bool) {
	head, version, err := ReadHead(ctx, e.platform)
	if err != nil {
		return Result{Verdict: Failed, Reason: "reading the head: " + err.Error()}, false
	}
	if found, ok := head.Find(edit.ID); ok {
		return Result{Verdict: Accepted, Edit: found}, false
	}
	if sec, ok := head.Section(edit.Section); ok && sec.Edit.Generation != edit.Base {
		return Result{Verdict: Conflict, Edit: sec.Edit}, false
	}
	sources, err := ReadSources(ctx, e.platform, head)
	if err != nil {
		return Result{Verdict: Failed, Reason: "reading the sections: " + err.Error()}, false
	}
	if _, err := parser.Parse(sources.With(edit.Section, edit.Text)); err != nil {
		var problems checker.Problems
		errors.As(err, &problems)
		return Result{Verdict: Invalid, Problems: problems}, false
	}
	return e.write(ctx, edit, head, version)
}

func (e *Editor) write(ctx context.Context, edit Edit, head keeper.Head, version storer.Version) (Result, bool) {
	hash := keeper.HashOf(edit.Text)
	_, err := e.platform.Put(ctx, hash.Key(), edit.Text, storer.Absent)
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return Result{Verdict: Failed, Reason: "writing the section: " + err.Error()}, false
	}
	next, accepted := advance(head, edit, hash, e.clock.Now())
	raw, err := next.Encode()
	if err != nil {
		return Result{Verdict: Failed, Reason: err.Error()}, false
	}
	_, err = e.platform.Put(ctx, keeper.HeadKey, raw, version)
	switch {
	case err == nil:
		return Result{Verdict: Accepted, Edit: accepted}, false
	case errors.Is(err, storer.ErrConflict):
		return Result{}, true
	case errors.Is(err, storer.ErrOutcomeUnknown):
		return e.Settle(ctx, edit.ID), false
	}
	return Result{Verdict: Failed, Reason: "writing the head: " + err.Error()}, false
}

// advance returns the head with the edit in place.
func advance(head keeper.Head, edit Edit, hash keeper.Hash, now time.Time) (keeper.Head, keeper.Edit) {
	accepted := keeper.Edit{
		ID:         edit.ID,
		Generation: head.Generation + 1,
		Section:    edit.Section,
		Author:     edit.Author,
		Time:       now.UTC(),
	}
	next := keeper.Head{Generation: accepted.Generation}
	for _, sec := range head.Sections {
		if sec.Edit.Section != edit.Section {
			next.Sections = append(next.Sections, sec)
		}
	}
	next.Sections = append(next.Sections, keeper.SectionHead{Hash: hash, Edit: accepted})
	recent := head.Edits[max(0, len(head.Edits)-history+1):]
	next.Edits = append(append(next.Edits, recent...), accepted)
	return next, accepted
}

// ReadHead returns the platform's head. A platform without one has the empty
// head of generation 0.
func ReadHead(ctx context.Context, p Platform) (keeper.Head, storer.Version, error) {
	obj, err := p.Get(ctx, keeper.HeadKey)
	if errors.Is(err, storer.ErrNotFound) {
		return keeper.Head{}, storer.Absent, nil
	}
	if err != nil {
		return keeper.Head{}, 0, err
	}
	head, err := keeper.DecodeHead(obj.Body)
	return head, obj.Version, err
}

// ReadSources returns the text of every section of a head.
func ReadSources(ctx context.Context, p Platform, head keeper.Head) (parser.Sources, error) {
	var sources parser.Sources
	for _, sec := range head.Sections {
		obj, err := p.Get(ctx, sec.Hash.Key())
		if err != nil {
			return nil, errors.Wrapf(err, "section %s", sec.Edit.Section)
		}
		sources = append(sources, parser.Source{Section: sec.Edit.Section, Text: obj.Body})
	}
	return sources, nil
}
