// Package demonstrator shows a whole deployment under faults: reads and orders
// run while a daemon is killed, one is frozen and resumed, an upstream is
// drained and the platform is away. What it counts comes from the upstreams'
// journals, not from what callers believe.
//
// # Usage
//
//	err := demonstrator.Run(ctx, demonstrator.Options{Programs: "bin", Example: "examples/lonestar"}, os.Stdout)
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
	perZone  = 2
	workTime = 8 * time.Millisecond
	loadTime = 10 * time.Second
	tryTime  = 1500 * time.Millisecond
	outage   = 3 * time.Second
	// readsWanted is the least part of idempotent reads that must be answered,
	// in percent.
	readsWanted = 99
	// drainTime is how long a drained upstream may still get new work.
	drainTime = 3 * time.Second
)

// ErrFailed is returned when the run did not show what it must.
var ErrFailed = errors.New("the demo did not show what it must")

type (
	// Options says what to demonstrate.
	Options struct {
		ProgramDir string
		ExampleDir  string
		// KeepLogs leaves the logs behind and says where.
		KeepLogs bool
	}

	// event is something that happens during the load.
	event struct {
		at   time.Duration
		name string
		do   func() error
	}

	demo struct {
		fleet   *launcher.Fleet
		out     io.Writer
		drained *launcher.Upstream
		since   time.Time
	}
)

// Run starts a deployment, disturbs it under load, and prints a table and one
// closing line. It returns ErrFailed when a promise was broken. The logs of a run
// that failed are always kept.
func Run(ctx context.Context, o Options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "waxwing-demo-")
	if err != nil {
		return errors.Wrap(err, "making a folder for logs")
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
		ProgramDir: o.ProgramDir, ExampleDir: o.ExampleDir, Dir: dir, DaemonsPerZone: perZone, ProcessingTime: workTime, LogLevel: "info",
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
	return d.conclude(ctx, report)
}

// load runs the callers as a process of their own while events happen.
func (d *demo) load(ctx context.Context) (driver.Report, error) {
	file := filepath.Join(d.fleet.Spec.Dir, "report.json")
	plan := filepath.Join(d.fleet.Spec.Dir, "plan.ini")
	if err := os.WriteFile(plan, []byte(LoadPlan), 0o600); err != nil {
		return driver.Report{}, errors.Wrap(err, "writing the plan")
	}
	callers, err := d.fleet.StartProgram(ctx, "callers", d.fleet.ProgramPath("waxwingstand"), "caller",
		"-plan", plan, "-duration", loadTime.String(), "-try", tryTime.String(), "-out", file,
		"-entries", strings.Join(d.fleet.EntryAddresses(), ","), "-sources", strings.Join(d.fleet.SourceAddresses, ","))
	if err != nil {
		return driver.Report{}, err
	}
	begun := time.Now()
	for _, e := range d.events(ctx) {
		select {
		case <-time.After(time.Until(begun.Add(e.at))):
		case <-ctx.Done():
			return driver.Report{}, ctx.Err()
		}
		fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(begun).Seconds(), e.name)
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

// LoadPlan is the demo's load on the example of Lone Star.
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
			d.since = time.Now()
			return err
		}},
		{5 * time.Second, "resume daemon " + string(frozen.VM), func() error {
			frozen.Resume()
			return nil
		}},
		{6 * time.Second, "platform down", func() error {
			return launcher.Put(ctx, platform, "/stand/faults", storekeeper.Faults{Outage: true})
		}},
		{6*time.Second + outage, "platform up", func() error {
			return launcher.Put(ctx, platform, "/stand/faults", storekeeper.Faults{})
		}},
	}
}

func readReport(file string, code int) (driver.Report, error) {
	var r driver.Report
	if code != 0 {
		return r, errors.Newf("the callers ended with exit code %d, see their log", code)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return r, errors.Wrap(err, "reading the report")
	}
	return r, errors.Wrap(json.Unmarshal(raw, &r), "reading the report")
}

func (d *demo) conclude(ctx context.Context, r driver.Report) error {
	journal, err := ReadJournals(ctx, d.fleet.Upstreams)
	if err != nil {
		return err
	}
	v := CheckOutcomes(r.TokenUses, journal)
	over, late, err := d.stats(ctx)
	if err != nil {
		return err
	}
	d.print(r, v, over, late)
	var broken []string
	for _, check := range []struct {
		failed bool
		name   string
	}{
		{v.Duplicated > 0, "an order ran twice"},
		{r.Mismatched > 0, "a caller got another request's answer"},
		{v.FalseNotRun > 0, "an order told not-run ran"},
		{v.FalseRan > 0, "an order told ran did not"},
		{over > 0, "an upstream got more than its slots"},
		{late > 0, "a drained upstream got new work"},
		{r.ReadsAnswered*100 < readsWanted*r.Reads, "too few reads were answered"},
	} {
		if check.failed {
			broken = append(broken, check.name)
		}
	}
	if len(broken) > 0 {
		return errors.Wrap(ErrFailed, strings.Join(broken, "; "))
	}
	return nil
}

// stats returns how often an upstream was given more than its slots, and for
// how long beyond its bound the drained one got new work.
func (d *demo) stats(ctx context.Context) (over int, late time.Duration, err error) {
	for _, u := range d.fleet.Upstreams {
		var s worker.Stats
		if err := launcher.Get(ctx, u.Process.Address("address"), "/stand/stats", &s); err != nil {
			return 0, 0, err
		}
		over += s.OverSlots
		if u == d.drained {
			late = max(0, s.LastWork.Sub(d.since.Add(drainTime)))
		}
	}
	return over, late, nil
}

func (d *demo) print(r driver.Report, v OutcomeCheck, over int, late time.Duration) {
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
	fmt.Fprintf(w, "requests beyond an upstream's slots\t%d\n", over)
	fmt.Fprintf(w, "new work at the drained upstream after 3 s\t%v\n", late)
	for _, reason := range r.Reasons {
		fmt.Fprintf(w, "not answered: %s\t%d\n", reason.Text, reason.Count)
	}
	_ = w.Flush()
	fmt.Fprintf(d.out, "demo requests=%d answered=%d refused=%d unknown=%d duplicated=%d mismatched=%d falsenotrun=%d p50=%s p99=%s\n",
		r.Requests, r.Answered, r.Refused, r.Unknown, v.Duplicated, r.Mismatched, v.FalseNotRun,
		micros(r.P50Micros), micros(r.P99Micros))
}

func micros(us int64) time.Duration {
	return time.Duration(us) * time.Microsecond
}
