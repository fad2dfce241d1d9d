// Package executor runs the operators' commands. It prints tables or JSON, and maps a
// command's error to an exit code.
//
// # Usage
//
//	e := executor.New(requester.New(address, token), os.Stdout, false)
//	err := e.Apply(ctx, parser.Drains, "drains.ini", editID)
//	os.Exit(executor.ExitCode(err))
package executor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/diff"

	"github.com/waxwingloom/waxwingloom/internal/ctl/requester"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/operator"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// Exit codes of the commands.
const (
	ExitOK             = 0
	ExitRefused        = 1
	ExitFindings       = 1
	ExitUnusable       = 2
	ExitUsage          = 2
	ExitOutcomeUnknown = 3
)

// generationPrefix precedes the generation in the first line of a section's file: the
// generation at which get printed the section. The line is not part of the section.
const generationPrefix = "# waxwing generation "

// Errors of commands that have exit codes of their own.
var (
	ErrUsage          = errors.New("wrong usage")
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrFindings is returned by a check that found something, ErrUnusable by one of a
	// document that would be refused.
	ErrFindings = errors.New("findings")
	ErrUnusable = errors.New("unusable")
)

type (
	// Daemon is the part of a daemon's API that the commands use.
	Daemon interface {
		Section(ctx context.Context, s parser.Section) (operator.SectionResponse, error)
		Apply(ctx context.Context, s parser.Section, text []byte, base namer.Generation, id string) (operator.EditResponse, error)
		Settle(ctx context.Context, id string) (operator.EditResponse, error)
		Show(ctx context.Context) ([]operator.ShowRow, error)
		Status(ctx context.Context) ([]operator.StatusRow, error)
		History(ctx context.Context) ([]keeper.Edit, error)
		Explain(ctx context.Context, caller string, s namer.Service) (operator.ExplainResponse, error)
	}

	// Executor runs commands against one daemon.
	Executor struct {
		daemon Daemon
		out    io.Writer
		json   bool
	}
)

// New returns an executor that calls the given daemon and prints to out, as JSON if
// asJSON is set.
func New(d Daemon, out io.Writer, asJSON bool) *Executor {
	return &Executor{daemon: d, out: out, json: asJSON}
}

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrUnusable):
		return ExitUnusable
	case errors.Is(err, ErrFindings):
		return ExitFindings
	case errors.Is(err, ErrOutcomeUnknown), errors.Is(err, requester.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	}
	return ExitRefused
}

// Get prints a section of the current document. Its first line has the generation that a
// later edit of the printed text is based on.
func (e *Executor) Get(ctx context.Context, s parser.Section) error {
	a, err := e.daemon.Section(ctx, s)
	if err != nil {
		return err
	}
	if e.json {
		return e.printJSON(a)
	}
	_, err = fmt.Fprintf(e.out, "%s%d\n%s", generationPrefix, a.Generation, a.Text)
	return errors.Wrap(err, "printing")
}

// Apply sends the contents of a file as an edit. It never changes the file, so that an
// operator keeps the text when another edit is accepted first.
func (e *Executor) Apply(ctx context.Context, s parser.Section, file, id string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "reading the edit"), ErrUsage)
	}
	current, err := e.daemon.Section(ctx, s)
	if err != nil && !isNotReady(err) {
		return err
	}
	text, base, err := cutGeneration(raw, current.Generation)
	if err != nil {
		return err
	}
	if id == "" {
		id = newEditID()
	}
	a, err := e.daemon.Apply(ctx, s, text, base, id)
	if errors.Is(err, requester.ErrOutcomeUnknown) {
		return errors.Wrapf(err, "edit %s; find out with: waxwingctl settle %s", id, id)
	}
	if err != nil {
		return err
	}
	return e.report(ctx, s, file, text, a)
}

// Settle finds out whether an edit was accepted.
func (e *Executor) Settle(ctx context.Context, id string) error {
	a, err := e.daemon.Settle(ctx, id)
	if err != nil {
		return err
	}
	return e.report(ctx, "", "", nil, a)
}

// Show prints every key of the current document. With why it adds the generation, author
// and time of each.
func (e *Executor) Show(ctx context.Context, why bool) error {
	rows, err := e.daemon.Show(ctx)
	if err != nil {
		return err
	}
	if e.json {
		return e.printJSON(rows)
	}
	t := e.newTable()
	if why {
		fmt.Fprintln(t, "SECTION\tENTRY\tKEY\tVALUE\tGENERATION\tAUTHOR\tTIME")
	} else {
		fmt.Fprintln(t, "SECTION\tENTRY\tKEY\tVALUE")
	}
	for _, r := range rows {
		value := r.Value
		if r.Default {
			value += " (default)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s", r.Section, r.Entry, r.Key, value)
		if why {
			fmt.Fprintf(t, "\t%d\t%s\t%s", r.Generation, r.Author, r.Time.Format(time.RFC3339))
		}
		fmt.Fprintln(t)
	}
	return errors.Wrap(t.Flush(), "printing")
}

// Status prints every entry VM that the daemon knows of.
func (e *Executor) Status(ctx context.Context) error {
	rows, err := e.daemon.Status(ctx)
	if err != nil {
		return err
	}
	if e.json {
		return e.printJSON(rows)
	}
	t := e.newTable()
	fmt.Fprintln(t, "VM\tZONE\tSTATE\tGENERATION\tHEARD\tSINCE")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1fs ago\t%s\n", r.VM, r.Zone, r.State, r.Generation, r.Age, r.Since.Format(time.RFC3339))
	}
	return errors.Wrap(t.Flush(), "printing")
}

// History prints the latest accepted edits.
func (e *Executor) History(ctx context.Context) error {
	edits, err := e.daemon.History(ctx)
	if err != nil {
		return err
	}
	if e.json {
		return e.printJSON(edits)
	}
	t := e.newTable()
	fmt.Fprintln(t, "GENERATION\tSECTION\tAUTHOR\tTIME\tEDIT")
	for _, ed := range edits {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", ed.Generation, ed.Section, ed.Author, ed.Time.Format(time.RFC3339), ed.ID)
	}
	return errors.Wrap(t.Flush(), "printing")
}

// Explain prints the result of a caller's lookup, which is a zone and its entry VMs, with
// the same reason as in the decision log.
func (e *Executor) Explain(ctx context.Context, caller string, s namer.Service) error {
	a, err := e.daemon.Explain(ctx, caller, s)
	if err != nil {
		return err
	}
	if e.json {
		return e.printJSON(a)
	}
	t := e.newTable()
	fmt.Fprintln(t, "SERVICE\tCALLER\tHOME\tZONE\tREASON\tENTRIES\tGENERATION")
	names := make([]string, len(a.Entries))
	for i, vm := range a.Entries {
		names[i] = string(vm)
	}
	fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n",
		a.Service, a.Caller, a.Home, a.Zone, a.Reason, strings.Join(names, ","), a.Generation)
	return errors.Wrap(t.Flush(), "printing")
}

// report prints the verdict on an edit, and returns an error unless the edit was accepted.
func (e *Executor) report(ctx context.Context, s parser.Section, file string, text []byte, a operator.EditResponse) error {
	if e.json {
		if err := e.printJSON(a); err != nil {
			return err
		}
	}
	switch a.Verdict {
	case "accepted":
		if !e.json {
			fmt.Fprintf(e.out, "accepted as generation %d, edit %s\n", a.Generation, a.Edit)
		}
		return nil
	case "conflict":
		e.printConflict(ctx, s, file, text)
		return errors.Newf("refused: generation %d by %s came first; %s is unchanged", a.Generation, a.Author, file)
	case "invalid":
		return errors.Newf("refused: the document would not be valid:\n%s", strings.Join(a.Problems, "\n"))
	case "unknown":
		return errors.Wrapf(ErrOutcomeUnknown, "edit %s (%s); find out with: waxwingctl settle %s", a.Edit, a.Reason, a.Edit)
	}
	return errors.Newf("refused: %s", a.Reason)
}

func (e *Executor) printConflict(ctx context.Context, s parser.Section, file string, text []byte) {
	current, err := e.daemon.Section(ctx, s)
	if err != nil || e.json {
		return
	}
	_, _ = e.out.Write(diff.Diff("in force", []byte(current.Text), file, text))
}

func (e *Executor) printJSON(v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "printing")
}

func (e *Executor) newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
}

// cutGeneration splits a section's file into its text and the base generation of its first
// line. A file without that line is only allowed while the section is empty.
func cutGeneration(raw []byte, current namer.Generation) ([]byte, namer.Generation, error) {
	rest, ok := strings.CutPrefix(string(raw), generationPrefix)
	if !ok {
		if current != 0 {
			return nil, 0, errors.Wrapf(ErrUsage,
				"the file does not say which generation it was read at; begin it with %q as get does", generationPrefix+current.Text())
		}
		return raw, 0, nil
	}
	line, text, _ := strings.Cut(rest, "\n")
	base, err := strconv.ParseUint(strings.TrimSpace(line), 10, 64)
	if err != nil {
		return nil, 0, errors.Wrapf(ErrUsage, "line 1: %q is no generation", line)
	}
	return []byte(text), namer.Generation(base), nil
}

func isNotReady(err error) bool {
	var refused *requester.RefusedError
	return errors.As(err, &refused) && refused.Code == "not-ready"
}

func newEditID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
