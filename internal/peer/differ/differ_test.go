package differ_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/peer/differ"
)

const (
	maxBytes     = 1 << 20
	accountCount = 1000
)

// accounts returns a text like a configuration with accounts, in a version with one changed key.
func accounts(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"r%d"`, version)
	for i := range accountCount {
		key := i * 7919
		if i == accountCount/2 {
			key += version
		}
		fmt.Fprintf(&b, `,{"name":"account-%d","keys":["%032x"],"rate":20}`, i, key)
	}
	return []byte(b.String())
}

// TestChangedKey checks that the change of one key among those of a thousand accounts takes few
// bytes, and so does an account that is added or removed.
func TestChangedKey(t *testing.T) {
	t.Parallel()
	before := accounts(9)
	added := bytes.Replace(accounts(10), []byte(`,{"name":"account-17"`), []byte(`,{"name":"added","keys":["0"]},{"name":"account-17"`), 1)
	for _, texts := range [][2][]byte{{before, accounts(10)}, {before, added}, {added, before}} {
		patch := differ.Diff(texts[0], texts[1])
		assert.Assert(t, len(patch) < 256, "%d bytes", len(patch))
		text, err := differ.Apply(texts[0], patch, maxBytes)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(text, texts[1]))
		_, err = differ.Apply(texts[1], patch, maxBytes)
		assert.ErrorIs(t, err, differ.ErrMismatch)
		_, err = differ.Apply(texts[0], patch, len(texts[1])-1)
		assert.ErrorContains(t, err, "over")
	}
}

// TestPropertyRoundTrip checks that any text is restored from any earlier one, and that a patch
// with any change yields that text or none.
func TestPropertyRoundTrip(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "bc", strings.Repeat("d", 40), strings.Repeat("ef", 33), "\x00"}), 0, 20)
		earlier := []byte(strings.Join(parts.Draw(t, "earlier"), ""))
		text := []byte(strings.Join(parts.Draw(t, "text"), ""))
		patch := differ.Diff(earlier, text)
		got, err := differ.Apply(earlier, patch, maxBytes)
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("%q from %q: %q, %v", text, earlier, got, err)
		}
		at := rapid.IntRange(0, len(patch)-1).Draw(t, "at")
		patch[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "change"))
		if got, err := differ.Apply(earlier, patch, maxBytes); err == nil && !bytes.Equal(got, text) {
			t.Fatalf("%q from a changed patch", got)
		}
	})
}

// FuzzApply checks that bytes of any kind are no text or one within the limit.
func FuzzApply(f *testing.F) {
	f.Add([]byte("earlier"), differ.Diff([]byte("earlier"), []byte("text")))
	f.Fuzz(func(t *testing.T, earlier, patch []byte) {
		if text, err := differ.Apply(earlier, patch, 100); err == nil && len(text) > 100 {
			t.Fatal("over the limit")
		}
	})
}

// BenchmarkDiff measures the patch of one key among those of 1,000 accounts.
func BenchmarkDiff(b *testing.B) {
	before, after := accounts(9), accounts(10)
	b.ReportAllocs()
	for b.Loop() {
		differ.Diff(before, after)
	}
}
