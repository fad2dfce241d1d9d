package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
	block := strings.Repeat(repeated, 1+4096/len(repeated))
	for err == nil {
		_, err = io.WriteString(conn, block)
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
