package sweeper

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pieceBytes is how much of a response is written at a time, and writeTimeout how long its
	// caller may take for that.
	pieceBytes   = 64 << 10
	writeTimeout = 10 * time.Second
)

// pacedConn is an accepted connection with a time limit on each piece that is written, so that a
// caller which goes on reading gets its response whole, however long that takes.
type pacedConn struct {
	net.Conn
	// unread is called when a caller has not read a piece in time.
	unread func()

	mu sync.Mutex
	// deadline is that of all writes, zero if there is none.
	deadline time.Time
}

// Write implements net.Conn.
func (c *pacedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+pieceBytes)]
		limited, err := c.limitWrite()
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if limited && errors.Is(err, os.ErrDeadlineExceeded) && !c.isPast() {
			c.unread()
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// limitWrite sets the deadline of the next piece, and reports whether it is earlier than that of
// all writes.
func (c *pacedConn) limitWrite() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := time.Now().Add(writeTimeout)
	limited := c.deadline.IsZero() || end.Before(c.deadline)
	if !limited {
		end = c.deadline
	}
	return limited, c.Conn.SetWriteDeadline(end)
}

// isPast reports whether the deadline of all writes has passed.
func (c *pacedConn) isPast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && !c.deadline.After(time.Now())
}

// SetWriteDeadline implements net.Conn.
func (c *pacedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *pacedConn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// ReadFrom implements io.ReaderFrom.
func (c *pacedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// CloseWrite closes the sending side.
func (c *pacedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNotPollable
	}
	return half.CloseWrite()
}

// SyscallConn implements syscall.Conn.
func (c *pacedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotPollable
	}
	return s.SyscallConn()
}
