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

// spillTries bounds how many other entry VMs one request may ask.
const spillTries = 3

// Spilled answers a request that another zone had no room for. It is admitted
// or refused here and travels no further.
func (d *Dispatcher) Spilled(ctx context.Context, req forwarder.Request) Result {
	f, refusal := d.find(req)
	if f == nil {
		return Result{Outcome: refusal}
	}
	if !d.admitShift(req, f.class.Weight) {
		return Result{Outcome: capped()}
	}
	if f.class.Once {
		return Result{Outcome: d.onceLocal(ctx, f.state, f.class, req, openGate{})}
	}
	return d.readLocal(ctx, f.state, f.class, req)
}

// readElsewhere asks entry VMs of other zones. It returns the local refusal
// when none has room.
func (d *Dispatcher) readElsewhere(ctx context.Context, doc *parser.Document, req forwarder.Request, local Result) Result {
	for _, m := range d.spillTargets(doc, req.Service) {
		result, ok := d.spillRead(ctx, m, req)
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

func (d *Dispatcher) spillRead(ctx context.Context, m tracker.Member, req forwarder.Request) (Result, bool) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	s, err := d.send(ctx, m, req)
	if err != nil {
		cancel()
		return Result{}, false
	}
	head, err := s.Receive()
	if err != nil || head.GetAnswer() == nil {
		s.Close()
		cancel()
		return Result{}, false
	}
	out := converter.Outcome(head.GetAnswer(), nil)
	if out.Execution != arbiter.Ran {
		s.Close()
		cancel()
		return Result{}, false
	}
	return Result{Outcome: out, Body: &streamBody{stream: s, cancel: cancel}}, true
}

// onceElsewhere asks entry VMs of other zones for as long as each proves that
// nothing ran. A stream that breaks proves nothing, and nothing else is tried.
func (d *Dispatcher) onceElsewhere(
	ctx context.Context, doc *parser.Document, req forwarder.Request, g conductor.Gate, local arbiter.Outcome,
) arbiter.Outcome {
	for _, m := range d.spillTargets(doc, req.Service) {
		if ctx.Err() != nil {
			return local
		}
		s, err := d.peers.Open(ctx, m.Peers, m.Incarnation)
		if err != nil {
			// Nothing was sent on a stream that did not open.
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

func (d *Dispatcher) spillOnce(s *messenger.Stream, m tracker.Member, req forwarder.Request) arbiter.Outcome {
	defer s.Close()
	err := s.Send(d.spillRequest(req))
	if err == nil {
		var out arbiter.Outcome
		if out, err = conductor.ReadOutcome(s); err == nil {
			return out
		}
	}
	return arbiter.Outcome{Code: arbiter.CodeMayHaveRun, Reason: "the stream to " + string(m.VM) + " broke: " + err.Error()}
}

func (d *Dispatcher) send(ctx context.Context, m tracker.Member, req forwarder.Request) (*messenger.Stream, error) {
	s, err := d.peers.Open(ctx, m.Peers, m.Incarnation)
	if err != nil {
		return nil, err
	}
	if err := s.Send(d.spillRequest(req)); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (d *Dispatcher) spillRequest(req forwarder.Request) *encoder.Request {
	call := converter.Call(encoder.CallKind_CALL_KIND_SPILL, req, d.clock.Now())
	return &encoder.Request{Kind: &encoder.Request_Call{Call: call}}
}

// spillTargets returns the entry VMs of other zones that say they have room,
// those of this region first. Equals are drawn at random, so that the VMs of a
// zone don't all spill to the same one.
func (d *Dispatcher) spillTargets(doc *parser.Document, service namer.Service) []tracker.Member {
	var targets []tracker.Member
	for _, m := range d.members.Members() {
		_, drained := doc.ZoneDrained(m.Zone)
		_, vmDrained := doc.Drained(parser.VMTarget, string(m.VM))
		if m.Zone == d.self.Zone || m.State != tracker.Alive || drained || vmDrained || roomFor(m, service) <= 0 {
			continue
		}
		targets = append(targets, m)
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	slices.SortStableFunc(targets, func(a, b tracker.Member) int {
		return cmp.Compare(d.distance(a), d.distance(b))
	})
	return targets[:min(len(targets), spillTries)]
}

func (d *Dispatcher) distance(m tracker.Member) int {
	if m.Region == d.self.Region {
		return 0
	}
	return 1
}

func (d *Dispatcher) logSpill(req forwarder.Request, m tracker.Member, out arbiter.Outcome) {
	d.log.Info("spilled", "service", string(req.Service), "class", string(req.Class), "to", string(m.VM),
		"zone", string(m.Zone), "told", out.Execution.String(), "code", string(out.Code), "reason", out.Reason)
}

func roomFor(m tracker.Member, service namer.Service) namer.Weight {
	for _, r := range m.Rooms {
		if r.Service == service {
			return r.Weight
		}
	}
	return 0
}

// streamBody reads an answer's body from a peer. A stream that ends without
// the end of the answer is an error, never a shorter body.
type streamBody struct {
	stream *messenger.Stream
	cancel context.CancelFunc
	rest   []byte
	ended  bool
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		part, err := b.stream.Receive()
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		b.rest = part.GetChunk().GetData()
		b.ended = part.GetEnd() != nil
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends the stream, which tells the peer to stop.
func (b *streamBody) Close() error {
	b.stream.Close()
	b.cancel()
	return nil
}
