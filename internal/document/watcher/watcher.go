// Package watcher watches the head of the steering document on the platform and adopts new
// generations. Only the gateways of a zone watch; the other VMs get the document from their
// peers, so that the number of calls to the platform grows with the zones instead of the
// VMs.
//
// # Usage
//
//	w := watcher.New(platform, documents, isGateway, clock, log)
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
	// watchTimeout is how long one watch waits for a change of the head.
	watchTimeout = 20 * time.Second
	// initialRetryDelay is the pause after the first failed watch. It doubles with each
	// further failure, up to maxRetryDelay.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// standbyCheckInterval is how often a VM that does not watch checks whether it has
	// become a gateway.
	standbyCheckInterval = time.Second
)

type (
	// Platform reads, writes and watches objects of the platform's store.
	Platform interface {
		editor.Platform
		Watch(ctx context.Context, key string, above storer.Version, wait time.Duration) (storer.Object, error)
	}

	// DocumentKeeper holds the current document.
	DocumentKeeper interface {
		Generation() namer.Generation
		Current() *keeper.Snapshot
		Adopt(head keeper.Head, sources parser.Sources) (bool, error)
		RecordStaleOffer(offered namer.Generation)
	}

	// Watcher keeps the current document up to date with the platform's.
	Watcher struct {
		platform  Platform
		documents DocumentKeeper
		isGateway func() bool
		clock     clockwork.Clock
		log       *slog.Logger
	}
)

// New returns a watcher. It watches while isGateway returns true, and on every VM until
// there is a first document.
func New(p Platform, d DocumentKeeper, isGateway func() bool, clock clockwork.Clock, log *slog.Logger) *Watcher {
	return &Watcher{platform: p, documents: d, isGateway: isGateway, clock: clock, log: log}
}

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	version := storer.Absent
	retryDelay := initialRetryDelay
	for ctx.Err() == nil {
		if w.documents.Generation() > 0 && !w.isGateway() {
			w.pause(ctx, standbyCheckInterval)
			continue
		}
		seen, err := w.watch(ctx, version)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, storer.ErrNotFound) {
				w.log.Warn("reading the document from the platform failed; will retry", "reason", err.Error())
			}
			w.pause(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = initialRetryDelay
		version = seen
	}
	return nil
}

// watch waits until the head's version is above the given one, or until the wait ends. It
// adopts the head's document if its generation is higher than the current one, and returns
// the head's version. If the platform is behind the current generation, it pauses first.
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
		w.documents.RecordStaleOffer(head.Generation)
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

// readSources returns the texts of a head's sections. It reads from the platform only those
// that differ from the current document's.
func (w *Watcher) readSources(ctx context.Context, head keeper.Head) (parser.Sources, error) {
	var kept parser.Sources
	missing := keeper.Head{Generation: head.Generation}
	snapshot := w.documents.Current()
	for _, sec := range head.Sections {
		if snapshot == nil || keeper.HashOf(snapshot.Sources.Text(sec.Edit.Section)) != sec.Hash {
			missing.Sections = append(missing.Sections, sec)
			continue
		}
		kept = append(kept, parser.Source{Section: sec.Edit.Section, Text: snapshot.Sources.Text(sec.Edit.Section)})
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
