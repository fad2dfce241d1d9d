package inspector

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The effects of a change on requests.
const (
	// Moves means that requests go to other services or regions.
	Moves EffectKind = "moves"
	// Refuses means that requests are refused, or given up earlier, that are served now.
	Refuses EffectKind = "refuses"
)

// keysKey is the key whose values are digests of keys, which are never shown.
const keysKey = "keys"

type (
	// EffectKind is what a change does to requests.
	EffectKind string

	// Effect is what a change does to requests, and to which.
	Effect struct {
		Kind EffectKind `json:"kind"`
		// Section is the header of the section that causes it, in the new document or, if it
		// was removed, in the one in force.
		Section string `json:"section"`
		Reason  string `json:"reason"`
	}

	// Difference is a key whose value differs. Before or After is empty if the document
	// lacks the section; Key is empty if one of the documents lacks it.
	Difference struct {
		Section string `json:"section"`
		Key     string `json:"key,omitempty"`
		Before  string `json:"before"`
		After   string `json:"after"`
	}

	// Comparison is what differs between the document in force and another one.
	Comparison struct {
		Differences []Difference `json:"differences"`
		Effects     []Effect     `json:"effects"`
	}

	comparer struct {
		before, after *parser.Document
		out           Comparison
	}

	// routePlace is what a route matches.
	routePlace struct{ host, prefix string }
)

// Compare returns what differs in a document from the one in force, and what that does to requests.
func Compare(inForce, d *parser.Document) Comparison {
	c := &comparer{before: inForce, after: d}
	c.compareEntries()
	c.compareRoutes()
	c.compareAccounts()
	c.compareIngress()
	return c.out
}

func (c *comparer) effect(kind EffectKind, section, format string, args ...any) {
	c.out.Effects = append(c.out.Effects, Effect{Kind: kind, Section: section, Reason: fmt.Sprintf(format, args...)})
}

// compareEntries compares all sections key by key.
func (c *comparer) compareEntries() {
	before := entriesOf(c.before)
	after := entriesOf(c.after)
	for _, e := range c.before.Entries() {
		if _, ok := after[e.Header()]; !ok {
			c.out.Differences = append(c.out.Differences, Difference{Section: e.Header(), Before: "present"})
		}
	}
	for _, e := range c.after.Entries() {
		old, ok := before[e.Header()]
		if !ok {
			c.out.Differences = append(c.out.Differences, Difference{Section: e.Header(), After: "present"})
			continue
		}
		for _, s := range e.Settings() {
			if was := old.Text(s.Key); was != s.Value {
				c.out.Differences = append(c.out.Differences, Difference{Section: e.Header(), Key: s.Key, Before: shown(s.Key, was), After: shown(s.Key, s.Value)})
			}
		}
	}
}

func entriesOf(d *parser.Document) map[string]checker.Entry {
	out := make(map[string]checker.Entry)
	for _, e := range d.Entries() {
		out[e.Header()] = e
	}
	return out
}

// shown returns a value as it may be shown: the number of keys in place of their digests.
func shown(key, value string) string {
	if key == keysKey {
		return fmt.Sprintf("%d keys", len(strings.Fields(value)))
	}
	return value
}

// routesOf returns the route that takes the requests of each host and path.
func routesOf(d *parser.Document) map[routePlace]parser.Route {
	out := make(map[routePlace]parser.Route)
	for _, r := range d.Routes {
		out[routePlace{r.Host, r.Prefix}] = r
	}
	return out
}

// covering returns the route that takes the requests of a place that has no route of its own.
func covering(routes map[routePlace]parser.Route, p routePlace) (parser.Route, bool) {
	for prefix := strings.TrimSuffix(p.prefix, "/"); prefix != ""; {
		prefix = prefix[:strings.LastIndexByte(prefix, '/')+1]
		if r, ok := routes[routePlace{p.host, prefix}]; ok {
			return r, true
		}
		prefix = strings.TrimSuffix(prefix, "/")
	}
	return parser.Route{}, false
}

func (c *comparer) compareRoutes() {
	before, after := routesOf(c.before), routesOf(c.after)
	for _, r := range c.before.Routes {
		p := routePlace{r.Host, r.Prefix}
		if before[p].Name != r.Name {
			continue
		}
		header := "route " + string(r.Name)
		if now, ok := after[p]; ok {
			c.compareRoute(r, now)
		} else if now, ok := covering(after, p); ok {
			c.effect(Moves, header, "%s%s goes to route %q", r.Host, r.Prefix, now.Name)
			c.compareRoute(r, now)
		} else {
			c.effect(Refuses, header, "%s%s has no route (404)", r.Host, r.Prefix)
		}
	}
	for _, r := range c.after.Routes {
		p := routePlace{r.Host, r.Prefix}
		if _, had := before[p]; had || after[p].Name != r.Name {
			continue
		}
		if old, ok := covering(before, p); ok {
			c.effect(Moves, "route "+string(r.Name), "%s%s went to route %q", r.Host, r.Prefix, old.Name)
			c.compareRoute(old, r)
		}
	}
}

// compareRoute compares the routes that take the same requests before and after the change.
func (c *comparer) compareRoute(before, after parser.Route) {
	header := "route " + string(after.Name)
	if was, is := splitText(before), splitText(after); was != is {
		c.effect(Moves, header, "%s%s goes to %s; in force: %s", after.Host, after.Prefix, is, was)
	}
	c.compareHomes(header, before.PermittedRegions, after.PermittedRegions)
	if after.Timeout < before.Timeout {
		c.effect(Refuses, header, "requests are given up after %s; in force: %s", after.Timeout, before.Timeout)
	}
	if before.Public && !after.Public && len(c.after.Accounts) > 0 && len(c.before.Accounts) > 0 {
		c.effect(Refuses, header, "requests without a key of an account are refused (401)")
	}
}

// compareHomes compares the regions that may serve a route or an account.
func (c *comparer) compareHomes(header string, before, after []namer.Region) {
	if len(after) == 0 {
		return
	}
	if len(before) == 0 {
		c.effect(Moves, header, "only %s may serve it; in force: all regions", joinRegions(after))
		return
	}
	var lost []namer.Region
	for _, region := range before {
		if !slices.Contains(after, region) {
			lost = append(lost, region)
		}
	}
	if len(lost) > 0 {
		c.effect(Moves, header, "%s may not serve it any more", joinRegions(lost))
	}
}

func (c *comparer) compareAccounts() {
	after := make(map[namer.Account]parser.Account)
	holders := make(map[parser.KeyHash]namer.Account)
	for _, a := range c.after.Accounts {
		after[a.Name] = a
		for _, key := range a.Keys {
			holders[key] = a.Name
		}
	}
	if len(c.before.Accounts) == 0 && len(c.after.Accounts) > 0 {
		c.effect(Refuses, "account "+string(c.after.Accounts[0].Name), "the first accounts: requests without a key are refused on routes that aren't public (401)")
	}
	if len(c.before.Accounts) > 0 && len(c.after.Accounts) == 0 {
		c.effect(Moves, "account "+string(c.before.Accounts[0].Name), "no account is left: all requests are served without a key")
		return
	}
	for _, a := range c.before.Accounts {
		header := "account " + string(a.Name)
		now, ok := after[a.Name]
		if !ok {
			c.effect(Refuses, header, "the account is removed")
		}
		c.compareKeys(header, a, holders)
		if !ok {
			continue
		}
		if now.Rate > 0 && (a.Rate == 0 || now.Rate < a.Rate) {
			c.effect(Refuses, header, "requests above %d a second (429); in force: %s", now.Rate, limitText(a.Rate))
		}
		if now.Rate > 0 && a.Rate > 0 && now.Burst < a.Burst {
			c.effect(Refuses, header, "requests above a burst of %d (429); in force: %d", now.Burst, a.Burst)
		}
		c.compareHomes(header, a.PermittedRegions, now.PermittedRegions)
	}
}

// compareKeys compares the keys of an account with the accounts that hold them after the change.
func (c *comparer) compareKeys(header string, a parser.Account, holders map[parser.KeyHash]namer.Account) {
	withdrawn, moved := 0, make(map[namer.Account]int)
	for _, key := range a.Keys {
		switch holder, ok := holders[key]; {
		case !ok:
			withdrawn++
		case holder != a.Name:
			moved[holder]++
		}
	}
	if withdrawn > 0 {
		c.effect(Refuses, header, "%d of %d keys are withdrawn (401)", withdrawn, len(a.Keys))
	}
	for _, holder := range slices.Sorted(maps.Keys(moved)) {
		c.effect(Moves, header, "%d of %d keys belong to account %q", moved[holder], len(a.Keys), holder)
	}
}

func (c *comparer) compareIngress() {
	before, after := c.before.Ingress, c.after.Ingress
	for _, limit := range []struct {
		what          string
		before, after int64
	}{
		{"request heads above %d bytes (431); in force: %d", int64(before.MaxHeadBytes), int64(after.MaxHeadBytes)},
		{"request bodies above %d bytes (413); in force: %d", before.MaxRequestBodyBytes, after.MaxRequestBodyBytes},
		{"requests that are not read within %d ms (408); in force: %d", before.ReadTimeout.Milliseconds(), after.ReadTimeout.Milliseconds()},
	} {
		if limit.after < limit.before {
			c.effect(Refuses, "ingress", limit.what, limit.after, limit.before)
		}
	}
	if after.CallerIdleTimeout < before.CallerIdleTimeout {
		c.effect(Refuses, "ingress", "connections are closed after %s without a request; in force: %s", round(after.CallerIdleTimeout), round(before.CallerIdleTimeout))
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// splitText returns the services of a route with their shares, those without one left out.
func splitText(r parser.Route) string {
	total := 0
	for _, part := range r.Services {
		total += part.Weight
	}
	var parts []string
	for _, part := range r.Services {
		if part.Weight > 0 {
			parts = append(parts, fmt.Sprintf("%s (%.3g%%)", part.Service, 100*float64(part.Weight)/float64(max(total, 1))))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " and ")
}

func joinRegions(regions []namer.Region) string {
	names := make([]string, len(regions))
	for i, region := range regions {
		names[i] = string(region)
	}
	return strings.Join(names, ", ")
}

func limitText(rate int) string {
	if rate == 0 {
		return "without a limit"
	}
	return fmt.Sprint(rate)
}
