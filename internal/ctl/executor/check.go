package executor

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/ctl/inspector"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
)

// AgainstDaemon stands for the document in force at the daemon, in place of a file.
const AgainstDaemon = "daemon"

// hidden stands for what may be a key or its digest.
const hidden = "(hidden)"

var (
	// hexRun matches digests of keys, and pieces of them.
	hexRun = regexp.MustCompile(`[0-9A-Fa-f]{24,}`)
	quoted = regexp.MustCompile(`"(\\.|[^"\\])*"`)
)

type (
	// Decoder reads a whole document in another form than INI sections.
	Decoder func(raw []byte) (parser.Sources, error)

	// CheckOptions are the options of a check. Section is the section that a file holds if
	// its name does not tell. Against is empty, a file, a folder, or AgainstDaemon. Decode is
	// nil for INI sections.
	CheckOptions struct {
		Section string
		Against string
		Decode  Decoder
	}

	// checkReport is the result of a check as JSON.
	checkReport struct {
		Errors     []checkError          `json:"errors"`
		Findings   []inspector.Finding   `json:"findings"`
		Comparison *inspector.Comparison `json:"comparison,omitempty"`
	}

	// checkError is why a document would be refused, and where.
	checkError struct {
		File    string `json:"file"`
		Line    int    `json:"line,omitempty"`
		Section string `json:"section,omitempty"`
		Key     string `json:"key,omitempty"`
		Reason  string `json:"reason"`
	}
)

// Check checks a document before it is sent: a section's file, or a folder of them. It asks the
// daemon only to compare the document with the one in force there; a file of one section is then
// checked together with the other sections in force. It returns ErrUnusable with
// every error, or ErrFindings if there is a finding or the change would move or refuse requests.
func (e *Executor) Check(ctx context.Context, path string, o CheckOptions) error {
	sources, err := readDocument(path, o)
	if err != nil {
		return err
	}
	var inForce parser.Sources
	if o.Against != "" {
		if inForce, err = e.readInForce(ctx, o); err != nil {
			return err
		}
		if isFile(path) && o.Decode == nil {
			// The file is an edit of one section.
			sources = inForce.With(sources[0].Section, sources[0].Text)
		}
	}
	parse := parser.ParseWritten
	if o.Decode != nil {
		parse = parser.Parse
	}
	doc, err := parse(sources)
	if err != nil {
		return e.reportUnusable(err, path, o)
	}
	report := checkReport{Errors: []checkError{}, Findings: []inspector.Finding{}}
	for _, f := range inspector.Inspect(doc) {
		if o.Decode != nil {
			f.File, f.Line = path, 0
		}
		report.Findings = append(report.Findings, f)
	}
	if o.Against != "" {
		before, err := parser.Parse(inForce)
		if err != nil {
			return errors.Wrapf(ErrUnusable, "the document in force can't be read: %s", errorsText(checkErrors(err, o.Against, o)))
		}
		comparison := inspector.Compare(before, doc)
		report.Comparison = &comparison
	}
	return e.reportCheck(report, doc)
}

// readDocument reads the sections of a document. A folder's section without a file counts as empty.
func readDocument(path string, o CheckOptions) (parser.Sources, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "reading the document"), ErrUsage)
	}
	if info.IsDir() {
		return readFolder(path, o)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "reading the document"), ErrUsage)
	}
	if o.Decode != nil {
		sources, err := o.Decode(raw)
		return sources, errors.Mark(errors.Wrap(err, path), ErrUnusable)
	}
	section := parser.Section(o.Section)
	if section == "" {
		section = parser.Section(strings.TrimSuffix(filepath.Base(path), ".ini"))
	}
	if !section.Valid() {
		return nil, errors.Wrapf(ErrUsage, "%s is not named for a section; say which by -section; allowed: %v", path, parser.Sections())
	}
	return parser.Sources{{Section: section, Text: raw}}, nil
}

func readFolder(folder string, o CheckOptions) (parser.Sources, error) {
	if o.Decode != nil {
		return nil, errors.Wrapf(ErrUsage, "%s is a folder; this form is one file", folder)
	}
	var sources parser.Sources
	for _, s := range parser.Sections() {
		text, err := os.ReadFile(filepath.Join(folder, string(s)+".ini"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "reading a section"), ErrUsage)
		}
		sources = append(sources, parser.Source{Section: s, Text: text})
	}
	if len(sources) == 0 {
		return nil, errors.Wrapf(ErrUsage, "no section file in %s; allowed: %v with .ini", folder, parser.Sections())
	}
	return sources, nil
}

// readInForce returns the sections of the document to compare with.
func (e *Executor) readInForce(ctx context.Context, o CheckOptions) (parser.Sources, error) {
	if o.Against != AgainstDaemon {
		return readDocument(o.Against, o)
	}
	var sources parser.Sources
	for _, s := range parser.Sections() {
		response, err := e.daemon.Section(ctx, s)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "reading the document in force"), ErrUsage)
		}
		if response.Section != s {
			return nil, errors.Wrap(ErrUsage, "the daemon follows routes of the platform and tells no sections; compare with a file")
		}
		sources = append(sources, parser.Source{Section: s, Text: []byte(response.Text)})
	}
	return sources, nil
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && !info.IsDir()
}

// reportUnusable prints why a document would be refused.
func (e *Executor) reportUnusable(err error, path string, o CheckOptions) error {
	found := checkErrors(err, path, o)
	if e.json {
		if err := e.printJSON(checkReport{Errors: found, Findings: []inspector.Finding{}}); err != nil {
			return err
		}
	}
	return errors.Mark(errors.New(errorsText(found)), ErrUnusable)
}

// checkErrors returns a parser's error with its places, without what may be a key.
func checkErrors(err error, path string, o CheckOptions) []checkError {
	var problems checker.Problems
	if !errors.As(err, &problems) {
		return []checkError{{File: path, Reason: hexRun.ReplaceAllString(err.Error(), hidden)}}
	}
	known := parser.SchemaOf(parser.Services)
	out := make([]checkError, len(problems))
	for i, p := range problems {
		out[i] = checkError{File: p.File, Line: p.Line, Section: p.Section, Key: p.Key, Reason: p.Reason}
		if strings.HasPrefix(p.Section, "account") && !isKeyOf(known, "account", p.Key) {
			// A line that has slipped out of a list of keys.
			out[i].Reason = quoted.ReplaceAllString(p.Reason, hidden)
			if p.Key != "" {
				out[i].Key = hidden
				out[i].Reason = strings.ReplaceAll(out[i].Reason, p.Key, hidden)
			}
		}
		out[i].Reason = hexRun.ReplaceAllString(out[i].Reason, hidden)
		if o.Decode != nil {
			out[i].File, out[i].Line = path, 0
		}
	}
	return out
}

func isKeyOf(s checker.Schema, kind, key string) bool {
	return slices.ContainsFunc(s.Groups, func(g checker.Group) bool {
		return g.Kind == kind && slices.ContainsFunc(g.Keys, func(k checker.Key) bool { return k.Name == key })
	})
}

func errorsText(found []checkError) string {
	lines := make([]string, len(found))
	for i, f := range found {
		lines[i] = checker.Problem(f).Error()
	}
	return strings.Join(lines, "\n")
}

// reportCheck prints the result of a check of a document that can be used.
func (e *Executor) reportCheck(r checkReport, doc *parser.Document) error {
	count := len(r.Findings)
	if r.Comparison != nil {
		count += len(r.Comparison.Effects)
	}
	if e.json {
		if err := e.printJSON(r); err != nil {
			return err
		}
	} else {
		e.printReport(r, doc, count)
	}
	switch count {
	case 0:
		return nil
	case 1:
		return errors.Mark(errors.New("1 finding"), ErrFindings)
	}
	return errors.Mark(errors.Newf("%d findings", count), ErrFindings)
}

func (e *Executor) printReport(r checkReport, doc *parser.Document, count int) {
	for _, f := range r.Findings {
		p := checker.Problem{File: f.File, Line: f.Line, Section: f.Section, Key: f.Key, Reason: f.Reason}
		fmt.Fprintf(e.out, "%s (%s)\n", p.Error(), f.Rule)
	}
	if r.Comparison != nil {
		for _, d := range r.Comparison.Differences {
			fmt.Fprintf(e.out, "differs: [%s]%s: %s -> %s\n", d.Section, prefixed(d.Key), orNone(d.Before), orNone(d.After))
		}
		for _, effect := range r.Comparison.Effects {
			fmt.Fprintf(e.out, "%s: [%s] %s\n", effect.Kind, effect.Section, effect.Reason)
		}
	}
	if count == 0 {
		fmt.Fprintf(e.out, "good: %d services, %d zones, %d upstreams, %d blocks, %d routes, %d accounts\n",
			len(doc.Services), len(doc.Zones), len(doc.Upstreams), len(doc.Blocks), len(doc.Routes), len(doc.Accounts))
	}
}

func prefixed(key string) string {
	if key == "" {
		return ""
	}
	return " " + key
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
