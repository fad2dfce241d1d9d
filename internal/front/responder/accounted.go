package responder

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
)

const (
	// loanKey is the key of the request's loan in its context.
	loanKey = "loan"
	// growthFactor is how many times its length a body takes while its buffer grows.
	growthFactor = 2
)

// errNoRoom is returned for a body for which there is no memory.
var errNoRoom = errors.New("the bodies in progress take all of their memory")

// accountedReader takes memory for what is read.
type accountedReader struct {
	io.Reader
	loan  *accountant.Loan
	clock clockwork.Clock
}

// Read implements io.Reader.
func (r *accountedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && !r.loan.Take(r.clock.Now(), int64(growthFactor*n)) {
		return n, errNoRoom
	}
	return n, err
}
