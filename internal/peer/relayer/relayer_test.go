package relayer_test

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/answerer"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/peer/relayer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const kind storer.Kind = "things"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// confirmation is an update that the store confirmed at a time of the teller's clock.
type confirmation struct {
	update storer.Update
	fresh  time.Time
}

// records hands out confirmations as a test gives them.
type records struct {
	asked chan struct{}
	next  chan confirmation
}

// Await implements answerer.Records.
func (r *records) Await(ctx context.Context, p follower.Position) (storer.Update, follower.Position, error) {
	select {
	case r.asked <- struct{}{}:
	case <-ctx.Done():
		return storer.Update{}, p, ctx.Err()
	}
	select {
	case c := <-r.next:
		return c.update, follower.Position{Version: c.update.At, ConfirmedAt: c.fresh}, nil
	case <-ctx.Done():
		return storer.Update{}, p, ctx.Err()
	}
}

// readClock tells of each time that it is read.
type readClock struct {
	*clockwork.FakeClock
	read chan struct{}
}

// Now implements clockwork.Clock.
func (c readClock) Now() time.Time {
	defer func() { c.read <- struct{}{} }()
	return c.FakeClock.Now()
}

// guide leads to one peer.
type guide struct{ peer tracker.Member }

// Guide implements relayer.Guides.
func (g guide) RelayParent() (tracker.Member, bool) { return g.peer, true }

// Meet implements relayer.Guides.
func (guide) WaitForPeer(context.Context) {}

// newMessenger returns a messenger that serves a handler, and its address.
func newMessenger(t *testing.T, inc byte, h messenger.Handler) (*messenger.Messenger, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
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

// TestUpdateDelayedOnItsWay has updates wait between the teller and the VM that is told, as on a slow
// link or in a process that stands still. They count as old as they are when they are taken.
func TestUpdateDelayedOnItsWay(t *testing.T) {
	t.Parallel()
	teller := readClock{FakeClock: clockwork.NewFakeClock(), read: make(chan struct{}, 8)}
	told := clockwork.NewFakeClockAt(time.Unix(0, 0))
	pass := func(d time.Duration) {
		teller.Advance(d)
		told.Advance(d)
	}
	r := &records{asked: make(chan struct{}), next: make(chan confirmation)}
	services := answerer.Services{Records: map[storer.Kind]answerer.RecordSource{kind: r}}
	_, address := newMessenger(t, 1, answerer.New(services, teller, slog.New(slog.DiscardHandler)))
	own, _ := newMessenger(t, 2, answerer.New(answerer.Services{}, told, slog.New(slog.DiscardHandler)))
	relay := relayer.New(own, guide{tracker.Member{PeerAddress: address, Incarnation: namer.Incarnation{1}}}, told)

	updates, err := relay.Open(t.Context(), kind, 0)
	assert.NilError(t, err)
	defer updates.Close()
	for i, delay := range []time.Duration{0, 1400 * time.Millisecond, 5 * time.Second, 0, time.Second} {
		<-r.asked
		if i != 1 {
			// The teller has received the mark of this VM's last call.
			<-teller.read
		}
		pass(time.Second)
		r.next <- confirmation{update: storer.Update{At: 1, Age: 100 * time.Millisecond}, fresh: teller.FakeClock.Now().Add(-100 * time.Millisecond)}
		pass(delay)
		u, err := updates.Next()
		assert.NilError(t, err)
		late := u.Age - (delay + 100*time.Millisecond)
		assert.Assert(t, late >= 0, "taken for %s younger", -late)
		assert.Assert(t, late <= 2*time.Millisecond, "taken for %s older", late)
	}
}
