package selector

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// The memory of upstreams that are gone must not grow without bound. It keeps the latest
// ones, and those that the view still has.
func TestNoticesOfGoneUpstreamsPileUp(t *testing.T) {
	t.Parallel()
	s := New(Self{})
	process := func(i int) *upstreamState {
		return &upstreamState{Upstream: cataloger.Upstream{Entry: cataloger.Entry{Upstream: namer.Upstream(fmt.Sprintf("u%d", i))}}}
	}
	listed := process(0)
	s.upstreams[listed.Upstream.Upstream] = listed
	const leavers = maxNotices + 10
	for i := range leavers {
		s.recordNotice(time.Unix(int64(i), 0), process(i), Report{Leaving: true})
	}
	assert.Equal(t, len(s.notices), maxNotices)
	assert.Assert(t, s.isDraining(listed))
	assert.Assert(t, s.noticeOf(listed).isLeaving())
	assert.Assert(t, !s.noticeOf(process(1)).isLeaving())
	assert.Assert(t, s.noticeOf(process(leavers-1)).isLeaving())
}
