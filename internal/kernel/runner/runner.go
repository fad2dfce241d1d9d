// Package runner assembles the daemon from its services and takes it through
// a planned stop.
//
// # Usage
//
//	err := runner.Run(ctx, settings, os.Stderr)
//
// The end of ctx begins the planned stop: peers are told, look-up answers that
// callers still cache are served until they expire, and requests in flight end
// before the process does.
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
	// shutdownNoticeHeartbeats is how long other entry VMs may take to learn that this one is
	// leaving, in heartbeats.
	shutdownNoticeHeartbeats = 4

	idlePollInterval = 20 * time.Millisecond
	releaseTimeout   = 2 * time.Second
	// inFlightMargin is added to the longest deadline when waiting for requests.
	inFlightMargin = 3 * time.Second
)

type (
	// Option changes how a daemon runs.
	Option func(*options)

	options struct {
		settingsPath  string
		reloadSignals <-chan os.Signal
	}
)

// WithReload has the settings read again from a path when they change, and on
// each signal.
func WithReload(path string, signals <-chan os.Signal) Option {
	return func(o *options) {
		o.settingsPath = path
		o.reloadSignals = signals
	}
}

// Run runs a daemon until ctx ends and its planned stop is done, or until one
// of its services fails.
func Run(ctx context.Context, s loader.Settings, logTo io.Writer, opts ...Option) error {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	log, flush := logger.New(logTo, s.LogLevel)
	defer flush()
	log = log.With("vm", string(s.VM))
	r := registrar.New()
	beginShutdown := shutdown
	if s.Routed() {
		registerRouted(r, s, o, log)
		beginShutdown = shutdownRouted
	} else {
		register(r, s, log)
	}
	kernel, err := r.Build()
	if err != nil {
		log.Error("not started", "reason", err.Error())
		return err
	}
	defer kernel.Cleanup()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		beginShutdown(kernel, s, log)
		cancel()
	})
	defer stop()
	err = kernel.Run(runCtx)
	log.Info("stopped", "failed", err != nil)
	return err
}

// shutdown takes the daemon through its planned stop while every service runs.
func shutdown(k *registrar.Container, s loader.Settings, log *slog.Logger) {
	front := k.Find(callersName).(*responder.Responder)
	members := k.Find(membersName).(*heartbeater.Heartbeater)
	tokens := k.Find(tokensName).(*conductor.Conductor)
	documents := k.Find(documentsName).(*keeper.Keeper)
	ordinals := k.Find(ordinalsName).(*claimer.Claimer)
	answers := k.Find(peerServerName).(*peerServer)
	router := k.Find(routerName).(*dispatcher.Dispatcher)
	clock := k.Find(clockName).(clockwork.Clock)
	log.Info("leaving")
	front.Leave()
	members.Leave()
	longest := time.Duration(0)
	if f := documents.Current(); f != nil {
		longest = f.Document.LongestDeadline()
		clock.Sleep(f.Document.LongestTTL() + shutdownNoticeHeartbeats*s.Timing.Heartbeat)
	}
	// From here on nobody should send anything. What still comes is sent on to
	// VMs that stay, so that the ordinal can be released with nothing in flight.
	router.SetOrdinal(claimer.Assignment{})
	idle := waitIdle(clock, longest+inFlightMargin, func() bool {
		return front.Busy() == 0 && tokens.Busy() == 0 && answers.answerer.InFlight() == 0 && router.InFlight() == 0
	})
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

// waitIdle reports whether the daemon became idle in time.
func waitIdle(clock clockwork.Clock, most time.Duration, idle func() bool) bool {
	until := clock.Now().Add(most)
	for !idle() {
		if !clock.Now().Before(until) {
			return false
		}
		clock.Sleep(idlePollInterval)
	}
	return true
}
