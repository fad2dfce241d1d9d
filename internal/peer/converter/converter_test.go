package converter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

var now = time.Unix(1000, 0)

// TestSeenVersionKeepsEra guards against a seen version that loses its era in a heartbeat, so that
// peers do not ask a restored store for what they lack.
func TestSeenVersionKeepsEra(t *testing.T) {
	t.Parallel()
	seen := []tracker.SeenVersion{
		{Kind: "things", Version: storer.Version{Era: 3, Revision: 7}},
		{Kind: "others", Version: storer.Version{Revision: 8}},
	}
	m, ok := converter.MemberFrom(converter.Member(tracker.Member{Incarnation: namer.Incarnation{1}, SeenVersions: seen}, now), now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, m.SeenVersions, seen)
}

// TestUpstreamKeepsEraAndSequence guards against a borrowed upstream whose drain ends with an entry
// that a restored store brings back.
func TestUpstreamKeepsEraAndSequence(t *testing.T) {
	t.Parallel()
	u := cataloger.Upstream{
		Entry:     cataloger.Entry{Upstream: "a", StartedMs: 5, Sequence: 9, Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 4, Draining: true},
		Version:   storer.Version{Era: 3, Revision: 7},
		ColdUntil: now,
	}
	doc := &encoder.Document{}
	converter.AddUpstreams(doc, &cataloger.View{Upstreams: []cataloger.Upstream{u}}, now)
	got := converter.UpstreamsFrom(doc).Upstreams
	assert.Equal(t, len(got), 1)
	assert.DeepEqual(t, got[0].Entry, u.Entry)
	assert.Equal(t, got[0].Version, u.Version)
}
