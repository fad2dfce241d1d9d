package exchanger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// hangTimeout only ends a test that hangs.
const hangTimeout = 20 * time.Second

// TestUnreadBodyOutlivesDeadline guards against a connection to an upstream that stays open
// beyond the request's deadline while the caller does not read the body.
func TestUnreadBodyOutlivesDeadline(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ name, framing, repeated string }{
		{"no length", "", "x"},
		{"chunked", "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n"},
		{"length of 1 TB", "Content-Length: 1099511627776\r\n", "x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			target, sent := serveEndless(t, "HTTP/1.1 200 OK\r\nAttempt: a1\r\n"+tc.framing+"\r\n", tc.repeated)
			r := request("a1")
			// The first part of the body must be read before the deadline.
			r.Deadline = time.Now().Add(2 * time.Second)
			response, err := newExchanger(t).Exchange(t.Context(), target, r)
			assert.NilError(t, err)
			defer func() { _ = response.Rest.Close() }()
			select {
			case <-sent:
			case <-time.After(hangTimeout):
				t.Fatal("the connection to the upstream is still open")
			}
		})
	}
}
