package pipeliner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// joinedBytes is how much of a body is written in one call with its head.
	joinedBytes = 64 << 10
	// readFromBytes is how much of a streamed body is read at a time.
	readFromBytes = 32 << 10
	// maxUpstreamWait is how long the rest of a response may wait at its upstream for its turn, if
	// there is no memory for it. An upstream cuts off a response that nobody reads for some seconds.
	maxUpstreamWait = time.Second
)

var (
	errGone       = errors.New("the connection has ended")
	errIncomplete = errors.New("the body is not as long as its header says")
	errNotHeld    = errors.New("there is no memory to keep the response until those before it are written")
)

// responseWriter is the http.ResponseWriter of a request that was read ahead.
type responseWriter struct {
	conn    *Conn
	request *request
	ctx     context.Context
	header  http.Header

	mu     sync.Mutex
	status int
	// held is the body, in parts, until the response is begun.
	held      [][]byte
	heldBytes int
	// begun is whether the head was written. Then left is how much of the body is missing,
	// unless it is chunked.
	begun   bool
	chunked bool
	left    int64
	err     error
}

// Discard drops a response of which nothing was written, so that another one may take its place, and
// reports whether it did. w is the http.ResponseWriter of any request.
func Discard(w http.ResponseWriter) bool {
	ahead, ok := w.(*responseWriter)
	return ok && ahead.discard()
}

func (w *responseWriter) discard() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun || w.ctx.Err() != nil {
		return false
	}
	for name := range w.header {
		if name != "Connection" {
			delete(w.header, name)
		}
	}
	w.conn.giveBack(w.request, w.heldBytes)
	w.status, w.held, w.heldBytes, w.err = 0, nil, 0, nil
	return true
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header {
	return w.header
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setStatus(status)
}

func (w *responseWriter) setStatus(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
}

// Write implements http.ResponseWriter. It keeps the body until the response's turn, or waits for
// that if there is no memory.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setStatus(http.StatusOK)
	if w.hold(p) {
		return len(p), nil
	}
	if !w.begun && w.err == nil {
		w.err = w.begin(-1)
	}
	return w.writeBegun(p)
}

// hold keeps a part of the body, if nothing was written yet and there is memory. The caller holds
// w.mu.
func (w *responseWriter) hold(p []byte) bool {
	if w.begun || w.err != nil || !w.conn.takeMore(w.request, len(p)) {
		return false
	}
	w.held = append(w.held, bytes.Clone(p))
	w.heldBytes += len(p)
	return true
}

// writeBegun writes a part of a body whose head was written. The caller holds w.mu.
func (w *responseWriter) writeBegun(p []byte) (int, error) {
	if w.err == nil {
		w.err = w.send(p)
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// ReadFrom implements io.ReaderFrom. The parts of a streamed response are kept until its turn, and
// written as they come from then on. If there is no memory for one before that, it waits at the upstream
// for a short time only.
func (w *responseWriter) ReadFrom(r io.Reader) (int64, error) {
	w.WriteHeader(http.StatusOK)
	read := make(chan struct{})
	var turn sync.WaitGroup
	turn.Go(func() { w.beginAtTurn(read) })
	defer turn.Wait()
	defer close(read)
	buf := make([]byte, readFromBytes)
	total := int64(0)
	for {
		n, err := r.Read(buf)
		total += int64(n)
		if werr := w.writePart(buf[:n]); werr != nil {
			return total, werr
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// beginAtTurn begins the response when its turn comes, unless it has been read whole before that.
func (w *responseWriter) beginAtTurn(read <-chan struct{}) {
	select {
	case <-w.request.turn:
	case <-w.ctx.Done():
		return
	case <-read:
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.begun && w.err == nil {
		w.err = w.begin(-1)
	}
}

// writePart keeps or writes a part of a streamed body.
func (w *responseWriter) writePart(p []byte) error {
	if w.tryPart(p) {
		return w.currentErr()
	}
	waited := w.conn.pipeliner.clock.NewTimer(maxUpstreamWait)
	defer waited.Stop()
	select {
	case <-w.request.turn:
	case <-w.ctx.Done():
		return errGone
	case <-waited.Chan():
		return errNotHeld
	}
	_, err := w.Write(p)
	return err
}

// tryPart keeps or writes a part without waiting for the turn, and reports whether it could.
func (w *responseWriter) tryPart(p []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun || w.err != nil {
		_, _ = w.writeBegun(p)
		return true
	}
	return w.hold(p)
}

func (w *responseWriter) currentErr() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// finish writes what is left of the response.
func (w *responseWriter) finish() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setStatus(http.StatusOK)
	switch {
	case w.err != nil:
		return w.err
	case !w.begun:
		return w.begin(w.heldBytes)
	case w.chunked:
		_, err := w.conn.Write([]byte("0\r\n\r\n"))
		return err
	case w.left != 0:
		return errIncomplete
	}
	return nil
}

// begin waits for the turn, and writes the head with the body so far. Length is that of the
// whole body, -1 if it is not known. The caller holds w.mu.
func (w *responseWriter) begin(length int) error {
	select {
	case <-w.request.turn:
	case <-w.ctx.Done():
		return errGone
	}
	if w.ctx.Err() != nil {
		return errGone
	}
	w.begun = true
	wantsClose := strings.EqualFold(w.header.Get("Connection"), "close")
	w.header.Del("Connection")
	w.header.Del("Transfer-Encoding")
	if w.conn.closesConnection(wantsClose) {
		w.header.Set("Connection", "close")
	}
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if err := w.frame(length); err != nil {
		return err
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %03d %s\r\n", w.status, http.StatusText(w.status))
	// Writing to a bytes.Buffer never fails.
	_ = w.header.Write(&head)
	head.WriteString("\r\n")
	held := w.held
	w.held = nil
	if !w.chunked && hasBody(w.status) && w.heldBytes <= joinedBytes {
		for _, part := range held {
			_, _ = head.Write(part)
		}
		w.left -= int64(w.heldBytes)
		held = nil
	}
	if _, err := w.conn.Write(head.Bytes()); err != nil {
		return err
	}
	for _, part := range held {
		if err := w.send(part); err != nil {
			return err
		}
	}
	if length >= 0 && w.left != 0 {
		return errIncomplete
	}
	return nil
}

// frame sets the header that says where the body ends.
func (w *responseWriter) frame(length int) error {
	text := w.header.Get("Content-Length")
	switch {
	case !hasBody(w.status):
		w.header.Del("Content-Length")
	case text != "":
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errIncomplete
		}
		w.left = n
	case length >= 0:
		w.left = int64(length)
		w.header.Set("Content-Length", strconv.Itoa(length))
	default:
		w.chunked = true
		w.header.Set("Transfer-Encoding", "chunked")
	}
	return nil
}

// send writes a part of the body.
func (w *responseWriter) send(p []byte) error {
	if len(p) == 0 || !hasBody(w.status) {
		return nil
	}
	if w.chunked {
		p = fmt.Appendf(nil, "%x\r\n%s\r\n", len(p), p)
	} else if w.left -= int64(len(p)); w.left < 0 {
		return errIncomplete
	}
	_, err := w.conn.Write(p)
	return err
}

// hasBody reports whether a response with a status has a body.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
