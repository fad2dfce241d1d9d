package runner

import (
	"cmp"
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/editor"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/watcher"
	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/front/operator"
	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/kernel/registrar"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/conductor"
	"github.com/waxwingloom/waxwingloom/internal/peer/answerer"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/placer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/share/claimer"
	"github.com/waxwingloom/waxwingloom/platform"
)

// Names of the daemon's services. callersName names the handler of callers' requests and
// frontName the HTTP server that runs it.
const (
	clockName       registrar.Name = "clock"
	memoryName      registrar.Name = "memory"
	portsName       registrar.Name = "ports"
	platformName    registrar.Name = "platform"
	documentsName   registrar.Name = "documents"
	peersName       registrar.Name = "peers"
	membersName     registrar.Name = "members"
	watchName       registrar.Name = "watch"
	tokensName      registrar.Name = "tokens"
	routerName      registrar.Name = "router"
	lookupTableName registrar.Name = "places"
	ordinalsName    registrar.Name = "ordinals"
	callersName     registrar.Name = "callers"
	operatorsName   registrar.Name = "operators"
	metricsName     registrar.Name = "metrics"
	peerServerName  registrar.Name = "answers"
	frontName       registrar.Name = "front"
	deskName        registrar.Name = "desk"
)

const (
	// unroutedShutdownTimeout is how long an HTTP server of a daemon without routes waits for
	// its last requests after the planned shutdown.
	unroutedShutdownTimeout = 2 * time.Second
	// idleTimeout is how long a caller's idle connection is kept.
	idleTimeout = 2 * time.Minute
	// headMarginBytes is how much net/http may read beyond the limit of a request's head,
	// so that a request whose head exceeds the limit gets a response in the usual form.
	headMarginBytes = 64 << 10
)

type (
	// listeners holds the daemon's open listeners and its incarnation. Only a routed daemon has
	// ready and lookup.
	listeners struct {
		callers     net.Listener
		operators   net.Listener
		peers       net.Listener
		ready       net.Listener
		lookup      net.Listener
		incarnation namer.Incarnation
	}

	// peerServer serves requests of other entry VMs.
	peerServer struct {
		messenger *messenger.Messenger
		answerer  *answerer.Answerer
	}
)

// Serve implements registrar.Server.
func (s *peerServer) Serve(ctx context.Context) error {
	return s.messenger.Serve(ctx, s.answerer)
}

// register registers the services of a daemon without routes.
func register(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	registerCommon(r, s, log)
	r.Register(platformName, nil, func(registrar.Finder) (any, func(), error) {
		p, cleanup := platform.NewStorer(s.PlatformAddress)
		return p, cleanup, nil
	})
	registerMembers(r, s, log)
	registerTokens(r, s, log)
	registerFront(r, s, log)
}

// registerCommon registers the services that daemons with and without routes share.
func registerCommon(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	r.Register(clockName, nil, func(registrar.Finder) (any, func(), error) {
		return clockwork.NewRealClock(), nil, nil
	})
	r.Register(memoryName, nil, func(registrar.Finder) (any, func(), error) {
		limitHeap(s.Limits, log)
		return accountant.New(callerLimits(s.Limits, log)), nil, nil
	})
	r.Register(portsName, []registrar.Name{clockName}, func(f registrar.Finder) (any, func(), error) {
		return openListeners(s, f.Find(clockName).(clockwork.Clock), log)
	})
	r.Register(documentsName, nil, func(registrar.Finder) (any, func(), error) {
		return keeper.New(log), nil, nil
	})
	r.Register(peersName, []registrar.Name{portsName}, func(f registrar.Finder) (any, func(), error) {
		l := f.Find(portsName).(*listeners)
		self := messenger.Identity{VM: s.VM, Incarnation: l.incarnation}
		return builderResult(messenger.New(l.peers, self, s.PeerKeys, messenger.WithLogger(log)))
	})
}

func newHeartbeater(f registrar.Finder, s loader.Settings, log *slog.Logger, deps heartbeater.Dependencies) *heartbeater.Heartbeater {
	l := f.Find(portsName).(*listeners)
	clock := f.Find(clockName).(clockwork.Clock)
	peers := f.Find(peersName).(*messenger.Messenger)
	deps.Peers = peers
	deps.Documents = f.Find(documentsName).(*keeper.Keeper)
	h := heartbeater.New(l.selfMember(s, clock.Now()), deps, s.Seeds, heartbeatTiming(s), clock, log)
	peers.OnDisconnect(func(id messenger.Identity) { h.MarkUnreachable(id.Incarnation) })
	return h
}

func registerMembers(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	deps := []registrar.Name{portsName, clockName, peersName, platformName, documentsName}
	r.Register(membersName, deps, func(f registrar.Finder) (any, func(), error) {
		return newHeartbeater(f, s, log, heartbeater.Dependencies{Lister: f.Find(platformName).(*storer.Storer)}), nil, nil
	})
	deps = []registrar.Name{clockName, platformName, documentsName, membersName}
	r.Register(watchName, deps, func(f registrar.Finder) (any, func(), error) {
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		documents := f.Find(documentsName).(*keeper.Keeper)
		documents.Subscribe(func(*keeper.Snapshot) { members.SendNow() })
		clock := f.Find(clockName).(clockwork.Clock)
		return watcher.New(f.Find(platformName).(*storer.Storer), documents, members.IsGateway, clock, log), nil, nil
	})
	deps = []registrar.Name{documentsName, membersName}
	r.Register(lookupTableName, deps, func(f registrar.Finder) (any, func(), error) {
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		table := placer.NewLiveTable(func() []tracker.Member { return lookupMembers(members) })
		f.Find(documentsName).(*keeper.Keeper).Subscribe(table.SetDocument)
		members.OnChange(table.Refresh)
		return table, nil, nil
	})
}

func registerTokens(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	deps := []registrar.Name{portsName, clockName, peersName}
	r.Register(tokensName, deps, func(f registrar.Finder) (any, func(), error) {
		l := f.Find(portsName).(*listeners)
		self := conductor.Self{VM: s.VM, Incarnation: l.incarnation, PeerAddress: l.peerAddress(s)}
		return builderResult(conductor.New(self, f.Find(peersName).(*messenger.Messenger), f.Find(clockName).(clockwork.Clock),
			conductor.WithLogger(log), conductor.WithMaxTokens(s.Limits.MaxTokens), conductor.WithMaxStoredBodyBytes(s.Limits.MaxStoredBodyBytes)))
	})
	deps = []registrar.Name{clockName, peersName, membersName, documentsName, tokensName}
	r.Register(routerName, deps, func(f registrar.Finder) (any, func(), error) {
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		self := dispatcher.Self{VM: s.VM, Zone: s.Zone, Region: s.Region}
		d, cleanup := dispatcher.New(self, f.Find(peersName).(*messenger.Messenger), members,
			f.Find(clockName).(clockwork.Clock), log, dispatcher.WithMaxBufferedBytes(cmp.Or(s.Limits.MaxBufferedBytes, defaultMaxBufferedBytes)))
		f.Find(documentsName).(*keeper.Keeper).Subscribe(d.SetDocument)
		f.Find(tokensName).(*conductor.Conductor).SetDispatcher(d)
		members.SetFreeCapacity(d.FreeCapacity)
		return d, cleanup, nil
	})
	deps = []registrar.Name{portsName, clockName, platformName, documentsName, routerName}
	r.Register(ordinalsName, deps, func(f registrar.Finder) (any, func(), error) {
		self := claimer.Self{VM: s.VM, Zone: s.Zone, Incarnation: f.Find(portsName).(*listeners).incarnation}
		return claimer.New(self, f.Find(platformName).(*storer.Storer), f.Find(documentsName).(*keeper.Keeper),
			f.Find(clockName).(clockwork.Clock), log, f.Find(routerName).(*dispatcher.Dispatcher).SetOrdinal), nil, nil
	})
}

func registerFront(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	deps := []registrar.Name{clockName, documentsName, membersName, tokensName, routerName, lookupTableName}
	r.Register(callersName, deps, func(f registrar.Finder) (any, func(), error) {
		deps := responder.Dependencies{
			Placer:    f.Find(lookupTableName).(*placer.LiveTable),
			Tokens:    f.Find(tokensName).(*conductor.Conductor),
			Router:    f.Find(routerName).(*dispatcher.Dispatcher),
			Members:   f.Find(membersName).(*heartbeater.Heartbeater),
			Documents: f.Find(documentsName).(*keeper.Keeper),
		}
		self := responder.Self{VM: s.VM, Zone: s.Zone, Region: s.Region}
		return responder.New(self, deps, s.Limits, s.Timing.TokenTTL, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	r.Register(frontName, []registrar.Name{portsName, callersName, clockName, memoryName}, func(f registrar.Finder) (any, func(), error) {
		server := &http.Server{
			Handler:           f.Find(callersName).(*responder.Responder).Handler(),
			ReadHeaderTimeout: s.Limits.ReadTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    s.Limits.MaxHeadBytes + headMarginBytes,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		}
		account := sweeper.WithAccount(f.Find(memoryName).(*accountant.Accountant))
		return newWebServer(server, f.Find(portsName).(*listeners).callers, httpShutdownTimeout, f.Find(clockName).(clockwork.Clock), log, account), nil, nil
	})
	deps = []registrar.Name{callersName, documentsName, routerName, tokensName, memoryName}
	r.Register(metricsName, deps, func(f registrar.Finder) (any, func(), error) {
		return metrics(f), nil, nil
	})
	deps = []registrar.Name{clockName, platformName, documentsName, membersName, lookupTableName, metricsName, portsName}
	r.Register(operatorsName, deps, func(f registrar.Finder) (any, func(), error) {
		clock := f.Find(clockName).(clockwork.Clock)
		deps := operator.Dependencies{
			Editor:    editor.New(f.Find(platformName).(*storer.Storer), clock),
			Documents: f.Find(documentsName).(*keeper.Keeper),
			Members:   f.Find(membersName).(*heartbeater.Heartbeater),
			Placer:    f.Find(lookupTableName).(*placer.LiveTable),
			Metrics:   f.Find(metricsName).(*expvar.Map),
		}
		server := &http.Server{
			Handler:           operator.New(deps, s.Operators, clock, log).Handler(),
			ReadHeaderTimeout: s.Limits.ReadTimeout,
			ReadTimeout:       s.Limits.ReadTimeout,
		}
		return newWebServer(server, f.Find(portsName).(*listeners).operators, httpShutdownTimeout, clock, log), nil, nil
	})
	deps = []registrar.Name{clockName, peersName, membersName, tokensName, routerName, documentsName}
	r.Register(peerServerName, deps, func(f registrar.Finder) (any, func(), error) {
		deps := answerer.Dependencies{
			Members:   f.Find(membersName).(*heartbeater.Heartbeater),
			Tokens:    f.Find(tokensName).(*conductor.Conductor),
			Router:    f.Find(routerName).(*dispatcher.Dispatcher),
			Documents: f.Find(documentsName).(*keeper.Keeper),
		}
		return &peerServer{
			messenger: f.Find(peersName).(*messenger.Messenger),
			answerer:  answerer.New(deps, f.Find(clockName).(clockwork.Clock), log),
		}, nil, nil
	})
}

func (l *listeners) selfMember(s loader.Settings, now time.Time) tracker.Member {
	return tracker.Member{
		VM:              s.VM,
		Zone:            s.Zone,
		Region:          s.Region,
		CallerAddress:   l.callers.Addr().String(),
		PeerAddress:     l.peerAddress(s),
		OperatorAddress: l.operators.Addr().String(),
		Incarnation:     l.incarnation,
		Started:         now,
	}
}

// peerAddress returns the address at which peers reach this daemon.
func (l *listeners) peerAddress(s loader.Settings) string {
	if s.AdvertiseAddress != "" {
		return s.AdvertiseAddress
	}
	return l.peers.Addr().String()
}

func heartbeatTiming(s loader.Settings) heartbeater.Timing {
	t := heartbeater.Timing{
		HeartbeatInterval: s.Timing.HeartbeatInterval,
		ListInterval:      s.Timing.ListInterval,
		Tracker:           tracker.Timing{SuspectTimeout: s.Timing.SuspectTimeout, DeadTimeout: s.Timing.DeadTimeout},
	}
	if s.RoutingEnabled() {
		t.PullDelay = documentPullDelay
	}
	return t
}

// lookupMembers returns the known members and, unless it is shutting down, this VM.
func lookupMembers(h *heartbeater.Heartbeater) []tracker.Member {
	members := h.Members()
	self := h.Self()
	if !self.Leaving {
		members = append(members, self)
	}
	return members
}

func metrics(f registrar.Finder) *expvar.Map {
	counts := f.Find(callersName).(*responder.Responder).Counts()
	documents := f.Find(documentsName).(*keeper.Keeper)
	router := f.Find(routerName).(*dispatcher.Dispatcher)
	tokens := f.Find(tokensName).(*conductor.Conductor)
	m := new(expvar.Map).Init()
	m.Set("lookups", &counts.Lookups)
	m.Set("tokens", &counts.Tokens)
	m.Set("ran", &counts.Ran)
	m.Set("notrun", &counts.NotRun)
	m.Set("unknown", &counts.Unknown)
	m.Set("aborted", &counts.Aborted)
	m.Set("codes", counts.Codes)
	m.Set("generation", expvar.Func(func() any { return documents.Generation() }))
	m.Set("stale", expvar.Func(func() any { return documents.StaleOffers() }))
	m.Set("use", expvar.Func(func() any { return router.Usage() }))
	m.Set("busy", expvar.Func(func() any { return tokens.InFlight() }))
	account := f.Find(memoryName).(*accountant.Accountant)
	m.Set("memory", expvar.Func(func() any { return account.Counts() }))
	m.Set("once", expvar.Func(func() any { return tokens.TokenCounts() }))
	return m
}

// httpShutdownTimeout returns unroutedShutdownTimeout.
func httpShutdownTimeout() time.Duration {
	return unroutedShutdownTimeout
}

// builderResult converts the results of a constructor to those of a registrar.Builder.
func builderResult(service any, cleanup func(), err error) (any, func(), error) {
	return service, cleanup, err
}
