package parser

import (
	"strconv"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// maxServiceWeight is the largest weight of one service of a route.
const maxServiceWeight = 1 << 30

// AllowsRegion reports whether a region may serve the route.
func (r *Route) AllowsRegion(region namer.Region) bool {
	if len(r.PermittedRegions) == 0 {
		return true
	}
	for _, allowed := range r.PermittedRegions {
		if allowed == region {
			return true
		}
	}
	return false
}

func newRoute(e checker.Entry) Route {
	r := Route{
		Name:          namer.Route(e.Name),
		Host:          strings.ToLower(e.Text("host")),
		Prefix:        e.Text("path"),
		Once:          e.Switch("once"),
		Timeout:       e.Duration("timeout"),
		LatencyTarget: e.Duration("target"),
		AttemptLimit:  int(e.Number("attempts")),
		Priority:      int(e.Number("rank")),
		Affinity:      e.Switch("affinity"),
		Public:        e.Switch("public"),

		PermittedRegions: regionList(e),
	}
	for _, field := range strings.Fields(e.Text("split")) {
		if service, ok := parseWeightedService(field); ok {
			r.Services = append(r.Services, service)
		}
	}
	return r
}

// regionList returns the regions that an entry permits.
func regionList(e checker.Entry) []namer.Region {
	var regions []namer.Region
	for _, region := range strings.Fields(e.Text("regions")) {
		regions = append(regions, namer.Region(region))
	}
	return regions
}

// parseWeightedService parses a value of the form SERVICE:WEIGHT. The last colon
// separates them.
func parseWeightedService(field string) (WeightedService, bool) {
	at := strings.LastIndexByte(field, ':')
	if at <= 0 {
		return WeightedService{}, false
	}
	weight, err := strconv.Atoi(field[at+1:])
	if err != nil || weight < 0 || weight > maxServiceWeight {
		return WeightedService{}, false
	}
	return WeightedService{Service: namer.Service(field[:at]), Weight: weight}, true
}

func newIngress(e checker.Entry) Ingress {
	return Ingress{
		MaxHeadBytes:        int(e.Number("head")),
		MaxRequestBodyBytes: e.Number("body"),
		ReadTimeout:         e.Duration("read"),
		CallerIdleTimeout:   e.Duration("idle"),
	}
}

func (d *Document) validateRoute(e checker.Entry) checker.Problems {
	var problems checker.Problems
	path := e.Text("path")
	if !strings.HasPrefix(path, "/") || !strings.HasSuffix(path, "/") {
		problems = append(problems, e.Problem("path", "%q must begin and end with /", path))
	}
	total := 0
	for _, field := range strings.Fields(e.Text("split")) {
		service, ok := parseWeightedService(field)
		if !ok {
			problems = append(problems, e.Problem("split", "%q is not SERVICE:WEIGHT with a weight from 0 to %d", field, maxServiceWeight))
			continue
		}
		total += service.Weight
		if _, known := d.Service(service.Service); !known {
			problems = append(problems, e.Problem("split", "no service %q in services", service.Service))
		}
	}
	if total == 0 {
		problems = append(problems, e.Problem("split", "the weights add up to 0"))
	}
	return problems
}
