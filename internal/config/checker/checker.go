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

// noChildDelimiter is set as the INI library's delimiter of child sections, in place
// of the dot. Otherwise a section with a dot in its name would inherit the keys of the
// section that is named by the part before the dot.
const noChildDelimiter = "\x00"

type (
	// Entry is one INI section whose keys have been checked. Its accessors return the
	// default of a key that the text does not set.
	Entry struct {
		Kind   string
		Name   string
		File   string
		Line   int
		group  Group
		values []value
	}

	// Setting is a key with its effective value. Default is set if the text does not
	// set the key.
	Setting struct {
		Key     string
		Value   string
		Default bool
	}

	// value is the value of a key. The line counts from the section's header.
	value struct {
		key  string
		text string
		line int
	}
)

// Check parses text and checks it against s. It also returns the entries of all
// sections that could be read when there are problems, so that a caller can look for
// further problems in them.
func Check(s Schema, file string, text []byte) ([]Entry, Problems) {
	entries, problems := checkSections(s, file, text)
	return complete(s, file, entries, problems)
}

// checkSections parses and checks the sections of text by themselves.
func checkSections(s Schema, file string, text []byte) ([]Entry, Problems) {
	lines, problems := indexLines(file, text)
	parsed, err := ini.LoadSources(ini.LoadOptions{
		ChildSectionDelimiter:   noChildDelimiter,
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
		entry, found := checkSection(s, file, sec, lines)
		problems = append(problems, found...)
		if entry.Kind != "" {
			entries = append(entries, entry)
		}
	}
	return entries, problems
}

// complete adds the entries and problems of the sections that a text does not have.
func complete(s Schema, file string, entries []Entry, problems Problems) ([]Entry, Problems) {
	problems = append(problems, missingGroups(s, file, entries)...)
	entries = append(entries, defaultEntries(s, file, entries)...)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	return entries, problems
}

// Text returns the value of a key as text.
func (e Entry) Text(key string) string {
	for _, v := range e.values {
		if v.key == key {
			return v.text
		}
	}
	k, _ := e.group.key(key)
	return k.Default
}

// Number returns the value of a number key, in the key's unit.
func (e Entry) Number(key string) int64 {
	n, _ := strconv.ParseInt(e.Text(key), 10, 64)
	return n
}

// Ratio returns the value of a ratio key.
func (e Entry) Ratio(key string) float64 {
	f, _ := strconv.ParseFloat(e.Text(key), 64)
	return f
}

// Duration returns the value of a duration key.
func (e Entry) Duration(key string) time.Duration {
	d, _ := time.ParseDuration(e.Text(key))
	return d
}

// Switch reports whether the value of a switch key is yes.
func (e Entry) Switch(key string) bool {
	return e.Text(key) == "yes"
}

// Prefix returns the value of a prefix key.
func (e Entry) Prefix(key string) netip.Prefix {
	p, _ := netip.ParsePrefix(e.Text(key))
	return p
}

// Has reports whether the text sets the key.
func (e Entry) Has(key string) bool {
	return slices.ContainsFunc(e.values, func(v value) bool { return v.key == key })
}

// Problem returns a problem with the line of a key, or with the line of the
// section's header if key is empty or not set in the text.
func (e Entry) Problem(key, format string, args ...any) Problem {
	p := Problem{File: e.File, Line: e.Line, Section: e.Header(), Key: key}
	p.Reason = fmt.Sprintf(format, args...)
	for _, v := range e.values {
		if v.key == key {
			p.Line = e.Line + v.line
		}
	}
	return p
}

// Header returns the text between the brackets of the section's header.
func (e Entry) Header() string {
	if e.Name == "" {
		return e.Kind
	}
	return e.Kind + " " + e.Name
}

// Settings returns all keys of the entry's group with their effective values, in the
// order of the schema.
func (e Entry) Settings() []Setting {
	settings := make([]Setting, 0, len(e.group.Keys))
	for _, k := range e.group.Keys {
		settings = append(settings, Setting{Key: k.Name, Value: e.Text(k.Name), Default: !e.Has(k.Name)})
	}
	return settings
}

func checkSection(s Schema, file string, sec *ini.Section, lines lineIndex) (Entry, Problems) {
	kind, name, _ := strings.Cut(sec.Name(), " ")
	name = strings.TrimSpace(name)
	line := lines.line(sec.Name(), "")
	problem := Problem{File: file, Line: line, Section: sec.Name()}
	if sec.Name() == ini.DefaultSection {
		problem.Section = ""
		problem.Key = sec.Keys()[0].Name()
		problem.Line = lines.line("", problem.Key)
		problem.Reason = "a key stands before the first section"
		return Entry{}, Problems{problem}
	}
	group, ok := s.group(kind)
	if !ok {
		problem.Reason = "unknown section; allowed: " + s.allowedHeaders()
		return Entry{}, Problems{problem}
	}
	if group.Named != (name != "") {
		problem.Reason = "the header must read " + headerOf(group)
		return Entry{}, Problems{problem}
	}
	if !isPrintable(name) {
		problem.Reason = "the name has a character that can't be printed"
		return Entry{}, Problems{problem}
	}
	entry := Entry{Kind: kind, Name: name, File: file, Line: line, group: group}
	var problems Problems
	for _, k := range sec.Keys() {
		v := value{key: k.Name(), text: k.Value(), line: lines.line(sec.Name(), k.Name()) - line}
		entry.values = append(entry.values, v)
		definition, ok := group.key(v.key)
		if !ok {
			problems = append(problems, entry.Problem(v.key, "unknown key; allowed: %s", group.allowedKeys()))
			continue
		}
		if reason := checkValue(definition, v.text); reason != "" {
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

// headerOf returns the form that a group's headers must have.
func headerOf(g Group) string {
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

// defaultEntries returns an entry without values for each optional, unnamed group that
// has no section in the text, so that its keys get their defaults.
func defaultEntries(s Schema, file string, entries []Entry) []Entry {
	var omitted []Entry
	for _, g := range s.Groups {
		has := slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == g.Kind })
		if !g.Named && !g.Required && !has {
			omitted = append(omitted, Entry{Kind: g.Kind, File: file, group: g})
		}
	}
	return omitted
}

// checkValue returns what is wrong with a value, or "" if it is valid.
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
		if !isPrintable(text) {
			return "the value has a character that can't be printed"
		}
	}
	return ""
}

// isPrintable reports whether a text is valid UTF-8 of printable characters only.
// Others would not be safe in logs, headers and JSON.
func isPrintable(text string) bool {
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

// checkRatio tests that a value is within the range instead of outside it: NaN fails every
// comparison, so a test for values outside the range would accept it.
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
