// Package parser parses and validates the steering document. The document has five
// sections, each an INI file with its own owner. They are validated together, so that
// sections which are valid alone but contradict each other are rejected, with the line
// that must be corrected.
//
// # Usage
//
//	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: text}})
//	var problems checker.Problems
//	if errors.As(err, &problems) {
//		// Each problem names its file, line, section and key.
//	}
package parser

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// Source is the text of one section.
	Source struct {
		Section Section
		Text    []byte
	}

	// Sources is the text of the document. A section that is not in it is empty.
	Sources []Source

	// Parser parses the successive versions of a document, and of each only what the version
	// before did not have. It must not be used concurrently.
	Parser struct {
		checkers map[Section]*checker.Checker
	}
)

// Text returns the text of a section.
func (s Sources) Text(section Section) []byte {
	for _, src := range s {
		if src.Section == section {
			return src.Text
		}
	}
	return nil
}

// With returns a copy of s in which the text of one section is replaced.
func (s Sources) With(section Section, text []byte) Sources {
	out := Sources{{Section: section, Text: text}}
	for _, src := range s {
		if src.Section != section {
			out = append(out, src)
		}
	}
	return out
}

// New returns a parser that has not parsed any version yet.
func New() *Parser {
	p := &Parser{checkers: make(map[Section]*checker.Checker)}
	for _, section := range Sections() {
		p.checkers[section] = checker.New(SchemaOf(section))
	}
	return p
}

// ParseWritten is Parse for sections that operators write. It also reports each section that is
// over MaxSectionBytes.
func ParseWritten(sources Sources) (*Document, error) {
	var problems checker.Problems
	for _, src := range sources {
		if len(src.Text) > MaxSectionBytes {
			problems = append(problems, checker.Problem{
				File:   fileOf(src.Section),
				Reason: fmt.Sprintf("%d bytes; allowed: at most %d bytes a section", len(src.Text), MaxSectionBytes),
			})
		}
	}
	d, err := Parse(sources)
	var found checker.Problems
	errors.As(err, &found)
	if problems = append(problems, found...); len(problems) > 0 {
		return nil, problems
	}
	return d, nil
}

// fileOf returns the name of a section's file, as problems state it.
func fileOf(s Section) string {
	return string(s) + ".ini"
}

// Parse parses and validates the whole document, of any size. The error is of type
// checker.Problems and lists every problem found.
func Parse(sources Sources) (*Document, error) {
	return New().Parse(sources)
}

// Parse is Parse for the next version of a document.
func (p *Parser) Parse(sources Sources) (*Document, error) {
	d := &Document{}
	var problems checker.Problems
	for _, section := range Sections() {
		entries, found := p.checkers[section].Check(fileOf(section), sources.Text(section))
		problems = append(problems, found...)
		d.entries = append(d.entries, entries...)
	}
	for _, e := range d.entries {
		d.addEntry(e)
	}
	problems = append(problems, d.validate()...)
	hideKeys(problems)
	if err := problems.AsError(); err != nil {
		return nil, err
	}
	return d, nil
}

// Entries returns the checked INI sections of the document, so that a caller can list
// every key with its value.
func (d *Document) Entries() []checker.Entry {
	return d.entries
}

func (d *Document) addEntry(e checker.Entry) {
	switch e.Kind {
	case "service":
		d.Services = append(d.Services, newService(e))
	case "class":
		d.addClass(e)
	case "route":
		d.Routes = append(d.Routes, newRoute(e))
	case "account":
		d.Accounts = append(d.Accounts, newAccount(e))
	case "ingress":
		d.Ingress = newIngress(e)
	case "zone":
		d.Zones = append(d.Zones, Zone{
			Name:    namer.Zone(e.Name),
			Region:  namer.Region(e.Text("region")),
			VMCount: int(e.Number("vms")),
		})
	case "upstream":
		d.Upstreams = append(d.Upstreams, newUpstream(e))
	case "block":
		d.Blocks = append(d.Blocks, Block{Name: e.Name, Prefix: e.Prefix("net"), Zone: namer.Zone(e.Text("zone"))})
	case "drain":
		d.Drains = append(d.Drains, Drain{Name: e.Name, Kind: TargetKind(e.Text("kind")), Target: e.Text("target")})
	case "shift":
		d.ShiftCaps = append(d.ShiftCaps, ShiftCap{
			Zone:      namer.Zone(e.Name),
			MaxWeight: namer.Weight(e.Number("weight")),
			Window:    e.Duration("window"),
		})
	case "exception":
		d.Exceptions = append(d.Exceptions, Exception{
			Name:    e.Name,
			Prefix:  e.Prefix("net"),
			Service: namer.Service(e.Text("service")),
			Zone:    namer.Zone(e.Text("zone")),
		})
	}
}

func newService(e checker.Entry) Service {
	return Service{
		Name:               namer.Service(e.Name),
		TTL:                e.Duration("ttl"),
		WitnessInOtherZone: e.Text("witness") == "other",
		RefusalStatus:      int(e.Number("refusal")),
		MaxQueued:          int(e.Number("queue")),
		ReservePercent:     int(e.Number("reserve")),
		RetryPercent:       int(e.Number("retry")),
		MaxEjectedPercent:  int(e.Number("eject")),
		MaxConns:           int(e.Number("conns")),
		Warmup:             e.Duration("warmup"),
		MaxColdRate:        int(e.Number("coldrate")),
	}
}

func newUpstream(e checker.Entry) Upstream {
	return Upstream{
		Name:     namer.Upstream(e.Name),
		Service:  namer.Service(e.Text("service")),
		Zone:     namer.Zone(e.Text("zone")),
		Address:  e.Text("address"),
		Slots:    namer.Weight(e.Number("slots")),
		MaxConns: int(e.Number("conns")),
	}
}

// addClass adds a class to its service, which must precede the class in the text. For a
// class without a service, validateClass reports the problem.
func (d *Document) addClass(e checker.Entry) {
	service, class, _ := strings.Cut(e.Name, "/")
	for i := range d.Services {
		if d.Services[i].Name != namer.Service(service) {
			continue
		}
		d.Services[i].Classes = append(d.Services[i].Classes, Class{
			Name:     namer.Class(class),
			Method:   e.Text("method"),
			Prefix:   e.Text("path"),
			Weight:   namer.Weight(e.Number("weight")),
			Once:     e.Switch("once"),
			Deadline: e.Duration("deadline"),
		})
	}
}
