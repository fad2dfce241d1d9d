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
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/admitter"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

// graceTime is added to a request's deadline for writing its outcome.
const graceTime = 2 * time.Second

// serve takes a request to a service. Its body is read whole before anything
// is decided, so that a slow caller holds no slot.
func (r *Responder) serve(c echo.Context) error {
	begun := r.clock.Now()
	req, class, status, out := r.request(c)
	if status != 0 {
		r.logRoute(c, req, out, begun)
		return r.fail(c, status, out)
	}
	rc := http.NewResponseController(c.Response())
	_ = rc.SetWriteDeadline(req.Deadline.Add(graceTime))
	if class.Once {
		out = r.once(c, req)
		r.logRoute(c, req, out, begun)
		return r.writeOnce(c, out)
	}
	result := r.services.Router.Read(c.Request().Context(), req)
	r.logRoute(c, req, result.Outcome, begun)
	return r.writeRead(c, result)
}

// request reads and classifies a request. A status other than 0 refuses it.
func (r *Responder) request(c echo.Context) (forwarder.Request, parser.Class, int, arbiter.Outcome) {
	in := c.Request()
	name := namer.Service(c.Param("service"))
	req := forwarder.Request{Service: name, Method: in.Method, Headers: forwarder.EndToEndHeaders(in.Header)}
	force := r.services.Documents.Current()
	if force == nil {
		return req, parser.Class{}, http.StatusServiceUnavailable, r.early(c, "not-ready", "no document from the platform or a peer yet")
	}
	service, ok := force.Document.Service(name)
	if !ok {
		return req, parser.Class{}, http.StatusNotFound, r.early(c, dispatcher.CodeNoService, "no such service is in force")
	}
	path := strings.TrimPrefix(in.URL.EscapedPath(), "/v1/s/"+c.Param("service"))
	class, ok := service.Classify(in.Method, path)
	if !ok {
		return req, class, http.StatusNotFound, r.early(c, dispatcher.CodeNoClass, "no class of the service has this method and path")
	}
	req.Class = class.Name
	req.Home, _ = r.services.Placer.Home(name, callerAddr(in))
	req.Path = path
	if in.URL.RawQuery != "" {
		req.Path += "?" + in.URL.RawQuery
	}
	req.Deadline = r.clock.Now().Add(timeout(in, class))
	body, status, out := r.body(c)
	req.Body = body
	return req, class, status, out
}

// early refuses a request before its token was looked at. A request with a
// token may have run before, so this VM can't say that it did not.
func (r *Responder) early(c echo.Context, code arbiter.Code, reason string) arbiter.Outcome {
	out := notRun(code, reason)
	if c.Request().Header.Get(TokenHeader) != "" {
		out.Told = arbiter.Unknown
	}
	return out
}

// body reads a request's body within the limits of size and time.
func (r *Responder) body(c echo.Context) ([]byte, int, arbiter.Outcome) {
	rc := http.NewResponseController(c.Response())
	_ = rc.SetReadDeadline(time.Now().Add(r.limits.ReadTime))
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, r.limits.BodyBytes))
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return body, 0, arbiter.Outcome{}
	}
	// The server would otherwise read the rest of the body before it answers,
	// and wait for as long as the caller likes.
	c.Response().Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, r.early(c, "body-too-large", "the request body is over the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, r.early(c, "body-too-slow", "the request body did not come in time")
	}
	return nil, http.StatusBadRequest, r.early(c, "body-broken", "the request body broke off")
}

// timeout is the class's deadline, or less when the caller asks for less.
func timeout(in *http.Request, class parser.Class) time.Duration {
	ms, err := strconv.ParseInt(in.Header.Get(TimeoutHeader), 10, 64)
	if err != nil || ms <= 0 {
		return class.Deadline
	}
	return min(class.Deadline, time.Duration(ms)*time.Millisecond)
}

func (r *Responder) once(c echo.Context, req forwarder.Request) arbiter.Outcome {
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
	return r.services.Tokens.Run(ctx, t, req)
}

func (r *Responder) writeOnce(c echo.Context, out arbiter.Outcome) error {
	if out.Told != arbiter.Ran {
		return r.fail(c, statusOf(out), out)
	}
	r.head(c, out)
	if out.Answer.Cut && out.Answer.Body == nil {
		c.Response().Header().Set("Waxwing-Cut", "yes")
	}
	c.Response().WriteHeader(out.Answer.Status)
	_, err := c.Response().Write(out.Answer.Body)
	return errors.Wrap(err, "writing an answer")
}

// writeRead copies an answer as it comes. When it breaks off the caller's
// connection is aborted: returning an error would let the server end the
// answer as if it were whole.
func (r *Responder) writeRead(c echo.Context, result dispatcher.Result) error {
	if result.Body == nil {
		return r.fail(c, statusOf(result.Outcome), result.Outcome)
	}
	defer func() { _ = result.Body.Close() }()
	r.head(c, result.Outcome)
	c.Response().WriteHeader(result.Outcome.Answer.Status)
	if _, err := io.Copy(c.Response().Writer, result.Body); err != nil {
		r.counts.Aborted.Add(1)
		r.log.Warn("aborted", "upstream", string(result.Outcome.Answer.Upstream), "reason", err.Error())
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (r *Responder) head(c echo.Context, out arbiter.Outcome) {
	h := c.Response().Header()
	for _, kv := range out.Answer.Headers {
		h.Add(kv.Name, kv.Value)
	}
	h.Set(UpstreamHeader, string(out.Answer.Upstream))
	h.Set(OutcomeHeader, out.Told.String())
	r.counts.note(out)
}

func (r *Responder) logRoute(c echo.Context, req forwarder.Request, out arbiter.Outcome, begun time.Time) {
	r.log.Info("routed",
		"service", string(req.Service),
		"class", string(req.Class),
		"caller", callerAddr(c.Request()),
		"told", out.Told.String(),
		"upstream", string(out.Answer.Upstream),
		"by", string(out.Answer.VM),
		"status", out.Answer.Status,
		"code", string(out.Code),
		"reason", out.Reason,
		"took", r.clock.Since(begun))
}

// statusOf returns the HTTP status of an outcome without an answer.
func statusOf(out arbiter.Outcome) int {
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
	case admitter.CodeDeadline, admitter.CodeQueueFull, admitter.CodeNoUpstream, admitter.CodeHeavy, dispatcher.CodeCapped:
		return http.StatusServiceUnavailable
	}
	if out.Told == arbiter.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
