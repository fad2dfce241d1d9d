// Package dialer opens TCP connections that detect an unresponsive peer within seconds. A
// peer that lost power or is behind a network partition sends nothing, and a connection to
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
	// The kernel sends a first keep-alive probe to a peer that has been silent for
	// keepAliveIdle, and further probes at keepAliveInterval. It closes the connection
	// when keepAliveCount probes get no answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection. It is slightly longer than the time until the kernel's second
	// retransmission on a link of 100 ms.
	tcpUserTimeout = 2 * time.Second
	// connectTimeout bounds the opening of a connection. It leaves time for two further
	// attempts.
	connectTimeout = 1500 * time.Millisecond
	// firstAttemptTimeout is the timeout of the first attempt to open a connection, and
	// doubles with each further one. It is over twice the longest round trip in the
	// requirements. The kernel resends a lost SYN packet only after a second.
	firstAttemptTimeout = 250 * time.Millisecond
)

// Dial opens a TCP connection with the default timeout, in several attempts. Its Close drops what
// the peer has not received.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return Redial(connectTimeout, func(timeout time.Duration) (net.Conn, error) { return DialTimeout(ctx, address, timeout) })
}

// DialTimeout opens a TCP connection with a timeout. Its Close is that of Dial's connections.
func DialTimeout(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setTCPUserTimeout,
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", address)
	}
	return newWatched(conn.(*net.TCPConn)), nil
}

// Redial calls dial, which opens a connection within a timeout, again each time that this
// times out, until the total timeout. A machine that starts drops the first packet, as a
// lossy link does, and answers the next.
func Redial(timeout time.Duration, dial func(timeout time.Duration) (net.Conn, error)) (net.Conn, error) {
	attempt := firstAttemptTimeout
	for {
		conn, err := dial(min(attempt, timeout))
		timeout -= attempt
		if err == nil || timeout <= 0 || !isTimeout(err) {
			return conn, err
		}
		attempt *= 2
	}
}

// isTimeout reports whether an attempt failed because nothing answered.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// setTCPUserTimeout sets the default limit on the time that sent bytes stay unacknowledged.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, tcpUserTimeout)
}

// setUserTimeout sets the socket option TCP_USER_TIMEOUT, the kernel's limit on the time
// that sent bytes stay unacknowledged. 0 leaves it to the kernel's retries, which take minutes.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "reaching a socket")
	}
	return errors.Wrap(optErr, "bounding unacknowledged bytes")
}
