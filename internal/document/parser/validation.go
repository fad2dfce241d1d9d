package parser

import (
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// validate checks what the schema can't check key by key: references to other entries,
// combinations of values, and the syntax of composite values.
func (d *Document) validate() checker.Problems {
	var problems checker.Problems
	owners := make(map[KeyHash]string)
	for _, e := range d.entries {
		if e.Kind == "account" {
			problems = append(problems, validateAccount(e, owners)...)
			continue
		}
		problems = append(problems, d.validateEntry(e)...)
	}
	return problems
}

func (d *Document) validateEntry(e checker.Entry) checker.Problems {
	switch e.Kind {
	case "class":
		return d.validateClass(e)
	case "route":
		return d.validateRoute(e)
	case "upstream":
		return append(d.requireService(e), d.requireZone(e, e.Text("zone"))...)
	case "block":
		return d.requireZone(e, e.Text("zone"))
	case "drain":
		return d.validateDrain(e)
	case "shift":
		return d.requireZone(e, e.Name)
	case "exception":
		return append(d.requireService(e), d.requireZone(e, e.Text("zone"))...)
	}
	return nil
}

func (d *Document) validateClass(e checker.Entry) checker.Problems {
	service, class, ok := strings.Cut(e.Name, "/")
	if !ok || class == "" {
		return checker.Problems{e.Problem("", "the header must read [class SERVICE/CLASS]")}
	}
	var problems checker.Problems
	if _, ok := d.Service(namer.Service(service)); !ok {
		problems = append(problems, e.Problem("", "service %q must stand before its classes", service))
	}
	method := e.Text("method")
	if e.Switch("once") && (method == "GET" || method == "HEAD") {
		problems = append(problems, e.Problem("method", "a once-only class can't use %s, which clients may repeat", method))
	}
	if path := e.Text("path"); !strings.HasPrefix(path, "/") {
		problems = append(problems, e.Problem("path", "%q must start with /", path))
	}
	return problems
}

func (d *Document) validateDrain(e checker.Entry) checker.Problems {
	target := e.Text("target")
	known := true
	switch TargetKind(e.Text("kind")) {
	case UpstreamTarget:
		known = d.hasUpstream(target)
	case ZoneTarget:
		_, known = d.Zone(namer.Zone(target))
	case RegionTarget:
		known = d.hasRegion(target)
	case VMTarget:
		// VMs join and leave without a change of the document, so any name is valid.
	}
	if known {
		return nil
	}
	return checker.Problems{e.Problem("target", "no %s %q in places", e.Text("kind"), target)}
}

func (d *Document) hasUpstream(name string) bool {
	for _, u := range d.Upstreams {
		if string(u.Name) == name {
			return true
		}
	}
	return false
}

func (d *Document) hasRegion(name string) bool {
	for _, z := range d.Zones {
		if string(z.Region) == name {
			return true
		}
	}
	return false
}

// requireService returns a problem if the document lacks the service that e refers to.
func (d *Document) requireService(e checker.Entry) checker.Problems {
	name := e.Text("service")
	if _, ok := d.Service(namer.Service(name)); ok {
		return nil
	}
	return checker.Problems{e.Problem("service", "no service %q in services", name)}
}

// requireZone returns a problem if the document lacks the named zone, which e refers to.
func (d *Document) requireZone(e checker.Entry, name string) checker.Problems {
	if _, ok := d.Zone(namer.Zone(name)); ok {
		return nil
	}
	key := "zone"
	if e.Kind == "shift" {
		key = ""
	}
	return checker.Problems{e.Problem(key, "no zone %q in places", name)}
}
