package messenger_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
)

// testTimeout only keeps a broken test from hanging, so it is far longer than a test takes.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type handlerFunc func(ctx context.Context, from messenger.Identity, req *encoder.Request, s *messenger.Stream)

// Handle implements messenger.Handler.
func (f handlerFunc) Handle(ctx context.Context, from messenger.Identity, req *encoder.Request, s *messenger.Stream) {
	f(ctx, from, req, s)
}

// node is a running messenger.
type node struct {
	*messenger.Messenger
	address string
	inc     namer.Incarnation
	// stop shuts the node down; it may be called more than once.
	stop func()
}

func newNode(t *testing.T, inc byte, h messenger.Handler, keys ...string) node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return startNode(t, ln, inc, h, keys...)
}

func startNode(t *testing.T, ln net.Listener, inc byte, h messenger.Handler, keys ...string) node {
	raw := make([][]byte, len(keys))
	for i, k := range keys {
		raw[i] = []byte(k)
	}
	self := messenger.Identity{VM: namer.VM("vm" + string('0'+inc)), Incarnation: namer.Incarnation{inc}}
	m, cleanup, err := messenger.New(ln, self, raw)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Serve(ctx, h)
	}()
	stop := func() {
		cancel()
		cleanup()
		<-done
	}
	t.Cleanup(stop)
	return node{Messenger: m, address: ln.Addr().String(), inc: self.Incarnation, stop: stop}
}

func pullRequest() *encoder.Request {
	return &encoder.Request{Kind: &encoder.Request_Pull{Pull: &encoder.Pull{}}}
}

// echoVM replies with the name of the requester's VM.
var echoVM = handlerFunc(func(_ context.Context, from messenger.Identity, _ *encoder.Request, s *messenger.Stream) {
	_ = s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Document{Document: &encoder.Document{Head: []byte(from.VM)}}})
})

func TestKeys(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name             string
		dialer, acceptor []string
		ok               bool
	}{
		{"same", []string{"k1"}, []string{"k1"}, true},
		{"other", []string{"k1"}, []string{"k2"}, false},
		{"acceptor has both keys", []string{"k1"}, []string{"k2", "k1"}, true},
		{"dialer has both keys", []string{"k2", "k1"}, []string{"k2"}, true},
		{"dialer uses its first key", []string{"k2", "k1"}, []string{"k1"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			a := newNode(t, 1, echoVM, tc.dialer...)
			b := newNode(t, 2, echoVM, tc.acceptor...)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			reply, err := a.Call(ctx, b.address, namer.Incarnation{}, pullRequest())
			assert.Equal(t, err == nil, tc.ok, "%v", err)
			if tc.ok {
				assert.Equal(t, string(reply.GetDocument().GetHead()), "vm1")
			}
		})
	}
}

func TestWrongIncarnation(t *testing.T) {
	t.Parallel()
	a := newNode(t, 1, echoVM, "key")
	b := newNode(t, 2, echoVM, "key")
	_, err := a.Call(context.Background(), b.address, namer.Incarnation{9}, pullRequest())
	assert.ErrorIs(t, err, messenger.ErrWrongIncarnation)
	_, err = a.Call(context.Background(), b.address, b.inc, pullRequest())
	assert.NilError(t, err)
}

// TestSlowStreamDoesNotBlockOthers fills one stream's window until its sender blocks, and
// sends requests on other streams of the same connection.
func TestSlowStreamDoesNotBlockOthers(t *testing.T) {
	t.Parallel()
	blocked := make(chan struct{})
	h := handlerFunc(func(ctx context.Context, from messenger.Identity, req *encoder.Request, s *messenger.Stream) {
		if req.GetPull() != nil {
			echoVM(ctx, from, req, s)
			return
		}
		chunk := &encoder.Reply{Kind: &encoder.Reply_Chunk{Chunk: &encoder.Chunk{Data: make([]byte, encoder.MaxChunkBytes)}}}
		for i := range 1000 {
			// The stream's window is 256 KiB and a chunk has 32 KiB, so the ninth chunk can't be sent.
			if i == 9 {
				close(blocked)
			}
			if i > 9 || s.SendReply(chunk) != nil {
				return
			}
		}
	})
	a := newNode(t, 1, echoVM, "key")
	b := newNode(t, 2, h, "key")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	slow, err := a.Open(ctx, b.address, b.inc)
	assert.NilError(t, err)
	defer slow.Close()
	assert.NilError(t, slow.SendRequest(&encoder.Request{Kind: &encoder.Request_Call{Call: &encoder.Call{}}}))
	for range 50 {
		_, err := a.Call(ctx, b.address, b.inc, pullRequest())
		assert.NilError(t, err)
	}
	select {
	case <-blocked:
		t.Fatal("the slow stream was not blocked, so this test proves nothing")
	default:
	}
}

// TestConcurrentRepliesMatchRequests sends 200 requests at once, each on its own stream, and
// checks that each gets its own reply.
func TestConcurrentRepliesMatchRequests(t *testing.T) {
	t.Parallel()
	h := handlerFunc(func(_ context.Context, _ messenger.Identity, req *encoder.Request, s *messenger.Stream) {
		_ = s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Chunk{Chunk: &encoder.Chunk{Data: req.GetCall().GetBody()}}})
	})
	a := newNode(t, 1, echoVM, "key")
	b := newNode(t, 2, h, "key")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	errs := make(chan error, 200)
	for i := range cap(errs) {
		go func() {
			want := []byte{byte(i), byte(i >> 8)}
			reply, err := a.Call(ctx, b.address, b.inc, &encoder.Request{Kind: &encoder.Request_Call{Call: &encoder.Call{Body: want}}})
			if err == nil && string(reply.GetChunk().GetData()) != string(want) {
				t.Errorf("request %v got the reply %v", want, reply.GetChunk().GetData())
			}
			errs <- err
		}()
	}
	for range cap(errs) {
		assert.NilError(t, <-errs)
	}
}

func TestStreamEndsWithContext(t *testing.T) {
	t.Parallel()
	h := handlerFunc(func(ctx context.Context, _ messenger.Identity, _ *encoder.Request, _ *messenger.Stream) { <-ctx.Done() })
	a := newNode(t, 1, echoVM, "key")
	b := newNode(t, 2, h, "key")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := a.Call(ctx, b.address, b.inc, pullRequest())
	assert.Assert(t, err != nil)
}

// TestOpenFailsWithoutListener opens a stream to an address where nothing listens. The error
// shows callers that no request was sent.
func TestOpenFailsWithoutListener(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	a := newNode(t, 1, echoVM, "key")
	_, err = a.Open(context.Background(), address, namer.Incarnation{})
	assert.Assert(t, err != nil)
}

func TestOnDisconnectOnEitherSide(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		ends func(dialer, acceptor node) (ending, left node)
	}{
		{"the dialer shuts down", func(d, a node) (node, node) { return d, a }},
		{"the acceptor shuts down", func(d, a node) (node, node) { return a, d }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			dialer := newNode(t, 1, echoVM, "k")
			acceptor := newNode(t, 2, echoVM, "k")
			ending, left := tc.ends(dialer, acceptor)
			down := make(chan messenger.Identity, 1)
			left.OnDisconnect(func(id messenger.Identity) { down <- id })
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			_, err := dialer.Call(ctx, acceptor.address, namer.Incarnation{}, pullRequest())
			assert.NilError(t, err)
			ending.stop()
			select {
			case id := <-down:
				assert.Equal(t, id.Incarnation, ending.inc)
			case <-ctx.Done():
				t.Fatal("OnDisconnect was not called at the end of the connection")
			}
		})
	}
}

// exhaustedListener fails to accept once, as when the process has no file descriptor left.
type exhaustedListener struct {
	net.Listener
	failed atomic.Bool
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptWithoutFileDescriptors guards against a daemon that ends, with all requests in progress,
// because it has no file descriptor left for a peer's connection.
func TestAcceptWithoutFileDescriptors(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := startNode(t, &exhaustedListener{Listener: ln}, 1, echoVM, "k1")
	b := newNode(t, 2, echoVM, "k1")
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err = b.Call(ctx, a.address, a.inc, pullRequest())
	assert.NilError(t, err)
}

// TestLongGreeting guards against a connection without the key that makes a VM allocate as much
// as the longest message takes: a greeting was read like any other message.
func TestLongGreeting(t *testing.T) {
	t.Parallel()
	b := newNode(t, 2, echoVM, "key")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := messenger.Identity{VM: namer.VM(strings.Repeat("x", 1<<20)), Incarnation: namer.Incarnation{1}}
	a, cleanup, err := messenger.New(ln, self, [][]byte{[]byte("key")})
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err = a.Call(ctx, b.address, b.inc, pullRequest())
	assert.ErrorContains(t, err, "greeting")
	c := newNode(t, 3, echoVM, "key")
	_, err = c.Call(ctx, b.address, b.inc, pullRequest())
	assert.NilError(t, err)
}

// TestEndlessGreeting guards against bytes without end in place of a greeting, which are read
// until the time limit of the handshake or for good.
func TestEndlessGreeting(t *testing.T) {
	t.Parallel()
	sendEndless := func(conn net.Conn, b byte) {
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		block := bytes.Repeat([]byte{b}, 4<<10)
		var err error
		for err == nil {
			_, err = conn.Write(block)
		}
		assert.Check(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
		_ = conn.Close()
	}
	for _, b := range []byte{'x', 0xff, 0} {
		t.Run(fmt.Sprintf("%#x", b), func(t *testing.T) {
			t.Parallel()
			a := newNode(t, 1, echoVM, "key")
			conn, err := net.Dial("tcp", a.address)
			assert.NilError(t, err)
			sendEndless(conn, b)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			done := make(chan struct{})
			go func() {
				defer close(done)
				if conn, err := ln.Accept(); err == nil {
					sendEndless(conn, b)
				}
			}()
			_, err = a.Call(t.Context(), ln.Addr().String(), namer.Incarnation{}, pullRequest())
			assert.ErrorContains(t, err, "greeting")
			<-done
		})
	}
}
