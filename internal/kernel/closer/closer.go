// Package closer ends TCP connections on which bytes may still be on their way. What a plain
// close does with them depends on what lies unread: with unread bytes the kernel resets the
// connection, and the peer may lose the end of what was sent; without them the kernel goes on
// sending, also after a partition, what nobody waits for any more. docs/design/connections.md says which
// connections end in which way.
//
// # Usage
//
//	closer.Linger(conn, stopped) // the last response was written
//	_ = conn.Close()
//
//	_ = closer.Abort(conn) // the request was given up
//
//	conn = closer.NewDropping(conn) // Close is an Abort while sent bytes are on their way
package closer

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTime is how long the peer may take to close its side once it has received all bytes.
	lingerTime = 500 * time.Millisecond
	// maxLingerTime is how long the peer may take to receive some of them. Without unread bytes a
	// close after that still lets the kernel send the rest.
	maxLingerTime = 10 * time.Second
	// discardBytes is how much is read and dropped at a time.
	discardBytes = 4 << 10
)

// Conn is a connection whose sending side can be closed.
type Conn interface {
	syscall.Conn
	Read(p []byte) (int, error)
	SetReadDeadline(t time.Time) error
	CloseWrite() error
}

// dropping is a connection on whose Close nothing that was sent is on its way any more.
type dropping struct{ *net.TCPConn }

// NewDropping returns a connection whose Close drops what the peer has not received. It is for
// connections on which each request ends with its response: what is on its way then belongs
// to a request that was given up. A connection that is not TCP is returned as it is.
func NewDropping(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return dropping{tcp}
	}
	return c
}

// Close implements net.Conn.
func (d dropping) Close() error {
	if Unacknowledged(d.TCPConn) > 0 {
		return Abort(d.TCPConn)
	}
	return d.TCPConn.Close()
}

// Linger closes the sending side and drops what the peer still sends, until the peer has closed its
// side, or has had time for that after it received all bytes, or receives no more of them. It returns
// early when a read fails or stop reports true after the read deadline has passed. The caller closes
// the connection.
func Linger(c Conn, stop func() bool) {
	if c.CloseWrite() != nil {
		return
	}
	left, end := Unacknowledged(c), time.Now().Add(maxLingerTime)
	buf := make([]byte, discardBytes)
	for time.Now().Before(end) && !stop() {
		if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
			return
		}
		if err := discard(c, buf); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		switch n := Unacknowledged(c); {
		case n == 0:
			return
		case n < left:
			left, end = n, time.Now().Add(maxLingerTime)
		}
	}
}

// discard reads until an error.
func discard(c Conn, buf []byte) error {
	for {
		if _, err := c.Read(buf); err != nil {
			return err
		}
	}
}

// Abort closes a connection by a reset. What the peer has not received is dropped.
func Abort(c net.Conn) error {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}

// Unacknowledged returns the number of sent bytes that the peer has not acknowledged, 0 if it is
// not known. The end of the sending side counts as one.
func Unacknowledged(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0
	}
	return n
}
