package steerer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// TestAccountRank checks that an account's rank replaces that of the route if it has one, and
// that its regions bind beside the route's.
func TestAccountRank(t *testing.T) {
	t.Parallel()
	a := &activeRequest{route: &parser.Route{Priority: 3}}
	assert.Equal(t, a.priority(), 3)
	a.account = &parser.Account{Priority: 7, PermittedRegions: []namer.Region{"r"}}
	assert.Equal(t, a.priority(), 3)
	assert.DeepEqual(t, a.accountRegions(), []namer.Region{"r"})
	a.account.HasPriority = true
	assert.Equal(t, a.priority(), 7)
}
