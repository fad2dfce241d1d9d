package answerer_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/answerer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/peer/packer"
)

// documentOf is a source of one document.
type documentOf struct{ snapshot *keeper.Snapshot }

// Current implements answerer.DocumentSource.
func (d documentOf) Current() *keeper.Snapshot { return d.snapshot }

func newMessenger(t *testing.T, inc byte, h messenger.Handler) (*messenger.Messenger, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m, cleanup, err := messenger.New(ln, messenger.Identity{Incarnation: namer.Incarnation{inc}}, [][]byte{[]byte("a key of the test")})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Serve(ctx, h) }()
	t.Cleanup(func() {
		cancel()
		cleanup()
		assert.NilError(t, <-done)
	})
	return m, ln.Addr().String()
}

// TestPulledDocumentFillsLink guards against a large document that is sent whole to each VM that
// starts, and against one that a peer of an earlier build can't read.
func TestPulledDocumentFillsLink(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	for i := range 4000 {
		b.WriteString("[service s" + strconv.Itoa(i) + "]\nconns = 100\n")
	}
	text := []byte(b.String())
	source := documentOf{&keeper.Snapshot{Head: keeper.Head{Generation: 1}, Sources: parser.Sources{{Section: parser.Services, Text: text}}}}
	clock, log := clockwork.NewFakeClock(), slog.New(slog.DiscardHandler)
	_, address := newMessenger(t, 1, answerer.New(answerer.Dependencies{Documents: source}, clock, log))
	own, _ := newMessenger(t, 2, answerer.New(answerer.Dependencies{}, clock, log))
	for _, packs := range []bool{true, false, true} {
		reply, err := own.Call(t.Context(), address, namer.Incarnation{1}, &encoder.Request{Kind: &encoder.Request_Pull{Pull: &encoder.Pull{Packs: packs}}})
		assert.NilError(t, err)
		section := reply.GetDocument().GetSections()[0]
		assert.Equal(t, len(section.GetText()) > 0, !packs)
		assert.Assert(t, !packs || len(section.GetPacked()) < len(text)/4, "%d of %d bytes", len(section.GetPacked()), len(text))
		assert.NilError(t, packer.UnpackDocument(reply.GetDocument()))
		assert.Assert(t, bytes.Equal(section.GetText(), text))
	}
}

// lenderOf grants a number of tokens for each want.
type lenderOf int32

// Lend implements answerer.Lender.
func (l lenderOf) Lend(_ context.Context, lend *encoder.Lend) *encoder.Loan {
	loan := &encoder.Loan{}
	for range lend.GetWants() {
		loan.Grants = append(loan.Grants, &encoder.Grant{Count: int32(l)})
	}
	return loan
}

// TestLend guards against requests for tokens that a VM without a lender leaves open.
func TestLend(t *testing.T) {
	t.Parallel()
	clock, log := clockwork.NewFakeClock(), slog.New(slog.DiscardHandler)
	_, address := newMessenger(t, 1, answerer.New(answerer.Dependencies{Lender: lenderOf(3)}, clock, log))
	own, ownAddress := newMessenger(t, 2, answerer.New(answerer.Dependencies{}, clock, log))
	req := &encoder.Request{Kind: &encoder.Request_Lend{Lend: &encoder.Lend{Wants: []*encoder.Want{{Account: "a", Need: 5}}}}}
	reply, err := own.Call(t.Context(), address, namer.Incarnation{1}, req)
	assert.NilError(t, err)
	assert.Equal(t, reply.GetLoan().GetGrants()[0].GetCount(), int32(3))
	_, err = own.Call(t.Context(), ownAddress, namer.Incarnation{2}, req)
	assert.Assert(t, err != nil)
}
