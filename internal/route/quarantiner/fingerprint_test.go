package quarantiner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
)

func TestFingerprint(t *testing.T) {
	t.Parallel()
	base := quarantiner.FingerprintOf("10.0.0.1", "POST", "h", "/a", []byte("x"))
	assert.Equal(t, base, quarantiner.FingerprintOf("10.0.0.1", "POST", "h", "/a", []byte("x")))
	for _, other := range []quarantiner.Fingerprint{
		quarantiner.FingerprintOf("10.0.0.2", "POST", "h", "/a", []byte("x")),
		quarantiner.FingerprintOf("10.0.0.1", "PUT", "h", "/a", []byte("x")),
		quarantiner.FingerprintOf("10.0.0.1", "POST", "h/", "a", []byte("x")),
		quarantiner.FingerprintOf("10.0.0.1", "POST", "h", "/a", []byte("y")),
		quarantiner.FingerprintOf("10.0.0.1", "POST", "h", "/ax", nil),
	} {
		assert.Assert(t, base != other)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 1500)
	for b.Loop() {
		quarantiner.FingerprintOf("10.0.0.1", "POST", "shop.example", "/stock/42", body)
	}
}
