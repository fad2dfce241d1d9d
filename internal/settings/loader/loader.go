// Package loader reads and checks a daemon's settings, which are one INI file. It
// reports all problems of the file together, not just the first.
//
// # Usage
//
//	settings, err := loader.Load("/etc/waxwingd.ini")
//	if err != nil {
//		// The error has one line per problem, with file, line, section and key.
//	}
package loader

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// minKeyBytes is the minimum length of the shared keys that peers authenticate
// each other with.
const minKeyBytes = 16

type (
	// Settings holds all settings of one daemon.
	Settings struct {
		// File is the path of the file that the settings were read from.
		File            string
		VM              namer.VM
		Zone            namer.Zone
		Region          namer.Region
		CallerAddress   string
		OperatorAddress string
		PeerAddress     string
		// PlatformAddress is the address of the platform's object API.
		PlatformAddress string
		// ReportInterval is the interval at which upstreams report to the platform.
		ReportInterval time.Duration
		// PeerKeys are the shared keys that are accepted from peers. This daemon
		// itself uses the first one.
		PeerKeys [][]byte
		// Seeds are the addresses of peers to ask while the platform's list of VMs
		// can't be read.
		Seeds []string
		// AdvertiseAddress is the address at which peers reach this daemon, if it
		// is not PeerAddress.
		AdvertiseAddress string
		LogLevel         string
		Limits           Limits
		Timing           Timing
		Operators        []Operator
		Routing          Routing
		Accounts         Accounts
		// Regions maps each zone of the deployment to its region.
		Regions map[namer.Zone]namer.Region
	}

	// Routing holds the settings for steering by routes, which is enabled when
	// ReadyAddress and LookupAddress are both set.
	Routing struct {
		ReadyAddress  string
		LookupAddress string
		// LookupTTL is how long callers may cache the response to a lookup.
		LookupTTL time.Duration
		// ShutdownGrace is the time between the signal to stop and a kill.
		ShutdownGrace time.Duration
		// MaxApplyDelay is the time within which a change of the platform's
		// configuration must take effect.
		MaxApplyDelay time.Duration
		// MaxDrainDelay is the time within which a draining upstream must get no
		// more requests.
		MaxDrainDelay time.Duration
		// RetryRatio is the maximum number of retries as a fraction of callers'
		// requests, both counted over RetryWindow.
		RetryRatio  float64
		RetryWindow time.Duration
	}

	// Accounts holds the terms of client accounts.
	Accounts struct {
		// RevokeTimeout is the time after which a withdrawn key must not be accepted by any
		// VM, or 0 if VMs out of touch are not bound.
		RevokeTimeout time.Duration
		// All VMs together may exceed an account's limit within LimitWindow by the fraction
		// LimitOverage of it and by LimitSlack requests.
		LimitWindow  time.Duration
		LimitOverage float64
		LimitSlack   int
	}

	// Limits holds the limits on the resources of a daemon that callers may use.
	Limits struct {
		MaxHeadBytes        int
		MaxRequestBodyBytes int64
		// MaxStoredBodyBytes is the maximum size of a response to a once-only
		// request that is kept for a retry.
		MaxStoredBodyBytes int
		// ReadTimeout is the time within which a request must have been read.
		ReadTimeout time.Duration
		// MaxInFlight is the maximum number of concurrent requests.
		MaxInFlight int
		// MaxBufferedBytes limits the request bodies that routes hold in memory
		// at the same time, and separately the response bodies. 0 leaves that to MemoryMB.
		MaxBufferedBytes int64
		// MemoryMB is the memory of the machine in 10^6 bytes, and Descriptors the number of
		// files that the process may open, 0 if they are not known.
		MemoryMB    int64
		Descriptors int
		// MaxConnections is the maximum number of callers' connections, and
		// MaxCallerConnections that from one address. 0 derives them from Descriptors.
		MaxConnections       int
		MaxCallerConnections int
		// MaxUpstreamBytes is the maximum size of the requests that are in progress at one
		// upstream at the same time, together, 0 for no limit.
		MaxUpstreamBytes int64
		// MaxReadAhead is the maximum number of requests that are read ahead on a connection,
		// and MaxReadAheadBytes that of their bytes.
		MaxReadAhead      int
		MaxReadAheadBytes int
		// MaxTokens is the maximum number of once-only tokens that the daemon stores
		// as owner. It stores up to as many others as witness.
		MaxTokens int
	}

	// Timing holds the daemon's intervals and timeouts.
	Timing struct {
		HeartbeatInterval time.Duration
		// A peer from which nothing was heard for SuspectTimeout is suspect, and
		// after DeadTimeout it is dead.
		SuspectTimeout time.Duration
		DeadTimeout    time.Duration
		// ListInterval is the interval between reads of the platform's list of VMs.
		ListInterval time.Duration
		// TokenTTL is how long a once-only token may be used.
		TokenTTL time.Duration
	}

	// Operator is someone who may edit the listed sections of the steering
	// document. TokenHash is the SHA-256 of the operator's bearer token, in hex.
	Operator struct {
		Name      namer.Author
		TokenHash string
		Sections  []string
	}
)

// Load reads and checks the settings in a file. If it returns an
// error, the returned settings are not fit for use.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading settings")
	}
	entries, problems := checker.Check(Schema(), path, text)
	s := Settings{File: path, Regions: make(map[namer.Zone]namer.Region)}
	for _, e := range entries {
		problems = append(problems, s.addEntry(e)...)
	}
	problems = append(problems, checkOverlaps(entries)...)
	return s, problems.AsError()
}

// RoutingEnabled reports whether the daemon steers by routes.
func (s *Settings) RoutingEnabled() bool {
	return s.Routing.ReadyAddress != "" && s.Routing.LookupAddress != ""
}

func (s *Settings) addEntry(e checker.Entry) checker.Problems {
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
	case "accounts":
		s.Accounts = newAccounts(e)
	case "zone":
		s.Regions[namer.Zone(e.Name)] = namer.Region(e.Text("region"))
	case "owner":
		s.Operators = append(s.Operators, Operator{
			Name:      namer.Author(e.Name),
			TokenHash: e.Text("hash"),
			Sections:  splitList(e.Text("sections")),
		})
	}
	return nil
}

// addKeys reads the file of the shared key and, if there is one, the file of the
// second key that is also accepted while operators replace the shared key.
func (s *Settings) addKeys(e checker.Entry) checker.Problems {
	var problems checker.Problems
	for _, name := range []string{"key", "next"} {
		if !e.Has(name) {
			continue
		}
		raw, err := s.readKey(e.Text(name))
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

// readKey reads the file of a key. One with a relative path need not be below the working folder:
// if it does not exist there, it is looked for below the settings' folder, and then below the
// folder above the program's.
func (s *Settings) readKey(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if filepath.IsAbs(path) || !errors.Is(err, os.ErrNotExist) {
		return raw, err
	}
	folders := []string{filepath.Dir(s.File)}
	if program, err := os.Executable(); err == nil {
		folders = append(folders, filepath.Dir(filepath.Dir(program)))
	}
	for _, folder := range folders {
		raw, other := os.ReadFile(filepath.Join(folder, path))
		if !errors.Is(other, os.ErrNotExist) {
			return raw, other
		}
	}
	return nil, errors.Wrapf(err, "not below the working folder, %s", strings.Join(folders, " or "))
}

func (s *Settings) addSeeds(e checker.Entry) checker.Problems {
	var problems checker.Problems
	for _, seed := range splitList(e.Text("seeds")) {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			problems = append(problems, e.Problem("seeds", "%q is not an address of the form IP:PORT", seed))
			continue
		}
		s.Seeds = append(s.Seeds, seed)
	}
	return problems
}

// splitList splits a text at commas and white space.
func splitList(text string) []string {
	return strings.Fields(strings.ReplaceAll(text, ",", " "))
}

func newLimits(e checker.Entry) Limits {
	return Limits{
		MaxHeadBytes:         int(e.Number("head")),
		MaxRequestBodyBytes:  e.Number("body"),
		MaxStoredBodyBytes:   int(e.Number("answer")),
		ReadTimeout:          e.Duration("read"),
		MaxInFlight:          int(e.Number("requests")),
		MaxBufferedBytes:     e.Number("bodies"),
		MemoryMB:             e.Number("memory"),
		Descriptors:          int(e.Number("descriptors")),
		MaxConnections:       int(e.Number("connections")),
		MaxCallerConnections: int(e.Number("percaller")),
		MaxUpstreamBytes:     e.Number("upstream"),
		MaxReadAhead:         int(e.Number("ahead")),
		MaxReadAheadBytes:    int(e.Number("aheadbytes")),
		MaxTokens:            int(e.Number("tokens")),
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

func newAccounts(e checker.Entry) Accounts {
	return Accounts{
		RevokeTimeout: e.Duration("revoke"),
		LimitWindow:   e.Duration("window"),
		LimitOverage:  e.Ratio("overage"),
		LimitSlack:    int(e.Number("slack")),
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

// checkOverlaps returns a problem for each pair of listeners whose addresses can't
// be bound at the same time.
func checkOverlaps(entries []checker.Entry) checker.Problems {
	type listener struct {
		entry checker.Entry
		key   string
	}
	var problems checker.Problems
	var earlier []listener
	for _, e := range entries {
		for _, key := range listenKeys(e.Kind) {
			for _, other := range earlier {
				if overlaps(e.Text(key), other.entry.Text(other.key)) {
					problems = append(problems, e.Problem(key, "%s overlaps %s", e.Text(key), other.key))
				}
			}
			earlier = append(earlier, listener{entry: e, key: key})
		}
	}
	return problems
}

// listenKeys returns the keys of a group whose values are listen addresses of this
// daemon.
func listenKeys(kind string) []string {
	switch kind {
	case "listen":
		return []string{"callers", "operators", "peers"}
	case "routing":
		return []string{"ready", "lookup"}
	}
	return nil
}

// overlaps reports whether two listen addresses have the same port, and either the
// same IP address or one that stands for all. With port 0 the kernel picks a free
// port, so such an address overlaps no other.
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
