package checker

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// noChild keeps the INI library from treating a dot in a section's name as a
// parent whose keys are inherited.
const noChild = "\x00"

type (
	// Entry is one INI section whose keys have been checked. Its accessors
	// return the key's default when the text does not set it.
	Entry struct {
		Kind   string
		Name   string
		File   string
		Line   int
		group  Group
		values []value
	}

	// Setting is one key with its value in force.
	Setting struct {
		Key     string
		Value   string
		Default bool
	}

	value struct {
		key  string
		text string
		line int
	}
)

// Check parses text and checks it against s. Entries are returned for the
// sections that could be read even when there are problems, so that a caller
// can go on to report what else is wrong.
func Check(s Schema, file string, text []byte) ([]Entry, Problems) {
	places, problems := locate(file, text)
	parsed, err := ini.LoadSources(ini.LoadOptions{
		ChildSectionDelimiter:   noChild,
		IgnoreInlineComment:     true,
		KeyValueDelimiters:      "=",
		SkipUnrecognizableLines: true,
	}, text)
	if err != nil {
		return nil, append(problems, Problem{File: file, Reason: err.Error()})
	}
	var entries []Entry
	for _, sec := range parsed.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		entry, found := checkSection(s, file, sec, places)
		problems = append(problems, found...)
		if entry.Kind != "" {
			entries = append(entries, entry)
		}
	}
	problems = append(problems, missingGroups(s, file, entries)...)
	entries = append(entries, defaults(s, file, entries)...)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	return entries, problems
}

// Text returns the key's text.
func (e Entry) Text(key string) string {
	for _, v := range e.values {
		if v.key == key {
			return v.text
		}
	}
	k, _ := e.group.key(key)
	return k.Default
}

// Number returns the key's number in the key's unit.
func (e Entry) Number(key string) int64 {
	n, _ := strconv.ParseInt(e.Text(key), 10, 64)
	return n
}

// Ratio returns the key's ratio.
func (e Entry) Ratio(key string) float64 {
	f, _ := strconv.ParseFloat(e.Text(key), 64)
	return f
}

// Duration returns the key's duration.
func (e Entry) Duration(key string) time.Duration {
	d, _ := time.ParseDuration(e.Text(key))
	return d
}

// Switch reports whether the key is yes.
func (e Entry) Switch(key string) bool {
	return e.Text(key) == "yes"
}

// Prefix returns the key's address prefix.
func (e Entry) Prefix(key string) netip.Prefix {
	p, _ := netip.ParsePrefix(e.Text(key))
	return p
}

// Has reports whether the text sets the key.
func (e Entry) Has(key string) bool {
	return slices.ContainsFunc(e.values, func(v value) bool { return v.key == key })
}

// Problem returns a problem placed at one of the entry's keys, or at its
// header when the key is empty or unset.
func (e Entry) Problem(key, format string, args ...any) Problem {
	p := Problem{File: e.File, Line: e.Line, Section: e.Header(), Key: key}
	p.Reason = fmt.Sprintf(format, args...)
	for _, v := range e.values {
		if v.key == key {
			p.Line = v.line
		}
	}
	return p
}

// Header returns the section's name as written between the brackets.
func (e Entry) Header() string {
	if e.Name == "" {
		return e.Kind
	}
	return e.Kind + " " + e.Name
}

// Settings returns every key of the entry's group with its value in force, in
// the order of the schema.
func (e Entry) Settings() []Setting {
	settings := make([]Setting, 0, len(e.group.Keys))
	for _, k := range e.group.Keys {
		settings = append(settings, Setting{Key: k.Name, Value: e.Text(k.Name), Default: !e.Has(k.Name)})
	}
	return settings
}

func checkSection(s Schema, file string, sec *ini.Section, places places) (Entry, Problems) {
	kind, name, _ := strings.Cut(sec.Name(), " ")
	name = strings.TrimSpace(name)
	line := places.line(sec.Name(), "")
	at := Problem{File: file, Line: line, Section: sec.Name()}
	if sec.Name() == ini.DefaultSection {
		at.Section = ""
		at.Key = sec.Keys()[0].Name()
		at.Line = places.line("", at.Key)
		at.Reason = "a key stands before the first section"
		return Entry{}, Problems{at}
	}
	group, ok := s.group(kind)
	if !ok {
		at.Reason = "unknown section; allowed: " + s.kinds()
		return Entry{}, Problems{at}
	}
	if group.Named != (name != "") {
		at.Reason = "the header must read " + header(group)
		return Entry{}, Problems{at}
	}
	if !printable(name) {
		at.Reason = "the name has a character that can't be printed"
		return Entry{}, Problems{at}
	}
	entry := Entry{Kind: kind, Name: name, File: file, Line: line, group: group}
	var problems Problems
	for _, k := range sec.Keys() {
		v := value{key: k.Name(), text: k.Value(), line: places.line(sec.Name(), k.Name())}
		entry.values = append(entry.values, v)
		known, ok := group.key(v.key)
		if !ok {
			problems = append(problems, entry.Problem(v.key, "unknown key; allowed: %s", group.names()))
			continue
		}
		if reason := checkValue(known, v.text); reason != "" {
			problems = append(problems, entry.Problem(v.key, "%s", reason))
		}
	}
	for _, k := range group.Keys {
		if k.Required && !entry.Has(k.Name) {
			problems = append(problems, entry.Problem(k.Name, "missing key: %s", k.Doc))
		}
	}
	return entry, problems
}

func header(g Group) string {
	if g.Named {
		return "[" + g.Kind + " NAME]"
	}
	return "[" + g.Kind + "]"
}

func missingGroups(s Schema, file string, entries []Entry) Problems {
	var problems Problems
	for _, g := range s.Groups {
		has := slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == g.Kind })
		if g.Required && !has {
			problems = append(problems, Problem{File: file, Section: g.Kind, Reason: "missing section"})
		}
	}
	return problems
}

// defaults returns an entry for each group of one section that the text leaves
// out and may leave out, so that its keys have their defaults.
func defaults(s Schema, file string, entries []Entry) []Entry {
	var left []Entry
	for _, g := range s.Groups {
		has := slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == g.Kind })
		if !g.Named && !g.Required && !has {
			left = append(left, Entry{Kind: g.Kind, File: file, group: g})
		}
	}
	return left
}

// checkValue returns what is wrong with a value, or the empty text.
func checkValue(k Key, text string) string {
	switch k.Kind {
	case Number:
		return checkNumber(k, text)
	case Duration:
		return checkDuration(k, text)
	case Address:
		return checkAddress(text)
	case Switch:
		return checkChoice([]string{"yes", "no"}, text)
	case Choice:
		return checkChoice(k.Choices, text)
	case Prefix:
		return checkPrefix(text)
	case Ratio:
		return checkRatio(text)
	case Text:
		if text == "" {
			return "empty value"
		}
		if !printable(text) {
			return "the value has a character that can't be printed"
		}
	}
	return ""
}

// printable keeps names fit for logs, headers and JSON.
func printable(text string) bool {
	for _, r := range text {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

func checkNumber(k Key, text string) string {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fmt.Sprintf("%q is not a whole number", text)
	}
	if (k.Min != 0 || k.Max != 0) && (n < k.Min || n > k.Max) {
		return fmt.Sprintf("%d is out of range; allowed: %d to %d %s", n, k.Min, k.Max, k.Unit)
	}
	return ""
}

func checkDuration(k Key, text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf("%q is not a duration such as 250ms or 5s", text)
	}
	low, high := time.Duration(k.Min), time.Duration(k.Max)
	if (low != 0 || high != 0) && (d < low || d > high) {
		return fmt.Sprintf("%s is out of range; allowed: %s to %s", d, low, high)
	}
	return ""
}

func checkAddress(text string) string {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Sprintf("%q is not an address of the form IP:PORT", text)
	}
	return ""
}

func checkPrefix(text string) string {
	p, err := netip.ParsePrefix(text)
	if err != nil {
		return fmt.Sprintf("%q is not a prefix of the form IP/BITS", text)
	}
	if p != p.Masked() {
		return fmt.Sprintf("%s has bits beyond its length; write %s", p, p.Masked())
	}
	return ""
}

func checkRatio(text string) string {
	if f, err := strconv.ParseFloat(text, 64); err != nil || !(f >= 0 && f <= 1) {
		return fmt.Sprintf("%q is not a ratio from 0 to 1", text)
	}
	return ""
}

func checkChoice(choices []string, text string) string {
	if slices.Contains(choices, text) {
		return ""
	}
	return fmt.Sprintf("%q is not allowed; allowed: %s", text, strings.Join(choices, ", "))
}
