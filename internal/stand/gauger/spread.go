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
	spreadEdits = 30
	spreadPoll  = 5 * time.Millisecond
	spreadWork  = 5 * time.Millisecond

	// The round trips of Lone Star: between zones, and between regions, where
	// the platform's store is as well.
	zoneTrip   = 3 * time.Millisecond
	regionTrip = 12 * time.Millisecond
)

// Spread measures how long an accepted edit takes to be in force on every
// daemon of Lone Star's example, with that deployment's delays added.
func Spread(ctx context.Context, programs, example string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "waxwing-spread-")
	if err != nil {
		return errors.Wrap(err, "making a folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{
		ProgramDir: programs, ExampleDir: example, Dir: dir, DaemonsPerZone: 2, ProcessingTime: spreadWork, LogLevel: "info", PeerProxies: true,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	if err := delayAll(ctx, fleet); err != nil {
		return err
	}
	each := hdrhistogram.New(1, histogramMost, digits)
	last := hdrhistogram.New(1, histogramMost, digits)
	for i := range spreadEdits {
		took, err := spreadOne(ctx, fleet, i)
		if err != nil {
			return err
		}
		slowest := int64(0)
		for _, d := range took {
			_ = each.RecordValue(max(d.Microseconds(), 1))
			slowest = max(slowest, d.Microseconds())
		}
		_ = last.RecordValue(slowest)
	}
	_, err = fmt.Fprintf(out, "spread edits=%d daemons=%d in force p50=%dµs p99=%dµs; on the last daemon p50=%dµs most=%dµs\n",
		spreadEdits, len(fleet.Daemons), each.ValueAtQuantile(50), each.ValueAtQuantile(99), last.ValueAtQuantile(50), last.Max())
	return errors.Wrap(err, "printing")
}

func delayAll(ctx context.Context, fleet *launcher.Fleet) error {
	for i, a := range fleet.Daemons {
		for _, b := range fleet.Daemons[:i] {
			trip := regionTrip
			switch {
			case a.Zone == b.Zone:
				trip = 0
			case a.Region == b.Region:
				trip = zoneTrip
			}
			fleet.SetLink(a, b, trip/2, false, false)
		}
	}
	return launcher.Put(ctx, fleet.Platform.Address("address"), "/stand/faults", storekeeper.Faults{Delay: regionTrip})
}

// spreadOne applies one edit through each daemon in turn and returns, for every
// daemon, the time from the answer to the edit until it is in force.
func spreadOne(ctx context.Context, fleet *launcher.Fleet, i int) ([]time.Duration, error) {
	text := fmt.Sprintf("# edit %d\n", i)
	through := fleet.Daemons[i%len(fleet.Daemons)]
	g, err := fleet.ApplySection(ctx, through, parser.Exceptions, []byte(text))
	if err != nil {
		return nil, err
	}
	accepted := time.Now()
	took := make([]time.Duration, len(fleet.Daemons))
	errs := make([]error, len(fleet.Daemons))
	var watchers sync.WaitGroup
	for n, d := range fleet.Daemons {
		watchers.Go(func() { took[n], errs[n] = untilInForce(ctx, fleet, d, g, accepted) })
	}
	watchers.Wait()
	return took, errors.Join(errs...)
}

func untilInForce(
	ctx context.Context, fleet *launcher.Fleet, d *launcher.Daemon, g namer.Generation, since time.Time,
) (time.Duration, error) {
	for time.Since(since) < tryTime {
		var m struct{ Generation namer.Generation }
		if err := fleet.OperatorClient(d).Metrics(ctx, &m); err != nil {
			return 0, err
		}
		if m.Generation >= g {
			return time.Since(since), nil
		}
		time.Sleep(spreadPoll)
	}
	return 0, errors.Newf("generation %d did not reach %s", g, d.VM)
}
