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
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/route/scheduler"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

const (
	// defaultRetryAfter is the Retry-After of a VM that has no steering document yet, and
	// the lower bound of retryAfter for full upstreams. Reading the document takes a few
	// round trips to the store.
	defaultRetryAfter = 200 * time.Millisecond
	// immediateRetryAfter is the Retry-After when waiting would not help: an upstream
	// refused the request although it had free slots, or this process shuts down and
	// other VMs can serve the request at once.
	immediateRetryAfter = 10 * time.Millisecond
	// minSendTime is the shortest time left before the deadline in which a request is
	// still sent. A round trip to an upstream takes about this long.
	minSendTime = 20 * time.Millisecond
	// maxUnsentAttempts is how many attempts of a request may end without anything sent,
	// such as when an upstream can't be reached. One more ends the request.
	maxUnsentAttempts = 4
	// leavingValue is the value of the leaving header of an upstream that shuts down.
	leavingValue = "1"
	// maxUpstreamPause is the longest time for which an upstream gets no requests because
	// it asked for that. It limits the effect of an absurd Retry-After.
	maxUpstreamPause = time.Hour
)

// The outcomes of an attempt at one upstream.
const (
	// outcomeFinal means that the response goes to the caller.
	outcomeFinal attemptOutcome = iota
	// outcomeUnsent and outcomeRefused prove that the upstream did not run the request.
	outcomeUnsent
	outcomeRefused
	// outcomeUnknown means that the upstream may have run the request.
	outcomeUnknown
	// outcomeCanceled means that the caller disconnected during the attempt.
	outcomeCanceled
)

type (
	attemptOutcome int

	// activeRequest is the state of a request from its arrival to its result.
	activeRequest struct {
		request        Request
		route          *parser.Route
		service        namer.Service
		deadline       time.Time
		tried          []namer.Upstream
		sendCount      int
		unsentAttempts int
		// mayHaveRun is set once an upstream may have run the request.
		mayHaveRun bool
		// refusedWithFreeSlots reports whether the last upstream that refused the request
		// had free slots and did not ask for a pause.
		refusedWithFreeSlots bool
		lastResult           Result
		// scheduled is the current attempt, nil before the first one.
		scheduled *scheduler.Request
		// cachedFingerprints is nil until they are needed.
		cachedFingerprints *quarantiner.Fingerprints
		// account is nil where requests need none.
		account *parser.Account
		// credentialDropped is set once the headers hold no credential any more.
		credentialDropped bool
	}
)

// Steer sends a request to an upstream, retries it where that is safe, and returns
// the result. Cancel ctx when the caller disconnects.
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
	result, admitted := s.admitAccount(ctx, a)
	if admitted {
		s.countArrival(a)
		result = ShuttingDownResult()
		if s.runsUntil(a.deadline) {
			result = s.sendUntilFinal(ctx, a)
		}
	}
	result.Route = route.Name
	result.SendCount = a.sendCount
	s.tallyAccount(a, &result)
	s.countResult(result)
	return result
}

// sendUntilFinal makes attempts at one upstream after another until the request has a
// result or must not be sent again.
func (s *Steerer) sendUntilFinal(ctx context.Context, a *activeRequest) Result {
	for first := true; ; first = false {
		if !first {
			if denied, ok := s.recheckAccount(a); !ok {
				return denied
			}
		}
		if s.isQuarantined(a) {
			return s.quarantinedResult(a)
		}
		d := s.acquireUpstream(ctx, a)
		if ctx.Err() != nil {
			if d.Action == selector.Send {
				s.release(a, d, selector.Report{Load: -1, Unsent: true, Inconclusive: true})
			}
			return failure(http.StatusServiceUnavailable, CodeCallerGone, "the caller has gone", 0)
		}
		if d.Action != selector.Send {
			return s.refusedResult(a, d)
		}
		result, outcome := s.attempt(ctx, a, d)
		switch outcome {
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
		if a.callerGone(ctx) {
			return failure(http.StatusBadGateway, CodeCallerGone, "the caller has gone", 0)
		}
		if !s.mayRetry(a, outcome) {
			return s.failedResult(a)
		}
	}
}

// mayRetry reports whether the request may be sent to another upstream, and takes the
// retry out of the service's retry budget. An attempt that sent nothing is free. A
// once-only request is not retried when it may have run.
func (s *Steerer) mayRetry(a *activeRequest, outcome attemptOutcome) bool {
	now := s.clock.Now()
	if a.deadline.Sub(now) < minSendTime || a.unsentAttempts > maxUnsentAttempts {
		return false
	}
	if outcome == outcomeUnsent {
		return true
	}
	if outcome == outcomeUnknown && a.route.Once || a.sendCount >= a.route.AttemptLimit {
		return false
	}
	if s.quarantineDecision(a).Action != quarantiner.Admit {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retryBudgetFor(a.service).TakeRetry(now) {
		return false
	}
	s.counts.Resent++
	return true
}

// failedResult returns the result of a request that must not be sent again. It is a
// refusal only if no upstream may have run the request.
func (s *Steerer) failedResult(a *activeRequest) Result {
	if !a.mayHaveRun {
		return failure(http.StatusServiceUnavailable, CodeRefused, "no upstream took the request", s.retryAfterRefusal(a))
	}
	if a.lastResult.Code == "" {
		return a.lastResult
	}
	if !s.clock.Now().Before(a.deadline) {
		return failure(http.StatusGatewayTimeout, CodeDeadlineExceeded, a.lastResult.Reason, 0)
	}
	return failure(http.StatusBadGateway, CodeOutcomeUnknown, a.lastResult.Reason, 0)
}

// refusedResult returns the result of a request for which no upstream becomes
// available before the deadline.
func (s *Steerer) refusedResult(a *activeRequest, d selector.Decision) Result {
	if a.mayHaveRun {
		return s.failedResult(a)
	}
	if !s.runsUntil(a.deadline) {
		return ShuttingDownResult()
	}
	return failure(http.StatusServiceUnavailable, CodeRefused, string(d.Reason), d.RetryAfter)
}

// ShuttingDownResult refuses a request whose deadline is after this process ends. The
// caller can retry at another VM at once.
func ShuttingDownResult() Result {
	return failure(http.StatusServiceUnavailable, CodeShuttingDown, "this VM stops before the request's time limit", immediateRetryAfter)
}

// retryAfter returns the Retry-After of a refused request: almost none if the last upstream
// that refused it had free slots, otherwise half of the route's target latency, but at
// least defaultRetryAfter.
func (s *Steerer) retryAfter(a *activeRequest) time.Duration {
	if a.refusedWithFreeSlots {
		return immediateRetryAfter
	}
	return max(a.route.LatencyTarget/2, defaultRetryAfter)
}

// retryAfterRefusal returns the Retry-After of a request that upstreams refused: the time
// until the first pause ends if all upstreams that may serve it are paused.
func (s *Steerer) retryAfterRefusal(a *activeRequest) time.Duration {
	s.mu.Lock()
	pause := s.selector.PauseLeft(s.clock.Now(), s.selectorRequest(a))
	s.mu.Unlock()
	if pause > 0 {
		return pause
	}
	return s.retryAfter(a)
}

// attempt sends a request to the upstream of a decision, and reports the result to the
// selector.
func (s *Steerer) attempt(ctx context.Context, a *activeRequest, d selector.Decision) (Result, attemptOutcome) {
	target := d.Target()
	start := s.clock.Now()
	timeLeft := a.deadline.Sub(start)
	admitted := true
	admit := func() bool {
		admitted = !s.isQuarantined(a) && s.accountHolds(a) && s.admit(d)
		return admitted
	}
	if timeLeft < minSendTime {
		s.release(a, d, selector.Report{Load: -1, Unsent: true, Inconclusive: true})
		return failure(http.StatusServiceUnavailable, CodeDeadlineExceeded, "no time is left", s.retryAfter(a)), outcomeUnsent
	}
	head := s.requestHead(a, target.Upstream, timeLeft)
	size := int64(len(head) + a.request.bodyBytes())
	if !s.weights.Take(target, size) {
		return s.tooMuchAtUpstream(a, d), outcomeUnsent
	}
	defer s.weights.Give(target, size)
	resp, err := s.upstreams.Exchange(ctx,
		target,
		exchanger.Request{
			Method:        a.request.Method,
			Head:          head,
			Body:          a.request.Body,
			BodyRest:      a.request.BodyRest,
			AttemptHeader: s.headers.AttemptID,
			AttemptID:     a.request.AttemptID,
			Deadline:      a.deadline,
			Usable:        admit,
			CallerGone:    func() bool { return a.callerGone(ctx) },
			ReserveBytes:  a.request.ReserveBytes,
			// A once-only request that was sent goes on when its caller disconnects.
			Detached: a.route.Once,
		})
	a.tried = append(a.tried, target.Upstream)
	took := s.clock.Since(start)
	if errors.Is(err, exchanger.ErrNotSent) {
		// If the caller disconnected, the request was quarantined, or the upstream was removed,
		// drained or found to be cold meanwhile, the error does not show that the upstream is
		// unreachable.
		inconclusive := a.callerGone(ctx) || !admitted || s.isQuarantined(a) || !s.usable(d)
		s.release(a, d, selector.Report{Unsent: true, ConnectFailed: !inconclusive, Inconclusive: inconclusive, Load: -1})
		s.logAttempt(a, d, 0, "unreached", took, err)
		if a.callerGone(ctx) {
			return Result{}, outcomeCanceled
		}
		return failure(http.StatusServiceUnavailable, CodeRefused, err.Error(), 0), outcomeUnsent
	}
	a.sendCount++
	if err != nil {
		return s.handleSendError(ctx, a, d, took, err)
	}
	return s.handleResponse(a, d, took, resp)
}

// callerGone reports whether the caller has disconnected. The connection is asked as well,
// since ctx is canceled by a goroutine that may run later than this one.
func (a *activeRequest) callerGone(ctx context.Context) bool {
	return ctx.Err() != nil || a.request.CallerGone != nil && a.request.CallerGone()
}

// usable reports whether the upstream of a decision still takes new requests.
func (s *Steerer) usable(d selector.Decision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Usable(s.clock.Now(), d)
}

// admit reports whether a request may be sent to the upstream of its decision now.
func (s *Steerer) admit(d selector.Decision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Admit(s.clock.Now(), d)
}

// handleSendError handles a request that was sent and got no complete response. The
// upstream may have run it.
func (s *Steerer) handleSendError(
	ctx context.Context, a *activeRequest, d selector.Decision, took time.Duration, err error,
) (Result, attemptOutcome) {
	canceled := ctx.Err() != nil && !a.route.Once
	s.release(a, d, selector.Report{Failed: !canceled, Inconclusive: canceled, Load: -1})
	s.logAttempt(a, d, 0, "broken", took, err)
	if canceled {
		return Result{}, outcomeCanceled
	}
	s.recordBroken(a, d, err)
	return failure(http.StatusBadGateway, CodeOutcomeUnknown, err.Error(), 0), outcomeUnknown
}

// handleResponse classifies a response. One that has a Content-Encoding, or a success
// without the upstream's signature, does not come from the upstream as it was sent, so
// the request may or may not have run.
func (s *Steerer) handleResponse(
	a *activeRequest, d selector.Decision, took time.Duration, resp exchanger.Response,
) (Result, attemptOutcome) {
	load := parseLoad(resp.Header.Get(s.headers.Load))
	report := selector.Report{Latency: took, ConnectTime: resp.ConnectTime, Load: load.requests, HostSlowness: load.hostSlowness, Bytes: transferSize(a, resp)}
	s.readNotice(&report, d, resp)
	result := Result{
		Status: resp.Status, Header: resp.Header, Body: resp.Body, Rest: resp.Rest, ContentLength: resp.ContentLength,
	}
	switch {
	case resp.Header.Get(s.headers.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest:
		report.Refused = true
		report.Latency = 0
		a.refusedWithFreeSlots = load.hasFreeSlot() && report.RetryAfter == 0
		s.release(a, d, report)
		s.logAttempt(a, d, resp.Status, "refused", took, nil)
		closeRest(resp)
		return failure(http.StatusServiceUnavailable, CodeRefused, "the upstream refused the request", 0), outcomeRefused
	case resp.Header.Get("Content-Encoding") != "" || resp.Status < 300 && resp.Header.Get(s.headers.Signature) == "":
		report.Failed = true
		s.release(a, d, report)
		s.logAttempt(a, d, resp.Status, "spoiled", took, nil)
		closeRest(resp)
		return failure(http.StatusBadGateway, CodeOutcomeUnknown, "the answer is not the upstream's own", 0), outcomeUnknown
	case resp.Status >= http.StatusInternalServerError:
		report.Failed = true
		s.release(a, d, report)
		s.logAttempt(a, d, resp.Status, "failed", took, nil)
		if a.route.Once || resp.Rest != nil {
			return result, outcomeFinal
		}
		return result, outcomeUnknown
	}
	s.release(a, d, report)
	if result.Rest != nil {
		result.Rest = &observedRest{ReadCloser: result.Rest, steerer: s, request: a, decision: d}
	} else if resp.Header.Get(s.headers.Signature) != "" {
		s.recordResponse(a)
	}
	s.logAttempt(a, d, resp.Status, "answered", took, nil)
	return result, outcomeFinal
}

// readNotice adds to a report what the upstream announced in its response. A misdirected
// request was answered by another upstream than the one of the decision.
func (s *Steerer) readNotice(report *selector.Report, d selector.Decision, resp exchanger.Response) {
	if resp.Status == http.StatusMisdirectedRequest {
		return
	}
	if resp.Header.Get(s.headers.Leaving) == leavingValue {
		report.Leaving = true
		s.log.Info("upstream leaving; it gets no further request", "upstream", string(d.Target().Upstream), "zone", string(d.Zone), "born", d.Target().StartedMs)
	}
	if resp.Status != http.StatusServiceUnavailable {
		return
	}
	report.RetryAfter = parseRetryAfter(resp.Header.Get("Retry-After"))
	if report.RetryAfter > 0 {
		s.log.Info("upstream paused; it gets no request for a time", "upstream", string(d.Target().Upstream), "zone", string(d.Zone), "for", report.RetryAfter)
	}
}

// transferSize returns the approximate size of a request and its response in bytes.
func transferSize(a *activeRequest, resp exchanger.Response) int {
	size := len(a.request.Target) + a.request.bodyBytes() + max(len(resp.Body), int(resp.ContentLength))
	for _, header := range []http.Header{a.request.Header, resp.Header} {
		for name, values := range header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
	}
	return size
}

// bodyBytes returns the length of the request's body.
func (r *Request) bodyBytes() int {
	n := len(r.Body)
	for _, part := range r.BodyRest {
		n += len(part)
	}
	return n
}

func closeRest(resp exchanger.Response) {
	if resp.Rest != nil {
		_ = resp.Rest.Close()
	}
}

// requestHead returns the request line and the headers as they are sent to one upstream.
func (s *Steerer) requestHead(a *activeRequest, name namer.Upstream, timeLeft time.Duration) []byte {
	r := a.request
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = r.Header.Write(&b)
	b.WriteString(s.headers.RemainingMs + ": " + strconv.FormatInt(timeLeft.Milliseconds(), 10) + "\r\n")
	b.WriteString(s.headers.ExpectedUpstream + ": " + string(name) + "\r\n")
	if a.account != nil {
		b.WriteString(s.headers.Account + ": " + string(a.account.Name) + "\r\n")
	}
	if r.bodyBytes() > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(r.bodyBytes()) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// parseRetryAfter parses a Retry-After header of a number of seconds, which may have a
// fraction. It returns 0 if the header is missing or malformed, or is a date: the clocks of
// the VM and the upstream may differ.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxUpstreamPause.Seconds()) * float64(time.Second))
}

// countResult adds a result to the counters.
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

// logAttempt logs one attempt: the decision that led to it, and its outcome.
func (s *Steerer) logAttempt(a *activeRequest, d selector.Decision, status int, outcome string, took time.Duration, err error) {
	reason, request, caller := "", "", ""
	if err != nil {
		reason = err.Error()
	}
	if outcome == "broken" {
		// It tells which attempts repeat the same request.
		request, caller = a.fingerprints()[0].String(), a.request.Caller
	}
	s.log.Info("sent", "attempt", a.request.AttemptID, "request", request, "caller", caller, "route", string(a.route.Name), "service", string(a.service),
		"upstream", string(d.Target().Upstream), "zone", string(d.Zone), "by", string(d.Reason), "load", math.Round(10*d.Load)/10, "loadage", d.LoadAge,
		"expected", d.ExpectedLatency, "primaryload", math.Round(10*d.PrimaryLoad)/10, "primaryexpected", d.PrimaryLatency, "born", d.Target().StartedMs, "coldleft", d.ColdLeft, "viewage", s.viewAge().Round(time.Millisecond), "outcome", outcome, "status", status, "took", took, "reason", reason)
}
