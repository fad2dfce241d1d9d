package steerer_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

// TestLargeRequestsAtOneUpstream guards against an upstream that ends because it gets more
// bytes at once than it can hold. Large requests go to other upstreams, and are refused as not
// run when all hold large ones; small ones are not.
func TestLargeRequestsAtOneUpstream(t *testing.T) {
	t.Parallel()
	const limit = 10_000
	up := &fakeUpstreams{behaviors: []behavior{hangs, hangs}, release: make(chan struct{})}
	s := newSteerer(t, up, 2, 4)
	s.SetMaxUpstreamBytes(limit)
	large := request("/read/")
	large.Body, large.BodyRest = make([]byte, limit/2), [][]byte{make([]byte, limit/4)}
	done := make(chan steerer.Result, 2)
	for i := range 2 {
		go func() { done <- s.Steer(t.Context(), large) }()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			up.mu.Lock()
			defer up.mu.Unlock()
			if len(up.sentTo) == i+1 {
				return poll.Success()
			}
			return poll.Continue("%d sent", len(up.sentTo))
		})
	}
	assert.Assert(t, up.sentTo[0] != up.sentTo[1])
	refused := s.Steer(t.Context(), large)
	assert.Equal(t, refused.Status, http.StatusServiceUnavailable)
	assert.Equal(t, refused.Code, steerer.CodeRefused)
	assert.Assert(t, refused.RetryAfter > 0)
	assert.Equal(t, refused.SendCount, 0)
	assert.Equal(t, s.Steer(t.Context(), request("/read/")).Status, http.StatusOK)
	close(up.release)
	for range 2 {
		assert.Equal(t, (<-done).Status, http.StatusOK)
	}
	assert.Equal(t, s.Steer(t.Context(), large).Status, http.StatusOK)
	assert.Equal(t, s.OverweightCount(), int64(3))
}
