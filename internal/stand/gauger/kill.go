package gauger

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/stand/demonstrator"
	"github.com/waxwingloom/waxwingloom/internal/stand/driver"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

const (
	killRatePerSecond  = 400
	killLoadDuration   = 6 * time.Second
	killProcessingTime = 20 * time.Millisecond
	killRuns           = 5
)

// MeasureKill measures how many orders end as unknown when a daemon is killed under
// load, and prints next to it how many orders were in flight at that daemon.
func MeasureKill(ctx context.Context, programs string, out io.Writer) error {
	for i := range killRuns {
		if err := killOnce(ctx, programs, uint64(i+1), out); err != nil {
			return err
		}
	}
	return nil
}

func killOnce(ctx context.Context, programs string, seed uint64, out io.Writer) error {
	fleet, cleanup, err := launchFleet(ctx, programs, 2, false, "other")
	if err != nil {
		return err
	}
	defer cleanup()
	slow := worker.Faults{Work: killProcessingTime}
	for _, u := range fleet.Upstreams {
		if err := launcher.Put(ctx, u.Process.Address("address"), "/stand/faults", slow); err != nil {
			return err
		}
	}
	var report driver.Report
	done := make(chan error, 1)
	go func() {
		var err error
		report, err = driver.Run(ctx, driver.Plan{
			EntryAddresses: fleet.EntryAddresses(), SourceAddresses: []string{"127.0.0.1", "127.0.0.2"}, Duration: killLoadDuration, AttemptTimeout: 2 * time.Second, Seed: seed,
			Loads: []driver.Load{{
				Service: "desk", Class: "order", Method: "POST", Path: "/orders", OnceOnly: true, Weight: 1, RatePerSecond: killRatePerSecond, RequestBytes: 100,
			}},
		})
		done <- err
	}()
	time.Sleep(killLoadDuration / 2)
	victim, inFlight, err := busiest(ctx, fleet)
	if err != nil {
		return err
	}
	victim.Kill()
	if err := <-done; err != nil {
		return err
	}
	journal, err := demonstrator.ReadJournals(ctx, fleet.Upstreams)
	if err != nil {
		return err
	}
	v := demonstrator.CheckOutcomes(report.TokenUses, journal)
	_, err = fmt.Fprintf(out, "kill seed=%s orders=%d ran=%d unknown=%d refused=%d inflight=%d duplicated=%d falsenotrun=%d\n",
		strconv.FormatUint(seed, 10), report.Requests, v.Ran, report.Unknown, report.Refused, inFlight, v.Duplicated, v.FalseNotRun)
	return errors.Wrap(err, "printing")
}

// busiest returns the daemon with the most requests in flight, and their number.
func busiest(ctx context.Context, fleet *launcher.Fleet) (*launcher.Daemon, int, error) {
	most := -1
	var victim *launcher.Daemon
	for _, d := range fleet.Daemons {
		var m struct{ Busy int }
		if err := fleet.OperatorClient(d).Metrics(ctx, &m); err != nil {
			return nil, 0, err
		}
		if m.Busy > most {
			most = m.Busy
			victim = d
		}
	}
	return victim, most, nil
}
