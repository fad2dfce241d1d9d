package responder

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/admitter"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

// responseWriteGrace is the time after a request's deadline in which its response may
// still be written.
const responseWriteGrace = 2 * time.Second

// serve handles a request to a service. It reads the whole body before it dispatches
// the request, so that a caller that sends slowly occupies no upstream slot.
func (r *Responder) serve(c echo.Context) error {
	begun := r.clock.Now()
	req, class, status, out := r.parseRequest(c)
	if status != 0 {
		r.logOutcome(c, req, out, begun)
		return r.writeFailure(c, status, out)
	}
	rc := http.NewResponseController(c.Response())
	_ = rc.SetWriteDeadline(req.Deadline.Add(responseWriteGrace))
	if class.Once {
		out = r.runOnce(c, req)
		r.logOutcome(c, req, out, begun)
		return r.writeOnceResponse(c, out)
	}
	result := r.deps.Router.DispatchIdempotent(c.Request().Context(), req)
	r.logOutcome(c, req, result.Outcome, begun)
	return r.streamResponse(c, result)
}

// parseRequest reads a request and finds its class. If the status isn't 0, the request
// is refused with that status and outcome.
func (r *Responder) parseRequest(c echo.Context) (forwarder.Request, parser.Class, int, arbiter.Outcome) {
	in := c.Request()
	name := namer.Service(c.Param("service"))
	req := forwarder.Request{Service: name, Method: in.Method, Headers: forwarder.EndToEndHeaders(in.Header)}
	// The request counts as in progress already, so that a stop that then finds none in
	// progress has missed none.
	if r.refusing.Load() {
		c.Response().Header().Set("Connection", "close")
		return req, parser.Class{}, http.StatusServiceUnavailable, r.refuseEarly(c, "leaving", "this VM stops before the request could be served")
	}
	current := r.deps.Documents.Current()
	if current == nil {
		return req, parser.Class{}, http.StatusServiceUnavailable, r.refuseEarly(c, "not-ready", "no document from the platform or a peer yet")
	}
	service, ok := current.Document.Service(name)
	if !ok {
		return req, parser.Class{}, http.StatusNotFound, r.refuseEarly(c, dispatcher.CodeNoService, "no such service is in force")
	}
	path := strings.TrimPrefix(in.URL.EscapedPath(), "/v1/s/"+c.Param("service"))
	class, ok := service.Classify(in.Method, path)
	if !ok {
		return req, class, http.StatusNotFound, r.refuseEarly(c, dispatcher.CodeNoClass, "no class of the service has this method and path")
	}
	req.Class = class.Name
	req.Home, _ = r.deps.Placer.Home(name, callerAddr(in))
	req.Path = path
	if in.URL.RawQuery != "" {
		req.Path += "?" + in.URL.RawQuery
	}
	req.Deadline = r.clock.Now().Add(requestTimeout(in, class))
	body, status, out := r.readBody(c)
	req.Body = body
	return req, class, status, out
}

// refuseEarly returns the outcome of a request that is refused before its token is
// parsed. With a token, the outcome is unknown: another copy may have run before.
func (r *Responder) refuseEarly(c echo.Context, code arbiter.Code, reason string) arbiter.Outcome {
	out := notRun(code, reason)
	if c.Request().Header.Get(TokenHeader) != "" {
		out.Execution = arbiter.Unknown
	}
	return out
}

// readBody reads a request's body within the limits on size and time. If the status
// isn't 0, the request is refused with that status and outcome.
func (r *Responder) readBody(c echo.Context) ([]byte, int, arbiter.Outcome) {
	rc := http.NewResponseController(c.Response())
	_ = rc.SetReadDeadline(time.Now().Add(r.limits.ReadTimeout))
	holder := accountant.HolderOf(c.Request().Context())
	holder.Enter(r.clock.Now(), accountant.Reading)
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, r.limits.MaxRequestBodyBytes)
	body, err := io.ReadAll(&accountedReader{Reader: limited, loan: c.Get(loanKey).(*accountant.Loan), clock: r.clock})
	holder.Enter(r.clock.Now(), accountant.Running)
	if err == nil && holder.Evicted() {
		err = errNoRoom
	}
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return body, 0, arbiter.Outcome{}
	}
	// Without this, net/http reads the rest of the body before it writes the response,
	// so the caller could delay it without limit.
	c.Response().Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom) || holder.Evicted():
		return nil, http.StatusServiceUnavailable, r.refuseEarly(c, "busy", errNoRoom.Error())
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, r.refuseEarly(c, "body-too-large", "the request body is over the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, r.refuseEarly(c, "body-too-slow", "the request body did not come in time")
	}
	return nil, http.StatusBadRequest, r.refuseEarly(c, "body-broken", "the request body broke off")
}

// requestTimeout returns the class's deadline, or the caller's if that is shorter.
func requestTimeout(in *http.Request, class parser.Class) time.Duration {
	ms, err := strconv.ParseInt(in.Header.Get(TimeoutHeader), 10, 64)
	if err != nil || ms <= 0 || ms >= class.Deadline.Milliseconds() {
		return class.Deadline
	}
	return time.Duration(ms) * time.Millisecond
}

// runOnce checks a once-only request's token and runs the request under it.
func (r *Responder) runOnce(c echo.Context, req forwarder.Request) arbiter.Outcome {
	text := c.Request().Header.Get(TokenHeader)
	if text == "" {
		return notRun("no-token", "a once-only request needs a token in "+TokenHeader)
	}
	t, err := arbiter.ParseToken(text)
	if err != nil {
		return notRun("bad-token", "the text is no token")
	}
	if t.Service != req.Service {
		return arbiter.Outcome{Code: arbiter.CodeMismatch, Reason: "the token is for another service"}
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), req.Deadline)
	defer cancel()
	return r.deps.Tokens.Run(ctx, t, req)
}

// writeOnceResponse writes the response of a once-only request, or an error response if
// the request did not run or may not have run. The header Waxwing-Cut marks a
// response whose body was not stored.
func (r *Responder) writeOnceResponse(c echo.Context, out arbiter.Outcome) error {
	if out.Execution != arbiter.Ran {
		return r.writeFailure(c, failureStatus(out), out)
	}
	r.setResponseHeaders(c, out)
	if out.Response.BodyOmitted && out.Response.Body == nil {
		c.Response().Header().Set("Waxwing-Cut", "yes")
	}
	c.Response().WriteHeader(out.Response.Status)
	_, err := c.Response().Write(out.Response.Body)
	return errors.Wrap(err, "writing the response to the caller")
}

// streamResponse copies an upstream's response to the caller. If that fails, it aborts
// the caller's connection by a panic: if it returned an error, net/http would end the
// response as if it were complete.
func (r *Responder) streamResponse(c echo.Context, result dispatcher.Result) error {
	if result.Body == nil {
		return r.writeFailure(c, failureStatus(result.Outcome), result.Outcome)
	}
	defer func() { _ = result.Body.Close() }()
	r.setResponseHeaders(c, result.Outcome)
	c.Response().WriteHeader(result.Outcome.Response.Status)
	if _, err := io.Copy(c.Response().Writer, result.Body); err != nil {
		r.counts.Aborted.Add(1)
		r.log.Warn("aborted", "upstream", string(result.Outcome.Response.Upstream), "reason", err.Error())
		panic(http.ErrAbortHandler)
	}
	return nil
}

// setResponseHeaders copies the upstream's headers, adds this system's own and counts
// the outcome.
func (r *Responder) setResponseHeaders(c echo.Context, out arbiter.Outcome) {
	h := c.Response().Header()
	for _, kv := range out.Response.Headers {
		h.Add(kv.Name, kv.Value)
	}
	h.Set(UpstreamHeader, string(out.Response.Upstream))
	h.Set(OutcomeHeader, out.Execution.String())
	r.counts.countOutcome(out)
}

func (r *Responder) logOutcome(c echo.Context, req forwarder.Request, out arbiter.Outcome, begun time.Time) {
	r.log.Info("routed",
		"service", string(req.Service),
		"class", string(req.Class),
		"caller", callerAddr(c.Request()),
		"told", out.Execution.String(),
		"upstream", string(out.Response.Upstream),
		"by", string(out.Response.VM),
		"status", out.Response.Status,
		"code", string(out.Code),
		"reason", out.Reason,
		"took", r.clock.Since(begun))
}

// failureStatus returns the HTTP status of an outcome without an upstream's response.
func failureStatus(out arbiter.Outcome) int {
	switch out.Code {
	case "no-token":
		return http.StatusPreconditionRequired
	case "bad-token", arbiter.CodeForged:
		return http.StatusBadRequest
	case arbiter.CodeMismatch:
		return http.StatusUnprocessableEntity
	case arbiter.CodeInProgress:
		return http.StatusGatewayTimeout
	case dispatcher.CodeNoService, dispatcher.CodeNoClass:
		return http.StatusNotFound
	case admitter.CodeDeadlineExceeded, admitter.CodeQueueFull, admitter.CodeNoUpstream, admitter.CodeTooHeavy, dispatcher.CodeShiftCapped:
		return http.StatusServiceUnavailable
	}
	if out.Execution == arbiter.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
