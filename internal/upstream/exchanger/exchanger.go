// Package exchanger sends one request to one upstream and returns its whole
// answer. It never sends a request twice. An answer that belongs to another
// request is thrown away, and so is the connection on which anything
// unexpected came.
//
// # Usage
//
//	x, cleanup := exchanger.New(clock)
//	defer cleanup()
//	answer, err := x.Exchange(ctx, target, request)
//	if errors.Is(err, exchanger.ErrUnsent) {
//		// Nothing was sent, so nothing ran.
//	}
package exchanger

import (
	"bufio"
	"bytes"
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
	// answerBytes is how much of an answer is held back until it is whole; a
	// longer one is passed on as it comes.
	answerBytes = 256 << 10
	// foreignAnswers bounds the late answers to earlier requests that are read
	// over on one connection.
	foreignAnswers = 3
	// closeSlack is added to a request's deadline, so that an upstream's own
	// answer at the deadline is read and its connection kept.
	closeSlack = 30 * time.Millisecond
)

// The errors of an exchange. Any other error means that the request may have
// run.
var (
	ErrNotSent         = errors.New("nothing was sent to the upstream")
	ErrAttemptMismatch = errors.New("the answer belongs to another request")

	errLeft = errors.New("the upstream left before the request was sent")
)

type (
	// Request is one request as it is written. Attempt must come back in the
	// header that is named AttemptHeader. Usable tells whether the upstream may still be
	// sent to; it is asked right before the first byte, and nil stands for yes.
	Request struct {
		Method        string
		Head          []byte
		Body          []byte
		AttemptHeader string
		AttemptID     string
		Deadline      time.Time
		Usable        func() bool
	}

	// Response is an upstream's answer. Rest is nil when Body is whole, and must
	// be closed otherwise.
	Response struct {
		Status        int
		Header        http.Header
		Body          []byte
		Rest          io.ReadCloser
		ContentLength int64
		// ConnectTime is the time that opening a connection took, 0 on a kept one.
		ConnectTime time.Duration
	}

	// Exchanger keeps connections to upstreams.
	Exchanger struct {
		clock clockwork.Clock

		mu    sync.Mutex
		pools map[poolKey]*pool
	}
)

// New returns an exchanger without connections.
func New(clock clockwork.Clock) (*Exchanger, func()) {
	x := &Exchanger{clock: clock, pools: make(map[poolKey]*pool)}
	return x, func() { x.CloseIdleExcept(nil) }
}

// CloseIdleExcept closes the idle connections to all but these targets.
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

// Preconnect opens a connection ahead of need, and returns the time that it took.
func (x *Exchanger) Preconnect(ctx context.Context, t cataloger.Target) (time.Duration, error) {
	link, opening, err := x.open(ctx, t)
	if err != nil {
		return 0, err
	}
	link.until = x.clock.Now().Add(idleTime)
	x.put(t, link)
	return opening, nil
}

// Exchange sends a request and returns the answer. The end of ctx closes the
// connection, which tells the upstream to stop.
func (x *Exchanger) Exchange(ctx context.Context, t cataloger.Target, r Request) (Response, error) {
	link, opening, err := x.link(ctx, t)
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, link.close)
	defer stop()
	if err := link.conn.SetDeadline(r.Deadline.Add(closeSlack)); err != nil {
		link.close()
		return Response{}, errors.Mark(errors.Wrap(err, "setting a deadline"), ErrNotSent)
	}
	if r.Usable != nil && !r.Usable() {
		link.close()
		return Response{}, errors.Mark(errLeft, ErrNotSent)
	}
	written := link.write(r)
	answer, err := link.answer(r)
	if err != nil {
		link.close()
		return Response{}, err
	}
	answer.ConnectTime = opening
	if answer.Rest != nil {
		return answer, nil
	}
	select {
	case err := <-written:
		if err == nil && link.reusable(x.clock.Now(), answer) {
			x.put(t, link)
			return answer, nil
		}
	default:
		// The upstream answered before it had read the whole request.
	}
	link.close()
	return answer, nil
}

// write sends the request beside the reading of its answer, which may come
// first. A small one fits the socket's buffer and is written at once.
func (l *link) write(r Request) <-chan error {
	written := make(chan error, 1)
	if len(r.Body) <= smallBody {
		_, err := l.conn.Write(append(r.Head, r.Body...))
		written <- err
		return written
	}
	go func() {
		_, err := l.conn.Write(r.Head)
		if err == nil {
			_, err = l.conn.Write(r.Body)
		}
		written <- err
	}()
	return written
}

// answer reads until the answer to this request.
func (l *link) answer(r Request) (Response, error) {
	for range foreignAnswers {
		l.meter.head, l.meter.left = true, headBytes
		resp, err := http.ReadResponse(l.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // the connection is closed or kept as a whole
		if err != nil {
			return Response{}, errors.Wrap(err, "reading an answer")
		}
		l.meter.head = false
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, whole, err := readBody(resp)
		if err != nil {
			return Response{}, err
		}
		if resp.Header.Get(r.AttemptHeader) != r.AttemptID {
			if !whole {
				return Response{}, ErrAttemptMismatch
			}
			continue
		}
		answer := Response{Status: resp.StatusCode, Header: resp.Header, Body: body, ContentLength: resp.ContentLength}
		l.closing = resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		if !whole {
			answer.Rest = &rest{link: l, body: resp.Body}
		}
		return answer, nil
	}
	return Response{}, ErrAttemptMismatch
}

// readBody reads an answer's body, and reports whether that was all of it.
func readBody(resp *http.Response) ([]byte, bool, error) {
	var buf bytes.Buffer
	if n := resp.ContentLength; n > 0 && n <= answerBytes {
		buf.Grow(int(n) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, answerBytes+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "reading an answer's body")
	}
	if n <= answerBytes {
		return buf.Bytes(), true, nil
	}
	return buf.Bytes(), false, nil
}

// rest is what is left of a long answer.
type rest struct {
	link *link
	body io.ReadCloser
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	return r.body.Read(p)
}

// Close ends the connection, since a long answer may not have been read whole.
func (r *rest) Close() error {
	r.link.close()
	return nil
}

func newReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, readerBytes)
}
