package exchanger

import (
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// endErrors are the errors of a connection that the upstream or its host has ended.
var endErrors = []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT}

// noteUnreachable calls onLost after a failure to connect, unless it shows nothing or the
// upstream has responded on another connection meanwhile.
func (x *Exchanger) noteUnreachable(t cataloger.Target, since time.Time, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		x.onLost(t)
		return
	}
	var netErr net.Error
	timeout := errors.As(err, &netErr) && netErr.Timeout()
	if !timeout && !errors.IsAny(err, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH) {
		return
	}
	x.mu.Lock()
	p := x.pools[keyOf(t)]
	responded := p != nil && p.readAt.After(since)
	x.mu.Unlock()
	if !responded {
		x.onLost(t)
	}
}

// noteResponse records that an upstream responded.
func (x *Exchanger) noteResponse(t cataloger.Target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.poolFor(t).readAt = x.clock.Now()
}

// endedEarly reports whether the upstream has ended an idle connection before the idle timeout
// that it stated. Without one, it may close the connection in order at any time.
func (c *connection) endedEarly(now time.Time, state idleState) bool {
	return state == idleReset || state == idleClosed && now.Before(c.openUntil)
}

// closeBroken closes a connection after an error, with which its request is given up.
func (x *Exchanger) closeBroken(t cataloger.Target, c *connection, err error) {
	c.abort()
	if errors.IsAny(err, endErrors...) {
		x.closeEnded(t, c)
		return
	}
	x.closeBusy(t, c)
}

// closeEnded closes a connection that the upstream has ended without notice, and calls onLost
// if no other one is open: a process that ends takes all its connections with it.
func (x *Exchanger) closeEnded(t cataloger.Target, c *connection) {
	x.closeBusy(t, c)
	x.mu.Lock()
	p := x.pools[keyOf(t)]
	lost := p != nil && !p.hasOpen()
	if lost {
		p.close()
	}
	x.mu.Unlock()
	if lost {
		x.onLost(t)
	}
}

// hasOpen reports whether the upstream has not ended some connection.
func (p *pool) hasOpen() bool {
	if slices.ContainsFunc(p.idle, (*connection).isOpen) {
		return true
	}
	for c := range p.busy {
		if c.isOpen() {
			return true
		}
	}
	return false
}

// isOpen reports whether the upstream has not ended the connection. It leaves errors and bytes
// to be read by the owner of the connection.
func (c *connection) isOpen() bool {
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		for errors.Is(err, syscall.EINTR) {
			n, err = unix.Poll(fds, 0)
		}
		open = err == nil && n == 0
	})
	return err == nil && open
}
