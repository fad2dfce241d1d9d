// Package checker checks INI text against a table of keys and reports every
// problem at once, each with its file, line, section and key. The same table
// documents the keys, so the pages can't drift from the code.
//
// # Usage
//
//	entries, problems := checker.Check(schema, "services.ini", text)
//	if len(problems) > 0 {
//		return problems
//	}
//	for _, e := range entries {
//		deadline := e.Duration("deadline")
//	}
package checker

import (
	"fmt"
	"strings"
)

// The kinds of value that a key can have.
const (
	Text Kind = iota
	Number
	Duration
	Address
	Switch
	Choice
	Prefix
	Ratio
)

type (
	// Kind is the type of a key's value.
	Kind int

	// Key describes one key of a group. A ratio is from 0 to 1. Min and Max bound numbers in the
	// key's unit and durations in nanoseconds; both zero means unbounded.
	Key struct {
		Name     string
		Kind     Kind
		Required bool
		Default  string
		Min, Max int64
		Choices  []string
		Unit     string
		Doc      string
	}

	// Group describes the INI sections that share a first word. A named group
	// has headers of the form [kind name].
	Group struct {
		Kind     string
		Named    bool
		Required bool
		Keys     []Key
		Doc      string
	}

	// Schema describes one file.
	Schema struct {
		Groups []Group
	}

	// Problem is one thing wrong in a file. Line is 0 when the place has no
	// line, as with a missing section.
	Problem struct {
		File    string
		Line    int
		Section string
		Key     string
		Reason  string
	}

	// Problems is every problem of a check, in the order of the files' lines.
	Problems []Problem
)

// String names the kind as the pages do.
func (k Kind) String() string {
	return [...]string{"text", "number", "duration", "address", "switch", "choice", "prefix", "ratio"}[k]
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, ": [%s]", p.Section)
	}
	if p.Section == "" && p.Key != "" {
		b.WriteString(":")
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Reason)
	return b.String()
}

// Error returns one problem a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// AsError returns nil when there is no problem.
func (ps Problems) AsError() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (s Schema) group(kind string) (Group, bool) {
	for _, g := range s.Groups {
		if g.Kind == kind {
			return g, true
		}
	}
	return Group{}, false
}

func (s Schema) kinds() string {
	var names []string
	for _, g := range s.Groups {
		name := "[" + g.Kind + "]"
		if g.Named {
			name = "[" + g.Kind + " NAME]"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func (g Group) key(name string) (Key, bool) {
	for _, k := range g.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

func (g Group) names() string {
	names := make([]string, len(g.Keys))
	for i, k := range g.Keys {
		names[i] = k.Name
	}
	return strings.Join(names, ", ")
}
