package runner

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
	"github.com/waxwingloom/waxwingloom/platform"
)

// noteCounter counts the writes of notes.
type noteCounter struct{ writes int }

// Notes implements noteStore.
func (*noteCounter) Notes(context.Context) (map[string]json.RawMessage, error) { return nil, nil }

// Note implements noteStore.
func (c *noteCounter) Note(context.Context, string, json.RawMessage) error {
	c.writes++
	return nil
}

// TestPlacementLostAfterRestore has the store come back from a copy without a placement that has
// not moved since it was written. It must be written again, or a restart of all VMs loses it.
func TestPlacementLostAfterRestore(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	log := slog.New(slog.DiscardHandler)
	st := steerer.New(selector.Self{}, platform.Headers(), steerer.RetryBudget{}, nil, clock, log)
	assert.Assert(t, st.RestorePlacement("s", spreader.Placement{"z1": {"z2": 1}}))
	era := storer.Era(1)
	notes := &noteCounter{}
	u := &placementUpdater{
		steerer: st, notes: notes, latestEra: func() storer.Era { return era }, clock: clock, log: log,
		stored: make(map[namer.Service]spreader.Placement),
	}
	for _, step := range []struct {
		era    storer.Era
		writes int
	}{{1, 1}, {1, 1}, {2, 2}, {2, 2}} {
		era = step.era
		u.storeChanged(t.Context())
		assert.Equal(t, notes.writes, step.writes)
	}
}

func TestUntilNextTick(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		sinceTick time.Duration
		want      time.Duration
	}{
		{"on a second", 0, time.Second},
		{"just before a second", 999 * time.Millisecond, time.Millisecond},
		{"just after a second", time.Millisecond, 999 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, untilNextTick(time.Unix(1000, 0).Add(tc.sinceTick)), tc.want)
		})
	}
}
