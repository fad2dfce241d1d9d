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

// Read takes an idempotent request to its answer. It tries other upstreams
// and other zones within the retry budget.
func (d *Dispatcher) Read(ctx context.Context, req forwarder.Request) Result {
	f, refusal := d.find(req)
	if f == nil {
		return Result{Outcome: refusal}
	}
	f.state.budget.first()
	local := Result{Outcome: capped()}
	if d.admitShift(req, f.class.Weight) {
		local = d.readLocal(ctx, f.state, f.class, req)
	}
	if local.Body != nil || ctx.Err() != nil {
		return local
	}
	return d.readElsewhere(ctx, f.document, req, local)
}

// readLocal tries the upstreams of this zone.
func (d *Dispatcher) readLocal(ctx context.Context, s *serviceState, class parser.Class, req forwarder.Request) Result {
	ask := admitter.Ask{Weight: class.Weight, Once: class.Once, Deadline: req.Deadline}
	result := Result{Outcome: refuse(CodeUpstream, "the retry budget is spent")}
	for try := range localTries {
		if try > 0 && !s.budget.retry() {
			return result
		}
		grant, refusal := s.pool.Acquire(ctx, ask)
		if grant == nil {
			if try > 0 {
				return result
			}
			return Result{Outcome: refuse(refusal.Code, refusal.Reason)}
		}
		var again bool
		result, again = d.readOne(ctx, s, grant, req)
		if !again {
			return result
		}
		ask.Avoid = grant.Upstream
	}
	return result
}

// readOne tries one upstream and reports whether another may be tried.
func (d *Dispatcher) readOne(
	ctx context.Context, s *serviceState, grant *admitter.Grant, req forwarder.Request,
) (Result, bool) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	answer, err := d.forward.Forward(ctx, target(grant.Upstream, grant.Address, grant.Conns), req)
	if err != nil {
		canceled := errors.Is(ctx.Err(), context.Canceled)
		cancel()
		grant.Done(!canceled)
		out := arbiter.Outcome{Code: CodeUpstream, Reason: err.Error()}
		out.Answer.Upstream = grant.Upstream
		return Result{Outcome: out}, !canceled
	}
	if refused(s.service, answer.Status) {
		_ = answer.Body.Close()
		cancel()
		grant.Done(false)
		return Result{Outcome: refuse(CodeUpstream, "the upstream refused")}, true
	}
	return Result{
		Outcome: d.outcome(answer, grant),
		Body:    &grantedBody{body: answer.Body, grant: grant, cancel: cancel, failed: failed(answer.Status)},
	}, false
}

func (d *Dispatcher) outcome(a forwarder.Response, grant *admitter.Grant) arbiter.Outcome {
	return arbiter.Outcome{Told: arbiter.Ran, Answer: arbiter.Answer{
		Status:   a.Status,
		Headers:  a.Headers,
		Upstream: grant.Upstream,
		VM:       d.self.VM,
	}}
}

func refused(s parser.Service, status int) bool {
	return s.Refusal != 0 && status == s.Refusal
}

func failed(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// grantedBody gives the slot back when the answer has been read, or when the
// reader stops early.
type grantedBody struct {
	body   io.ReadCloser
	grant  *admitter.Grant
	cancel context.CancelFunc
	failed bool
	once   sync.Once
}

// Read notes an answer that breaks off as the upstream's failure.
func (b *grantedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) {
		b.failed = true
	}
	return n, err
}

// Close gives the slot back.
func (b *grantedBody) Close() error {
	b.once.Do(func() {
		_ = b.body.Close()
		b.cancel()
		b.grant.Done(b.failed)
	})
	return nil
}
