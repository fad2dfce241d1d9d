// Package relayer opens a peer's updates on the store's records, so that a VM can
// follow a peer in place of the store.
//
// It answers the pattern in which every VM watches the store: its calls would grow
// with the VMs, while its rates do not. Updates may take long on a slow link or in a
// slow process, so how old one is counts from a moment that this VM has told the peer
// before, by this VM's own clock.
//
// # Usage
//
//	r := relayer.New(messenger, members, clock)
//	f := follower.New(calls, kind, handler, clock, log, follower.WithRelay(r))
package relayer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// markUnit is the unit of marks.
const markUnit = time.Millisecond

// errNoUpdate is returned when a peer's reply is something else.
var errNoUpdate = errors.New("the peer's reply is no update")

type (
	// Opener opens a stream to another VM.
	Opener interface {
		Open(ctx context.Context, address string, want namer.Incarnation) (*messenger.Stream, error)
	}

	// ParentFinder knows the peers.
	ParentFinder interface {
		// Guide returns the peer to follow, or false on a VM that follows nobody.
		RelayParent() (tracker.Member, bool)
		// Meet waits until a peer is known, or there was the time for it.
		WaitForPeer(ctx context.Context)
	}

	// Relayer opens updates.
	Relayer struct {
		opener Opener
		guides ParentFinder
		clock  clockwork.Clock
		// begun is when marks begin to count.
		begun time.Time
	}

	// updates are one peer's words on one kind.
	updates struct {
		relayer *Relayer
		peer    tracker.Member
		stream  *messenger.Stream
		// owes says that the peer was told no mark since its last update.
		owes bool
	}
)

var _ follower.Relay = (*Relayer)(nil)

// New returns a relayer that follows the peer that it is guided to.
func New(o Opener, g ParentFinder, clock clockwork.Clock) *Relayer {
	return &Relayer{opener: o, guides: g, clock: clock, begun: clock.Now()}
}

// WaitForPeer implements follower.Relay.
func (r *Relayer) WaitForPeer(ctx context.Context) {
	r.guides.WaitForPeer(ctx)
}

// Open implements follower.Relay.
func (r *Relayer) Open(ctx context.Context, kind storer.Kind, since storer.Version) (follower.Updates, error) {
	peer, ok := r.guides.RelayParent()
	if !ok {
		return nil, follower.ErrRelayRoot
	}
	stream, err := r.opener.Open(ctx, peer.PeerAddress, peer.Incarnation)
	if err != nil {
		return nil, err
	}
	u := &updates{relayer: r, peer: peer, stream: stream}
	if err := u.tell(&encoder.Follow{Kind: string(kind), Since: uint64(since)}); err != nil {
		stream.Close()
		return nil, err
	}
	return u, nil
}

// mark returns this moment, which is never 0.
func (r *Relayer) mark() uint64 {
	return uint64(r.clock.Since(r.begun)/markUnit) + 1
}

// age returns how long ago the store confirmed an update, by this VM's clock.
func (r *Relayer) age(u storer.Update) time.Duration {
	if u.Mark == 0 {
		return max(0, u.Age)
	}
	marked := r.begun.Add(time.Duration(u.Mark-1) * markUnit)
	return max(0, r.clock.Since(marked)+u.Age)
}

// Next implements follower.Updates.
func (u *updates) Next() (storer.Update, error) {
	if u.owes {
		if err := u.tell(&encoder.Follow{}); err != nil {
			return storer.Update{}, err
		}
	}
	reply, err := u.stream.ReceiveReply()
	if err != nil {
		return storer.Update{}, err
	}
	if reply.GetUpdate() == nil {
		return storer.Update{}, errNoUpdate
	}
	u.owes = true
	update := converter.UpdateFrom(reply.GetUpdate())
	update.Age, update.Mark = u.relayer.age(update), 0
	return update, nil
}

// tell sends what the peer is to know, with a mark.
func (u *updates) tell(f *encoder.Follow) error {
	f.Mark = u.relayer.mark()
	u.owes = false
	return u.stream.SendRequest(&encoder.Request{Kind: &encoder.Request_Follow{Follow: f}})
}

// Peer implements follower.Updates.
func (u *updates) Peer() (namer.VM, bool) {
	peer, ok := u.relayer.guides.RelayParent()
	return u.peer.VM, ok && peer.Incarnation == u.peer.Incarnation
}

// Close implements follower.Updates.
func (u *updates) Close() {
	u.stream.Close()
}
