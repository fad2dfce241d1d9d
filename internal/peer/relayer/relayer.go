// Package relayer receives updates of store records from a peer, the relay parent,
// in place of a watch on the store.
//
// If every VM watched the store, the calls would grow with the number of VMs, while
// the store's rate limits do not.
//
// An update can be delayed on a slow link or in a slow process. To measure its age, this
// VM sends marks, which are readings of its own clock. The relay parent returns the latest
// mark with each update, and the age counts from that mark by this VM's clock.
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
	"github.com/waxwingloom/waxwingloom/internal/peer/packer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// markResolution is the unit in which marks count.
const markResolution = time.Millisecond

var (
	// errUnexpectedReply is returned when a reply of the relay parent holds no update.
	errUnexpectedReply = errors.New("the peer's reply holds no update")
	// errUnknownMark is returned for an update whose age is not known.
	errUnknownMark = errors.New("the peer returned a mark that this VM did not send")
)

type (
	// StreamOpener opens a stream to another VM.
	StreamOpener interface {
		Open(ctx context.Context, address string, want namer.Incarnation) (*messenger.Stream, error)
	}

	// ParentFinder finds this VM's relay parent among the known peers.
	ParentFinder interface {
		// RelayParent returns the relay parent, or false on a relay root, which reads the
		// store itself.
		RelayParent() (tracker.Member, bool)
		// WaitForPeer waits a bounded time until a peer is known.
		WaitForPeer(ctx context.Context)
	}

	// Relayer opens streams of updates from the relay parent.
	Relayer struct {
		opener  StreamOpener
		parents ParentFinder
		clock   clockwork.Clock
		// epoch is the time from which marks count.
		epoch time.Time
		// suspended returns for how long the machine has been suspended.
		suspended func() time.Duration
	}

	// Option configures a relayer.
	Option func(*Relayer)

	// updateStream receives a relay parent's updates of one kind of record.
	updateStream struct {
		relayer *Relayer
		peer    tracker.Member
		stream  *messenger.Stream
		// markDue is set when no mark was sent since the last update was received.
		markDue bool
	}
)

var _ follower.Relay = (*Relayer)(nil)

// New returns a relayer that receives the updates of the relay parent that p finds.
func New(o StreamOpener, p ParentFinder, clock clockwork.Clock, opts ...Option) *Relayer {
	r := &Relayer{opener: o, parents: p, clock: clock, epoch: clock.Now(), suspended: func() time.Duration { return 0 }}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithSuspension sets the function that returns for how long the machine has been suspended.
// The age of an update includes that time.
func WithSuspension(suspended func() time.Duration) Option {
	return func(r *Relayer) { r.suspended = suspended }
}

// elapsed returns the time since the epoch, suspensions included.
func (r *Relayer) elapsed() time.Duration {
	return r.clock.Since(r.epoch) + r.suspended()
}

// WaitForPeer implements follower.Relay.
func (r *Relayer) WaitForPeer(ctx context.Context) {
	r.parents.WaitForPeer(ctx)
}

// Open implements follower.Relay.
func (r *Relayer) Open(ctx context.Context, kind storer.Kind, since storer.Version) (follower.Updates, error) {
	peer, ok := r.parents.RelayParent()
	if !ok {
		return nil, follower.ErrRelayRoot
	}
	stream, err := r.opener.Open(ctx, peer.PeerAddress, peer.Incarnation)
	if err != nil {
		return nil, err
	}
	u := &updateStream{relayer: r, peer: peer, stream: stream}
	if err := u.sendFollow(&encoder.Follow{Kind: string(kind), Since: uint64(since.Revision), Era: uint64(since.Era), Packs: true}); err != nil {
		stream.Close()
		return nil, err
	}
	return u, nil
}

// mark returns the current time as a mark. It is never 0, which stands for no mark.
func (r *Relayer) mark() uint64 {
	return uint64(r.elapsed()/markResolution) + 1
}

// age returns how long ago the store confirmed an update, by this VM's clock. With a mark,
// u.Age is the time from the confirmation to the relay parent's receipt of the mark, and is
// negative if the confirmation came later.
func (r *Relayer) age(u storer.Update) time.Duration {
	if u.Mark == 0 {
		return max(0, u.Age)
	}
	marked := time.Duration(u.Mark-1) * markResolution
	return max(0, r.elapsed()-marked+u.Age)
}

// Next implements follower.Updates.
func (u *updateStream) Next() (storer.Update, error) {
	if u.markDue {
		if err := u.sendFollow(&encoder.Follow{}); err != nil {
			return storer.Update{}, err
		}
	}
	reply, err := u.stream.ReceiveReply()
	if err != nil {
		return storer.Update{}, err
	}
	if reply.GetUpdate() == nil {
		return storer.Update{}, errUnexpectedReply
	}
	if err := packer.UnpackUpdate(reply.GetUpdate()); err != nil {
		return storer.Update{}, err
	}
	u.markDue = true
	update := converter.UpdateFrom(reply.GetUpdate())
	if update.Mark > u.relayer.mark() {
		return storer.Update{}, errUnknownMark
	}
	update.Age, update.Mark = u.relayer.age(update), 0
	return update, nil
}

// sendFollow sends a Follow message with a new mark.
func (u *updateStream) sendFollow(f *encoder.Follow) error {
	f.Mark = u.relayer.mark()
	u.markDue = false
	return u.stream.SendRequest(&encoder.Request{Kind: &encoder.Request_Follow{Follow: f}})
}

// Peer implements follower.Updates.
func (u *updateStream) Peer() (namer.VM, bool) {
	peer, ok := u.relayer.parents.RelayParent()
	return u.peer.VM, ok && peer.Incarnation == u.peer.Incarnation
}

// Close implements follower.Updates.
func (u *updateStream) Close() {
	u.stream.Close()
}
