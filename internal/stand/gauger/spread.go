package gauger

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
)

const (
	editCount      = 30
	pollInterval   = 5 * time.Millisecond
	processingTime = 5 * time.Millisecond

	// The round-trip times of the deployment Lone Star, between zones and between
	// regions. The platform's store is as far away as another region.
	zoneRTT   = 3 * time.Millisecond
	regionRTT = 12 * time.Millisecond
)

// MeasureEditPropagation measures the time from the acceptance of an edit until the
// daemons of the Lone Star example apply it, over all daemons and on the last one,
// with that deployment's network delays added.
func MeasureEditPropagation(ctx context.Context, programs, example string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "waxwing-spread-")
	if err != nil {
		return errors.Wrap(err, "creating a temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{
		ProgramDir: programs, ExampleDir: example, Dir: dir, DaemonsPerZone: 2, ProcessingTime: processingTime, LogLevel: "info", PeerProxies: true,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	if err := delayLinks(ctx, fleet); err != nil {
		return err
	}
	allDaemons := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	lastDaemon := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for i := range editCount {
		delays, err := propagateEdit(ctx, fleet, i)
		if err != nil {
			return err
		}
		slowest := int64(0)
		for _, d := range delays {
			_ = allDaemons.RecordValue(max(d.Microseconds(), 1))
			slowest = max(slowest, d.Microseconds())
		}
		_ = lastDaemon.RecordValue(slowest)
	}
	_, err = fmt.Fprintf(out, "spread edits=%d daemons=%d in force p50=%dµs p99=%dµs; on the last daemon p50=%dµs most=%dµs\n",
		editCount, len(fleet.Daemons), allDaemons.ValueAtQuantile(50), allDaemons.ValueAtQuantile(99), lastDaemon.ValueAtQuantile(50), lastDaemon.Max())
	return errors.Wrap(err, "printing")
}

func delayLinks(ctx context.Context, fleet *launcher.Fleet) error {
	for i, a := range fleet.Daemons {
		for _, b := range fleet.Daemons[:i] {
			rtt := regionRTT
			switch {
			case a.Zone == b.Zone:
				rtt = 0
			case a.Region == b.Region:
				rtt = zoneRTT
			}
			fleet.SetLink(a, b, rtt/2, false, false)
		}
	}
	return launcher.Put(ctx, fleet.Platform.Address("address"), "/stand/faults", storekeeper.Faults{Delay: regionRTT})
}

// propagateEdit makes one edit, through the next daemon in turn, and returns for
// each daemon the time from the response to the edit until the daemon applies it.
func propagateEdit(ctx context.Context, fleet *launcher.Fleet, i int) ([]time.Duration, error) {
	text := fmt.Sprintf("# edit %d\n", i)
	through := fleet.Daemons[i%len(fleet.Daemons)]
	g, err := fleet.ApplySection(ctx, through, parser.Exceptions, []byte(text))
	if err != nil {
		return nil, err
	}
	accepted := time.Now()
	delays := make([]time.Duration, len(fleet.Daemons))
	errs := make([]error, len(fleet.Daemons))
	var watchers sync.WaitGroup
	for n, d := range fleet.Daemons {
		watchers.Go(func() { delays[n], errs[n] = waitForGeneration(ctx, fleet, d, g, accepted) })
	}
	watchers.Wait()
	return delays, errors.Join(errs...)
}

func waitForGeneration(
	ctx context.Context, fleet *launcher.Fleet, d *launcher.Daemon, g namer.Generation, since time.Time,
) (time.Duration, error) {
	for time.Since(since) < attemptTimeout {
		var m struct{ Generation namer.Generation }
		if err := fleet.OperatorClient(d).Metrics(ctx, &m); err != nil {
			return 0, err
		}
		if m.Generation >= g {
			return time.Since(since), nil
		}
		time.Sleep(pollInterval)
	}
	return 0, errors.Newf("generation %d was not applied by %s in time", g, d.VM)
}
