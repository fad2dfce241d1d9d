package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

const (
	// maxAhead is the number of requests of one connection that are in progress at once.
	// Further ones stay in the connection.
	maxAhead = 8
	// maxHeadBytes is the size of the largest head that is read ahead.
	maxHeadBytes = 16 << 10
	// maxHeldBytes is how much of a response is held until the responses before it are
	// written. The writer of a longer one waits.
	maxHeldBytes = 32 << 10
	// writeTimeout bounds a write to the caller, for callers that stop reading.
	writeTimeout = 10 * time.Second
)

// errHeadTooLong is returned for a head that is not read ahead.
var errHeadTooLong = errors.New("the head is too long to be read ahead")

// session is a connection that was taken over. One goroutine reads requests, another writes
// responses.
type session struct {
	pipeliner *Pipeliner
	conn      net.Conn
	in        *bufio.Reader

	mu sync.Mutex
	// changed is signaled at each change of the fields below, and of those of exchanges.
	changed *sync.Cond
	// queue holds the requests that have begun and are not answered, in their order.
	queue []*exchange
	// closing means that no further request begins, and that the last response of those that
	// have begun closes the connection.
	closing bool
	// ended means that nothing more is read or written.
	ended bool
}

func newSession(p *Pipeliner, conn net.Conn, in *bufio.Reader) *session {
	s := &session{pipeliner: p, conn: conn, in: in}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// run serves the connection from the request with the given head on, until it is closed or
// handed back. ctx ends when the caller has left.
func (s *session) run(ctx context.Context, head []byte) {
	stop := context.AfterFunc(ctx, s.abort)
	written := make(chan struct{})
	go func() {
		defer close(written)
		s.writeResponses()
	}()
	s.begin(head)
	rest := s.readRequests()
	if rest == nil {
		<-written
		s.abort()
		stop()
		return
	}
	// The context ends with this call, and the connection stays in use.
	stop()
	s.mu.Lock()
	s.ended = true
	s.changed.Broadcast()
	s.mu.Unlock()
	<-written
	s.pipeliner.hand(&returnedConn{Conn: s.conn, in: io.MultiReader(bytes.NewReader(rest), s.in)})
}

// hand gives a connection to the server, or closes it if the server has ended.
func (p *Pipeliner) hand(c net.Conn) bool {
	select {
	case p.accepted <- c:
		return true
	case <-p.closed:
		_ = c.Close()
		return false
	}
}

// readRequests begins the requests that the caller sends. It returns nil when no further one
// is to be read, or the bytes that were read of a request with which the connection is to be
// handed back, once all before it are answered.
func (s *session) readRequests() []byte {
	for {
		head, err := s.readHead()
		if errors.Is(err, errHeadTooLong) {
			return s.handBack(head)
		}
		if err != nil {
			s.endReading(err)
			return nil
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil || !s.readsOn(r) {
			return s.handBack(head)
		}
		alone := !s.pipeliner.routes.MayRunAhead(r.Host, r.URL.EscapedPath())
		if alone && !s.waitBelow(1) || !alone && !s.waitBelow(maxAhead) {
			return nil
		}
		s.begin(head)
		if alone && !s.waitBelow(1) {
			return nil
		}
	}
}

// readsOn reports whether reading goes on at the byte after the head of a request.
func (s *session) readsOn(r *http.Request) bool {
	if r.ContentLength != 0 || r.Close || !r.ProtoAtLeast(1, 1) {
		return false
	}
	for name := range r.Header {
		if concernsConnection(name) {
			return false
		}
	}
	return true
}

// readHead reads the head of the next request. While nothing of it has come, the sweeper
// closes the connection when it is idle for too long.
func (s *session) readHead() ([]byte, error) {
	if _, err := s.in.Peek(1); err != nil {
		return nil, errors.Wrap(err, "waiting for a request")
	}
	// The error is ignored: if the connection is closed, reading fails too.
	_ = s.conn.SetReadDeadline(time.Now().Add(s.pipeliner.headTimeout))
	var head []byte
	for {
		line, err := s.in.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > maxHeadBytes:
			return head, errHeadTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, errors.Wrap(err, "reading a head")
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return head, errors.Wrap(s.conn.SetReadDeadline(time.Time{}), "reading a head")
		}
	}
}

// handBack waits until all requests that have begun are answered, and returns rest, or nil if
// the connection is closed meanwhile.
func (s *session) handBack(rest []byte) []byte {
	if !s.waitBelow(1) {
		return nil
	}
	return rest
}

// waitBelow waits until fewer than n requests are in progress. It returns false if no further
// one is to begin.
func (s *session) waitBelow(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) >= n && !s.closing && !s.ended {
		s.changed.Wait()
	}
	return !s.closing && !s.ended
}

// begin hands a request to the server, unless no further one is to begin.
func (s *session) begin(head []byte) {
	s.mu.Lock()
	if s.closing || s.ended {
		s.mu.Unlock()
		return
	}
	e := &exchange{session: s, head: head}
	s.queue = append(s.queue, e)
	if len(s.queue) > 1 {
		s.pipeliner.ahead.Add(1)
	}
	s.pipeliner.sweeper.Track(s.conn, http.StateActive)
	sweeper.Hide(s.conn)
	s.mu.Unlock()
	if !s.pipeliner.hand(e) {
		s.abort()
	}
}

// endReading notes that no further request can be read. If the caller has left, what it asked
// for is canceled; a caller that was too slow still gets its responses.
func (s *session) endReading(err error) {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		s.abort()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.changed.Broadcast()
}

// abort closes the connection and cancels the requests in progress.
func (s *session) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.changed.Broadcast()
	_ = s.conn.Close()
}

// writeResponses writes responses in order until the connection ends.
func (s *session) writeResponses() {
	for {
		out, last, ok := s.nextOutput()
		if !ok {
			return
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := s.conn.Write(out); err != nil || last {
			s.abort()
			return
		}
		_ = s.conn.SetWriteDeadline(time.Time{})
	}
}

// nextOutput waits for bytes of the response that is next. It returns them, and whether the
// connection is to be closed after them. ok is false when nothing more is to be written.
func (s *session) nextOutput() (out []byte, last, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.ended:
			return nil, false, false
		case len(s.queue) == 0 && s.closing:
			return nil, true, true
		case len(s.queue) > 0:
			e := s.queue[0]
			if e.broken {
				// The caller must not take the response for complete.
				return nil, true, true
			}
			if e.out.Len() == 0 && !e.done {
				break
			}
			out, last = e.take(s.closing && len(s.queue) == 1)
			if e.done {
				s.remove(e)
			}
			s.changed.Broadcast()
			return out, last && e.done, true
		}
		s.changed.Wait()
	}
}

// remove removes the request that was answered. The caller holds s.mu.
func (s *session) remove(e *exchange) {
	s.queue = s.queue[1:]
	if len(s.queue) == 0 && !e.closes {
		s.pipeliner.sweeper.Track(s.conn, http.StateIdle)
	}
}
