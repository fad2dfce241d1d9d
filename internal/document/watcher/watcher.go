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
	watchTimeout      = 20 * time.Second
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// standbyCheckInterval is how often a VM that does not watch looks whether it should.
	standbyCheckInterval = time.Second
)

type (
	// Platform is the part of the object API that watching needs.
	Platform interface {
		editor.Platform
		Watch(ctx context.Context, key string, above storer.Version, wait time.Duration) (storer.Object, error)
	}

	// DocumentKeeper holds what is in force.
	DocumentKeeper interface {
		Generation() namer.Generation
		Current() *keeper.Snapshot
		Adopt(head keeper.Head, sources parser.Sources) (bool, error)
		NoteStale(offered namer.Generation)
	}

	// Watcher watches the head.
	Watcher struct {
		platform  Platform
		documents DocumentKeeper
		isGateway func() bool
		clock     clockwork.Clock
		log       *slog.Logger
	}
)

// New returns a watcher that keeps a watch open while gateway says so, and
// until there is a first document.
func New(p Platform, d DocumentKeeper, isGateway func() bool, clock clockwork.Clock, log *slog.Logger) *Watcher {
	return &Watcher{platform: p, documents: d, isGateway: isGateway, clock: clock, log: log}
}

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	version := storer.Absent
	retry := initialRetryDelay
	for ctx.Err() == nil {
		if w.documents.Generation() > 0 && !w.isGateway() {
			w.pause(ctx, standbyCheckInterval)
			continue
		}
		seen, err := w.watch(ctx, version)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, storer.ErrMissing) {
				w.log.Warn("head not read", "reason", err.Error())
			}
			w.pause(ctx, retry)
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		retry = initialRetryDelay
		version = seen
	}
	return nil
}

// watch waits for a head above a version and puts it in force.
func (w *Watcher) watch(ctx context.Context, above storer.Version) (storer.Version, error) {
	obj, err := w.platform.Watch(ctx, keeper.HeadKey, above, watchTimeout)
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
		w.pause(ctx, maxRetryDelay)
		return obj.Version, nil
	}
	if head.Generation == current {
		return obj.Version, nil
	}
	sources, err := w.readSources(ctx, head)
	if err != nil {
		return above, err
	}
	if _, err := w.documents.Adopt(head, sources); err != nil {
		return above, err
	}
	return obj.Version, nil
}

// readSources returns the head's texts, reading only those that changed.
func (w *Watcher) readSources(ctx context.Context, head keeper.Head) (parser.Sources, error) {
	var kept parser.Sources
	missing := keeper.Head{Generation: head.Generation}
	force := w.documents.Current()
	for _, sec := range head.Sections {
		if force == nil || keeper.HashOf(force.Sources.Text(sec.Edit.Section)) != sec.Hash {
			missing.Sections = append(missing.Sections, sec)
			continue
		}
		kept = append(kept, parser.Source{Section: sec.Edit.Section, Text: force.Sources.Text(sec.Edit.Section)})
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
