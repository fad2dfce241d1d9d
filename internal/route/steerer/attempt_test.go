package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnreadableRetryAfter checks that a Retry-After that is no number of seconds counts as
// none, and that an upstream can't exclude itself for longer than the limit.
func TestUnreadableRetryAfter(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		text string
		want time.Duration
	}{
		{"2", 2 * time.Second},
		{"0.25", 250 * time.Millisecond},
		{" 1.5 ", 1500 * time.Millisecond},
		{"3600", time.Hour},
		{"3601", time.Hour},
		{"99999999999999999999", time.Hour},
		{"1e300", time.Hour},
		{"", 0},
		{"0", 0},
		{"-1", 0},
		{"soon", 0},
		{"1s", 0},
		{"NaN", 0},
		{"Inf", 0},
		{"-Inf", 0},
		{"Wed, 21 Oct 2026 07:28:00 GMT", 0},
	} {
		assert.Equal(t, parseRetryAfter(tc.text), tc.want, "%q", tc.text)
	}
}
