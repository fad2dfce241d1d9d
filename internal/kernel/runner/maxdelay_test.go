package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/platform"
)

// TestShortRevokeTimeout guards against keys that are refused by all VMs while the store is there,
// since the accounts are confirmed less often than the revoke timeout demands.
func TestShortRevokeTimeout(t *testing.T) {
	t.Parallel()
	var s loader.Settings
	s.Routing.MaxApplyDelay, s.Routing.MaxDrainDelay = 3*time.Second, 2*time.Second
	assert.Equal(t, maxDelayOf(s, platform.ConfigKind), 2*time.Second)
	s.Accounts.RevokeTimeout = time.Second
	assert.Equal(t, maxDelayOf(s, platform.ConfigKind), 900*time.Millisecond)
	assert.Equal(t, maxDelayOf(s, platform.UpstreamKind), 2*time.Second)
}
