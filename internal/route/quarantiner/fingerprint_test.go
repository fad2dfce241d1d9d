package quarantiner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
)

func TestFingerprints(t *testing.T) {
	t.Parallel()
	base := quarantiner.FingerprintsOf("10.0.0.1", "POST", "h", "/a", []byte("x"))
	assert.Equal(t, base, quarantiner.FingerprintsOf("10.0.0.1", "POST", "h", "/a", []byte("x")))
	for _, other := range []quarantiner.Fingerprints{
		quarantiner.FingerprintsOf("10.0.0.1", "PUT", "h", "/a", []byte("x")),
		quarantiner.FingerprintsOf("10.0.0.1", "POST", "h/", "a", []byte("x")),
		quarantiner.FingerprintsOf("10.0.0.1", "POST", "h", "/a", []byte("y")),
		quarantiner.FingerprintsOf("10.0.0.1", "POST", "h", "/ax", nil),
	} {
		assert.Assert(t, base[0] != other[0] && base[1] != other[1])
	}
	otherCaller := quarantiner.FingerprintsOf("10.0.0.2", "POST", "h", "/a", []byte("x"))
	assert.Assert(t, base[0] == otherCaller[0] && base[1] != otherCaller[1])
}

func BenchmarkFingerprints(b *testing.B) {
	body := make([]byte, 1500)
	for b.Loop() {
		quarantiner.FingerprintsOf("10.0.0.1", "POST", "shop.example", "/stock/42", body)
	}
}
