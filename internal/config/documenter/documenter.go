// Package documenter generates the documentation page of all keys of the settings and
// of the steering document, from the schemas that they are checked against.
//
// # Usage
//
//	page := documenter.Page()
package documenter

import (
	"fmt"
	"strings"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

const intro = `# Keys

Generated from the tables that check the keys, by ` + "`make docs`" + `. A value that is
not allowed is refused with its file, line, section and key. Durations are
written with a unit, such as 250ms or 5s.

# Settings of a daemon
`

// Page returns the documentation page as Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString(intro)
	writeSchema(&b, loader.Schema())
	b.WriteString("\n# Steering document\n")
	for _, s := range parser.Sections() {
		fmt.Fprintf(&b, "\n## %s.ini\n", s)
		writeSchema(&b, parser.SchemaOf(s))
	}
	return b.String()
}

func writeSchema(b *strings.Builder, s checker.Schema) {
	for _, g := range s.Groups {
		header := g.Kind
		if g.Named {
			header += " NAME"
		}
		fmt.Fprintf(b, "\n### [%s]\n\n%s.\n\n", header, capitalize(g.Doc))
		b.WriteString("| key | type | range | default | meaning |\n| --- | --- | --- | --- | --- |\n")
		for _, k := range g.Keys {
			fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", k.Name, k.Kind, rangeOf(k), defaultOf(k), k.Doc)
		}
	}
}

func capitalize(text string) string {
	if text == "" {
		return ""
	}
	return strings.ToUpper(text[:1]) + text[1:]
}

func rangeOf(k checker.Key) string {
	switch k.Kind {
	case checker.Number:
		if k.Min == 0 && k.Max == 0 {
			return k.Unit
		}
		return fmt.Sprintf("%d to %d %s", k.Min, k.Max, k.Unit)
	case checker.Duration:
		return fmt.Sprintf("%s to %s", time.Duration(k.Min), time.Duration(k.Max))
	case checker.Choice:
		return strings.Join(k.Choices, ", ")
	case checker.Switch:
		return "yes, no"
	case checker.Address:
		return "IP:PORT"
	case checker.Prefix:
		return "IP/BITS"
	case checker.Ratio:
		return "0 to 1"
	case checker.Text:
	}
	return ""
}

func defaultOf(k checker.Key) string {
	if k.Required {
		return "required"
	}
	if k.Default == "" {
		return "none"
	}
	return k.Default
}
