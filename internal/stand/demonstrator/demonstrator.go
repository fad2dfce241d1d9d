// Package demonstrator runs a whole deployment under load while faults happen: a
// daemon is killed, one is suspended and resumed, an upstream is drained, and the
// platform has an outage. Whether an order ran is taken from the upstreams'
// journals, and the outcomes that the callers got are checked against them.
//
// # Usage
//
//	err := demonstrator.Run(ctx, demonstrator.Options{ProgramDir: "bin", ExampleDir: "examples/lonestar"}, os.Stdout)
package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/stand/driver"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

const (
	daemonsPerZone = 2
	processingTime = 8 * time.Millisecond
	loadDuration   = 10 * time.Second
	attemptTimeout = 1500 * time.Millisecond
	outageDuration = 3 * time.Second
	// minAnsweredReadsPercent is the percentage of reads that must be answered
	// at least.
	minAnsweredReadsPercent = 99
	// maxDrainDelay is how long after the edit a drained upstream may still get
	// new requests.
	maxDrainDelay = 3 * time.Second
)

// ErrFailed is returned when a check of the run failed.
var ErrFailed = errors.New("the demo did not show what it must")

type (
	// Options names the folder of the programs and that of the steering document.
	Options struct {
		ProgramDir string
		ExampleDir string
		// KeepLogs keeps the logs of a successful run and prints their folder.
		KeepLogs bool
	}

	// event is a fault, or its end, at a time after the start of the load.
	event struct {
		at   time.Duration
		name string
		do   func() error
	}

	demo struct {
		fleet     *launcher.Fleet
		out       io.Writer
		drained   *launcher.Upstream
		drainedAt time.Time
	}
)

// Run starts a deployment, injects faults under load, and prints a table and a
// summary line. It returns ErrFailed if a check failed. The logs of a failed run
// are always kept.
func Run(ctx context.Context, o Options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "waxwing-demo-")
	if err != nil {
		return errors.Wrap(err, "creating the folder for logs")
	}
	err = run(ctx, o, dir, out)
	if err == nil && !o.KeepLogs {
		return errors.Wrap(os.RemoveAll(dir), "removing the logs")
	}
	fmt.Fprintf(out, "logs are kept in %s\n", dir)
	return err
}

func run(ctx context.Context, o Options, dir string, out io.Writer) error {
	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{
		ProgramDir: o.ProgramDir, ExampleDir: o.ExampleDir, Dir: dir, DaemonsPerZone: daemonsPerZone, ProcessingTime: processingTime, LogLevel: "info",
	})
	if err != nil {
		return err
	}
	defer cleanup()
	d := &demo{fleet: fleet, out: out}
	fmt.Fprintf(out, "started: 1 platform, %d upstreams, %d daemons in %d zones\n",
		len(fleet.Upstreams), len(fleet.Daemons), len(fleet.Document.Zones))
	report, err := d.load(ctx)
	if err != nil {
		return err
	}
	return d.checkRun(ctx, report)
}

// load runs the load generator as a process of its own while the events happen.
func (d *demo) load(ctx context.Context) (driver.Report, error) {
	file := filepath.Join(d.fleet.Spec.Dir, "report.json")
	plan := filepath.Join(d.fleet.Spec.Dir, "plan.ini")
	if err := os.WriteFile(plan, []byte(LoadPlan), 0o600); err != nil {
		return driver.Report{}, errors.Wrap(err, "writing the plan")
	}
	callers, err := d.fleet.StartProgram(ctx, "callers", d.fleet.ProgramPath("waxwingstand"), "caller",
		"-plan", plan, "-duration", loadDuration.String(), "-try", attemptTimeout.String(), "-out", file,
		"-entries", strings.Join(d.fleet.EntryAddresses(), ","), "-sources", strings.Join(d.fleet.SourceAddresses, ","))
	if err != nil {
		return driver.Report{}, err
	}
	startedAt := time.Now()
	for _, e := range d.events(ctx) {
		select {
		case <-time.After(time.Until(startedAt.Add(e.at))):
		case <-ctx.Done():
			return driver.Report{}, ctx.Err()
		}
		fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(startedAt).Seconds(), e.name)
		if err := e.do(); err != nil {
			return driver.Report{}, errors.Wrap(err, e.name)
		}
	}
	select {
	case <-callers.Done():
	case <-ctx.Done():
		return driver.Report{}, ctx.Err()
	}
	return readReport(file, callers.Wait())
}

// LoadPlan is the plan file of the load, for the document in examples/lonestar.
const LoadPlan = `[load stock]
service = blank-desk
path = /stock
rate = 250
[load order]
service = blank-desk
method = POST
path = /orders
once = yes
rate = 60
[load slot]
service = kiln-book
method = POST
path = /slots
once = yes
rate = 30
[load calendar]
service = kiln-book
path = /calendar
rate = 60
`

func (d *demo) events(ctx context.Context) []event {
	killed := d.fleet.Daemons[0]
	frozen := d.fleet.Daemons[3]
	editor := d.fleet.Daemons[len(d.fleet.Daemons)-1]
	d.drained = d.fleet.Upstreams[1]
	platform := d.fleet.Platform.Address("address")
	return []event{
		{2 * time.Second, "kill daemon " + string(killed.VM), func() error {
			killed.Kill()
			return nil
		}},
		{3 * time.Second, "freeze daemon " + string(frozen.VM), func() error {
			frozen.Freeze()
			return nil
		}},
		{4 * time.Second, "drain upstream " + string(d.drained.Upstream.Name), func() error {
			text := fmt.Sprintf("[drain demo]\nkind = upstream\ntarget = %s\n", d.drained.Upstream.Name)
			_, err := d.fleet.ApplySection(ctx, editor, parser.Drains, []byte(text))
			d.drainedAt = time.Now()
			return err
		}},
		{5 * time.Second, "resume daemon " + string(frozen.VM), func() error {
			frozen.Resume()
			return nil
		}},
		{6 * time.Second, "platform down", func() error {
			return launcher.Put(ctx, platform, "/stand/faults", storekeeper.Faults{Outage: true})
		}},
		{6*time.Second + outageDuration, "platform up", func() error {
			return launcher.Put(ctx, platform, "/stand/faults", storekeeper.Faults{})
		}},
	}
}

func readReport(file string, code int) (driver.Report, error) {
	var r driver.Report
	if code != 0 {
		return r, errors.Newf("the load generator ended with exit code %d; see callers.log", code)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return r, errors.Wrap(err, "reading the report")
	}
	return r, errors.Wrap(json.Unmarshal(raw, &r), "reading the report")
}

func (d *demo) checkRun(ctx context.Context, r driver.Report) error {
	journal, err := ReadJournals(ctx, d.fleet.Upstreams)
	if err != nil {
		return err
	}
	v := CheckOutcomes(r.TokenUses, journal)
	overSlots, lateWork, err := d.upstreamStats(ctx)
	if err != nil {
		return err
	}
	d.print(r, v, overSlots, lateWork)
	var failures []string
	for _, check := range []struct {
		failed bool
		name   string
	}{
		{v.Duplicated > 0, "an order ran twice"},
		{r.Mismatched > 0, "a caller got another request's answer"},
		{v.FalseNotRun > 0, "an order told not-run ran"},
		{v.FalseRan > 0, "an order told ran did not"},
		{overSlots > 0, "an upstream got more than its slots"},
		{lateWork > 0, "a drained upstream got new work"},
		{r.ReadsAnswered*100 < minAnsweredReadsPercent*r.Reads, "too few reads were answered"},
	} {
		if check.failed {
			failures = append(failures, check.name)
		}
	}
	if len(failures) > 0 {
		return errors.Wrap(ErrFailed, strings.Join(failures, "; "))
	}
	return nil
}

// upstreamStats returns how many requests came beyond an upstream's slots, and
// how long after maxDrainDelay the drained upstream got its last new request.
func (d *demo) upstreamStats(ctx context.Context) (overSlots int, lateWork time.Duration, err error) {
	for _, u := range d.fleet.Upstreams {
		var s worker.Stats
		if err := launcher.Get(ctx, u.Process.Address("address"), "/stand/stats", &s); err != nil {
			return 0, 0, err
		}
		overSlots += s.OverSlots
		if u == d.drained {
			lateWork = max(0, s.LastWork.Sub(d.drainedAt.Add(maxDrainDelay)))
		}
	}
	return overSlots, lateWork, nil
}

func (d *demo) print(r driver.Report, v OutcomeCheck, overSlots int, lateWork time.Duration) {
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "what\tcount\n")
	fmt.Fprintf(w, "reads sent\t%d\n", r.Reads)
	fmt.Fprintf(w, "reads answered\t%d\n", r.ReadsAnswered)
	fmt.Fprintf(w, "orders sent\t%d\n", r.Requests-r.Reads)
	fmt.Fprintf(w, "orders that ran, by journal\t%d\n", v.Ran)
	fmt.Fprintf(w, "orders told unknown\t%d\n", r.Unknown)
	fmt.Fprintf(w, "orders run twice, by journal\t%d\n", v.Duplicated)
	fmt.Fprintf(w, "told not-run but ran\t%d\n", v.FalseNotRun)
	fmt.Fprintf(w, "told ran but did not\t%d\n", v.FalseRan)
	fmt.Fprintf(w, "answers of another request\t%d\n", r.Mismatched)
	fmt.Fprintf(w, "requests beyond an upstream's slots\t%d\n", overSlots)
	fmt.Fprintf(w, "new work at the drained upstream after 3 s\t%v\n", lateWork)
	for _, reason := range r.Reasons {
		fmt.Fprintf(w, "not answered: %s\t%d\n", reason.Text, reason.Count)
	}
	_ = w.Flush()
	fmt.Fprintf(d.out, "demo requests=%d answered=%d refused=%d unknown=%d duplicated=%d mismatched=%d falsenotrun=%d p50=%s p99=%s\n",
		r.Requests, r.Answered, r.Refused, r.Unknown, v.Duplicated, r.Mismatched, v.FalseNotRun,
		microseconds(r.P50Micros), microseconds(r.P99Micros))
}

func microseconds(us int64) time.Duration {
	return time.Duration(us) * time.Microsecond
}
