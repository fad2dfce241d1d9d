// Package pipeliner handles requests that callers send before the first one has been answered.
// net/http serves the requests of a connection one after the other, so that each waits for all
// before it. Beside a request that net/http serves, a Conn reads ahead: requests that may run
// beside others are handled at the same time, bounded in number and bytes, and their responses
// are written in the order of the requests. All others are left to net/http.
//
// A response that closes the connection is the last one: what was sent behind it is not read,
// or canceled and not answered. A caller that leaves cancels all of its requests.
//
// Bytes are taken for the beginning of a request only while every request before them was
// framed beyond doubt: CRLF line ends, printable text, and a length or no body. After any other
// request the connection is passed through to net/http for good.
//
// # Usage
//
//	p := pipeliner.New(handler, admit, pipeliner.Limits{Requests: 16, Bytes: 64 << 10}, clock, log)
//	conn := p.Wrap(accepted) // served by an http.Server
//	conn.SetContext(ctx)     // in its ConnContext hook
//	if pipeliner.Hold(request.Context()) {
//		// The response must not close the connection.
//	}
package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/kernel/closer"
)

const (
	// readBytes is how much is read ahead at a time.
	readBytes = 4 << 10
	// requestBytes is what a request that was read ahead takes beside its own bytes, and
	// copyFactor how many times it takes those.
	requestBytes = 16 << 10
	copyFactor   = 2
)

// errNotPollable is returned for connections that are no sockets.
var errNotPollable = errors.New("the connection is no socket")

type (
	// AdmitFunc reports whether a request may be handled before those in front of it are
	// answered.
	AdmitFunc func(r *http.Request) bool

	// Limits are the limits on what is read ahead on one connection. Requests 0 turns reading
	// ahead off.
	Limits struct {
		Requests int
		Bytes    int
	}

	// Counts are the requests that were read ahead since the process started, and those of
	// them that were canceled because the connection ended before their turn.
	Counts struct {
		ReadAhead int64
		Canceled  int64
	}

	// Pipeliner reads ahead on the connections of a listener.
	Pipeliner struct {
		handler http.Handler
		admit   AdmitFunc
		limits  Limits
		clock   clockwork.Clock
		log     *slog.Logger

		readAhead atomic.Int64
		canceled  atomic.Int64
	}

	// Conn is a caller's connection. net/http reads it with one goroutine at a time: with a
	// buffer of one byte beside a handler, with a larger one otherwise.
	Conn struct {
		net.Conn
		pipeliner *Pipeliner
		ctx       context.Context

		mu   sync.Mutex
		cond *sync.Cond
		// first is the buffer of a read while nothing is unread, so that waiting takes no memory.
		first [1]byte
		// unread holds bytes that were read from the socket and not yet delivered.
		unread []byte
		framer framer
		// queue holds the requests that were read ahead, in their order.
		queue []*request
		// bytes is the length of the requests in queue.
		bytes int
		// writing is whether responses of the queue are written. It is set when net/http has
		// written its own response, and until the queue is empty.
		writing bool
		// stalled is whether the next request must wait for those in the queue.
		stalled bool
		// held is whether nothing more is read ahead, since the connection is about to close.
		held bool
		// aborted is whether the read deadline has passed.
		aborted bool
		// ended is whether the last response has been written.
		ended   bool
		readErr error
		closed  bool
	}

	// request is a request that was read ahead.
	request struct {
		bytes int
		// taken is what the request takes in the account. Only its goroutine changes it.
		taken  int64
		cancel context.CancelFunc
		// turn is closed when the response may be written.
		turn      chan struct{}
		turnGiven bool
		canceled  bool
	}

	connKey struct{}
)

// New returns a pipeliner that passes requests to a handler.
func New(handler http.Handler, admit AdmitFunc, limits Limits, clock clockwork.Clock, log *slog.Logger) *Pipeliner {
	return &Pipeliner{handler: handler, admit: admit, limits: limits, clock: clock, log: log}
}

// Counts returns the numbers of requests since the process started.
func (p *Pipeliner) Counts() Counts {
	return Counts{ReadAhead: p.readAhead.Load(), Canceled: p.canceled.Load()}
}

// Wrap returns a connection that reads ahead.
func (p *Pipeliner) Wrap(accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, pipeliner: p, ctx: context.Background()}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// SetContext sets the context of the requests that are read ahead, and returns one from which
// Hold finds the connection. It must be called before the first read.
func (c *Conn) SetContext(ctx context.Context) context.Context {
	c.ctx = context.WithValue(ctx, connKey{}, c)
	return c.ctx
}

// Hold ends the reading ahead on a request's connection, whose next response is to close it.
// It reports whether requests behind this one are in progress: then the response must not
// close the connection; the last one of them does.
func Hold(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = true
	return len(c.queue) > 0
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) == 1 && c.framer.atStart() && c.pipeliner.limits.Requests > 0 {
		return 0, c.readBeside()
	}
	if len(c.queue) > 0 {
		c.writing = true
		c.giveTurn()
	}
	if err := c.drainQueue(); err != nil {
		return 0, err
	}
	if len(c.unread) > 0 {
		n := c.framer.take(c.unread[:min(len(p), len(c.unread))])
		copy(p, c.unread[:n])
		if c.unread = c.unread[n:]; len(c.unread) == 0 {
			c.unread = nil
		}
		return n, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	return c.deliver(p[:n]), err
}

// Deliver takes bytes that were read from the socket, and returns how many of them may be
// delivered. The others are delivered by Read.
func (c *Conn) Deliver(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deliver(p)
}

// Stalled reports whether bytes of the caller wait unread, so that its close is not noticed.
func (c *Conn) Stalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}

// SetReadDeadline implements net.Conn. Calls must not overlap.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.aborted = !t.IsZero() && !t.After(time.Now())
	c.cond.Broadcast()
	c.mu.Unlock()
	// A reader that this wakes takes the lock.
	return c.Conn.SetReadDeadline(t)
}

// ReadFrom implements io.ReaderFrom.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	if to, ok := c.Conn.(io.ReaderFrom); ok {
		return to.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNotPollable
	}
	return half.CloseWrite()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotPollable
	}
	return s.SyscallConn()
}

// Close implements net.Conn. It cancels the requests that were read ahead.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.cancelQueue()
	c.mu.Unlock()
	return c.Conn.Close()
}

// deliver is Deliver with c.mu held.
func (c *Conn) deliver(p []byte) int {
	n := c.framer.take(p)
	if n < len(p) {
		c.unread = append(c.unread, p[n:]...)
	}
	return n
}

// readBeside reads ahead beside a handler until the deadline passes or the caller leaves. The
// caller holds c.mu.
func (c *Conn) readBeside() error {
	for {
		c.startRequests()
		switch {
		case c.aborted || c.closed:
			return os.ErrDeadlineExceeded
		case c.readErr != nil:
			c.cancelQueue()
			return c.readErr
		case c.stalled:
			c.cond.Wait()
			continue
		}
		if c.fill() != nil && c.readErr == nil {
			return os.ErrDeadlineExceeded
		}
	}
}

// drainQueue reads ahead until no request that was read ahead is in progress. It returns an
// error if the connection ends with the last response. The caller holds c.mu.
func (c *Conn) drainQueue() error {
	for len(c.queue) > 0 {
		c.startRequests()
		if c.readErr != nil {
			c.cancelQueue()
		}
		if c.stalled || c.aborted || c.held || c.closed || c.readErr != nil {
			c.cond.Wait()
			continue
		}
		// While it reads, the queue may become empty: the bytes are then for net/http.
		if c.fill() != nil && c.readErr == nil {
			c.aborted = true
		}
	}
	c.stalled = false
	if c.ended {
		c.linger()
		return io.EOF
	}
	return nil
}

// fill reads more bytes from the socket, and notes errors other than a passed deadline. The
// caller holds c.mu, which is unlocked meanwhile.
func (c *Conn) fill() error {
	buf := c.first[:]
	if len(c.unread) > 0 {
		buf = make([]byte, readBytes)
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(buf)
	c.mu.Lock()
	c.unread = append(c.unread, buf[:n]...)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return err
}

// linger waits until the caller has received the last response. The caller holds c.mu, which is
// unlocked meanwhile.
func (c *Conn) linger() {
	c.mu.Unlock()
	defer c.mu.Lock()
	if tcp, ok := c.Conn.(closer.Conn); ok {
		closer.Linger(tcp, func() bool { return false })
	}
}

// startRequests starts the requests that are there whole, while the limits allow that. The
// caller holds c.mu.
func (c *Conn) startRequests() {
	c.stalled = false
	for len(c.unread) > 0 && !c.closed && c.readErr == nil && c.framer.atStart() {
		length, framed := requestLength(c.unread)
		if framed && length == 0 {
			return
		}
		if !framed || c.held || len(c.queue) >= c.pipeliner.limits.Requests || c.bytes+length > c.pipeliner.limits.Bytes {
			c.stalled = true
			return
		}
		if len(c.unread) < length {
			return
		}
		raw := bytes.Clone(c.unread[:length])
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil || !c.mayStart(r) || !c.start(r, length) {
			c.stalled = true
			return
		}
		c.unread = c.unread[length:]
	}
}

// mayStart reports whether a request may be handled before those in front of it are answered.
func (c *Conn) mayStart(r *http.Request) bool {
	return r.Method != http.MethodHead && r.Method != http.MethodConnect && c.pipeliner.admit(r)
}

// start starts a request, unless its memory is not free. The caller holds c.mu.
func (c *Conn) start(r *http.Request, length int) bool {
	holder := accountant.HolderOf(c.ctx)
	taken := int64(requestBytes + copyFactor*length)
	if !holder.TakeFree(c.pipeliner.clock.Now(), taken) {
		return false
	}
	holder.Pin()
	ctx, cancel := context.WithCancel(c.ctx)
	q := &request{bytes: length, taken: taken, cancel: cancel, turn: make(chan struct{})}
	c.queue = append(c.queue, q)
	c.bytes += length
	c.pipeliner.readAhead.Add(1)
	c.giveTurn()
	r = r.WithContext(ctx)
	r.RemoteAddr = c.RemoteAddr().String()
	go c.serve(q, r)
	return true
}

// takeMore takes free memory for a part of a response, which is given back at the request's end.
func (c *Conn) takeMore(q *request, bytes int) bool {
	if !accountant.HolderOf(c.ctx).TakeFree(c.pipeliner.clock.Now(), int64(bytes)) {
		return false
	}
	q.taken += int64(bytes)
	return true
}

// giveBack gives back a part of what takeMore has taken.
func (c *Conn) giveBack(q *request, bytes int) {
	accountant.HolderOf(c.ctx).Give(int64(bytes))
	q.taken -= int64(bytes)
}

// serve handles a request that was read ahead, and writes its response when its turn comes.
func (c *Conn) serve(q *request, r *http.Request) {
	w := &responseWriter{conn: c, request: q, header: make(http.Header), ctx: r.Context()}
	defer c.finish(q)
	if !c.handle(w, r) || w.finish() != nil {
		// The response is incomplete. It must not look complete, nor may another one follow.
		<-q.turn
		_ = c.Close()
	}
}

// handle calls the handler, and reports whether it has not given the response up.
func (c *Conn) handle(w http.ResponseWriter, r *http.Request) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			ok = false
			if cause != http.ErrAbortHandler { //nolint:errorlint // a panic's value is compared as net/http does
				c.pipeliner.log.Error("a handler panicked; the caller's connection is closed", "caller", r.RemoteAddr, "reason", cause)
			}
		}
	}()
	c.pipeliner.handler.ServeHTTP(w, r)
	return true
}

// finish removes a request from the queue.
func (c *Conn) finish(q *request) {
	q.cancel()
	holder := accountant.HolderOf(c.ctx)
	holder.Give(q.taken)
	holder.Unpin()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.queue {
		if other == q {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			break
		}
	}
	c.bytes -= q.bytes
	if len(c.queue) == 0 && c.writing {
		c.writing = false
		holder.Enter(c.pipeliner.clock.Now(), accountant.Idle)
	}
	if c.ended {
		// The reader closes the connection. An error means that it is closed already.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.giveTurn()
	c.cond.Broadcast()
}

// giveTurn lets the first request in the queue write its response, if net/http writes none.
// The caller holds c.mu.
func (c *Conn) giveTurn() {
	if len(c.queue) > 0 && (c.writing || c.closed) && !c.queue[0].turnGiven {
		c.queue[0].turnGiven = true
		close(c.queue[0].turn)
	}
}

// cancelQueue cancels the requests that were read ahead. The caller holds c.mu.
func (c *Conn) cancelQueue() {
	for _, q := range c.queue {
		if !q.canceled {
			q.canceled = true
			c.pipeliner.canceled.Add(1)
		}
		q.cancel()
	}
	c.giveTurn()
	c.cond.Broadcast()
}

// closesConnection reports whether the response to a request is the last one of the
// connection: the handler wants that, or nothing more is read ahead, and no other request is in
// progress behind it.
func (c *Conn) closesConnection(wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = c.held || wanted
	c.ended = c.held && len(c.queue) == 1
	return c.ended
}
