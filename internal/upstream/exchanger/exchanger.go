// Package exchanger sends one request to one upstream and returns its response. It
// keeps a pool of connections to each upstream. It never sends a request twice. A
// response that belongs to another request is dropped, and a connection on which
// anything unexpected arrived is closed. A connection serves an attempt once, so that a
// copy of an earlier response to it is not taken for the response to a later send.
//
// # Usage
//
//	x, cleanup := exchanger.New(clock)
//	defer cleanup()
//	response, err := x.Exchange(ctx, target, request)
//	if errors.Is(err, exchanger.ErrNotSent) {
//		// Nothing was sent, so the request did not run.
//	}
package exchanger

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// maxBufferedBytes is the largest response body that is read whole before Exchange
	// returns. A longer one is streamed.
	maxBufferedBytes = 256 << 10
	// minBufferBytes is the size of the buffer that a body gets without asking ReserveBytes. A
	// short response is read whole, also when other bodies take all of the memory.
	minBufferBytes = 4 << 10
	// bufferGrowthFactor is the factor by which the buffer of a longer body grows.
	bufferGrowthFactor = 4
	// maxHeadFields is the maximum number of header fields of a response. Short fields take
	// many times the memory of their bytes, so maxHeadBytes alone does not limit it.
	maxHeadFields = 256
	// maxStatus is the highest status of HTTP (RFC 9110, section 15).
	maxStatus = 599
	// maxErrorBytes is the maximum length of the description of a malformed response. The
	// descriptions of net/http quote what was received.
	maxErrorBytes = 256
	// maxResponsesRead is the maximum number of responses that are read for one request: late
	// responses to earlier requests are skipped. Interim responses are skipped too, up to
	// maxHeadBytes together with the head that follows, and until the request's deadline.
	maxResponsesRead = 3
	// deadlineGrace is added to a request's deadline, so that a response that the upstream
	// itself sends at the deadline is read and the connection kept.
	deadlineGrace = 30 * time.Millisecond
)

// The errors of Exchange. ErrNotSent marks errors that occurred before anything was
// sent, and ErrAttemptMismatch is returned when the response belongs to another request.
// Any error other than ErrNotSent means that the request may have run.
var (
	ErrNotSent         = errors.New("nothing was sent to the upstream")
	ErrAttemptMismatch = errors.New("the answer belongs to another request")

	errTooManyFields = errors.Newf("the head has over %d fields", maxHeadFields)
	errInvalidStatus = errors.New("the status line is not that of a response")

	errCallerGone = errors.New("the caller left before the request was sent")
	errNotUsable  = errors.New("the upstream left before the request was sent")
)

type (
	// Request is a serialized request. The upstream must return AttemptID in the response
	// header named AttemptHeader. Usable reports whether requests may still be sent to the
	// upstream; it is called right before the first byte is written, and nil means yes.
	Request struct {
		Method string
		Head   []byte
		Body   []byte
		// BodyRest is what follows Body if the body is held in several buffers.
		BodyRest      [][]byte
		AttemptHeader string
		AttemptID     string
		Deadline      time.Time
		Usable        func() bool
		// CallerGone reports whether the caller has left; it is called as Usable is, and nil
		// means no.
		CallerGone func() bool
		// ReserveBytes reports whether n more bytes of memory may be taken for the response's
		// body, which is streamed if not. The caller of Exchange gives them back. Nil means yes.
		ReserveBytes func(n int) bool
		// Detached makes the exchange go on when its context ends after the first byte.
		Detached bool
	}

	// Response is an upstream's response. Rest is nil if Body holds the whole body.
	// Otherwise it returns the bytes after Body and must be closed.
	Response struct {
		Status        int
		Header        http.Header
		Body          []byte
		Rest          io.ReadCloser
		ContentLength int64
		// ConnectTime is the time that connecting took, 0 for a reused connection.
		ConnectTime time.Duration
	}

	// Exchanger sends requests to upstreams over pooled connections.
	Exchanger struct {
		clock  clockwork.Clock
		onLost func(cataloger.Target)

		mu    sync.Mutex
		pools map[poolKey]*pool
	}
)

// New returns an Exchanger without connections, and a function that closes the idle
// ones.
func New(clock clockwork.Clock) (*Exchanger, func()) {
	x := &Exchanger{clock: clock, onLost: func(cataloger.Target) {}, pools: make(map[poolKey]*pool)}
	return x, func() { x.CloseIdleExcept(nil) }
}

// OnLost sets the function that is called when an upstream's process may have ended: its host
// refuses connections or does not respond, or the last connection to it has ended. It must be
// called before the first exchange.
func (x *Exchanger) OnLost(f func(cataloger.Target)) {
	x.onLost = f
}

// CloseIdleExcept closes the idle connections to all upstreams but the targets.
func (x *Exchanger) CloseIdleExcept(targets []cataloger.Target) {
	kept := make(map[poolKey]bool, len(targets))
	for _, t := range targets {
		kept[keyOf(t)] = true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for key, p := range x.pools {
		if !kept[key] {
			p.close()
			delete(x.pools, key)
		}
	}
}

// Preconnect opens a connection, adds it to the pool of idle connections and returns
// the time that connecting took.
func (x *Exchanger) Preconnect(ctx context.Context, t cataloger.Target) (time.Duration, error) {
	c, connectTime, err := x.connect(ctx, t)
	if err != nil {
		return 0, err
	}
	c.idleUntil = x.clock.Now().Add(defaultIdleTimeout)
	x.putIdle(t, c)
	return connectTime, nil
}

// Exchange sends a request and returns the response. When ctx is canceled, the
// connection is reset, so that the upstream can stop processing the request. After an error nothing
// of the request reaches the upstream any more.
func (x *Exchanger) Exchange(ctx context.Context, t cataloger.Target, r Request) (Response, error) {
	c, connectTime, err := x.acquire(ctx, t, r.AttemptID)
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotSent)
	}
	if err := c.conn.SetDeadline(r.Deadline.Add(deadlineGrace)); err != nil {
		x.closeBusy(t, c)
		return Response{}, errors.Mark(errors.Wrap(err, "setting a deadline"), ErrNotSent)
	}
	if ctx.Err() != nil || r.CallerGone != nil && r.CallerGone() {
		x.putUnused(t, c)
		return Response{}, errors.Mark(errCallerGone, ErrNotSent)
	}
	if r.Usable != nil && !r.Usable() {
		x.closeBusy(t, c)
		return Response{}, errors.Mark(errNotUsable, ErrNotSent)
	}
	stop := func() bool { return true }
	if !r.Detached {
		stop = context.AfterFunc(ctx, c.abort)
	}
	streaming := false
	defer func() {
		// While the rest of a long body is read, the caller may still leave.
		if !streaming {
			stop()
		}
	}()
	c.writeRequest(r)
	response, err := c.readResponse(r)
	if err != nil {
		x.closeBroken(t, c, err)
		return Response{}, err
	}
	x.noteResponse(t)
	response.ConnectTime = connectTime
	if response.Rest != nil {
		streaming = true
		response.Rest = x.newBodyRest(t, c, response.Rest, r.Deadline)
		return response, nil
	}
	// If the upstream responded before it had read the whole request, the connection cannot be
	// reused: it would take the rest of the body for another request. A caller that leaves later
	// must not close the connection: the next request may have taken it already.
	if c.request.sent() && c.reusable(x.clock.Now(), r, response) && stop() {
		x.putIdle(t, c)
		return response, nil
	}
	x.closeBusy(t, c)
	return response, nil
}

// writeRequest sends the request concurrently with the reading of the response, since
// the upstream may respond before it has read the whole request. A request with a small
// body fits the socket's send buffer and is written synchronously.
func (c *connection) writeRequest(r Request) {
	c.request = newSending()
	if len(r.Body) <= maxSingleWriteBodyBytes && len(r.BodyRest) == 0 {
		_, err := c.conn.Write(append(r.Head, r.Body...))
		c.request.finish(err)
		return
	}
	sending := c.request
	go func() {
		_, err := c.conn.Write(r.Head)
		if err == nil {
			_, err = c.conn.Write(r.Body)
		}
		for _, part := range r.BodyRest {
			if err == nil {
				_, err = c.conn.Write(part)
			}
		}
		sending.finish(err)
	}()
}

// readHead reads the head of a response, and the interim responses before it.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.limiter.inHead, c.limiter.headLeft = true, maxHeadBytes
	defer func() { c.limiter.inHead = false }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, shortError(err)
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readResponse reads responses until the one with the request's attempt ID.
func (c *connection) readResponse(r Request) (Response, error) {
	for range maxResponsesRead {
		resp, err := c.readHead(r.Method) //nolint:bodyclose // the connection is closed or kept as a whole
		if err != nil {
			return Response{}, errors.Wrap(err, "reading an answer")
		}
		body, whole, err := readBody(resp, r.ReserveBytes)
		if err != nil {
			return Response{}, err
		}
		if resp.Header.Get(r.AttemptHeader) != r.AttemptID {
			if !whole {
				return Response{}, ErrAttemptMismatch
			}
			continue
		}
		response := Response{Status: resp.StatusCode, Header: resp.Header, Body: body, ContentLength: resp.ContentLength}
		c.willClose = resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		if !whole {
			response.Rest = resp.Body
		}
		return response, nil
	}
	return Response{}, ErrAttemptMismatch
}

// checkHead returns what is wrong with the head of a response that net/http could parse. No
// request asks for an upgrade, so a 101 is as wrong as a status outside 100 to 599.
func checkHead(resp *http.Response) error {
	status := resp.StatusCode
	switch {
	case resp.ProtoMajor != 1, status < http.StatusContinue, status > maxStatus, status == http.StatusSwitchingProtocols:
		return errors.Wrapf(errInvalidStatus, "%s %03d", resp.Proto, status)
	case fieldCount(resp.Header) > maxHeadFields:
		return errTooManyFields
	}
	return nil
}

// shortError returns err, or an error with the beginning of its description if that is longer
// than maxErrorBytes.
func shortError(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(text[:maxErrorBytes] + "...")
	}
	return err
}

func fieldCount(header http.Header) int {
	n := 0
	for _, values := range header {
		n += len(values)
	}
	return n
}

// readBody reads a response's body, but of a body over maxBufferedBytes, or over the bytes
// that may be reserved, only the beginning. It reports whether it read the whole body.
func readBody(resp *http.Response, reserve func(n int) bool) ([]byte, bool, error) {
	// With room for one byte more than the length, the end is read without another buffer.
	limit, growth := maxBufferedBytes+1, bufferGrowthFactor
	if resp.ContentLength >= 0 {
		limit = int(min(resp.ContentLength, maxBufferedBytes)) + 1
		growth = limit
	}
	buf := make([]byte, 0, min(limit, minBufferBytes))
	for {
		if len(buf) == cap(buf) {
			size := min(growth*cap(buf), limit)
			if size == cap(buf) || reserve != nil && !reserve(size-cap(buf)) {
				return buf, false, nil
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, true, nil
		}
		if err != nil {
			return nil, false, errors.Wrap(shortError(err), "reading an answer's body")
		}
	}
}

// bodyRest reads the rest of a body that is streamed.
type bodyRest struct {
	exchanger *Exchanger
	target    cataloger.Target
	conn      *connection
	body      io.ReadCloser
	expiry    clockwork.Timer
}

// newBodyRest returns the rest of a body, whose connection is closed at the deadline. The
// connection's own deadline has no effect while nobody reads the body.
func (x *Exchanger) newBodyRest(t cataloger.Target, c *connection, body io.ReadCloser, deadline time.Time) *bodyRest {
	left := deadline.Add(deadlineGrace).Sub(x.clock.Now())
	return &bodyRest{exchanger: x, target: t, conn: c, body: body, expiry: x.clock.AfterFunc(left, c.abort)}
}

// Read implements io.Reader.
func (r *bodyRest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.exchanger.closeBroken(r.target, r.conn, err)
	}
	return n, err
}

// Close closes the connection, since the body may not have been read to its end.
func (r *bodyRest) Close() error {
	r.expiry.Stop()
	r.exchanger.closeBusy(r.target, r.conn)
	return nil
}

func newBufferedReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, readBufferBytes)
}
