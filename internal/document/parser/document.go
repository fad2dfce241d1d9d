package parser

import (
	"net/netip"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The kinds of drain target.
const (
	UpstreamTarget TargetKind = "upstream"
	VMTarget       TargetKind = "vm"
	ZoneTarget     TargetKind = "zone"
	RegionTarget   TargetKind = "region"
)

type (
	// Document is a whole steering document that passed every check. It is
	// never changed after it was parsed.
	Document struct {
		Services   []Service
		Zones      []Zone
		Upstreams  []Upstream
		Blocks     []Block
		Drains     []Drain
		ShiftCaps  []ShiftCap
		Exceptions []Exception
		Routes     []Route
		Ingress    Ingress

		entries []checker.Entry
	}

	// Service is a service and its classes.
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

	// Route says where requests of one host below one path go. Target is the
	// latency that answers should keep, Timeout the longest wait. Rank 0 is the
	// most urgent. No regions means that every region may serve.
	Route struct {
		Name           namer.Route
		Host           string
		PathPrefix     string
		Services       []WeightedService
		Once           bool
		Timeout        time.Duration
		TargetLatency  time.Duration
		MaxAttempts    int
		Priority       int
		AllowedRegions []namer.Region
		Affinity       bool
	}

	// WeightedService is one service of a route and its weight among the others.
	WeightedService struct {
		Service namer.Service
		Weight  int
	}

	// Ingress bounds what callers of routes may send.
	Ingress struct {
		MaxHeadBytes int
		MaxBodyBytes int64
		ReadTimeout  time.Duration
		IdleTimeout  time.Duration
	}

	// Class is a class of requests.
	Class struct {
		Name       namer.Class
		Method     string
		PathPrefix string
		Weight     namer.Weight
		Once       bool
		Deadline   time.Duration
	}

	// Zone is an availability zone. VMs is the number of its entry VMs.
	Zone struct {
		Name    namer.Zone
		Region  namer.Region
		VMCount int
	}

	// Upstream is an upstream with its limits.
	Upstream struct {
		Name     namer.Upstream
		Service  namer.Service
		Zone     namer.Zone
		Address  string
		Slots    namer.Weight
		MaxConns int
	}

	// Block is a block of caller addresses and its nearest zone.
	Block struct {
		Name   string
		Prefix netip.Prefix
		Zone   namer.Zone
	}

	// TargetKind says what a drain's target is.
	TargetKind string

	// Drain keeps new work from its target.
	Drain struct {
		Name   string
		Kind   TargetKind
		Target string
	}

	// ShiftCap caps the weight shifted into a zone within any window.
	ShiftCap struct {
		Zone      namer.Zone
		MaxWeight namer.Weight
		Window    time.Duration
	}

	// Exception steers some callers of a service to a zone.
	Exception struct {
		Name    string
		Prefix  netip.Prefix
		Service namer.Service
		Zone    namer.Zone
	}
)

// Service returns the named service.
func (d *Document) Service(name namer.Service) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Zone returns the named zone.
func (d *Document) Zone(name namer.Zone) (Zone, bool) {
	for _, z := range d.Zones {
		if z.Name == name {
			return z, true
		}
	}
	return Zone{}, false
}

// ServiceUpstreams returns the upstreams of a service in a zone, in the order
// of the document.
func (d *Document) ServiceUpstreams(service namer.Service, zone namer.Zone) []Upstream {
	var ups []Upstream
	for _, u := range d.Upstreams {
		if u.Service == service && u.Zone == zone {
			ups = append(ups, u)
		}
	}
	return ups
}

// ShiftCap returns the cap on traffic shifted into a zone.
func (d *Document) ShiftCap(zone namer.Zone) (ShiftCap, bool) {
	for _, s := range d.ShiftCaps {
		if s.Zone == zone {
			return s, true
		}
	}
	return ShiftCap{}, false
}

// DrainOf returns the name of the drain that keeps new work from the target.
func (d *Document) DrainOf(kind TargetKind, target string) (string, bool) {
	for _, dr := range d.Drains {
		if dr.Kind == kind && dr.Target == target {
			return dr.Name, true
		}
	}
	return "", false
}

// DrainOfZone returns the name of the drain on a zone or on its region.
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

// LongestDeadline returns the longest deadline of any class.
func (d *Document) LongestDeadline() time.Duration {
	var longest time.Duration
	for _, s := range d.Services {
		for _, c := range s.Classes {
			longest = max(longest, c.Deadline)
		}
	}
	return longest
}

// LongestTTL returns the longest time for which callers cache any look-up.
func (d *Document) LongestTTL() time.Duration {
	var longest time.Duration
	for _, s := range d.Services {
		longest = max(longest, s.TTL)
	}
	return longest
}

// Classify returns the class of a request by its method and its path within
// the service. The longest matching path wins.
func (s Service) Classify(method, path string) (Class, bool) {
	var best Class
	found := false
	for _, c := range s.Classes {
		if c.Method != method || !hasPathPrefix(c.PathPrefix, path) {
			continue
		}
		if !found || len(c.PathPrefix) > len(best.PathPrefix) {
			best = c
			found = true
		}
	}
	return best, found
}

func hasPathPrefix(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
