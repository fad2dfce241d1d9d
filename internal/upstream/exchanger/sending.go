package exchanger

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// sending is the sending of a request, which may go on while its response is read.
type sending struct {
	done chan struct{}
	// err is valid once done is closed.
	err error
}

func newSending() *sending {
	return &sending{done: make(chan struct{})}
}

func (s *sending) finish(err error) {
	s.err = err
	close(s.done)
}

// sent reports whether the whole request has been sent.
func (s *sending) sent() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// Read implements io.Reader. It returns io.EOF only if the connection ended in order. Of a
// connection that was reset or timed out, the kernel tells one caller, and the sending of the
// request may be the one: a read then returns the end, and a response without a length would look
// complete.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	if errors.Is(err, io.EOF) && c.request != nil {
		if broken := c.stopSending(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// stopSending ends the sending of the request, and returns the error with which the connection
// broke, or nil.
func (c *connection) stopSending() error {
	if err := c.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "ending the sending of the request")
	}
	<-c.request.done
	if err := c.request.err; err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrap(err, "the connection broke while the request was sent")
	}
	return nil
}
