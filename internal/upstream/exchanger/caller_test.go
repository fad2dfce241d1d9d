package exchanger_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// countingClock calls a function at one of the calls of Now.
type countingClock struct {
	clockwork.Clock
	calls int
	at    int
	now   func()
}

// Now implements clockwork.Clock.
func (c *countingClock) Now() time.Time {
	c.calls++
	if c.calls == c.at {
		c.now()
	}
	return c.Clock.Now()
}

// TestCallerLeavesAfterConnectionIsPooled guards against a caller that closes a connection
// which is back in the pool.
func TestCallerLeavesAfterConnectionIsPooled(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse)
	clock := &countingClock{Clock: clockwork.NewRealClock()}
	x, cleanup := exchanger.New(clock)
	t.Cleanup(cleanup)
	for _, id := range []string{"a0", "a1"} {
		clock.calls = 0
		_, err := x.Exchange(t.Context(), u.target(), request(id))
		assert.NilError(t, err)
	}
	// The pool asks for the time last, after it has taken the connection.
	clock.at, clock.calls = clock.calls, 0
	ctx, cancel := context.WithCancel(t.Context())
	clock.now = func() {
		cancel()
		time.Sleep(20 * time.Millisecond)
	}
	_, err := x.Exchange(ctx, u.target(), request("a2"))
	assert.NilError(t, err)
	assert.ErrorIs(t, ctx.Err(), context.Canceled)
	response, err := x.Exchange(t.Context(), u.target(), request("a3"))
	assert.NilError(t, err)
	assert.Equal(t, response.ConnectTime, time.Duration(0), "a new connection was opened")
}
