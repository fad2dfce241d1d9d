package steerer_test

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// TestCulpritForgottenByLaterProbe guards against a culprit that escapes since a later probe of
// the lost upstream reaches the next process before its record is read.
func TestCulpritForgottenByLaterProbe(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var s *steerer.Steerer
	probes, results := make(chan cataloger.Target, 9), make(chan error, 9)
	up := &scriptedUpstreams{
		exchange: func(target cataloger.Target, _ exchanger.Request) (exchanger.Response, error) {
			s.RecordLost(target)
			return exchanger.Response{}, errors.Wrap(io.EOF, "reading an answer")
		},
		probe: func(target cataloger.Target) error {
			probes <- target
			return <-results
		},
	}
	clock := clockwork.NewFakeClock()
	s = newSteererWithClock(t, up, 1, 4, clock)
	q := quarantiner.New()
	s.SetQuarantine(q, func() {})
	// The first probe measures the round trip to the zone.
	results <- nil
	target := <-probes
	assert.Equal(t, s.Steer(t.Context(), request("/order/culprit")).Code, steerer.CodeOutcomeUnknown)
	<-probes
	results <- os.ErrDeadlineExceeded
	for _, err := range []error{os.ErrDeadlineExceeded, nil} {
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(2 * time.Second)
		<-probes
		results <- err
	}
	// Once the last probe is recorded, the upstream can be lost again.
	results <- os.ErrDeadlineExceeded
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.RecordLost(target)
		if s.Counts().Lost < 2 {
			return poll.Continue("not reachable yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	v := viewOf(1, 4)
	v.Upstreams[0].StartedMs++
	s.SetUpstreams(v)
	assert.Assert(t, q.Counts(clock.Now()).Suspect > 0)
}
