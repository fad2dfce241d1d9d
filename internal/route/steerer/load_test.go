package steerer_test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// loadReporter is a fakeUpstreams of which the upstream that is used first reports a load.
type loadReporter struct {
	fakeUpstreams
	load string

	mu    sync.Mutex
	first namer.Upstream
}

// Exchange implements steerer.UpstreamClient.
func (u *loadReporter) Exchange(ctx context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error) {
	resp, err := u.fakeUpstreams.Exchange(ctx, t, r)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.first == "" {
		u.first = t.Upstream
	}
	if u.first == t.Upstream {
		resp.Header.Set(namer.WaxwingHeaderNames().Load, u.load)
	}
	return resp, err
}

// TestLoadOutOfRange guards against requests that wait for an upstream that reports a load no
// upstream can have, while others are free: its expected latency overflows.
func TestLoadOutOfRange(t *testing.T) {
	t.Parallel()
	for _, load := range []string{
		"9223372036854775807,0,4", "9223372036854775807,9223372036854775807,4", "4611686018427387904,0,4", "99999999999,0,4",
		"0,9223372036854775807,4", "-9223372036854775808,-1,4", "1e30,0,4", "-5,9,4", "99999999999999999999,0,4",
	} {
		t.Run(load, func(t *testing.T) {
			t.Parallel()
			up := &loadReporter{load: load}
			s := newSteerer(t, up, 2, 4)
			for range 3 {
				result := s.Steer(t.Context(), request("/read/"))
				assert.Equal(t, result.Status, http.StatusOK, "%+v", result)
			}
			assert.Equal(t, s.Counts(), steerer.Counts{Answered: 3})
		})
	}
}
