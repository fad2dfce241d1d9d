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
	"time"
)

const (
	// maxBufferedBytes is how much of a response is kept until its turn. The handler waits
	// with the rest.
	maxBufferedBytes = 64 << 10
)

var (
	errGone       = errors.New("the connection has ended")
	errIncomplete = errors.New("the body is not as long as its header says")
)

// responseWriter is the http.ResponseWriter of a request that was read ahead.
type responseWriter struct {
	conn    *Conn
	request *request
	ctx     context.Context
	header  http.Header
	status  int
	body    []byte
	// begun is whether the head was written. Then left is how much of the body is missing,
	// unless it is chunked.
	begun   bool
	chunked bool
	left    int64
	err     error
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header {
	return w.header
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if !w.begun && len(w.body)+len(p) <= maxBufferedBytes && w.conn.takeMore(w.request, len(p)) {
		w.body = append(w.body, p...)
		return len(p), nil
	}
	if !w.begun {
		w.err = w.begin(-1)
	}
	if w.err == nil {
		w.err = w.send(p)
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// ReadFrom implements io.ReaderFrom. A streamed response is not kept: its parts are written as
// they come, once its turn has come.
func (w *responseWriter) ReadFrom(r io.Reader) (int64, error) {
	w.WriteHeader(http.StatusOK)
	if !w.begun && w.err == nil {
		w.err = w.begin(-1)
	}
	if w.err != nil {
		return 0, w.err
	}
	return io.Copy(struct{ io.Writer }{w}, r)
}

// finish writes what is left of the response.
func (w *responseWriter) finish() error {
	w.WriteHeader(http.StatusOK)
	switch {
	case w.err != nil:
		return w.err
	case !w.begun:
		return w.begin(len(w.body))
	case w.chunked:
		_, err := w.conn.Write([]byte("0\r\n\r\n"))
		return err
	case w.left != 0:
		return errIncomplete
	}
	return nil
}

// begin waits for the turn, and writes the head with the body so far. Length is that of the
// whole body, -1 if it is not known.
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
	body := w.body
	w.body = nil
	if err := w.frame(length); err != nil {
		return err
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %03d %s\r\n", w.status, http.StatusText(w.status))
	// Writing to a bytes.Buffer never fails.
	_ = w.header.Write(&head)
	head.WriteString("\r\n")
	if w.chunked {
		if _, err := w.conn.Write(head.Bytes()); err != nil {
			return err
		}
		return w.send(body)
	}
	if !hasBody(w.status) {
		body = nil
	}
	w.left -= int64(len(body))
	if _, err := w.conn.Write(append(head.Bytes(), body...)); err != nil {
		return err
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
