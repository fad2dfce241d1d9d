package steerer

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

const (
	// noDocumentRetryAfter is when a caller should come back to a VM that has no
	// document yet; reading it takes a few round trips to the store.
	noDocumentRetryAfter = 200 * time.Millisecond
	// immediateRetryAfter is when a caller should come back after an upstream with free
	// slots refused it: at once, since waiting makes no more room.
	immediateRetryAfter = 10 * time.Millisecond
	// minSendTime is the time below which a request is not sent any more; the way
	// to an upstream and back takes as long.
	minSendTime = 20 * time.Millisecond
	// maxUnsentAttempts bounds the upstreams that could not be reached before a
	// request is refused.
	maxUnsentAttempts = 4
)

// What an attempt at one upstream showed.
const (
	outcomeFinal attemptOutcome = iota
	// outcomeUnsent and refused prove that the request did not run.
	outcomeUnsent
	outcomeRefused
	// outcomeUnknown says that it may have run.
	outcomeUnknown
	outcomeCanceled
)

type (
	attemptOutcome int

	// activeRequest is the state of one request on its way.
	activeRequest struct {
		request        Request
		route          *parser.Route
		service        namer.Service
		deadline       time.Time
		tried          []namer.Upstream
		sendCount      int
		unsentAttempts int
		// mayHaveRun says that an upstream may have run the request.
		mayHaveRun bool
		// refusedWithFreeSlots says that the last one that refused it had refusedWithFreeSlots slots.
		refusedWithFreeSlots bool
		lastResult           Result
	}
)

// Steer takes a request to an upstream and returns the result. The end of ctx
// says that the caller has gone.
func (s *Steerer) Steer(ctx context.Context, r Request) Result {
	route, service, failed := s.match(r)
	if route == nil {
		return failed
	}
	limit := route.Timeout
	if r.Remaining > 0 {
		limit = min(limit, r.Remaining)
	}
	a := &activeRequest{request: r, route: route, service: service, deadline: r.ReceivedAt.Add(limit)}
	result := shuttingDownResult()
	if s.runsUntil(a.deadline) {
		result = s.sendUntilFinal(ctx, a)
	}
	result.Route = route.Name
	result.SendCount = a.sendCount
	s.countResult(result)
	return result
}

func (s *Steerer) sendUntilFinal(ctx context.Context, a *activeRequest) Result {
	for {
		d := s.acquireUpstream(ctx, a)
		if ctx.Err() != nil {
			if d.Kind == selector.Send {
				s.release(d, selector.Report{Load: -1, Unknown: true})
			}
			return failure(http.StatusServiceUnavailable, CodeCallerGone, "the caller has gone", 0)
		}
		if d.Kind != selector.Send {
			return s.refusedResult(a, d)
		}
		result, v := s.attempt(ctx, a, d)
		switch v {
		case outcomeFinal:
			return result
		case outcomeCanceled:
			return failure(http.StatusBadGateway, CodeCallerGone, "the caller has gone", 0)
		case outcomeUnsent:
			a.unsentAttempts++
		case outcomeRefused:
			a.lastResult = result
		case outcomeUnknown:
			a.mayHaveRun = true
			a.lastResult = result
		}
		if !s.mayRetry(a, v) {
			return s.failedResult(a)
		}
	}
}

// mayRetry reports whether the request may be sent to another upstream.
func (s *Steerer) mayRetry(a *activeRequest, v attemptOutcome) bool {
	now := s.clock.Now()
	if a.deadline.Sub(now) < minSendTime || a.unsentAttempts > maxUnsentAttempts {
		return false
	}
	if v == outcomeUnsent {
		return true
	}
	if v == outcomeUnknown && a.route.Once || a.sendCount >= a.route.Attempts {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retryBudgetFor(a.service).Spend(now) {
		return false
	}
	s.counts.Resent++
	return true
}

// failedResult is the result of a request that no further upstream may get.
func (s *Steerer) failedResult(a *activeRequest) Result {
	if !a.mayHaveRun {
		return failure(http.StatusServiceUnavailable, CodeRefused, "no upstream took the request", s.retryAfter(a))
	}
	if a.lastResult.Code == "" {
		return a.lastResult
	}
	if !s.clock.Now().Before(a.deadline) {
		return failure(http.StatusGatewayTimeout, CodeDeadlineExceeded, a.lastResult.Reason, 0)
	}
	return failure(http.StatusBadGateway, CodeOutcomeUnknown, a.lastResult.Reason, 0)
}

// refusedResult is the result of a request for which no upstream can be had in time.
func (s *Steerer) refusedResult(a *activeRequest, d selector.Decision) Result {
	if a.mayHaveRun {
		return s.failedResult(a)
	}
	if !s.runsUntil(a.deadline) {
		return shuttingDownResult()
	}
	return failure(http.StatusServiceUnavailable, CodeRefused, string(d.Reason), d.RetryAfter)
}

// shuttingDownResult is the result of a request that other VMs can serve at once.
func shuttingDownResult() Result {
	return failure(http.StatusServiceUnavailable, CodeShuttingDown, "this VM stops before the request's time limit", immediateRetryAfter)
}

func (s *Steerer) retryAfter(a *activeRequest) time.Duration {
	if a.refusedWithFreeSlots {
		return immediateRetryAfter
	}
	return max(a.route.Target/2, noDocumentRetryAfter)
}

// attempt sends a request to one upstream.
func (s *Steerer) attempt(ctx context.Context, a *activeRequest, d selector.Decision) (Result, attemptOutcome) {
	target := d.Target()
	begun := s.clock.Now()
	left := a.deadline.Sub(begun)
	if left < minSendTime {
		s.release(d, selector.Report{Load: -1, Unknown: true})
		return failure(http.StatusServiceUnavailable, CodeDeadlineExceeded, "no time is left", s.retryAfter(a)), outcomeUnsent
	}
	if a.route.Once {
		// What may run only once goes on when its caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	answer, err := s.upstreams.Exchange(ctx,
		target,
		exchanger.Request{
			Method:        a.request.Method,
			Head:          s.requestHead(a, target.Upstream, left),
			Body:          a.request.Body,
			AttemptHeader: s.headers.Attempt,
			Attempt:       a.request.AttemptID,
			Deadline:      a.deadline,
			Usable:        func() bool { return s.usable(d) },
		})
	a.tried = append(a.tried, target.Upstream)
	took := s.clock.Since(begun)
	if errors.Is(err, exchanger.ErrUnsent) {
		// A caller or an upstream that has left says nothing of how the upstream is reached.
		left := ctx.Err() != nil || !s.usable(d)
		s.release(d, selector.Report{Unreached: !left, Unknown: left, Load: -1})
		s.logAttempt(a, d, 0, "unreached", took, err)
		return failure(http.StatusServiceUnavailable, CodeRefused, err.Error(), 0), outcomeUnsent
	}
	a.sendCount++
	if err != nil {
		return s.handleSendError(ctx, a, d, took, err)
	}
	return s.handleResponse(a, d, took, answer)
}

// usable reports whether the upstream of a decision may still be sent to.
func (s *Steerer) usable(d selector.Decision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Usable(d)
}

// handleSendError judges a send that got no whole answer.
func (s *Steerer) handleSendError(
	ctx context.Context, a *activeRequest, d selector.Decision, took time.Duration, err error,
) (Result, attemptOutcome) {
	gone := ctx.Err() != nil
	s.release(d, selector.Report{Failed: !gone, Unknown: gone, Load: -1})
	s.logAttempt(a, d, 0, "broken", took, err)
	if gone {
		return Result{}, outcomeCanceled
	}
	return failure(http.StatusBadGateway, CodeOutcomeUnknown, err.Error(), 0), outcomeUnknown
}

// handleResponse judges an upstream's answer.
func (s *Steerer) handleResponse(
	a *activeRequest, d selector.Decision, took time.Duration, answer exchanger.Answer,
) (Result, attemptOutcome) {
	requests, slots := parseLoad(answer.Header.Get(s.headers.Load))
	report := selector.Report{Latency: took, Opening: answer.Opening, Load: requests, Bytes: transferSize(a, answer)}
	result := Result{
		Status: answer.Status, Header: answer.Header, Body: answer.Body, Rest: answer.Rest, Length: answer.Length,
	}
	switch {
	case answer.Header.Get(s.headers.Refused) != "" || answer.Status == http.StatusMisdirectedRequest:
		report.Refused = true
		report.Latency = 0
		a.refusedWithFreeSlots = requests >= 0 && requests < slots
		s.release(d, report)
		s.logAttempt(a, d, answer.Status, "refused", took, nil)
		closeRest(answer)
		return failure(http.StatusServiceUnavailable, CodeRefused, "the upstream refused the request", 0), outcomeRefused
	case answer.Header.Get("Content-Encoding") != "" || answer.Status < 300 && answer.Header.Get(s.headers.Signature) == "":
		report.Failed = true
		s.release(d, report)
		s.logAttempt(a, d, answer.Status, "spoiled", took, nil)
		closeRest(answer)
		return failure(http.StatusBadGateway, CodeOutcomeUnknown, "the answer is not the upstream's own", 0), outcomeUnknown
	case answer.Status >= http.StatusInternalServerError:
		report.Failed = true
		s.release(d, report)
		s.logAttempt(a, d, answer.Status, "failed", took, nil)
		if a.route.Once || answer.Rest != nil {
			return result, outcomeFinal
		}
		return result, outcomeUnknown
	}
	s.release(d, report)
	s.logAttempt(a, d, answer.Status, "answered", took, nil)
	return result, outcomeFinal
}

// transferSize returns the bytes of a request and its answer.
func transferSize(a *activeRequest, answer exchanger.Answer) int {
	size := len(a.request.Target) + len(a.request.Body) + max(len(answer.Body), int(answer.Length))
	for _, header := range []http.Header{a.request.Header, answer.Header} {
		for name, values := range header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
	}
	return size
}

func closeRest(answer exchanger.Answer) {
	if answer.Rest != nil {
		_ = answer.Rest.Close()
	}
}

// requestHead is the request's requestHead as it is sent to one upstream.
func (s *Steerer) requestHead(a *activeRequest, name namer.Upstream, left time.Duration) []byte {
	r := a.request
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer returns no error.
	_ = r.Header.Write(&b)
	b.WriteString(s.headers.Remaining + ": " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n")
	b.WriteString(s.headers.Expect + ": " + string(name) + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// parseLoad reads the running and waiting requests and the slots of an upstream. The
// requests are -1 when it told none.
func parseLoad(text string) (requests, slots int) {
	fields := strings.Split(text, ",")
	if len(fields) < 2 {
		return -1, 0
	}
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		switch {
		case err != nil:
			return -1, 0
		case i < 2:
			requests += n
		default:
			slots = n
		}
	}
	return requests, slots
}

func (s *Steerer) countResult(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Code == "":
		s.counts.Answered++
	case r.Status == http.StatusServiceUnavailable:
		s.counts.Refused++
	default:
		s.counts.Failed++
	}
}

// logAttempt tells of one send: what decided it, and what came of it.
func (s *Steerer) logAttempt(a *activeRequest, d selector.Decision, status int, what string, took time.Duration, err error) {
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	s.log.Info("sent", "attempt", a.request.AttemptID, "route", string(a.route.Name), "service", string(a.service),
		"upstream", string(d.Target().Upstream), "zone", string(d.Zone), "by", string(d.Reason), "load", math.Round(10*d.Load)/10, "loadage", d.LoadAge,
		"expected", d.Expected, "viewage", s.viewAge().Round(time.Millisecond), "outcome", what, "status", status, "took", took, "reason", reason)
}
