// Package prover causes every fault at every step of a once-only request's
// way, on real daemons, and holds what callers were told against the journals
// of the upstreams.
//
// # Usage
//
//	err := prover.Run(ctx, "bin", os.Stdout)
//
// A cell takes a token, brings its request to a step, causes a fault there,
// tries again through another daemon while the fault lasts, heals it, and tries
// once more. The request may have run at most once; nobody may be told not-run
// of one that ran, or ran of one that did not.
package prover

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
)

const (
	// fleets is how many deployments work on cells at once.
	fleets   = 4
	deadline = 3 * time.Second
)

// ErrFailed is returned when a cell's promises were broken.
var ErrFailed = errors.New("a cell failed")

type (
	// cell is a fault at a step.
	cell struct {
		fault fault
		step  step
	}

	// result is a cell's row.
	result struct {
		cell   cell
		told   []string
		runs   int
		broken string
		skip   string
	}
)

// Run works through every cell and prints a row for each, and a closing line.
func Run(ctx context.Context, programs string, out io.Writer) error {
	var cells []cell
	for _, f := range faults() {
		for _, s := range steps() {
			cells = append(cells, cell{fault: f, step: s})
		}
	}
	results := make([]result, len(cells))
	errs := make([]error, fleets)
	next := make(chan int)
	var workers sync.WaitGroup
	for w := range fleets {
		workers.Go(func() { errs[w] = work(ctx, programs, cells, results, next) })
	}
	for i := range cells {
		next <- i
	}
	close(next)
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return report(out, results)
}

// work takes cells with a deployment of its own. After an error it passes over
// the rest, so that nobody waits for it.
func work(ctx context.Context, programs string, cells []cell, results []result, next <-chan int) error {
	lab, cleanup, failed := newLab(ctx, programs)
	if failed == nil {
		defer cleanup()
	}
	for i := range next {
		switch {
		case failed != nil:
		case cells[i].reason() != "":
			results[i] = result{cell: cells[i], skip: cells[i].reason()}
		default:
			results[i], failed = lab.try(ctx, cells[i], i)
		}
	}
	return failed
}

// reason says why a cell can't be caused.
func (c cell) reason() string {
	if c.step.skip != "" {
		return c.step.skip
	}
	return c.fault.skip(c.step)
}

func report(out io.Writer, results []result) error {
	passed, failed, skipped := 0, 0, 0
	fmt.Fprintf(out, "%-28s %-28s %-30s %-4s %s\n", "FAULT", "STEP", "TOLD", "RAN", "VERDICT")
	for _, r := range results {
		verdict := "passed"
		switch {
		case r.skip != "":
			skipped++
			verdict = "not run: " + r.skip
		case r.broken != "":
			failed++
			verdict = "failed: " + r.broken
		default:
			passed++
		}
		fmt.Fprintf(out, "%-28s %-28s %-30s %-4d %s\n", r.cell.fault.name, r.cell.step.name, fmt.Sprint(r.told), r.runs, verdict)
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", passed, failed, skipped)
	if failed > 0 {
		return ErrFailed
	}
	return nil
}

// newLab starts a deployment of two zones with two daemons and an upstream
// each. A daemon's share of an upstream is three slots and one connection, so
// that one held read keeps the connection busy while slots are free.
func newLab(ctx context.Context, programs string) (*lab, func(), error) {
	dir, err := os.MkdirTemp("", "waxwing-faults-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "making a folder")
	}
	remove := func() { _ = os.RemoveAll(dir) }
	if err := writeExample(dir); err != nil {
		remove()
		return nil, nil, err
	}
	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{
		ProgramDir: programs, ExampleDir: dir, Dir: dir, DaemonsPerZone: 2, LogLevel: "info", PeerProxies: true,
		Timing: launcher.Timing{HeartbeatInterval: 100 * time.Millisecond, SuspectTimeout: 700 * time.Millisecond, DeadTimeout: 2 * time.Second, ListInterval: 200 * time.Millisecond},
	})
	if err != nil {
		remove()
		return nil, nil, err
	}
	return &lab{fleet: fleet}, func() {
		cleanup()
		remove()
	}, nil
}

func writeExample(dir string) error {
	services := fmt.Sprintf("[service desk]\nttl = 1s\nrefusal = 503\nreserve = 0\n[class desk/stock]\npath = /stock\ndeadline = %[1]s\n"+
		"[class desk/order]\nmethod = POST\npath = /orders\nonce = yes\ndeadline = %[1]s\n"+
		"[class desk/bulk]\nmethod = POST\npath = /bulk\nonce = yes\nweight = 3\ndeadline = %[1]s\n", deadline)
	places := ""
	for i, z := range []string{"za", "zb"} {
		places += fmt.Sprintf("[zone %s]\nregion = r\nvms = 2\n[block %s]\nnet = 10.%d.0.0/16\nzone = %s\n", z, z, i, z)
		places += fmt.Sprintf("[upstream u%s]\nservice = desk\nzone = %s\naddress = 10.0.0.1:80\nslots = 6\nconns = 2\n", z, z)
	}
	return launcher.WriteExample(dir, services, places)
}
