package conductor

import (
	"bytes"
	"context"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

// MaxResponseBytes is the maximum body size of the response to a once-only request.
// The whole body is buffered before it is sent to the caller.
const MaxResponseBytes = 8 << 20

// ErrTruncated is returned for a stream that does not start with a response or ends
// early, and for a body over MaxResponseBytes.
var ErrTruncated = errors.New("the answer was cut short")

// RecordIntent handles an owner's intent as witness.
func (c *Conductor) RecordIntent(t arbiter.Token) arbiter.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.witness.RecordIntent(c.clock.Now(), t)
}

// Seal handles a relay's request for a seal as witness.
func (c *Conductor) Seal(t arbiter.Token) arbiter.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.witness.Seal(c.clock.Now(), t)
}

// RecordOutcome stores an owner's outcome as witness.
func (c *Conductor) RecordOutcome(t arbiter.Token, out arbiter.Outcome, digest arbiter.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out.Response = c.storedResponse(out.Response)
	c.witness.RecordOutcome(t, out, digest)
}

func (c *Conductor) sendIntent(ctx context.Context, t arbiter.Token) (arbiter.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	return c.requestVerdict(ctx, t, &encoder.Request{
		Kind: &encoder.Request_Intent{Intent: &encoder.Intent{Token: t.Proto()}},
	})
}

func (c *Conductor) requestSeal(ctx context.Context, t arbiter.Token) (arbiter.Verdict, error) {
	if t.Witness == c.self.Incarnation {
		return c.Seal(t), nil
	}
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	return c.requestVerdict(ctx, t, &encoder.Request{
		Kind: &encoder.Request_Seal{Seal: &encoder.Seal{Token: t.Proto()}},
	})
}

func (c *Conductor) requestVerdict(ctx context.Context, t arbiter.Token, req *encoder.Request) (arbiter.Verdict, error) {
	reply, err := c.peers.Call(ctx, t.WitnessPeerAddress, t.Witness, req)
	if err != nil {
		return arbiter.Verdict{}, err
	}
	v := reply.GetVerdict()
	if v == nil {
		return arbiter.Verdict{}, errNoVerdict
	}
	return converter.VerdictFrom(v), nil
}

// sendOutcome sends a request's outcome to the witness, so that a retry receives it
// when this VM is unreachable. If the message is lost, such a retry gets Unknown.
func (c *Conductor) sendOutcome(ctx context.Context, t arbiter.Token, out arbiter.Outcome, digest arbiter.Digest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	stored := out
	stored.Response = c.storedResponse(out.Response)
	req := &encoder.Request{Kind: &encoder.Request_Outcome{Outcome: &encoder.Outcome{
		Token:  t.Proto(),
		Answer: converter.OutcomeHead(stored),
		Body:   stored.Response.Body,
		Digest: digest[:],
	}}}
	if _, err := c.peers.Call(ctx, t.WitnessPeerAddress, t.Witness, req); err != nil {
		c.log.Warn("outcome not recorded at the witness", "token", noncePrefix(t), "told", out.Execution.String(), "reason", err.Error())
	}
}

// relay sends a request to its token's owner. If the owner does not respond, it
// asks the witness to seal the token.
func (c *Conductor) relay(ctx context.Context, t arbiter.Token, req forwarder.Request) arbiter.Outcome {
	r := arbiter.NewRelay(t, DigestOf(req))
	action := r.Start()
	for action != arbiter.RelayDone {
		switch action {
		case arbiter.AskOwner:
			out, err := c.relayToOwner(ctx, t, req)
			switch {
			case errors.Is(ctx.Err(), context.Canceled):
				// The caller went away, but the owner may be healthy. A seal would
				// invalidate a token that the caller may use for a retry.
				return arbiter.Outcome{Code: arbiter.CodeInProgress, Reason: "the caller went away"}
			case err != nil:
				action = r.OwnerFailed(err.Error())
			case out.Code == arbiter.CodeForeign:
				action = r.OwnerFailed("it was replaced")
			default:
				action = r.OwnerAnswered(out)
			}
		case arbiter.AskWitness:
			v, err := c.requestSeal(context.WithoutCancel(ctx), t)
			if err != nil {
				action = r.WitnessFailed(err.Error())
				continue
			}
			action = r.WitnessAnswered(v)
		}
	}
	out := r.Outcome()
	c.log.Info("relayed", "token", noncePrefix(t), "owner", t.Owner.String(), "told", out.Execution.String(),
		"code", string(out.Code), "reason", out.Reason)
	return out
}

func (c *Conductor) relayToOwner(ctx context.Context, t arbiter.Token, req forwarder.Request) (arbiter.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s, err := c.peers.Open(ctx, t.OwnerPeerAddress, t.Owner)
	if err != nil {
		return arbiter.Outcome{}, err
	}
	defer s.Close()
	call := converter.Call(encoder.CallKind_CALL_KIND_RELAY, req, c.clock.Now())
	call.Token = t.Proto()
	if err := s.SendRequest(&encoder.Request{Kind: &encoder.Request_Call{Call: call}}); err != nil {
		return arbiter.Outcome{}, err
	}
	return ReadOutcome(s)
}

// ReadOutcome reads an outcome and its whole response body from a stream. If the
// end message is missing it returns an error, never a truncated response.
func ReadOutcome(s *messenger.Stream) (arbiter.Outcome, error) {
	head, err := s.ReceiveReply()
	if err != nil {
		return arbiter.Outcome{}, err
	}
	answer := head.GetAnswer()
	if answer == nil {
		return arbiter.Outcome{}, ErrTruncated
	}
	var body bytes.Buffer
	for {
		reply, err := s.ReceiveReply()
		if err != nil {
			return arbiter.Outcome{}, errors.Mark(err, ErrTruncated)
		}
		if reply.GetEnd() != nil {
			return converter.OutcomeFrom(answer, body.Bytes()), nil
		}
		body.Write(reply.GetChunk().GetData())
		if body.Len() > MaxResponseBytes {
			return arbiter.Outcome{}, ErrTruncated
		}
	}
}

// WriteOutcome writes an outcome and its whole response body to a stream.
func WriteOutcome(s *messenger.Stream, out arbiter.Outcome) error {
	err := s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Answer{Answer: converter.OutcomeHead(out)}})
	for body := out.Response.Body; err == nil && len(body) > 0; {
		chunk := body[:min(len(body), encoder.MaxChunkBytes)]
		err = s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Chunk{Chunk: &encoder.Chunk{Data: chunk}}})
		body = body[len(chunk):]
	}
	if err != nil {
		return err
	}
	return s.SendReply(&encoder.Reply{Kind: &encoder.Reply_End{End: &encoder.End{}}})
}

// noncePrefix returns the start of a token's nonce. It identifies the token in the log,
// but is too short for a reader of the log to use the token.
func noncePrefix(t arbiter.Token) string {
	return hex.EncodeToString(t.Nonce[:4])
}
