package relayer_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/answerer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/peer/relayer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const kind storer.Kind = "things"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// confirmation is an update and when the store confirmed it, by the sender's clock.
type confirmation struct {
	update      storer.Update
	confirmedAt time.Time
}

// fakeRecords returns the confirmations that a test sends to next.
type fakeRecords struct {
	awaited chan struct{}
	next    chan confirmation
	// position is the position of the last call. It is read after a receive from awaited.
	position follower.Position
}

// Await implements answerer.RecordSource.
func (r *fakeRecords) Await(ctx context.Context, p follower.Position) (storer.Update, follower.Position, error) {
	r.position = p
	select {
	case r.awaited <- struct{}{}:
	case <-ctx.Done():
		return storer.Update{}, p, ctx.Err()
	}
	select {
	case c := <-r.next:
		return c.update, follower.Position{Version: c.update.Version, ConfirmedAt: c.confirmedAt}, nil
	case <-ctx.Done():
		return storer.Update{}, p, ctx.Err()
	}
}

// notifyingClock sends on a channel each time that it is read.
type notifyingClock struct {
	*clockwork.FakeClock
	read chan struct{}
}

// Now implements clockwork.Clock.
func (c notifyingClock) Now() time.Time {
	defer func() { c.read <- struct{}{} }()
	return c.FakeClock.Now()
}

// fixedParent always returns the same relay parent.
type fixedParent struct{ peer tracker.Member }

// RelayParent implements relayer.ParentFinder.
func (p fixedParent) RelayParent() (tracker.Member, bool) { return p.peer, true }

// WaitForPeer implements relayer.ParentFinder.
func (fixedParent) WaitForPeer(context.Context) {}

// newMessenger starts a messenger that serves a handler, and returns it with its address.
func newMessenger(t *testing.T, inc byte, h messenger.Handler) (*messenger.Messenger, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return newMessengerOn(t, ln, inc, h)
}

// newMessengerOn is newMessenger with a listener.
func newMessengerOn(t *testing.T, ln net.Listener, inc byte, h messenger.Handler) (*messenger.Messenger, string) {
	t.Helper()
	m, cleanup, err := messenger.New(ln, messenger.Identity{Incarnation: namer.Incarnation{inc}}, [][]byte{[]byte("a key of the test")})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Serve(ctx, h) }()
	t.Cleanup(func() {
		cancel()
		cleanup()
		assert.NilError(t, <-done)
	})
	return m, ln.Addr().String()
}

// TestUpdateAgeIncludesTransferDelay guards against updates that count as newer than they are
// after a wait between the sender and the receiver, as on a slow link or in a paused process.
func TestUpdateAgeIncludesTransferDelay(t *testing.T) {
	t.Parallel()
	senderClock := notifyingClock{FakeClock: clockwork.NewFakeClock(), read: make(chan struct{}, 8)}
	receiverClock := clockwork.NewFakeClockAt(time.Unix(0, 0))
	advance := func(d time.Duration) {
		senderClock.Advance(d)
		receiverClock.Advance(d)
	}
	r := &fakeRecords{awaited: make(chan struct{}), next: make(chan confirmation)}
	deps := answerer.Dependencies{Records: map[storer.Kind]answerer.RecordSource{kind: r}}
	_, address := newMessenger(t, 1, answerer.New(deps, senderClock, slog.New(slog.DiscardHandler)))
	own, _ := newMessenger(t, 2, answerer.New(answerer.Dependencies{}, receiverClock, slog.New(slog.DiscardHandler)))
	relay := relayer.New(own, fixedParent{tracker.Member{PeerAddress: address, Incarnation: namer.Incarnation{1}}}, receiverClock)

	updates, err := relay.Open(t.Context(), kind, storer.Absent)
	assert.NilError(t, err)
	defer updates.Close()
	for i, delay := range []time.Duration{0, 1400 * time.Millisecond, 5 * time.Second, 0, time.Second} {
		<-r.awaited
		if i != 1 {
			// The sender has received the mark of the receiver's last call of Open or Next. If
			// i is 1, that call is the first Next, which sends no mark.
			<-senderClock.read
		}
		advance(time.Second)
		r.next <- confirmation{update: storer.Update{Version: storer.Version{Revision: 1}, Age: 100 * time.Millisecond}, confirmedAt: senderClock.FakeClock.Now().Add(-100 * time.Millisecond)}
		advance(delay)
		u, err := updates.Next()
		assert.NilError(t, err)
		excess := u.Age - (delay + 100*time.Millisecond)
		assert.Assert(t, excess >= 0, "the age is %s too low", -excess)
		assert.Assert(t, excess <= 2*time.Millisecond, "the age is %s too high", excess)
	}
}

// TestUpdateAgeIncludesSuspension guards against updates that count as new after the machine was
// suspended, since its steady clock stood still while they waited.
func TestUpdateAgeIncludesSuspension(t *testing.T) {
	t.Parallel()
	var suspended atomic.Int64
	clock := clockwork.NewFakeClock()
	r := &fakeRecords{awaited: make(chan struct{}), next: make(chan confirmation)}
	deps := answerer.Dependencies{Records: map[storer.Kind]answerer.RecordSource{kind: r}}
	_, address := newMessenger(t, 1, answerer.New(deps, clock, slog.New(slog.DiscardHandler)))
	own, _ := newMessenger(t, 2, answerer.New(answerer.Dependencies{}, clock, slog.New(slog.DiscardHandler)))
	relay := relayer.New(own, fixedParent{tracker.Member{PeerAddress: address, Incarnation: namer.Incarnation{1}}}, clock,
		relayer.WithSuspension(func() time.Duration { return time.Duration(suspended.Load()) }))
	updates, err := relay.Open(t.Context(), kind, storer.Absent)
	assert.NilError(t, err)
	defer updates.Close()
	<-r.awaited
	r.next <- confirmation{update: storer.Update{Version: storer.Version{Revision: 1}}, confirmedAt: clock.Now()}
	suspended.Store(int64(time.Minute))
	u, err := updates.Next()
	assert.NilError(t, err)
	assert.Assert(t, u.Age >= time.Minute, "%s", u.Age)
}

// handlerFunc answers the requests of peers.
type handlerFunc func(*encoder.Request, *messenger.Stream)

// Handle implements messenger.Handler.
func (f handlerFunc) Handle(_ context.Context, _ messenger.Identity, req *encoder.Request, s *messenger.Stream) {
	f(req, s)
}

// TestMarkOutOfRange guards against old records that count as confirmed just now because the
// relay parent returned a mark that this VM did not send.
func TestMarkOutOfRange(t *testing.T) {
	t.Parallel()
	for _, mark := range []uint64{2, 1 << 40, 1 << 62, math.MaxUint64} {
		t.Run(strconv.FormatUint(mark, 10), func(t *testing.T) {
			t.Parallel()
			_, address := newMessenger(t, 1, handlerFunc(func(req *encoder.Request, s *messenger.Stream) {
				_ = s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Update{Update: &encoder.Update{Age: 60_000, Mark: mark}}})
			}))
			clock := clockwork.NewFakeClock()
			own, _ := newMessenger(t, 2, handlerFunc(func(*encoder.Request, *messenger.Stream) {}))
			relay := relayer.New(own, fixedParent{tracker.Member{PeerAddress: address, Incarnation: namer.Incarnation{1}}}, clock)
			updates, err := relay.Open(t.Context(), kind, storer.Absent)
			assert.NilError(t, err)
			defer updates.Close()
			u, err := updates.Next()
			assert.Assert(t, err != nil, "an age of %s", u.Age)
		})
	}
}

// newRelay starts a relay parent with records, and returns the relayer of a VM that follows it.
func newRelay(t *testing.T, r answerer.RecordSource, clock clockwork.Clock) *relayer.Relayer {
	t.Helper()
	deps := answerer.Dependencies{Records: map[storer.Kind]answerer.RecordSource{kind: r}}
	_, address := newMessenger(t, 1, answerer.New(deps, clock, slog.New(slog.DiscardHandler)))
	own, _ := newMessenger(t, 2, answerer.New(answerer.Dependencies{}, clock, slog.New(slog.DiscardHandler)))
	return relayer.New(own, fixedParent{tracker.Member{PeerAddress: address, Incarnation: namer.Incarnation{1}}}, clock)
}

// TestErasAreRelayed guards against versions that lose their era between two VMs, so that
// records from before a restoration of the store count as later ones.
func TestErasAreRelayed(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	r := &fakeRecords{awaited: make(chan struct{}), next: make(chan confirmation)}
	relay := newRelay(t, r, clock)

	since := storer.Version{Era: 2, Revision: 90}
	updates, err := relay.Open(t.Context(), kind, since)
	assert.NilError(t, err)
	defer updates.Close()
	<-r.awaited
	assert.Equal(t, r.position.Version, since)
	sent := storer.Update{
		Version:     storer.Version{Era: 3, Revision: 80},
		SeenVersion: storer.Version{Era: 4, Revision: 70},
		Changes:     []storer.Change{{Record: storer.Record{Name: "a", Version: storer.Version{Era: 3, Revision: 79}}}},
	}
	r.next <- confirmation{update: sent, confirmedAt: clock.Now()}
	got, err := updates.Next()
	assert.NilError(t, err)
	assert.Equal(t, got.Version, sent.Version)
	assert.Equal(t, got.SeenVersion, sent.SeenVersion)
	assert.Equal(t, got.Changes[0].Record.Version, sent.Changes[0].Record.Version)
}

// TestObsoleteUpdatesQueueUp guards against updates that wait in the stream to a VM that is slow
// to apply them, and are obsolete when it reads them.
func TestObsoleteUpdatesQueueUp(t *testing.T) {
	t.Parallel()
	const maxUnread = 2
	clock := clockwork.NewFakeClock()
	r := &fakeRecords{awaited: make(chan struct{}), next: make(chan confirmation)}
	relay := newRelay(t, r, clock)
	updates, err := relay.Open(t.Context(), kind, storer.Absent)
	assert.NilError(t, err)
	defer updates.Close()

	revision := storer.Revision(0)
	sendNext := func(timeout time.Duration) bool {
		select {
		case <-r.awaited:
		case <-time.After(timeout):
			return false
		}
		revision++
		r.next <- confirmation{update: storer.Update{Version: storer.Version{Revision: revision}}, confirmedAt: clock.Now()}
		return true
	}
	for range maxUnread {
		assert.Assert(t, sendNext(5*time.Second))
	}
	assert.Assert(t, !sendNext(100*time.Millisecond), "more than %d updates are sent unread", maxUnread)
	for want := storer.Revision(1); want <= 5; want++ {
		u, err := updates.Next()
		assert.NilError(t, err)
		assert.Equal(t, u.Version.Revision, want)
		if want > 1 {
			assert.Assert(t, sendNext(5*time.Second))
		}
	}
}

// countingListener counts the bytes that are written to the connections it accepts.
type countingListener struct {
	net.Listener
	written *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.written}, err
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// oneUpdate sends each peer one update.
type oneUpdate struct{ update storer.Update }

// Await implements answerer.RecordSource.
func (r oneUpdate) Await(ctx context.Context, p follower.Position) (storer.Update, follower.Position, error) {
	if p.Version.Before(r.update.Version) {
		return r.update, follower.Position{Version: r.update.Version}, nil
	}
	<-ctx.Done()
	return storer.Update{}, p, ctx.Err()
}

// configuration returns a configuration of 1,400 routes.
func configuration() []byte {
	var b bytes.Buffer
	for i := range 1400 {
		_, _ = fmt.Fprintf(&b, `{"route":"r-%d","path":"/%x/","once":false,"split":{"desk":1},"timeout":"1500ms","target":"600ms","attempts":2,"rank":2,"affinity":true}`, i, uint64(i)*0x9e3779b97f4a7c15)
	}
	return b.Bytes()
}

// TestLargeConfigurationFillsLink guards against a configuration that is late at the VMs of a
// zone because the link of the one that sends it to the others is full. At 10 Mbit/s, 13 VMs can
// get 1.25 MB in a second.
func TestLargeConfigurationFillsLink(t *testing.T) {
	t.Parallel()
	const (
		peers        = 13
		maxLinkBytes = 1_250_000
	)
	clock := clockwork.NewFakeClock()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	written := new(atomic.Int64)
	sent := storer.Update{Version: storer.Version{Revision: 2}, Changes: []storer.Change{{Record: storer.Record{Name: "main", Version: storer.Version{Revision: 2}, Spec: configuration()}}}}
	deps := answerer.Dependencies{Records: map[storer.Kind]answerer.RecordSource{kind: oneUpdate{sent}}}
	_, address := newMessengerOn(t, countingListener{ln, written}, 1, answerer.New(deps, clock, slog.New(slog.DiscardHandler)))
	for range peers {
		own, _ := newMessenger(t, 2, answerer.New(answerer.Dependencies{}, clock, slog.New(slog.DiscardHandler)))
		relay := relayer.New(own, fixedParent{tracker.Member{PeerAddress: address, Incarnation: namer.Incarnation{1}}}, clock)
		updates, err := relay.Open(t.Context(), kind, storer.Absent)
		assert.NilError(t, err)
		defer updates.Close()
		u, err := updates.Next()
		assert.NilError(t, err)
		assert.Equal(t, u.Changes[0].Record.Name, "main")
		assert.Assert(t, bytes.Equal(u.Changes[0].Record.Spec, sent.Changes[0].Record.Spec))
	}
	assert.Assert(t, written.Load() < maxLinkBytes, "%d bytes", written.Load())
}

// TestPeerOfEarlierBuild checks that a peer which does not say that it reads packed changes is
// sent them as they are.
func TestPeerOfEarlierBuild(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	sent := storer.Update{Version: storer.Version{Revision: 2}, Changes: []storer.Change{{Record: storer.Record{Name: "main", Spec: configuration()}}}}
	deps := answerer.Dependencies{Records: map[storer.Kind]answerer.RecordSource{kind: oneUpdate{sent}}}
	_, address := newMessenger(t, 1, answerer.New(deps, clock, slog.New(slog.DiscardHandler)))
	own, _ := newMessenger(t, 2, handlerFunc(func(*encoder.Request, *messenger.Stream) {}))
	s, err := own.Open(t.Context(), address, namer.Incarnation{1})
	assert.NilError(t, err)
	defer s.Close()
	assert.NilError(t, s.SendRequest(&encoder.Request{Kind: &encoder.Request_Follow{Follow: &encoder.Follow{Kind: string(kind)}}}))
	reply, err := s.ReceiveReply()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(reply.GetUpdate().GetChanges()[0].GetSpec(), configuration()))
}
