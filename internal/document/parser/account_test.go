package parser_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
)

// TestAccountKeys checks that a key of two accounts, and one that is no digest, are refused
// with their place, and that no problem shows the digest.
func TestAccountKeys(t *testing.T) {
	t.Parallel()
	digest := parser.HashKey("a key").String()
	text := "[account one]\nkeys = " + digest + "\n[account two]\nkeys = " + strings.Repeat("0", 64) + " " + digest + " a-key\n"
	_, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(text)}})
	assert.Error(t, err, `services.ini:4: [account two] keys: key 2 is also one of account "one"
services.ini:4: [account two] keys: key 3 is not a SHA-256 digest of 64 hexadecimal digits`)
}

// TestKeyNamedTwice guards against a document that is refused, with all that it withdraws, since an
// account lists one of its keys twice.
func TestKeyNamedTwice(t *testing.T) {
	t.Parallel()
	digest := parser.HashKey("a key").String()
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte("[account one]\nkeys = " + digest + " " + digest + "\n")}})
	assert.NilError(t, err)
	assert.DeepEqual(t, doc.Accounts[0].Keys, []parser.KeyHash{parser.HashKey("a key")})
}

// TestProblemsHideDigests guards against digests in logs and replies, from a line that has slipped
// out of a list of keys.
func TestProblemsHideDigests(t *testing.T) {
	t.Parallel()
	digest := parser.HashKey("a key").String()
	for _, lines := range []string{"keys =\n" + digest, digest + " = 5", "rate = " + digest, "regions = r\n  plain-key", "keys = " + digest + "0"} {
		_, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte("[account one]\n" + lines + "\n")}})
		assert.ErrorContains(t, err, "[account one]")
		assert.Assert(t, !strings.Contains(err.Error(), digest) && !strings.Contains(err.Error(), "plain-key"), "%v", err)
	}
}
