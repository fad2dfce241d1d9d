// Package messenger carries messages between entry VMs. Peers prove that they
// know the shared key before any stream is opened. Each request travels on a
// yamux stream of its own, so no answer can meet another request, and a slow
// one holds up no other.
//
// # Usage
//
//	m, cleanup, err := messenger.New(ln, self, keys, messenger.WithLogger(log))
//	defer cleanup()
//	go m.Serve(ctx, handler)
//	reply, err := m.Ask(ctx, address, incarnation, request)
package messenger

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

const (
	handshakeTime  = 2 * time.Second
	keepAlive      = time.Second
	writeTime      = 2 * time.Second
	acceptBacklog  = 4096
	streamCloseFor = 10 * time.Second
)

// ErrWrongIncarnation is returned when the peer at an address is not the incarnation
// that was asked for. Nothing was sent to it.
var ErrWrongIncarnation = errors.New("the peer is another incarnation")

type (
	// Identity says who a peer is.
	Identity struct {
		VM          namer.VM
		Incarnation namer.Incarnation
	}

	// Handler answers the requests of peers. The stream is closed when Handle
	// returns.
	Handler interface {
		Handle(ctx context.Context, from Identity, req *encoder.Request, s *Stream)
	}

	// Messenger opens and accepts connections between entry VMs.
	Messenger struct {
		listener net.Listener
		self     Identity
		keys     [][]byte
		log      *slog.Logger
		links    linkPool
		down     atomic.Pointer[func(Identity)]
		open     sync.WaitGroup
	}

	// Option changes a messenger.
	Option func(*Messenger)
)

// WithLogger sets where events are logged.
func WithLogger(log *slog.Logger) Option {
	return func(m *Messenger) { m.log = log }
}

// New returns a messenger that will accept on a listener. The first key is
// the one that it proves itself; each is accepted from others.
func New(ln net.Listener, self Identity, keys [][]byte, opts ...Option) (*Messenger, func(), error) {
	if len(keys) == 0 {
		return nil, nil, errors.New("messenger: no shared key")
	}
	m := &Messenger{listener: ln, self: self, keys: keys, log: slog.New(slog.DiscardHandler)}
	m.links.entries = make(map[string]*link)
	m.links.dial = m.dial
	for _, opt := range opts {
		opt(m)
	}
	cleanup := func() {
		_ = ln.Close()
		m.links.close()
	}
	return m, cleanup, nil
}

// OnDisconnect sets what is called when a connection to a peer has ended, whichever
// side opened it. Of two peers one may be the only one that ever dials, so the
// accepting side must learn of its end too.
func (m *Messenger) OnDisconnect(f func(Identity)) {
	m.down.Store(&f)
}

// Serve accepts connections until ctx ends.
func (m *Messenger) Serve(ctx context.Context, h Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer m.open.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = m.listener.Close() })
	defer stop()
	for {
		conn, err := m.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accepting a peer")
		}
		m.open.Go(func() { m.accept(ctx, conn, h) })
	}
}

// Ask sends one request and returns its one reply. A zero incarnation accepts
// whichever peer answers at the address.
func (m *Messenger) Ask(
	ctx context.Context, address string, want namer.Incarnation, req *encoder.Request,
) (*encoder.Reply, error) {
	s, err := m.Open(ctx, address, want)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if err := s.SendRequest(req); err != nil {
		return nil, err
	}
	return s.ReceiveReply()
}

// Open returns a stream on which nothing was sent yet, so an error proves that
// the peer ran nothing. The stream ends with ctx.
func (m *Messenger) Open(ctx context.Context, address string, want namer.Incarnation) (*Stream, error) {
	l, err := m.links.get(ctx, address)
	if err != nil {
		return nil, err
	}
	if !want.IsZero() && l.remote.Incarnation != want {
		return nil, ErrWrongIncarnation
	}
	raw, err := l.session.OpenStream()
	if err != nil {
		m.links.drop(address, l)
		return nil, errors.Wrapf(err, "opening a stream to %s", address)
	}
	return newStream(ctx, raw), nil
}

func (m *Messenger) accept(ctx context.Context, conn net.Conn, h Handler) {
	secured, remote, err := m.handshake(conn, false)
	if err != nil {
		_ = conn.Close()
		m.log.Warn("peer refused", "address", conn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	session, err := yamux.Server(secured, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	for {
		raw, err := session.AcceptStream()
		if err != nil {
			if ctx.Err() == nil {
				m.tellDown(remote)
			}
			return
		}
		m.open.Go(func() { m.serveStream(ctx, raw, remote, h) })
	}
}

func (m *Messenger) serveStream(ctx context.Context, raw *yamux.Stream, remote Identity, h Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newStream(ctx, raw)
	defer s.Close()
	req, err := s.ReceiveRequest()
	if err != nil {
		return
	}
	h.Handle(ctx, remote, req, s)
}

func (m *Messenger) dial(ctx context.Context, address string) (*link, error) {
	dialer := net.Dialer{Timeout: handshakeTime}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dialing %s", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	secured, remote, err := m.handshake(conn, true)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "greeting %s", address)
	}
	session, err := yamux.Client(secured, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "opening a session to %s", address)
	}
	go func() {
		<-session.CloseChan()
		m.tellDown(remote)
	}()
	return &link{session: session, remote: remote}, nil
}

func (m *Messenger) tellDown(remote Identity) {
	if f := m.down.Load(); f != nil {
		(*f)(remote)
	}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTime
	c.StreamCloseTimeout = streamCloseFor
	c.LogOutput = io.Discard
	return c
}

// Stream carries one request and what answers it.
type Stream struct {
	raw    *yamux.Stream
	reader *bufio.Reader
	stop   func() bool
}

func newStream(ctx context.Context, raw *yamux.Stream) *Stream {
	s := &Stream{raw: raw, reader: bufio.NewReader(raw)}
	s.stop = context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	return s
}

// SendRequest sends a request.
func (s *Stream) SendRequest(req *encoder.Request) error {
	return encoder.Write(s.raw, req)
}

// SendReply sends a reply.
func (s *Stream) SendReply(reply *encoder.Reply) error {
	return encoder.Write(s.raw, reply)
}

// ReceiveReply returns the next reply, or io.EOF when the peer closed the stream.
func (s *Stream) ReceiveReply() (*encoder.Reply, error) {
	reply := &encoder.Reply{}
	if err := encoder.Read(s.reader, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// ReceiveRequest returns the next request that the peer sends on the same stream, or io.EOF when it
// closed the stream.
func (s *Stream) ReceiveRequest() (*encoder.Request, error) {
	req := &encoder.Request{}
	if err := encoder.Read(s.reader, req); err != nil {
		return nil, err
	}
	return req, nil
}

// Close ends the stream.
func (s *Stream) Close() {
	s.stop()
	_ = s.raw.Close()
}
