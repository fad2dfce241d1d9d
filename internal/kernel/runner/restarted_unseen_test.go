package runner_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
)

// connIdleTime is longer than VMs keep a connection to an upstream that is not used.
const connIdleTime = 5 * time.Second

// restartAll restarts all upstreams at once. The processes that end are down for a time.
func (s *restartingService) restartAll(t *testing.T, down time.Duration) {
	t.Helper()
	for _, u := range s.upstreams {
		u.end()
	}
	sleep(t.Context(), down)
	for _, u := range s.upstreams {
		assert.NilError(t, u.start())
	}
}

// runColdPeriod sends requests to the VMs for the cold period of the upstreams.
func (s *restartingService) runColdPeriod(t *testing.T, vms []*daemon) {
	t.Helper()
	runFor(t.Context(), coldPeriod, vms, newSteadySource(t))
	for _, u := range s.upstreams {
		u.checkColdRequests(t)
	}
}

// TestUpstreamRestartedUnseenFlooded guards against upstreams that start again under their names
// while VMs have no connection to them, and get the load of warm ones until their records are
// read.
func TestUpstreamRestartedUnseenFlooded(t *testing.T) {
	t.Parallel()
	for name, callersQuiet := range map[string]time.Duration{
		"while idle connections were open":       connIdleTime - downTime,
		"after idle connections had been closed": downTime,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRestartingService(t, unreported)
			vms := startVMs(t, s.storeAddress)
			runFor(t.Context(), 2*time.Second, vms, newSteadySource(t))
			s.store.SetFaults(storekeeper.Faults{Outage: true})
			sleep(t.Context(), connIdleTime-callersQuiet)
			s.restartAll(t, callersQuiet)
			s.runColdPeriod(t, vms)
		})
	}
}

// TestUpstreamFloodedByStartedVMs guards against upstreams that start again under their names
// and get the load of warm ones from VMs that start meanwhile, which know only the records of
// the processes before.
func TestUpstreamFloodedByStartedVMs(t *testing.T) {
	t.Parallel()
	s := newRestartingService(t, time.Second)
	vms := startVMs(t, s.storeAddress)
	s.restartAll(t, downTime)
	var reports sync.WaitGroup
	defer reports.Wait()
	for _, u := range s.upstreams {
		reports.Go(func() {
			sleep(t.Context(), s.reportDelay)
			assert.Check(t, u.report(coldPeriod-s.reportDelay))
		})
	}
	s.runColdPeriod(t, vms)
}
