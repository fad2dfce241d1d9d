package steerer_test

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

const splitDocument = `
[service large]
[service small]
[route read]
host = shop
path = /read/
split = large:3 small:1
timeout = 2s
target = 10ms
attempts = 3
`

// fullPart is the upstreams of two services, of which that of "small" is full.
type fullPart struct {
	fakeUpstreams
	full fakeUpstreams
}

// Exchange implements steerer.UpstreamClient.
func (u *fullPart) Exchange(ctx context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error) {
	if t.Upstream == "small" {
		u.full.mu.Lock()
		u.full.behaviors = append(u.full.behaviors, refusesWhenFull)
		u.full.mu.Unlock()
		return u.full.Exchange(ctx, t, r)
	}
	return u.fakeUpstreams.Exchange(ctx, t, r)
}

// TestFullPartKeepsItsShare checks that requests that don't fit into one part of a split are
// refused there, rather than sent to another part, which would then have more than its share.
func TestFullPartKeepsItsShare(t *testing.T) {
	t.Parallel()
	const requests = 200
	up := &fullPart{}
	self := selector.Self{VM: "v", Zone: "z", Region: "r", Regions: map[namer.Zone]namer.Region{"z": "r"}}
	s := steerer.New(self, namer.WaxwingHeaderNames(), steerer.RetryBudget{Ratio: 1, Window: 10 * time.Second}, up,
		clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(splitDocument)}})
	assert.NilError(t, err)
	s.SetDocument(1, doc)
	view := &cataloger.View{}
	for _, name := range []string{"large", "small"} {
		view.Upstreams = append(view.Upstreams, cataloger.Upstream{Entry: cataloger.Entry{
			Upstream: namer.Upstream(name), Service: namer.Service(name), Zone: "z", Address: name, Slots: 4,
		}})
	}
	s.SetUpstreams(view)
	served := 0
	for range requests {
		r := request("/read/")
		r.Remaining = 100 * time.Millisecond
		result := s.Steer(t.Context(), r)
		switch result.Status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
		default:
			t.Fatalf("%+v", result)
		}
	}
	assert.Equal(t, len(up.sent), served)
	// The draw is random: five standard deviations around three quarters.
	assert.Assert(t, served > requests*3/4-31 && served < requests*3/4+31, "%d of %d", served, requests)
	assert.Assert(t, len(up.full.sent) > 0)
}
