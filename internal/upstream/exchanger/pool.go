package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/closer"
	"github.com/waxwingloom/waxwingloom/internal/kernel/dialer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// maxConnectTimeout is the maximum time to open a connection to an upstream. It is
	// three round trips on the slowest link between regions that the system must support.
	maxConnectTimeout = 400 * time.Millisecond
	// minConnectTimeout is the minimum timeout, also for an upstream with a short round
	// trip. It exceeds the 100 ms for which the CPU of a small VM may stall.
	minConnectTimeout = 120 * time.Millisecond
	// connectRTTs is how many round-trip times opening a connection may take.
	connectRTTs = 3
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends no
	// Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the upstream's Keep-Alive timeout, so that no
	// request is sent while the upstream closes the connection.
	idleTimeoutMargin = 1500 * time.Millisecond
	// maxSingleWriteBodyBytes is the largest body that is written in one call with its head.
	maxSingleWriteBodyBytes = 4 << 10
	readBufferBytes         = 4 << 10
	// maxHeadBytes is the maximum size of a response's head. A faulty upstream may send
	// an endless one.
	maxHeadBytes = 64 << 10
	// maxAnsweredAttempts is the number of answered attempts that a connection remembers. One
	// that has more of them is closed.
	maxAnsweredAttempts = 256
)

// The states of an idle connection.
const (
	idleOpen idleState = iota
	// idleClosed means that the upstream has closed the connection in order, and idleReset that
	// it has reset it.
	idleClosed
	idleReset
	// idleSpoiled means that the connection can't be used for another reason.
	idleSpoiled
)

// errHeadTooLong is returned for a response whose head exceeds maxHeadBytes.
var errHeadTooLong = errors.Newf("the head has over %d bytes", maxHeadBytes)

type (
	idleState int

	// poolKey identifies one run of an upstream's process. A restarted upstream may have
	// the same address, but connections to the earlier process are not used for it.
	poolKey struct {
		address   string
		startedMs int64
		name      string
	}

	// pool holds the connections to one upstream, the idle ones with the most recently used
	// last.
	pool struct {
		idle []*connection
		busy map[*connection]bool
		// readAt is when the upstream last responded.
		readAt time.Time
	}

	// connection is a connection to an upstream. It serves one request at a time. It is
	// not reused after idleUntil, nor if willClose is set, which means that the upstream
	// closes it after the response.
	connection struct {
		conn    net.Conn
		limiter *headLimiter
		reader  *bufio.Reader
		// request is the sending of the current request, or of the last one.
		request   *sending
		idleUntil time.Time
		// openUntil is the end of the idle timeout that the upstream stated, zero if it did not.
		openUntil time.Time
		willClose bool
		// answered lists the attempts that were answered on this connection and may still be
		// sent again. A second response to one of them could not be told from a new one.
		answered  []attempt
		closeOnce sync.Once
	}

	// attempt is a caller's attempt, which is sent to upstreams until its deadline only.
	attempt struct {
		id       string
		deadline time.Time
	}
)

// headLimiter limits the bytes read from a connection while a response's head is read.
type headLimiter struct {
	conn     io.Reader
	inHead   bool
	headLeft int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.conn.Read(p)
	}
	if l.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.conn.Read(p)
	l.headLeft -= n
	return n, err
}

func keyOf(t cataloger.Target) poolKey {
	return poolKey{address: t.Address, startedMs: t.StartedMs, name: string(t.Upstream)}
}

// acquire returns an idle connection that is still open and on which the attempt was not
// answered before, or a new one and the time that connecting took.
func (x *Exchanger) acquire(ctx context.Context, t cataloger.Target, attemptID string) (*connection, time.Duration, error) {
	for {
		c := x.takeIdle(t, attemptID)
		if c == nil {
			break
		}
		state := c.idleState()
		switch {
		case state == idleOpen:
			return c, 0, nil
		case c.endedEarly(x.clock.Now(), state):
			x.closeEnded(t, c)
		default:
			x.closeBusy(t, c)
		}
	}
	return x.connect(ctx, t)
}

// connect returns a new connection and the time that connecting took.
func (x *Exchanger) connect(ctx context.Context, t cataloger.Target) (*connection, time.Duration, error) {
	start := x.clock.Now()
	conn, err := dialer.DialTimeout(ctx, t.Address, connectTimeout(t.RTT))
	if err != nil {
		if ctx.Err() == nil {
			x.noteUnreachable(t, start, err)
		}
		return nil, 0, err
	}
	c := &connection{conn: conn}
	c.limiter = &headLimiter{conn: c}
	c.reader = newBufferedReader(c.limiter)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.poolFor(t).busy[c] = true
	return c, x.clock.Since(start), nil
}

// connectTimeout returns the time that opening a connection may take, given the
// round-trip time to the upstream's zone, 0 if unknown. If connecting gets no reply
// because the upstream's VM is gone, the request can still be sent to another upstream
// in time.
func connectTimeout(rtt time.Duration) time.Duration {
	if rtt <= 0 {
		return maxConnectTimeout
	}
	return min(max(connectRTTs*rtt, minConnectTimeout), maxConnectTimeout)
}

// takeIdle returns the most recently used idle connection whose idle timeout has not passed
// and on which the attempt was not answered before, or nil if there is none.
func (x *Exchanger) takeIdle(t cataloger.Target, attemptID string) *connection {
	x.mu.Lock()
	p := x.pools[keyOf(t)]
	if p == nil {
		x.mu.Unlock()
		return nil
	}
	now := x.clock.Now()
	lost := p.closeExpired(now) && !p.hasOpen()
	c := p.takeIdle(now, attemptID)
	x.mu.Unlock()
	if lost {
		x.onLost(t)
	}
	return c
}

// takeIdle returns the most recently used idle connection on which the attempt was not answered
// before, or nil if there is none.
func (p *pool) takeIdle(now time.Time, attemptID string) *connection {
	for i, c := range slices.Backward(p.idle) {
		if !c.hasAnswered(now, attemptID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			p.busy[c] = true
			return c
		}
	}
	return nil
}

// putIdle adds a connection to the idle ones, or closes it if t.Conns connections are idle
// already.
func (x *Exchanger) putIdle(t cataloger.Target, c *connection) {
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		x.closeBusy(t, c)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.poolFor(t)
	delete(p.busy, c)
	if len(p.idle) >= max(t.MaxIdleConns, 1) {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.closeExpired(x.clock.Now())
}

// poolFor returns the pool of an upstream. The caller holds x.mu.
func (x *Exchanger) poolFor(t cataloger.Target) *pool {
	p := x.pools[keyOf(t)]
	if p == nil {
		p = &pool{busy: make(map[*connection]bool)}
		x.pools[keyOf(t)] = p
	}
	return p
}

// closeBusy closes a connection that is in use.
func (x *Exchanger) closeBusy(t cataloger.Target, c *connection) {
	c.close()
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.pools[keyOf(t)]; p != nil {
		delete(p.busy, c)
	}
}

// putUnused returns a connection on which nothing was sent since it was acquired.
func (x *Exchanger) putUnused(t cataloger.Target, c *connection) {
	if c.idleUntil.IsZero() {
		c.idleUntil = x.clock.Now().Add(defaultIdleTimeout)
	}
	x.putIdle(t, c)
}

// closeExpired closes the connections whose idle timeout has passed, and reports whether the
// upstream had ended one of them before that.
func (p *pool) closeExpired(now time.Time) bool {
	ended := false
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		expired := !now.Before(c.idleUntil)
		if expired {
			ended = c.endedEarly(now, c.idleState()) || ended
			c.close()
		}
		return expired
	})
	return ended
}

func (p *pool) close() {
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

func (c *connection) close() {
	c.closeOnce.Do(func() { _ = c.conn.Close() })
}

// abort closes the connection of a request that is given up. What the upstream has not received of
// it is dropped.
func (c *connection) abort() {
	c.closeOnce.Do(func() { _ = closer.Abort(c.conn) })
}

// remember adds an attempt to those answered on this connection, and drops those whose
// deadline has passed. It reports false if that makes too many.
func (c *connection) remember(now time.Time, r Request) bool {
	c.answered = slices.DeleteFunc(c.answered, func(a attempt) bool { return now.After(a.deadline) })
	c.answered = append(c.answered, attempt{id: r.AttemptID, deadline: r.Deadline})
	return len(c.answered) <= maxAnsweredAttempts
}

func (c *connection) hasAnswered(now time.Time, attemptID string) bool {
	return slices.ContainsFunc(c.answered, func(a attempt) bool { return a.id == attemptID && !now.After(a.deadline) })
}

// reusable reports whether the connection may serve other requests after the response to a
// request, and sets idleUntil. A response that repeats that of a request without an attempt ID
// could be taken for the response to the next such request.
func (c *connection) reusable(now time.Time, request Request, r Response) bool {
	if c.willClose || c.reader.Buffered() > 0 || request.AttemptID == "" || !c.remember(now, request) {
		return false
	}
	idle := defaultIdleTimeout
	c.openUntil = time.Time{}
	if timeout, ok := keepAliveTimeout(r.Header.Get("Keep-Alive")); ok {
		idle = timeout - idleTimeoutMargin
		c.openUntil = now.Add(timeout)
	}
	c.idleUntil = now.Add(idle)
	return idle > 0
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(text string) (time.Duration, bool) {
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}

// idleState makes a non-blocking read on an idle connection. Bytes that arrive on it belong to
// no request, so that it must not be used again.
func (c *connection) idleState() idleState {
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return idleOpen
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return idleSpoiled
	}
	state := idleSpoiled
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		n, err := syscall.Read(int(fd), one[:])
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = idleOpen
		case err != nil:
			state = idleReset
		case n == 0:
			state = idleClosed
		}
		return true
	})
	if err != nil {
		return idleSpoiled
	}
	return state
}
