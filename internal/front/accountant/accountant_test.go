package accountant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
)

const (
	mib   = 1 << 20
	limit = 8 * mib
)

// crowd is an account, the time, and the connections that were closed, in order.
type crowd struct {
	account *accountant.Accountant
	now     time.Time
	closed  []string
}

func newCrowd(limits accountant.Limits) *crowd {
	return &crowd{account: accountant.New(limits), now: time.Unix(1000, 0)}
}

// open opens a connection that reads a body of which it holds some bytes, and returns it, or
// nil if it was refused.
func (c *crowd) open(caller, name string, state accountant.State, bytes int64) *accountant.Holder {
	h, ok := c.account.Open(caller, c.now, func(accountant.Eviction) { c.closed = append(c.closed, name) })
	if !ok {
		return nil
	}
	h.Enter(c.now, state)
	if !h.Take(c.now, bytes) {
		return nil
	}
	return h
}

// TestLongestAndLargestIsClosed checks the choice of the connection to close, by the product
// of its bytes and the time since it last made progress.
func TestLongestAndLargestIsClosed(t *testing.T) {
	t.Parallel()
	c := newCrowd(accountant.Limits{Bytes: limit})
	c.open("a", "old", accountant.Reading, mib)
	c.now = c.now.Add(time.Second)
	c.open("a", "large", accountant.Reading, 4*mib)
	running := c.open("a", "running", accountant.Running, mib/2)
	c.now = c.now.Add(time.Second)
	// Old stands still for 2 s with 1 MiB, large for 1 s with 4 MiB.
	assert.Assert(t, c.open("a", "new", accountant.Reading, mib) != nil)
	assert.DeepEqual(t, c.closed, []string{"large"})
	assert.Assert(t, !running.Evicted())
}

// TestLargeLeaveRoomForSmall guards against large bodies that take all of the memory, also
// while they make progress, so that small requests are refused.
func TestLargeLeaveRoomForSmall(t *testing.T) {
	t.Parallel()
	c := newCrowd(accountant.Limits{Bytes: limit})
	refused := 0
	for i := range 20 {
		if c.open("a", fmt.Sprint(i), accountant.Reading, mib) == nil {
			refused++
		}
	}
	assert.Assert(t, refused > 0)
	for i := range 10 {
		assert.Assert(t, c.open("a", "small", accountant.Reading, 64<<10) != nil, "small request %d was refused", i)
	}
	assert.Equal(t, len(c.closed), 0)
	assert.Equal(t, c.account.Counts().RefusedBytes, int64(refused))
}

// TestRefusedWhileAllRun guards against a running request that is closed to make room: its
// response would be lost.
func TestRefusedWhileAllRun(t *testing.T) {
	t.Parallel()
	c := newCrowd(accountant.Limits{Bytes: limit, Connections: 4})
	for range 4 {
		assert.Assert(t, c.open("a", "running", accountant.Running, mib) != nil)
	}
	c.now = c.now.Add(time.Hour)
	assert.Assert(t, c.open("a", "more", accountant.Idle, 0) == nil)
	assert.Equal(t, len(c.closed), 0)
	assert.Equal(t, c.account.Counts().RefusedConnections, int64(1))
}

// TestBusyCrowdRefusesOrdinaryCaller guards against an ordinary caller that is refused because
// all connections read bodies and none stands still: at the limit on connections, and at that
// of memory. Large bodies don't end each other.
func TestBusyCrowdRefusesOrdinaryCaller(t *testing.T) {
	t.Parallel()
	c := newCrowd(accountant.Limits{Bytes: limit, Connections: 4})
	c.open("a", "0", accountant.Reading, 2*mib)
	running := c.open("a", "running", accountant.Running, 4*mib)
	small := c.open("a", "small", accountant.Reading, 64<<10)
	c.now = c.now.Add(time.Millisecond)
	large := c.open("a", "large", accountant.Reading, 64<<10)
	assert.Assert(t, !large.Take(c.now, mib))
	assert.Equal(t, len(c.closed), 0)
	assert.Assert(t, c.open("b", "ordinary", accountant.Idle, 1024) != nil)
	assert.DeepEqual(t, c.closed, []string{"0"})
	assert.Assert(t, running.Take(c.now, 2*mib) && !small.Evicted())
}

// TestCallerTakesOthersConnections guards against one address that takes the connections of
// others: over its limit, its own are closed.
func TestCallerTakesOthersConnections(t *testing.T) {
	t.Parallel()
	c := newCrowd(accountant.Limits{Connections: 4, CallerConnections: 3})
	c.open("b", "other", accountant.Idle, 0)
	for i := range 5 {
		c.now = c.now.Add(time.Second)
		assert.Assert(t, c.open("a", fmt.Sprint(i), accountant.Idle, 0) != nil)
	}
	assert.DeepEqual(t, c.closed, []string{"0", "1"})
	assert.Assert(t, c.open("c", "third", accountant.Idle, 0) != nil)
	assert.DeepEqual(t, c.closed, []string{"0", "1", "other"})
}

// TestAccountIsEmptyAtEnd guards against bytes that stay in the account: of a connection that
// was closed to make room, and whose request gives back what it held later.
func TestAccountIsEmptyAtEnd(t *testing.T) {
	t.Parallel()
	c := newCrowd(accountant.Limits{Bytes: limit})
	first := c.open("a", "first", accountant.Reading, 5*mib)
	c.now = c.now.Add(time.Second)
	second := c.open("a", "second", accountant.Reading, 5*mib)
	assert.DeepEqual(t, c.closed, []string{"first"})
	assert.Assert(t, !first.Take(c.now, 1))
	for _, h := range []*accountant.Holder{first, second} {
		h.Give(5 * mib)
		h.Close()
		h.Close()
	}
	counts := c.account.Counts()
	assert.Equal(t, counts.HeldBytes, int64(0))
	assert.Equal(t, counts.Connections, 0)
	assert.Assert(t, counts.PeakBytes <= limit)
}

// TestWhatCanWaitClosesNone guards against connections that are closed for requests which could
// wait for those before them.
func TestWhatCanWaitClosesNone(t *testing.T) {
	t.Parallel()
	c := newCrowd(accountant.Limits{Bytes: limit})
	old := c.open("a", "old", accountant.Reading, 4*mib)
	h := c.open("a", "new", accountant.Idle, 0)
	c.now = c.now.Add(time.Hour)
	assert.Assert(t, h.TakeFree(c.now, 64<<10))
	assert.Assert(t, !h.TakeFree(c.now, 3*mib))
	assert.Equal(t, len(c.closed), 0)
	assert.Equal(t, c.account.Counts().RefusedBytes, int64(0))
	old.Close()
	assert.Assert(t, h.TakeFree(c.now, 3*mib))
	assert.Assert(t, !h.TakeFree(c.now, 4*mib), "the share for others is taken")
	assert.Equal(t, len(c.closed), 0)
}

// TestNothingIsTakenAfterClose guards against bytes that a request takes after its connection was
// closed, which would stay in the account for ever.
func TestNothingIsTakenAfterClose(t *testing.T) {
	t.Parallel()
	c := newCrowd(accountant.Limits{Bytes: limit})
	h := c.open("a", "closed", accountant.Running, 0)
	h.Close()
	loan := h.NewLoan()
	assert.Assert(t, !loan.Take(c.now, mib))
	assert.Assert(t, !h.TakeFree(c.now, mib))
	loan.Return()
	assert.Equal(t, c.account.Counts().HeldBytes, int64(0))
	assert.Equal(t, c.account.Counts().RefusedBytes, int64(0))
}
