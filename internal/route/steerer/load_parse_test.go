package steerer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestParseLoad guards against a speed figure that is taken for the number of slots: a full
// upstream then counts as one with free slots, and callers that it refused come back at once.
func TestParseLoad(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		text string
		want upstreamLoad
		free bool
	}{
		{"6,18,6,100", upstreamLoad{requests: 24, slots: 6, hostSlowness: 1}, false},
		{"3, 0, 6, 250", upstreamLoad{requests: 3, slots: 6, hostSlowness: 2.5}, true},
		{"3,0,6", upstreamLoad{requests: 3, slots: 6}, true},
		{"3,1", upstreamLoad{requests: 4}, false},
		{"3,0,6,100,7", upstreamLoad{requests: 3, slots: 6, hostSlowness: 1}, true},
		{"3", upstreamLoad{requests: unknownLoad}, false},
		{"", upstreamLoad{requests: unknownLoad}, false},
		{"3,0,6,fast", upstreamLoad{requests: unknownLoad}, false},
		{"3,0,6,-1", upstreamLoad{requests: unknownLoad}, false},
	} {
		got := parseLoad(tc.text)
		assert.Equal(t, got, tc.want, tc.text)
		assert.Equal(t, got.hasFreeSlot(), tc.free, tc.text)
	}
}
