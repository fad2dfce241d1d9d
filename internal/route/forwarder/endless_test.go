package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

const (
	// hangTimeout only ends a test that hangs.
	hangTimeout = 20 * time.Second
	// maxHeadBytes is the forwarder's limit on the head of a response.
	maxHeadBytes = 64 << 10
)

// serveEndless starts an upstream that answers each request with prefix and then with
// repeated, without end. An empty repeated sends nothing more. The channel receives a value
// for each connection that the client has closed.
func serveEndless(t *testing.T, prefix, repeated string) (forwarder.Target, <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				writeEndless(conn, prefix, repeated)
				closed <- struct{}{}
			}()
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return forwarder.Target{Upstream: "u", Address: ln.Addr().String(), MaxConns: 100}, closed
}

// writeEndless returns when the client has closed the connection.
func writeEndless(conn net.Conn, prefix, repeated string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if _, err := io.WriteString(conn, prefix); err != nil {
		return
	}
	if repeated == "" {
		_, _ = r.ReadByte()
		return
	}
	block := []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
	for err == nil {
		_, err = conn.Write(block)
	}
}

func waitClosed(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(hangTimeout):
		t.Fatal("the connection to the upstream is still open")
	}
}

// TestLongHead guards against an upstream whose heads take the memory of all requests: each
// of them would hold up to 10 MB, which is the default of net/http.
func TestLongHead(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", maxHeadBytes)
	const end = "Content-Length: 0\r\n\r\n"
	for _, tc := range []struct{ name, response string }{
		{"status line", "HTTP/1.1 200 " + long + "\r\n" + end},
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: " + long + "\r\n" + end},
		{"header lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: x\r\n", maxHeadBytes/10) + end},
		{"interim responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxHeadBytes/20) + "HTTP/1.1 200 OK\r\n" + end},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			target, closed := serveEndless(t, tc.response, "")
			f, cleanup := forwarder.New()
			defer cleanup()
			resp, err := f.Forward(context.Background(), target, request(http.MethodGet))
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.ErrorContains(t, err, "exceeded")
			waitClosed(t, closed)
		})
	}
}

// TestUpgradeOutlivesDeadline guards against a response 101, whose body net/http leaves open
// after the request's deadline: the request and its slot at the upstream would be held for good.
func TestUpgradeOutlivesDeadline(t *testing.T) {
	t.Parallel()
	const upgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	for _, tc := range []struct{ name, repeated string }{{"silent", ""}, {"endless", "x"}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			target, closed := serveEndless(t, upgrade, tc.repeated)
			f, cleanup := forwarder.New()
			defer cleanup()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			resp, err := f.Forward(ctx, target, request(http.MethodGet))
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
			}
			waitClosed(t, closed)
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, forwarder.ErrNotSent), "the request was sent and may have run")
		})
	}
}

// TestHeadOfManyFields guards against heads within their limit in bytes whose fields take many
// times as much memory.
func TestHeadOfManyFields(t *testing.T) {
	t.Parallel()
	// A response has its length beside these fields.
	const maxFields = 256 - 1
	for _, fields := range []int{maxFields, maxFields + 1, 8000} {
		t.Run(fmt.Sprint(fields), func(t *testing.T) {
			t.Parallel()
			target, closed := serveEndless(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+strings.Repeat("x:\r\n", fields)+"\r\nbody", "")
			f, cleanup := forwarder.New()
			defer cleanup()
			resp, err := f.Forward(context.Background(), target, request(http.MethodGet))
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
			}
			if fields == maxFields {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, "fields")
			assert.Assert(t, !errors.Is(err, forwarder.ErrNotSent), "the request was sent and may have run")
			waitClosed(t, closed)
		})
	}
}

// TestLongError guards against the bytes of an endless head that are kept in an error, and so in
// the log and in the response to the caller.
func TestLongError(t *testing.T) {
	t.Parallel()
	const maxErrorBytes = 512
	long := strings.Repeat("\x01", 60<<10)
	for _, response := range []string{long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n"} {
		target, closed := serveEndless(t, response, "")
		f, cleanup := forwarder.New()
		defer cleanup()
		resp, err := f.Forward(context.Background(), target, request(http.MethodGet))
		if err == nil {
			defer func() { _ = resp.Body.Close() }()
		}
		assert.ErrorContains(t, err, "forwarding to u")
		assert.Assert(t, len(err.Error()) <= maxErrorBytes, "%d bytes", len(err.Error()))
		waitClosed(t, closed)
	}
}

// TestEndlessLine guards against chunk sizes, chunk extensions and trailers without end, which
// are no part of a body. They end it long before the deadline.
func TestEndlessLine(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ name, begin, repeated string }{
		{"chunk size", "", "0"},
		{"chunk extension", "1;x=", "y"},
		{"chunk extensions", "", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		{"trailer line", "0\r\nX-Long: ", "x"},
		{"trailers", "0\r\n", "X-More: x\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			target, closed := serveEndless(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+tc.begin, tc.repeated)
			f, cleanup := forwarder.New()
			defer cleanup()
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			resp, err := f.Forward(ctx, target, request(http.MethodGet))
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.Assert(t, err != nil)
			assert.NilError(t, resp.Body.Close())
			waitClosed(t, closed)
		})
	}
}

// TestEndlessBytesAfterResponse guards against an idle connection that takes bytes without end.
func TestEndlessBytesAfterResponse(t *testing.T) {
	t.Parallel()
	target, closed := serveEndless(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x")
	f, cleanup := forwarder.New()
	defer cleanup()
	resp, err := f.Forward(context.Background(), target, request(http.MethodGet))
	assert.NilError(t, err)
	assert.Equal(t, readBody(t, resp), "ok")
	waitClosed(t, closed)
}

// TestUnreadBodyOutlivesDeadline guards against a connection to an upstream that stays open
// beyond the request's deadline while the caller does not read the body.
func TestUnreadBodyOutlivesDeadline(t *testing.T) {
	t.Parallel()
	target, closed := serveEndless(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	f, cleanup := forwarder.New()
	defer cleanup()
	// The head must be read before the deadline.
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := f.Forward(ctx, target, request(http.MethodGet))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	waitClosed(t, closed)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Assert(t, err != nil, "a body that is cut off looks whole")
}

// TestEndlessBodies guards against endless bodies that are kept in memory, that go on for a
// caller that has gone, or that are decompressed. It runs alone, since it measures the heap.
func TestEndlessBodies(t *testing.T) {
	const (
		streams = 50
		// maxStreamBytes is a head of the largest size and the buffers of the reader and the
		// writer of a connection and of those of the test.
		maxStreamBytes = 64<<10 + 4*4<<10
	)
	for _, tc := range []struct {
		name, framing, repeated string
		// leaves is whether the callers leave, without closing the bodies.
		leaves bool
	}{
		{"no length, caller gone", "", "x", true},
		{"chunked, closed", "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n", false},
		{"1 TB, caller gone", "Content-Length: 1099511627776\r\n", "x", true},
		{"compressed, closed", "Content-Encoding: gzip\r\n", "x", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target, closed := serveEndless(t, "HTTP/1.1 200 OK\r\n"+tc.framing+"\r\n", tc.repeated)
			f, cleanup := forwarder.New()
			defer cleanup()
			before := heapBytes()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var bodies []io.ReadCloser
			for range streams {
				resp, err := f.Forward(ctx, target, request(http.MethodGet))
				assert.NilError(t, err)
				defer func() { _ = resp.Body.Close() }()
				bodies = append(bodies, resp.Body)
				first := make([]byte, 1)
				_, err = io.ReadFull(resp.Body, first)
				assert.NilError(t, err)
				assert.Equal(t, string(first), "x")
			}
			held := heapBytes() - before
			assert.Assert(t, held <= streams*maxStreamBytes, "%d streams hold %d bytes", streams, held)
			if tc.leaves {
				cancel()
			}
			for _, b := range bodies {
				if !tc.leaves {
					assert.NilError(t, b.Close())
				}
			}
			for range streams {
				waitClosed(t, closed)
			}
			for _, b := range bodies {
				_, err := io.Copy(io.Discard, b)
				assert.Assert(t, err != nil, "a body that is cut off looks whole")
			}
		})
	}
}

// heapBytes returns the size of the objects in use.
func heapBytes() int64 {
	// What a sync.Pool holds is freed by the second collection.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
