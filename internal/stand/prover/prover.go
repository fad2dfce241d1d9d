// Package prover injects every fault at every step of a once-only request, on real
// daemons, and compares the outcomes that callers got with the journals of the
// upstreams.
//
// # Usage
//
//	err := prover.Run(ctx, "bin", os.Stdout)
//
// A cell is one fault at one step. Its run takes a token, brings the request to the
// step, injects the fault there, retries through another daemon while the fault
// lasts, removes the fault, and retries once more through that daemon and through
// the owner. The request must have run at most once. No caller may get the outcome
// not-run if it ran, or the outcome ran if it did not.
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
	// fleetCount is the number of deployments that run cells in parallel.
	fleetCount      = 4
	requestDeadline = 3 * time.Second
)

// ErrFailed is returned when the promises of at least one cell were broken.
var ErrFailed = errors.New("a cell failed")

type (
	// cell is one combination of fault and step.
	cell struct {
		fault fault
		step  step
	}

	// result is a cell's row in the report. runs is how often the request ran,
	// violation the broken promise, if any.
	result struct {
		cell       cell
		outcomes   []string
		runs       int
		violation  string
		skipReason string
	}
)

// Run runs every cell and prints a row for each, and a line with the totals.
func Run(ctx context.Context, programs string, out io.Writer) error {
	var cells []cell
	for _, f := range faults() {
		for _, s := range steps() {
			cells = append(cells, cell{fault: f, step: s})
		}
	}
	results := make([]result, len(cells))
	errs := make([]error, fleetCount)
	next := make(chan int)
	var workers sync.WaitGroup
	for w := range fleetCount {
		workers.Go(func() { errs[w] = runCells(ctx, programs, cells, results, next) })
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

// runCells runs cells from next on a deployment of its own. After an error it
// discards the cells that it receives, so that the sender does not block.
func runCells(ctx context.Context, programs string, cells []cell, results []result, next <-chan int) error {
	b, cleanup, err := newTestbed(ctx, programs)
	if err == nil {
		defer cleanup()
	}
	for i := range next {
		switch {
		case err != nil:
		case cells[i].skipReason() != "":
			results[i] = result{cell: cells[i], skipReason: cells[i].skipReason()}
		default:
			results[i], err = b.runCell(ctx, cells[i], i)
		}
	}
	return err
}

// skipReason returns why the cell can't run, or an empty string if it can.
func (c cell) skipReason() string {
	if c.step.skipReason != "" {
		return c.step.skipReason
	}
	return c.fault.skipReason(c.step)
}

func report(out io.Writer, results []result) error {
	passed, failed, skipped := 0, 0, 0
	fmt.Fprintf(out, "%-28s %-28s %-30s %-4s %s\n", "FAULT", "STEP", "TOLD", "RAN", "VERDICT")
	for _, r := range results {
		verdict := "passed"
		switch {
		case r.skipReason != "":
			skipped++
			verdict = "not run: " + r.skipReason
		case r.violation != "":
			failed++
			verdict = "failed: " + r.violation
		default:
			passed++
		}
		fmt.Fprintf(out, "%-28s %-28s %-30s %-4d %s\n", r.cell.fault.name, r.cell.step.name, fmt.Sprint(r.outcomes), r.runs, verdict)
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", passed, failed, skipped)
	if failed > 0 {
		return ErrFailed
	}
	return nil
}

// newTestbed starts a deployment of two zones with two daemons and one upstream
// each. A daemon's share of an upstream is three slots and one connection, so that
// one held read occupies the connection while slots are free.
func newTestbed(ctx context.Context, programs string) (*testbed, func(), error) {
	dir, err := os.MkdirTemp("", "waxwing-faults-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "creating a temporary directory")
	}
	removeDir := func() { _ = os.RemoveAll(dir) }
	if err := writeExample(dir); err != nil {
		removeDir()
		return nil, nil, err
	}
	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{
		ProgramDir: programs, ExampleDir: dir, Dir: dir, DaemonsPerZone: 2, LogLevel: "info", PeerProxies: true,
		Timing: launcher.Timing{HeartbeatInterval: 100 * time.Millisecond, SuspectTimeout: 700 * time.Millisecond, DeadTimeout: 2 * time.Second, ListInterval: 200 * time.Millisecond},
	})
	if err != nil {
		removeDir()
		return nil, nil, err
	}
	return &testbed{fleet: fleet}, func() {
		cleanup()
		removeDir()
	}, nil
}

func writeExample(dir string) error {
	services := fmt.Sprintf("[service desk]\nttl = 1s\nrefusal = 503\nreserve = 0\n[class desk/stock]\npath = /stock\ndeadline = %[1]s\n"+
		"[class desk/order]\nmethod = POST\npath = /orders\nonce = yes\ndeadline = %[1]s\n"+
		"[class desk/bulk]\nmethod = POST\npath = /bulk\nonce = yes\nweight = 3\ndeadline = %[1]s\n", requestDeadline)
	places := ""
	for i, z := range []string{"za", "zb"} {
		places += fmt.Sprintf("[zone %s]\nregion = r\nvms = 2\n[block %s]\nnet = 10.%d.0.0/16\nzone = %s\n", z, z, i, z)
		places += fmt.Sprintf("[upstream u%s]\nservice = desk\nzone = %s\naddress = 10.0.0.1:80\nslots = 6\nconns = 2\n", z, z)
	}
	return launcher.WriteExample(dir, services, places)
}
