package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

// rawUpstream responds to the first request of each connection. It reads the second one
// whole and closes the connection without a response.
type rawUpstream struct {
	address  string
	requests atomic.Int64
}

func newRawUpstream(t *testing.T) *rawUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &rawUpstream{address: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return u
}

func (u *rawUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		u.requests.Add(1)
		if i > 0 {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func request(method string, headers ...arbiter.Header) forwarder.Request {
	return forwarder.Request{
		Method: method, Path: "/orders", Headers: headers, Body: []byte("three blanks"), Deadline: time.Now().Add(10 * time.Second),
	}
}

func readBody(t *testing.T, r forwarder.Response) string {
	raw, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.NilError(t, r.Body.Close())
	return string(raw)
}

// TestNoReplayOnBrokenConnection guards against a request running twice: it sends a
// second request on a reused connection that breaks after the upstream has read it.
func TestNoReplayOnBrokenConnection(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"none", "Idempotency-Key", "X-Idempotency-Key", "idempotency-key"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newRawUpstream(t)
			f, cleanup := forwarder.New()
			defer cleanup()
			target := forwarder.Target{Upstream: "u", Address: u.address, MaxConns: 1}
			req := request(http.MethodPost, arbiter.Header{Name: name, Value: "7"})
			first, err := f.Forward(context.Background(), target, req)
			assert.NilError(t, err)
			assert.Equal(t, readBody(t, first), "ok")
			_, err = f.Forward(context.Background(), target, req)
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, forwarder.ErrNotSent), "the request was sent and may have run")
			assert.Equal(t, u.requests.Load(), int64(2))
		})
	}
}

// TestHTTPClientReplays shows that the test upstream provokes a replay: net/http's client
// sends the second request twice.
func TestHTTPClientReplays(t *testing.T) {
	t.Parallel()
	u := newRawUpstream(t)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	for i := range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+u.address+"/orders", strings.NewReader("three blanks"))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "7")
		resp, err := client.Do(req)
		assert.NilError(t, err, "request %d", i)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, u.requests.Load(), int64(3), "two requests arrive three times")
}

func TestConnectFailureIsErrNotSent(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	f, cleanup := forwarder.New()
	defer cleanup()
	_, err = f.Forward(context.Background(), forwarder.Target{Address: ln.Addr().String(), MaxConns: 1}, request(http.MethodPost))
	assert.Assert(t, errors.Is(err, forwarder.ErrNotSent), "%v", err)
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n4\r\nhalf\r\n", head)
				_ = conn.Close()
			}()
			f, cleanup := forwarder.New()
			defer cleanup()
			resp, err := f.Forward(context.Background(), forwarder.Target{Address: ln.Addr().String(), MaxConns: 1}, request(http.MethodPost))
			assert.NilError(t, err)
			_, err = io.ReadAll(resp.Body)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			assert.NilError(t, resp.Body.Close())
		})
	}
}

func TestEndToEndHeaders(t *testing.T) {
	t.Parallel()
	h := http.Header{
		"Connection": {"close, X-Secret"}, "X-Secret": {"1"}, "Keep-Alive": {"1"}, "Te": {"trailers"},
		"Waxwing-Token": {"t"}, "Idempotency-Key": {"k"}, "X-Request": {"r"},
	}
	assert.DeepEqual(t, forwarder.EndToEndHeaders(h), []arbiter.Header{{Name: "X-Request", Value: "r"}})
}
