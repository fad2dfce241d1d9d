// Package steerer sends a route's request to an upstream and returns the response, or
// the reason why there is none. A once-only request is retried only with proof that
// the first attempt did not run it. Any other request is also retried when it may have
// run. A retry counts against the retry budget, unless the attempt before sent nothing.
//
// It handles overload of the upstreams: requests are queued by the priority of their
// route and their target time, and a request that can no longer be answered before its
// deadline is refused at once.
//
// A request under which several upstreams have crashed is refused, see package quarantiner.
//
// # Usage
//
//	s := steerer.New(self, headers, budget, exchanger, clock, log)
//	s.SetDocument(generation, doc)
//	s.SetUpstreams(view)
//	result := s.Steer(ctx, request)
package steerer

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/matcher"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/share/budgeter"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/weigher"
)

// The reasons why the result of a request is not an upstream's response.
const (
	CodeStarting         Code = "starting"
	CodeNoRoute          Code = "no-route"
	CodeRefused          Code = "refused"
	CodeDeadlineExceeded Code = "late"
	CodeCallerGone       Code = "caller-gone"
	CodeOutcomeUnknown   Code = "unknown"
	CodeBusy             Code = "busy"
	CodeMalformed        Code = "malformed"
	CodeShuttingDown     Code = "leaving"
	CodeQuarantined      Code = "quarantined"
)

type (
	// Code identifies the reason of a failure to callers' programs.
	Code string

	// Request is a caller's request with its complete body. Target is the
	// request-target of the request line, Path the escaped path that routes match.
	// AttemptID is the caller's ID of the attempt. Object names the object that the
	// request is about, for routes with affinity. Caller is the caller's address without
	// the port.
	Request struct {
		Caller string
		Method string
		Host   string
		Target string
		Path   string
		Header http.Header
		Body   []byte
		// BodyRest is what follows Body if the body is held in several buffers.
		BodyRest   [][]byte
		AttemptID  string
		Object     string
		ReceivedAt time.Time
		// Credential is what the request says of its account.
		Credential authenticator.Credential
		// Remaining is how long the caller still waits, or 0 if it did not say.
		Remaining time.Duration
		// CallerGone reports whether the caller has disconnected. It may be nil.
		CallerGone func() bool
		// ReserveBytes reports whether n more bytes of memory may be taken for the body of
		// the response, which is streamed if not. It may be nil.
		ReserveBytes func(n int) bool
	}

	// Result is an upstream's response, or a failure if Code is set. Rest is the
	// remainder of a body that is too long to buffer, or nil, and must be closed.
	// ContentLength is the length of the whole body, -1 if unknown.
	Result struct {
		Status        int
		Header        http.Header
		Body          []byte
		Rest          io.ReadCloser
		ContentLength int64
		Code          Code
		Reason        string
		RetryAfter    time.Duration
		// Route is empty if no route matches. SendCount is the number of upstreams that
		// the request was sent to.
		Route     namer.Route
		SendCount int
		// Account is empty if the request was not identified as one of an account. Denial is
		// why the request was refused on account of its account, or authenticator.None.
		Account namer.Account
		Denial  authenticator.Denial
	}

	// RetryBudget limits retries to Ratio retries per request of a service within any
	// Window. Started is the start time of the process: requests of its first moments pay
	// for no retries.
	RetryBudget struct {
		Ratio   float64
		Window  time.Duration
		Started time.Time
	}

	// UpstreamClient sends requests to upstreams.
	UpstreamClient interface {
		// Exchange sends one request to one upstream, at most once.
		Exchange(ctx context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error)
		// CloseIdleExcept closes the idle connections to all but these upstreams.
		CloseIdleExcept(targets []cataloger.Target)
		// Preconnect opens a connection in advance, and returns the time that this took.
		Preconnect(ctx context.Context, t cataloger.Target) (time.Duration, error)
	}

	// Steerer steers the requests of this VM's callers. It is safe for concurrent use.
	Steerer struct {
		headers     namer.HeaderNames
		upstreams   UpstreamClient
		retryBudget RetryBudget
		clock       clockwork.Clock
		log         *slog.Logger

		mu             sync.Mutex
		selector       *selector.Selector
		generation     namer.Generation
		document       *parser.Document
		table          *matcher.Table
		view           *cataloger.View
		retryBudgets   map[namer.Service]*budgeter.Budgeter
		queues         map[namer.Service]*queue
		checkScheduled bool
		measuringRTT   map[namer.Zone]bool
		// probing holds the processes whose connections are being probed.
		probing    map[quarantiner.Process]bool
		lostProbes map[quarantiner.Process]*lostProbe
		// brokenAt has the addresses of the processes that broke connections.
		brokenAt map[quarantiner.Process]string
		counts   Counts
		// zoneCopies holds the routes for whose objects each zone keeps its own copies.
		zoneCopies map[namer.Route]namer.Service
		// shutdownTime is when this process ends, or zero if no shutdown is planned.
		shutdownTime time.Time
		// viewAge returns how long ago the store confirmed the view of the upstreams.
		viewAge func() time.Duration
		// quarantine knows the requests under which upstreams crashed, onEvidence is called
		// when this VM finds another one.
		quarantine *quarantiner.Quarantiner
		onEvidence func()
		accounts   accounts
		// weights holds the bytes of the requests at each upstream.
		weights *weigher.Weigher
	}

	// Counts are the results of requests since the process started. Resent counts the
	// retries out of the retry budget, Waited the requests that were queued, and Lost the
	// times at which an upstream's process was found to have ended, or to be unreachable.
	Counts struct {
		Answered int64
		Refused  int64
		Failed   int64
		Resent   int64
		Waited   int64
		Lost     int64
	}
)

// New returns a steerer without a steering document, which refuses every request.
func New(
	self selector.Self, headers namer.HeaderNames, b RetryBudget, up UpstreamClient, clock clockwork.Clock, log *slog.Logger,
) *Steerer {
	return &Steerer{
		headers:      headers,
		upstreams:    up,
		retryBudget:  b,
		clock:        clock,
		log:          log,
		selector:     selector.New(self),
		view:         &cataloger.View{},
		retryBudgets: make(map[namer.Service]*budgeter.Budgeter),
		queues:       make(map[namer.Service]*queue),
		measuringRTT: make(map[namer.Zone]bool),
		probing:      make(map[quarantiner.Process]bool),
		lostProbes:   make(map[quarantiner.Process]*lostProbe),
		brokenAt:     make(map[quarantiner.Process]string),
		quarantine:   quarantiner.New(),
		onEvidence:   func() {},
		weights:      weigher.New(0),
		viewAge:      func() time.Duration { return 0 },
	}
}

// SetViewAgeFunc sets the function that returns the age of the view of the upstreams,
// for the log. It must be called at most once, before the first request.
func (s *Steerer) SetViewAgeFunc(age func() time.Duration) {
	s.viewAge = age
}

// SetDocument makes a steering document the current one.
func (s *Steerer) SetDocument(g namer.Generation, d *parser.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation = g
	s.document = d
	s.table = matcher.New(d)
	s.accounts.inForce.Store(s.accounts.authenticator != nil && len(d.Accounts) > 0)
	s.updateSelector()
}

// SetUpstreams replaces the view of the upstreams, closes idle connections to removed
// ones and starts to measure the round-trip times to new zones.
func (s *Steerer) SetUpstreams(v *cataloger.View) {
	s.mu.Lock()
	s.view = v
	s.updateSelector()
	s.measureRTTs()
	lost := s.selector.Lost()
	s.mu.Unlock()
	for _, t := range lost {
		s.probeLost(t)
	}
	s.recordReplaced(v)
	targets := make([]cataloger.Target, 0, len(v.Upstreams))
	for _, u := range v.Upstreams {
		targets = append(targets, cataloger.Target{Upstream: u.Upstream, StartedMs: u.StartedMs, Address: u.Address})
	}
	s.upstreams.CloseIdleExcept(targets)
}

// measureRTTs measures the round-trip times to zones that are not measured yet, so that
// they are known before requests need them. Each zone has at most one measurement in
// progress. The caller holds s.mu.
func (s *Steerer) measureRTTs() {
	for zone, target := range s.selector.UnmeasuredZones() {
		if !s.measuringRTT[zone] {
			s.measuringRTT[zone] = true
			go s.measureRTT(zone, target)
		}
	}
}

// measureRTT measures the round-trip time to a zone as the time that opening a
// connection takes. If that fails, the next update of the view measures again.
func (s *Steerer) measureRTT(zone namer.Zone, t cataloger.Target) {
	took, err := s.upstreams.Preconnect(context.Background(), t)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.measuringRTT, zone)
	if err != nil {
		s.log.Debug("round trip to a zone not measured; the next update of the upstreams retries", "zone", string(zone), "upstream", string(t.Upstream), "reason", err.Error())
		return
	}
	s.selector.ObserveRTT(zone, took)
	s.log.Info("round trip to a zone measured", "zone", string(zone), "upstream", string(t.Upstream), "took", took)
}

// BeginShutdown announces that the process ends at a time. New requests with a later
// deadline are refused, as are queued requests whose response is expected later.
func (s *Steerer) BeginShutdown(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shutdownTime = end
	for _, q := range s.queues {
		for r, w := range q.waiters {
			w.request.Deadline = s.capAtShutdown(w.request.Deadline)
			r.Deadline = w.request.Deadline
		}
	}
	s.serveQueues()
}

// capAtShutdown returns the earlier of t and the shutdown time. The caller holds s.mu.
func (s *Steerer) capAtShutdown(t time.Time) time.Time {
	if !s.shutdownTime.IsZero() && s.shutdownTime.Before(t) {
		return s.shutdownTime
	}
	return t
}

// runsUntil reports whether the process runs at least until t.
func (s *Steerer) runsUntil(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capAtShutdown(t).Equal(t)
}

// SetMembers sets the number of VMs in all zones and in this VM's zone, and a function
// that returns this VM's rank among all VMs for an upstream in a zone.
func (s *Steerer) SetMembers(vms, zoneVMs int, rank func(namer.Upstream, namer.Zone) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.SetMembers(vms, zoneVMs, rank)
	s.updateSelector()
}

// Demand returns the number of slots of each service that this VM's callers need.
func (s *Steerer) Demand() map[namer.Service]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Demand(s.clock.Now())
}

// UpdatePlacements recomputes where objects belong, from the slots of each service that
// each zone's callers need.
func (s *Steerer) UpdatePlacements(demand map[namer.Service]map[namer.Zone]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.UpdatePlacements(s.clock.Now(), demand)
	s.logZoneCopies()
}

// logZoneCopies logs the routes for whose objects zones have started or stopped to keep
// their own copies.
func (s *Steerer) logZoneCopies() {
	zoneCopies := s.selector.RoutesWithZoneCopies()
	for route, service := range zoneCopies {
		if _, ok := s.zoneCopies[route]; !ok {
			s.log.Info("copies", "route", string(route), "service", string(service), "by", "zone")
		}
	}
	for route, service := range s.zoneCopies {
		if _, ok := zoneCopies[route]; !ok {
			s.log.Info("copies", "route", string(route), "service", string(service), "by", "region")
		}
	}
	s.zoneCopies = zoneCopies
}

// Placements returns the placement of each service's objects.
func (s *Steerer) Placements() map[namer.Service]spreader.Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Placements()
}

// RestorePlacement restores the placement of a service's objects from before a restart.
// It does nothing and returns false if a placement is known already.
func (s *Steerer) RestorePlacement(service namer.Service, p spreader.Placement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.RestorePlacement(s.clock.Now(), service, p)
}

// Known reports whether a steering document, and whether at least one upstream, is known. Without
// either, no request can be served.
func (s *Steerer) Known() (document, upstreams bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document != nil, len(s.view.Upstreams) > 0
}

// PermittedRegions returns the regions that may serve every route of a host, or nil if
// any region may.
func (s *Steerer) PermittedRegions(host string) []namer.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil
	}
	return s.table.PermittedRegions(host)
}

// Generation returns the generation of the steering document, 0 before the first one.
func (s *Steerer) Generation() namer.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// Ingress returns the limits on callers' requests, and false if there is no document.
func (s *Steerer) Ingress() (parser.Ingress, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == nil {
		return parser.Ingress{}, false
	}
	return s.document.Ingress, true
}

// Counts returns the results of requests since the process started.
func (s *Steerer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// updateSelector hands the upstreams and the document to the selector and decides on the
// queued requests again. The caller holds s.mu.
func (s *Steerer) updateSelector() {
	if s.document == nil {
		return
	}
	s.selector.Update(s.clock.Now(), s.view, s.document)
	s.logPaces()
	s.serveQueues()
}

// match finds a request's route, and chooses one of the services that the route is split
// over. If no route can be found, the returned route is nil and the result is the failure.
func (s *Steerer) match(r Request) (*parser.Route, namer.Service, Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil, "", failure(http.StatusServiceUnavailable, CodeStarting, "no document is in force yet", defaultRetryAfter)
	}
	route, ok := s.table.Match(r.Host, r.Path)
	if !ok {
		return nil, "", failure(http.StatusNotFound, CodeNoRoute, "no route fits host and path", 0)
	}
	return route, pickService(route.Services), Result{}
}

// countArrival counts a request for the retry budget and the demand.
func (s *Steerer) countArrival(a *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.retryBudgetFor(a.service).CountRequest(now)
	s.selector.RecordArrival(now, a.route, a.service, affinityObject(a.route, a.request))
}

func (s *Steerer) retryBudgetFor(service namer.Service) *budgeter.Budgeter {
	b := s.retryBudgets[service]
	if b == nil {
		b = budgeter.New(s.retryBudget.Ratio, s.retryBudget.Window, s.retryBudget.Started)
		s.retryBudgets[service] = b
	}
	return b
}

// pickService chooses a service of a route's split at random, by weight.
func pickService(services []parser.WeightedService) namer.Service {
	if len(services) == 1 {
		return services[0].Service
	}
	total := 0
	for _, svc := range services {
		total += svc.Weight
	}
	draw := rand.IntN(max(total, 1))
	for _, svc := range services {
		draw -= svc.Weight
		if draw < 0 {
			return svc.Service
		}
	}
	return services[len(services)-1].Service
}

func failure(status int, code Code, reason string, retry time.Duration) Result {
	return Result{Status: status, Code: code, Reason: reason, RetryAfter: retry}
}
