// Package messenger sends requests between entry VMs over TCP. Peers authenticate
// each other by a shared key before any stream is opened. Each request has its own
// yamux stream, so a reply can't be matched to another request, and a slow request
// doesn't block others.
//
// # Usage
//
//	m, cleanup, err := messenger.New(ln, self, keys, messenger.WithLogger(log))
//	defer cleanup()
//	go m.Serve(ctx, handler)
//	reply, err := m.Call(ctx, address, incarnation, request)
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
	"golang.org/x/sys/unix"

	"github.com/waxwingloom/waxwingloom/internal/kernel/dialer"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

const (
	handshakeTimeout   = 2 * time.Second
	keepAliveInterval  = time.Second
	writeTimeout       = 2 * time.Second
	acceptBacklog      = 4096
	streamCloseTimeout = 10 * time.Second
	// acceptRetryDelay is how long the messenger waits for resources to accept connections again.
	acceptRetryDelay = 50 * time.Millisecond
)

// ErrWrongIncarnation is returned when the peer at an address is not the incarnation
// that the caller wanted. No request was sent to it.
var ErrWrongIncarnation = errors.New("the peer is another incarnation")

type (
	// Identity identifies a peer: its VM and the incarnation of its process.
	Identity struct {
		VM          namer.VM
		Incarnation namer.Incarnation
	}

	// Handler handles the requests of peers. The stream is closed when Handle returns.
	Handler interface {
		Handle(ctx context.Context, from Identity, req *encoder.Request, s *Stream)
	}

	// Messenger opens and accepts connections to other entry VMs.
	Messenger struct {
		listener     net.Listener
		self         Identity
		keys         [][]byte
		log          *slog.Logger
		pool         connPool
		onDisconnect atomic.Pointer[func(Identity)]
		running      sync.WaitGroup
	}

	// Option configures a messenger.
	Option func(*Messenger)
)

// WithLogger sets the logger; without it, nothing is logged.
func WithLogger(log *slog.Logger) Option {
	return func(m *Messenger) { m.log = log }
}

// New returns a messenger that accepts connections on a listener once Serve runs. It
// authenticates with the first key when it dials, and accepts each of the keys from
// peers that dial it.
func New(ln net.Listener, self Identity, keys [][]byte, opts ...Option) (*Messenger, func(), error) {
	if len(keys) == 0 {
		return nil, nil, errors.New("messenger: no shared key")
	}
	m := &Messenger{listener: ln, self: self, keys: keys, log: slog.New(slog.DiscardHandler)}
	m.pool.conns = make(map[string]*peerConn)
	m.pool.dialing = make(map[string]*dialing)
	m.pool.dial = m.dial
	m.pool.ctx, m.pool.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(m)
	}
	cleanup := func() {
		_ = ln.Close()
		m.pool.close()
	}
	return m, cleanup, nil
}

// OnDisconnect sets the function that is called when a connection to a peer has ended,
// whichever side opened it. Of two peers, one may be the only one that ever dials, so
// the accepting side must learn of the end too.
func (m *Messenger) OnDisconnect(f func(Identity)) {
	m.onDisconnect.Store(&f)
}

// Serve accepts connections until ctx ends.
func (m *Messenger) Serve(ctx context.Context, h Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer m.running.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = m.listener.Close() })
	defer stop()
	for {
		conn, err := m.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.IsAny(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM) {
			m.log.Warn("peer connection not accepted; retrying", "reason", err.Error())
			sleep(ctx, acceptRetryDelay)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accepting a peer connection")
		}
		m.running.Go(func() { m.accept(ctx, conn, h) })
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Call sends one request and waits for its reply. With a zero incarnation, any peer at
// the address will do.
func (m *Messenger) Call(
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

// Open opens a stream and sends no request, so an error proves that the peer ran
// nothing. The stream ends with ctx.
func (m *Messenger) Open(ctx context.Context, address string, want namer.Incarnation) (*Stream, error) {
	c, err := m.pool.get(ctx, address)
	if err != nil {
		return nil, err
	}
	if !want.IsZero() && c.remote.Incarnation != want {
		return nil, ErrWrongIncarnation
	}
	raw, err := c.session.OpenStream()
	if err != nil {
		m.pool.remove(address, c)
		return nil, errors.Wrapf(err, "opening a stream to %s", address)
	}
	return newStream(ctx, raw), nil
}

func (m *Messenger) accept(ctx context.Context, conn net.Conn, h Handler) {
	// Serve returns once all connections are served, and must not wait for a silent dialer.
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	secured, remote, err := m.handshake(conn, false)
	if !stopClosing() {
		return
	}
	if err != nil {
		_ = conn.Close()
		m.log.Warn("rejected a peer connection", "address", conn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	session, err := yamux.Server(secured, yamuxConfig())
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
				m.notifyDisconnect(remote)
			}
			return
		}
		m.running.Go(func() { m.serveStream(ctx, raw, remote, h) })
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

func (m *Messenger) dial(ctx context.Context, address string) (*peerConn, error) {
	conn, err := dialer.Redial(handshakeTimeout, func(timeout time.Duration) (net.Conn, error) {
		d := net.Dialer{Timeout: timeout}
		return d.DialContext(ctx, "tcp", address)
	})
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
	session, err := yamux.Client(secured, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "opening a session to %s", address)
	}
	go func() {
		<-session.CloseChan()
		m.notifyDisconnect(remote)
	}()
	return &peerConn{session: session, remote: remote}, nil
}

func (m *Messenger) notifyDisconnect(remote Identity) {
	if f := m.onDisconnect.Load(); f != nil {
		(*f)(remote)
	}
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// Stream carries one request and its replies. The requester may send further requests on
// it, such as the repeated Follow messages of a stream of updates.
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

// ReceiveRequest returns the next request, or io.EOF when the peer closed the stream.
func (s *Stream) ReceiveRequest() (*encoder.Request, error) {
	req := &encoder.Request{}
	if err := encoder.Read(s.reader, req); err != nil {
		return nil, err
	}
	return req, nil
}

// Close closes the stream.
func (s *Stream) Close() {
	s.stop()
	_ = s.raw.Close()
}
