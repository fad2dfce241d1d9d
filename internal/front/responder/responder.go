// Package responder implements callers' HTTP API: look-ups of entry VMs, minting of
// tokens, and requests to services. Limits on size, read time and concurrent requests
// are enforced before a request is processed. On a daemon that steers by routes, package
// receiver serves callers instead.
//
// # Usage
//
//	r := responder.New(self, deps, limits, tokenTTL, clock, log)
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
	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
	"github.com/waxwingloom/waxwingloom/internal/route/placer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

// Names of the headers that entry VMs set on responses or read from requests.
const (
	VMHeader         = "Waxwing-Vm"
	UpstreamHeader   = "Waxwing-Upstream"
	GenerationHeader = "Waxwing-Generation"
	OutcomeHeader    = "Waxwing-Outcome"
	TokenHeader      = "Waxwing-Token"
	TimeoutHeader    = "Waxwing-Timeout"
)

type (
	// Placer chooses the zone and entry VMs for a caller of a service. Lookup's known is
	// false for a service that the document lacks, and ready is false before there is a
	// document. Home returns the zone nearest to the caller, or false if there is none.
	Placer interface {
		Lookup(service namer.Service, caller netip.Addr) (r placer.Result, known, ready bool)
		Home(service namer.Service, caller netip.Addr) (namer.Zone, bool)
	}

	// TokenService mints tokens and runs once-only requests.
	TokenService interface {
		Mint(count int, ttl time.Duration, service namer.Service, ws []arbiter.WitnessPeer) ([]arbiter.Token, error)
		Run(ctx context.Context, t arbiter.Token, req forwarder.Request) arbiter.Outcome
	}

	// Router sends idempotent requests to upstreams.
	Router interface {
		DispatchIdempotent(ctx context.Context, req forwarder.Request) dispatcher.Result
	}

	// MemberLister lists the other entry VMs that this VM knows.
	MemberLister interface {
		Members() []tracker.Member
	}

	// DocumentSource returns the current steering document, nil before the first.
	DocumentSource interface {
		Current() *keeper.Snapshot
	}

	// Dependencies are the services that a Responder calls.
	Dependencies struct {
		Placer    Placer
		Tokens    TokenService
		Router    Router
		Members   MemberLister
		Documents DocumentSource
	}

	// Self is the name and location of this VM.
	Self struct {
		VM     namer.VM
		Zone   namer.Zone
		Region namer.Region
	}

	// Responder handles callers' requests.
	Responder struct {
		self         Self
		deps         Dependencies
		limits       loader.Limits
		tokenTTL     time.Duration
		clock        clockwork.Clock
		log          *slog.Logger
		inFlight     atomic.Int64
		shuttingDown atomic.Bool
		refusing     atomic.Bool
		counts       *Counts
	}

	// readiness is the JSON body of the readiness check's response if the VM is ready.
	readiness struct {
		Ready bool     `json:"ready"`
		VM    namer.VM `json:"vm"`
	}

	// failure is the JSON body of every error response that this VM generates.
	failure struct {
		Code    arbiter.Code `json:"code"`
		Outcome string       `json:"outcome"`
		Reason  string       `json:"reason"`
	}
)

// New returns a Responder. Tokens expire tokenTTL after they are minted.
func New(
	self Self, deps Dependencies, limits loader.Limits, tokenTTL time.Duration, clock clockwork.Clock, log *slog.Logger,
) *Responder {
	return &Responder{
		self: self, deps: deps, limits: limits, tokenTTL: tokenTTL, clock: clock, log: log, counts: newCounts(),
	}
}

// Handler returns the HTTP handler. It has no recover middleware: a truncated
// response is aborted by panicking with http.ErrAbortHandler, which net/http has to see.
func (r *Responder) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = r.handleError
	e.Use(r.enforceLimits)
	e.GET("/v1/lookup", r.lookup)
	e.POST("/v1/tokens", r.tokens)
	e.GET("/v1/ready", r.ready)
	e.Any("/v1/s/:service/*", r.serve)
	return e
}

// BeginShutdown makes the readiness check fail and stops the minting of tokens.
// Other requests are still served.
func (r *Responder) BeginShutdown() {
	r.shuttingDown.Store(true)
}

// RefuseNew makes the responder refuse all further requests to services, because the process
// ends before it could serve them. Once InFlight has then returned 0, none is in progress any
// more.
func (r *Responder) RefuseNew() {
	r.refusing.Store(true)
}

// InFlight returns the number of requests in progress.
func (r *Responder) InFlight() int64 {
	return r.inFlight.Load()
}

// Counts returns the counters for the metrics page.
func (r *Responder) Counts() *Counts {
	return r.counts
}

// enforceLimits is middleware that refuses requests with too large a head and
// requests over the limit on concurrent ones.
func (r *Responder) enforceLimits(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r.setCommonHeaders(c)
		if headBytes(c.Request()) > r.limits.MaxHeadBytes {
			return r.writeFailure(c, http.StatusRequestHeaderFieldsTooLarge, notRun("head-too-large", "the request head is over the limit"))
		}
		if r.inFlight.Add(1) > int64(r.limits.MaxInFlight) {
			r.inFlight.Add(-1)
			return r.writeFailure(c, http.StatusServiceUnavailable, busyOutcome(c))
		}
		defer r.inFlight.Add(-1)
		loan := accountant.HolderOf(c.Request().Context()).NewLoan()
		defer loan.Return()
		c.Set(loanKey, loan)
		return next(c)
	}
}

// busyOutcome returns the outcome of a request refused because too many are in
// progress. With a token, the outcome is unknown: another copy of the request may
// have run, and only the token's owner or witness can rule that out.
func busyOutcome(c echo.Context) arbiter.Outcome {
	out := notRun("busy", "too many requests are in progress on this entry VM")
	if c.Request().Header.Get(TokenHeader) != "" {
		out.Execution = arbiter.Unknown
	}
	return out
}

func (r *Responder) ready(c echo.Context) error {
	switch {
	case r.deps.Documents.Current() == nil:
		return r.writeFailure(c, http.StatusServiceUnavailable, notRun("not-ready", "no document from the platform or a peer yet"))
	case r.shuttingDown.Load():
		return r.writeFailure(c, http.StatusServiceUnavailable, notRun("leaving", "a planned stop is under way"))
	}
	return c.JSON(http.StatusOK, readiness{Ready: true, VM: r.self.VM})
}

// setCommonHeaders sets the headers that every response carries.
func (r *Responder) setCommonHeaders(c echo.Context) {
	h := c.Response().Header()
	h.Set(VMHeader, string(r.self.VM))
	if current := r.deps.Documents.Current(); current != nil {
		h.Set(GenerationHeader, current.Head.Generation.Text())
	}
}

// writeFailure writes an error response for out and counts it.
func (r *Responder) writeFailure(c echo.Context, status int, out arbiter.Outcome) error {
	h := c.Response().Header()
	h.Set(OutcomeHeader, out.Execution.String())
	if out.Response.Upstream != "" {
		h.Set(UpstreamHeader, string(out.Response.Upstream))
	}
	r.counts.countOutcome(out)
	return c.JSON(status, failure{Code: out.Code, Outcome: out.Execution.String(), Reason: out.Reason})
}

// handleError is the error handler of echo. It writes errors, such as those for
// unknown paths and methods, in the same form as other failures.
func (r *Responder) handleError(err error, c echo.Context) {
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
	if err := r.writeFailure(c, status, out); err != nil {
		r.log.Debug("writing the error response to the caller failed", "reason", err.Error())
	}
}

func notRun(code arbiter.Code, reason string) arbiter.Outcome {
	return arbiter.Outcome{Execution: arbiter.NotRun, Code: code, Reason: reason}
}

// headBytes returns the size of a request's line and headers as received.
func headBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// callerAddr returns the caller's IP address, or the zero Addr if it can't be parsed.
func callerAddr(req *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(req.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}
