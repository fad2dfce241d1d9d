package runner

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

const (
	// maxBacklogWait bounds the wait for connections that the server has not accepted yet. It
	// exceeds the time for which the CPU of a small VM may stall.
	maxBacklogWait       = 200 * time.Millisecond
	backlogCheckInterval = time.Millisecond
)

type (
	// webServer serves HTTP on a listener. When its context ends, it calls beginStop and waits
	// up to shutdownTimeout for requests in progress. http.Server.Shutdown is not used: it
	// closes connections from outside that net/http reports as idle, on which a request
	// may be arriving.
	webServer struct {
		server          *http.Server
		listener        net.Listener
		sweeper         *sweeper.Sweeper
		beginStop       func()
		shutdownTimeout func() time.Duration
		clock           clockwork.Clock
		log             *slog.Logger
	}

	// closingWriter tells callers that their connection ends, once the server stops.
	closingWriter struct {
		http.ResponseWriter
		stopping    *atomic.Bool
		wroteHeader bool
	}
)

// newWebServer returns a server whose responses end their connections once it stops. The
// idle timeout is that of server.
func newWebServer(
	server *http.Server, l net.Listener, shutdownTimeout func() time.Duration, clock clockwork.Clock, log *slog.Logger, opts ...sweeper.Option,
) *webServer {
	sweep := sweeper.New(func() time.Duration { return 0 }, clock, log, opts...)
	stopping := &atomic.Bool{}
	handler := server.Handler
	server.Handler = sweep.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cw := &closingWriter{ResponseWriter: w, stopping: stopping}
		handler.ServeHTTP(cw, r)
		cw.announceClose()
	}))
	server.ConnState = sweep.Track
	server.ConnContext = sweep.WithConn
	return &webServer{
		server: server, listener: l, sweeper: sweep, beginStop: func() { stopping.Store(true) },
		shutdownTimeout: shutdownTimeout, clock: clock, log: log,
	}
}

// Serve implements registrar.Server.
func (s *webServer) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.server.Serve(s.sweeper.Listen(s.listener)) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving HTTP")
	case <-ctx.Done():
	}
	s.beginStop()
	s.acceptBacklog()
	if err := s.listener.Close(); err != nil {
		return errors.Wrap(err, "closing a listener")
	}
	s.log.Debug("listener closed", "address", s.listener.Addr().String(), "reason", (<-failed).Error())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.shutdownTimeout())
	defer cancel()
	if left := s.sweeper.Drain(ctx); left > 0 {
		s.log.Warn("closing connections that did not end in time", "address", s.listener.Addr().String(), "count", left)
	}
	return errors.Wrap(s.server.Close(), "closing connections")
}

// acceptBacklog waits until the server has accepted the connections that the kernel has
// taken, at most for maxBacklogWait. The kernel resets those that are left when the listener
// closes, with the requests that were sent on them.
func (s *webServer) acceptBacklog() {
	end := s.clock.Now().Add(maxBacklogWait)
	for backlogOf(s.listener) > 0 && s.clock.Now().Before(end) {
		s.clock.Sleep(backlogCheckInterval)
	}
}

// backlogOf returns the number of connections that wait to be accepted, 0 if it is not known.
func backlogOf(l net.Listener) int {
	s, ok := l.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) {
		// Of a listener, the kernel reports the length of its queue in this field.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	if err != nil {
		return 0
	}
	return waiting
}

// announceClose tells the caller that the connection ends. It has no effect after the
// header was written.
func (w *closingWriter) announceClose() {
	if w.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.announceClose()
	w.wroteHeader = status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// ReadFrom implements io.ReaderFrom, so that net/http copies a streamed body directly.
func (w *closingWriter) ReadFrom(r io.Reader) (int64, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return io.Copy(w.ResponseWriter, r)
}

// Unwrap lets http.ResponseController find the wrapped writer.
func (w *closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
