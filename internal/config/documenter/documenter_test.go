package documenter_test

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/config/documenter"
)

const pagePath = "../../../docs/CONFIG.md"

var write = flag.Bool("write", false, "write the page instead of checking it")

func TestPageIsCurrent(t *testing.T) {
	t.Parallel()
	if *write {
		assert.NilError(t, os.WriteFile(pagePath, []byte(documenter.Page()), 0o644))
	}
	raw, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), documenter.Page(), "run make docs")
}
