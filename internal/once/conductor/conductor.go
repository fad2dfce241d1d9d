// Package conductor runs once-only requests. It guards the arbiter package's
// state machines with a lock and connects them to peers and to the dispatcher. A
// request that has started continues when its caller goes away, and its outcome
// is stored for the caller's retry.
//
// # Usage
//
//	c, cleanup, err := conductor.New(self, peers, clock, conductor.WithMaxTokens(100000))
//	defer cleanup()
//	c.SetDispatcher(dispatcher)
//	out := c.Run(ctx, token, request)
package conductor

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
)

const (
	defaultMaxTokens          = 100000
	defaultMaxStoredBodyBytes = 64 << 10
	intentTimeout             = time.Second
	sealTimeout               = time.Second
	outcomeTimeout            = 2 * time.Second
	sweepInterval             = time.Second
)

// errNoVerdict is returned when a peer replies with a message of another kind.
var errNoVerdict = errors.New("the peer's reply is no verdict")

type (
	// PeerClient sends requests to other entry VMs and opens streams to them.
	PeerClient interface {
		Call(ctx context.Context, address string, want namer.Incarnation, req *encoder.Request) (*encoder.Reply, error)
		Open(ctx context.Context, address string, want namer.Incarnation) (*messenger.Stream, error)
	}

	// Gate permits the attempts of one token's request. MarkSent must return
	// true before each attempt; MarkNotRun is called when it is proven that the
	// attempt did not run.
	Gate interface {
		MarkSent() bool
		MarkNotRun()
	}

	// Dispatcher sends a request to an upstream and returns its outcome.
	Dispatcher interface {
		DispatchOnce(ctx context.Context, req forwarder.Request, g Gate) arbiter.Outcome
	}

	// Self is this VM's name, incarnation and peer address.
	Self struct {
		VM          namer.VM
		Incarnation namer.Incarnation
		PeerAddress string
	}

	// Conductor runs the once-only requests of one entry VM.
	Conductor struct {
		self               Self
		peers              PeerClient
		clock              clockwork.Clock
		log                *slog.Logger
		maxTokens          int
		maxStoredBodyBytes int
		dispatcher         Dispatcher
		tasks              sync.WaitGroup

		mu       sync.Mutex
		minter   *arbiter.Minter
		owner    *arbiter.Owner
		witness  *arbiter.Witness
		inFlight map[arbiter.Nonce]*inFlightRequest
	}

	// TokenCounts has the numbers of tokens in memory: unexpired tokens that were
	// minted here, stored requests as owner, and stored intents and seals as
	// witness.
	TokenCounts struct {
		Out     int
		Owned   int
		Intents int
		Seals   int
	}

	// Option configures a conductor.
	Option func(*Conductor)

	// gate implements Gate for one token.
	gate struct {
		conductor *Conductor
		nonce     arbiter.Nonce
	}

	// inFlightRequest is a request in progress. outcome is set before done is
	// closed.
	inFlightRequest struct {
		done    chan struct{}
		outcome arbiter.Outcome
	}
)

// WithLogger sets the logger for outcomes.
func WithLogger(log *slog.Logger) Option {
	return func(c *Conductor) { c.log = log }
}

// WithMaxTokens sets the maximum number of unexpired tokens as owner, and of
// intents and of seals as witness.
func WithMaxTokens(tokens int) Option {
	return func(c *Conductor) { c.maxTokens = tokens }
}

// WithMaxStoredBodyBytes sets the maximum size of a response body that is stored
// for a retry.
func WithMaxStoredBodyBytes(bytes int) Option {
	return func(c *Conductor) { c.maxStoredBodyBytes = bytes }
}

// New returns a conductor. Its cleanup function waits for the requests in
// progress.
func New(self Self, peers PeerClient, clock clockwork.Clock, opts ...Option) (*Conductor, func(), error) {
	c := &Conductor{
		self:               self,
		peers:              peers,
		clock:              clock,
		log:                slog.New(slog.DiscardHandler),
		maxTokens:          defaultMaxTokens,
		maxStoredBodyBytes: defaultMaxStoredBodyBytes,
		inFlight:           make(map[arbiter.Nonce]*inFlightRequest),
	}
	for _, opt := range opts {
		opt(c)
	}
	minter, err := arbiter.NewMinter(self.Incarnation, self.PeerAddress, rand.Reader, c.maxTokens)
	if err != nil {
		return nil, nil, err
	}
	c.minter = minter
	c.owner = arbiter.NewOwner(self.Incarnation, minter)
	c.witness = arbiter.NewWitness(self.Incarnation, c.maxTokens)
	return c, c.tasks.Wait, nil
}

// SetDispatcher sets the dispatcher. It must be called before the first Run. It is
// not a parameter of New because the dispatcher needs services that start after
// this one.
func (c *Conductor) SetDispatcher(d Dispatcher) {
	c.dispatcher = d
}

// Mint returns new tokens of this incarnation. It distributes them over the
// witnesses in round-robin order, so that the failure of a witness affects only
// its share of the tokens that callers hold.
func (c *Conductor) Mint(
	count int, ttl time.Duration, service namer.Service, ws []arbiter.WitnessPeer,
) ([]arbiter.Token, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := make([]arbiter.Token, 0, count)
	for i := range count {
		var w arbiter.WitnessPeer
		if len(ws) > 0 {
			w = ws[i%len(ws)]
		}
		t, err := c.minter.Mint(c.clock.Now(), ttl, service, w)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
	}
	return tokens, nil
}

// Run runs a request here or through the token's owner and returns its outcome.
// If ctx ends first, the outcome is Unknown and the request continues.
func (c *Conductor) Run(ctx context.Context, t arbiter.Token, req forwarder.Request) arbiter.Outcome {
	if t.Owner == c.self.Incarnation {
		return c.RunOwned(ctx, t, req)
	}
	return c.relay(ctx, t, req)
}

// RunOwned runs a request whose token names this VM as its owner. If the token's
// owner is another incarnation, the outcome has CodeForeign.
func (c *Conductor) RunOwned(ctx context.Context, t arbiter.Token, req forwarder.Request) arbiter.Outcome {
	digest := DigestOf(req)
	c.mu.Lock()
	step := c.owner.Begin(c.clock.Now(), t, digest)
	r := c.inFlight[t.Nonce]
	if step.Action == arbiter.RecordIntent || step.Action == arbiter.Dispatch {
		r = &inFlightRequest{done: make(chan struct{})}
		c.inFlight[t.Nonce] = r
		c.tasks.Go(func() { c.runToOutcome(context.WithoutCancel(ctx), t, digest, req, step, r) })
	}
	c.mu.Unlock()
	switch step.Action {
	case arbiter.Decided:
		return step.Outcome
	case arbiter.Mismatch:
		return arbiter.Outcome{Code: arbiter.CodeMismatch, Reason: "the token belongs to another request"}
	case arbiter.Foreign:
		return arbiter.Outcome{Code: arbiter.CodeForeign, Reason: "the token's owner was replaced"}
	}
	return awaitOutcome(ctx, r)
}

// InFlight returns the number of requests in progress as owner.
func (c *Conductor) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlight)
}

// TokenCounts returns the current numbers of tokens in memory.
func (c *Conductor) TokenCounts() TokenCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	intents, seals := c.witness.Len()
	return TokenCounts{Out: c.minter.Outstanding(), Owned: c.owner.Len(), Intents: intents, Seals: seals}
}

// Serve deletes the state of expired tokens at an interval, until ctx ends.
func (c *Conductor) Serve(ctx context.Context) error {
	ticker := c.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			c.sweep()
		}
	}
}

// DigestOf returns the digest of a request's service, method, path and body. It
// tells a copy of a request from another request with the same token.
func DigestOf(req forwarder.Request) arbiter.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Service), []byte(req.Method), []byte(req.Path), req.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return arbiter.Digest(h.Sum(nil))
}

func awaitOutcome(ctx context.Context, r *inFlightRequest) arbiter.Outcome {
	select {
	case <-r.done:
		return r.outcome
	case <-ctx.Done():
	}
	select {
	case <-r.done:
		return r.outcome
	default:
		return arbiter.Outcome{Code: arbiter.CodeInProgress, Reason: "the request is still in progress"}
	}
}

// runToOutcome records the intent, dispatches the request and publishes the
// outcome. The outcome is stored before any caller receives it.
func (c *Conductor) runToOutcome(
	ctx context.Context, t arbiter.Token, digest arbiter.Digest, req forwarder.Request, step arbiter.Step, r *inFlightRequest,
) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	hasWitness := step.Action == arbiter.RecordIntent
	if hasWitness {
		step = c.recordIntent(ctx, t)
	}
	out := step.Outcome
	if step.Action == arbiter.Dispatch {
		out = c.dispatcher.DispatchOnce(ctx, req, gate{conductor: c, nonce: t.Nonce})
	}
	c.mu.Lock()
	out = c.owner.Finish(t.Nonce, out).Outcome
	c.owner.ReplaceResponse(t.Nonce, c.storedResponse(out.Response))
	delete(c.inFlight, t.Nonce)
	c.mu.Unlock()
	r.outcome = out
	close(r.done)
	if hasWitness {
		c.sendOutcome(ctx, t, out, digest)
	}
}

func (c *Conductor) recordIntent(ctx context.Context, t arbiter.Token) arbiter.Step {
	v, err := c.sendIntent(ctx, t)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return c.owner.IntentFailed(t.Nonce, "the witness gave no verdict: "+err.Error())
	}
	return c.owner.IntentAnswered(t.Nonce, v)
}

// storedResponse returns the response to store for retries. A body over the limit
// is left out.
func (c *Conductor) storedResponse(a arbiter.Response) arbiter.Response {
	if len(a.Body) > c.maxStoredBodyBytes {
		a.Body = nil
		a.BodyOmitted = true
	}
	return a
}

func (c *Conductor) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.owner.Sweep(now)
	c.witness.Sweep(now)
}

// MarkSent implements Gate.
func (g gate) MarkSent() bool {
	g.conductor.mu.Lock()
	defer g.conductor.mu.Unlock()
	return g.conductor.owner.MarkSent(g.nonce)
}

// MarkNotRun implements Gate.
func (g gate) MarkNotRun() {
	g.conductor.mu.Lock()
	defer g.conductor.mu.Unlock()
	g.conductor.owner.MarkNotRun(g.nonce)
}
