package sweeper

import (
	"bytes"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
)

const (
	// headFactor is how many times its length a head takes: the bytes and their copies.
	headFactor = 2
	// fieldBytes is what a header field takes beside its text.
	fieldBytes = 128
	// maxEvicted is how many connections may be open beyond the account's limit because they are
	// being closed to make room.
	maxEvicted = 4
	// roomTimeout is how long a new connection waits until those have closed. One of them may be
	// writing a refusal.
	roomTimeout = 100 * time.Millisecond
)

// evict makes the reader fail, and a write of a response too, so that the connection closes. A
// request whose body is being read is refused before that.
func (c *conn) evict(e accountant.Eviction) {
	c.mu.Lock()
	c.evicted = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	if e.State == accountant.Writing {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	c.sweeper.log.Info("closing a connection to make room for others", "caller", c.RemoteAddr().String(), "state", e.State.String(),
		"bytes", e.Bytes, "standstill", e.Standstill)
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// takeHead enters a part of a head into the account, and reports whether there is room.
func (c *conn) takeHead(now time.Time, part []byte) bool {
	if c.holder == nil {
		return true
	}
	n := int64(headFactor*len(part) + fieldBytes*bytes.Count(part, []byte{'\n'}))
	if !c.holder.Take(now, n) {
		return false
	}
	c.headBytes += n
	return true
}

// releaseHead returns what the heads took, once the response has been written.
func (c *conn) releaseHead() {
	c.holder.Give(c.headBytes)
	c.headBytes = 0
	c.holder.Enter(c.sweeper.clock.Now(), accountant.Idle)
}

// noteEvicted notes that the account closes a connection.
func (s *Sweeper) noteEvicted(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closed {
		s.evicted[c] = struct{}{}
	}
}

// noteClosed notes that a connection has given its descriptor back.
func (s *Sweeper) noteClosed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closed = true
	if _, ok := s.evicted[c]; !ok {
		return
	}
	delete(s.evicted, c)
	select {
	case s.room <- struct{}{}:
	default:
	}
}

// awaitRoom waits until at most maxEvicted connections that are being closed to make room are open,
// for at most roomTimeout.
func (s *Sweeper) awaitRoom() {
	if s.countEvicted() <= maxEvicted {
		return
	}
	timeout := s.clock.NewTimer(roomTimeout)
	defer timeout.Stop()
	for s.countEvicted() > maxEvicted {
		select {
		case <-s.room:
		case <-timeout.Chan():
			return
		}
	}
}

func (s *Sweeper) countEvicted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.evicted)
}
