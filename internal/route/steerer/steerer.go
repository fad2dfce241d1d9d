// Package steerer takes a request of a route to an upstream and returns its
// answer, or says why there is none. A request that may run at most once is
// sent a second time only with proof that the first send did not run; any other
// only out of the retry budget.
//
// It answers the pattern in which more work comes than the upstreams can do:
// requests wait in the order of urgency and time left, and one that can no
// longer be answered in time is refused at once.
//
// # Usage
//
//	s, cleanup := steerer.New(self, headers, budget, clock, log)
//	defer cleanup()
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

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/matcher"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/share/budgeter"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// Why a request was not answered by an upstream.
const (
	CodeStarting  Code = "starting"
	CodeNoRoute   Code = "no-route"
	CodeRefused   Code = "refused"
	CodeLate      Code = "late"
	CodeGone      Code = "caller-gone"
	CodeUnknown   Code = "unknown"
	CodeBusy      Code = "busy"
	CodeMalformed Code = "malformed"
	CodeLeaving   Code = "leaving"
)

type (
	// Code names a reason for programs.
	Code string

	// Request is a caller's request, read whole.
	Request struct {
		Method  string
		Host    string
		Target  string
		Path    string
		Header  http.Header
		Body    []byte
		Attempt string
		Object  string
		Arrived time.Time
		// Remaining is how long the caller waits, 0 when it did not say.
		Remaining time.Duration
	}

	// Result is an upstream's answer, or a failure when Code is set. Rest is
	// what is left of a long answer and must be closed.
	Result struct {
		Status     int
		Header     http.Header
		Body       []byte
		Rest       io.ReadCloser
		Length     int64
		Code       Code
		Reason     string
		RetryAfter time.Duration
		// Route is empty when none fits. Sent counts the upstreams that the
		// request was sent to.
		Route namer.Route
		Sent  int
	}

	// Budget is the bound on second sends of a process that was started at a time.
	Budget struct {
		Ratio   float64
		Window  time.Duration
		Started time.Time
	}

	// Upstreams sends one request to one upstream.
	Upstreams interface {
		Exchange(ctx context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error)
		CloseIdleExcept(targets []cataloger.Target)
		// Preconnect opens a connection ahead of need, and returns the time that took.
		Preconnect(ctx context.Context, t cataloger.Target) (time.Duration, error)
	}

	// Steerer steers requests.
	Steerer struct {
		headers   namer.Headers
		upstreams Upstreams
		budget    Budget
		clock     clockwork.Clock
		log       *slog.Logger

		mu         sync.Mutex
		selector   *selector.Selector
		generation namer.Generation
		document   *parser.Document
		table      *matcher.Table
		view       *cataloger.View
		budgets    map[namer.Service]*budgeter.Budgeter
		waiting    map[namer.Service]*queue
		ticking    bool
		measuring  map[namer.Zone]bool
		counts     Counts
		// apart are the routes for whose objects zones keep copies of their own.
		apart map[namer.Route]namer.Service
		// end is when this VM's process ends, zero while it stays.
		end time.Time
		// age tells how long ago the store confirmed the view of upstreams.
		age func() time.Duration
	}

	// Counts is what became of requests so far.
	Counts struct {
		Answered int64
		Refused  int64
		Failed   int64
		Resent   int64
		Waited   int64
	}
)

// New returns a steerer without a document, which refuses everything.
func New(
	self selector.Self, headers namer.Headers, b Budget, up Upstreams, clock clockwork.Clock, log *slog.Logger,
) *Steerer {
	return &Steerer{
		headers:   headers,
		upstreams: up,
		budget:    b,
		clock:     clock,
		log:       log,
		selector:  selector.New(self),
		view:      &cataloger.View{},
		budgets:   make(map[namer.Service]*budgeter.Budgeter),
		waiting:   make(map[namer.Service]*queue),
		measuring: make(map[namer.Zone]bool),
		age:       func() time.Duration { return 0 },
	}
}

// OnAge sets what tells the age of the view of upstreams. It is called once, before the
// first request.
func (s *Steerer) OnAge(age func() time.Duration) {
	s.age = age
}

// SetDocument takes over the steering document in force.
func (s *Steerer) SetDocument(g namer.Generation, d *parser.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation = g
	s.document = d
	s.table = matcher.New(d)
	s.update()
}

// SetUpstreams takes over the upstreams in force.
func (s *Steerer) SetUpstreams(v *cataloger.View) {
	s.mu.Lock()
	s.view = v
	s.update()
	s.measureAll()
	s.mu.Unlock()
	targets := make([]cataloger.Target, 0, len(v.Upstreams))
	for _, u := range v.Upstreams {
		targets = append(targets, cataloger.Target{Upstream: u.Upstream, StartedMs: u.StartedMs, Address: u.Address})
	}
	s.upstreams.CloseIdleExcept(targets)
}

// measureAll learns the ways to zones before requests need them, one try at a time
// for each zone.
func (s *Steerer) measureAll() {
	for zone, target := range s.selector.Unmeasured() {
		if !s.measuring[zone] {
			s.measuring[zone] = true
			go s.measure(zone, target)
		}
	}
}

func (s *Steerer) measure(zone namer.Zone, t cataloger.Target) {
	took, err := s.upstreams.Preconnect(context.Background(), t)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.measuring, zone)
	if err != nil {
		s.log.Debug("way not measured", "zone", string(zone), "upstream", string(t.Upstream), "reason", err.Error())
		return
	}
	s.selector.LearnWay(zone, took)
	s.log.Info("way measured", "zone", string(zone), "upstream", string(t.Upstream), "took", took)
}

// Leave has the steerer take only requests whose time limit is over before the
// process ends. What waits and is expected to be answered later is refused.
func (s *Steerer) Leave(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = end
	for _, q := range s.waiting {
		for _, w := range q.waiters {
			w.ask.Due = s.bounded(w.ask.Due)
		}
	}
	s.pump()
}

// bounded returns a time, or the process's end where that comes first.
func (s *Steerer) bounded(t time.Time) time.Time {
	if !s.end.IsZero() && s.end.Before(t) {
		return s.end
	}
	return t
}

// staysUntil reports whether the process is there until a time.
func (s *Steerer) staysUntil(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bounded(t).Equal(t)
}

// SetMembers takes over how many VMs there are in all and in this VM's zone, and this
// VM's place among them for an upstream.
func (s *Steerer) SetMembers(vms, near int, rank func(namer.Upstream) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.SetMembers(vms, near, rank)
	s.update()
}

// Needs returns the slots that this VM's callers need of each service.
func (s *Steerer) Needs() map[namer.Service]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Needs(s.clock.Now())
}

// Spread takes over what each zone's callers need of each service.
func (s *Steerer) Spread(needs map[namer.Service]map[namer.Zone]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.Spread(s.clock.Now(), needs)
	s.logCopies()
}

// logCopies tells for which routes zones have begun or ended to keep copies of their own.
func (s *Steerer) logCopies() {
	apart := s.selector.Apart()
	for route, service := range apart {
		if _, ok := s.apart[route]; !ok {
			s.log.Info("copies", "route", string(route), "service", string(service), "by", "zone")
		}
	}
	for route, service := range s.apart {
		if _, ok := apart[route]; !ok {
			s.log.Info("copies", "route", string(route), "service", string(service), "by", "region")
		}
	}
	s.apart = apart
}

// Placements returns where objects belong, by service.
func (s *Steerer) Placements() map[namer.Service]spreader.Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Placements()
}

// Restore takes over where a service's objects belonged before a restart, and
// reports whether it did.
func (s *Steerer) Restore(service namer.Service, p spreader.Placement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Restore(s.clock.Now(), service, p)
}

// Ready reports whether requests can be steered.
func (s *Steerer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document != nil && len(s.view.Upstreams) > 0
}

// Regions returns the regions that may serve a host's routes, or nil for all.
func (s *Steerer) Regions(host string) []namer.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil
	}
	return s.table.AllowedRegions(host)
}

// Generation returns the generation of the document in force, 0 before the
// first.
func (s *Steerer) Generation() namer.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// Ingress returns the limits of callers' requests in force.
func (s *Steerer) Ingress() (parser.Ingress, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == nil {
		return parser.Ingress{}, false
	}
	return s.document.Ingress, true
}

// Counts returns what became of requests so far.
func (s *Steerer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Steerer) update() {
	if s.document == nil {
		return
	}
	s.selector.Update(s.clock.Now(), s.view, s.document)
	s.pump()
}

// match finds a request's route and the part of it that the request goes to.
func (s *Steerer) match(r Request) (*parser.Route, namer.Service, Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil, "", failure(http.StatusServiceUnavailable, CodeStarting, "no document is in force yet", startingRetry)
	}
	route, ok := s.table.Match(r.Host, r.Path)
	if !ok {
		return nil, "", failure(http.StatusNotFound, CodeNoRoute, "no route fits host and path", 0)
	}
	service := pick(route.Parts)
	now := s.clock.Now()
	s.budgetOf(service).CountRequest(now)
	s.selector.Arrive(now, route, service, objectOf(route, r))
	return route, service, Result{}
}

func (s *Steerer) budgetOf(service namer.Service) *budgeter.Budgeter {
	b := s.budgets[service]
	if b == nil {
		b = budgeter.New(s.budget.Ratio, s.budget.Window, s.budget.Started)
		s.budgets[service] = b
	}
	return b
}

// pick draws a part of a split by weight.
func pick(parts []parser.Part) namer.Service {
	if len(parts) == 1 {
		return parts[0].Service
	}
	total := 0
	for _, p := range parts {
		total += p.Weight
	}
	draw := rand.IntN(max(total, 1))
	for _, p := range parts {
		draw -= p.Weight
		if draw < 0 {
			return p.Service
		}
	}
	return parts[len(parts)-1].Service
}

func failure(status int, code Code, reason string, retry time.Duration) Result {
	return Result{Status: status, Code: code, Reason: reason, RetryAfter: retry}
}
