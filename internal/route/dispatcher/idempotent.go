package dispatcher

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/admitter"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

// DispatchIdempotent dispatches an idempotent request and returns its response. Retries
// at other upstreams of this zone are taken out of the service's retry budget. If this
// zone returns no response, entry VMs of other zones are asked.
func (d *Dispatcher) DispatchIdempotent(ctx context.Context, req forwarder.Request) Result {
	rules, refusal := d.rulesFor(req)
	if rules == nil {
		return Result{Outcome: refusal}
	}
	rules.state.retryBudget.addCredit()
	local := Result{Outcome: shiftCapped()}
	if d.admitShifted(req, rules.class.Weight) {
		local = d.idempotentLocal(ctx, rules.state, rules.class, req)
	}
	if local.Body != nil || ctx.Err() != nil {
		return local
	}
	return d.idempotentRemote(ctx, rules.document, req, local)
}

// idempotentLocal makes attempts at upstreams of this zone. Each one after the first is
// taken out of the retry budget.
func (d *Dispatcher) idempotentLocal(ctx context.Context, s *serviceState, class parser.Class, req forwarder.Request) Result {
	admission := admitter.Request{Weight: class.Weight, Once: class.Once, Deadline: req.Deadline}
	result := Result{Outcome: notRun(CodeUpstreamFailed, "the retry budget is spent")}
	for attempt := range maxLocalAttempts {
		if attempt > 0 && !s.retryBudget.takeRetry() {
			return result
		}
		grant, refusal := s.pool.Acquire(ctx, admission)
		if grant == nil {
			if attempt > 0 {
				return result
			}
			return Result{Outcome: notRun(refusal.Code, refusal.Reason)}
		}
		var retryable bool
		result, retryable = d.idempotentAttempt(ctx, s, grant, req)
		if !retryable {
			return result
		}
		admission.Avoid = grant.Upstream
	}
	return result
}

// idempotentAttempt sends the request to one upstream, and reports whether it may be
// retried at another.
func (d *Dispatcher) idempotentAttempt(
	ctx context.Context, s *serviceState, grant *admitter.Grant, req forwarder.Request,
) (Result, bool) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	resp, err := d.forwarder.Forward(ctx, target(grant.Upstream, grant.Address, grant.MaxConns), req)
	if err != nil {
		canceled := errors.Is(ctx.Err(), context.Canceled)
		cancel()
		grant.Done(!canceled)
		out := arbiter.Outcome{Code: CodeUpstreamFailed, Reason: err.Error()}
		out.Response.Upstream = grant.Upstream
		return Result{Outcome: out}, !canceled
	}
	if isRefusal(s.service, resp.Status) {
		_ = resp.Body.Close()
		cancel()
		grant.Done(false)
		return Result{Outcome: notRun(CodeUpstreamFailed, "the upstream refused")}, true
	}
	return Result{
		Outcome: d.ranOutcome(resp, grant),
		Body:    &grantedBody{body: resp.Body, grant: grant, cancel: cancel, failed: isFailure(resp.Status)},
	}, false
}

// ranOutcome returns the outcome of a request that an upstream responded to, without the
// body.
func (d *Dispatcher) ranOutcome(a forwarder.Response, grant *admitter.Grant) arbiter.Outcome {
	return arbiter.Outcome{Execution: arbiter.Ran, Response: arbiter.Response{
		Status:   a.Status,
		Headers:  a.Headers,
		Upstream: grant.Upstream,
		VM:       d.self.VM,
	}}
}

// isRefusal reports whether a status promises that the upstream did not run the request.
func isRefusal(s parser.Service, status int) bool {
	return s.RefusalStatus != 0 && status == s.RefusalStatus
}

// isFailure reports whether a status counts against the upstream's health.
func isFailure(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// grantedBody is a response body that holds the grant for its upstream until it is closed.
type grantedBody struct {
	body   io.ReadCloser
	grant  *admitter.Grant
	cancel context.CancelFunc
	failed bool
	once   sync.Once
}

// Read implements io.Reader. It counts a truncated response as a failure of the upstream.
func (b *grantedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) {
		b.failed = true
	}
	return n, err
}

// Close implements io.Closer. It releases the grant.
func (b *grantedBody) Close() error {
	b.once.Do(func() {
		_ = b.body.Close()
		b.cancel()
		b.grant.Done(b.failed)
	})
	return nil
}
