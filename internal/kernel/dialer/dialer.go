// Package dialer opens TCP connections that notice a silent peer. A peer
// without power, or behind a partition, answers nothing, and a connection to
// it would otherwise hang for minutes.
//
// # Usage
//
//	conn, err := dialer.Dial(ctx, "10.0.0.1:8142")
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// probeIdle is the silence after which the kernel probes a peer, and
	// probeEvery the time between its probes.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
	// unackedTime ends a connection whose peer acknowledges nothing. It is a
	// little more than the kernel's second resend on a link of 100 ms.
	unackedTime = 2 * time.Second
	// openTime bounds the opening of a connection: an opening packet that is
	// lost is sent again after a second.
	openTime = 1500 * time.Millisecond
)

// Dial opens a connection within the usual time.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return DialTimeout(ctx, address, openTime)
}

// DialTimeout opens a connection within a time.
func DialTimeout(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: within,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
		},
		Control: limitUnacked,
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	return conn, errors.Wrapf(err, "connecting to %s", address)
}

// limitUnacked sets the kernel's bound on unacknowledged bytes.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "reaching a socket")
	}
	return errors.Wrap(failed, "bounding unacknowledged bytes")
}
