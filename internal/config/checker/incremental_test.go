package checker_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
)

// describe returns all that a caller sees of the result of a check.
func describe(entries []checker.Entry, problems checker.Problems) string {
	var b strings.Builder
	for _, e := range entries {
		_, _ = fmt.Fprintf(&b, "%s:%d [%s] %v %s\n", e.File, e.Line, e.Header(), e.Settings(), e.Problem("vms", "here"))
	}
	return b.String() + problems.Error()
}

// texts are successive versions of a text.
var texts = []string{
	"[vm]\nname = a\n[zone x]\nvms = 2\n\n# about y\n[zone y]\nvms = 3\n",
	"[vm]\nname = a\n[zone y]\nvms = 3\n[zone x]\nvms = 2\n",
	"[vm]\nname = b\n\n\n[zone y]\nvms = 4\n[zone z]\n",
	"[zone y]\nvms = 4\n",
	"[vm]\nname = a\n[zone x]\nvms = 2\n[zone x]\nvms = 3\n",
	"[vm]\nname = a\n[ zone x]\nvms = 2\n[zone x ]\nvms = 3\n",
	"[vm]\nname = a\n[zone x]\nvms = two\n[zone y]\nvms = 3\n",
	"[vm]\nname = a\n[zone x]\nvms = 2\nvms = 3\n[zone y]\nvms = 3",
	"[vm]\nname = a \\\n[zone x]\nvms = 2\n",
	"[vm]\nname = \"\"\"a\n[zone x]\n\"\"\"\n",
	"[vm]\nname = `a\n[zone x]\n`\n",
	"# about\n[vm]\nname = a\n",
	"name = a\n[vm]\nname = a\n",
	"[vm]\r\nname = a\r\n[zone x]\r\nvms = 2\r\n",
	"[vm\nname = a\n[zone x]\nvms = 2\n",
	"[]\n[vm]\nname = a\n",
	"[DEFAULT]\n[vm]\nname = a\n",
	"[vm]\nname = [a\n[zone x] y\nvms = 2\n",
	"[\n[vm]\nname = a\n[zone\n",
	"",
}

// TestCheckerSameAsCheck has each version of a text follow each other one.
func TestCheckerSameAsCheck(t *testing.T) {
	t.Parallel()
	for i, before := range texts {
		for j, text := range texts {
			c := checker.New(schema)
			_, _ = c.Check("f.ini", []byte(before))
			assert.Equal(t, describe(c.Check("f.ini", []byte(text))), describe(checker.Check(schema, "f.ini", []byte(text))), "%d after %d", j, i)
		}
	}
}

func FuzzCheckerSameAsCheck(f *testing.F) {
	for i, text := range texts {
		f.Add(text, texts[(i+1)%len(texts)])
	}
	f.Fuzz(func(t *testing.T, before, text string) {
		c := checker.New(schema)
		_, _ = c.Check("f.ini", []byte(before))
		assert.Equal(t, describe(c.Check("f.ini", []byte(text))), describe(checker.Check(schema, "f.ini", []byte(text))))
	})
}
