package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// hidden stands for what may be a key or its digest.
const hidden = "(hidden)"

var (
	// hexRun matches digests of keys, and pieces of them.
	hexRun = regexp.MustCompile(`[0-9A-Fa-f]{24,}`)
	quoted = regexp.MustCompile(`"(\\.|[^"\\])*"`)
)

// HashKey returns the digest of an account's key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the digest in hexadecimal, the form in which the document holds it.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// parseKeyHash parses a digest in hexadecimal.
func parseKeyHash(text string) (KeyHash, bool) {
	var h KeyHash
	if len(text) != hex.EncodedLen(len(h)) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, err == nil
}

func newAccount(e checker.Entry) Account {
	a := Account{
		Name:             namer.Account(e.Name),
		HasPriority:      e.Has("rank"),
		Priority:         int(e.Number("rank")),
		Rate:             int(e.Number("rate")),
		Burst:            int(e.Number("burst")),
		PermittedRegions: regionList(e),
	}
	fields := strings.Fields(e.Text("keys"))
	seen := make(map[KeyHash]bool, len(fields))
	for _, field := range fields {
		if hash, ok := parseKeyHash(field); ok && !seen[hash] {
			seen[hash] = true
			a.Keys = append(a.Keys, hash)
		}
	}
	return a
}

// validateAccount checks the keys of an account. owners has the account of each key that was
// seen before. A problem names the position of a key, never its digest.
func validateAccount(e checker.Entry, owners map[KeyHash]string) checker.Problems {
	var problems checker.Problems
	for i, field := range strings.Fields(e.Text("keys")) {
		hash, ok := parseKeyHash(field)
		if !ok {
			problems = append(problems, e.Problem("keys", "key %d is not a SHA-256 digest of 64 hexadecimal digits", i+1))
			continue
		}
		if owner, taken := owners[hash]; taken && owner != e.Name {
			problems = append(problems, e.Problem("keys", "key %d is also one of account %q", i+1, owner))
			continue
		}
		owners[hash] = e.Name
	}
	return problems
}

// hideKeys hides what may be a key or its digest in the problems of accounts: a line that is
// neither a key nor a comment may have slipped out of a list of keys.
func hideKeys(problems checker.Problems) {
	for i := range problems {
		p := &problems[i]
		if !strings.HasPrefix(p.Section, "account") {
			continue
		}
		if p.Key == "" {
			p.Reason = quoted.ReplaceAllString(p.Reason, hidden)
		}
		p.Reason = hexRun.ReplaceAllString(p.Reason, hidden)
		p.Key = hexRun.ReplaceAllString(p.Key, hidden)
	}
}
