package runner

import (
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/account/gatekeeper"
	"github.com/waxwingloom/waxwingloom/internal/account/lender"
	"github.com/waxwingloom/waxwingloom/internal/account/tallier"
	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/document/importer"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/front/diagnoser"
	"github.com/waxwingloom/waxwingloom/internal/front/locator"
	"github.com/waxwingloom/waxwingloom/internal/front/pipeliner"
	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/registrar"
	"github.com/waxwingloom/waxwingloom/internal/kernel/timekeeper"
	"github.com/waxwingloom/waxwingloom/internal/member/enroller"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/answerer"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/peer/relayer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/settings/reloader"
	"github.com/waxwingloom/waxwingloom/internal/upstream/discoverer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
	"github.com/waxwingloom/waxwingloom/platform"
)

// Names of the services that only a routed daemon has, one that steers requests by routes.
const (
	reloadName       registrar.Name = "reload"
	graceName        registrar.Name = "grace"
	enrollName       registrar.Name = "enroll"
	discoverName     registrar.Name = "discover"
	configName       registrar.Name = "config"
	upstreamsName    registrar.Name = "upstreams"
	drainsName       registrar.Name = "drains"
	seenVersionsName registrar.Name = "seen"
	steerName        registrar.Name = "steer"
	placementsName   registrar.Name = "spread"
	quarantineName   registrar.Name = "quarantine"
	lookupServerName registrar.Name = "directory"
	readyName        registrar.Name = "ready"
	sweepName        registrar.Name = "sweep"
	pipelineName     registrar.Name = "pipeline"
)

// followerNames are the names of the followers of the store's records.
var followerNames = []registrar.Name{configName, upstreamsName, drainsName}

const (
	// minOutageReportIntervals is the shortest outage of the platform's store in which an
	// upstream's record may expire, in report intervals. A record expires after three
	// missing reports, the first and the last of which are two intervals apart.
	minOutageReportIntervals = 2
	// documentPullDelay is how long a new document may take to arrive through the store's
	// records before it is pulled from a peer: two round trips over the longest network
	// path that the requirements name.
	documentPullDelay = 250 * time.Millisecond
	// adminHeadTimeout bounds the reading of a request's head on the listeners that serve
	// only the platform, operators and callers' lookups.
	adminHeadTimeout = 5 * time.Second
	// maxHeadBytes is the largest request head that net/http reads. The document's own
	// limit is checked afterwards, so that exceeding it gets a response in the usual form.
	maxHeadBytes = 1 << 20
)

// registerRouted registers the services of a routed daemon.
func registerRouted(r *registrar.Registrar, s loader.Settings, o options, log *slog.Logger) {
	registerCommon(r, s, log)
	r.Register(platformName, nil, func(registrar.Finder) (any, func(), error) {
		client, cleanup := platform.NewClient(s.PlatformAddress)
		return client, cleanup, nil
	})
	r.Register(reloadName, []registrar.Name{clockName}, func(f registrar.Finder) (any, func(), error) {
		return reloader.New(o.settingsPath, s, o.reloadSignals, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	r.Register(quarantineName, nil, func(registrar.Finder) (any, func(), error) { return quarantiner.New(), nil, nil })
	r.Register(graceName, []registrar.Name{reloadName}, func(f registrar.Finder) (any, func(), error) {
		return &gracePeriod{settings: f.Find(reloadName).(*reloader.Reloader)}, nil, nil
	})
	registerRoutedMembers(r, s, log)
	registerDiscovery(r, s, log)
	registerSeenVersions(r)
	registerAccounts(r, s, log)
	registerLimits(r, s, log)
	registerSteering(r, s, log)
	registerRoutedFront(r, s, log)
}

func registerRoutedMembers(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	deps := append([]registrar.Name{portsName, clockName, platformName}, followerNames...)
	r.Register(enrollName, deps, func(f registrar.Finder) (any, func(), error) {
		self := storer.ListedVM{VM: s.VM, Zone: s.Zone, PeerAddress: f.Find(portsName).(*listeners).peerAddress(s)}
		list := storer.New(f.Find(platformName).(*platform.Client))
		return enroller.New(list, self, latestEra(followers(f)), f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	deps = []registrar.Name{portsName, clockName, peersName, platformName, documentsName, discoverName, reloadName, quarantineName}
	r.Register(membersName, deps, func(f registrar.Finder) (any, func(), error) {
		h := newHeartbeater(f, s, log, heartbeater.Dependencies{
			Lister:    storer.New(f.Find(platformName).(*platform.Client)),
			Upstreams: f.Find(discoverName).(*discoverer.Discoverer),
			Evidence:  f.Find(quarantineName).(*quarantiner.Quarantiner),
		})
		f.Find(reloadName).(*reloader.Reloader).OnChange(func(s loader.Settings) { h.SetSeeds(s.Seeds) })
		return h, nil, nil
	})
	deps = append([]registrar.Name{clockName, peersName, membersName, documentsName, discoverName, limitsName}, followerNames...)
	r.Register(peerServerName, deps, func(f registrar.Finder) (any, func(), error) {
		deps := answerer.Dependencies{
			Members:   f.Find(membersName).(*heartbeater.Heartbeater),
			Documents: f.Find(documentsName).(*keeper.Keeper),
			Upstreams: f.Find(discoverName).(*discoverer.Discoverer),
			Records:   make(map[storer.Kind]answerer.RecordSource, len(followerNames)),
			Lender:    f.Find(limitsName).(*lender.Lender),
		}
		for _, name := range followerNames {
			records := f.Find(name).(*follower.Follower)
			deps.Records[records.Kind()] = records
		}
		return &peerServer{
			messenger: f.Find(peersName).(*messenger.Messenger),
			answerer:  answerer.New(deps, f.Find(clockName).(clockwork.Clock), log),
		}, nil, nil
	})
}

// registerDiscovery registers the discoverer and the followers of the store's records.
func registerDiscovery(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	r.Register(discoverName, []registrar.Name{clockName}, func(f registrar.Finder) (any, func(), error) {
		return discoverer.New(platform.DecodeUpstream, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	follow := func(name registrar.Name, kind storer.Kind, dep registrar.Name, handler func(registrar.Finder) follower.Handler) {
		deps := []registrar.Name{platformName, clockName, peersName, membersName, timekeeperName, dep}
		r.Register(name, deps, func(f registrar.Finder) (any, func(), error) {
			members := f.Find(membersName).(*heartbeater.Heartbeater)
			suspended := f.Find(timekeeperName).(*timekeeper.Timekeeper).Suspended
			relay := relayer.New(f.Find(peersName).(*messenger.Messenger), members, f.Find(clockName).(clockwork.Clock), relayer.WithSuspension(suspended))
			opts := append(confirmationOptions(s, kind), follower.WithRelay(relay), follower.WithSuspension(suspended),
				follower.WithPeerNotifier(members.SendNow), follower.WithMinOutage(minOutageReportIntervals*s.ReportInterval))
			return follower.New(f.Find(platformName).(*platform.Client), kind, handler(f), f.Find(clockName).(clockwork.Clock), log, opts...), nil, nil
		})
	}
	follow(configName, platform.ConfigKind, documentsName, func(f registrar.Finder) follower.Handler {
		return importer.New(platform.NewConfigTranslator().Translate, platform.ConfigName, f.Find(documentsName).(*keeper.Keeper), log)
	})
	follow(upstreamsName, platform.UpstreamKind, discoverName, func(f registrar.Finder) follower.Handler {
		return f.Find(discoverName).(*discoverer.Discoverer).Upstreams()
	})
	follow(drainsName, platform.DrainKind, discoverName, func(f registrar.Finder) follower.Handler {
		return f.Find(discoverName).(*discoverer.Discoverer).Drains()
	})
}

// registerSeenVersions makes VMs exchange, in heartbeats, the store versions up to which
// they have seen the records.
func registerSeenVersions(r *registrar.Registrar) {
	r.Register(seenVersionsName, append([]registrar.Name{membersName}, followerNames...), func(f registrar.Finder) (any, func(), error) {
		all := followers(f)
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		members.SetApplying(f.Find(configName).(*follower.Follower).Applying)
		members.SetRecordHooks(
			func() []tracker.SeenVersion { return seenVersions(all) },
			func(versions []tracker.SeenVersion) { observePeerVersions(all, versions) },
			func() bool { return slices.ContainsFunc(all, (*follower.Follower).StoreUnreachable) })
		return all, nil, nil
	})
}

// followers returns the followers of the store's records.
func followers(f registrar.Finder) []*follower.Follower {
	all := make([]*follower.Follower, len(followerNames))
	for i, name := range followerNames {
		all[i] = f.Find(name).(*follower.Follower)
	}
	return all
}

// latestEra returns a function that returns the latest era of the store that any of the
// followers has seen.
func latestEra(all []*follower.Follower) func() storer.Era {
	return func() storer.Era {
		era := storer.Era(0)
		for _, f := range all {
			era = max(era, f.SeenVersion().Era)
		}
		return era
	}
}

// seenVersions returns the store version that each follower has seen.
func seenVersions(all []*follower.Follower) []tracker.SeenVersion {
	out := make([]tracker.SeenVersion, len(all))
	for i, f := range all {
		out[i] = tracker.SeenVersion{Kind: f.Kind(), Version: f.SeenVersion()}
	}
	return out
}

// observePeerVersions passes the store versions that a peer has seen to the followers.
func observePeerVersions(all []*follower.Follower, versions []tracker.SeenVersion) {
	for _, seen := range versions {
		for _, f := range all {
			if f.Kind() == seen.Kind {
				f.ObservePeerVersion(seen.Version)
			}
		}
	}
}

func registerSteering(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	deps := []registrar.Name{clockName, documentsName, discoverName, membersName, upstreamsName, quarantineName, accountsName, talliesName, limitsName}
	r.Register(steerName, deps, func(f registrar.Finder) (any, func(), error) {
		clock := f.Find(clockName).(clockwork.Clock)
		upstreamClient, cleanup := exchanger.New(clock)
		self := selector.Self{VM: s.VM, Zone: s.Zone, Region: s.Region, Regions: s.Regions}
		budget := steerer.RetryBudget{Ratio: s.Routing.RetryRatio, Window: s.Routing.RetryWindow, Started: clock.Now()}
		st := steerer.New(self, platform.Headers(), budget, upstreamClient, clock, log)
		st.SetMaxUpstreamBytes(s.Limits.MaxUpstreamBytes)
		upstreamClient.OnLost(st.RecordLost)
		upstreams := f.Find(upstreamsName).(*follower.Follower)
		st.SetViewAgeFunc(func() time.Duration {
			age, _ := upstreams.Age()
			return age
		})
		st.SetAuthenticator(f.Find(accountsName).(*gatekeeper.Gatekeeper), f.Find(talliesName).(*tallier.Tallier))
		st.SetLimiter(f.Find(limitsName).(*lender.Lender))
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		st.SetQuarantine(f.Find(quarantineName).(*quarantiner.Quarantiner), members.SendEvidence)
		counter := newMemberCounter(st, members, clock, s)
		members.OnChange(counter.update)
		counter.update()
		f.Find(documentsName).(*keeper.Keeper).Subscribe(func(snapshot *keeper.Snapshot) {
			st.SetDocument(snapshot.Head.Generation, snapshot.Document)
			members.SendNow()
		})
		f.Find(discoverName).(*discoverer.Discoverer).OnChange(st.SetUpstreams)
		members.SetDemands(func() []tracker.Demand { return demandsOf(st) })
		return st, cleanup, nil
	})
	deps = append([]registrar.Name{clockName, platformName, steerName, membersName}, followerNames...)
	r.Register(placementsName, deps, func(f registrar.Finder) (any, func(), error) {
		return &placementUpdater{
			steerer:   f.Find(steerName).(*steerer.Steerer),
			members:   f.Find(membersName).(*heartbeater.Heartbeater),
			notes:     storer.New(f.Find(platformName).(*platform.Client)),
			latestEra: latestEra(followers(f)),
			clock:     f.Find(clockName).(clockwork.Clock),
			log:       log,
		}, nil, nil
	})
}

func registerRoutedFront(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	r.Register(callersName, []registrar.Name{clockName, steerName}, func(f registrar.Finder) (any, func(), error) {
		limits := receiver.Limits{MaxInFlight: int64(s.Limits.MaxInFlight), MaxBufferedBytes: s.Limits.MaxBufferedBytes}
		return receiver.New(f.Find(steerName).(*steerer.Steerer), platform.Headers(), limits,
			f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	r.Register(pipelineName, []registrar.Name{clockName, steerName, callersName}, func(f registrar.Finder) (any, func(), error) {
		st := f.Find(steerName).(*steerer.Steerer)
		admit := func(r *http.Request) bool { return st.MayRunBeside(r.Host, r.URL.EscapedPath()) }
		limits := pipeliner.Limits{Requests: s.Limits.MaxReadAhead, Bytes: s.Limits.MaxReadAheadBytes}
		return pipeliner.New(f.Find(callersName).(*receiver.Receiver), admit, limits, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	r.Register(sweepName, []registrar.Name{clockName, steerName, memoryName, pipelineName}, func(f registrar.Finder) (any, func(), error) {
		st := f.Find(steerName).(*steerer.Steerer)
		idleTimeout := func() time.Duration {
			limits, _ := st.Ingress()
			return limits.CallerIdleTimeout
		}
		account := f.Find(memoryName).(*accountant.Accountant)
		return sweeper.New(idleTimeout, f.Find(clockName).(clockwork.Clock), log, sweeper.WithAccount(account), sweeper.WithPipeliner(f.Find(pipelineName).(*pipeliner.Pipeliner))), nil, nil
	})
	r.Register(frontName, []registrar.Name{portsName, callersName, sweepName, graceName, clockName}, func(f registrar.Finder) (any, func(), error) {
		sweep := f.Find(sweepName).(*sweeper.Sweeper)
		front := f.Find(callersName).(*receiver.Receiver)
		server := &http.Server{
			Handler:           sweep.Handler(front),
			ReadHeaderTimeout: s.Limits.ReadTimeout,
			ConnState:         sweep.Track,
			ConnContext:       sweep.WithConn,
			MaxHeaderBytes:    maxHeadBytes,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		}
		return &webServer{
			server: server, listener: f.Find(portsName).(*listeners).callers, sweeper: sweep, beginStop: front.RefuseNew,
			shutdownTimeout: f.Find(graceName).(*gracePeriod).httpShutdownTimeout, clock: f.Find(clockName).(clockwork.Clock), log: log,
		}, nil, nil
	})
	r.Register(lookupServerName, []registrar.Name{portsName, membersName, steerName, reloadName, graceName, clockName, memoryName}, func(f registrar.Finder) (any, func(), error) {
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		st := f.Find(steerName).(*steerer.Steerer)
		locate := func(host string, p locator.Location) []string {
			return locator.Choose(p, membersAndSelf(members), st.PermittedRegions(host))
		}
		settings := f.Find(reloadName).(*reloader.Reloader)
		ttl := func() time.Duration { return settings.Current().Routing.LookupTTL }
		return newAdminServer(f, f.Find(portsName).(*listeners).lookup, platform.LookupHandler(locate, ttl), log), nil, nil
	})
	registerReadiness(r, log)
	deps := append([]registrar.Name{portsName, diagnosisName, clockName, platformName, steerName, documentsName, callersName, sweepName, quarantineName, accountsName, talliesName, limitsName, graceName, memoryName, pipelineName}, followerNames...)
	r.Register(operatorsName, deps, func(f registrar.Finder) (any, func(), error) {
		server := &http.Server{Handler: routedMetrics(f), ReadHeaderTimeout: adminHeadTimeout}
		return newWebServer(server, f.Find(portsName).(*listeners).operators, f.Find(graceName).(*gracePeriod).httpShutdownTimeout, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
}

// membersAndSelf returns the known members and this VM.
func membersAndSelf(h *heartbeater.Heartbeater) []tracker.Member {
	self := h.Self()
	if self.Leaving {
		self.State = tracker.Leaving
	}
	return append(h.Members(), self)
}

// newAdminServer returns a server for a handler that is not on callers' request path. Its
// connections count in callers' account.
func newAdminServer(f registrar.Finder, listener net.Listener, handler http.Handler, log *slog.Logger) *webServer {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: adminHeadTimeout}
	clock := f.Find(clockName).(clockwork.Clock)
	account := sweeper.WithAccount(f.Find(memoryName).(*accountant.Accountant))
	return newWebServer(server, listener, f.Find(graceName).(*gracePeriod).httpShutdownTimeout, clock, log, account)
}

func routedMetrics(f registrar.Finder) http.Handler {
	st := f.Find(steerName).(*steerer.Steerer)
	documents := f.Find(documentsName).(*keeper.Keeper)
	m := new(expvar.Map).Init()
	m.Set("requests", expvar.Func(func() any { return st.Counts() }))
	front := f.Find(callersName).(*receiver.Receiver)
	m.Set("latency", expvar.Func(func() any { return front.Latencies() }))
	m.Set("busy", expvar.Func(func() any { return front.InFlight() }))
	sweep := f.Find(sweepName).(*sweeper.Sweeper)
	m.Set("connections", expvar.Func(func() any { return sweep.Counts() }))
	account := f.Find(memoryName).(*accountant.Accountant)
	m.Set("memory", expvar.Func(func() any { return account.Counts() }))
	m.Set("overweight", expvar.Func(func() any { return st.OverweightCount() }))
	ahead := f.Find(pipelineName).(*pipeliner.Pipeliner)
	m.Set("ahead", expvar.Func(func() any { return ahead.Counts() }))
	m.Set("cuts", expvar.Func(func() any { return sweep.Cuts() }))
	m.Set("needs", expvar.Func(func() any { return st.Demand() }))
	m.Set("queues", expvar.Func(func() any { return st.Queues() }))
	quarantine, clock := f.Find(quarantineName).(*quarantiner.Quarantiner), f.Find(clockName).(clockwork.Clock)
	limits := f.Find(limitsName).(*lender.Lender)
	m.Set("limits", expvar.Func(func() any { return limits.Counts() }))
	m.Set("paces", expvar.Func(func() any { return st.Paces() }))
	m.Set("quarantine", expvar.Func(func() any { return quarantine.Counts(clock.Now()) }))
	store := f.Find(platformName).(*platform.Client)
	m.Set("store", expvar.Func(func() any { return store.Counts() }))
	m.Set("views", expvar.Func(func() any { return viewAges(f) }))
	m.Set("accounts", expvar.Func(func() any { return metricsOfAccounts(f) }))
	m.Set("generation", expvar.Func(func() any { return documents.Generation() }))
	diagnosis := f.Find(diagnosisName).(*diagnoser.Diagnoser)
	m.Set("ready", expvar.Func(func() any { return diagnosis.State() }))
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(m.String()))
	})
}

// viewAge is the age of this VM's view of the records of a kind, the highest age since the
// start, what brought the last confirmation, and the bytes learned and sent. The metrics print
// it under its field names.
type viewAge struct {
	Age         time.Duration
	Oldest      time.Duration
	ConfirmedBy follower.Origin
	follower.Counts
}

func viewAges(f registrar.Finder) map[storer.Kind]viewAge {
	ages := make(map[storer.Kind]viewAge, len(followerNames))
	for _, name := range followerNames {
		records := f.Find(name).(*follower.Follower)
		age, oldest := records.Age()
		ages[records.Kind()] = viewAge{Age: age, Oldest: oldest, ConfirmedBy: records.ConfirmedBy(), Counts: records.Counts()}
	}
	return ages
}
