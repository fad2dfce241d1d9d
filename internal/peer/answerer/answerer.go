// Package answerer handles the requests of other entry VMs: heartbeats, pulls of the
// steering document, streams of store records, the token protocol, and callers' requests
// that another VM relays or spills to this one.
//
// # Usage
//
//	a := answerer.New(deps, clock, log)
//	err := messenger.Serve(ctx, a)
package answerer

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/once/conductor"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/peer/packer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

type (
	// HeartbeatHandler handles a heartbeat and returns the one to reply with.
	HeartbeatHandler interface {
		HandleHeartbeat(ctx context.Context, hb *encoder.Heartbeat) *encoder.Heartbeat
	}

	// TokenHandler handles messages of the token protocol from owners and relays.
	TokenHandler interface {
		RunOwned(ctx context.Context, t arbiter.Token, req forwarder.Request) arbiter.Outcome
		RecordIntent(t arbiter.Token) arbiter.Verdict
		Seal(t arbiter.Token) arbiter.Verdict
		RecordOutcome(t arbiter.Token, out arbiter.Outcome, digest arbiter.Digest)
	}

	// Router handles requests that another VM spilled to this one.
	Router interface {
		DispatchSpilled(ctx context.Context, req forwarder.Request) dispatcher.Result
	}

	// DocumentSource returns the current steering document.
	DocumentSource interface {
		Current() *keeper.Snapshot
	}

	// UpstreamSource returns the upstreams that were discovered.
	UpstreamSource interface {
		View() *cataloger.View
	}

	// RecordSource waits for changes of the store's records after a position.
	RecordSource interface {
		Await(ctx context.Context, p follower.Position) (storer.Update, follower.Position, error)
	}

	// Lender handles requests of another VM for tokens of accounts.
	Lender interface {
		Lend(ctx context.Context, lend *encoder.Lend) *encoder.Loan
	}

	// Dependencies holds what an answerer calls to handle requests. Without Tokens and
	// Router it rejects token messages and relayed or spilled requests. Without Upstreams
	// it sends documents without upstreams; without Records it rejects requests to follow
	// records; without Lender it lends no tokens.
	Dependencies struct {
		Members   HeartbeatHandler
		Tokens    TokenHandler
		Router    Router
		Documents DocumentSource
		Upstreams UpstreamSource
		Records   map[storer.Kind]RecordSource
		Lender    Lender
	}

	// Answerer handles the requests of other entry VMs.
	Answerer struct {
		deps     Dependencies
		packer   *packer.Packer
		clock    clockwork.Clock
		log      *slog.Logger
		inFlight atomic.Int64
	}
)

// New returns an answerer.
func New(deps Dependencies, clock clockwork.Clock, log *slog.Logger) *Answerer {
	return &Answerer{deps: deps, packer: packer.New(), clock: clock, log: log}
}

// InFlight returns the number of relayed and spilled requests in progress. A request
// counts until the last byte of its response was sent.
func (a *Answerer) InFlight() int64 {
	return a.inFlight.Load()
}

// Handle implements messenger.Handler.
func (a *Answerer) Handle(ctx context.Context, from messenger.Identity, req *encoder.Request, s *messenger.Stream) {
	if err := a.handle(ctx, req, s); err != nil {
		a.log.Debug("request of a peer failed; closing its stream", "from", string(from.VM), "reason", err.Error())
	}
}

func (a *Answerer) handle(ctx context.Context, req *encoder.Request, s *messenger.Stream) error {
	switch kind := req.GetKind().(type) {
	case *encoder.Request_Heartbeat:
		hb := a.deps.Members.HandleHeartbeat(ctx, kind.Heartbeat)
		return s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Heartbeat{Heartbeat: hb}})
	case *encoder.Request_Pull:
		return a.replyDocument(kind.Pull, s)
	case *encoder.Request_Follow:
		return a.streamUpdates(ctx, kind.Follow, s)
	case *encoder.Request_Lend:
		return a.replyLoan(ctx, kind.Lend, s)
	}
	if a.deps.Tokens == nil {
		return errors.New("this VM serves no once-only or spilled requests")
	}
	switch kind := req.GetKind().(type) {
	case *encoder.Request_Intent:
		return a.replyVerdict(s, kind.Intent.GetToken(), a.deps.Tokens.RecordIntent)
	case *encoder.Request_Seal:
		return a.replyVerdict(s, kind.Seal.GetToken(), a.deps.Tokens.Seal)
	case *encoder.Request_Outcome:
		return a.handleOutcome(s, kind.Outcome)
	case *encoder.Request_Call:
		return a.handleCall(ctx, s, kind.Call)
	}
	return errors.New("unknown request")
}

func (a *Answerer) replyLoan(ctx context.Context, lend *encoder.Lend, s *messenger.Stream) error {
	if a.deps.Lender == nil {
		return errors.New("this VM lends no tokens")
	}
	return s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Loan{Loan: a.deps.Lender.Lend(ctx, lend)}})
}

func (a *Answerer) replyVerdict(s *messenger.Stream, raw *encoder.Token, decide func(arbiter.Token) arbiter.Verdict) error {
	t, err := arbiter.TokenFromProto(raw)
	if err != nil {
		return err
	}
	v := decide(t)
	return s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Verdict{Verdict: converter.Verdict(v)}})
}

func (a *Answerer) handleOutcome(s *messenger.Stream, o *encoder.Outcome) error {
	t, err := arbiter.TokenFromProto(o.GetToken())
	if err != nil {
		return err
	}
	var digest arbiter.Digest
	copy(digest[:], o.GetDigest())
	a.deps.Tokens.RecordOutcome(t, converter.OutcomeFrom(o.GetAnswer(), o.GetBody()), digest)
	return s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Verdict{Verdict: &encoder.Verdict{}}})
}

func (a *Answerer) handleCall(ctx context.Context, s *messenger.Stream, call *encoder.Call) error {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	req := converter.RequestFrom(call, a.clock.Now())
	if call.GetKind() == encoder.CallKind_CALL_KIND_RELAY {
		t, err := arbiter.TokenFromProto(call.GetToken())
		if err != nil {
			return err
		}
		return conductor.WriteOutcome(s, a.deps.Tokens.RunOwned(ctx, t, req))
	}
	result := a.deps.Router.DispatchSpilled(ctx, req)
	if result.Body == nil {
		return conductor.WriteOutcome(s, result.Outcome)
	}
	defer func() { _ = result.Body.Close() }()
	return streamResult(s, result)
}

// streamResult sends a response's head, and its body in chunks as they arrive. If reading
// the body from the upstream fails, no End message follows, so the peer knows that the
// response is incomplete.
func streamResult(s *messenger.Stream, r dispatcher.Result) error {
	answer := converter.OutcomeHead(r.Outcome)
	if err := s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Answer{Answer: answer}}); err != nil {
		return err
	}
	buf := make([]byte, encoder.MaxChunkBytes)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			chunk := &encoder.Chunk{Data: buf[:n]}
			if err := s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Chunk{Chunk: chunk}}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return s.SendReply(&encoder.Reply{Kind: &encoder.Reply_End{End: &encoder.End{}}})
		}
		if err != nil {
			return errors.Wrap(err, "reading the upstream's response body")
		}
	}
}

// streamUpdates sends a peer the records of a kind and then their changes, until the peer
// closes the stream. While a peer that sends marks applies an update, it is sent one more:
// further ones would be obsolete when it reads them.
func (a *Answerer) streamUpdates(ctx context.Context, f *encoder.Follow, s *messenger.Stream) error {
	records, ok := a.deps.Records[storer.Kind(f.GetKind())]
	if !ok {
		return errors.Newf("this VM does not follow records of kind %q", f.GetKind())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := newLastMark()
	m.set(f.GetMark(), a.clock.Now())
	go func() {
		defer cancel()
		a.receiveMarks(s, m)
	}()
	differ := a.packer.NewDiffer()
	position := follower.Position{Version: converter.VersionFrom(f.GetEra(), f.GetSince())}
	for sent := 0; ; sent++ {
		if f.GetMark() > 0 && !m.await(ctx, sent) {
			return ctx.Err()
		}
		update, next, err := records.Await(ctx, position)
		if err != nil {
			return err
		}
		position = next
		if mark, received := m.get(); mark > 0 {
			// The peer adds the time since it sent the mark, by its own clock.
			update.Mark, update.Age = mark, received.Sub(next.ConfirmedAt)
		}
		message := converter.Update(update)
		if f.GetDiffs() {
			if err := differ.Replace(f.GetKind(), message); err != nil {
				return err
			}
		}
		if f.GetPacks() {
			if err := a.packer.PackUpdate(f.GetKind(), message); err != nil {
				return err
			}
		}
		if err := s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Update{Update: message}}); err != nil {
			return err
		}
	}
}

// receiveMarks stores the marks that a peer sends on a stream of updates until the peer
// closes the stream.
func (a *Answerer) receiveMarks(s *messenger.Stream, m *lastMark) {
	for {
		req, err := s.ReceiveRequest()
		if err != nil {
			return
		}
		m.set(req.GetFollow().GetMark(), a.clock.Now())
	}
}

// lastMark is the latest mark of a peer, a reading of the peer's clock, when this VM received
// it, and how many marks it has received. A peer sends the first mark when it opens a stream,
// and one more for each update that it has applied.
type lastMark struct {
	mu       sync.Mutex
	mark     uint64
	received time.Time
	count    int
	// updated is closed at the next mark.
	updated chan struct{}
}

func newLastMark() *lastMark {
	return &lastMark{updated: make(chan struct{})}
}

func (m *lastMark) set(mark uint64, received time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mark, m.received = mark, received
	m.count++
	close(m.updated)
	m.updated = make(chan struct{})
}

func (m *lastMark) get() (uint64, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mark, m.received
}

// await waits until at least count marks were received, and reports false if ctx ends before.
func (m *lastMark) await(ctx context.Context, count int) bool {
	for {
		m.mu.Lock()
		reached, updated := m.count >= count, m.updated
		m.mu.Unlock()
		if reached {
			return true
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}

func (a *Answerer) replyDocument(p *encoder.Pull, s *messenger.Stream) error {
	current := a.deps.Documents.Current()
	if current == nil {
		return errors.New("no steering document is in force")
	}
	head, err := current.Head.Encode()
	if err != nil {
		return err
	}
	doc := &encoder.Document{Generation: uint64(current.Head.Generation), Head: head}
	for _, src := range current.Sources {
		doc.Sections = append(doc.Sections, &encoder.Section{Name: string(src.Section), Text: src.Text})
	}
	if p.GetPacks() {
		if err := a.packer.PackDocument(doc); err != nil {
			return err
		}
	}
	if p.GetUpstreams() && a.deps.Upstreams != nil {
		converter.AddUpstreams(doc, a.deps.Upstreams.View(), a.clock.Now())
	}
	return s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Document{Document: doc}})
}
