// Package loader reads a daemon's settings from one INI file and reports every
// problem at once.
//
// # Usage
//
//	settings, err := loader.Load("/etc/waxwingd.ini")
//	if err != nil {
//		// One problem a line, each with file, line, section and key.
//	}
package loader

import (
	"bytes"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// minKeyBytes is the shortest shared key that peers accept.
const minKeyBytes = 16

type (
	// Settings is what one daemon needs to know to start.
	Settings struct {
		VM              namer.VM
		Zone            namer.Zone
		Region          namer.Region
		CallerAddress   string
		OperatorAddress string
		PeerAddress     string
		PlatformAddress string
		// ReportInterval is the interval at which upstreams report to the platform.
		ReportInterval   time.Duration
		PeerKeys         [][]byte
		Seeds            []string
		AdvertiseAddress string
		LogLevel         string
		Limits           Limits
		Timing           Timing
		Operators        []Operator
		Routing          Routing
		Regions          map[namer.Zone]namer.Region
	}

	// Routing is what steering by routes needs. It is on when Ready and Lookup
	// are set.
	Routing struct {
		ReadyAddress  string
		LookupAddress string
		LookupTTL     time.Duration
		ShutdownGrace time.Duration
		MaxApplyDelay time.Duration
		MaxDrainDelay time.Duration
		RetryRatio    float64
		RetryWindow   time.Duration
	}

	// Limits bounds what callers may use of a daemon.
	Limits struct {
		MaxHeadBytes       int
		MaxBodyBytes       int64
		MaxStoredBodyBytes int
		ReadTimeout        time.Duration
		MaxInFlight        int
		MaxBufferedBytes   int64
		MaxTokens          int
	}

	// Timing is the daemon's intervals.
	Timing struct {
		HeartbeatInterval time.Duration
		SuspectTimeout    time.Duration
		DeadTimeout       time.Duration
		ListInterval      time.Duration
		TokenTTL          time.Duration
	}

	// Operator is an operator with the hash of a bearer token and the sections
	// that this operator may edit.
	Operator struct {
		Name      namer.Author
		TokenHash string
		Sections  []string
	}
)

// Load reads and checks the settings in a file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading settings")
	}
	entries, problems := checker.Check(Schema(), path, text)
	s := Settings{Regions: make(map[namer.Zone]namer.Region)}
	for _, e := range entries {
		problems = append(problems, s.add(e)...)
	}
	problems = append(problems, overlapping(entries)...)
	return s, problems.AsError()
}

// RoutingEnabled reports whether the daemon steers by routes.
func (s *Settings) RoutingEnabled() bool {
	return s.Routing.ReadyAddress != "" && s.Routing.LookupAddress != ""
}

func (s *Settings) add(e checker.Entry) checker.Problems {
	switch e.Kind {
	case "vm":
		s.VM = namer.VM(e.Text("name"))
		s.Zone = namer.Zone(e.Text("zone"))
		s.Region = namer.Region(e.Text("region"))
	case "listen":
		s.CallerAddress = e.Text("callers")
		s.OperatorAddress = e.Text("operators")
		s.PeerAddress = e.Text("peers")
	case "platform":
		s.PlatformAddress = e.Text("address")
		s.ReportInterval = e.Duration("beat")
	case "peers":
		s.AdvertiseAddress = e.Text("advertise")
		return append(s.addKeys(e), s.addSeeds(e)...)
	case "log":
		s.LogLevel = e.Text("level")
	case "limits":
		s.Limits = newLimits(e)
	case "timing":
		s.Timing = newTiming(e)
	case "routing":
		s.Routing = newRouting(e)
	case "zone":
		s.Regions[namer.Zone(e.Name)] = namer.Region(e.Text("region"))
	case "owner":
		s.Operators = append(s.Operators, Operator{
			Name:      namer.Author(e.Name),
			TokenHash: e.Text("hash"),
			Sections:  list(e.Text("sections")),
		})
	}
	return nil
}

// addKeys reads the shared key, and the second one that is accepted while
// operators change keys.
func (s *Settings) addKeys(e checker.Entry) checker.Problems {
	var problems checker.Problems
	for _, name := range []string{"key", "next"} {
		if !e.Has(name) {
			continue
		}
		raw, err := os.ReadFile(e.Text(name))
		if err != nil {
			problems = append(problems, e.Problem(name, "can't read the key: %v", err))
			continue
		}
		key := bytes.TrimSpace(raw)
		if len(key) < minKeyBytes {
			problems = append(problems, e.Problem(name, "the key has %d bytes; allowed: at least %d", len(key), minKeyBytes))
			continue
		}
		s.PeerKeys = append(s.PeerKeys, key)
	}
	return problems
}

func (s *Settings) addSeeds(e checker.Entry) checker.Problems {
	var problems checker.Problems
	for _, seed := range list(e.Text("seeds")) {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			problems = append(problems, e.Problem("seeds", "%q is not an address of the form IP:PORT", seed))
			continue
		}
		s.Seeds = append(s.Seeds, seed)
	}
	return problems
}

// list splits a text at commas and spaces.
func list(text string) []string {
	return strings.Fields(strings.ReplaceAll(text, ",", " "))
}

func newLimits(e checker.Entry) Limits {
	return Limits{
		MaxHeadBytes:       int(e.Number("head")),
		MaxBodyBytes:       e.Number("body"),
		MaxStoredBodyBytes: int(e.Number("answer")),
		ReadTimeout:        e.Duration("read"),
		MaxInFlight:        int(e.Number("requests")),
		MaxBufferedBytes:   e.Number("bodies"),
		MaxTokens:          int(e.Number("tokens")),
	}
}

func newRouting(e checker.Entry) Routing {
	return Routing{
		ReadyAddress:  e.Text("ready"),
		LookupAddress: e.Text("lookup"),
		LookupTTL:     e.Duration("ttl"),
		ShutdownGrace: e.Duration("grace"),
		MaxApplyDelay: e.Duration("apply"),
		MaxDrainDelay: e.Duration("drain"),
		RetryRatio:    e.Ratio("resend"),
		RetryWindow:   e.Duration("window"),
	}
}

func newTiming(e checker.Entry) Timing {
	return Timing{
		HeartbeatInterval: e.Duration("heartbeat"),
		SuspectTimeout:    e.Duration("suspect"),
		DeadTimeout:       e.Duration("dead"),
		ListInterval:      e.Duration("poll"),
		TokenTTL:          e.Duration("token"),
	}
}

// overlapping reports listeners that can't be open at once. Port 0 asks the
// kernel for a free port and overlaps nothing.
func overlapping(entries []checker.Entry) checker.Problems {
	type listener struct {
		entry checker.Entry
		name  string
	}
	var problems checker.Problems
	var before []listener
	for _, e := range entries {
		for _, name := range listenersOf(e.Kind) {
			for _, other := range before {
				if overlaps(e.Text(name), other.entry.Text(other.name)) {
					problems = append(problems, e.Problem(name, "%s overlaps %s", e.Text(name), other.name))
				}
			}
			before = append(before, listener{entry: e, name: name})
		}
	}
	return problems
}

// listenersOf returns the keys of a group that are own addresses.
func listenersOf(kind string) []string {
	switch kind {
	case "listen":
		return []string{"callers", "operators", "peers"}
	case "routing":
		return []string{"ready", "lookup"}
	}
	return nil
}

func overlaps(a, b string) bool {
	first, err := netip.ParseAddrPort(a)
	if err != nil {
		return false
	}
	second, err := netip.ParseAddrPort(b)
	if err != nil || first.Port() != second.Port() || first.Port() == 0 {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}
