package heartbeater_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

// TestStaleAccountsAreReported checks that a VM tells its peers that it refuses keys, and knows
// which of them do.
func TestStaleAccountsAreReported(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	self := tracker.Member{VM: "a", Zone: "z", PeerAddress: "a", Incarnation: namer.Incarnation{1}, Started: clock.Now()}
	peer := tracker.Member{VM: "b", Zone: "z", PeerAddress: "b", Incarnation: namer.Incarnation{2}, Started: clock.Now(), LastHeard: clock.Now(), Sequence: 1}
	timing := heartbeater.Timing{HeartbeatInterval: time.Second, ListInterval: time.Hour, Tracker: tracker.Timing{SuspectTimeout: time.Hour, DeadTimeout: time.Hour}}
	log := slog.New(slog.DiscardHandler)
	h := heartbeater.New(self, heartbeater.Dependencies{Documents: keeper.New(log)}, nil, timing, clock, log)
	for _, stale := range []bool{true, false} {
		h.SetAccountsStale(func() bool { return stale })
		peer.AccountsStale = stale
		reply := h.HandleHeartbeat(t.Context(), &encoder.Heartbeat{Sender: converter.Member(peer, clock.Now())})
		assert.Equal(t, reply.GetSender().GetUnsure(), stale)
		assert.Equal(t, h.Self().AccountsStale, stale)
		assert.Equal(t, h.Members()[0].AccountsStale, stale)
		peer.Sequence++
	}
}
