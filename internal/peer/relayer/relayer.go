// Package relayer opens a peer's updates on the store's records, so that a VM can
// follow a peer in place of the store.
//
// It answers the pattern in which every VM watches the store: its calls would grow
// with the VMs, while its rates do not.
//
// # Usage
//
//	r := relayer.New(messenger, members)
//	f := follower.New(calls, kind, handler, clock, log, follower.WithRelay(r))
package relayer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// errNoUpdate is returned when a peer's reply is something else.
var errNoUpdate = errors.New("the peer's reply is no update")

type (
	// Opener opens a stream to another VM.
	Opener interface {
		Open(ctx context.Context, address string, want namer.Incarnation) (*messenger.Stream, error)
	}

	// Guides knows the peers.
	Guides interface {
		// Guide returns the peer to follow, or false on a VM that follows nobody.
		Guide() (tracker.Member, bool)
		// Meet waits until a peer is known, or there was the time for it.
		Meet(ctx context.Context)
	}

	// Relayer opens updates.
	Relayer struct {
		opener Opener
		guides Guides
	}

	// updates are one peer's words on one kind.
	updates struct {
		relayer *Relayer
		peer    tracker.Member
		stream  *messenger.Stream
	}
)

var _ follower.Relay = (*Relayer)(nil)

// New returns a relayer that follows the peer that it is guided to.
func New(o Opener, g Guides) *Relayer {
	return &Relayer{opener: o, guides: g}
}

// Meet implements follower.Relay.
func (r *Relayer) Meet(ctx context.Context) {
	r.guides.Meet(ctx)
}

// Open implements follower.Relay.
func (r *Relayer) Open(ctx context.Context, kind storer.Kind, since storer.Version) (follower.Updates, error) {
	peer, ok := r.guides.Guide()
	if !ok {
		return nil, follower.ErrLead
	}
	stream, err := r.opener.Open(ctx, peer.Peers, peer.Incarnation)
	if err != nil {
		return nil, err
	}
	req := &encoder.Request{Kind: &encoder.Request_Follow{Follow: &encoder.Follow{Kind: string(kind), Since: uint64(since)}}}
	if err := stream.Send(req); err != nil {
		stream.Close()
		return nil, err
	}
	return &updates{relayer: r, peer: peer, stream: stream}, nil
}

// Next implements follower.Updates.
func (u *updates) Next() (storer.Update, error) {
	reply, err := u.stream.Receive()
	if err != nil {
		return storer.Update{}, err
	}
	if reply.GetUpdate() == nil {
		return storer.Update{}, errNoUpdate
	}
	return converter.UpdateFrom(reply.GetUpdate()), nil
}

// From implements follower.Updates.
func (u *updates) From() (namer.VM, bool) {
	peer, ok := u.relayer.guides.Guide()
	return u.peer.VM, ok && peer.Incarnation == u.peer.Incarnation
}

// Close implements follower.Updates.
func (u *updates) Close() {
	u.stream.Close()
}
