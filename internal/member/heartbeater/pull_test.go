package heartbeater_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

const pullDelay = 250 * time.Millisecond

// newerPeer is a peer with a newer document. It signals each pull on pulled.
type newerPeer struct {
	t      *testing.T
	pulled chan struct{}
}

// Call implements heartbeater.PeerClient.
func (a newerPeer) Call(ctx context.Context, _ string, _ namer.Incarnation, _ *encoder.Request) (*encoder.Reply, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	head, sources := document(2)
	raw, err := head.Encode()
	assert.Check(a.t, err)
	doc := &encoder.Document{Generation: 2, Head: raw}
	for _, src := range sources {
		doc.Sections = append(doc.Sections, &encoder.Section{Name: string(src.Section), Text: src.Text})
	}
	a.pulled <- struct{}{}
	return &encoder.Reply{Kind: &encoder.Reply_Document{Document: doc}}, nil
}

func document(g namer.Generation) (keeper.Head, parser.Sources) {
	sources := parser.Sources{{Section: parser.Services, Text: []byte("[service desk]\n")}}
	edit := keeper.Edit{Generation: g, Section: parser.Services, Author: "test"}
	head := keeper.Head{Generation: g, Sections: []keeper.SectionHead{{Hash: keeper.HashOf(sources[0].Text), Edit: edit}}}
	return head, sources
}

// TestPullAfterDelay has a VM that receives a higher generation wait for the document to
// arrive by another path, and pull it only if it does not. The pull must not depend on the
// context of the heartbeat, which is canceled long before, once the heartbeat is answered.
func TestPullAfterDelay(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		arrives bool
	}{{"arrives by another path", true}, {"does not arrive", false}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			log := slog.New(slog.DiscardHandler)
			documents := keeper.New(log)
			_, err := documents.Adopt(document(1))
			assert.NilError(t, err)
			peer := newerPeer{t: t, pulled: make(chan struct{}, 1)}
			self := tracker.Member{VM: "b", Zone: "z", Region: "r", Incarnation: namer.Incarnation{1}}
			timing := heartbeater.Timing{
				HeartbeatInterval: heartbeatInterval, ListInterval: time.Hour,
				Tracker: tracker.Timing{SuspectTimeout: 3 * heartbeatInterval, DeadTimeout: 10 * heartbeatInterval}, PullDelay: pullDelay,
			}
			h := heartbeater.New(self, heartbeater.Dependencies{Peers: peer, Lister: emptyList{}, Documents: documents}, nil, timing, clock, log)
			ctx, cancel := context.WithCancel(t.Context())
			sender := namer.Incarnation{2}
			h.HandleHeartbeat(ctx, &encoder.Heartbeat{Sender: &encoder.Member{Vm: "a", Zone: "z", Region: "r", Peers: "a", Incarnation: sender[:], Generation: 2}})
			cancel()
			assert.Equal(t, len(peer.pulled), 0, "pulled without waiting")
			if tc.arrives {
				_, err := documents.Adopt(document(2))
				assert.NilError(t, err)
			}
			assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
			clock.Advance(pullDelay)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if documents.Generation() == 2 {
					return poll.Success()
				}
				return poll.Continue("generation %d", documents.Generation())
			})
			assert.Equal(t, len(peer.pulled) == 0, tc.arrives)
		})
	}
}
