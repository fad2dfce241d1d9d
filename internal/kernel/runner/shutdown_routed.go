package runner

import (
	"context"
	"log/slog"
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
	// shutdownDeadlineFraction is the part of the grace after which the process ends whatever
	// is still in progress.
	shutdownDeadlineFraction = 0.85
	// httpShutdownFraction is the part of the grace for which a listener that has ended
	// waits for its last requests. Both leave a tenth of the grace for the rest.
	httpShutdownFraction = 0.05
	// minQuietPeriod is how long no request must have come before the process ends.
	// A caller that has just opened a connection may take that long to send its request.
	minQuietPeriod = time.Second
)

// shutdownRouted takes the daemon through its planned stop. Callers hear of it by
// readiness, look-ups and the end of their kept connections. What they still send
// is served if its time limit is over before the process ends, and otherwise
// refused as not run.
func shutdownRouted(k *registrar.Container, s loader.Settings, log *slog.Logger) {
	clock := k.Find(clockName).(clockwork.Clock)
	front := k.Find(callersName).(*receiver.Receiver)
	begun := clock.Now()
	s = k.Find(reloadName).(*reloader.Reloader).Current()
	log.Info("leaving", "busy", front.Busy())
	end := begun.Add(time.Duration(shutdownDeadlineFraction * float64(s.Routing.Grace)))
	front.Leave(end)
	k.Find(steerName).(*steerer.Steerer).BeginShutdown(end)
	k.Find(membersName).(*heartbeater.Heartbeater).Leave()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := k.Find(enrollName).(*enroller.Enroller).Withdraw(ctx); err != nil {
		log.Warn("not withdrawn", "reason", err.Error())
	}
	// Callers may use an answer for as long as it holds.
	if wait := s.Routing.TTL - clock.Since(begun); wait > 0 {
		clock.Sleep(wait)
	}
	idle := waitIdle(clock, end.Sub(clock.Now()), func() bool { return front.Busy() == 0 && front.Quiet() >= minQuietPeriod })
	log.Info("left", "idle", idle, "busy", front.Busy(), "took", clock.Since(begun))
}

// httpShutdownTimeoutOf returns how long the HTTP listeners wait for their last requests.
func httpShutdownTimeoutOf(s loader.Settings) time.Duration {
	return time.Duration(httpShutdownFraction * float64(s.Routing.Grace))
}
