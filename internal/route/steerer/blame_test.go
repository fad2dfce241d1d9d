package steerer_test

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// newScripted returns a steerer with one upstream that breaks each connection.
func newScripted(t *testing.T, probe error) (*scriptedUpstreams, *steerer.Steerer, *quarantiner.Quarantiner) {
	t.Helper()
	up := &scriptedUpstreams{
		exchange: func(cataloger.Target, exchanger.Request) (exchanger.Response, error) {
			return exchanger.Response{}, errors.Wrap(io.ErrUnexpectedEOF, "reading an answer")
		},
		probe: func(cataloger.Target) error { return probe },
	}
	s, q := newSteererWithClock(t, up, 1, 4, clockwork.NewRealClock()), quarantiner.New()
	s.SetQuarantine(q, func() {})
	return up, s, q
}

// TestUpstreamThatDrainsIsNoCrash guards against blaming a request for an upstream that was
// about to shut down.
func TestUpstreamThatDrainsIsNoCrash(t *testing.T) {
	t.Parallel()
	up, s, q := newScripted(t, syscall.ECONNREFUSED)
	broken := up.exchange
	up.exchange = func(target cataloger.Target, r exchanger.Request) (exchanger.Response, error) {
		view := viewOf(1, 4)
		view.Upstreams[0].Draining = true
		s.SetUpstreams(view)
		return broken(target, r)
	}
	s.Steer(t.Context(), request("/order/1"))
	assert.Assert(t, q.Empty())
}

// TestReplacedUpstreamCrashed checks that a crash that no refused connection shows is known by
// the later process of the upstream.
func TestReplacedUpstreamCrashed(t *testing.T) {
	t.Parallel()
	_, s, q := newScripted(t, errors.New("timeout"))
	s.Steer(t.Context(), request("/order/1"))
	assert.Equal(t, q.Counts(time.Now()).Suspect, 0)
	view := viewOf(1, 4)
	view.Upstreams[0].StartedMs++
	s.SetUpstreams(view)
	assert.Equal(t, q.Counts(time.Now()).Suspect, 2)
}

// TestUnsignedResponseClearsNothing guards against a culprit that is cleared by an error which
// something in front of the upstream returned.
func TestUnsignedResponseClearsNothing(t *testing.T) {
	t.Parallel()
	up, s, q := newScripted(t, syscall.ECONNREFUSED)
	s.Steer(t.Context(), request("/order/1"))
	waitProbed(t, q)
	header := http.Header{}
	up.exchange = func(cataloger.Target, exchanger.Request) (exchanger.Response, error) {
		return exchanger.Response{Status: http.StatusBadRequest, Header: header}, nil
	}
	s.Steer(t.Context(), request("/order/1"))
	assert.Equal(t, q.Counts(time.Now()).Suspect, 2)
	header.Set(namer.WaxwingHeaderNames().Signature, "s")
	s.Steer(t.Context(), request("/order/1"))
	assert.Equal(t, q.Counts(time.Now()).Suspect, 0)
}
