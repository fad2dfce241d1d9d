package runner

import (
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/document/importer"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/front/locator"
	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/kernel/registrar"
	"github.com/waxwingloom/waxwingloom/internal/member/enroller"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/answerer"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/peer/relayer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/settings/reloader"
	"github.com/waxwingloom/waxwingloom/internal/upstream/discoverer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
	"github.com/waxwingloom/waxwingloom/platform"
)

// The names of the services that steer by routes.
const (
	reloadName    registrar.Name = "reload"
	enrollName    registrar.Name = "enroll"
	discoverName  registrar.Name = "discover"
	configName    registrar.Name = "config"
	upstreamsName registrar.Name = "upstreams"
	drainsName    registrar.Name = "drains"
	seenName      registrar.Name = "seen"
	steerName     registrar.Name = "steer"
	spreadName    registrar.Name = "spread"
	directoryName registrar.Name = "directory"
	readyName     registrar.Name = "ready"
	sweepName     registrar.Name = "sweep"
)

// followed are the services that follow the store's records.
var followed = []registrar.Name{configName, upstreamsName, drainsName}

const (
	// lapseBeats is how many reports of an upstream an outage of the platform's store
	// takes at least where an entry lapses: entries lapse after three that are missing.
	lapseBeats = 2
	// pullAfter is how long a document may take to come by way of the records
	// before it is pulled from a peer: two round trips of the longest way that the
	// brief names.
	pullAfter = 250 * time.Millisecond
	// adminHeaderTime bounds the reading of a request's head on the listeners
	// that only the platform and callers' look-ups use.
	adminHeaderTime = 5 * time.Second
	// headMost is the largest head that the HTTP library reads; the document's
	// own limit is checked afterwards and is answered.
	headMost = 1 << 20
)

// registerRouted registers the services that steer by routes.
func registerRouted(r *registrar.Registrar, s loader.Settings, o options, log *slog.Logger) {
	registerBase(r, s, log)
	r.Register(platformName, nil, func(registrar.Finder) (any, func(), error) {
		client, cleanup := platform.NewClient(s.Platform)
		return client, cleanup, nil
	})
	r.Register(reloadName, []registrar.Name{clockName}, func(f registrar.Finder) (any, func(), error) {
		return reloader.New(o.path, s, o.reload, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	registerRoutedMembers(r, s, log)
	registerDiscovery(r, s, log)
	registerSeen(r)
	registerSteering(r, s, log)
	registerRoutedFront(r, s, log)
}

func registerRoutedMembers(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	needs := []registrar.Name{portsName, clockName, platformName}
	r.Register(enrollName, needs, func(f registrar.Finder) (any, func(), error) {
		self := storer.ListedVM{VM: s.VM, Zone: s.Zone, PeerAddress: f.Find(portsName).(*ports).advertised(s)}
		return enroller.New(storer.New(f.Find(platformName).(*platform.Client)), self, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	needs = []registrar.Name{portsName, clockName, peersName, platformName, documentsName, discoverName, reloadName}
	r.Register(membersName, needs, func(f registrar.Finder) (any, func(), error) {
		h := newMembers(f, s, log, heartbeater.Services{
			Lister:    storer.New(f.Find(platformName).(*platform.Client)),
			Upstreams: f.Find(discoverName).(*discoverer.Discoverer),
		})
		f.Find(reloadName).(*reloader.Reloader).OnChange(func(s loader.Settings) { h.SetSeeds(s.Seeds) })
		return h, nil, nil
	})
	needs = append([]registrar.Name{clockName, peersName, membersName, documentsName, discoverName}, followed...)
	r.Register(answersName, needs, func(f registrar.Finder) (any, func(), error) {
		services := answerer.Services{
			Members:   f.Find(membersName).(*heartbeater.Heartbeater),
			Documents: f.Find(documentsName).(*keeper.Keeper),
			Upstreams: f.Find(discoverName).(*discoverer.Discoverer),
			Records:   make(map[storer.Kind]answerer.RecordSource, len(followed)),
		}
		for _, name := range followed {
			records := f.Find(name).(*follower.Follower)
			services.Records[records.Kind()] = records
		}
		return &peerServer{
			messenger: f.Find(peersName).(*messenger.Messenger),
			answerer:  answerer.New(services, f.Find(clockName).(clockwork.Clock), log),
		}, nil, nil
	})
}

// registerDiscovery registers what follows the store.
func registerDiscovery(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	r.Register(discoverName, []registrar.Name{clockName}, func(f registrar.Finder) (any, func(), error) {
		return discoverer.New(platform.DecodeUpstream, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	follow := func(name registrar.Name, kind storer.Kind, need registrar.Name, handler func(registrar.Finder) follower.Handler) {
		needs := []registrar.Name{platformName, clockName, peersName, membersName, need}
		r.Register(name, needs, func(f registrar.Finder) (any, func(), error) {
			members := f.Find(membersName).(*heartbeater.Heartbeater)
			relay := relayer.New(f.Find(peersName).(*messenger.Messenger), members, f.Find(clockName).(clockwork.Clock))
			return follower.New(f.Find(platformName).(*platform.Client), kind, handler(f), f.Find(clockName).(clockwork.Clock), log,
				follower.WithRelay(relay), follower.WithPeerNotifier(members.SendNow), follower.WithMaxDelay(min(s.Routing.Apply, s.Routing.Drain)), follower.WithMinOutage(lapseBeats*s.Beat)), nil, nil
		})
	}
	follow(configName, platform.ConfigKind, documentsName, func(f registrar.Finder) follower.Handler {
		return importer.New(platform.TranslateConfig, platform.ConfigName, f.Find(documentsName).(*keeper.Keeper), log)
	})
	follow(upstreamsName, platform.UpstreamKind, discoverName, func(f registrar.Finder) follower.Handler {
		return f.Find(discoverName).(*discoverer.Discoverer).Upstreams()
	})
	follow(drainsName, platform.DrainKind, discoverName, func(f registrar.Finder) follower.Handler {
		return f.Find(discoverName).(*discoverer.Discoverer).Drains()
	})
}

// registerSeen has VMs tell each other how far they have seen the store's
// records.
func registerSeen(r *registrar.Registrar) {
	r.Register(seenName, append([]registrar.Name{membersName}, followed...), func(f registrar.Finder) (any, func(), error) {
		var all []*follower.Follower
		for _, name := range followed {
			all = append(all, f.Find(name).(*follower.Follower))
		}
		f.Find(membersName).(*heartbeater.Heartbeater).SetRecordHooks(
			func() []tracker.SeenVersion { return seenBy(all) },
			func(told []tracker.SeenVersion) { tell(all, told) },
			func() bool { return slices.ContainsFunc(all, (*follower.Follower).StoreUnreachable) })
		return all, nil, nil
	})
}

func seenBy(all []*follower.Follower) []tracker.SeenVersion {
	out := make([]tracker.SeenVersion, len(all))
	for i, f := range all {
		out[i] = tracker.SeenVersion{Kind: f.Kind(), Version: f.SeenVersion()}
	}
	return out
}

func tell(all []*follower.Follower, told []tracker.SeenVersion) {
	for _, seen := range told {
		for _, f := range all {
			if f.Kind() == seen.Kind {
				f.ObservePeerVersion(seen.Version)
			}
		}
	}
}

func registerSteering(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	needs := []registrar.Name{clockName, documentsName, discoverName, membersName, upstreamsName}
	r.Register(steerName, needs, func(f registrar.Finder) (any, func(), error) {
		clock := f.Find(clockName).(clockwork.Clock)
		links, cleanup := exchanger.New(clock)
		self := selector.Self{VM: s.VM, Zone: s.Zone, Region: s.Region, Regions: s.Regions}
		budget := steerer.RetryBudget{Ratio: s.Routing.Resend, Window: s.Routing.Window, Started: clock.Now()}
		st := steerer.New(self, platform.Headers(), budget, links, clock, log)
		upstreams := f.Find(upstreamsName).(*follower.Follower)
		st.SetViewAgeFunc(func() time.Duration {
			age, _ := upstreams.Age()
			return age
		})
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		members.OnChange(func() { countMembers(st, members, s) })
		countMembers(st, members, s)
		f.Find(documentsName).(*keeper.Keeper).Subscribe(func(force *keeper.Force) {
			st.SetDocument(force.Head.Generation, force.Document)
			members.SendNow()
		})
		f.Find(discoverName).(*discoverer.Discoverer).OnChange(st.SetUpstreams)
		members.SetDemands(func() []tracker.Demand { return needsOf(st) })
		return st, cleanup, nil
	})
	r.Register(spreadName, []registrar.Name{clockName, platformName, steerName, membersName}, func(f registrar.Finder) (any, func(), error) {
		return &spread{
			steerer: f.Find(steerName).(*steerer.Steerer),
			members: f.Find(membersName).(*heartbeater.Heartbeater),
			notes:   storer.New(f.Find(platformName).(*platform.Client)),
			clock:   f.Find(clockName).(clockwork.Clock),
			log:     log,
		}, nil, nil
	})
}

// countMembers tells the steerer how many VMs there are. A zone of which nothing is
// known is taken to have one.
func countMembers(st *steerer.Steerer, members *heartbeater.Heartbeater, s loader.Settings) {
	zones := make(map[namer.Zone]int, len(s.Regions))
	for zone := range s.Regions {
		zones[zone] = 1
	}
	for _, summary := range members.Summaries() {
		zones[summary.Zone] = max(summary.VMs, 1)
	}
	var near []namer.VM
	for _, m := range members.Members() {
		if m.Zone == s.Zone && m.State != tracker.Dead {
			near = append(near, m.VM)
		}
	}
	all := 0
	for _, vms := range zones {
		all += vms
	}
	st.SetMembers(all, len(near)+1, func(u namer.Upstream) int { return placeFor(u, s.VM, s.Zone, near, zones) })
}

// placeFor returns a VM's place among all VMs in an order of an upstream's own: zone by
// zone, since a VM knows the names in its zone and the number in others.
func placeFor(u namer.Upstream, self namer.VM, own namer.Zone, near []namer.VM, zones map[namer.Zone]int) int {
	order := func(name string) uint64 { return xxhash.Sum64String(name + "/" + string(u)) }
	place := 0
	for _, vm := range near {
		if order(string(vm)) < order(string(self)) {
			place++
		}
	}
	for zone, vms := range zones {
		if order(string(zone)) < order(string(own)) {
			place += vms
		}
	}
	return place
}

func registerRoutedFront(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	r.Register(callersName, []registrar.Name{clockName, steerName}, func(f registrar.Finder) (any, func(), error) {
		limits := receiver.Limits{Requests: int64(s.Limits.Requests), Bytes: s.Limits.Bodies}
		return receiver.New(f.Find(steerName).(*steerer.Steerer), platform.Headers(), limits,
			f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	r.Register(sweepName, []registrar.Name{clockName, steerName}, func(f registrar.Finder) (any, func(), error) {
		st := f.Find(steerName).(*steerer.Steerer)
		limit := func() time.Duration {
			limits, _ := st.Ingress()
			return limits.IdleTime
		}
		return sweeper.New(limit, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	r.Register(frontName, []registrar.Name{portsName, callersName, sweepName}, func(f registrar.Finder) (any, func(), error) {
		server := &http.Server{
			Handler:           f.Find(callersName).(*receiver.Receiver),
			ReadHeaderTimeout: s.Limits.ReadTime,
			ConnState:         f.Find(sweepName).(*sweeper.Sweeper).Track,
			MaxHeaderBytes:    headMost,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		}
		return &webServer{server: server, listener: f.Find(portsName).(*ports).callers, linger: lingerOf(s)}, nil, nil
	})
	r.Register(directoryName, []registrar.Name{membersName, steerName, reloadName}, func(f registrar.Finder) (any, func(), error) {
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		st := f.Find(steerName).(*steerer.Steerer)
		locate := func(host string, p locator.Place) []string {
			return locator.Choose(p, withSelf(members), st.AllowedRegions(host))
		}
		settings := f.Find(reloadName).(*reloader.Reloader)
		ttl := func() time.Duration { return settings.Current().Routing.TTL }
		return openAdmin(s, s.Routing.Lookup, platform.LookupHandler(locate, ttl))
	})
	r.Register(readyName, []registrar.Name{steerName, callersName}, func(f registrar.Finder) (any, func(), error) {
		st := f.Find(steerName).(*steerer.Steerer)
		front := f.Find(callersName).(*receiver.Receiver)
		return openAdmin(s, s.Routing.Ready, platform.ReadyHandler(func() bool { return st.Ready() && !front.Leaving() }))
	})
	needs := append([]registrar.Name{portsName, platformName, steerName, documentsName, callersName}, followed...)
	r.Register(operatorsName, needs, func(f registrar.Finder) (any, func(), error) {
		server := &http.Server{Handler: routedMetrics(f), ReadHeaderTimeout: adminHeaderTime}
		return &webServer{server: server, listener: f.Find(portsName).(*ports).operators, linger: lingerOf(s)}, nil, nil
	})
}

// withSelf returns the members in view and this VM.
func withSelf(h *heartbeater.Heartbeater) []tracker.Member {
	self := h.Self()
	if self.Leaving {
		self.State = tracker.Leaving
	}
	return append(h.Members(), self)
}

func openAdmin(s loader.Settings, address string, handler http.Handler) (any, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "opening a listener")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: adminHeaderTime}
	return &webServer{server: server, listener: listener, linger: lingerOf(s)}, func() { _ = listener.Close() }, nil
}

func routedMetrics(f registrar.Finder) http.Handler {
	st := f.Find(steerName).(*steerer.Steerer)
	documents := f.Find(documentsName).(*keeper.Keeper)
	m := new(expvar.Map).Init()
	m.Set("requests", expvar.Func(func() any { return st.Counts() }))
	front := f.Find(callersName).(*receiver.Receiver)
	m.Set("latency", expvar.Func(func() any { return front.Latencies() }))
	m.Set("busy", expvar.Func(func() any { return front.Busy() }))
	m.Set("needs", expvar.Func(func() any { return st.Demand() }))
	store := f.Find(platformName).(*platform.Client)
	m.Set("store", expvar.Func(func() any { return store.Counts() }))
	m.Set("views", expvar.Func(func() any { return viewAges(f) }))
	m.Set("generation", expvar.Func(func() any { return documents.Generation() }))
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(m.String()))
	})
}

// viewAge is how old what is known of a kind is, and the oldest that it was since the start.
type viewAge struct {
	Age    time.Duration
	Oldest time.Duration
}

func viewAges(f registrar.Finder) map[storer.Kind]viewAge {
	ages := make(map[storer.Kind]viewAge, len(followed))
	for _, name := range followed {
		records := f.Find(name).(*follower.Follower)
		age, oldest := records.Age()
		ages[records.Kind()] = viewAge{Age: age, Oldest: oldest}
	}
	return ages
}
