package messenger

import (
	"context"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// A peer that starts at the same time drops the packets that arrive before it listens. Waiting for
// the kernel to send them again cost every VM of a fleet that starts together a second.
func TestPeerStartsAtTheSameTime(t *testing.T) {
	t.Parallel()
	here, there := net.Pipe()
	defer func() { _, _ = here.Close(), there.Close() }()
	attempts := 0
	m := &Messenger{connectOnce: func(ctx context.Context, _, _ string) (net.Conn, error) {
		attempts++
		if attempts == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return here, nil
	}}
	conn, err := m.connect(context.Background(), "peer")
	assert.NilError(t, err)
	assert.Equal(t, conn, here)
	assert.Equal(t, attempts, 2)
}

// An address that refuses connections must not be asked again within one call, nor one whose
// caller has given up.
func TestConnectGivesUp(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	attempts := 0
	refusing := &Messenger{connectOnce: func(context.Context, string, string) (net.Conn, error) {
		attempts++
		return nil, syscall.ECONNREFUSED
	}}
	_, err := refusing.connect(ctx, "peer")
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Equal(t, attempts, 1)
	abandoned := &Messenger{connectOnce: func(ctx context.Context, _, _ string) (net.Conn, error) {
		attempts++
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	_, err = abandoned.connect(ctx, "peer")
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, attempts, 2)
}
