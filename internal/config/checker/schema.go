// Package checker checks INI text against a schema, a table of sections and keys. It
// reports all problems together, each with its file, line, section and key. The
// documentation of the keys is generated from the same schema, so that it always
// matches the code.
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
	"strconv"
	"strings"
	"time"
)

// The types of a key's value. Text is not empty and printable, Number is a whole number,
// Address has the form IP:PORT, Switch is yes or no, Choice is one of the key's Choices,
// Prefix has the form IP/BITS, and Ratio is a number from 0 to 1.
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

	// Key describes one key of a group. Min and Max bound numbers, in Unit, and
	// durations, in nanoseconds; if both are zero, there is no bound. A ratio is
	// always from 0 to 1.
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

	// Group describes the INI sections whose headers have the same first word, the
	// group's Kind. If Named is set, their headers have the form [kind name].
	Group struct {
		Kind     string
		Named    bool
		Required bool
		Keys     []Key
		Doc      string
	}

	// Schema describes the sections that one file may have.
	Schema struct {
		Groups []Group
	}

	// Problem is one fault of a file. Line is 0 if the fault has no line, as with a
	// missing section.
	Problem struct {
		File    string
		Line    int
		Section string
		Key     string
		Reason  string
	}

	// Problems are all faults that a check found, in the order of the file's lines.
	Problems []Problem
)

// String returns the name of the kind as the documentation has it.
func (k Kind) String() string {
	return [...]string{"text", "number", "duration", "address", "switch", "choice", "prefix", "ratio"}[k]
}

// Error returns the problem's place and reason on one line.
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

// Error returns the problems, each on a line of its own.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// AsError returns ps as an error, or nil if it is empty.
func (ps Problems) AsError() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Nearest returns the value of a key that is allowed and nearest to a number or duration that is
// out of range. It returns any other value as it is.
func (s Schema) Nearest(kind, key, text string) string {
	g, _ := s.group(kind)
	k, ok := g.key(key)
	if !ok || k.Min == 0 && k.Max == 0 {
		return text
	}
	switch k.Kind {
	case Number:
		n, err := strconv.ParseInt(text, 10, 64)
		if near := min(max(n, k.Min), k.Max); err == nil && near != n {
			return strconv.FormatInt(near, 10)
		}
	case Duration:
		d, err := time.ParseDuration(text)
		if near := min(max(d, time.Duration(k.Min)), time.Duration(k.Max)); err == nil && near != d {
			return near.String()
		}
	}
	return text
}

func (s Schema) group(kind string) (Group, bool) {
	for _, g := range s.Groups {
		if g.Kind == kind {
			return g, true
		}
	}
	return Group{}, false
}

func (s Schema) allowedHeaders() string {
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

func (g Group) allowedKeys() string {
	names := make([]string, len(g.Keys))
	for i, k := range g.Keys {
		names[i] = k.Name
	}
	return strings.Join(names, ", ")
}
