package messenger

import (
	"context"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
)

// TestDialGoesOn checks that a connection whose dial takes longer than its caller allows is
// there for the next one. Callers with a short timeout would otherwise never reach a peer in
// a distant region.
func TestDialGoesOn(t *testing.T) {
	t.Parallel()
	here, there := net.Pipe()
	t.Cleanup(func() { _, _ = here.Close(), there.Close() })
	session, err := yamux.Client(here, yamuxConfig())
	assert.NilError(t, err)
	begun, answer := make(chan struct{}), make(chan struct{})
	p := &connPool{conns: make(map[string]*peerConn), dialing: make(map[string]*dialing)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.dial = func(ctx context.Context, _ string) (*peerConn, error) {
		close(begun)
		<-answer
		return &peerConn{session: session}, ctx.Err()
	}
	t.Cleanup(p.close)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	_, err = p.get(ctx, "peer")
	assert.ErrorIs(t, err, context.Canceled)
	close(answer)
	c, err := p.get(t.Context(), "peer")
	assert.NilError(t, err)
	assert.Assert(t, c != nil)
}
