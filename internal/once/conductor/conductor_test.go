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

func (p *fakePeers) Open(context.Context, string, namer.Incarnation) (*messenger.Stream, error) {
	return nil, errUnreachable
}

func (p *fakePeers) Call(_ context.Context, _ string, _ namer.Incarnation, req *encoder.Request) (*encoder.Reply, error) {
	if p.failing.Load() {
		return nil, errUnreachable
	}
	v := arbiter.Verdict{}
	switch kind := req.GetKind().(type) {
	case *encoder.Request_Intent:
		t, _ := arbiter.TokenFromProto(kind.Intent.GetToken())
		v = p.witness.RecordIntent(t)
	case *encoder.Request_Seal:
		t, _ := arbiter.TokenFromProto(kind.Seal.GetToken())
		v = p.witness.Seal(t)
	case *encoder.Request_Outcome:
		t, _ := arbiter.TokenFromProto(kind.Outcome.GetToken())
		p.witness.RecordOutcome(t, converter.OutcomeFrom(kind.Outcome.GetAnswer(), kind.Outcome.GetBody()), arbiter.Digest(kind.Outcome.GetDigest()))
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

func (u *fakeUpstream) DispatchOnce(ctx context.Context, _ forwarder.Request, g conductor.Gate) arbiter.Outcome {
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
	f := &fixture{upstream: &fakeUpstream{started: make(chan struct{}, 9), proceed: make(chan struct{}), body: []byte("answer")}}
	witness, cleanup, err := conductor.New(conductor.Self{Incarnation: namer.Incarnation{2}}, &fakePeers{}, clock)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	f.witness = witness
	f.peers = &fakePeers{witness: witness}
	f.owner, cleanup, err = conductor.New(conductor.Self{Incarnation: namer.Incarnation{1}}, f.peers, clock, conductor.WithMaxStoredBodyBytes(10))
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	f.owner.SetDispatcher(f.upstream)
	tokens, err := f.owner.Mint(1, time.Minute, "desk", []arbiter.WitnessPeer{{Incarnation: namer.Incarnation{2}}})
	assert.NilError(t, err)
	f.token = tokens[0]
	f.request = forwarder.Request{Service: "desk", Method: "POST", Path: "/orders", Body: []byte("x"), Deadline: time.Now().Add(time.Minute)}
	return f
}

// TestRequestContinuesAfterCallerCancels cancels the caller during the request. The
// request must continue, and the retry must receive its response.
func TestRequestContinuesAfterCallerCancels(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	outcomes := make(chan arbiter.Outcome, 1)
	go func() { outcomes <- f.owner.Run(ctx, f.token, f.request) }()
	<-f.upstream.started
	cancel()
	assert.Equal(t, (<-outcomes).Code, arbiter.CodeInProgress)
	close(f.upstream.proceed)
	out := f.owner.Run(context.Background(), f.token, f.request)
	assert.Equal(t, out.Execution, arbiter.Ran)
	assert.Equal(t, string(out.Response.Body), "answer")
	assert.Equal(t, f.upstream.runs, 1)
}

func TestConcurrentCopiesShareOneRun(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	outcomes := make(chan arbiter.Outcome, 2)
	go func() { outcomes <- f.owner.Run(context.Background(), f.token, f.request) }()
	<-f.upstream.started
	go func() { outcomes <- f.owner.Run(context.Background(), f.token, f.request) }()
	other := f.request
	other.Body = []byte("y")
	assert.Equal(t, f.owner.Run(context.Background(), f.token, other).Code, arbiter.CodeMismatch)
	close(f.upstream.proceed)
	for range 2 {
		assert.Equal(t, string((<-outcomes).Response.Body), "answer")
	}
	assert.Equal(t, f.upstream.runs, 1)
}

// TestLargeResponseBodyIsNotStored checks that the first caller receives a whole
// body over the limit, and a retry the outcome without the body.
func TestLargeResponseBodyIsNotStored(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.upstream.body = []byte("longer than ten bytes")
	close(f.upstream.proceed)
	first := f.owner.Run(context.Background(), f.token, f.request)
	assert.Equal(t, string(first.Response.Body), "longer than ten bytes")
	again := f.owner.Run(context.Background(), f.token, f.request)
	assert.Equal(t, again.Execution, arbiter.Ran)
	assert.Assert(t, again.Response.BodyOmitted)
	assert.Equal(t, len(again.Response.Body), 0)
}

func TestUnreachableWitnessIsNotRun(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.peers.failing.Store(true)
	for range 2 {
		out := f.owner.Run(context.Background(), f.token, f.request)
		assert.Equal(t, out.Execution, arbiter.NotRun)
		f.peers.failing.Store(false)
	}
	assert.Equal(t, f.upstream.runs, 0)
}

// TestWitnessSealsWhenOwnerIsUnreachable sends a request to the token's witness,
// which can't reach the owner and seals the token. The owner's intent must be
// refused from then on.
func TestWitnessSealsWhenOwnerIsUnreachable(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	assert.Equal(t, f.witness.Run(context.Background(), f.token, f.request).Execution, arbiter.NotRun)
	assert.Equal(t, f.owner.Run(context.Background(), f.token, f.request).Execution, arbiter.NotRun)
	assert.Equal(t, f.upstream.runs, 0)
}

func TestWitnessReturnsRecordedOutcome(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	close(f.upstream.proceed)
	assert.Equal(t, f.owner.Run(context.Background(), f.token, f.request).Execution, arbiter.Ran)
	for f.witness.Run(context.Background(), f.token, f.request).Execution != arbiter.Ran {
		// The witness receives the outcome after the caller does.
		time.Sleep(time.Millisecond)
	}
	other := f.request
	other.Body = []byte("y")
	assert.Equal(t, f.witness.Run(context.Background(), f.token, other).Code, arbiter.CodeMismatch)
}

// TestCanceledRelayDoesNotSeal cancels a caller while the relay asks the owner. The
// token must remain usable, because the owner may be healthy.
func TestCanceledRelayDoesNotSeal(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	close(f.upstream.proceed)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, f.witness.Run(ctx, f.token, f.request).Execution, arbiter.Unknown)
	assert.Equal(t, f.owner.Run(context.Background(), f.token, f.request).Execution, arbiter.Ran)
}

// TestEqualRequestsWithOwnTokensAllRun sends two byte-equal requests, each with its
// own token. Both must run, and each caller must receive its own outcome.
func TestEqualRequestsWithOwnTokensAllRun(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	tokens, err := f.owner.Mint(1, time.Minute, "desk", []arbiter.WitnessPeer{{Incarnation: namer.Incarnation{2}}})
	assert.NilError(t, err)
	close(f.upstream.proceed)
	for _, token := range []arbiter.Token{f.token, tokens[0]} {
		assert.Equal(t, f.owner.Run(context.Background(), token, f.request).Execution, arbiter.Ran)
	}
	assert.Equal(t, f.upstream.runs, 2)
}
