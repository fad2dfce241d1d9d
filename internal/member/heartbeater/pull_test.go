package heartbeater_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
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
	"github.com/waxwingloom/waxwingloom/internal/peer/packer"
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

// gatedPeer is a peer with document 4 that answers pulls only once its gate is closed.
type gatedPeer struct {
	newerPeer
	gate chan struct{}
	// services is the number of services in the document, 1 if it is 0.
	services int
}

// Call implements heartbeater.PeerClient.
func (p gatedPeer) Call(ctx context.Context, address string, want namer.Incarnation, req *encoder.Request) (*encoder.Reply, error) {
	p.pulled <- struct{}{}
	select {
	case <-p.gate:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	head, sources := document(4)
	for i := 1; i < p.services; i++ {
		sources[0].Text = fmt.Appendf(sources[0].Text, "[service s%d]\n", i)
	}
	head.Sections[0].Hash = keeper.HashOf(sources[0].Text)
	raw, err := head.Encode()
	assert.Check(p.t, err)
	doc := &encoder.Document{Generation: 4, Head: raw, Sections: []*encoder.Section{{Name: string(sources[0].Section), Text: sources[0].Text}}}
	if req.GetPull().GetPacks() {
		assert.Check(p.t, packer.New().PackDocument(doc))
	}
	return &encoder.Reply{Kind: &encoder.Reply_Document{Document: doc}}, nil
}

// newPulling returns a heartbeater that pulls from a peer, its documents and its clock.
func newPulling(t *testing.T, p heartbeater.PeerClient) (*heartbeater.Heartbeater, *keeper.Keeper, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	log := slog.New(slog.DiscardHandler)
	documents := keeper.New(log)
	self := tracker.Member{VM: "b", Zone: "z", Region: "r", Incarnation: namer.Incarnation{1}}
	timing := heartbeater.Timing{
		HeartbeatInterval: heartbeatInterval, ListInterval: time.Hour,
		Tracker: tracker.Timing{SuspectTimeout: 3 * heartbeatInterval, DeadTimeout: 10 * heartbeatInterval}, PullDelay: pullDelay,
	}
	return heartbeater.New(self, heartbeater.Dependencies{Peers: p, Lister: emptyList{}, Documents: documents}, nil, timing, clock, log), documents, clock
}

// TestPackedDocumentRejected guards against a VM that says that it reads packed documents, and
// can't adopt one.
func TestPackedDocumentRejected(t *testing.T) {
	t.Parallel()
	peer := gatedPeer{newerPeer: newerPeer{t: t, pulled: make(chan struct{}, 1)}, gate: make(chan struct{}), services: 1400}
	close(peer.gate)
	h, documents, _ := newPulling(t, peer)
	h.HandleHeartbeat(t.Context(), heartbeatOf('a'))
	assert.Equal(t, documents.Generation(), namer.Generation(4))
	assert.Equal(t, len(documents.Current().Document.Services), 1400)
}

// heartbeatOf returns a heartbeat of a VM with document 4.
func heartbeatOf(vm byte) *encoder.Heartbeat {
	sender := namer.Incarnation{vm}
	return &encoder.Heartbeat{Sender: &encoder.Member{Vm: string(vm), Zone: "z", Region: "r", Peers: string(vm), Incarnation: sender[:], Generation: 4}}
}

// TestDocumentPulledFromAllPeersAtOnce guards against a VM without a document whose link is full
// of copies of it, since it pulls one from each peer.
func TestDocumentPulledFromAllPeersAtOnce(t *testing.T) {
	t.Parallel()
	peer := gatedPeer{newerPeer: newerPeer{t: t, pulled: make(chan struct{}, 16)}, gate: make(chan struct{})}
	h, documents, _ := newPulling(t, peer)
	var handled sync.WaitGroup
	for vm := byte('c'); vm < 'h'; vm++ {
		handled.Go(func() { h.HandleHeartbeat(t.Context(), heartbeatOf(vm)) })
	}
	<-peer.pulled
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(peer.pulled), 0, "pulled from another peer, too")
	close(peer.gate)
	handled.Wait()
	assert.Equal(t, documents.Generation(), namer.Generation(4))
}

// TestDocumentPulledDuringProgress guards against pulls while documents arrive by another path,
// only not yet the one that a peer has.
func TestDocumentPulledDuringProgress(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// progress is what happens before the delay ends, and settle what happens after it.
		progress, settle func(h *heartbeater.Heartbeater, documents *keeper.Keeper)
	}{
		{"a document in between arrives", func(_ *heartbeater.Heartbeater, d *keeper.Keeper) {
			_, err := d.Adopt(document(2))
			assert.NilError(t, err)
		}, func(*heartbeater.Heartbeater, *keeper.Keeper) {}},
		{"a document is being applied", func(h *heartbeater.Heartbeater, _ *keeper.Keeper) {
			h.SetApplying(func() bool { return true })
		}, func(h *heartbeater.Heartbeater, _ *keeper.Keeper) {
			h.SetApplying(func() bool { return false })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			peer := gatedPeer{newerPeer: newerPeer{t: t, pulled: make(chan struct{}, 16)}, gate: make(chan struct{})}
			close(peer.gate)
			h, documents, clock := newPulling(t, peer)
			_, err := documents.Adopt(document(1))
			assert.NilError(t, err)
			h.HandleHeartbeat(t.Context(), heartbeatOf('a'))
			tc.progress(h, documents)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			assert.NilError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(pullDelay)
			assert.NilError(t, clock.BlockUntilContext(ctx, 1), "no further look")
			assert.Equal(t, len(peer.pulled), 0, "pulled although there is progress")
			tc.settle(h, documents)
			clock.Advance(pullDelay)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if documents.Generation() == 4 {
					return poll.Success()
				}
				return poll.Continue("generation %d", documents.Generation())
			})
		})
	}
}
