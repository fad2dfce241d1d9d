package exchanger_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// TestInvalidStatusPassedOn guards against a broken answer that a caller gets as an answer, or
// that is taken for an interim response, after which another one is waited for.
func TestInvalidStatusPassedOn(t *testing.T) {
	t.Parallel()
	const rest = "\r\nAttempt: ID\r\nContent-Length: 4\r\n\r\nbody" + stayQuiet
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.1 007 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2OO OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 200 OK", "HTTP/1.1",
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, line+rest)
			begun := time.Now()
			response, err := newExchanger(t).Exchange(t.Context(), u.target(), request("a1"))
			assert.ErrorContains(t, err, "reading an answer", "answered with status %d", response.Status)
			assert.Assert(t, !errors.Is(err, exchanger.ErrNotSent), "the request was sent and may have run")
			assert.Assert(t, time.Since(begun) < 2*time.Second, "waited for another answer")
		})
	}
}

// TestStatus expects the statuses of final responses as they are.
func TestStatus(t *testing.T) {
	t.Parallel()
	for line, want := range map[string]int{"HTTP/1.1 200 OK": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 299 X": 299, "HTTP/1.1 500": 500, "HTTP/1.1 599 X": 599} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\n"+line+"\r\nAttempt: ID\r\nContent-Length: 4\r\n\r\nbody")
			response, err := newExchanger(t).Exchange(t.Context(), u.target(), request("a1"))
			assert.NilError(t, err)
			assert.Equal(t, response.Status, want)
		})
	}
}
