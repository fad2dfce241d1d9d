package steerer_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// A lost upstream is probed until it is reachable, also if no request may be sent to it, and
// with one probe at a time however often it is lost.
func TestLostUpstreamNotProbed(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var reachable atomic.Bool
	probes := make(chan cataloger.Target, 100)
	up := &scriptedUpstreams{
		exchange: func(cataloger.Target, exchanger.Request) (exchanger.Response, error) { panic("no request was made") },
		probe: func(target cataloger.Target) error {
			probes <- target
			if reachable.Load() {
				return nil
			}
			return syscall.ECONNREFUSED
		},
	}
	clock := clockwork.NewFakeClock()
	s := newSteererWithClock(t, up, 1, 4, clock)
	// The first probe measures the round trip to the zone.
	target := <-probes
	for range 3 {
		s.RecordLost(target)
	}
	<-probes
	for range 4 {
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(2 * time.Second)
		<-probes
	}
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	reachable.Store(true)
	clock.Advance(2 * time.Second)
	<-probes
	assert.Equal(t, len(probes), 0)
	assert.Equal(t, s.Counts().Lost, int64(1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.RecordLost(target)
		if s.Counts().Lost < 2 {
			return poll.Continue("not reachable yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}
