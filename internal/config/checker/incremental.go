package checker

import (
	"bytes"
	"slices"
	"strings"
)

type (
	// Checker checks the successive versions of a text, and parses only the sections that the
	// version before did not have. A text with problems is checked as a whole, so that the
	// problems and their lines are those of Check. A Checker must not be used concurrently.
	Checker struct {
		schema Schema
		known  map[string]Entry
	}

	// part is the text of a section, from its header to the next one, and its first line.
	part struct {
		text string
		line int
	}
)

// New returns a checker of texts with a schema.
func New(s Schema) *Checker {
	return &Checker{schema: s}
}

// Check is Check for the next version of the text.
func (c *Checker) Check(file string, text []byte) ([]Entry, Problems) {
	parts, ok := splitSections(text)
	if !ok {
		return Check(c.schema, file, text)
	}
	entries, ok := c.checkParts(file, parts)
	if !ok {
		return Check(c.schema, file, text)
	}
	c.known = make(map[string]Entry, len(parts))
	for i, p := range parts {
		c.known[p.text] = entries[i]
	}
	return complete(c.schema, file, entries, nil)
}

// checkParts returns the entry of each section, or false if any of them has a problem.
func (c *Checker) checkParts(file string, parts []part) ([]Entry, bool) {
	entries := make([]Entry, len(parts))
	var unknown strings.Builder
	var places []int
	for i, p := range parts {
		e, ok := c.known[p.text]
		if !ok || e.File != file {
			places = append(places, i)
			unknown.WriteString(p.text)
		}
		entries[i] = e
	}
	if len(places) > 0 {
		checked, problems := checkSections(c.schema, file, []byte(unknown.String()))
		if len(problems) > 0 || len(checked) != len(places) {
			return nil, false
		}
		for i, place := range places {
			if !checked[i].located() {
				return nil, false
			}
			entries[place] = checked[i]
		}
	}
	headers := make(map[string]bool, len(entries))
	for i := range entries {
		entries[i].Line = parts[i].line
		headers[entries[i].Header()] = true
	}
	return entries, len(headers) == len(entries)
}

// located reports whether the lines of the header and of all keys are known.
func (e Entry) located() bool {
	return e.Line > 0 && !slices.ContainsFunc(e.values, func(v value) bool { return v.line <= 0 })
}

// splitSections splits a text before each section header. It reports false if the text begins
// with something else than a header, or if a value may go on beyond its line.
func splitSections(text []byte) ([]part, bool) {
	if bytes.ContainsAny(text, "\\`\r") || bytes.Contains(text, []byte(`"""`)) || !bytes.HasPrefix(text, []byte("[")) {
		return nil, false
	}
	var parts []part
	rest, line := string(text), 1
	for rest != "" {
		end := len(rest)
		if at := strings.Index(rest, "\n["); at >= 0 {
			end = at + 1
		}
		parts = append(parts, part{text: rest[:end], line: line})
		line += strings.Count(rest[:end], "\n")
		rest = rest[end:]
	}
	return parts, true
}
