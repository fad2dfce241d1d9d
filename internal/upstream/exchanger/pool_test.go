package exchanger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOpenWithin(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		way  time.Duration
		want time.Duration
	}{
		{"unknown", 0, openTime},
		{"same zone", time.Millisecond, openLeast},
		{"other region", 110 * time.Millisecond, 330 * time.Millisecond},
		{"very far", 300 * time.Millisecond, openTime},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, openWithin(tc.way), tc.want)
		})
	}
}
