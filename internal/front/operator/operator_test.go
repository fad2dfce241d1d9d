package operator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestShownValue checks that operators see the number of an account's keys and no digest.
func TestShownValue(t *testing.T) {
	t.Parallel()
	assert.Equal(t, shownValue("account", "keys", "0a1b 2c3d"), "2 keys")
	assert.Equal(t, shownValue("account", "rate", "20"), "20")
	assert.Equal(t, shownValue("route", "keys", "0a1b"), "0a1b")
}
