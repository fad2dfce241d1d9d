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

// MaxAnswerBytes bounds the answer to a once-only request, which is held whole
// before it is told.
const MaxAnswerBytes = 8 << 20

// ErrCut is returned for an answer whose stream ended before its end.
var ErrCut = errors.New("the answer was cut short")

// Intend answers an owner's intent.
func (c *Conductor) Intend(t arbiter.Token) arbiter.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.witness.Intend(c.clock.Now(), t)
}

// Seal answers a relay's seal.
func (c *Conductor) Seal(t arbiter.Token) arbiter.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.witness.Seal(c.clock.Now(), t)
}

// Settle keeps an owner's outcome.
func (c *Conductor) Settle(t arbiter.Token, out arbiter.Outcome, digest arbiter.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out.Answer = c.kept(out.Answer)
	c.witness.Settle(t, out, digest)
}

func (c *Conductor) intend(ctx context.Context, t arbiter.Token) (arbiter.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, intentTime)
	defer cancel()
	return c.verdict(ctx, t, &encoder.Request{
		Kind: &encoder.Request_Intent{Intent: &encoder.Intent{Token: t.Wire()}},
	})
}

func (c *Conductor) seal(ctx context.Context, t arbiter.Token) (arbiter.Verdict, error) {
	if t.Witness == c.self.Incarnation {
		return c.Seal(t), nil
	}
	ctx, cancel := context.WithTimeout(ctx, sealTime)
	defer cancel()
	return c.verdict(ctx, t, &encoder.Request{
		Kind: &encoder.Request_Seal{Seal: &encoder.Seal{Token: t.Wire()}},
	})
}

func (c *Conductor) verdict(ctx context.Context, t arbiter.Token, req *encoder.Request) (arbiter.Verdict, error) {
	reply, err := c.peers.Ask(ctx, t.WitnessPeers, t.Witness, req)
	if err != nil {
		return arbiter.Verdict{}, err
	}
	v := reply.GetVerdict()
	if v == nil {
		return arbiter.Verdict{}, errNoVerdict
	}
	return converter.VerdictFrom(v), nil
}

// settle tells the witness how a request ended, so that a retry learns it when
// this VM is gone. A loss costs only that.
func (c *Conductor) settle(ctx context.Context, t arbiter.Token, out arbiter.Outcome, digest arbiter.Digest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTime)
	defer cancel()
	kept := out
	kept.Answer = c.kept(out.Answer)
	req := &encoder.Request{Kind: &encoder.Request_Outcome{Outcome: &encoder.Outcome{
		Token:  t.Wire(),
		Answer: converter.Answer(kept),
		Body:   kept.Answer.Body,
		Digest: digest[:],
	}}}
	if _, err := c.peers.Ask(ctx, t.WitnessPeers, t.Witness, req); err != nil {
		c.log.Warn("outcome not settled", "token", nonceText(t), "told", out.Told.String(), "reason", err.Error())
	}
}

// relay takes a request to its token's owner, and asks the witness to seal the
// token when the owner gives no answer.
func (c *Conductor) relay(ctx context.Context, t arbiter.Token, req forwarder.Request) arbiter.Outcome {
	r := arbiter.NewRelay(t, DigestOf(req))
	action := r.Start()
	for action != arbiter.Answered {
		switch action {
		case arbiter.AskOwner:
			out, err := c.askOwner(ctx, t, req)
			switch {
			case errors.Is(ctx.Err(), context.Canceled):
				// The caller is gone, and the owner may be well. A seal would
				// end a token that the caller may use again.
				return arbiter.Outcome{Code: arbiter.CodeInProgress, Reason: "the caller went away"}
			case err != nil:
				action = r.OwnerFailed(err.Error())
			case out.Code == arbiter.CodeForeign:
				action = r.OwnerFailed("it was replaced")
			default:
				action = r.OwnerAnswered(out)
			}
		case arbiter.AskWitness:
			v, err := c.seal(context.WithoutCancel(ctx), t)
			if err != nil {
				action = r.WitnessFailed(err.Error())
				continue
			}
			action = r.WitnessAnswered(v)
		}
	}
	out := r.Outcome()
	c.log.Info("relayed", "token", nonceText(t), "owner", t.Owner.String(), "told", out.Told.String(),
		"code", string(out.Code), "reason", out.Reason)
	return out
}

func (c *Conductor) askOwner(ctx context.Context, t arbiter.Token, req forwarder.Request) (arbiter.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s, err := c.peers.Open(ctx, t.OwnerPeers, t.Owner)
	if err != nil {
		return arbiter.Outcome{}, err
	}
	defer s.Close()
	call := converter.Call(encoder.CallKind_CALL_KIND_RELAY, req, c.clock.Now())
	call.Token = t.Wire()
	if err := s.SendRequest(&encoder.Request{Kind: &encoder.Request_Call{Call: call}}); err != nil {
		return arbiter.Outcome{}, err
	}
	return ReadOutcome(s)
}

// ReadOutcome reads a whole answer from a stream. Without its end it is an
// error, never a shorter answer.
func ReadOutcome(s *messenger.Stream) (arbiter.Outcome, error) {
	head, err := s.ReceiveReply()
	if err != nil {
		return arbiter.Outcome{}, err
	}
	answer := head.GetAnswer()
	if answer == nil {
		return arbiter.Outcome{}, ErrCut
	}
	var body bytes.Buffer
	for {
		part, err := s.ReceiveReply()
		if err != nil {
			return arbiter.Outcome{}, errors.Mark(err, ErrCut)
		}
		if part.GetEnd() != nil {
			return converter.OutcomeFrom(answer, body.Bytes()), nil
		}
		body.Write(part.GetChunk().GetData())
		if body.Len() > MaxAnswerBytes {
			return arbiter.Outcome{}, ErrCut
		}
	}
}

// WriteOutcome sends a whole answer on a stream.
func WriteOutcome(s *messenger.Stream, out arbiter.Outcome) error {
	err := s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Answer{Answer: converter.Answer(out)}})
	for body := out.Answer.Body; err == nil && len(body) > 0; {
		part := body[:min(len(body), encoder.MaxChunkBytes)]
		err = s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Chunk{Chunk: &encoder.Chunk{Data: part}}})
		body = body[len(part):]
	}
	if err != nil {
		return err
	}
	return s.SendReply(&encoder.Reply{Kind: &encoder.Reply_End{End: &encoder.End{}}})
}

// nonceText names a token in the log without making it usable.
func nonceText(t arbiter.Token) string {
	return hex.EncodeToString(t.Nonce[:4])
}
