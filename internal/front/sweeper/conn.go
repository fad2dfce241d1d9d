package sweeper

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// tcpCloseWait is the kernel's state of a connection whose other end was closed.
const tcpCloseWait = 8

// The states of a connection.
const (
	// stateNew is the state until the first byte of the first request.
	stateNew connState = iota
	// stateBusy lasts from the first byte of a request until its response is written.
	stateBusy
	// stateIdle is the state between two requests.
	stateIdle
)

// errNotPollable is returned for connections that are no sockets.
var errNotPollable = errors.New("the connection is no socket")

type (
	connState int

	// conn is a caller's connection. One goroutine reads it at a time.
	conn struct {
		net.Conn
		sweeper *Sweeper

		mu    sync.Mutex
		state connState
		since time.Time
		// expired makes the read deadline pass at once. The reader then closes the
		// connection, unless bytes are there.
		expired bool
	}
)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isExpired() {
		n = c.readPending(p)
		if n > 0 {
			err = nil
			c.sweeper.countSpared()
		}
	}
	if n > 0 {
		c.setBusy()
	}
	return n, err
}

// SetReadDeadline implements net.Conn. It does nothing on an expired connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.sweeper.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, which net/http does before it closes a connection
// with unread bytes.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNotPollable
	}
	return half.CloseWrite()
}

func (c *conn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = stateIdle, now
}

// setBusy is called by the reader when bytes have come. An expired connection is kept.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = stateBusy
	if c.expired {
		c.expired = false
		// An error means that the connection is closed, which the next call finds.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// idleSince returns since when a connection has been between two requests, and whether it
// is.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.state == stateIdle && !c.expired
}

// expire makes the reader close the connection unless a request has begun, and reports
// whether it does.
func (c *conn) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateBusy || c.expired {
		return false
	}
	c.expired = c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
	return c.expired
}

func (c *conn) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// readPending reads bytes that are there already, and returns how many. A read whose
// deadline has passed does not look for them.
func (c *conn) readPending(p []byte) int {
	n := 0
	err := c.control(func(fd int) {
		n, _ = syscall.Read(fd, p)
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// peerClosed reports whether the caller has closed the connection, also when net/http has
// not noticed it yet: net/http reads beside the handler, and stops at the first byte that
// follows the request.
func (c *conn) peerClosed() bool {
	closed := false
	err := c.control(func(fd int) {
		var next [1]byte
		n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.IsAny(err, unix.EAGAIN, unix.EINTR):
		case err != nil || n == 0:
			closed = true
		default:
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			closed = err == nil && info.State == tcpCloseWait
		}
	})
	return closed || errors.Is(err, net.ErrClosed)
}

// control calls f with the connection's file descriptor, without waiting.
func (c *conn) control(f func(fd int)) error {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errNotPollable
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reading the socket")
	}
	return errors.Wrap(raw.Control(func(fd uintptr) { f(int(fd)) }), "reading the socket")
}
