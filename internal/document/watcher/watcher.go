// Package watcher learns accepted edits from the platform. Only the gateways
// of a zone keep a watch open; the rest learn from their peers, so the calls
// grow with zones and not with VMs.
//
// # Usage
//
//	w := watcher.New(platform, documents, gateway, clock, log)
//	go w.Serve(ctx)
package watcher

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/editor"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	watchTime  = 20 * time.Second
	retryFirst = 200 * time.Millisecond
	retryMost  = 2 * time.Second
	// standBy is how often a VM that does not watch looks whether it should.
	standBy = time.Second
)

type (
	// Platform is the part of the object API that watching needs.
	Platform interface {
		editor.Platform
		Watch(ctx context.Context, key string, above storer.Version, wait time.Duration) (storer.Object, error)
	}

	// Documents holds what is in force.
	Documents interface {
		Generation() namer.Generation
		Current() *keeper.Force
		Adopt(head keeper.Head, sources parser.Sources) (bool, error)
		NoteStale(offered namer.Generation)
	}

	// Watcher watches the head.
	Watcher struct {
		platform  Platform
		documents Documents
		gateway   func() bool
		clock     clockwork.Clock
		log       *slog.Logger
	}
)

// New returns a watcher that keeps a watch open while gateway says so, and
// until there is a first document.
func New(p Platform, d Documents, gateway func() bool, clock clockwork.Clock, log *slog.Logger) *Watcher {
	return &Watcher{platform: p, documents: d, gateway: gateway, clock: clock, log: log}
}

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	version := storer.Absent
	retry := retryFirst
	for ctx.Err() == nil {
		if w.documents.Generation() > 0 && !w.gateway() {
			w.pause(ctx, standBy)
			continue
		}
		seen, err := w.watch(ctx, version)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, storer.ErrNotFound) {
				w.log.Warn("head not read", "reason", err.Error())
			}
			w.pause(ctx, retry)
			retry = min(2*retry, retryMost)
			continue
		}
		retry = retryFirst
		version = seen
	}
	return nil
}

// watch waits for a head above a version and puts it in force.
func (w *Watcher) watch(ctx context.Context, above storer.Version) (storer.Version, error) {
	obj, err := w.platform.Watch(ctx, keeper.HeadKey, above, watchTime)
	if err != nil {
		return above, err
	}
	head, err := keeper.DecodeHead(obj.Body)
	if err != nil {
		return above, err
	}
	current := w.documents.Generation()
	if head.Generation < current {
		w.documents.NoteStale(head.Generation)
		w.pause(ctx, retryMost)
		return obj.Version, nil
	}
	if head.Generation == current {
		return obj.Version, nil
	}
	sources, err := w.sources(ctx, head)
	if err != nil {
		return above, err
	}
	if _, err := w.documents.Adopt(head, sources); err != nil {
		return above, err
	}
	return obj.Version, nil
}

// sources returns the head's texts, reading only those that changed.
func (w *Watcher) sources(ctx context.Context, head keeper.Head) (parser.Sources, error) {
	var kept parser.Sources
	missing := keeper.Head{Generation: head.Generation}
	force := w.documents.Current()
	for _, sec := range head.Sections {
		if force == nil || keeper.HashOf(force.Sources.Of(sec.Edit.Section)) != sec.Hash {
			missing.Sections = append(missing.Sections, sec)
			continue
		}
		kept = append(kept, parser.Source{Section: sec.Edit.Section, Text: force.Sources.Of(sec.Edit.Section)})
	}
	read, err := editor.ReadSources(ctx, w.platform, missing)
	return append(kept, read...), err
}

func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	select {
	case <-w.clock.After(d):
	case <-ctx.Done():
	}
}
