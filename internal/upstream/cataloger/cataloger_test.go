package cataloger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

var noon = time.Unix(1000, 0)

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
	c.Put(noon, 1, entry("a"))
	c.Remove(noon, "a")
	assert.DeepEqual(t, names(c), []string{})
}

// TestGraceAfterOutage keeps an upstream whose entry is missing
// after an outage until it had time to come back, and no longer.
func TestGraceAfterOutage(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(noon, 1, entry("back"))
	c.Put(noon, 2, entry("gone"))
	back := noon.Add(5 * time.Second)
	c.SetAvailableSince(back)
	c.RemoveUnlisted(back, map[namer.Upstream]bool{})
	assert.DeepEqual(t, names(c), []string{"back", "gone"})
	c.Put(back.Add(time.Second), 9, entry("back"))
	assert.Equal(t, len(c.Expire(back.Add(1900*time.Millisecond))), 0)
	assert.DeepEqual(t, c.Expire(back.Add(2*time.Second)), []namer.Upstream{"gone"})
	assert.DeepEqual(t, names(c), []string{"back"})
	c.Remove(back.Add(3*time.Second), "back")
	assert.DeepEqual(t, names(c), []string{})
}

// TestOutageRuledOut has an upstream removed after what was taken for an outage; once it
// is known that the source answered others all the time, the removal counts.
func TestOutageRuledOut(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	c.Put(noon, 1, entry("a"))
	back := noon.Add(5 * time.Second)
	c.SetAvailableSince(back)
	assert.Assert(t, !c.Remove(back, "a"))
	assert.DeepEqual(t, names(c), []string{"a"})
	c.SetAvailableSince(noon)
	assert.DeepEqual(t, c.Expire(back.Add(100*time.Millisecond)), []namer.Upstream{"a"})
	assert.DeepEqual(t, names(c), []string{})
}

func TestOlderVersionIgnored(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	leaving := entry("a")
	leaving.Draining = true
	assert.Assert(t, c.Put(noon, 5, leaving))
	assert.Assert(t, !c.Put(noon, 4, entry("a")), "an older record is no news")
	assert.Assert(t, c.View().Upstreams[0].Draining)
}

// TestColdPeriodStartsOnce counts down from the first entry, and anew for the next
// process under the same name.
func TestColdPeriodStartsOnce(t *testing.T) {
	t.Parallel()
	c := cataloger.New()
	e := entry("a")
	e.ColdLeft = 3 * time.Second
	c.Put(noon, 1, e)
	c.Put(noon.Add(2*time.Second), 2, e)
	assert.Equal(t, c.View().Upstreams[0].ColdUntil, noon.Add(3*time.Second))
	e.StartedMs = 2
	c.Put(noon.Add(4*time.Second), 3, e)
	assert.Equal(t, c.View().Upstreams[0].ColdUntil, noon.Add(7*time.Second))
}
