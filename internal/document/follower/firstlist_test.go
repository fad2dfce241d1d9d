package follower_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// usualTimeout is how long a call waits for an answer if the follower does not ask for more.
const usualTimeout = 2 * time.Second

// droppedCalls is a source that never answers its first lists.
type droppedCalls struct {
	*source
	clock   clockwork.Clock
	dropped int64
	// refused is how many calls after these the store refuses at once.
	refused int64
	// slowness is how long the answers to the others take to begin.
	slowness time.Duration
	// length is how long an answer that has begun takes.
	length time.Duration
	lists  atomic.Int64
}

func (d *droppedCalls) List(ctx context.Context, kind storer.Kind, after string) (storer.Page, error) {
	patience := storer.PatienceOf(ctx, usualTimeout)
	switch n := d.lists.Add(1); {
	case n <= d.dropped:
		<-ctx.Done()
		return storer.Page{}, ctx.Err()
	case n <= d.dropped+d.refused:
		patience.OnAnswer()
		return storer.Page{}, storer.ErrBusy
	}
	select {
	case <-d.clock.After(d.slowness):
	case <-d.clock.After(patience.AnswerTimeout):
		return storer.Page{}, context.DeadlineExceeded
	case <-ctx.Done():
		return storer.Page{}, ctx.Err()
	}
	patience.OnAnswer()
	select {
	case <-d.clock.After(d.length):
	case <-ctx.Done():
		return storer.Page{}, ctx.Err()
	}
	return d.source.List(ctx, kind, after)
}

// TestFirstList guards against a VM without records that gives up each call to a slow store, or
// waits for calls that the store has dropped while later ones would be answered, or gives up an answer
// that has begun.
func TestFirstList(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		dropped  int64
		refused  int64
		slowness time.Duration
		length   time.Duration
		limit    time.Duration
	}{
		{"at once", 0, 0, 0, 0, 0},
		{"slow", 0, 0, 3 * time.Second, 0, 5500 * time.Millisecond},
		{"very slow", 0, 0, 7 * time.Second, 0, 14 * time.Second},
		{"dropped calls", 5, 0, 0, 0, 10500 * time.Millisecond},
		{"refused after dropped calls", 2, 1, 0, 0, 5 * time.Second},
		{"long answer", 0, 0, 0, 5 * time.Second, 5500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				src := &droppedCalls{source: newSource(clock), clock: clock, dropped: tc.dropped, refused: tc.refused, slowness: tc.slowness, length: tc.length}
				src.put("a")
				handler := &recorder{}
				f := follower.New(src, kind, handler, clock, slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = f.Serve(ctx) }()
				begun := clock.Now()
				for synctest.Wait(); !handler.has("a")(t).Done(); synctest.Wait() {
					assert.Assert(t, clock.Since(begun) < tc.limit, "not known after %s", clock.Since(begun))
					clock.Sleep(50 * time.Millisecond)
				}
			})
		})
	}
}
