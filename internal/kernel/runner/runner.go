// Package runner assembles the daemon from its services, runs it and shuts it down
// gracefully.
//
// # Usage
//
//	err := runner.Run(ctx, settings, os.Stderr)
//
// Canceling ctx begins the planned shutdown: this VM announces it to its peers, serves
// callers until the lookup responses that they cache have expired, and lets requests in
// flight finish before the process ends.
package runner

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/kernel/logger"
	"github.com/waxwingloom/waxwingloom/internal/kernel/registrar"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/once/conductor"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/share/claimer"
)

const (
	// shutdownNoticeHeartbeats is how long other entry VMs may take to learn that this
	// one is shutting down, in heartbeat intervals.
	shutdownNoticeHeartbeats = 4

	idlePollInterval = 20 * time.Millisecond
	// releaseTimeout bounds the call to the platform with which a VM that shuts down
	// releases its ordinal or removes itself from the VM list.
	releaseTimeout = 2 * time.Second
	// inFlightMargin is added to the longest deadline to get the maximum wait for
	// requests in flight.
	inFlightMargin = 3 * time.Second
)

type (
	// Option configures Run.
	Option func(*options)

	options struct {
		settingsPath  string
		reloadSignals <-chan os.Signal
	}
)

// WithReload reloads the settings from path whenever the file changes, and on each
// signal.
func WithReload(path string, signals <-chan os.Signal) Option {
	return func(o *options) {
		o.settingsPath = path
		o.reloadSignals = signals
	}
}

// Run runs a daemon until ctx is canceled and the planned shutdown is done, or until one
// of its services fails.
func Run(ctx context.Context, s loader.Settings, logTo io.Writer, opts ...Option) error {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	log, flush := logger.New(logTo, s.LogLevel)
	defer flush()
	return run(ctx, s, log.With("vm", string(s.VM)), o)
}

// run is Run with a logger.
func run(ctx context.Context, s loader.Settings, log *slog.Logger, o options) error {
	r := registrar.New()
	beginShutdown := shutdown
	if s.RoutingEnabled() {
		registerRouted(r, s, o, log)
		beginShutdown = shutdownRouted
	} else {
		register(r, s, log)
	}
	container, err := r.Build()
	if err != nil {
		log.Error("daemon not started", "reason", err.Error())
		return err
	}
	defer container.Cleanup()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		beginShutdown(container, s, log)
		cancel()
	})
	defer stop()
	err = container.Run(runCtx)
	log.Info("stopped", "failed", err != nil)
	return err
}

// shutdown performs the planned shutdown of a daemon without routes. All services still
// run meanwhile.
func shutdown(c *registrar.Container, s loader.Settings, log *slog.Logger) {
	front := c.Find(callersName).(*responder.Responder)
	members := c.Find(membersName).(*heartbeater.Heartbeater)
	tokens := c.Find(tokensName).(*conductor.Conductor)
	documents := c.Find(documentsName).(*keeper.Keeper)
	ordinals := c.Find(ordinalsName).(*claimer.Claimer)
	peers := c.Find(peerServerName).(*peerServer)
	router := c.Find(routerName).(*dispatcher.Dispatcher)
	clock := c.Find(clockName).(clockwork.Clock)
	log.Info("leaving")
	front.BeginShutdown()
	members.BeginShutdown()
	longestDeadline := time.Duration(0)
	if snapshot := documents.Current(); snapshot != nil {
		longestDeadline = snapshot.Document.LongestDeadline()
		clock.Sleep(snapshot.Document.LongestTTL() + shutdownNoticeHeartbeats*s.Timing.HeartbeatInterval)
	}
	// From here on no requests should arrive. Those that still do are forwarded to other
	// VMs, so that the ordinal can be released with nothing in flight.
	router.SetOrdinal(claimer.Assignment{})
	isIdle := func() bool {
		return front.InFlight() == 0 && tokens.InFlight() == 0 && peers.answerer.InFlight() == 0 && router.InFlight() == 0
	}
	quiet := waitIdle(clock, longestDeadline+inFlightMargin, isIdle)
	log.Info("refusing all further requests", "quiet", quiet, "busy", front.InFlight())
	front.RefuseNew()
	// Callers that keep their connections may have sent requests until now.
	idle := waitIdle(clock, longestDeadline+inFlightMargin, isIdle)
	if !idle {
		log.Warn("ordinal not released", "reason", "requests are still in flight")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := ordinals.Release(ctx); err != nil {
		log.Warn("ordinal not released", "reason", err.Error())
	}
}

// waitIdle polls idle until it returns true or the timeout expires, and reports whether
// the daemon became idle.
func waitIdle(clock clockwork.Clock, timeout time.Duration, idle func() bool) bool {
	deadline := clock.Now().Add(timeout)
	for !idle() {
		if !clock.Now().Before(deadline) {
			return false
		}
		clock.Sleep(idlePollInterval)
	}
	return true
}
