package logger_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/logger"
)

// TestRateLimit logs many more lines than the rate allows and checks that the excess is
// dropped and reported, while no warning is lost.
func TestRateLimit(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	log, flush := logger.New(&out, "info")
	log = log.With("vm", "a")
	for range 20_000 {
		log.Info("sent")
	}
	for range 100 {
		log.Warn("lost")
	}
	flush()
	text := out.String()
	assert.Assert(t, strings.Count(text, "msg=sent") < 2_000, "%d lines", strings.Count(text, "msg=sent"))
	assert.Equal(t, strings.Count(text, "msg=lost"), 100)
	assert.Assert(t, strings.Contains(text, `msg="lines dropped"`))
}

func TestLevel(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	log, flush := logger.New(&out, "warn")
	log.Info("quiet")
	log.Error("loud")
	flush()
	assert.Assert(t, !strings.Contains(out.String(), "quiet"))
	assert.Assert(t, strings.Contains(out.String(), "loud"))
}
