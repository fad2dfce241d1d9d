package dispatcher_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
	"github.com/waxwingloom/waxwingloom/internal/share/claimer"
)

// hangTimeout only ends a test that hangs.
const hangTimeout = 30 * time.Second

// serveUnended starts an upstream that answers /sound. Its responses to other requests have a
// body that ends once end is closed.
func serveUnended(t *testing.T, body string, end <-chan struct{}) string {
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
			done.Go(func() {
				defer func() { _ = conn.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if req.URL.Path == "/sound" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("s", 32<<10))
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
				<-end
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		done.Wait()
	})
	return ln.Addr().String()
}

// TestOnceBodiesTakeAllMemory guards against an upstream whose endless bodies take the memory of
// a VM: up to 8 MB of each response to a once-only request were kept, without a limit over all.
func TestOnceBodiesTakeAllMemory(t *testing.T) {
	t.Parallel()
	const (
		requests  = 20
		bodyBytes = 2 << 20
		maxBytes  = 4 * bodyBytes
		// maxWhole is the number of bodies that fit into the limit.
		maxWhole = maxBytes / bodyBytes
	)
	end := make(chan struct{})
	release := sync.OnceFunc(func() { close(end) })
	address := serveUnended(t, strings.Repeat("x", bodyBytes), end)
	t.Cleanup(release)
	doc, err := parser.Parse(parser.Sources{
		{Section: parser.Services, Text: []byte("[service desk]\nreserve = 0\n[class desk/order]\nmethod = POST\npath = /orders\nonce = yes\n")},
		{Section: parser.Places, Text: []byte("[zone z]\nregion = r\nvms = 1\n[upstream u]\nservice = desk\nzone = z\naddress = " + address + "\nslots = 50\nconns = 50\n")},
	})
	assert.NilError(t, err)
	d, cleanup := dispatcher.New(dispatcher.Self{VM: "v", Zone: "z", Region: "r"}, noPeers{}, noPeers{}, clockwork.NewRealClock(),
		slog.New(slog.DiscardHandler), dispatcher.WithMaxBufferedBytes(maxBytes))
	t.Cleanup(cleanup)
	d.SetDocument(&keeper.Snapshot{Head: keeper.Head{Generation: 1}, Document: doc})
	d.SetOrdinal(claimer.Assignment{Ordinal: 1})
	dispatch := func(path string) arbiter.Outcome {
		return d.DispatchOnce(context.Background(), forwarder.Request{
			Home: "z", Service: "desk", Class: "order", Method: http.MethodPost, Path: path, Deadline: time.Now().Add(time.Minute),
		}, &gate{})
	}
	outcomes := make(chan arbiter.Outcome, requests)
	for range requests {
		go func() { outcomes <- dispatch("/orders") }()
	}
	receive := func() arbiter.Outcome {
		select {
		case out := <-outcomes:
			assert.Equal(t, out.Execution, arbiter.Ran, out.Reason)
			return out
		case <-time.After(hangTimeout):
			t.Fatal("the bodies are all held")
		}
		return arbiter.Outcome{}
	}
	for range requests - maxWhole {
		out := receive()
		assert.Assert(t, out.Response.BodyOmitted && out.Response.Body == nil)
	}
	out := dispatch("/sound")
	assert.Equal(t, len(out.Response.Body), 32<<10, "a short body needs none of the limit")
	release()
	for range maxWhole {
		out := receive()
		assert.Assert(t, out.Response.BodyOmitted || len(out.Response.Body) == bodyBytes)
	}
	// All of the limit is free again.
	out = dispatch("/orders")
	assert.Equal(t, len(out.Response.Body), bodyBytes)
}
