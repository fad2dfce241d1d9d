package recorder_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/recorder"
)

func TestSummary(t *testing.T) {
	t.Parallel()
	r := recorder.New()
	for i := range 100 {
		r.Record("a", "answered", time.Duration(i+1)*time.Millisecond)
	}
	r.Record("a", "refused", 2*time.Hour)
	got := r.Summary()["a"]
	assert.Equal(t, got["answered"].Count, int64(100))
	assert.Equal(t, got["answered"].P50, int64(50))
	assert.Assert(t, got["refused"].Max >= 59_000)
}

// TestMaxSeries checks that the number of histograms is limited and that every
// request is counted nevertheless. 257 is the limit on series, and one for "other".
func TestMaxSeries(t *testing.T) {
	t.Parallel()
	r := recorder.New()
	for i := range 1000 {
		r.Record(strconv.Itoa(i), "answered", time.Millisecond)
	}
	total := int64(0)
	for _, route := range r.Summary() {
		total += route["answered"].Count
	}
	assert.Equal(t, total, int64(1000))
	assert.Assert(t, len(r.Summary()) <= 257)
}
