package dispatcher

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/once/conductor"
	"github.com/waxwingloom/waxwingloom/internal/route/admitter"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

// unconditionalGate allows every attempt. It is for requests that another VM spilled:
// that VM's gate has allowed the request already, and the stream that carries it can't
// repeat it.
type unconditionalGate struct{}

// MarkSent implements conductor.Gate.
func (unconditionalGate) MarkSent() bool { return true }

// MarkNotRun implements conductor.Gate.
func (unconditionalGate) MarkNotRun() {}

// DispatchOnce dispatches a once-only request and returns its outcome. It makes another
// attempt only with proof that the attempts before did not run the request.
func (d *Dispatcher) DispatchOnce(ctx context.Context, req forwarder.Request, g conductor.Gate) arbiter.Outcome {
	rules, refusal := d.rulesFor(req)
	if rules == nil {
		return refusal
	}
	local := shiftCapped()
	if d.admitShifted(req, rules.class.Weight) {
		local = d.onceLocal(ctx, rules.state, rules.class, req, g)
	}
	if local.Execution != arbiter.NotRun {
		return local
	}
	return d.onceRemote(ctx, rules.document, req, g, local)
}

// onceLocal makes attempts at upstreams of this zone, as long as each one proves that the
// request did not run.
func (d *Dispatcher) onceLocal(
	ctx context.Context, s *serviceState, class parser.Class, req forwarder.Request, g conductor.Gate,
) arbiter.Outcome {
	admission := admitter.Request{Weight: class.Weight, Once: true, Deadline: req.Deadline}
	out := notRun(CodeUpstreamFailed, "no upstream took the request")
	for attempt := range maxLocalAttempts {
		grant, refusal := s.pool.Acquire(ctx, admission)
		if grant == nil {
			if attempt > 0 {
				return out
			}
			return notRun(refusal.Code, refusal.Reason)
		}
		if !d.clock.Now().Before(req.Deadline) {
			// If the VM was paused while the request was queued, it resumes too late.
			grant.Done(false)
			return notRun(admitter.CodeDeadlineExceeded, "the deadline passed before the request could be sent")
		}
		if !g.MarkSent() {
			grant.Done(false)
			return arbiter.Outcome{Code: arbiter.CodeMayHaveRun, Reason: "the request was sent before"}
		}
		out = d.onceAttempt(ctx, s, grant, req)
		if out.Execution != arbiter.NotRun {
			return out
		}
		g.MarkNotRun()
		admission.Avoid = grant.Upstream
	}
	return out
}

// onceAttempt sends the request to one upstream. The outcome NotRun is proof: either no
// byte was written, or the upstream responded with the service's refusal status, which
// promises that the request did not run.
func (d *Dispatcher) onceAttempt(
	ctx context.Context, s *serviceState, grant *admitter.Grant, req forwarder.Request,
) arbiter.Outcome {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	resp, err := d.forwarder.Forward(ctx, target(grant.Upstream, grant.Address, grant.MaxConns), req)
	if err != nil {
		grant.Done(true)
		if errors.Is(err, forwarder.ErrNotSent) {
			return notRun(CodeUpstreamFailed, err.Error())
		}
		return d.unknownOutcome(grant, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if isRefusal(s.service, resp.Status) {
		grant.Done(false)
		return notRun(CodeUpstreamFailed, "the upstream refused")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, conductor.MaxResponseBytes+1))
	grant.Done(err != nil || isFailure(resp.Status))
	if err != nil {
		return d.unknownOutcome(grant, err)
	}
	out := d.ranOutcome(resp, grant)
	out.Response.Body = body
	if len(body) > conductor.MaxResponseBytes {
		out.Response.Body = nil
		out.Response.BodyOmitted = true
	}
	return out
}

// unknownOutcome returns the outcome of a request that may have run, since it was sent
// and no complete response came back.
func (d *Dispatcher) unknownOutcome(grant *admitter.Grant, err error) arbiter.Outcome {
	out := arbiter.Outcome{Code: arbiter.CodeMayHaveRun, Reason: err.Error()}
	out.Response.Upstream = grant.Upstream
	out.Response.VM = d.self.VM
	return out
}
