package dialer_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/dialer"
)

const (
	// userTimeout is the time for which sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// probeInterval is the time between two probes of a silent peer.
	probeInterval = time.Second
)

// pair returns both ends of a connection, whose peer has a small buffer.
func pair(t *testing.T) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return control(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	conn, err = dialer.Dial(t.Context(), ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	accepted, err := ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return conn, accepted.(*net.TCPConn)
}

func control(raw syscall.RawConn, f func(fd int) error) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = f(int(fd)) })
	return errors.CombineErrors(err, optErr)
}

// losePower makes an end of a connection answer nothing: its kernel drops all that arrives.
func losePower(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	assert.NilError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	assert.NilError(t, control(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}))
}

// TestLivePeerReadsNothing guards against a connection to a live peer that is given up because the peer
// reads nothing for longer than bytes may stay unacknowledged.
func TestLivePeerReadsNothing(t *testing.T) {
	t.Parallel()
	conn, peer := pair(t)
	const sent = 4 << 20
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, sent))
		written <- err
	}()
	read := int64(0)
	// It reads a part and stops, twice.
	for range 2 {
		time.Sleep(2 * userTimeout)
		n, err := io.CopyN(io.Discard, peer, 1<<20)
		assert.NilError(t, err, "after %d bytes", read+n)
		read += n
	}
	n, err := io.CopyN(io.Discard, peer, sent-read)
	assert.NilError(t, err, "after %d bytes", read+n)
	assert.NilError(t, <-written)
}

// TestPeerLosesPower guards against a peer that lost power and is noticed later than bytes may stay
// unacknowledged, also if it had stopped reading.
func TestPeerLosesPower(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// sent is written before the peer loses power, and the peer reads it if reads is set. Then
		// last is written.
		sent  int
		reads bool
		last  int
		limit time.Duration
	}{
		{"short request", 0, true, 1, userTimeout + probeInterval},
		{"long request", 0, true, 64 << 10, userTimeout + probeInterval},
		{"request after a long one", 1 << 20, true, 1, userTimeout + probeInterval},
		{"no request after a long one", 1 << 20, true, 0, userTimeout + probeInterval},
		// A closed window is probed at intervals that double.
		{"peer that had stopped reading", 4 << 20, false, 0, 4 * userTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			conn, peer := pair(t)
			written := make(chan error, 2)
			write := func(n int) {
				_, err := conn.Write(make([]byte, n))
				written <- err
			}
			go write(tc.sent)
			if tc.reads {
				_, err := io.CopyN(io.Discard, peer, int64(tc.sent))
				assert.NilError(t, err)
				assert.NilError(t, <-written)
			} else {
				time.Sleep(userTimeout / 2)
			}
			losePower(t, peer)
			start := time.Now()
			if tc.last > 0 {
				go write(tc.last)
			}
			_, err := conn.Read(make([]byte, 1))
			took := time.Since(start)
			// The kernel tells the reader or the writer.
			if errors.Is(err, io.EOF) {
				err = <-written
			}
			assert.ErrorIs(t, err, syscall.ETIMEDOUT)
			t.Logf("noticed after %v", took)
			assert.Assert(t, took < tc.limit)
		})
	}
}
