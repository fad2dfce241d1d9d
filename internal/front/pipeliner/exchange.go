package pipeliner

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

var (
	_ net.Conn = (*exchange)(nil)
	_ net.Conn = (*returnedConn)(nil)
)

type (
	// exchange is one request and its response: a connection in memory, which the server
	// serves. The mutex of its session guards its fields.
	exchange struct {
		session *session
		// head holds the bytes that the server has not read yet.
		head []byte
		// interrupted means that a read is to fail at once, as at a past deadline.
		interrupted bool
		// out holds the bytes of the response that are not written to the caller yet, written
		// says that some are.
		out     bytes.Buffer
		written bool
		// closes means that the response closes the connection by what net/http wrote into it.
		closes bool
		// handled means that the handler has returned.
		handled bool
		// done means that the whole response is in out, broken that it never will be.
		done, broken bool
	}

	// returnedConn is a connection that was handed back to the server for good. in has the
	// bytes that were read ahead.
	returnedConn struct {
		net.Conn
		in io.Reader
	}

	// writer is a response writer that leaves closing the connection to the session.
	writer struct {
		http.ResponseWriter
		exchange    *exchange
		wroteHeader bool
	}
)

// Read implements net.Conn.
func (c *returnedConn) Read(p []byte) (int, error) {
	return c.in.Read(p)
}

// CloseWrite closes the sending side, which net/http does before it closes a connection with
// unread bytes.
func (c *returnedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// serve calls the handler.
func (e *exchange) serve(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	defer func() {
		failure := recover()
		e.session.mu.Lock()
		e.handled = failure == nil
		e.session.mu.Unlock()
		if failure != nil {
			panic(failure)
		}
	}()
	handler.ServeHTTP(&writer{ResponseWriter: w, exchange: e}, r)
}

// end notes that the server has written the whole response, or has given up.
func (e *exchange) end() {
	s := e.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.done || e.broken {
		return
	}
	// Before it calls a handler, net/http answers a request that it refuses, and closes.
	refused := !e.handled && e.out.Len() > 0 && !e.written
	e.done = e.handled || refused
	e.broken = !e.done
	if refused {
		e.closes = true
		s.closing = true
	}
	s.changed.Broadcast()
}

// take returns the bytes to write now. If the response is the last one, its head says that the
// connection is closed. The caller holds the session's mutex.
func (e *exchange) take(last bool) ([]byte, bool) {
	out := bytes.Clone(e.out.Bytes())
	e.out.Reset()
	if e.written || e.closes || !last {
		e.written = true
		return out, last || e.closes
	}
	e.written = true
	line, rest, _ := bytes.Cut(out, []byte("\r\n"))
	return bytes.Join([][]byte{line, []byte("Connection: close"), rest}, []byte("\r\n")), true
}

// Read implements net.Conn. Behind the head it blocks until the session ends.
func (e *exchange) Read(p []byte) (int, error) {
	s := e.session
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case len(e.head) > 0:
			n := copy(p, e.head)
			e.head = e.head[n:]
			return n, nil
		case e.interrupted:
			return 0, os.ErrDeadlineExceeded
		case s.ended || e.done || e.broken:
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

// Write implements net.Conn. It blocks while too much of the response is held.
func (e *exchange) Write(p []byte) (int, error) {
	s := e.session
	s.mu.Lock()
	defer s.mu.Unlock()
	for e.out.Len() >= maxHeldBytes && !s.ended {
		s.changed.Wait()
	}
	if s.ended {
		return 0, net.ErrClosed
	}
	e.out.Write(p)
	s.changed.Broadcast()
	return len(p), nil
}

// Close implements net.Conn.
func (e *exchange) Close() error {
	e.end()
	return nil
}

// LocalAddr implements net.Conn.
func (e *exchange) LocalAddr() net.Addr {
	return e.session.conn.LocalAddr()
}

// RemoteAddr implements net.Conn.
func (e *exchange) RemoteAddr() net.Addr {
	return e.session.conn.RemoteAddr()
}

// SetDeadline implements net.Conn.
func (e *exchange) SetDeadline(t time.Time) error {
	return e.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn. Only a past deadline takes effect, with which net/http
// interrupts a read: what can be read is there already.
func (e *exchange) SetReadDeadline(t time.Time) error {
	e.session.mu.Lock()
	defer e.session.mu.Unlock()
	e.interrupted = !t.IsZero() && t.Before(time.Now())
	e.session.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. The session limits its own writes.
func (e *exchange) SetWriteDeadline(time.Time) error {
	return nil
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.takeClose()
	w.wroteHeader = w.wroteHeader || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the wrapped writer.
func (w *writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// takeClose makes the session close the connection if the handler asks for that, in place of
// this response, behind which others may have begun.
func (w *writer) takeClose() {
	if w.Header().Get("Connection") != "close" {
		return
	}
	w.Header().Del("Connection")
	s := w.exchange.session
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.changed.Broadcast()
}
