package discoverer_test

import (
	"context"
	"log/slog"
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/discoverer"
)

func isDrained(d *discoverer.Discoverer, zones ...namer.Zone) poll.Check {
	want := make(map[namer.Zone]bool)
	for _, zone := range zones {
		want[zone] = true
	}
	return func(poll.LogT) poll.Result {
		if got := d.View().Drained; !maps.Equal(got, want) {
			return poll.Continue("drained %v, not %v", got, want)
		}
		return poll.Success()
	}
}

// TestDrainedZoneMissingAfterRestore has the store come back from a copy that is older than the
// records of drained zones. Requests must not go to these zones before the operator had the time
// to write the records again; then the store's word counts.
func TestDrainedZoneMissingAfterRestore(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	d := discoverer.New(decode, clock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	h := d.Drains()
	assert.NilError(t, h.Reset([]storer.Record{record("again", "", 5), record("gone", "", 6), record("kept", "", 7), record("ended", "", 8)}))
	clock.Advance(time.Minute)
	h.StoreReachableSince(clock.Now())
	assert.NilError(t, h.Reset([]storer.Record{record("kept", "", 2), record("ended", "", 3)}))
	poll.WaitOn(t, isDrained(d, "again", "gone", "kept", "ended"))
	assert.NilError(t, h.Apply([]storer.Change{{Record: record("again", "", 4)}, {Record: record("ended", "", 3), Removed: true}}))
	poll.WaitOn(t, isDrained(d, "again", "gone", "kept"))
	clock.Advance(1900 * time.Millisecond)
	poll.WaitOn(t, isDrained(d, "again", "gone", "kept"))
	clock.Advance(100 * time.Millisecond)
	poll.WaitOn(t, isDrained(d, "again", "kept"))
	assert.NilError(t, h.Reset([]storer.Record{record("kept", "", 2)}))
	poll.WaitOn(t, isDrained(d, "kept"))
}

// TestBorrowedDrainAfterRestore has a VM start after a restoration and borrow the view of a peer, which
// knows from before that an upstream drains. The entry from the copy must not end that.
func TestBorrowedDrainAfterRestore(t *testing.T) {
	t.Parallel()
	d := discoverer.New(decode, clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
	entry, err := decode(record("a", "", 7))
	assert.NilError(t, err)
	entry.Sequence, entry.Draining = 9, true
	assert.Assert(t, d.Borrow(&cataloger.View{Upstreams: []cataloger.Upstream{{Version: version(7), Entry: entry}}}))
	assert.NilError(t, d.Upstreams().Reset([]storer.Record{record("a", "", 7)}))
	assert.Assert(t, d.View().Upstreams[0].Draining)
	assert.NilError(t, d.Upstreams().Apply([]storer.Change{{Record: record("a", "", 8)}}))
	assert.Assert(t, !d.View().Upstreams[0].Draining)
}
