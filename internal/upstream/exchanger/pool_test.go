package exchanger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestConnectTimeout(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		rtt  time.Duration
		want time.Duration
	}{
		{"unknown", 0, maxConnectTimeout},
		{"same zone", time.Millisecond, minConnectTimeout},
		{"other region", 110 * time.Millisecond, 330 * time.Millisecond},
		{"very far", 300 * time.Millisecond, maxConnectTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, connectTimeout(tc.rtt), tc.want)
		})
	}
}
