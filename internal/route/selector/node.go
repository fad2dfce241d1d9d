package selector

import (
	"math"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/copier"
	"github.com/waxwingloom/waxwingloom/internal/share/pacer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// copies is how many upstreams keep an object warm.
	copies = 2
	// coldWork is the work of an object that an upstream has not handled lately, in
	// parts of its warm work.
	coldWork = 1 + copier.ColdExtra
	// secondCost and overflowCost are what a second copy and a cold upstream
	// must save, as parts of a warm request's work, before they are used.
	secondCost   = 0.3
	overflowCost = 1.0
	// queueSlots is how many requests may wait at an upstream, as a part of its
	// slots; more wait here, where urgent ones can pass them.
	queueSlots = 0.5

	// loadHalf is the half-life of what an upstream said of its load.
	loadHalf = 300 * time.Millisecond
	// latencyGain and failureGain are the weights of a new sample.
	latencyGain = 0.1
	speedGain   = 0.2
	failureGain = 0.2
	// speedAge is the half-life of the belief that an upstream is slow or
	// fails, while nothing is sent there.
	speedAge = 3 * time.Second
	// speedMost bounds how slow an upstream is thought to be.
	speedMost = 20.0
	// okLeast bounds how failing an upstream is thought to be.
	okLeast = 0.1

	// backoffFirst and backoffMost bound the time for which an upstream that
	// could not be reached is left alone.
	backoffFirst = 200 * time.Millisecond
	backoffMost  = 3 * time.Second

	// retryUnknown is when a caller should come back when no upstream is there.
	retryUnknown = 300 * time.Millisecond
)

// node is one upstream as this VM sees it.
type node struct {
	cataloger.Upstream
	region namer.Region
	hash   uint64
	conns  int
	rate   int

	own      int
	said     load
	slow     float64
	ok       float64
	judged   time.Time
	failures int
	until    time.Time
	warmed   time.Time
	pace     pacer.Pacer
}

// load is what an upstream said of its load, and how much of that was this
// VM's.
type load struct {
	requests float64
	own      int
	at       time.Time
}

// Report is what came of a sent request.
type Report struct {
	// Inconclusive says that nothing was learned, since nothing was sent.
	Inconclusive bool
	// ConnectFailed says that no connection could be opened.
	ConnectFailed bool
	// Refused says that the upstream did not run the request.
	Refused bool
	// Failed says that the upstream failed the request or broke off.
	Failed bool
	// Latency is the time until the answer, 0 when there was none, and Opening
	// the part of it that it took to open a connection.
	Latency     time.Duration
	ConnectTime time.Duration
	// Load is the upstream's own count of running and waiting requests, and
	// negative when it told none.
	Load int
	// Bytes is the size of the request and its answer, 0 when it is not known.
	Bytes int
}

// End takes over what came of a sent request.
func (s *Selector) End(now time.Time, d Decision, r Report) {
	n := d.node
	n.own--
	if r.Load >= 0 {
		n.said = load{requests: float64(r.Load), own: n.own, at: now}
	}
	switch {
	case r.Inconclusive:
		return
	case r.ConnectFailed:
		n.unreached(now)
		return
	case r.Refused:
		if r.Load < 0 || r.Load >= n.Slots {
			n.said = load{requests: max(n.said.requests, 2*float64(n.Slots)), own: n.own, at: now}
		}
		n.judge(now, false)
		return
	case r.Failed:
		n.judge(now, false)
		return
	}
	n.failures = 0
	n.until = time.Time{}
	n.judge(now, true)
	s.learnBytes(d, r.Bytes)
	if r.ConnectTime > 0 {
		s.ObserveRTT(n.Zone, r.ConnectTime)
	}
	s.learn(now, d, r.Latency-r.ConnectTime-s.way(n))
}

func (s *Selector) learnBytes(d Decision, size int) {
	known := s.rates[rateKey{route: d.route, service: d.node.Service}]
	switch {
	case known == nil || size <= 0:
	case known.bytes == 0:
		known.bytes = float64(size)
	default:
		known.bytes += latencyGain * (float64(size) - known.bytes)
	}
}

// learn takes a latency into the route's expectation and the upstream's speed.
func (s *Selector) learn(now time.Time, d Decision, latency time.Duration) {
	if latency <= 0 || !d.warm || !d.idle || d.node.cold(now) {
		return
	}
	known, ok := s.latency[d.route]
	if !ok {
		s.latency[d.route] = latency
		return
	}
	ratio := min(float64(latency)/float64(max(known, time.Millisecond)), speedMost)
	d.node.slow += speedGain * (ratio - d.node.slow)
	if ratio < 3 {
		s.latency[d.route] = known + time.Duration(latencyGain*float64(latency-known))
	}
}

func (n *node) unreached(now time.Time) {
	pause := backoffFirst << min(n.failures, 10)
	n.failures++
	n.until = now.Add(min(pause, backoffMost))
	// What was down comes back cold.
	n.warmed = time.Time{}
}

// judge fades what was believed and takes one outcome into it.
func (n *node) judge(now time.Time, ok bool) {
	n.fade(now)
	sample := 0.0
	if ok {
		sample = 1.0
	}
	n.ok = max(okLeast, n.ok+failureGain*(sample-n.ok))
}

// fade lets beliefs return to the usual while nothing tells of the upstream.
func (n *node) fade(now time.Time) {
	if !n.judged.IsZero() {
		left := halved(now.Sub(n.judged), speedAge)
		n.slow = 1 + (n.slow-1)*left
		n.ok = 1 + (n.ok-1)*left
	}
	n.judged = now
}

func (n *node) target() cataloger.Target {
	return cataloger.Target{Upstream: n.Upstream.Upstream, Born: n.Born, Address: n.Address, Conns: n.conns}
}

// effort is the expected work of a request, whose warm work is given.
func (n *node) effort(now time.Time, work time.Duration) time.Duration {
	n.fade(now)
	return time.Duration(float64(work) * max(n.slow, 0.5) / n.ok)
}

// load returns how many requests the upstream is thought to have.
func (n *node) load(now time.Time) float64 {
	if n.said.at.IsZero() {
		return float64(n.own)
	}
	others := max(0, n.said.requests-float64(n.said.own))
	return others*halved(now.Sub(n.said.at), loadHalf) + float64(n.own)
}

// loadAge returns how old the upstream's word on its load is, and -1 when there
// was none.
func (n *node) loadAge(now time.Time) time.Duration {
	if n.said.at.IsZero() {
		return -1
	}
	return now.Sub(n.said.at).Round(time.Millisecond)
}

// capacity is the load beyond which requests wait here.
func (n *node) capacity() float64 {
	return float64(n.Slots) * (1 + queueSlots)
}

func (n *node) cold(now time.Time) bool {
	return now.Before(n.Cold)
}

// halved returns what is left after a time, with a half-life.
func halved(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(half))
}
