// Package inspector looks for what is valid in a steering document and most likely not meant, and
// for what a change of the document will move or refuse. It takes parsed documents, and knows no
// files, daemons or formats of output.
//
// It handles configurations that are wrong in a way that shows only under load, or only to some
// callers, so that an operator learns of it before they do. It never names a key or its digest.
//
// # Usage
//
//	findings := inspector.Inspect(doc)
//	comparison := inspector.Compare(inForce, doc)
package inspector

import (
	"fmt"
	"slices"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The rules that a finding may break.
const (
	RouteNeverMatches   Rule = "route-never-matches"
	AccountWithoutKeys  Rule = "account-without-keys"
	HomesExclude        Rule = "homes-exclude"
	UnknownRegion       Rule = "unknown-region"
	TimeoutUnderTarget  Rule = "timeout-under-target"
	RateUnderBurst      Rule = "rate-under-burst"
	AttemptsOverRoom    Rule = "attempts-over-upstreams"
	AttemptsWithoutRoom Rule = "attempts-without-retries"
	ServiceUnused       Rule = "service-unused"
	WeightZero          Rule = "weight-zero"
	NoUpstreams         Rule = "no-upstreams"
)

// maxNamed bounds the names that one finding lists.
const maxNamed = 4

type (
	// Rule identifies what a finding is about.
	Rule string

	// Finding is something valid that is most likely not meant, with its place. Line is 0 if
	// the place has none.
	Finding struct {
		Rule    Rule   `json:"rule"`
		File    string `json:"file"`
		Line    int    `json:"line,omitempty"`
		Section string `json:"section"`
		Key     string `json:"key,omitempty"`
		Reason  string `json:"reason"`
	}

	// inspection collects the findings of one document.
	inspection struct {
		doc      *parser.Document
		entries  map[string]checker.Entry
		findings []Finding
	}
)

// Inspect returns the findings of a document, in the order of its sections and their lines. What
// concerns upstreams and regions is looked for only where the document lists any.
func Inspect(d *parser.Document) []Finding {
	i := &inspection{doc: d, entries: make(map[string]checker.Entry)}
	for _, e := range d.Entries() {
		i.entries[e.Header()] = e
	}
	i.inspectServices()
	i.inspectRoutes()
	i.inspectAccounts()
	slices.SortStableFunc(i.findings, func(a, b Finding) int {
		if a.File != b.File {
			return 0
		}
		return a.Line - b.Line
	})
	return i.findings
}

// add adds a finding at a key of a section.
func (i *inspection) add(rule Rule, header, key, format string, args ...any) {
	p := i.entries[header].Problem(key, format, args...)
	i.findings = append(i.findings, Finding{Rule: rule, File: p.File, Line: p.Line, Section: p.Section, Key: p.Key, Reason: p.Reason})
}

func (i *inspection) inspectServices() {
	used := make(map[namer.Service]bool)
	for _, r := range i.doc.Routes {
		for _, s := range r.Services {
			used[s.Service] = true
		}
	}
	for _, s := range i.doc.Services {
		header := "service " + string(s.Name)
		switch {
		case !used[s.Name] && len(s.Classes) == 0:
			i.add(ServiceUnused, header, "", "no route goes to the service, and it has no class")
		case len(i.doc.Upstreams) > 0 && i.upstreams(s.Name, nil) == 0:
			i.add(NoUpstreams, header, "", "the document lists upstreams, but none of this service")
		}
	}
}

// upstreams returns the number of listed upstreams of a service in regions, or in all of them.
func (i *inspection) upstreams(service namer.Service, regions []namer.Region) int {
	n := 0
	for _, u := range i.doc.Upstreams {
		zone, _ := i.doc.Zone(u.Zone)
		if u.Service == service && (len(regions) == 0 || slices.Contains(regions, zone.Region)) {
			n++
		}
	}
	return n
}

func (i *inspection) inspectRoutes() {
	type place struct{ host, prefix string }
	last := make(map[place]namer.Route)
	for _, r := range i.doc.Routes {
		last[place{r.Host, r.Prefix}] = r.Name
	}
	for _, r := range i.doc.Routes {
		header := "route " + string(r.Name)
		if winner := last[place{r.Host, r.Prefix}]; winner != r.Name {
			i.add(RouteNeverMatches, header, "path", "route %q has the same host and path, and takes its requests", winner)
		}
		if strings.ContainsAny(r.Host, "/ \t") || strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]") {
			i.add(RouteNeverMatches, header, "host", "%q is no host name; requests are matched without a port", r.Host)
		}
		if r.Timeout < r.LatencyTarget {
			i.add(TimeoutUnderTarget, header, "timeout", "%s is under the target of %s", r.Timeout, r.LatencyTarget)
		}
		i.inspectRegions(header, r.PermittedRegions)
		i.inspectSplit(header, r)
	}
}

// inspectSplit looks at the services that a route goes to.
func (i *inspection) inspectSplit(header string, r parser.Route) {
	room, unretried := 0, ""
	for _, part := range r.Services {
		if part.Weight == 0 {
			i.add(WeightZero, header, "split", "service %q has weight 0 and gets no requests", part.Service)
			continue
		}
		n := i.upstreams(part.Service, r.PermittedRegions)
		room = max(room, n)
		if n == 0 && i.upstreams(part.Service, nil) > 0 {
			i.add(NoUpstreams, header, "regions", "service %q has no upstream in the regions that may serve the route", part.Service)
		}
		if s, ok := i.doc.Service(part.Service); ok && s.RetryPercent == 0 {
			unretried = string(s.Name)
		}
	}
	if len(i.doc.Upstreams) > 0 && room > 0 && r.AttemptLimit > room {
		i.add(AttemptsOverRoom, header, "attempts", "%d, but at most %s to send to", r.AttemptLimit, upstreamsText(room))
	}
	if r.AttemptLimit > 1 && unretried != "" {
		i.add(AttemptsWithoutRoom, header, "attempts", "%d, but retry is 0 for service %q", r.AttemptLimit, unretried)
	}
}

func upstreamsText(n int) string {
	if n == 1 {
		return "1 upstream is there"
	}
	return fmt.Sprintf("%d upstreams are there", n)
}

// inspectRegions looks for regions in which the document has no zone.
func (i *inspection) inspectRegions(header string, regions []namer.Region) {
	if len(i.doc.Zones) == 0 {
		return
	}
	for _, region := range regions {
		if !slices.ContainsFunc(i.doc.Zones, func(z parser.Zone) bool { return z.Region == region }) {
			i.add(UnknownRegion, header, "regions", "no zone is in region %q", region)
		}
	}
}

func (i *inspection) inspectAccounts() {
	for _, a := range i.doc.Accounts {
		header := "account " + string(a.Name)
		if len(a.Keys) == 0 {
			i.add(AccountWithoutKeys, header, "keys", "the account has no key, so no request can be its own")
		}
		switch {
		case a.Burst > 0 && a.Rate == 0:
			i.add(RateUnderBurst, header, "burst", "%d, but without a rate there is no limit", a.Burst)
		case a.Burst > a.Rate:
			i.add(RateUnderBurst, header, "rate", "%d a second, but %d may come at once", a.Rate, a.Burst)
		}
		i.inspectRegions(header, a.PermittedRegions)
		i.inspectHomes(header, a)
	}
}

// inspectHomes looks for routes on which an account can't be served anywhere.
func (i *inspection) inspectHomes(header string, a parser.Account) {
	if len(a.PermittedRegions) == 0 {
		return
	}
	var excluded []string
	for _, r := range i.doc.Routes {
		if !r.Public && len(r.PermittedRegions) > 0 && !slices.ContainsFunc(a.PermittedRegions, r.AllowsRegion) {
			excluded = append(excluded, string(r.Name))
		}
	}
	if len(excluded) > 0 {
		i.add(HomesExclude, header, "regions", "no region may serve both the account and %s", nameSome("route", excluded))
	}
}

// nameSome returns the number of things with the names of the first of them.
func nameSome(noun string, names []string) string {
	if len(names) == 1 {
		return noun + " " + names[0]
	}
	listed := strings.Join(names[:min(len(names), maxNamed)], ", ")
	if len(names) > maxNamed {
		listed += ", ..."
	}
	return fmt.Sprintf("%d %ss: %s", len(names), noun, listed)
}
