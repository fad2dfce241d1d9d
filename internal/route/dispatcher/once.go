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

// openGate lets every try pass. It serves a request that another VM's gate
// already let through once, on a stream that can't repeat it.
type openGate struct{}

// Send implements conductor.Gate.
func (openGate) Send() bool { return true }

// Proven implements conductor.Gate.
func (openGate) Proven() {}

// Dispatch takes a once-only request to its outcome. It tries a second
// upstream only after a proof that the first ran nothing.
func (d *Dispatcher) Dispatch(ctx context.Context, req forwarder.Request, g conductor.Gate) arbiter.Outcome {
	f, refusal := d.find(req)
	if f == nil {
		return refusal
	}
	local := capped()
	if d.admitShift(req, f.class.Weight) {
		local = d.onceLocal(ctx, f.state, f.class, req, g)
	}
	if local.Told != arbiter.NotRun {
		return local
	}
	return d.onceElsewhere(ctx, f.document, req, g, local)
}

// onceLocal tries the upstreams of this zone for as long as each try proves
// that nothing ran.
func (d *Dispatcher) onceLocal(
	ctx context.Context, s *serviceState, class parser.Class, req forwarder.Request, g conductor.Gate,
) arbiter.Outcome {
	ask := admitter.Ask{Weight: class.Weight, Once: true, Deadline: req.Deadline}
	out := refuse(CodeUpstream, "no upstream took the request")
	for try := range localTries {
		grant, refusal := s.pool.Acquire(ctx, ask)
		if grant == nil {
			if try > 0 {
				return out
			}
			return refuse(refusal.Code, refusal.Reason)
		}
		if !d.clock.Now().Before(req.Deadline) {
			// A VM that was paused while it waited wakes up too late.
			grant.Done(false)
			return refuse(admitter.CodeDeadline, "the deadline passed before the request could be sent")
		}
		if !g.Send() {
			grant.Done(false)
			return arbiter.Outcome{Code: arbiter.CodeBroken, Reason: "the request was sent before"}
		}
		out = d.onceOne(ctx, s, grant, req)
		if out.Told != arbiter.NotRun {
			return out
		}
		g.Proven()
		ask.Avoid = grant.Upstream
	}
	return out
}

// onceOne sends the request to one upstream. NotRun is a proof: no byte was
// written, or the upstream answered with the status that promises a refusal.
func (d *Dispatcher) onceOne(
	ctx context.Context, s *serviceState, grant *admitter.Grant, req forwarder.Request,
) arbiter.Outcome {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	answer, err := d.forward.Forward(ctx, target(grant.Upstream, grant.Address, grant.Conns), req)
	if err != nil {
		grant.Done(true)
		if errors.Is(err, forwarder.ErrNotSent) {
			return refuse(CodeUpstream, err.Error())
		}
		return d.broken(grant, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if refused(s.service, answer.Status) {
		grant.Done(false)
		return refuse(CodeUpstream, "the upstream refused")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, conductor.MaxAnswerBytes+1))
	grant.Done(err != nil || failed(answer.Status))
	if err != nil {
		return d.broken(grant, err)
	}
	out := d.outcome(answer, grant)
	out.Answer.Body = body
	if len(body) > conductor.MaxAnswerBytes {
		out.Answer.Body = nil
		out.Answer.Cut = true
	}
	return out
}

func (d *Dispatcher) broken(grant *admitter.Grant, err error) arbiter.Outcome {
	out := arbiter.Outcome{Code: arbiter.CodeBroken, Reason: err.Error()}
	out.Answer.Upstream = grant.Upstream
	out.Answer.VM = d.self.VM
	return out
}
