// Package editor applies edits to the steering document. It first validates the whole
// document with the edit. The edit is accepted by a conditional update of the head object,
// so that of two concurrent edits of a section exactly one succeeds. If the response to
// the update is lost, the editor looks for the edit's ID in the head.
//
// # Usage
//
//	e := editor.New(platform, clock)
//	result := e.Apply(ctx, editor.Edit{ID: id, Section: parser.Drains, Text: text, Author: "kai", BaseGeneration: 7})
//	if result.Verdict == editor.Conflict {
//		// result.Edit is the edit that was accepted first.
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

// The outcomes of an edit.
const (
	// Unknown means that the edit may or may not have been accepted.
	Unknown Verdict = iota
	// Accepted means that the head contains the edit.
	Accepted
	// Conflict means that the section's generation is not the edit's BaseGeneration,
	// since another edit of the section was accepted first.
	Conflict
	// Invalid means that the document with the edit failed validation.
	Invalid
	// Failed means that the edit was not accepted and never will be.
	Failed
)

const (
	// attemptLimit is how often an edit is attempted in all. An attempt fails if the head
	// changes between its read and its update; if that was an edit of another section,
	// the next attempt can succeed.
	attemptLimit = 8
	// maxOutcomeReads is how often CheckOutcome reads the head to look for an edit.
	maxOutcomeReads = 5
	// outcomeReadInterval is the pause after each of these reads.
	outcomeReadInterval = 300 * time.Millisecond
	// maxRecentEdits is the number of edits that the head retains.
	maxRecentEdits = 200
)

type (
	// Verdict is the outcome of an edit.
	Verdict int

	// Edit is a new text for one section. ID identifies the edit, so that it can be
	// repeated safely. BaseGeneration is the generation of the section's text that the
	// operator has read, or 0 if the section was empty.
	Edit struct {
		ID             string
		Section        parser.Section
		Text           []byte
		Author         namer.Author
		BaseGeneration namer.Generation
	}

	// Result is a verdict with its details. Edit is the accepted edit or, after a
	// conflict, the one that was accepted first. Problems lists what is invalid, and
	// Reason says why the edit failed or why its outcome is unknown.
	Result struct {
		Verdict  Verdict
		Edit     keeper.Edit
		Problems checker.Problems
		Reason   string
	}

	// Platform reads and conditionally writes objects of the platform's store.
	Platform interface {
		Get(ctx context.Context, key string) (storer.Object, error)
		Put(ctx context.Context, key string, body []byte, version storer.Version) (storer.Version, error)
	}

	// Editor applies edits.
	Editor struct {
		platform Platform
		clock    clockwork.Clock
	}
)

// String returns the verdict as it is named in responses to operators.
func (v Verdict) String() string {
	return [...]string{"unknown", "accepted", "conflict", "invalid", "failed"}[v]
}

// New returns an editor of the document that is stored on the platform.
func New(platform Platform, clock clockwork.Clock) *Editor {
	return &Editor{platform: platform, clock: clock}
}

// Apply applies an edit and returns its outcome. If the head already contains an edit with
// the same ID, Apply returns that edit as accepted and changes nothing.
func (e *Editor) Apply(ctx context.Context, edit Edit) Result {
	for range attemptLimit {
		result, retry := e.attempt(ctx, edit)
		if !retry {
			return result
		}
	}
	return Result{Verdict: Failed, Reason: "edits of other sections kept coming between"}
}

// CheckOutcome reads the head until it finds the edit with the given ID. Its verdict is
// Accepted or, if the edit was not found, Unknown.
func (e *Editor) CheckOutcome(ctx context.Context, id string) Result {
	reason := "no answer from the platform"
	for range maxOutcomeReads {
		head, _, err := ReadHead(ctx, e.platform)
		if err == nil {
			if found, ok := head.FindEdit(id); ok {
				return Result{Verdict: Accepted, Edit: found}
			}
			// A write whose response was lost may still take effect, so the edit's
			// absence from the head doesn't prove that it was not accepted.
			reason = "the edit is not among the latest edits"
		} else {
			reason = err.Error()
		}
		select {
		case <-e.clock.After(outcomeReadInterval):
		case <-ctx.Done():
			return Result{Verdict: Unknown, Reason: reason}
		}
	}
	return Result{Verdict: Unknown, Reason: reason}
}

// attempt validates an edit against the current head and writes it. It returns true if the
// head has changed in the meantime, so that the edit must be attempted again.
func (e *Editor) attempt(ctx context.Context, edit Edit) (Result, bool) {
	head, version, err := ReadHead(ctx, e.platform)
	if err != nil {
		return Result{Verdict: Failed, Reason: "reading the head: " + err.Error()}, false
	}
	if found, ok := head.FindEdit(edit.ID); ok {
		return Result{Verdict: Accepted, Edit: found}, false
	}
	if sec, ok := head.Section(edit.Section); ok && sec.Edit.Generation != edit.BaseGeneration {
		return Result{Verdict: Conflict, Edit: sec.Edit}, false
	}
	sources, err := ReadSources(ctx, e.platform, head)
	if err != nil {
		return Result{Verdict: Failed, Reason: "reading the sections: " + err.Error()}, false
	}
	if _, err := parser.ParseWritten(sources.With(edit.Section, edit.Text)); err != nil {
		var problems checker.Problems
		errors.As(err, &problems)
		return Result{Verdict: Invalid, Problems: problems}, false
	}
	return e.write(ctx, edit, head, version)
}

// write stores the section's text under its hash and then updates the head, unless the
// head's version has changed. It returns true if the edit must be attempted again.
func (e *Editor) write(ctx context.Context, edit Edit, head keeper.Head, version storer.Version) (Result, bool) {
	hash := keeper.HashOf(edit.Text)
	_, err := e.platform.Put(ctx, hash.Key(), edit.Text, storer.Absent)
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return Result{Verdict: Failed, Reason: "writing the section: " + err.Error()}, false
	}
	next, accepted := nextHead(head, edit, hash, e.clock.Now())
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
		return e.CheckOutcome(ctx, edit.ID), false
	}
	return Result{Verdict: Failed, Reason: "writing the head: " + err.Error()}, false
}

// nextHead returns the head that follows head when the edit is accepted, and the edit as
// it is recorded there.
func nextHead(head keeper.Head, edit Edit, hash keeper.Hash, now time.Time) (keeper.Head, keeper.Edit) {
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
	recent := head.Edits[max(0, len(head.Edits)-maxRecentEdits+1):]
	next.Edits = append(append(next.Edits, recent...), accepted)
	return next, accepted
}

// ReadHead reads the head from the platform. If there is none, it returns an empty head of
// generation 0.
func ReadHead(ctx context.Context, p Platform) (keeper.Head, storer.Version, error) {
	obj, err := p.Get(ctx, keeper.HeadKey)
	if errors.Is(err, storer.ErrNotFound) {
		return keeper.Head{}, storer.Absent, nil
	}
	if err != nil {
		return keeper.Head{}, storer.Absent, err
	}
	head, err := keeper.DecodeHead(obj.Body)
	return head, obj.Version, err
}

// ReadSources reads the texts of all sections of a head from the platform.
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
