package steerer_test

import (
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// rest is the rest of a body that ends with an error.
type rest struct{ err error }

func (r rest) Read([]byte) (int, error) { return 0, r.err }
func (rest) Close() error               { return nil }

// TestCulpritThatStreams guards against a request that crashes upstreams after the beginning of
// a long response, which is taken for a response.
func TestCulpritThatStreams(t *testing.T) {
	t.Parallel()
	var sends atomic.Int64
	end := io.ErrUnexpectedEOF
	up := &scriptedUpstreams{
		exchange: func(cataloger.Target, exchanger.Request) (exchanger.Response, error) {
			sends.Add(1)
			header := http.Header{namer.WaxwingHeaderNames().Signature: {"s"}}
			return exchanger.Response{Status: http.StatusOK, Header: header, Rest: rest{end}, ContentLength: 1 << 20}, nil
		},
		probe: func(cataloger.Target) error { return syscall.ECONNREFUSED },
	}
	s, q := newSteererWithClock(t, up, 16, 4, clockwork.NewRealClock()), quarantiner.New()
	s.SetQuarantine(q, func() {})
	view := viewOf(16, 4)
	stream := func() {
		// Each upstream is a new process.
		for i := range view.Upstreams {
			view.Upstreams[i].StartedMs++
		}
		s.SetUpstreams(&cataloger.View{Upstreams: slices.Clone(view.Upstreams)})
		if result := s.Steer(t.Context(), request("/order/culprit")); result.Rest != nil {
			_, _ = io.Copy(io.Discard, result.Rest)
			_ = result.Rest.Close()
		}
		waitProbed(t, q)
		time.Sleep(betweenAttempts)
	}
	for range 2 {
		stream()
	}
	// A whole response clears the request.
	end = io.EOF
	stream()
	assert.Equal(t, q.Counts(time.Now()).Suspect, 0)
	end = io.ErrUnexpectedEOF
	for range 10 {
		stream()
	}
	assert.Equal(t, sends.Load(), int64(6))
}
