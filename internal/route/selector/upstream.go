package selector

import (
	"math"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/copier"
	"github.com/waxwingloom/waxwingloom/internal/share/pacer"
	"github.com/waxwingloom/waxwingloom/internal/share/starter"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// warmCopies is the number of upstreams that keep an object warm.
	warmCopies = 2
	// coldFactor is the processing time of an object that an upstream has not
	// handled lately, as a multiple of the warm processing time.
	coldFactor = 1 + copier.ColdExtraFactor
	// An upstream other than an object's primary is used only if it saves more latency
	// than this fraction of a warm request's processing time: secondaryPenaltyFactor
	// for the secondary upstream, overflowPenaltyFactor for a further one, where the
	// object is cold.
	secondaryPenaltyFactor = 0.3
	overflowPenaltyFactor  = 1.0
	// upstreamQueueFraction is the number of requests that may queue at an upstream,
	// as a fraction of its slots. Others wait on this VM, where urgent requests can
	// overtake them.
	upstreamQueueFraction = 0.5

	// The smoothing factors are the weights of a new sample in a moving average.
	latencySmoothingFactor  = 0.1
	slownessSmoothingFactor = 0.2
	successSmoothingFactor  = 0.2
	// healthHalfLife is the half-life of an upstream's slowness and failures while
	// nothing is sent to it.
	healthHalfLife = 3 * time.Second
	// minSlowness is the lowest slowness that counts, minHostSlowness that of a host.
	minSlowness     = 0.5
	minHostSlowness = 0.5
	// maxSlowness bounds the slowness that one sample can show.
	maxSlowness = 20.0
	// minSuccessRate is the lower bound of an upstream's success rate.
	minSuccessRate = 0.1

	// initialBackoff and maxBackoff bound the time for which an upstream gets no
	// requests after a connection to it could not be opened.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 3 * time.Second

	// noUpstreamRetryAfter is the Retry-After of a refusal for lack of any upstream.
	noUpstreamRetryAfter = 300 * time.Millisecond
)

// upstreamState is what this VM knows of one upstream.
type upstreamState struct {
	cataloger.Upstream
	region       namer.Region
	hash         uint64
	maxIdleConns int
	// coldRate is the limit of requests per second while the upstream is cold, for
	// all VMs together.
	coldRate int
	// share is this VM's share of coldRate, nil until it is needed.
	share *int

	// notice is nil if the upstream has announced nothing.
	notice *notice

	// inFlight counts this VM's own requests at the upstream.
	inFlight int
	reported loadReport
	// load is the mean load of the upstreams of its service.
	load *serviceLoad
	// slowness is the processing time as a multiple of the route's usual one.
	slowness    float64
	recent      recentRatios
	host        hostReport
	successRate float64
	// updated is when slowness and successRate were last decayed.
	updated         time.Time
	connectFailures int
	// retryAt is the end of the backoff after a failure to connect.
	retryAt time.Time
	// lost says that this VM's connections to the process have ended and none has opened
	// since, so that the next one may reach another process.
	lost   bool
	warmup time.Duration
	pacer  *pacer.Pacer
	// pace is that at which the process gets requests since it started or recovered.
	pace starter.Pace
	// started says that paceStarted has seen the process, pacing that the end of its pace has not
	// been noticed.
	started bool
	pacing  bool
}

// Report describes the outcome of a request for which Begin was called.
type Report struct {
	// Unsent means that nothing was sent.
	Unsent bool
	// Inconclusive means that the outcome says nothing about the upstream: nothing was
	// sent, or the caller went away.
	Inconclusive bool
	// ConnectFailed means that no connection could be opened.
	ConnectFailed bool
	// Refused means that the upstream did not run the request.
	Refused bool
	// Failed means that the upstream failed the request or broke off its response.
	Failed bool
	// Latency is the time until the response, 0 when there was none. ConnectTime is
	// the part of it that was spent opening a connection.
	Latency     time.Duration
	ConnectTime time.Duration
	// Load is the number of running and queued requests that the upstream reported,
	// negative when it reported none.
	Load int
	// HostSlowness is how slow the upstream's host is, as a multiple of its usual time, 0
	// when it reported nothing.
	HostSlowness float64
	// Bytes is the size of the request and its response, 0 when it is unknown.
	Bytes int
	// Leaving means that the response announced the upstream's shutdown.
	Leaving bool
	// RetryAfter is how long the upstream wants no further request, 0 when it did not say.
	RetryAfter time.Duration
}

// RequestsLeft returns the reported load without the request that was answered. A request
// that was refused isn't counted in it.
func (r Report) RequestsLeft() int {
	if r.Refused {
		return r.Load
	}
	return max(0, r.Load-1)
}

// End records the outcome of a request and counts it as no longer in flight. An upstream
// that refused a request counts as full, unless it reported a free slot.
func (s *Selector) End(now time.Time, d Decision, r Report) {
	u := d.upstream
	u.inFlight--
	if r.Load >= 0 {
		u.recordLoad(now, float64(r.RequestsLeft()))
	}
	if r.HostSlowness > 0 {
		u.host = hostReport{slowness: min(max(r.HostSlowness, minHostSlowness), maxSlowness), at: now}
	}
	if r.Unsent {
		u.pacer.Cancel(d.id)
	}
	s.recordNotice(now, u, r)
	s.recordPace(now, d, r)
	switch {
	case r.Inconclusive:
		return
	case r.ConnectFailed:
		u.recordConnectFailure(now)
		return
	case r.Refused:
		if r.Load < 0 || r.Load >= u.Slots {
			u.reported.requests = max(u.reported.requests, 2*float64(u.Slots))
			u.reported.inFlight = u.inFlight
			u.reported.at = now
		}
		u.recordOutcome(now, false)
		return
	case r.Failed:
		u.recordOutcome(now, false)
		return
	}
	u.connectFailures = 0
	u.retryAt = time.Time{}
	u.recordOutcome(now, true)
	s.recordSize(d, r.Bytes)
	if r.ConnectTime > 0 {
		s.ObserveRTT(u.Zone, r.ConnectTime)
	}
	s.recordProcessingTime(now, d, r.Latency-r.ConnectTime-s.rtt(u))
}

func (s *Selector) recordSize(d Decision, size int) {
	stats := s.stats[statsKey{route: d.route, service: d.upstream.Service}]
	switch {
	case stats == nil || size <= 0:
	case stats.bytesPerRequest == 0:
		stats.bytesPerRequest = float64(size)
	default:
		stats.bytesPerRequest += latencySmoothingFactor * (float64(size) - stats.bytesPerRequest)
	}
}

// recordConnectFailure starts an exponential backoff.
func (u *upstreamState) recordConnectFailure(now time.Time) {
	pause := initialBackoff << min(u.connectFailures, 10)
	u.connectFailures++
	u.retryAt = now.Add(min(pause, maxBackoff))
}

// recordOutcome adds one outcome to the upstream's success rate.
func (u *upstreamState) recordOutcome(now time.Time, ok bool) {
	u.decay(now)
	sample := 0.0
	if ok {
		sample = 1.0
	}
	u.successRate = max(minSuccessRate, u.successRate+successSmoothingFactor*(sample-u.successRate))
}

// decay moves slowness and success rate towards 1, so that an upstream without traffic
// is tried again.
func (u *upstreamState) decay(now time.Time) {
	if !u.updated.IsZero() {
		left := decayFactor(now.Sub(u.updated), healthHalfLife)
		u.slowness = 1 + (u.slowness-1)*left
		u.successRate = 1 + (u.successRate-1)*left
	}
	u.updated = now
}

func (u *upstreamState) target() cataloger.Target {
	return cataloger.Target{Upstream: u.Upstream.Upstream, StartedMs: u.StartedMs, Address: u.Address, MaxIdleConns: u.maxIdleConns}
}

// expectedProcessingTime returns the expected processing time at this upstream for a
// request whose usual processing time is given. An upstream that fails requests counts
// as slower, as does one whose host is slow at this moment.
func (u *upstreamState) expectedProcessingTime(now time.Time, usual time.Duration) time.Duration {
	u.decay(now)
	return time.Duration(float64(usual) * max(u.slowness, minSlowness) * u.host.expected(now) / u.successRate)
}

func (u *upstreamState) isCold(now time.Time) bool {
	return u.lost || now.Before(u.ColdUntil)
}

// coldLeft returns how much longer the upstream is known to be cold, at least 0.
func (u *upstreamState) coldLeft(now time.Time) time.Duration {
	return max(0, u.ColdUntil.Sub(now))
}

// decayFactor returns the factor by which a value decays exponentially within a time.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
