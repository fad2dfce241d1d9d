package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

const truncationDocument = `
[service desk]
[route read]
host = shop
path = /read/
split = desk:1
timeout = 60s
attempts = 3
[route order]
host = shop
path = /order/
split = desk:1
once = yes
timeout = 60s
attempts = 3
`

// truncatingUpstream answers each request with the bytes of its response and ends the
// connection, by a reset if resets is set.
type truncatingUpstream struct {
	response atomic.Pointer[string]
	resets   atomic.Bool
	requests atomic.Int64
}

func (u *truncatingUpstream) serve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var done sync.WaitGroup
	done.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			done.Go(func() { u.serveConn(conn) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		done.Wait()
	})
	return ln.Addr().String()
}

func (u *truncatingUpstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	u.requests.Add(1)
	_, _ = io.WriteString(conn, *u.response.Load())
	if u.resets.Load() {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// callUntilSent repeats a request until the upstream has got it: a busy machine may take
// too long to connect, and an upstream that could not be reached is left alone for a time.
func (u *truncatingUpstream) callUntilSent(t *testing.T, address, method, path string) (*http.Response, string, error) {
	t.Helper()
	before := u.requests.Load()
	for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(10 * time.Millisecond) {
		resp, body, err := callOnce(t, address, method, path)
		if u.requests.Load() > before {
			return resp, body, err
		}
	}
	t.Fatal("the request was not sent")
	return nil, "", nil
}

// startWithUpstream starts a receiver whose requests go to one upstream, and returns its
// address.
func startWithUpstream(t *testing.T, upstream string) string {
	t.Helper()
	return startWithLimits(t, upstream, defaultLimits)
}

func startWithLimits(t *testing.T, upstream string, limits receiver.Limits) string {
	t.Helper()
	x, cleanup := exchanger.New(clockwork.NewRealClock())
	t.Cleanup(cleanup)
	log := slog.New(slog.DiscardHandler)
	self := selector.Self{VM: "v", Zone: "z", Region: "r", Regions: map[namer.Zone]namer.Region{"z": "r"}}
	s := steerer.New(self, namer.WaxwingHeaderNames(), steerer.RetryBudget{Ratio: 1, Window: 10 * time.Second}, x, clockwork.NewRealClock(), log)
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(truncationDocument)}})
	assert.NilError(t, err)
	s.SetDocument(1, doc)
	s.SetUpstreams(&cataloger.View{Upstreams: []cataloger.Upstream{{Entry: cataloger.Entry{
		Upstream: "u", Service: "desk", Zone: "z", Address: upstream, Slots: 4,
	}}}})
	server := httptest.NewServer(receiver.New(s, namer.WaxwingHeaderNames(), limits, clockwork.NewRealClock(), log))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestTruncatedResponseLooksWhole guards against a response that looks whole to the caller although the
// upstream stopped in it, after any byte of its head or of a short body.
func TestTruncatedResponseLooksWhole(t *testing.T) {
	t.Parallel()
	h := namer.WaxwingHeaderNames()
	status := "HTTP/1.1 200 OK\r\n"
	ids := h.AttemptID + ": a1\r\n" + h.Signature + ": s\r\n"
	long := strings.Repeat("long", 1000)
	// A streamed body is longer than the exchanger buffers.
	streamed := strings.Repeat("streamed", 50<<10)
	for _, tc := range []struct {
		name     string
		method   string
		response string
		body     string
		// noLength is whether the body ends with the connection, so that any clean end of it
		// after the head is the end of the body.
		noLength bool
	}{
		{name: "length last", response: status + ids + "Content-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
		{name: "length first", response: status + "Content-Length: 12\r\n" + ids + "\r\nwhole answer", body: "whole answer"},
		{name: "length of many digits", response: status + ids + "Content-Length: 4000\r\n\r\n" + long, body: long},
		{name: "empty body", response: status + ids + "Content-Length: 0\r\n\r\n"},
		{name: "no content", response: "HTTP/1.1 204 No Content\r\n" + ids + "\r\n"},
		{name: "chunks", response: status + ids + "Transfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n", body: "whole answer"},
		{
			name:     "chunks and trailer",
			response: status + ids + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6;x=y\r\nanswer\r\n0\r\nX-Sum: 1\r\n\r\n", body: "whole answer",
		},
		{name: "line feeds", response: strings.ReplaceAll(status+ids+"Content-Length: 12\r\n\r\n", "\r", "") + "whole answer", body: "whole answer"},
		{name: "interim response first", response: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + status + ids + "Content-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
		{name: "other response first", response: status + h.AttemptID + ": a0\r\nContent-Length: 3\r\n\r\nold" + status + ids + "Content-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
		{name: "connection close", response: status + ids + "Connection: close\r\nContent-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
		{name: "HTTP/1.0", response: "HTTP/1.0 200 OK\r\n" + ids + "Content-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
		{name: "HEAD", method: http.MethodHead, response: status + ids + "Content-Length: 12\r\n\r\n"},
		{name: "streamed", response: fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", status, ids, len(streamed), streamed), body: streamed},
		{
			name:     "streamed in chunks",
			response: fmt.Sprintf("%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", status, ids, len(streamed), streamed), body: streamed,
		},
		{name: "streamed without length", response: status + ids + "\r\n" + streamed, body: streamed, noLength: true},
		{name: "no length", response: status + ids + "Connection: close\r\n\r\nwhole answer", body: "whole answer", noLength: true},
	} {
		for _, resets := range []bool{false, true} {
			for _, path := range []string{"/read/", "/order/"} {
				t.Run(fmt.Sprintf("%s, reset %t, %s", tc.name, resets, path), func(t *testing.T) {
					t.Parallel()
					u := &truncatingUpstream{}
					u.resets.Store(resets)
					address := startWithUpstream(t, u.serve(t))
					method := tc.method
					if method == "" {
						method = http.MethodGet
					}
					headEnd := strings.Index(tc.response, "\r\n\r\n") + 4
					for _, size := range cutSizes(len(tc.response)) {
						part := tc.response[:size]
						u.response.Store(&part)
						resp, body, err := u.callUntilSent(t, address, method, path)
						whole := size == len(tc.response) && !resets
						switch {
						case whole:
							assert.NilError(t, err)
							assert.Equal(t, resp.StatusCode/100, 2)
							assert.Assert(t, body == tc.body)
						case resp == nil || err != nil:
						case resp.StatusCode/100 != 2:
							assert.Equal(t, resp.Header.Get(h.Signature), "")
						case size == len(tc.response) && !tc.noLength:
							// The response may arrive before the reset.
							assert.Assert(t, body == tc.body)
						default:
							assert.Assert(t, tc.noLength && size >= headEnd && !resets, "a 2xx after %d bytes with a body of %d", size, len(body))
							assert.Assert(t, body == part[headEnd:])
						}
					}
					assert.Assert(t, u.requests.Load() >= int64(len(cutSizes(len(tc.response)))), "requests were not sent")
				})
			}
		}
	}
}

// cutSizes returns the sizes to which a response is cut: all below 300 bytes and in its last
// bytes, and a few between.
func cutSizes(size int) []int {
	const lastBytes = 12
	var out []int
	for n := 0; n <= size; n++ {
		if n < 300 || n > size-lastBytes || n%(1+size/10) == 0 {
			out = append(out, n)
		}
	}
	return out
}

// callOnce sends a request on a connection of its own. It returns no response if the head of
// one could not be read, and an error if the response did not end as its head says.
func callOnce(t *testing.T, address, method, path string) (*http.Response, string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop\r\n%s: a1\r\n\r\n", method, path, namer.WaxwingHeaderNames().AttemptID)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}
