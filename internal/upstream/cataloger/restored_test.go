package cataloger_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// inEra returns the version of a revision in an era.
func inEra(e storer.Era, r storer.Revision) storer.Version {
	return storer.Version{Era: e, Revision: r}
}

// report returns the entry of an upstream as its process reported it.
func report(name string, startedMs int64, seq cataloger.Sequence, draining bool) cataloger.Entry {
	e := entry(name)
	e.StartedMs, e.Sequence, e.Draining = startedMs, seq, draining
	return e
}

// TestLeavingUpstreamComesBackAfterRestore has the store come back from a copy in which a
// draining upstream is still in use. It must stay draining until it reports otherwise, or
// another process has its name.
func TestLeavingUpstreamComesBackAfterRestore(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		known    cataloger.Entry
		restored cataloger.Entry
		draining bool
	}{
		{"earlier report", report("a", 1, 9, true), report("a", 1, 4, false), true},
		{"same report", report("a", 1, 9, true), report("a", 1, 9, false), true},
		{"report without a number", report("a", 1, 9, true), report("a", 1, 0, false), true},
		{"no numbers", report("a", 1, 0, true), report("a", 1, 0, false), true},
		{"later report", report("a", 1, 9, true), report("a", 1, 10, false), false},
		{"later process", report("a", 1, 9, true), report("a", 2, 1, false), false},
		{"earlier process", report("a", 2, 1, true), report("a", 1, 9, false), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := cataloger.New()
			c.Put(startTime, inEra(1, 90), tc.known)
			now := startTime.Add(time.Minute)
			c.SetStoreReachableSince(now)
			for range 2 {
				c.Put(now, inEra(2, 80), tc.restored)
				assert.Equal(t, len(c.View().Upstreams), 1)
				assert.Equal(t, c.View().Upstreams[0].Draining, tc.draining)
			}
		})
	}
}

// TestDrainReportedAgainAfterRestore has an upstream write again, with a lower revision in a
// later era, that it drains.
func TestDrainReportedAgainAfterRestore(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, inEra(1, 90), report("a", 1, 4, false))
	assert.Assert(t, c.Put(startTime, inEra(2, 50), report("a", 1, 9, true)))
	assert.Assert(t, c.View().Upstreams[0].Draining)
	c.Put(startTime, inEra(2, 51), report("a", 1, 9, false))
	assert.Assert(t, !c.View().Upstreams[0].Draining, "within an era, the store's order counts")
}

// TestDrainSurvivesSeveralCopies has two restorations, the second from a later copy than the first, and
// an upstream without numbers change after one. A drain that neither copy has must go on.
func TestDrainSurvivesSeveralCopies(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, inEra(1, 90), report("a", 1, 9, true))
	c.Put(startTime, inEra(1, 91), report("b", 1, 0, true))
	c.Put(startTime, inEra(2, 80), report("a", 1, 4, false))
	c.Put(startTime, inEra(3, 85), report("a", 1, 6, false))
	c.Put(startTime, inEra(3, 80), report("b", 1, 0, false))
	c.Put(startTime, inEra(3, 86), report("b", 1, 0, false))
	for _, u := range c.View().Upstreams {
		assert.Assert(t, u.Draining, "upstream %s", u.Upstream)
	}
}

// TestLaterProcessEndsHold has the copy hold the entry of an upstream's earlier process, and the later
// process write its entry again. The earlier one must never replace it.
func TestLaterProcessEndsHold(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, inEra(1, 90), report("a", 2, 1, false))
	now := startTime.Add(time.Minute)
	c.SetStoreReachableSince(now)
	c.Put(now, inEra(2, 80), report("a", 1, 9, false))
	assert.Assert(t, c.Put(now.Add(time.Second), inEra(2, 85), report("a", 2, 1, false)))
	assert.Equal(t, len(c.Release(now.Add(time.Hour))), 0)
	assert.Equal(t, c.View().Upstreams[0].StartedMs, int64(2))
}

// TestDrainedUpstreamIsReleasedDraining has a restoration bring back an upstream that drained before it
// was gone. It must go on draining even if its entry stays.
func TestDrainedUpstreamIsReleasedDraining(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, inEra(1, 90), report("a", 1, 9, true))
	now := startTime.Add(time.Minute)
	assert.Assert(t, c.Remove(now, "a"))
	assert.Assert(t, !c.Put(now, inEra(2, 80), report("a", 1, 4, false)))
	assert.DeepEqual(t, c.Release(now.Add(time.Hour)), []namer.Upstream{"a"})
	assert.Assert(t, c.View().Upstreams[0].Draining)
}

// TestEarlierProcessAfterRestore has the copy hold the entry of an upstream's earlier process.
// The later one stays in use until it had the time to write its entry again, and no longer.
func TestEarlierProcessAfterRestore(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, inEra(1, 90), report("a", 2, 1, false))
	now := startTime.Add(time.Minute)
	c.SetStoreReachableSince(now)
	assert.Assert(t, !c.Put(now, inEra(2, 80), report("a", 1, 9, false)))
	assert.Equal(t, c.View().Upstreams[0].StartedMs, int64(2))
	assert.DeepEqual(t, c.Expire(now.Add(2*time.Second)), []namer.Upstream{"a"})
}

// TestEarlierProcessIsListedAgainAfterRestore has the copy hold the entry of an upstream's earlier
// process, and the VM list the store again after the later process expired. The earlier one must
// not be used.
func TestEarlierProcessIsListedAgainAfterRestore(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, inEra(1, 90), report("a", 2, 1, false))
	now := startTime.Add(time.Minute)
	c.SetStoreReachableSince(now)
	c.Put(now, inEra(2, 80), report("a", 1, 9, false))
	c.Expire(now.Add(2 * time.Second))
	assert.Assert(t, !c.Put(now.Add(2*time.Second), inEra(2, 80), report("a", 1, 9, false)))
	assert.DeepEqual(t, names(c), []string{})
	assert.Assert(t, c.Put(now.Add(3*time.Second), inEra(2, 95), report("a", 2, 1, false)), "the later process writes its entry again")
	assert.Equal(t, len(c.Release(now.Add(time.Hour))), 0)
	assert.Equal(t, c.View().Upstreams[0].StartedMs, int64(2))
}

// TestHeldEntryIsRestoredAgain has a second restoration bring back the entry of an upstream that is
// gone, shortly before the entry would be used. The store's removal of the entry starts anew with
// the restoration, so the entry does not show that the upstream runs.
func TestHeldEntryIsRestoredAgain(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, inEra(1, 90), report("a", 1, 9, false))
	now := startTime.Add(time.Minute)
	assert.Assert(t, c.Remove(now, "a"))
	assert.Assert(t, !c.Put(now, inEra(2, 80), report("a", 1, 9, false)))
	assert.Assert(t, !c.Put(now.Add(29*time.Second), inEra(3, 70), report("a", 1, 9, false)))
	assert.DeepEqual(t, c.Release(now.Add(30*time.Second)), []namer.Upstream(nil))
	assert.DeepEqual(t, names(c), []string{})
	assert.DeepEqual(t, c.Release(now.Add(59*time.Second)), []namer.Upstream{"a"})
}

// TestGoneUpstreamComesBackAfterRestore has the store come back from a copy that still has the
// entry of an upstream that is gone. It must not be used again unless it reports again, or
// its entry stays so long that the upstream must be running.
func TestGoneUpstreamComesBackAfterRestore(t *testing.T) {
	t.Parallel()
	gone := func(t *testing.T) (*cataloger.Cataloger, time.Time) {
		t.Helper()
		c := cataloger.New()
		c.Put(startTime, inEra(1, 90), report("a", 1, 9, false))
		now := startTime.Add(time.Minute)
		assert.Assert(t, c.Remove(now, "a"))
		c.SetStoreReachableSince(now)
		assert.Assert(t, !c.Put(now, inEra(2, 80), report("a", 1, 9, false)))
		assert.DeepEqual(t, names(c), []string{})
		return c, now
	}
	for _, tc := range []struct {
		name string
		act  func(c *cataloger.Cataloger, now time.Time)
		used bool
	}{
		{"listed again", func(c *cataloger.Cataloger, now time.Time) { c.Put(now, inEra(2, 80), report("a", 1, 9, false)) }, false},
		{"earlier report", func(c *cataloger.Cataloger, now time.Time) { c.Put(now, inEra(2, 81), report("a", 1, 5, false)) }, false},
		{"report without a number", func(c *cataloger.Cataloger, now time.Time) { c.Put(now, inEra(2, 81), report("a", 1, 0, false)) }, false},
		{"later report", func(c *cataloger.Cataloger, now time.Time) { c.Put(now, inEra(2, 81), report("a", 1, 10, false)) }, true},
		{"later process", func(c *cataloger.Cataloger, now time.Time) { c.Put(now, inEra(2, 81), report("a", 2, 1, false)) }, true},
		{"restored again", func(c *cataloger.Cataloger, now time.Time) { c.Put(now, inEra(3, 70), report("a", 1, 9, false)) }, false},
		{"entry stays", func(c *cataloger.Cataloger, now time.Time) {
			assert.Equal(t, len(c.Release(now.Add(29*time.Second))), 0)
			c.Put(now.Add(29*time.Second), inEra(2, 80), report("a", 1, 9, false))
			assert.DeepEqual(t, c.Release(now.Add(30*time.Second)), []namer.Upstream{"a"})
		}, true},
		{"entry removed", func(c *cataloger.Cataloger, now time.Time) {
			assert.Assert(t, c.Remove(now.Add(5*time.Second), "a"))
			assert.Equal(t, len(c.Release(now.Add(time.Minute))), 0)
		}, false},
		{"entry not listed", func(c *cataloger.Cataloger, now time.Time) {
			c.RemoveUnlisted(now.Add(5*time.Second), map[namer.Upstream]bool{})
			assert.Equal(t, len(c.Release(now.Add(time.Minute))), 0)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c, now := gone(t)
			tc.act(c, now)
			assert.Equal(t, len(names(c)) == 1, tc.used)
		})
	}
}

// TestRemovedUpstreamWritesAgain checks that an upstream whose entry expired is used as soon as
// the entry is back within the same era, whatever its number.
func TestRemovedUpstreamWritesAgain(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, inEra(2, 90), report("a", 1, 9, false))
	c.Remove(startTime, "a")
	assert.Assert(t, c.Put(startTime, inEra(2, 91), report("a", 1, 9, false)))
	assert.DeepEqual(t, names(c), []string{"a"})
}

// TestColdPeriodAfterRestore has the copy hold the first report of an upstream, which was cold
// then. It must not count as cold again.
func TestColdPeriodAfterRestore(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	first := report("a", 1, 1, false)
	first.ColdLeft = 3 * time.Second
	c.Put(startTime, inEra(1, 80), first)
	warm := report("a", 1, 5, false)
	c.Put(startTime.Add(3*time.Second), inEra(1, 90), warm)
	c.Put(startTime.Add(time.Minute), inEra(2, 80), first)
	assert.Equal(t, c.View().Upstreams[0].ColdUntil, startTime.Add(3*time.Second))
}

// TestRemovedUpstreamsAreBounded checks that the oldest of many removed upstreams are forgotten.
func TestRemovedUpstreamsAreBounded(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	const count = 4100
	for i := range count {
		name := fmt.Sprintf("u%d", i)
		now := startTime.Add(time.Duration(i) * time.Millisecond)
		c.Put(now, inEra(1, 90), report(name, 1, 9, false))
		c.Remove(now, namer.Upstream(name))
	}
	now := startTime.Add(time.Minute)
	assert.Assert(t, c.Put(now, inEra(2, 80), report("u0", 1, 9, false)))
	assert.Assert(t, !c.Put(now, inEra(2, 80), report(fmt.Sprintf("u%d", count-1), 1, 9, false)))
}
