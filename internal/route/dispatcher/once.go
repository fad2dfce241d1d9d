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

const (
	// minBufferBytes is the size of the first buffer of a response's body.
	minBufferBytes = 4 << 10
	// bufferGrowthFactor is the factor by which the buffer of a longer body grows.
	bufferGrowthFactor = 4
	// maxUnreservedBytes is the largest buffer that a body gets also when other bodies take all
	// of the memory.
	maxUnreservedBytes = 64 << 10
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
	body, whole, err := d.readBody(resp.Body)
	grant.Done(err != nil || isFailure(resp.Status))
	if err != nil {
		return d.unknownOutcome(grant, err)
	}
	out := d.ranOutcome(resp, grant)
	out.Response.Body = body
	out.Response.BodyOmitted = !whole
	return out
}

// readBody reads a body and reports true. Of a body over conductor.MaxResponseBytes, or over
// the memory that is left for bodies, it returns nothing.
func (d *Dispatcher) readBody(r io.Reader) ([]byte, bool, error) {
	buf := make([]byte, 0, minBufferBytes)
	reserved := int64(0)
	defer func() { d.bufferedBytes.Add(-reserved) }()
	for {
		if len(buf) == cap(buf) {
			size := min(bufferGrowthFactor*cap(buf), conductor.MaxResponseBytes+1)
			more := int64(size - cap(buf))
			if size > maxUnreservedBytes {
				if d.bufferedBytes.Add(more) > d.maxBufferedBytes || more == 0 {
					d.bufferedBytes.Add(-more)
					return nil, false, nil
				}
				reserved += more
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// unknownOutcome returns the outcome of a request that may have run, since it was sent
// and no complete response came back.
func (d *Dispatcher) unknownOutcome(grant *admitter.Grant, err error) arbiter.Outcome {
	out := arbiter.Outcome{Code: arbiter.CodeMayHaveRun, Reason: err.Error()}
	out.Response.Upstream = grant.Upstream
	out.Response.VM = d.self.VM
	return out
}
