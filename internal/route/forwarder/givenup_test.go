package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

// TestGivenUpRequestArrives guards against a request that reaches its upstream, and runs, long after
// it was given up. The upstream has a small buffer, so most of the request stays at its sender until it is read.
func TestGivenUpRequestArrives(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		if conn, err := ln.Accept(); err == nil {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			accepted <- conn.(*net.TCPConn)
		}
	}()
	f, cleanup := forwarder.New()
	defer cleanup()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	r := request(http.MethodPost)
	r.Body = make([]byte, 256<<10)
	_, err = f.Forward(ctx, forwarder.Target{Address: ln.Addr().String(), MaxConns: 1}, r)
	assert.Assert(t, err != nil)
	conn := <-accepted
	defer func() { _ = conn.Close() }()
	// The transport closes the connection soon after it has returned.
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	in, err := http.ReadRequest(bufio.NewReader(conn))
	n := int64(0)
	if err == nil {
		n, err = io.Copy(io.Discard, in.Body)
	}
	assert.Assert(t, err != nil, "the upstream has read the whole request of %d bytes", n)
}
