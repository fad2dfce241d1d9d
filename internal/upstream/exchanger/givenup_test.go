package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// listenNarrow listens with small receive buffers, so that most of a request stays at its sender
// until it is read, as behind a partition.
func listenNarrow(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		return errors.CombineErrors(err, optErr)
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestGivenUpRequestArrives guards against a request that reaches its upstream, and runs, long after it
// was given up, since the kernel goes on sending what was written.
func TestGivenUpRequestArrives(t *testing.T) {
	t.Parallel()
	const bodyBytes = 64 << 10
	for _, tc := range []struct {
		name   string
		giveUp func(r *exchanger.Request, leave func())
	}{
		{"deadline", func(r *exchanger.Request, _ func()) { r.Deadline = time.Now().Add(100 * time.Millisecond) }},
		{"caller leaves", func(_ *exchanger.Request, leave func()) { time.AfterFunc(100*time.Millisecond, leave) }},
		{"deadline of a once-only request", func(r *exchanger.Request, _ func()) {
			r.Detached = true
			r.Deadline = time.Now().Add(100 * time.Millisecond)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ln := listenNarrow(t)
			accepted := make(chan net.Conn, 1)
			go func() {
				if conn, err := ln.Accept(); err == nil {
					accepted <- conn
				}
			}()
			r := request("a1")
			r.Head = fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes)
			r.Body = make([]byte, bodyBytes)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			tc.giveUp(&r, leave)
			_, err := newExchanger(t).Exchange(ctx, cataloger.Target{Upstream: "u", Address: ln.Addr().String(), MaxIdleConns: 1}, r)
			assert.Assert(t, err != nil && !errors.Is(err, exchanger.ErrNotSent), "%v", err)
			conn := <-accepted
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(hangTimeout)))
			in, err := http.ReadRequest(bufio.NewReader(conn))
			n := int64(0)
			if err == nil {
				n, err = io.Copy(io.Discard, in.Body)
			}
			assert.Assert(t, err != nil, "the upstream has read the whole request of %d bytes", n)
		})
	}
}
