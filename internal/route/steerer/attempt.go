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
	// startingRetry is when a caller should come back to a VM that has no
	// document yet; reading it takes a few round trips to the store.
	startingRetry = 200 * time.Millisecond
	// freeRetry is when a caller should come back after an upstream with free
	// slots refused it: at once, since waiting makes no more room.
	freeRetry = 10 * time.Millisecond
	// leastLeft is the time below which a request is not sent any more; the way
	// to an upstream and back takes as long.
	leastLeft = 20 * time.Millisecond
	// unreachedTries bounds the upstreams that could not be reached before a
	// request is refused.
	unreachedTries = 4
)

// What an attempt at one upstream showed.
const (
	finished verdict = iota
	// unreached and refused prove that the request did not run.
	unreached
	refused
	// unknown says that it may have run.
	unknown
	canceled
)

type (
	verdict int

	// attempts is the state of one request on its way.
	attempts struct {
		request Request
		route   *parser.Route
		service namer.Service
		due     time.Time
		tried   []namer.Upstream
		sent    int
		misses  int
		// ran says that an upstream may have run the request.
		ran bool
		// free says that the last one that refused it had free slots.
		free bool
		last Result
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
	a := &attempts{request: r, route: route, service: service, due: r.Arrived.Add(limit)}
	result := leaving()
	if s.staysUntil(a.due) {
		result = s.run(ctx, a)
	}
	result.Route = route.Name
	result.Sent = a.sent
	s.note(result)
	return result
}

func (s *Steerer) run(ctx context.Context, a *attempts) Result {
	for {
		d := s.acquire(ctx, a)
		if ctx.Err() != nil {
			if d.Kind == selector.Send {
				s.release(d, selector.Report{Load: -1, Unknown: true})
			}
			return failure(http.StatusServiceUnavailable, CodeGone, "the caller has gone", 0)
		}
		if d.Kind != selector.Send {
			return s.refuse(a, d)
		}
		result, v := s.attempt(ctx, a, d)
		switch v {
		case finished:
			return result
		case canceled:
			return failure(http.StatusBadGateway, CodeGone, "the caller has gone", 0)
		case unreached:
			a.misses++
		case refused:
			a.last = result
		case unknown:
			a.ran = true
			a.last = result
		}
		if !s.again(a, v) {
			return s.giveUp(a)
		}
	}
}

// again reports whether the request may be sent to another upstream.
func (s *Steerer) again(a *attempts, v verdict) bool {
	now := s.clock.Now()
	if a.due.Sub(now) < leastLeft || a.misses > unreachedTries {
		return false
	}
	if v == unreached {
		return true
	}
	if v == unknown && a.route.Once || a.sent >= a.route.Attempts {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budgetOf(a.service).TakeRetry(now) {
		return false
	}
	s.counts.Resent++
	return true
}

// giveUp is the result of a request that no further upstream may get.
func (s *Steerer) giveUp(a *attempts) Result {
	if !a.ran {
		return failure(http.StatusServiceUnavailable, CodeRefused, "no upstream took the request", s.retryAfter(a))
	}
	if a.last.Code == "" {
		return a.last
	}
	if !s.clock.Now().Before(a.due) {
		return failure(http.StatusGatewayTimeout, CodeLate, a.last.Reason, 0)
	}
	return failure(http.StatusBadGateway, CodeUnknown, a.last.Reason, 0)
}

// refuse is the result of a request for which no upstream can be had in time.
func (s *Steerer) refuse(a *attempts, d selector.Decision) Result {
	if a.ran {
		return s.giveUp(a)
	}
	if !s.staysUntil(a.due) {
		return leaving()
	}
	return failure(http.StatusServiceUnavailable, CodeRefused, string(d.Reason), d.RetryAfter)
}

// leaving is the result of a request that other VMs can serve at once.
func leaving() Result {
	return failure(http.StatusServiceUnavailable, CodeLeaving, "this VM stops before the request's time limit", freeRetry)
}

func (s *Steerer) retryAfter(a *attempts) time.Duration {
	if a.free {
		return freeRetry
	}
	return max(a.route.Target/2, startingRetry)
}

// attempt sends a request to one upstream.
func (s *Steerer) attempt(ctx context.Context, a *attempts, d selector.Decision) (Result, verdict) {
	target := d.Target()
	begun := s.clock.Now()
	left := a.due.Sub(begun)
	if left < leastLeft {
		s.release(d, selector.Report{Load: -1, Unknown: true})
		return failure(http.StatusServiceUnavailable, CodeLate, "no time is left", s.retryAfter(a)), unreached
	}
	if a.route.Once {
		// What may run only once goes on when its caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	answer, err := s.upstreams.Exchange(ctx,
		target,
		exchanger.Request{
			Method:        a.request.Method,
			Head:          s.head(a, target.Upstream, left),
			Body:          a.request.Body,
			AttemptHeader: s.headers.Attempt,
			AttemptID:     a.request.Attempt,
			Deadline:      a.due,
			Usable:        func() bool { return s.usable(d) },
		})
	a.tried = append(a.tried, target.Upstream)
	took := s.clock.Since(begun)
	if errors.Is(err, exchanger.ErrNotSent) {
		// A caller or an upstream that has left says nothing of how the upstream is reached.
		left := ctx.Err() != nil || !s.usable(d)
		s.release(d, selector.Report{Unreached: !left, Unknown: left, Load: -1})
		s.logAttempt(a, d, 0, "unreached", took, err)
		return failure(http.StatusServiceUnavailable, CodeRefused, err.Error(), 0), unreached
	}
	a.sent++
	if err != nil {
		return s.broken(ctx, a, d, took, err)
	}
	return s.answered(a, d, took, answer)
}

// usable reports whether the upstream of a decision may still be sent to.
func (s *Steerer) usable(d selector.Decision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Usable(d)
}

// broken judges a send that got no whole answer.
func (s *Steerer) broken(
	ctx context.Context, a *attempts, d selector.Decision, took time.Duration, err error,
) (Result, verdict) {
	gone := ctx.Err() != nil
	s.release(d, selector.Report{Failed: !gone, Unknown: gone, Load: -1})
	s.logAttempt(a, d, 0, "broken", took, err)
	if gone {
		return Result{}, canceled
	}
	return failure(http.StatusBadGateway, CodeUnknown, err.Error(), 0), unknown
}

// answered judges an upstream's answer.
func (s *Steerer) answered(
	a *attempts, d selector.Decision, took time.Duration, answer exchanger.Response,
) (Result, verdict) {
	requests, slots := loadOf(answer.Header.Get(s.headers.Load))
	report := selector.Report{Latency: took, Opening: answer.ConnectTime, Load: requests, Bytes: sizeOf(a, answer)}
	result := Result{
		Status: answer.Status, Header: answer.Header, Body: answer.Body, Rest: answer.Rest, Length: answer.ContentLength,
	}
	switch {
	case answer.Header.Get(s.headers.Refused) != "" || answer.Status == http.StatusMisdirectedRequest:
		report.Refused = true
		report.Latency = 0
		a.free = requests >= 0 && requests < slots
		s.release(d, report)
		s.logAttempt(a, d, answer.Status, "refused", took, nil)
		closeRest(answer)
		return failure(http.StatusServiceUnavailable, CodeRefused, "the upstream refused the request", 0), refused
	case answer.Header.Get("Content-Encoding") != "" || answer.Status < 300 && answer.Header.Get(s.headers.Signature) == "":
		report.Failed = true
		s.release(d, report)
		s.logAttempt(a, d, answer.Status, "spoiled", took, nil)
		closeRest(answer)
		return failure(http.StatusBadGateway, CodeUnknown, "the answer is not the upstream's own", 0), unknown
	case answer.Status >= http.StatusInternalServerError:
		report.Failed = true
		s.release(d, report)
		s.logAttempt(a, d, answer.Status, "failed", took, nil)
		if a.route.Once || answer.Rest != nil {
			return result, finished
		}
		return result, unknown
	}
	s.release(d, report)
	s.logAttempt(a, d, answer.Status, "answered", took, nil)
	return result, finished
}

// sizeOf returns the bytes of a request and its answer.
func sizeOf(a *attempts, answer exchanger.Response) int {
	size := len(a.request.Target) + len(a.request.Body) + max(len(answer.Body), int(answer.ContentLength))
	for _, header := range []http.Header{a.request.Header, answer.Header} {
		for name, values := range header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
	}
	return size
}

func closeRest(answer exchanger.Response) {
	if answer.Rest != nil {
		_ = answer.Rest.Close()
	}
}

// head is the request's head as it is sent to one upstream.
func (s *Steerer) head(a *attempts, name namer.Upstream, left time.Duration) []byte {
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

// loadOf reads the running and waiting requests and the slots of an upstream. The
// requests are -1 when it told none.
func loadOf(text string) (requests, slots int) {
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

func (s *Steerer) note(r Result) {
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
func (s *Steerer) logAttempt(a *attempts, d selector.Decision, status int, what string, took time.Duration, err error) {
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	s.log.Info("sent", "attempt", a.request.Attempt, "route", string(a.route.Name), "service", string(a.service),
		"upstream", string(d.Target().Upstream), "zone", string(d.Zone), "by", string(d.Reason), "load", math.Round(10*d.Load)/10, "loadage", d.LoadAge,
		"expected", d.Expected, "viewage", s.age().Round(time.Millisecond), "outcome", what, "status", status, "took", took, "reason", reason)
}
