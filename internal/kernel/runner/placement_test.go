package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUntilNext(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		past time.Duration
		want time.Duration
	}{
		{"on the second", 0, time.Second},
		{"just before", 999 * time.Millisecond, time.Millisecond},
		{"just after", time.Millisecond, 999 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, untilNextTick(time.Unix(1000, 0).Add(tc.past)), tc.want)
		})
	}
}
