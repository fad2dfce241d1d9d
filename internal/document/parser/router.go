package parser

import (
	"strconv"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// maxPartWeight bounds the weight of one part of a split.
const maxPartWeight = 1 << 30

// Allows reports whether a region may serve the route.
func (r *Route) Allows(region namer.Region) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, allowed := range r.Regions {
		if allowed == region {
			return true
		}
	}
	return false
}

func newRoute(e checker.Entry) Route {
	r := Route{
		Name:     namer.Route(e.Name),
		Host:     strings.ToLower(e.Text("host")),
		Path:     e.Text("path"),
		Once:     e.Switch("once"),
		Timeout:  e.Duration("timeout"),
		Target:   e.Duration("target"),
		Attempts: int(e.Number("attempts")),
		Rank:     int(e.Number("rank")),
		Affinity: e.Switch("affinity"),
	}
	for _, region := range strings.Fields(e.Text("regions")) {
		r.Regions = append(r.Regions, namer.Region(region))
	}
	for _, field := range strings.Fields(e.Text("split")) {
		if part, ok := newPart(field); ok {
			r.Parts = append(r.Parts, part)
		}
	}
	return r
}

func newPart(field string) (Part, bool) {
	at := strings.LastIndexByte(field, ':')
	if at <= 0 {
		return Part{}, false
	}
	weight, err := strconv.Atoi(field[at+1:])
	if err != nil || weight < 0 || weight > maxPartWeight {
		return Part{}, false
	}
	return Part{Service: namer.Service(field[:at]), Weight: weight}, true
}

func newIngress(e checker.Entry) Ingress {
	return Ingress{
		HeadBytes: int(e.Number("head")),
		BodyBytes: e.Number("body"),
		ReadTime:  e.Duration("read"),
		IdleTime:  e.Duration("idle"),
	}
}

func (d *Document) relateRoute(e checker.Entry) checker.Problems {
	var problems checker.Problems
	path := e.Text("path")
	if !strings.HasPrefix(path, "/") || !strings.HasSuffix(path, "/") {
		problems = append(problems, e.Problem("path", "%q must begin and end with /", path))
	}
	total := 0
	for _, field := range strings.Fields(e.Text("split")) {
		part, ok := newPart(field)
		if !ok {
			problems = append(problems, e.Problem("split", "%q is not SERVICE:WEIGHT with a weight from 0 to %d", field, maxPartWeight))
			continue
		}
		total += part.Weight
		if _, known := d.Service(part.Service); !known {
			problems = append(problems, e.Problem("split", "no service %q in services", part.Service))
		}
	}
	if total == 0 {
		problems = append(problems, e.Problem("split", "the weights add up to 0"))
	}
	return problems
}
