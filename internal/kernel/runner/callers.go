package runner

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

// callerServer serves callers on a listener. When its context ends, requests in progress
// may end within shutdownTimeout, and requests that still arrive are refused.
// http.Server.Shutdown is not used: it closes connections from outside that net/http
// reports as idle, on which a request may be arriving.
type callerServer struct {
	server          *http.Server
	listener        net.Listener
	sweeper         *sweeper.Sweeper
	refuseNew       func()
	shutdownTimeout time.Duration
	log             *slog.Logger
}

// Serve implements registrar.Server.
func (s *callerServer) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.server.Serve(s.sweeper.Listen(s.listener)) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving HTTP")
	case <-ctx.Done():
	}
	s.refuseNew()
	if err := s.listener.Close(); err != nil {
		return errors.Wrap(err, "closing the callers' listener")
	}
	s.log.Debug("callers' listener closed", "reason", (<-failed).Error())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.shutdownTimeout)
	defer cancel()
	if left := s.sweeper.Drain(ctx); left > 0 {
		s.log.Warn("closing callers' connections with requests in progress", "count", left)
	}
	return errors.Wrap(s.server.Close(), "closing connections")
}
