package cataloger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

var startTime = time.Unix(1000, 0)

// version returns the version of a revision in a store without eras.
func version(r storer.Revision) storer.Version { return storer.Version{Revision: r} }

func entry(name string) cataloger.Entry {
	return cataloger.Entry{Upstream: namer.Upstream(name), StartedMs: 1, Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 4}
}

func names(c *cataloger.Cataloger) []string {
	out := []string{}
	for _, u := range c.View().Upstreams {
		out = append(out, string(u.Upstream))
	}
	return out
}

func TestRemovalIsImmediate(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, version(1), entry("a"))
	c.Remove(startTime, "a")
	assert.DeepEqual(t, names(c), []string{})
}

// TestGraceAfterOutage checks that an upstream whose entry expired during an outage of
// the store stays in use until it had the time to write the entry again, and no longer.
func TestGraceAfterOutage(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, version(1), entry("back"))
	c.Put(startTime, version(2), entry("gone"))
	outageEnd := startTime.Add(5 * time.Second)
	c.SetStoreReachableSince(outageEnd)
	c.RemoveUnlisted(outageEnd, map[namer.Upstream]bool{})
	assert.DeepEqual(t, names(c), []string{"back", "gone"})
	c.Put(outageEnd.Add(time.Second), version(9), entry("back"))
	assert.Equal(t, len(c.Expire(outageEnd.Add(1900*time.Millisecond))), 0)
	assert.DeepEqual(t, c.Expire(outageEnd.Add(2*time.Second)), []namer.Upstream{"gone"})
	assert.DeepEqual(t, names(c), []string{"back"})
	c.Remove(outageEnd.Add(3*time.Second), "back")
	assert.DeepEqual(t, names(c), []string{})
}

// TestOutageRuledOut removes an upstream in the grace period after what looked like an
// outage. Once it is known that the store answered others all the time, the removal must
// take effect without the grace period.
func TestOutageRuledOut(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, version(1), entry("a"))
	outageEnd := startTime.Add(5 * time.Second)
	c.SetStoreReachableSince(outageEnd)
	assert.Assert(t, !c.Remove(outageEnd, "a"))
	assert.DeepEqual(t, names(c), []string{"a"})
	c.SetStoreReachableSince(startTime)
	assert.DeepEqual(t, c.Expire(outageEnd.Add(100*time.Millisecond)), []namer.Upstream{"a"})
	assert.DeepEqual(t, names(c), []string{})
}

func TestOlderVersionIgnored(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	draining := entry("a")
	draining.Draining = true
	assert.Assert(t, c.Put(startTime, version(5), draining))
	assert.Assert(t, !c.Put(startTime, version(4), entry("a")), "an older version must be ignored")
	assert.Assert(t, c.View().Upstreams[0].Draining)
}

// TestColdPeriodStartsOnce checks that the cold period is counted from the first entry of
// a process, and starts again for the next process with the same name.
func TestColdPeriodStartsOnce(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	e := entry("a")
	e.ColdLeft = 3 * time.Second
	c.Put(startTime, version(1), e)
	c.Put(startTime.Add(2*time.Second), version(2), e)
	assert.Equal(t, c.View().Upstreams[0].ColdUntil, startTime.Add(3*time.Second))
	e.StartedMs = 2
	c.Put(startTime.Add(4*time.Second), version(3), e)
	assert.Equal(t, c.View().Upstreams[0].ColdUntil, startTime.Add(7*time.Second))
}

// TestLateWriteOfEarlierReport guards against an upstream that counts as warm or as ready again
// because the store carries out a write of an earlier process, or of an earlier report, late.
func TestLateWriteOfEarlierReport(t *testing.T) {
	t.Parallel()
	const coldLeft = 3 * time.Second
	cold := report("a", 2, 1, false)
	cold.ColdLeft = coldLeft
	for _, tc := range []struct {
		name        string
		known, late cataloger.Entry
	}{
		{"earlier process", cold, report("a", 1, 9, false)},
		{"earlier process that drained", cold, report("a", 1, 9, true)},
		{"earlier report", report("a", 2, 9, true), report("a", 2, 8, false)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := cataloger.New()
			c.Put(startTime, version(80), tc.known)
			c.Put(startTime.Add(time.Second), version(90), tc.late)
			got := c.View().Upstreams[0]
			assert.Equal(t, got.StartedMs, tc.known.StartedMs)
			assert.Equal(t, got.Draining, tc.known.Draining)
			assert.Assert(t, !got.ColdUntil.Before(startTime.Add(tc.known.ColdLeft)), "%v", got.ColdUntil)

			later := tc.known
			later.Sequence++
			later.Slots++
			assert.Assert(t, c.Put(startTime.Add(2*time.Second), version(91), later))
			assert.Equal(t, c.View().Upstreams[0].Slots, later.Slots)
		})
	}
}

// TestColdAgainForTheSameTime guards against an upstream that counts as warm since it reports
// the same time left as in its first cold period, while the reports between were missed.
func TestColdAgainForTheSameTime(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	first := report("a", 1, 1, false)
	first.ColdLeft = 3 * time.Second
	c.Put(startTime, version(80), first)
	again := first
	again.Sequence = 30
	now := startTime.Add(time.Minute)
	c.Put(now, version(90), again)
	assert.Equal(t, c.View().Upstreams[0].ColdUntil, now.Add(again.ColdLeft))
}

// A process whose clock is behind that of the process before it must not be taken for a late
// write for good.
func TestProcessWithClockBehindIgnored(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(startTime, version(80), report("a", 2, 9, false))
	assert.Assert(t, !c.Put(startTime.Add(time.Second), version(90), report("a", 1, 1, false)))
	assert.Assert(t, c.Put(startTime.Add(12*time.Second), version(91), report("a", 1, 8, true)))
	assert.Assert(t, c.View().Upstreams[0].Draining)
}

// An upstream that starts again and does not state its start begins a new sequence, and may be
// at another address. It must not be taken for a late write; one with the same start must be,
// however late it comes.
func TestRestartWithoutStartTimeIgnored(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		startedMs int64
		believed  bool
	}{{"no start time", 0, true}, {"same start time", 7, false}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := cataloger.New()
			c.Put(startTime, version(80), report("a", tc.startedMs, 90, false))
			lower := report("a", tc.startedMs, 1, false)
			lower.Address = "10.0.0.2:80"
			for i, after := range []time.Duration{time.Second, 12 * time.Second} {
				lower.Sequence++
				assert.Equal(t, c.Put(startTime.Add(after), version(storer.Revision(90+i)), lower), tc.believed)
				assert.Equal(t, c.View().Upstreams[0].Address == lower.Address, tc.believed)
			}
		})
	}
}
