package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
)

// TestLoadAtUpstreamSeldomUsed guards against a VM of a large fleet that takes full upstreams
// for free ones, since it sends each of them a request only now and then: what an upstream
// reported a while ago says less than what the others report now. Without any reports it
// must count as free again.
func TestLoadAtUpstreamSeldomUsed(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "a1", view())
	seldom := f.pick(t, "o")
	f.send(seldom, 1)
	for range 3 {
		f.now = f.now.Add(50 * time.Millisecond)
		for _, o := range objects(40) {
			d := f.Decide(f.now, f.request(o))
			if d.Target().Upstream == seldom {
				continue
			}
			f.Begin(f.now, d)
			f.End(f.now, d, answered(100*time.Millisecond, 9))
		}
	}
	f.now = f.now.Add(500 * time.Millisecond)
	d := f.Decide(f.now, f.request("o"))
	assert.Equal(t, d.Target().Upstream, seldom)
	assert.Assert(t, d.Load > 4 && d.Load < 9, "%v", d.Load)
	f.now = f.now.Add(10 * time.Second)
	d = f.Decide(f.now, f.request("o"))
	assert.Assert(t, d.Load < 0.1, "%v", d.Load)
}

// send sends a request to an upstream, which reports a load in its response.
func (f *fixture) send(to namer.Upstream, load int) {
	for _, o := range objects(1000) {
		if d := f.Decide(f.now, f.request(o)); d.Target().Upstream == to {
			f.Begin(f.now, d)
			f.End(f.now, d, selector.Report{Latency: 100 * time.Millisecond, Load: load})
			return
		}
	}
}
