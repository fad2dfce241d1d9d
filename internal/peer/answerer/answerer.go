// Package answerer answers the requests of other entry VMs.
//
// # Usage
//
//	a := answerer.New(services, clock, log)
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
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

type (
	// Members answers heartbeats.
	Members interface {
		HandleHeartbeat(ctx context.Context, hb *encoder.Heartbeat) *encoder.Heartbeat
	}

	// Tokens answers owners and relays.
	Tokens interface {
		Own(ctx context.Context, t arbiter.Token, req forwarder.Request) arbiter.Outcome
		Intend(t arbiter.Token) arbiter.Verdict
		Seal(t arbiter.Token) arbiter.Verdict
		Settle(t arbiter.Token, out arbiter.Outcome, digest arbiter.Digest)
	}

	// Router answers spilled requests.
	Router interface {
		DispatchSpilled(ctx context.Context, req forwarder.Request) dispatcher.Result
	}

	// Documents tells what is in force.
	Documents interface {
		Current() *keeper.Snapshot
	}

	// Upstreams tells which upstreams were discovered.
	Upstreams interface {
		View() *cataloger.View
	}

	// Records tells of the store's records.
	Records interface {
		Await(ctx context.Context, p follower.Position) (storer.Update, follower.Position, error)
	}

	// Services is what an answerer works with. Without Tokens and Router it
	// answers only members; without Upstreams and Records it tells of none.
	Services struct {
		Members   Members
		Tokens    Tokens
		Router    Router
		Documents Documents
		Upstreams Upstreams
		Records   map[storer.Kind]Records
	}

	// Answerer answers the requests of other entry VMs.
	Answerer struct {
		services Services
		clock    clockwork.Clock
		log      *slog.Logger
		busy     atomic.Int64
	}
)

// New returns an answerer.
func New(s Services, clock clockwork.Clock, log *slog.Logger) *Answerer {
	return &Answerer{services: s, clock: clock, log: log}
}

// Busy returns the number of requests that are being answered for peers, until
// the last byte of their answers was sent.
func (a *Answerer) Busy() int64 {
	return a.busy.Load()
}

// Handle implements messenger.Handler.
func (a *Answerer) Handle(ctx context.Context, from messenger.Identity, req *encoder.Request, s *messenger.Stream) {
	if err := a.handle(ctx, req, s); err != nil {
		a.log.Debug("peer not answered", "from", string(from.VM), "reason", err.Error())
	}
}

func (a *Answerer) handle(ctx context.Context, req *encoder.Request, s *messenger.Stream) error {
	switch kind := req.GetKind().(type) {
	case *encoder.Request_Heartbeat:
		hb := a.services.Members.HandleHeartbeat(ctx, kind.Heartbeat)
		return s.Reply(&encoder.Reply{Kind: &encoder.Reply_Heartbeat{Heartbeat: hb}})
	case *encoder.Request_Pull:
		return a.document(s, kind.Pull.GetUpstreams())
	case *encoder.Request_Follow:
		return a.records(ctx, kind.Follow, s)
	}
	if a.services.Tokens == nil {
		return errors.New("this VM serves no once-only requests")
	}
	switch kind := req.GetKind().(type) {
	case *encoder.Request_Intent:
		return a.verdict(s, kind.Intent.GetToken(), a.services.Tokens.Intend)
	case *encoder.Request_Seal:
		return a.verdict(s, kind.Seal.GetToken(), a.services.Tokens.Seal)
	case *encoder.Request_Outcome:
		return a.settle(s, kind.Outcome)
	case *encoder.Request_Call:
		return a.call(ctx, s, kind.Call)
	}
	return errors.New("unknown request")
}

func (a *Answerer) verdict(s *messenger.Stream, raw *encoder.Token, judge func(arbiter.Token) arbiter.Verdict) error {
	t, err := arbiter.TokenFrom(raw)
	if err != nil {
		return err
	}
	v := judge(t)
	return s.Reply(&encoder.Reply{Kind: &encoder.Reply_Verdict{Verdict: converter.Verdict(v)}})
}

func (a *Answerer) settle(s *messenger.Stream, o *encoder.Outcome) error {
	t, err := arbiter.TokenFrom(o.GetToken())
	if err != nil {
		return err
	}
	var digest arbiter.Digest
	copy(digest[:], o.GetDigest())
	a.services.Tokens.Settle(t, converter.Outcome(o.GetAnswer(), o.GetBody()), digest)
	return s.Reply(&encoder.Reply{Kind: &encoder.Reply_Verdict{Verdict: &encoder.Verdict{}}})
}

func (a *Answerer) call(ctx context.Context, s *messenger.Stream, call *encoder.Call) error {
	a.busy.Add(1)
	defer a.busy.Add(-1)
	req := converter.Request(call, a.clock.Now())
	if call.GetKind() == encoder.CallKind_CALL_KIND_RELAY {
		t, err := arbiter.TokenFrom(call.GetToken())
		if err != nil {
			return err
		}
		return conductor.WriteOutcome(s, a.services.Tokens.Own(ctx, t, req))
	}
	result := a.services.Router.DispatchSpilled(ctx, req)
	if result.Body == nil {
		return conductor.WriteOutcome(s, result.Outcome)
	}
	defer func() { _ = result.Body.Close() }()
	return stream(s, result)
}

// stream copies an answer as it comes. When the upstream breaks off there is no
// end message, so the peer knows that the answer is not whole.
func stream(s *messenger.Stream, r dispatcher.Result) error {
	answer := converter.Answer(r.Outcome)
	if err := s.Reply(&encoder.Reply{Kind: &encoder.Reply_Answer{Answer: answer}}); err != nil {
		return err
	}
	buf := make([]byte, encoder.ChunkBytes)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			chunk := &encoder.Chunk{Data: buf[:n]}
			if err := s.Reply(&encoder.Reply{Kind: &encoder.Reply_Chunk{Chunk: chunk}}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return s.Reply(&encoder.Reply{Kind: &encoder.Reply_End{End: &encoder.End{}}})
		}
		if err != nil {
			return errors.Wrap(err, "reading the upstream's answer")
		}
	}
}

// records tells a peer of a kind's records until it closes the stream.
func (a *Answerer) records(ctx context.Context, f *encoder.Follow, s *messenger.Stream) error {
	records, ok := a.services.Records[storer.Kind(f.GetKind())]
	if !ok {
		return errors.Newf("records of kind %q are not followed here", f.GetKind())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := &marks{}
	m.note(f.GetMark(), a.clock.Now())
	go func() {
		defer cancel()
		a.readMarks(s, m)
	}()
	position := follower.Position{Version: storer.Version(f.GetSince())}
	for {
		update, next, err := records.Await(ctx, position)
		if err != nil {
			return err
		}
		position = next
		if mark, received := m.last(); mark > 0 {
			update.Mark, update.Age = mark, received.Sub(next.ConfirmedAt)
		}
		if err := s.Reply(&encoder.Reply{Kind: &encoder.Reply_Update{Update: converter.Update(update)}}); err != nil {
			return err
		}
	}
}

// readMarks notes what a peer says on a stream of updates until it closes the stream.
func (a *Answerer) readMarks(s *messenger.Stream, m *marks) {
	for {
		req, err := s.Request()
		if err != nil {
			return
		}
		m.note(req.GetFollow().GetMark(), a.clock.Now())
	}
}

// marks is the last moment that a peer has told of, and when that was received.
type marks struct {
	mu       sync.Mutex
	mark     uint64
	received time.Time
}

func (m *marks) note(mark uint64, received time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mark, m.received = mark, received
}

func (m *marks) last() (uint64, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mark, m.received
}

func (a *Answerer) document(s *messenger.Stream, upstreams bool) error {
	force := a.services.Documents.Current()
	if force == nil {
		return errors.New("no document is in force")
	}
	head, err := force.Head.Encode()
	if err != nil {
		return err
	}
	doc := &encoder.Document{Generation: uint64(force.Head.Generation), Head: head}
	for _, src := range force.Sources {
		doc.Sections = append(doc.Sections, &encoder.Section{Name: string(src.Section), Text: src.Text})
	}
	if upstreams && a.services.Upstreams != nil {
		converter.Upstreams(doc, a.services.Upstreams.View(), a.clock.Now())
	}
	return s.Reply(&encoder.Reply{Kind: &encoder.Reply_Document{Document: doc}})
}
