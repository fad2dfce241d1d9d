package parser

import (
	"crypto/sha256"
	"net/netip"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The kinds of target that a drain can name.
const (
	UpstreamTarget TargetKind = "upstream"
	VMTarget       TargetKind = "vm"
	ZoneTarget     TargetKind = "zone"
	RegionTarget   TargetKind = "region"
)

type (
	// Document is a parsed and validated steering document. It does not
	// change after Parse has returned it.
	Document struct {
		Services   []Service
		Zones      []Zone
		Upstreams  []Upstream
		Blocks     []Block
		Drains     []Drain
		ShiftCaps  []ShiftCap
		Exceptions []Exception
		Routes     []Route
		Accounts   []Account
		Ingress    Ingress

		entries []checker.Entry
	}

	// Service is a service with its classes and limits. TTL is how long callers may cache
	// the response to a lookup of the service. The owner of a once-only request's token is
	// the entry VM that issued the token. Before it sends the request, it records that at
	// the token's witness, another entry VM. WitnessInOtherZone places the witness in
	// another zone of the owner's region, instead of in the owner's zone.
	//
	// RefusalStatus is the HTTP status with which an upstream states that it did not run
	// the request, or 0 if no status means that. MaxQueued limits the queued requests on
	// one entry VM. ReservePercent of an entry VM's share of the service's slots is
	// reserved for once-only requests. RetryPercent limits the retries of idempotent
	// requests in relation to first attempts. MaxEjectedPercent limits the fraction of a
	// zone's upstreams that may be ejected because they fail.
	//
	// MaxConns, Warmup and MaxColdRate apply to upstreams that were discovered instead
	// of listed in the document. MaxConns and MaxColdRate, in requests per second, are
	// totals over all entry VMs. Warmup is how long an upstream is cold after it starts.
	// A MaxColdRate of 0 means no limit.
	Service struct {
		Name               namer.Service
		TTL                time.Duration
		WitnessInOtherZone bool
		RefusalStatus      int
		MaxQueued          int
		ReservePercent     int
		RetryPercent       int
		MaxEjectedPercent  int
		MaxConns           int
		Warmup             time.Duration
		MaxColdRate        int
		Classes            []Class
	}

	// Route maps the requests for one host and path prefix to one or more services. A
	// request of a route with Once set may run at most once. LatencyTarget is the
	// latency that responses should not exceed, and Timeout the longest that a caller
	// waits. AttemptLimit is the number of upstreams that a request may be sent to.
	// Priority 0 is the most urgent. Without PermittedRegions, every region may serve the
	// route. Affinity keeps the requests for one object on the same upstreams. The requests
	// of a Public route need no key where the document has accounts.
	Route struct {
		Name             namer.Route
		Host             string
		Prefix           string
		Services         []WeightedService
		Once             bool
		Timeout          time.Duration
		LatencyTarget    time.Duration
		AttemptLimit     int
		Priority         int
		PermittedRegions []namer.Region
		Affinity         bool
		Public           bool
	}

	// KeyHash is the SHA-256 digest of an account's key. Keys themselves are not kept.
	KeyHash [sha256.Size]byte

	// Account is a client account. Its requests carry one of its keys. Rate, in requests
	// per second, and Burst, in requests, limit them over all entry VMs together; a Rate of
	// 0 means no limit. If HasPriority is set, Priority replaces that of the route. Without
	// PermittedRegions, every region that the route permits may serve the account.
	Account struct {
		Name             namer.Account
		Keys             []KeyHash
		HasPriority      bool
		Priority         int
		Rate             int
		Burst            int
		PermittedRegions []namer.Region
	}

	// WeightedService is a service of a route with its weight. Requests are distributed
	// over the route's services in proportion to the weights.
	WeightedService struct {
		Service namer.Service
		Weight  int
	}

	// Ingress limits the requests that callers send to routes, the time in which a
	// request must have been read, and the time that a connection may be idle.
	Ingress struct {
		MaxHeadBytes        int
		MaxRequestBodyBytes int64
		ReadTimeout         time.Duration
		CallerIdleTimeout   time.Duration
	}

	// Class is a class of a service's requests, selected by method and path prefix. A
	// request of the class takes Weight slots. If Once is set, it may run at most once.
	// Deadline is the time within which the whole response must have been sent.
	Class struct {
		Name     namer.Class
		Method   string
		Prefix   string
		Weight   namer.Weight
		Once     bool
		Deadline time.Duration
	}

	// Zone is an availability zone. VMCount is the number of entry VMs that divide the
	// zone's limits among themselves.
	Zone struct {
		Name    namer.Zone
		Region  namer.Region
		VMCount int
	}

	// Upstream is an upstream with its limits: the slots that it can use at once, and
	// the connections that it accepts from all entry VMs together.
	Upstream struct {
		Name     namer.Upstream
		Service  namer.Service
		Zone     namer.Zone
		Address  string
		Slots    namer.Weight
		MaxConns int
	}

	// Block maps a block of caller addresses to the zone nearest to it.
	Block struct {
		Name   string
		Prefix netip.Prefix
		Zone   namer.Zone
	}

	// TargetKind is the kind of target that a drain names.
	TargetKind string

	// Drain stops new requests from being sent to its target.
	Drain struct {
		Name   string
		Kind   TargetKind
		Target string
	}

	// ShiftCap limits the weight of the requests that are shifted from other zones into
	// Zone within any period of length Window.
	ShiftCap struct {
		Zone      namer.Zone
		MaxWeight namer.Weight
		Window    time.Duration
	}

	// Exception steers the callers of a service whose addresses are in Prefix to Zone,
	// instead of to the zone nearest to them.
	Exception struct {
		Name    string
		Prefix  netip.Prefix
		Service namer.Service
		Zone    namer.Zone
	}
)

// Service returns the service with the given name.
func (d *Document) Service(name namer.Service) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Zone returns the zone with the given name.
func (d *Document) Zone(name namer.Zone) (Zone, bool) {
	for _, z := range d.Zones {
		if z.Name == name {
			return z, true
		}
	}
	return Zone{}, false
}

// ServiceUpstreams returns the upstreams of a service in a zone, in the order of the
// document.
func (d *Document) ServiceUpstreams(service namer.Service, zone namer.Zone) []Upstream {
	var ups []Upstream
	for _, u := range d.Upstreams {
		if u.Service == service && u.Zone == zone {
			ups = append(ups, u)
		}
	}
	return ups
}

// ShiftCap returns the limit on the traffic that is shifted into a zone, if there is one.
func (d *Document) ShiftCap(zone namer.Zone) (ShiftCap, bool) {
	for _, s := range d.ShiftCaps {
		if s.Zone == zone {
			return s, true
		}
	}
	return ShiftCap{}, false
}

// DrainOf returns the name of the drain on a target, if there is one.
func (d *Document) DrainOf(kind TargetKind, target string) (string, bool) {
	for _, dr := range d.Drains {
		if dr.Kind == kind && dr.Target == target {
			return dr.Name, true
		}
	}
	return "", false
}

// DrainOfZone returns the name of the drain on a zone or on its region, if there is one.
func (d *Document) DrainOfZone(zone namer.Zone) (string, bool) {
	if name, ok := d.DrainOf(ZoneTarget, string(zone)); ok {
		return name, true
	}
	z, ok := d.Zone(zone)
	if !ok {
		return "", false
	}
	return d.DrainOf(RegionTarget, string(z.Region))
}

// LongestDeadline returns the longest deadline of all classes.
func (d *Document) LongestDeadline() time.Duration {
	var longest time.Duration
	for _, s := range d.Services {
		for _, c := range s.Classes {
			longest = max(longest, c.Deadline)
		}
	}
	return longest
}

// LongestTTL returns the longest time for which a caller may cache a lookup response.
func (d *Document) LongestTTL() time.Duration {
	var longest time.Duration
	for _, s := range d.Services {
		longest = max(longest, s.TTL)
	}
	return longest
}

// Classify returns the class of a request by its method and its path within the
// service. If several classes match, the one with the longest path prefix is used.
func (s Service) Classify(method, path string) (Class, bool) {
	var best Class
	found := false
	for _, c := range s.Classes {
		if c.Method != method || !underPrefix(c.Prefix, path) {
			continue
		}
		if !found || len(c.Prefix) > len(best.Prefix) {
			best = c
			found = true
		}
	}
	return best, found
}

// underPrefix reports whether prefix matches whole segments at the start of path, so
// that /stock matches /stock/1 but not /stockade.
func underPrefix(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
