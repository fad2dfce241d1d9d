package runner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/kernel/registrar"
	"github.com/waxwingloom/waxwingloom/internal/member/enroller"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/settings/reloader"
)

const (
	// shutdownDeadlineFraction is the fraction of the grace period after which the
	// process aborts whatever is still in progress.
	shutdownDeadlineFraction = 0.85
	// httpShutdownFraction is the fraction of the grace period for which a closed HTTP
	// listener waits for its last requests. Both fractions together leave a tenth of the
	// grace period for the rest of the shutdown.
	httpShutdownFraction = 0.05
	// minQuietPeriod is how long no request may have arrived before the process ends. A
	// caller that has just opened a connection may take that long to send its request.
	minQuietPeriod = time.Second
)

// gracePeriod is the time between the signal to stop and a kill. All parts of a shutdown use
// the value that was in force when it began, so that they end together.
type gracePeriod struct {
	settings *reloader.Reloader
	begun    atomic.Pointer[time.Duration]
}

// begin fixes the grace period.
func (g *gracePeriod) begin(grace time.Duration) {
	g.begun.Store(&grace)
}

// httpShutdownTimeout returns how long the HTTP servers wait for their last requests.
func (g *gracePeriod) httpShutdownTimeout() time.Duration {
	grace := g.settings.Current().Routing.ShutdownGrace
	if begun := g.begun.Load(); begun != nil {
		grace = *begun
	}
	return time.Duration(httpShutdownFraction * float64(grace))
}

// shutdownRouted performs the planned shutdown of a routed daemon. Callers learn of it from
// the readiness check, from lookups and from the closing of their keep-alive connections.
// A request that still arrives is served if its deadline comes before the end of the
// process; otherwise it is refused as not run.
func shutdownRouted(c *registrar.Container, s loader.Settings, log *slog.Logger) {
	clock := c.Find(clockName).(clockwork.Clock)
	front := c.Find(callersName).(*receiver.Receiver)
	started := clock.Now()
	s = c.Find(reloadName).(*reloader.Reloader).Reload("stop")
	grace := s.Routing.ShutdownGrace
	c.Find(graceName).(*gracePeriod).begin(grace)
	log.Info("leaving", "busy", front.InFlight())
	deadline := started.Add(time.Duration(shutdownDeadlineFraction * float64(grace)))
	front.BeginShutdown(deadline)
	c.Find(steerName).(*steerer.Steerer).BeginShutdown(deadline)
	c.Find(membersName).(*heartbeater.Heartbeater).BeginShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), min(releaseTimeout, deadline.Sub(clock.Now())))
	defer cancel()
	if err := c.Find(enrollName).(*enroller.Enroller).Withdraw(ctx); err != nil {
		log.Warn("VM not removed from the platform's VM list", "reason", err.Error())
	}
	// Callers may use a cached lookup response until its TTL expires. The process ends before
	// that if its grace period is shorter.
	expired := started.Add(s.Routing.LookupTTL)
	if expired.After(deadline) {
		expired = deadline
	}
	clock.Sleep(expired.Sub(clock.Now()))
	quiet := waitIdle(clock, deadline.Sub(clock.Now()), func() bool { return front.InFlight() == 0 && front.SinceLastRequest() >= minQuietPeriod })
	log.Info("refusing all further requests", "quiet", quiet, "busy", front.InFlight())
	front.RefuseNew()
	// A request that arrived since the last check has until the deadline.
	idle := waitIdle(clock, deadline.Sub(clock.Now()), func() bool { return front.InFlight() == 0 })
	log.Info("left", "idle", idle, "busy", front.InFlight(), "took", clock.Since(started))
}
