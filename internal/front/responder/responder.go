// Package responder answers callers over HTTP: look-ups, tokens, and requests
// to services. Whatever a caller sends is bounded in size, time and number
// before any of it is used.
//
// # Usage
//
//	r := responder.New(self, services, limits, clock, log)
//	server := &http.Server{Handler: r.Handler()}
package responder

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
	"github.com/waxwingloom/waxwingloom/internal/route/placer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

// The headers that the system sets on answers, and reads on requests.
const (
	VMHeader         = "Waxwing-Vm"
	UpstreamHeader   = "Waxwing-Upstream"
	GenerationHeader = "Waxwing-Generation"
	OutcomeHeader    = "Waxwing-Outcome"
	TokenHeader      = "Waxwing-Token"
	TimeoutHeader    = "Waxwing-Timeout"
)

type (
	// Placer answers look-ups.
	Placer interface {
		Place(service namer.Service, caller netip.Addr) (p placer.Placement, known, ready bool)
		Home(service namer.Service, caller netip.Addr) (namer.Zone, bool)
	}

	// Tokens mints tokens and runs once-only requests.
	Tokens interface {
		Mint(count int, life time.Duration, service namer.Service, ws []arbiter.Witness) ([]arbiter.Token, error)
		Run(ctx context.Context, t arbiter.Token, req forwarder.Request) arbiter.Outcome
	}

	// Router sends idempotent requests to upstreams.
	Router interface {
		DispatchIdempotent(ctx context.Context, req forwarder.Request) dispatcher.Result
	}

	// Members tells which entry VMs are there.
	Members interface {
		Members() []tracker.Member
	}

	// Documents tells what is in force.
	Documents interface {
		Current() *keeper.Snapshot
	}

	// Services is what a responder works with.
	Services struct {
		Placer    Placer
		Tokens    Tokens
		Router    Router
		Members   Members
		Documents Documents
	}

	// Identity says which VM answers.
	Identity struct {
		VM     namer.VM
		Zone   namer.Zone
		Region namer.Region
	}

	// Responder answers callers.
	Responder struct {
		self     Identity
		services Services
		limits   loader.Limits
		life     time.Duration
		clock    clockwork.Clock
		log      *slog.Logger
		busy     atomic.Int64
		leaving  atomic.Bool
		counts   *Counts
	}

	// readiness is the JSON body of a ready VM.
	readiness struct {
		Ready bool     `json:"ready"`
		VM    namer.VM `json:"vm"`
	}

	// failure is the JSON body of every answer that is not an upstream's.
	failure struct {
		Code    arbiter.Code `json:"code"`
		Outcome string       `json:"outcome"`
		Reason  string       `json:"reason"`
	}
)

// New returns a responder. Life is the time for which a token may be used.
func New(
	self Identity, s Services, limits loader.Limits, life time.Duration, clock clockwork.Clock, log *slog.Logger,
) *Responder {
	return &Responder{
		self: self, services: s, limits: limits, life: life, clock: clock, log: log, counts: newCounts(),
	}
}

// Handler returns the HTTP handler. There is no recovering middleware, since
// an answer that breaks off is aborted by a panic that net/http understands.
func (r *Responder) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = r.unmatched
	e.Use(r.bound)
	e.GET("/v1/lookup", r.lookup)
	e.POST("/v1/tokens", r.tokens)
	e.GET("/v1/ready", r.ready)
	e.Any("/v1/s/:service/*", r.serve)
	return e
}

// Leave makes the responder not ready, while it goes on serving.
func (r *Responder) Leave() {
	r.leaving.Store(true)
}

// Busy returns the number of requests in progress.
func (r *Responder) Busy() int64 {
	return r.busy.Load()
}

// Counts returns the counters for the metrics page.
func (r *Responder) Counts() *Counts {
	return r.counts
}

// bound refuses what is over the limits before a handler sees it.
func (r *Responder) bound(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r.mark(c)
		if headBytes(c.Request()) > r.limits.HeadBytes {
			return r.fail(c, http.StatusRequestHeaderFieldsTooLarge, notRun("head-too-large", "the request head is over the limit"))
		}
		if r.busy.Add(1) > int64(r.limits.Requests) {
			r.busy.Add(-1)
			return r.fail(c, http.StatusServiceUnavailable, busyOutcome(c))
		}
		defer r.busy.Add(-1)
		return next(c)
	}
}

// busyOutcome is what is told when too many requests are in progress. Of a
// request with a token only its owner or witness may say that it never ran.
func busyOutcome(c echo.Context) arbiter.Outcome {
	out := notRun("busy", "too many requests are in progress on this entry VM")
	if c.Request().Header.Get(TokenHeader) != "" {
		out.Told = arbiter.Unknown
	}
	return out
}

func (r *Responder) ready(c echo.Context) error {
	switch {
	case r.services.Documents.Current() == nil:
		return r.fail(c, http.StatusServiceUnavailable, notRun("not-ready", "no document from the platform or a peer yet"))
	case r.leaving.Load():
		return r.fail(c, http.StatusServiceUnavailable, notRun("leaving", "a planned stop is under way"))
	}
	return c.JSON(http.StatusOK, readiness{Ready: true, VM: r.self.VM})
}

// mark sets the headers that every answer carries.
func (r *Responder) mark(c echo.Context) {
	h := c.Response().Header()
	h.Set(VMHeader, string(r.self.VM))
	if f := r.services.Documents.Current(); f != nil {
		h.Set(GenerationHeader, f.Head.Generation.Text())
	}
}

func (r *Responder) fail(c echo.Context, status int, out arbiter.Outcome) error {
	h := c.Response().Header()
	h.Set(OutcomeHeader, out.Told.String())
	if out.Answer.Upstream != "" {
		h.Set(UpstreamHeader, string(out.Answer.Upstream))
	}
	r.counts.note(out)
	return c.JSON(status, failure{Code: out.Code, Outcome: out.Told.String(), Reason: out.Reason})
}

// unmatched answers what no route matches in the same form as any failure.
func (r *Responder) unmatched(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	out := notRun("internal", "the request could not be handled")
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
		out = notRun("no-route", "no such path or method")
	}
	if err := r.fail(c, status, out); err != nil {
		r.log.Debug("answer not written", "reason", err.Error())
	}
}

func notRun(code arbiter.Code, reason string) arbiter.Outcome {
	return arbiter.Outcome{Told: arbiter.NotRun, Code: code, Reason: reason}
}

// headBytes counts a request head as it came.
func headBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func callerAddr(req *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(req.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}
