package dialer

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/waxwingloom/waxwingloom/internal/kernel/closer"
)

const (
	// checkInterval is the interval between checks of a connection with bytes on their way.
	checkInterval = tcpUserTimeout / 8
	// minWindowBytes is the least that a peer takes without reading.
	minWindowBytes = 2 << 10
	// minProbes is how many probes of a closed window get no answer before the peer is gone.
	minProbes = 2
)

// watched is a connection to a peer that may stop reading. TCP_USER_TIMEOUT also ends a connection
// whose receive window is closed, although the peer answers each probe of it. So the connection
// does without it, and is checked, from a write on that may fill the window until all bytes have
// arrived.
type watched struct {
	*net.TCPConn
	// dropping is the connection as it is to be closed.
	dropping net.Conn

	mu sync.Mutex
	// check is the timer of the next check, nil before the first.
	check *time.Timer
	// since is when bytes began to be on their way, zero if there are none.
	since time.Time
	// writes is the number of writes in progress.
	writes int
	// lifted is whether the connection does without TCP_USER_TIMEOUT.
	lifted bool
	// lost is whether the peer has fallen silent.
	lost   bool
	closed bool
}

func newWatched(c *net.TCPConn) *watched {
	return &watched{TCPConn: c, dropping: closer.NewDropping(c)}
}

// Read implements net.Conn.
func (w *watched) Read(p []byte) (int, error) {
	n, err := w.TCPConn.Read(p)
	return n, w.causeOf(err)
}

// Write implements net.Conn.
func (w *watched) Write(p []byte) (int, error) {
	w.beginWrite(len(p) > minWindowBytes)
	defer w.endWrite()
	n, err := w.TCPConn.Write(p)
	return n, w.causeOf(err)
}

// ReadFrom implements io.ReaderFrom.
func (w *watched) ReadFrom(r io.Reader) (int64, error) {
	w.beginWrite(true)
	defer w.endWrite()
	n, err := w.TCPConn.ReadFrom(r)
	return n, w.causeOf(err)
}

// Close implements net.Conn.
func (w *watched) Close() error {
	w.mu.Lock()
	w.closed = true
	if w.check != nil {
		w.check.Stop()
	}
	w.mu.Unlock()
	return w.dropping.Close()
}

// causeOf returns the error of a call on the connection: after the peer has fallen silent the one
// that the kernel reports for that.
func (w *watched) causeOf(err error) error {
	if err == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return syscall.ETIMEDOUT
	}
	return err
}

// beginWrite begins the checks for a write that may fill the peer's window.
func (w *watched) beginWrite(mayFill bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	if w.closed || !mayFill && !w.lifted {
		return
	}
	w.setLifted(true)
	if !w.since.IsZero() {
		return
	}
	w.since = time.Now()
	if w.check == nil {
		w.check = time.AfterFunc(checkInterval, w.checkPeer)
		return
	}
	w.check.Reset(checkInterval)
}

func (w *watched) endWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes--
}

// checkPeer resets a connection whose peer has fallen silent, and ends the checks when nothing is on
// its way.
func (w *watched) checkPeer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
	case w.writes == 0 && closer.Unacknowledged(w.TCPConn) == 0:
		w.since = time.Time{}
		w.setLifted(false)
	case w.isSilent():
		w.lost, w.closed = true, true
		_ = closer.Abort(w.TCPConn)
	default:
		w.check.Reset(checkInterval)
	}
}

// isSilent reports whether the peer has acknowledged nothing for too long. A closed window is not
// probed for seconds at last, so only probes without an answer count then. The caller holds w.mu.
func (w *watched) isSilent() bool {
	info, err := w.info()
	if err != nil || time.Since(w.since) < tcpUserTimeout || time.Duration(info.Last_ack_recv)*time.Millisecond < tcpUserTimeout {
		return false
	}
	if info.Snd_wnd == 0 {
		return info.Probes >= minProbes
	}
	return info.Unacked > 0
}

func (w *watched) info() (*unix.TCPInfo, error) {
	raw, err := w.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "reaching a socket")
	}
	var info *unix.TCPInfo
	var optErr error
	err = raw.Control(func(fd uintptr) {
		info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Wrap(errors.CombineErrors(err, optErr), "reading a socket's state")
}

// setLifted sets whether the connection does without TCP_USER_TIMEOUT. The caller holds w.mu.
func (w *watched) setLifted(lifted bool) {
	if w.lifted == lifted {
		return
	}
	w.lifted = lifted
	timeout := tcpUserTimeout
	if lifted {
		timeout = 0
	}
	if raw, err := w.SyscallConn(); err == nil {
		// An error means that the connection has ended.
		_ = setUserTimeout(raw, timeout)
	}
}
