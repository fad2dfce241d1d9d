package checker

import (
	"fmt"
	"strings"
)

type (
	place struct {
		section string
		key     string
	}

	// places finds lines by section and key; an empty key is the header.
	places struct {
		lines map[place]int
	}
)

// locate notes where each section and key stands. It reports what the INI
// library would take in silence: a section or key that stands twice, and a
// line that is none of header, key or comment.
func locate(file string, text []byte) (places, Problems) {
	p := places{lines: make(map[place]int)}
	var problems Problems
	section := ""
	for i, raw := range strings.Split(string(text), "\n") {
		line := strings.TrimSpace(raw)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		at := place{section: section}
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
		if first, ok := p.lines[at]; ok {
			problems = append(problems, Problem{
				File: file, Line: i + 1, Section: at.section, Key: at.key,
				Reason: fmt.Sprintf("stands already at line %d", first),
			})
			continue
		}
		p.lines[at] = i + 1
	}
	return p, problems
}

func (p places) line(section, key string) int {
	return p.lines[place{section: section, key: key}]
}
