package checker

import (
	"fmt"
	"strings"
)

type (
	sectionKey struct {
		section string
		key     string
	}

	// lineIndex maps keys to line numbers. A section's header has the empty key.
	lineIndex struct {
		lines map[sectionKey]int
	}
)

// indexLines records the line of each section header and key. It reports what the
// INI library accepts silently: a section or key that occurs twice, and a line that
// is neither a header, a key nor a comment.
func indexLines(file string, text []byte) (lineIndex, Problems) {
	index := lineIndex{lines: make(map[sectionKey]int)}
	var problems Problems
	section := ""
	for i, raw := range strings.Split(string(text), "\n") {
		line := strings.TrimSpace(raw)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		at := sectionKey{section: section}
		name, _, isKey := strings.Cut(line, "=")
		switch {
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			section = strings.TrimSpace(line[1 : len(line)-1])
			at.section = section
		case isKey:
			at.key = strings.TrimSpace(name)
		default:
			problems = append(problems, Problem{
				File: file, Line: i + 1, Section: section,
				Reason: fmt.Sprintf("%q is neither a section, a key nor a comment", line),
			})
			continue
		}
		if first, ok := index.lines[at]; ok {
			problems = append(problems, Problem{
				File: file, Line: i + 1, Section: at.section, Key: at.key,
				Reason: fmt.Sprintf("stands already at line %d", first),
			})
			continue
		}
		index.lines[at] = i + 1
	}
	return index, problems
}

func (l lineIndex) line(section, key string) int {
	return l.lines[sectionKey{section: section, key: key}]
}
