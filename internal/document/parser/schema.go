package parser

import (
	"math"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
)

// The sections of the steering document.
const (
	Services   Section = "services"
	Places     Section = "places"
	Drains     Section = "drains"
	Limits     Section = "limits"
	Exceptions Section = "exceptions"
)

const (
	// MaxSectionBytes is the size limit of a section that an operator writes, since the platform
	// stores each section as one value and accepts no larger ones. A section that is translated
	// from another configuration may be larger.
	MaxSectionBytes = 1 << 20
	// maxRank is the largest rank of routes and accounts.
	maxRank = math.MaxInt32
	// maxRouteDuration is the largest duration of routes. Sums and small multiples of it are still
	// durations.
	maxRouteDuration = 10 * 365 * 24 * time.Hour
)

var schemas = map[Section]checker.Schema{
	Services:   {Groups: []checker.Group{serviceGroup(), classGroup(), routeGroup(), accountGroup(), ingressGroup()}},
	Places:     {Groups: []checker.Group{zoneGroup(), upstreamGroup(), blockGroup()}},
	Drains:     {Groups: []checker.Group{drainGroup()}},
	Limits:     {Groups: []checker.Group{shiftGroup()}},
	Exceptions: {Groups: []checker.Group{exceptionGroup()}},
}

// Section is the name of a section of the steering document: an INI file with its own
// owner.
type Section string

// Sections returns all sections in the order in which Parse reads them.
func Sections() []Section {
	return []Section{Services, Places, Drains, Limits, Exceptions}
}

// Valid reports whether s is the name of a section.
func (s Section) Valid() bool {
	_, ok := schemas[s]
	return ok
}

// Nearest returns the value of a key that is allowed and nearest to a number or duration that is
// out of range. It returns any other value as it is.
func Nearest(s Section, kind, key, value string) string {
	return schemas[s].Nearest(kind, key, value)
}

// SchemaOf returns the schema of a section: its groups of keys with their types, limits
// and defaults.
func SchemaOf(s Section) checker.Schema {
	return schemas[s]
}

func serviceGroup() checker.Group {
	return checker.Group{Kind: "service", Named: true, Doc: "a service that callers ask for", Keys: []checker.Key{
		{
			Name: "ttl", Kind: checker.Duration, Default: "5s", Min: int64(time.Second), Max: int64(time.Hour),
			Doc: "how long callers may cache a look-up answer",
		},
		{
			Name: "witness", Kind: checker.Choice, Default: "other", Choices: []string{"same", "other"},
			Doc: "whether a token's witness stands in the owner's zone or in another zone of its region",
		},
		{
			Name: "refusal", Kind: checker.Number, Default: "0", Min: 0, Max: 599, Unit: "HTTP status",
			Doc: "the status by which upstreams promise that they ran nothing; 0 means none does",
		},
		{
			Name: "queue", Kind: checker.Number, Default: "64", Min: 0, Max: 10000, Unit: "requests",
			Doc: "how many requests may wait for a slot on one entry VM",
		},
		{
			Name: "reserve", Kind: checker.Number, Default: "10", Min: 0, Max: 90, Unit: "percent",
			Doc: "the part of an entry VM's share that idempotent classes leave to once-only classes",
		},
		{
			Name: "retry", Kind: checker.Number, Default: "10", Min: 0, Max: 100, Unit: "percent",
			Doc: "retries of idempotent requests as a part of first tries",
		},
		{
			Name: "eject", Kind: checker.Number, Default: "50", Min: 0, Max: 90, Unit: "percent",
			Doc: "the largest part of a zone's upstreams that may be ejected for failing",
		},
		{
			Name: "conns", Kind: checker.Number, Default: "330", Min: 1, Max: 1000000, Unit: "connections",
			Doc: "how many connections a discovered upstream accepts from all entry VMs together",
		},
		{
			Name: "warmup", Kind: checker.Duration, Default: "3s", Min: 0, Max: int64(maxRouteDuration),
			Doc: "how long a discovered upstream stays cold after a start",
		},
		{
			Name: "coldrate", Kind: checker.Number, Default: "0", Min: 0, Max: 1000000, Unit: "requests/s",
			Doc: "what a cold upstream takes from all entry VMs together; 0 means no limit",
		},
	}}
}

func classGroup() checker.Group {
	return checker.Group{Kind: "class", Named: true, Doc: "a class of requests, named SERVICE/CLASS", Keys: []checker.Key{
		{Name: "method", Kind: checker.Choice, Default: "GET", Choices: []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}, Doc: "the request's method"},
		{Name: "path", Kind: checker.Text, Required: true, Doc: "the prefix of the request's path within the service"},
		{Name: "weight", Kind: checker.Number, Default: "1", Min: 1, Max: 1000, Unit: "slots", Doc: "how many slots one request counts for"},
		{Name: "once", Kind: checker.Switch, Default: "no", Doc: "whether the request may run at most once"},
		{
			Name: "deadline", Kind: checker.Duration, Default: "5s", Min: int64(10 * time.Millisecond), Max: int64(5 * time.Minute),
			Doc: "the time within which the whole answer is due",
		},
	}}
}

func routeGroup() checker.Group {
	return checker.Group{Kind: "route", Named: true, Doc: "requests of one host below one path, which go to a service or are split over several", Keys: []checker.Key{
		{Name: "host", Kind: checker.Text, Required: true, Doc: "the host that callers name"},
		{Name: "path", Kind: checker.Text, Required: true, Doc: "the prefix of the path, which begins and ends with /; the longest that fits wins"},
		{Name: "split", Kind: checker.Text, Required: true, Doc: "the services with their weights, as SERVICE:WEIGHT separated by spaces"},
		{Name: "once", Kind: checker.Switch, Default: "no", Doc: "whether a request may run at most once"},
		{
			Name: "timeout", Kind: checker.Duration, Default: "5s", Min: int64(time.Millisecond), Max: int64(maxRouteDuration),
			Doc: "the longest time that a caller is kept waiting",
		},
		{
			Name: "target", Kind: checker.Duration, Default: "500ms", Min: int64(time.Millisecond), Max: int64(maxRouteDuration),
			Doc: "the latency that answers should keep",
		},
		{Name: "attempts", Kind: checker.Number, Default: "1", Min: 1, Max: 100, Unit: "upstreams", Doc: "the most upstreams that one request may be sent to"},
		{Name: "rank", Kind: checker.Number, Default: "0", Min: 0, Max: maxRank, Unit: "", Doc: "the urgency; 0 is the most urgent"},
		{Name: "regions", Kind: checker.Text, Doc: "the regions that may serve the route, separated by spaces; none means all"},
		{Name: "affinity", Kind: checker.Switch, Default: "no", Doc: "whether requests for one object should keep to the same upstreams"},
		{Name: "public", Kind: checker.Switch, Default: "no", Doc: "whether requests need no key where the document has accounts"},
	}}
}

func accountGroup() checker.Group {
	return checker.Group{Kind: "account", Named: true, Doc: "a client account; where there is one, requests of routes that aren't public need a key", Keys: []checker.Key{
		{Name: "keys", Kind: checker.Text, Doc: "the SHA-256 digests of the account's keys in hexadecimal, separated by spaces"},
		{Name: "rank", Kind: checker.Number, Min: 0, Max: maxRank, Unit: "", Doc: "the urgency, in place of the route's; 0 is the most urgent"},
		{Name: "rate", Kind: checker.Number, Default: "0", Min: 0, Max: 1 << 30, Unit: "requests/s", Doc: "how many requests all entry VMs together take; above it 429; 0 means no limit"},
		{Name: "burst", Kind: checker.Number, Default: "0", Min: 0, Max: 1 << 30, Unit: "requests", Doc: "how many requests more may come at once"},
		{Name: "regions", Kind: checker.Text, Doc: "the regions that may serve the account, separated by spaces; none means all; the route's bind too"},
	}}
}

func ingressGroup() checker.Group {
	return checker.Group{Kind: "ingress", Doc: "what callers of routes may send, and how long they may take", Keys: []checker.Key{
		{Name: "head", Kind: checker.Number, Default: "16384", Min: 256, Max: 16 << 20, Unit: "bytes", Doc: "the largest request head; above it 431"},
		{Name: "body", Kind: checker.Number, Default: "1048576", Min: 0, Max: 1 << 40, Unit: "bytes", Doc: "the largest request body; above it 413"},
		{Name: "read", Kind: checker.Duration, Default: "5s", Min: int64(time.Millisecond), Max: int64(maxRouteDuration), Doc: "the time within which a request must have been read; above it 408"},
		{Name: "idle", Kind: checker.Duration, Default: "15s", Min: int64(time.Millisecond), Max: int64(maxRouteDuration), Doc: "how long a kept connection may stay idle"},
	}}
}

func zoneGroup() checker.Group {
	return checker.Group{Kind: "zone", Named: true, Doc: "an availability zone", Keys: []checker.Key{
		{Name: "region", Kind: checker.Text, Required: true, Doc: "the zone's region"},
		{Name: "vms", Kind: checker.Number, Required: true, Min: 1, Max: 1000, Unit: "VMs", Doc: "the number of entry VMs among which the zone's quantities are divided"},
	}}
}

func upstreamGroup() checker.Group {
	return checker.Group{Kind: "upstream", Named: true, Doc: "an upstream", Keys: []checker.Key{
		{Name: "service", Kind: checker.Text, Required: true, Doc: "the service that it serves"},
		{Name: "zone", Kind: checker.Text, Required: true, Doc: "its availability zone"},
		{Name: "address", Kind: checker.Address, Required: true, Doc: "where it accepts HTTP"},
		{Name: "slots", Kind: checker.Number, Required: true, Min: 1, Max: 100000, Unit: "slots", Doc: "how much weight it runs at once"},
		{Name: "conns", Kind: checker.Number, Required: true, Min: 1, Max: 100000, Unit: "connections", Doc: "how many connections it accepts from all entry VMs together"},
	}}
}

func blockGroup() checker.Group {
	return checker.Group{Kind: "block", Named: true, Doc: "a block of caller addresses", Keys: []checker.Key{
		{Name: "net", Kind: checker.Prefix, Required: true, Doc: "the addresses"},
		{Name: "zone", Kind: checker.Text, Required: true, Doc: "the zone nearest to them"},
	}}
}

func drainGroup() checker.Group {
	return checker.Group{Kind: "drain", Named: true, Doc: "planned work: the target gets no new work", Keys: []checker.Key{
		{Name: "kind", Kind: checker.Choice, Required: true, Choices: []string{"upstream", "vm", "zone", "region"}, Doc: "what the target is"},
		{Name: "target", Kind: checker.Text, Required: true, Doc: "the target's name"},
	}}
}

func shiftGroup() checker.Group {
	return checker.Group{Kind: "shift", Named: true, Doc: "the cap on traffic shifted into a zone, named by the zone", Keys: []checker.Key{
		{Name: "weight", Kind: checker.Number, Required: true, Min: 0, Max: 1 << 40, Unit: "slots", Doc: "the weight that may be shifted in within any window"},
		{
			Name: "window", Kind: checker.Duration, Default: "1s", Min: int64(100 * time.Millisecond), Max: int64(time.Hour),
			Doc: "the window's length",
		},
	}}
}

func exceptionGroup() checker.Group {
	return checker.Group{Kind: "exception", Named: true, Doc: "callers of one service that are steered to a zone other than the nearest", Keys: []checker.Key{
		{Name: "net", Kind: checker.Prefix, Required: true, Doc: "the callers' addresses"},
		{Name: "service", Kind: checker.Text, Required: true, Doc: "the service"},
		{Name: "zone", Kind: checker.Text, Required: true, Doc: "the zone to prefer"},
	}}
}
