package forwarder_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

// TestInvalidStatusPassedOn guards against a broken answer that a caller gets as an answer.
func TestInvalidStatusPassedOn(t *testing.T) {
	t.Parallel()
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 +20 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			target, closed := serveEndless(t, line+"\r\nContent-Length: 4\r\n\r\nbody", "")
			f, cleanup := forwarder.New()
			defer cleanup()
			resp, err := f.Forward(context.Background(), target, request(http.MethodGet))
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
			}
			assert.ErrorContains(t, err, "forwarding to u", "answered with status %d", resp.Status)
			assert.Assert(t, !errors.Is(err, forwarder.ErrNotSent), "the request was sent and may have run")
			waitClosed(t, closed)
		})
	}
}
