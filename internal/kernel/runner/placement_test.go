package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUntilNextTick(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		sinceTick time.Duration
		want      time.Duration
	}{
		{"on a second", 0, time.Second},
		{"just before a second", 999 * time.Millisecond, time.Millisecond},
		{"just after a second", time.Millisecond, 999 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, untilNextTick(time.Unix(1000, 0).Add(tc.sinceTick)), tc.want)
		})
	}
}
