package receiver

import (
	"io"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
)

// accountedRest is the rest of a streamed response. While it waits for the upstream, the
// caller's connection stands still through no fault of the caller, and is not closed for that.
type accountedRest struct {
	io.ReadCloser
	holder *accountant.Holder
	clock  clockwork.Clock
}

// Read implements io.Reader.
func (r *accountedRest) Read(p []byte) (int, error) {
	r.holder.Enter(r.clock.Now(), accountant.Running)
	n, err := r.ReadCloser.Read(p)
	r.holder.Enter(r.clock.Now(), accountant.Writing)
	return n, err
}
