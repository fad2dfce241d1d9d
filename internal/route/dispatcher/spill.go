package dispatcher

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/once/conductor"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

// maxSpillAttempts bounds how many entry VMs of other zones a request is spilled to.
const maxSpillAttempts = 3

// DispatchSpilled dispatches a request that an entry VM of another zone spilled to this
// one. The request is admitted or refused here, and never spilled again.
func (d *Dispatcher) DispatchSpilled(ctx context.Context, req forwarder.Request) Result {
	rules, refusal := d.rulesFor(req)
	if rules == nil {
		return Result{Outcome: refusal}
	}
	if !d.admitShifted(req, rules.class.Weight) {
		return Result{Outcome: shiftCapped()}
	}
	if rules.class.Once {
		return Result{Outcome: d.onceLocal(ctx, rules.state, rules.class, req, unconditionalGate{})}
	}
	return d.idempotentLocal(ctx, rules.state, rules.class, req)
}

// idempotentRemote spills the request to entry VMs of other zones, one after another. It
// returns the result of this zone if none of them responds.
func (d *Dispatcher) idempotentRemote(ctx context.Context, doc *parser.Document, req forwarder.Request, local Result) Result {
	for _, m := range d.spillTargets(doc, req.Service) {
		result, ok := d.spillIdempotent(ctx, m, req)
		if ok {
			d.logSpill(req, m, result.Outcome)
			return result
		}
		if ctx.Err() != nil {
			break
		}
	}
	return local
}

// spillIdempotent spills the request to one entry VM, and reports whether that VM returned
// an upstream's response.
func (d *Dispatcher) spillIdempotent(ctx context.Context, m tracker.Member, req forwarder.Request) (Result, bool) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	s, err := d.openSpill(ctx, m, req)
	if err != nil {
		cancel()
		return Result{}, false
	}
	head, err := s.ReceiveReply()
	if err != nil || head.GetAnswer() == nil {
		s.Close()
		cancel()
		return Result{}, false
	}
	out := converter.OutcomeFrom(head.GetAnswer(), nil)
	if out.Execution != arbiter.Ran {
		s.Close()
		cancel()
		return Result{}, false
	}
	return Result{Outcome: out, Body: &streamBody{stream: s, cancel: cancel}}, true
}

// onceRemote spills the request to entry VMs of other zones, as long as each one proves
// that the request did not run. A broken stream proves nothing and ends the attempts.
func (d *Dispatcher) onceRemote(
	ctx context.Context, doc *parser.Document, req forwarder.Request, g conductor.Gate, local arbiter.Outcome,
) arbiter.Outcome {
	for _, m := range d.spillTargets(doc, req.Service) {
		if ctx.Err() != nil {
			return local
		}
		s, err := d.streams.Open(ctx, m.PeerAddress, m.Incarnation)
		if err != nil {
			// The stream did not open, so nothing was sent.
			continue
		}
		if !g.MarkSent() {
			s.Close()
			return arbiter.Outcome{Code: arbiter.CodeMayHaveRun, Reason: "the request was sent before"}
		}
		out := d.spillOnce(s, m, req)
		d.logSpill(req, m, out)
		if out.Execution != arbiter.NotRun {
			return out
		}
		g.MarkNotRun()
	}
	return local
}

// spillOnce sends a once-only request on the stream and returns the outcome that the peer
// reports, or an unknown outcome if the stream breaks.
func (d *Dispatcher) spillOnce(s *messenger.Stream, m tracker.Member, req forwarder.Request) arbiter.Outcome {
	defer s.Close()
	err := s.SendRequest(d.spillRequest(req))
	if err == nil {
		var out arbiter.Outcome
		if out, err = conductor.ReadOutcome(s); err == nil {
			return out
		}
	}
	return arbiter.Outcome{Code: arbiter.CodeMayHaveRun, Reason: "the stream to " + string(m.VM) + " broke: " + err.Error()}
}

// openSpill opens a stream to an entry VM and sends the request on it.
func (d *Dispatcher) openSpill(ctx context.Context, m tracker.Member, req forwarder.Request) (*messenger.Stream, error) {
	s, err := d.streams.Open(ctx, m.PeerAddress, m.Incarnation)
	if err != nil {
		return nil, err
	}
	if err := s.SendRequest(d.spillRequest(req)); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (d *Dispatcher) spillRequest(req forwarder.Request) *encoder.Request {
	call := converter.Call(encoder.CallKind_CALL_KIND_SPILL, req, d.clock.Now())
	return &encoder.Request{Kind: &encoder.Request_Call{Call: call}}
}

// spillTargets returns up to maxSpillAttempts entry VMs of other zones that report free
// capacity for the service, those of this region first. Within this region and outside it,
// the order is random, so that the VMs of a zone don't all spill to the same one.
func (d *Dispatcher) spillTargets(doc *parser.Document, service namer.Service) []tracker.Member {
	var targets []tracker.Member
	for _, m := range d.members.Members() {
		_, drained := doc.DrainOfZone(m.Zone)
		_, vmDrained := doc.DrainOf(parser.VMTarget, string(m.VM))
		if m.Zone == d.self.Zone || m.State != tracker.Alive || drained || vmDrained || freeCapacity(m, service) <= 0 {
			continue
		}
		targets = append(targets, m)
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	slices.SortStableFunc(targets, func(a, b tracker.Member) int {
		return cmp.Compare(d.regionOrder(a), d.regionOrder(b))
	})
	return targets[:min(len(targets), maxSpillAttempts)]
}

// regionOrder returns the sort key of a spill target: VMs of this region come first.
func (d *Dispatcher) regionOrder(m tracker.Member) int {
	if m.Region == d.self.Region {
		return 0
	}
	return 1
}

func (d *Dispatcher) logSpill(req forwarder.Request, m tracker.Member, out arbiter.Outcome) {
	d.log.Info("spilled", "service", string(req.Service), "class", string(req.Class), "to", string(m.VM),
		"zone", string(m.Zone), "told", out.Execution.String(), "code", string(out.Code), "reason", out.Reason)
}

// freeCapacity returns the weight that an entry VM reports as free for a service.
func freeCapacity(m tracker.Member, service namer.Service) namer.Weight {
	for _, r := range m.FreeCapacity {
		if r.Service == service {
			return r.Weight
		}
	}
	return 0
}

// streamBody reads a response body from a peer. If the stream ends before the peer has
// marked the end of the body, Read returns an error, never a shorter body.
type streamBody struct {
	stream *messenger.Stream
	cancel context.CancelFunc
	buf    []byte
	ended  bool
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.buf) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		part, err := b.stream.ReceiveReply()
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		b.buf = part.GetChunk().GetData()
		b.ended = part.GetEnd() != nil
	}
	n := copy(p, b.buf)
	b.buf = b.buf[n:]
	return n, nil
}

// Close implements io.Closer. It closes the stream, which makes the peer stop.
func (b *streamBody) Close() error {
	b.stream.Close()
	b.cancel()
	return nil
}
