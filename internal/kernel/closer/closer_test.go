package closer_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/closer"
)

// linkDelay is the time that bytes take in each direction.
const linkDelay = 20 * time.Millisecond

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// dial returns a connection over a link with a delay and small buffers, and its other end. A reset
// of either end resets the other.
func dial(t *testing.T, ln net.Listener) (near, far *net.TCPConn) {
	t.Helper()
	link := listen(t)
	near = dialTCP(t, link.Addr())
	inner, err := link.Accept()
	assert.NilError(t, err)
	outer := dialTCP(t, ln.Addr())
	accepted, err := ln.Accept()
	assert.NilError(t, err)
	far = accepted.(*net.TCPConn)
	for _, c := range []*net.TCPConn{near, far, inner.(*net.TCPConn), outer} {
		assert.NilError(t, c.SetReadBuffer(4<<10))
		assert.NilError(t, c.SetWriteBuffer(4<<10))
		t.Cleanup(func() { _ = c.Close() })
	}
	go carry(inner.(*net.TCPConn), outer)
	go carry(outer, inner.(*net.TCPConn))
	return near, far
}

func dialTCP(t *testing.T, address net.Addr) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	return conn.(*net.TCPConn)
}

// carry carries bytes, and the end or the reset of the connection.
func carry(from, to *net.TCPConn) {
	buf := make([]byte, 1<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(linkDelay)
		if _, werr := to.Write(buf[:n]); werr != nil {
			_ = closer.Abort(from)
			return
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = closer.Abort(to)
			return
		}
	}
}

// TestLingerDeliversAllBytes guards against bytes that are lost as a connection ends: the sender ends it
// after each byte of a response, over a link with a delay, with the receiver's bytes unread.
func TestLingerDeliversAllBytes(t *testing.T) {
	t.Parallel()
	ln := listen(t)
	response := bytes.Repeat([]byte("0123456789abcdef"), 640)
	var lengths []int
	for n := range 200 {
		lengths = append(lengths, n)
	}
	// The buffers of the link are full before the end.
	lengths = append(lengths, 4095, 4096, 4097, len(response)-1, len(response))
	var running sync.WaitGroup
	defer running.Wait()
	for _, n := range lengths {
		near, far := dial(t, ln)
		running.Go(func() {
			// The first bytes lie unread, the second come while the sender lingers.
			_, err := near.Write([]byte("unread"))
			assert.Check(t, err)
			time.AfterFunc(3*linkDelay, func() { _, _ = near.Write([]byte("late")) })
			running.Go(func() {
				time.Sleep(2 * linkDelay)
				_, err := far.Write(response[:n])
				assert.Check(t, err)
				closer.Linger(far, func() bool { return false })
				assert.Check(t, far.Close())
			})
			got, err := io.ReadAll(near)
			assert.Check(t, err == nil && len(got) == n, fmt.Sprintf("%d of %d bytes, %v", len(got), n, err))
			assert.Check(t, near.Close())
		})
	}
}

// TestDroppingClose guards against bytes that arrive after the close of a connection that drops them,
// and against a close without such bytes that looks like a fault to the peer.
func TestDroppingClose(t *testing.T) {
	t.Parallel()
	for _, n := range []int{0, 64 << 10} {
		ln := listen(t)
		conn := dialTCP(t, ln.Addr())
		accepted, err := ln.Accept()
		assert.NilError(t, err)
		assert.NilError(t, accepted.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = conn.Write(make([]byte, n))
		assert.NilError(t, err)
		assert.NilError(t, closer.NewDropping(conn).Close())
		got, err := io.ReadAll(accepted)
		assert.Equal(t, err == nil, n == 0, "%d of %d bytes, %v", len(got), n, err)
		assert.Equal(t, len(got) == n, n == 0, "%d of %d bytes", len(got), n)
		assert.NilError(t, accepted.Close())
	}
}
