package weigher_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/weigher"
)

// TestLargeRequestsEndUpstream guards against an upstream that gets more bytes at once than it
// can hold, and against a request over the limit that no upstream ever gets.
func TestLargeRequestsEndUpstream(t *testing.T) {
	t.Parallel()
	w := weigher.New(100)
	first, second := cataloger.Target{Upstream: "i-1"}, cataloger.Target{Upstream: "i-2"}
	assert.Assert(t, w.Take(first, 60))
	assert.Assert(t, w.Take(first, 40))
	assert.Assert(t, !w.Take(first, 1))
	assert.Assert(t, w.Take(second, 300))
	assert.Assert(t, !w.Take(second, 1))
	// A measured round-trip time does not make another upstream of it.
	first.RTT = 1
	w.Give(first, 60)
	assert.Assert(t, w.Take(first, 60))
	w.Give(second, 300)
	assert.Assert(t, w.Take(second, 1))
	assert.Equal(t, w.Refused(), int64(2))
	assert.Assert(t, weigher.New(0).Take(first, 1<<40))
}
