package parser

import (
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

// MaxSectionBytes is the platform's bound on one value.
const MaxSectionBytes = 1 << 20

// Section names one owned INI file of the steering document.
type Section string

// Sections lists the sections in the order in which they are read.
func Sections() []Section {
	return []Section{Services, Places, Drains, Limits, Exceptions}
}

// Valid reports whether s is a section of the document.
func (s Section) Valid() bool {
	_, ok := schemaOf(s)
	return ok
}

// SchemaOf returns the table of keys of a section.
func SchemaOf(s Section) checker.Schema {
	schema, _ := schemaOf(s)
	return schema
}

func schemaOf(s Section) (checker.Schema, bool) {
	switch s {
	case Services:
		return checker.Schema{Groups: []checker.Group{serviceGroup(), classGroup()}}, true
	case Places:
		return checker.Schema{Groups: []checker.Group{zoneGroup(), upstreamGroup(), blockGroup()}}, true
	case Drains:
		return checker.Schema{Groups: []checker.Group{drainGroup()}}, true
	case Limits:
		return checker.Schema{Groups: []checker.Group{shiftGroup()}}, true
	case Exceptions:
		return checker.Schema{Groups: []checker.Group{exceptionGroup()}}, true
	}
	return checker.Schema{}, false
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
