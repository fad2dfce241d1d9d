package steerer_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// scriptedUpstreams calls a function for each send and each probe.
type scriptedUpstreams struct {
	exchange func(cataloger.Target, exchanger.Request) (exchanger.Response, error)
	probe    func(cataloger.Target) error
}

func (u *scriptedUpstreams) CloseIdleExcept([]cataloger.Target) {}

func (u *scriptedUpstreams) Preconnect(_ context.Context, t cataloger.Target) (time.Duration, error) {
	return time.Millisecond, u.probe(t)
}

func (u *scriptedUpstreams) Exchange(_ context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error) {
	if !r.Usable() {
		return exchanger.Response{}, errors.Mark(errors.New("not usable"), exchanger.ErrNotSent)
	}
	return u.exchange(t, r)
}

// TestCulpritBreaksDuringProbe guards against a culprit that escapes since the probe that an
// earlier broken connection led to began before the crash.
func TestCulpritBreaksDuringProbe(t *testing.T) {
	t.Parallel()
	var crashed atomic.Bool
	var measured sync.Once
	probing, proceed := make(chan struct{}, 2), make(chan struct{})
	up := &scriptedUpstreams{
		exchange: func(cataloger.Target, exchanger.Request) (exchanger.Response, error) {
			return exchanger.Response{}, errors.Wrap(io.EOF, "reading an answer")
		},
		probe: func(cataloger.Target) error {
			if crashed.Load() {
				return syscall.ECONNREFUSED
			}
			probing <- struct{}{}
			// The first connection measures the round trip to the zone.
			first := false
			measured.Do(func() { first = true })
			if !first {
				<-proceed
			}
			return nil
		},
	}
	s, q := newSteererWithClock(t, up, 1, 4, clockwork.NewRealClock()), quarantiner.New()
	s.SetQuarantine(q, func() {})
	<-probing
	assert.Equal(t, s.Steer(t.Context(), request("/order/bystander")).Code, steerer.CodeOutcomeUnknown)
	<-probing
	crashed.Store(true)
	assert.Equal(t, s.Steer(t.Context(), request("/order/culprit")).Code, steerer.CodeOutcomeUnknown)
	close(proceed)
	waitProbed(t, q)
	assert.Equal(t, q.Counts(time.Now()).Suspect, 2)
}
