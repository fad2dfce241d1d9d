package receiver

import (
	"io"
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
)

// pieceBytes is how much of a response is written at a time. A caller that reads it within the
// account's shortest standstill makes progress.
const pieceBytes = 64 << 10

// accountedBody is the body of a streamed response. While it waits for the upstream, the
// caller's connection stands still through no fault of the caller, and is not closed for that.
type accountedBody struct {
	io.Reader
	holder *accountant.Holder
	clock  clockwork.Clock
}

// Read implements io.Reader.
func (r *accountedBody) Read(p []byte) (int, error) {
	r.holder.Enter(r.clock.Now(), accountant.Running)
	n, err := r.Reader.Read(p)
	r.holder.Enter(r.clock.Now(), accountant.Writing)
	return n, err
}

// writePieces writes a body, and notes after each piece that the caller makes progress.
func (r *Receiver) writePieces(w http.ResponseWriter, body []byte, holder *accountant.Holder) error {
	for len(body) > 0 {
		n := min(len(body), pieceBytes)
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		holder.Enter(r.clock.Now(), accountant.Writing)
	}
	return nil
}
