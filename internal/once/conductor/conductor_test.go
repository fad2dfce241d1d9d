package conductor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/once/conductor"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errUnreachable = errors.New("cut")

// fakePeers passes intents, seals and outcomes to another conductor unless failing
// is set. Its Open always fails, so a relay can't reach an owner.
type fakePeers struct {
	witness *conductor.Conductor
	failing atomic.Bool
}

func (w *fakePeers) Open(context.Context, string, namer.Incarnation) (*messenger.Stream, error) {
	return nil, errUnreachable
}

func (w *fakePeers) Ask(_ context.Context, _ string, _ namer.Incarnation, req *encoder.Request) (*encoder.Reply, error) {
	if w.failing.Load() {
		return nil, errUnreachable
	}
	v := arbiter.Verdict{}
	switch kind := req.GetKind().(type) {
	case *encoder.Request_Intent:
		t, _ := arbiter.TokenFromProto(kind.Intent.GetToken())
		v = w.witness.RecordIntent(t)
	case *encoder.Request_Seal:
		t, _ := arbiter.TokenFromProto(kind.Seal.GetToken())
		v = w.witness.Seal(t)
	case *encoder.Request_Outcome:
		t, _ := arbiter.TokenFromProto(kind.Outcome.GetToken())
		w.witness.RecordOutcome(t, converter.Outcome(kind.Outcome.GetAnswer(), kind.Outcome.GetBody()), arbiter.Digest(kind.Outcome.GetDigest()))
	}
	return &encoder.Reply{Kind: &encoder.Reply_Verdict{Verdict: converter.Verdict(v)}}, nil
}

// fakeUpstream is a dispatcher that counts runs. A run blocks until proceed is
// closed.
type fakeUpstream struct {
	started chan struct{}
	proceed chan struct{}
	runs    int
	body    []byte
}

func (u *fakeUpstream) Dispatch(ctx context.Context, _ forwarder.Request, g conductor.Gate) arbiter.Outcome {
	if !g.MarkSent() {
		return arbiter.Outcome{}
	}
	u.runs++
	u.started <- struct{}{}
	select {
	case <-u.proceed:
	case <-ctx.Done():
		return arbiter.Outcome{Reason: "canceled"}
	}
	return arbiter.Outcome{Execution: arbiter.Ran, Response: arbiter.Response{Status: 200, Body: u.body}}
}

type fixture struct {
	owner, witness *conductor.Conductor
	peers          *fakePeers
	upstream       *fakeUpstream
	token          arbiter.Token
	request        forwarder.Request
}

func newFixture(t *testing.T) *fixture {
	clock := clockwork.NewRealClock()
	p := &fixture{upstream: &fakeUpstream{started: make(chan struct{}, 9), proceed: make(chan struct{}), body: []byte("answer")}}
	witness, cleanup, err := conductor.New(conductor.Identity{Incarnation: namer.Incarnation{2}}, &fakePeers{}, clock)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	p.witness = witness
	p.peers = &fakePeers{witness: witness}
	p.owner, cleanup, err = conductor.New(conductor.Identity{Incarnation: namer.Incarnation{1}}, p.peers, clock, conductor.WithMaxStoredBodyBytes(10))
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	p.owner.SetDispatcher(p.upstream)
	tokens, err := p.owner.Mint(1, time.Minute, "desk", []arbiter.WitnessPeer{{Incarnation: namer.Incarnation{2}}})
	assert.NilError(t, err)
	p.token = tokens[0]
	p.request = forwarder.Request{Service: "desk", Method: "POST", Path: "/orders", Body: []byte("x"), Deadline: time.Now().Add(time.Minute)}
	return p
}

// TestRequestContinuesAfterCallerCancels cancels the caller during the request. The
// request must continue, and the retry must receive its response.
func TestRequestContinuesAfterCallerCancels(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	outcomes := make(chan arbiter.Outcome, 1)
	go func() { outcomes <- p.owner.Run(ctx, p.token, p.request) }()
	<-p.upstream.started
	cancel()
	assert.Equal(t, (<-outcomes).Code, arbiter.CodeInProgress)
	close(p.upstream.proceed)
	out := p.owner.Run(context.Background(), p.token, p.request)
	assert.Equal(t, out.Execution, arbiter.Ran)
	assert.Equal(t, string(out.Response.Body), "answer")
	assert.Equal(t, p.upstream.runs, 1)
}

func TestConcurrentCopiesShareOneRun(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	outcomes := make(chan arbiter.Outcome, 2)
	go func() { outcomes <- p.owner.Run(context.Background(), p.token, p.request) }()
	<-p.upstream.started
	go func() { outcomes <- p.owner.Run(context.Background(), p.token, p.request) }()
	other := p.request
	other.Body = []byte("y")
	assert.Equal(t, p.owner.Run(context.Background(), p.token, other).Code, arbiter.CodeMismatch)
	close(p.upstream.proceed)
	for range 2 {
		assert.Equal(t, string((<-outcomes).Response.Body), "answer")
	}
	assert.Equal(t, p.upstream.runs, 1)
}

// TestLargeResponseBodyIsNotStored checks that the first caller receives a whole
// body over the limit, and a retry the outcome without the body.
func TestLargeResponseBodyIsNotStored(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	p.upstream.body = []byte("longer than ten bytes")
	close(p.upstream.proceed)
	first := p.owner.Run(context.Background(), p.token, p.request)
	assert.Equal(t, string(first.Response.Body), "longer than ten bytes")
	again := p.owner.Run(context.Background(), p.token, p.request)
	assert.Equal(t, again.Execution, arbiter.Ran)
	assert.Assert(t, again.Response.BodyOmitted)
	assert.Equal(t, len(again.Response.Body), 0)
}

func TestUnreachableWitnessIsNotRun(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	p.peers.failing.Store(true)
	for range 2 {
		out := p.owner.Run(context.Background(), p.token, p.request)
		assert.Equal(t, out.Execution, arbiter.NotRun)
		p.peers.failing.Store(false)
	}
	assert.Equal(t, p.upstream.runs, 0)
}

// TestWitnessSealsWhenOwnerIsUnreachable sends a request to the token's witness,
// which can't reach the owner and seals the token. The owner's intent must be
// refused from then on.
func TestWitnessSealsWhenOwnerIsUnreachable(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	assert.Equal(t, p.witness.Run(context.Background(), p.token, p.request).Execution, arbiter.NotRun)
	assert.Equal(t, p.owner.Run(context.Background(), p.token, p.request).Execution, arbiter.NotRun)
	assert.Equal(t, p.upstream.runs, 0)
}

func TestWitnessReturnsRecordedOutcome(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	close(p.upstream.proceed)
	assert.Equal(t, p.owner.Run(context.Background(), p.token, p.request).Execution, arbiter.Ran)
	for p.witness.Run(context.Background(), p.token, p.request).Execution != arbiter.Ran {
		// The witness receives the outcome after the caller does.
		time.Sleep(time.Millisecond)
	}
	other := p.request
	other.Body = []byte("y")
	assert.Equal(t, p.witness.Run(context.Background(), p.token, other).Code, arbiter.CodeMismatch)
}

// TestCanceledRelayDoesNotSeal cancels a caller while the relay asks the owner. The
// token must remain usable, because the owner may be healthy.
func TestCanceledRelayDoesNotSeal(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	close(p.upstream.proceed)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, p.witness.Run(ctx, p.token, p.request).Execution, arbiter.Unknown)
	assert.Equal(t, p.owner.Run(context.Background(), p.token, p.request).Execution, arbiter.Ran)
}

// TestEqualRequestsWithOwnTokensAllRun sends two byte-equal requests, each with its
// own token. Both must run, and each caller must receive its own outcome.
func TestEqualRequestsWithOwnTokensAllRun(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	tokens, err := p.owner.Mint(1, time.Minute, "desk", []arbiter.WitnessPeer{{Incarnation: namer.Incarnation{2}}})
	assert.NilError(t, err)
	close(p.upstream.proceed)
	for _, token := range []arbiter.Token{p.token, tokens[0]} {
		assert.Equal(t, p.owner.Run(context.Background(), token, p.request).Execution, arbiter.Ran)
	}
	assert.Equal(t, p.upstream.runs, 2)
}
