package exchanger_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// hangTimeout only ends a test that hangs.
const hangTimeout = 20 * time.Second

// TestUnreadBodyOutlivesDeadline guards against a connection to an upstream that stays open
// beyond the request's deadline while the caller does not read the body.
func TestUnreadBodyOutlivesDeadline(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ name, framing, repeated string }{
		{"no length", "", "x"},
		// Smaller chunks take the most part of the deadline to parse on a busy machine.
		{"chunked", "Transfer-Encoding: chunked\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		{"length of 1 TB", "Content-Length: 1099511627776\r\n", "x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			target, _, sent := serveEndless(t, "HTTP/1.1 200 OK\r\nAttempt: a1\r\n"+tc.framing+"\r\n", tc.repeated)
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

// TestBodyWithoutMemory guards against a body that is lost, or read whole, when its memory is
// refused. What was reserved must cover what is held.
func TestBodyWithoutMemory(t *testing.T) {
	t.Parallel()
	// unreserved is the part of a body that needs no reservation.
	const unreserved = 4 << 10
	for _, size := range []int{0, 1, 4095, 4096, 4097, 16 << 10, 64<<10 + 1, 256<<10 - 1, 256 << 10, 256<<10 + 1, 300 << 10} {
		for _, framing := range []string{"Content-Length: %d\r\n\r\n%s", "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", "X-Size: %d\r\n\r\n%s" + thenClose} {
			if size == 0 && strings.HasPrefix(framing, "Transfer") {
				continue
			}
			body := strings.Repeat("0123456", 1+size/7)[:size]
			u := startUpstream(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: ID\r\n"+framing, size, body))
			for limit := range 4 {
				reserved, calls := 0, 0
				r := request("a1")
				r.Deadline = time.Now().Add(time.Minute)
				r.ReserveBytes = func(n int) bool {
					calls++
					if calls > limit {
						return false
					}
					reserved += n
					return true
				}
				response, err := newExchanger(t).Exchange(t.Context(), u.target(), r)
				// A busy machine may take too long to connect.
				for errors.Is(err, exchanger.ErrNotSent) {
					response, err = newExchanger(t).Exchange(t.Context(), u.target(), r)
				}
				assert.NilError(t, err)
				got := response.Body
				assert.Assert(t, cap(got) <= unreserved+reserved, "%d bytes are held, %d reserved", cap(got), reserved)
				if size < unreserved {
					assert.Assert(t, response.Rest == nil, "a short body is streamed")
				}
				if response.Rest != nil {
					rest, err := io.ReadAll(response.Rest)
					assert.NilError(t, err)
					assert.NilError(t, response.Rest.Close())
					got = append(got, rest...)
				}
				assert.Assert(t, string(got) == body, "%d bytes, limit %d, %q", size, limit, framing)
			}
		}
	}
}

// TestHeadOfManyFields guards against heads within their limit in bytes whose fields take many
// times as much memory: streams of such responses would hold 3 MB each.
func TestHeadOfManyFields(t *testing.T) {
	t.Parallel()
	// Each response has the attempt's ID and its length beside these fields.
	const maxFields = 256 - 2
	for _, tc := range []struct {
		name   string
		fields int
		line   func(i int) string
		taken  bool
	}{
		{"as many as allowed", maxFields, func(i int) string { return fmt.Sprintf("x%d:\r\n", i) }, true},
		{"one more", maxFields + 1, func(i int) string { return fmt.Sprintf("x%d:\r\n", i) }, false},
		{"one more of the same name", maxFields + 1, func(int) string { return "x:\r\n" }, false},
		{"many", 8000, func(i int) string { return fmt.Sprintf("%x:\r\n", i) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var head strings.Builder
			for i := range tc.fields {
				head.WriteString(tc.line(i))
			}
			u := startUpstream(t, "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 4\r\n"+head.String()+"\r\nbody")
			_, err := newExchanger(t).Exchange(t.Context(), u.target(), request("a1"))
			if tc.taken {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, "fields")
			assert.Assert(t, !errors.Is(err, exchanger.ErrNotSent), "the request was sent and may have run")
		})
	}
}

// TestLongError guards against the bytes of an endless head that are kept in an error, and so in
// the log and in the response to the caller.
func TestLongError(t *testing.T) {
	t.Parallel()
	const maxErrorBytes = 512
	long := strings.Repeat("\x01", 60<<10)
	for _, tc := range []struct{ name, response string }{
		{"status line", long + "\r\n\r\n"},
		{"version", "HTTP/" + long + " 200 OK\r\n\r\n"},
		{"status", "HTTP/1.1 " + long + " OK\r\n\r\n"},
		{"header line", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n"},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n"},
		{"encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + long + "\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, tc.response+stayQuiet)
			_, err := newExchanger(t).Exchange(t.Context(), u.target(), request("a1"))
			assert.ErrorContains(t, err, "reading an answer")
			assert.Assert(t, len(err.Error()) <= maxErrorBytes, "%d bytes", len(err.Error()))
		})
	}
}

// TestEndlessBytesAfterResponse guards against an idle connection that takes bytes without end,
// and against a next request that is answered with them.
func TestEndlessBytesAfterResponse(t *testing.T) {
	t.Parallel()
	// maxSocketBytes is the maximum that the kernel buffers for a connection on both sides.
	const maxSocketBytes = 16 << 20
	target, begun, sent := serveEndless(t, "HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nAttempt: a2\r\nContent-Length: 3\r\n\r\nnot")
	x := newExchanger(t)
	response, err := x.Exchange(t.Context(), target, request("a1"))
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "body")
	// Bytes that first arrive when the next request was sent could be its response.
	select {
	case <-begun:
	case <-time.After(hangTimeout):
		t.Fatal("no bytes were sent after the response")
	}
	r := request("a2")
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	response, err = x.Exchange(t.Context(), target, r)
	assert.Assert(t, err != nil, "%+v", response)
	select {
	case n := <-sent:
		assert.Assert(t, n < maxSocketBytes, "the upstream could send %d bytes", n)
	case <-time.After(hangTimeout):
		t.Fatal("the connection to the upstream is still open")
	}
}
