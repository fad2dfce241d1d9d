package starter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/share/starter"
)

var noon = time.Unix(1000, 0)

const (
	slots    = 8
	expected = 100 * time.Millisecond
)

// A pace must rise by good answers alone, fall with the first bad one, leave one request at all
// times, and end.
func TestPaceFollowsAnswers(t *testing.T) {
	t.Parallel()
	var p starter.Pace
	var counts starter.Counts
	assert.Assert(t, p.Allows(noon, 1000), "limited without a pace")
	p.Begin(noon, slots, &counts)
	for _, step := range []struct {
		latency time.Duration
		limit   float64
	}{
		{expected, 2},
		{3 * expected, 2},
		{expected, 4},
		{10 * expected, 2},
		{10 * expected, 1},
		{10 * expected, 1},
		{expected, 2},
		{expected, 4},
		{expected, 0},
	} {
		p.Record(noon, starter.Judge(step.latency, expected), &counts)
		assert.Equal(t, p.Limit(noon), step.limit)
		assert.Assert(t, p.Allows(noon, 0), "left idle")
		assert.Equal(t, p.Allows(noon, int(step.limit)), step.limit == 0)
	}
	assert.Equal(t, counts, starter.Counts{Begun: 1, Ups: 5, Downs: 3})
}

// A VM that sends the upstream nothing must not limit it for good, nor raise its pace while it is cold.
func TestPaceRisesWithTime(t *testing.T) {
	t.Parallel()
	var p starter.Pace
	coldUntil := noon.Add(3 * time.Second)
	p.Begin(coldUntil, slots, &starter.Counts{})
	assert.Equal(t, p.Limit(coldUntil), 1.0)
	assert.Equal(t, p.Limit(coldUntil.Add(time.Second)), 4.0)
	assert.Assert(t, !p.IsActive(coldUntil.Add(2*time.Second)))
}
