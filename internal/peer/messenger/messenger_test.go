package messenger_test

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
)

// bound is generous: it only keeps a broken test from hanging.
const bound = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type handlerFunc func(ctx context.Context, from messenger.Identity, req *encoder.Request, s *messenger.Stream)

// Handle implements messenger.Handler.
func (f handlerFunc) Handle(ctx context.Context, from messenger.Identity, req *encoder.Request, s *messenger.Stream) {
	f(ctx, from, req, s)
}

type node struct {
	*messenger.Messenger
	address string
	inc     namer.Incarnation
	// stop ends the node; it may be called again.
	stop func()
}

func newNode(t *testing.T, inc byte, h messenger.Handler, keys ...string) node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
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

func pull() *encoder.Request {
	return &encoder.Request{Kind: &encoder.Request_Pull{Pull: &encoder.Pull{}}}
}

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
		{"acceptor has both", []string{"k1"}, []string{"k2", "k1"}, true},
		{"dialer has both", []string{"k2", "k1"}, []string{"k2"}, true},
		{"dialer proves its first", []string{"k2", "k1"}, []string{"k1"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			a := newNode(t, 1, echoVM, tc.dialer...)
			b := newNode(t, 2, echoVM, tc.acceptor...)
			ctx, cancel := context.WithTimeout(context.Background(), bound)
			defer cancel()
			reply, err := a.Ask(ctx, b.address, namer.Incarnation{}, pull())
			assert.Equal(t, err == nil, tc.ok, "%v", err)
			if tc.ok {
				assert.Equal(t, string(reply.GetDocument().GetHead()), "vm1")
			}
		})
	}
}

func TestForeignIncarnation(t *testing.T) {
	t.Parallel()
	a := newNode(t, 1, echoVM, "key")
	b := newNode(t, 2, echoVM, "key")
	_, err := a.Ask(context.Background(), b.address, namer.Incarnation{9}, pull())
	assert.ErrorIs(t, err, messenger.ErrWrongIncarnation)
	_, err = a.Ask(context.Background(), b.address, b.inc, pull())
	assert.NilError(t, err)
}

// TestSlowStreamHoldsUpNoOther fills one stream until its sender blocks, and
// asks on another of the same session.
func TestSlowStreamHoldsUpNoOther(t *testing.T) {
	t.Parallel()
	blocked := make(chan struct{})
	h := handlerFunc(func(ctx context.Context, from messenger.Identity, req *encoder.Request, s *messenger.Stream) {
		if req.GetPull() != nil {
			echoVM(ctx, from, req, s)
			return
		}
		chunk := &encoder.Reply{Kind: &encoder.Reply_Chunk{Chunk: &encoder.Chunk{Data: make([]byte, encoder.MaxChunkBytes)}}}
		for i := range 1000 {
			// The stream's window is 256 KiB, so the ninth chunk can't be sent.
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
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	slow, err := a.Open(ctx, b.address, b.inc)
	assert.NilError(t, err)
	defer slow.Close()
	assert.NilError(t, slow.SendRequest(&encoder.Request{Kind: &encoder.Request_Call{Call: &encoder.Call{}}}))
	for range 50 {
		_, err := a.Ask(ctx, b.address, b.inc, pull())
		assert.NilError(t, err)
	}
	select {
	case <-blocked:
		t.Fatal("the slow stream was not blocked, so the test shows nothing")
	default:
	}
}

// TestAnswersBelongToTheirRequests asks at once on many streams.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	t.Parallel()
	h := handlerFunc(func(_ context.Context, _ messenger.Identity, req *encoder.Request, s *messenger.Stream) {
		_ = s.SendReply(&encoder.Reply{Kind: &encoder.Reply_Chunk{Chunk: &encoder.Chunk{Data: req.GetCall().GetBody()}}})
	})
	a := newNode(t, 1, echoVM, "key")
	b := newNode(t, 2, h, "key")
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	errs := make(chan error, 200)
	for i := range cap(errs) {
		go func() {
			want := []byte{byte(i), byte(i >> 8)}
			reply, err := a.Ask(ctx, b.address, b.inc, &encoder.Request{Kind: &encoder.Request_Call{Call: &encoder.Call{Body: want}}})
			if err == nil && string(reply.GetChunk().GetData()) != string(want) {
				t.Errorf("request %v got the answer %v", want, reply.GetChunk().GetData())
			}
			errs <- err
		}()
	}
	for range cap(errs) {
		assert.NilError(t, <-errs)
	}
}

func TestStreamEndsWithItsContext(t *testing.T) {
	t.Parallel()
	h := handlerFunc(func(ctx context.Context, _ messenger.Identity, _ *encoder.Request, _ *messenger.Stream) { <-ctx.Done() })
	a := newNode(t, 1, echoVM, "key")
	b := newNode(t, 2, h, "key")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := a.Ask(ctx, b.address, b.inc, pull())
	assert.Assert(t, err != nil)
}

// TestUnopenedStreamProvesNothingSent asks at an address where nobody is.
func TestUnopenedStreamProvesNothingSent(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	a := newNode(t, 1, echoVM, "key")
	_, err = a.Open(context.Background(), address, namer.Incarnation{})
	assert.Assert(t, err != nil)
}

func TestDownOfEitherSide(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		ends func(dialer, acceptor node) (ending, left node)
	}{
		{"the dialer ends", func(d, a node) (node, node) { return d, a }},
		{"the acceptor ends", func(d, a node) (node, node) { return a, d }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			dialer := newNode(t, 1, echoVM, "k")
			acceptor := newNode(t, 2, echoVM, "k")
			ending, left := tc.ends(dialer, acceptor)
			down := make(chan messenger.Identity, 1)
			left.OnDisconnect(func(id messenger.Identity) { down <- id })
			ctx, cancel := context.WithTimeout(context.Background(), bound)
			defer cancel()
			_, err := dialer.Ask(ctx, acceptor.address, namer.Incarnation{}, pull())
			assert.NilError(t, err)
			ending.stop()
			select {
			case id := <-down:
				assert.Equal(t, id.Incarnation, ending.inc)
			case <-ctx.Done():
				t.Fatal("the end of the connection was not told")
			}
		})
	}
}
