package sweeper

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/front/pipeliner"
	"github.com/waxwingloom/waxwingloom/internal/kernel/closer"
)

// The kernel's states of a connection that the other end has reset or closed.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// The states of a connection.
const (
	// stateNew is the state until the first byte of the first request.
	stateNew connState = iota
	// stateReading lasts from the first byte of a request until its head was read.
	stateReading
	// stateBusy lasts from then until the response is written.
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
		// accepted is the connection that ahead reads, or Conn.
		accepted net.Conn
		// ahead is Conn if it reads requests ahead, or nil.
		ahead *pipeliner.Conn
		// holder is the connection's entry in the account, or nil.
		holder *accountant.Holder
		// headBytes is what the heads that were read take in the account. Only the reader
		// uses it.
		headBytes int64
		// closed is whether the descriptor was given back. sweeper.mu guards it.
		closed bool

		mu    sync.Mutex
		state connState
		// since is when the connection became idle or, in stateReading, when bytes came last.
		since time.Time
		// expired makes the read deadline pass at once. The reader then closes the
		// connection, unless bytes are there.
		expired bool
		// hidden is whether bytes that follow the request in progress hide the caller's
		// close from net/http.
		hidden bool
		// responding is whether bytes of the response to the request in progress were
		// written, writeFailed whether a write of it failed, and handled whether the handler
		// has returned.
		responding  bool
		writeFailed bool
		handled     bool
		// closing is whether Close was called.
		closing bool
		// evicted is set when the account closes the connection: reads fail from then on.
		evicted bool
		// cancel ends the contexts of the connection's requests.
		cancel context.CancelFunc
	}

	// lingeringConn is an accepted connection on which no request is read any more.
	lingeringConn struct {
		closer.Conn
		conn *conn
	}
)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.isEvicted() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isExpired() {
		n = c.readPending(p)
		if n > 0 {
			err = nil
			c.sweeper.countKept()
		}
	}
	if n > 0 {
		// Beside a handler, net/http reads one byte.
		now := c.sweeper.clock.Now()
		if inHead := c.noteRead(now, len(p) == 1); inHead && !c.takeHead(now, p[:n]) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom. Without it, net/http holds parts of a streamed
// response back until its buffer is full.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	to, ok := c.Conn.(io.ReaderFrom)
	if !ok {
		return io.Copy(struct{ io.Writer }{c}, r)
	}
	n, err := to.ReadFrom(r)
	c.noteWrite(n, nil)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.noteWrite(int64(n), err)
	return n, err
}

// SetReadDeadline implements net.Conn. It does nothing on an expired or evicted connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired || c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. After the last response it waits until the caller has received it:
// the caller may have sent bytes that were not read. A second call ends the wait.
func (c *conn) Close() error {
	if c.beginClose() {
		if cause, cut := c.cutCause(); cut {
			c.sweeper.countCut(cause, c.RemoteAddr().String())
		}
		c.cancelRequests()
		if c.hasResponded() && c.sweeper.mayLinger() {
			c.linger()
		}
	}
	c.sweeper.remove(c)
	err := c.Conn.Close()
	c.sweeper.noteClosed(c)
	c.holder.Close()
	return err
}

// beginClose reports whether this is the first close.
func (c *conn) beginClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.closing
	c.closing = true
	return first
}

// hasResponded reports whether the last response was written whole, and perhaps not received.
func (c *conn) hasResponded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.writeFailed {
		return false
	}
	switch c.state {
	case stateBusy:
		return c.handled && c.responding
	case stateReading:
		// Only net/http responds to what it could not read.
		return c.responding || c.isUnacknowledged()
	case stateIdle:
		return c.isUnacknowledged()
	}
	return false
}

func (c *conn) isUnacknowledged() bool {
	s, ok := c.Conn.(syscall.Conn)
	return ok && closer.Unacknowledged(s) > 0
}

// linger waits until the caller has received the response. The account may end that to make room.
func (c *conn) linger() {
	c.holder.Enter(c.sweeper.clock.Now(), accountant.Idle)
	if tcp, ok := c.accepted.(closer.Conn); ok {
		closer.Linger(lingeringConn{Conn: tcp, conn: c}, c.isEvicted)
	}
}

// SetReadDeadline implements closer.Conn. It does nothing on an evicted connection.
func (l lingeringConn) SetReadDeadline(t time.Time) error {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	if l.conn.evicted {
		return nil
	}
	return l.Conn.SetReadDeadline(t)
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

// noteRead notes that the reader has got bytes, and whether it read beside a handler. An
// expired connection is kept. It reports whether the bytes belong to the head of a request.
func (c *conn) noteRead(now time.Time, besideHandler bool) (inHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inHead = c.state != stateBusy; !inHead {
		c.hidden = c.hidden || besideHandler
	} else {
		c.state, c.since = stateReading, now
		c.responding, c.writeFailed, c.handled = false, false, false
	}
	c.revive()
	return inHead
}

// setBusy notes that a request's head was read, perhaps out of bytes that came together with
// the request before it. An expired connection is kept.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.hidden = stateBusy, false
	c.responding, c.writeFailed, c.handled = false, false, false
	c.revive()
}

// revive undoes expire. The caller holds c.mu.
func (c *conn) revive() {
	if c.expired && !c.evicted {
		c.expired = false
		// An error means that the connection is closed, which the next call finds.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// setHandled notes that the handler of the request in progress has returned.
func (c *conn) setHandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

func (c *conn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.hidden = stateIdle, now, false
}

// expire makes the reader close the connection if it is in a state, and reports whether it
// does.
func (c *conn) expire(state connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == state && c.setExpired()
}

// expireIdle makes the reader close the connection if it has been idle, or has sent nothing
// more of a request's head, for longer than the limit. It reports whether it does.
func (c *conn) expireIdle(now time.Time, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.state == stateReading || c.state == stateIdle) && now.Sub(c.since) > limit && c.setExpired()
}

// setExpired makes the read deadline pass, and reports whether it was not so before. The
// caller holds c.mu.
func (c *conn) setExpired() bool {
	if c.expired || c.closing {
		return false
	}
	c.expired = c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
	return c.expired
}

func (c *conn) isHidden() bool {
	if c.ahead != nil && c.ahead.Stalled() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hidden
}

// withCancel returns a context that ends with the connection, or by cancelRequests.
func (c *conn) withCancel(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, c.cancel = context.WithCancel(ctx)
	return ctx
}

func (c *conn) cancelRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
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
	if err != nil || n <= 0 {
		return 0
	}
	if c.ahead != nil {
		return c.ahead.Deliver(p[:n])
	}
	return n
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
			closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
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
