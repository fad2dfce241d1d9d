package runner

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/editor"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/watcher"
	"github.com/waxwingloom/waxwingloom/internal/front/operator"
	"github.com/waxwingloom/waxwingloom/internal/front/responder"
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

// The names of the daemon's services.
const (
	clockName     registrar.Name = "clock"
	portsName     registrar.Name = "ports"
	platformName  registrar.Name = "platform"
	documentsName registrar.Name = "documents"
	peersName     registrar.Name = "peers"
	membersName   registrar.Name = "members"
	watchName     registrar.Name = "watch"
	tokensName    registrar.Name = "tokens"
	routerName    registrar.Name = "router"
	placesName    registrar.Name = "places"
	ordinalsName  registrar.Name = "ordinals"
	callersName   registrar.Name = "callers"
	operatorsName registrar.Name = "operators"
	metricsName   registrar.Name = "metrics"
	answersName   registrar.Name = "answers"
	frontName     registrar.Name = "front"
	deskName      registrar.Name = "desk"
)

const (
	// shutdownTime bounds the wait for connections after the planned stop.
	shutdownTime = 2 * time.Second
	idleTime     = 2 * time.Minute
	// headSlack is what the HTTP library may read beyond the head's limit, so
	// that a head over the limit gets an answer in the usual form.
	headSlack = 64 << 10
)

type (
	// ports are the daemon's open listeners and who it is.
	ports struct {
		callers     net.Listener
		operators   net.Listener
		peers       net.Listener
		incarnation namer.Incarnation
	}

	// webServer serves HTTP on a listener. After its end it waits for requests
	// in progress for the linger time.
	webServer struct {
		server   *http.Server
		listener net.Listener
		linger   time.Duration
	}

	// peerServer answers peers.
	peerServer struct {
		messenger *messenger.Messenger
		answerer  *answerer.Answerer
	}
)

// Serve implements registrar.Server.
func (w *webServer) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- w.server.Serve(w.listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving HTTP")
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.linger)
	defer cancel()
	if err := w.server.Shutdown(ctx); err != nil {
		return errors.Wrap(w.server.Close(), "closing connections")
	}
	return nil
}

// Serve implements registrar.Server.
func (p *peerServer) Serve(ctx context.Context) error {
	return p.messenger.Serve(ctx, p.answerer)
}

func register(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	registerBase(r, s, log)
	r.Register(platformName, nil, func(registrar.Finder) (any, func(), error) {
		p, cleanup := platform.NewStorer(s.Platform)
		return p, cleanup, nil
	})
	registerMembers(r, s, log)
	registerTokens(r, s, log)
	registerFront(r, s, log)
}

// registerBase registers what every daemon has.
func registerBase(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	r.Register(clockName, nil, func(registrar.Finder) (any, func(), error) {
		return clockwork.NewRealClock(), nil, nil
	})
	r.Register(portsName, nil, func(registrar.Finder) (any, func(), error) { return openPorts(s, log) })
	r.Register(documentsName, nil, func(registrar.Finder) (any, func(), error) {
		return keeper.New(log), nil, nil
	})
	r.Register(peersName, []registrar.Name{portsName}, func(f registrar.Finder) (any, func(), error) {
		p := f.Find(portsName).(*ports)
		self := messenger.Identity{VM: s.VM, Incarnation: p.incarnation}
		return wrap(messenger.New(p.peers, self, s.Keys, messenger.WithLogger(log)))
	})
}

func newMembers(f registrar.Finder, s loader.Settings, log *slog.Logger, services heartbeater.Services) *heartbeater.Heartbeater {
	p := f.Find(portsName).(*ports)
	clock := f.Find(clockName).(clockwork.Clock)
	peers := f.Find(peersName).(*messenger.Messenger)
	services.Peers = peers
	services.Documents = f.Find(documentsName).(*keeper.Keeper)
	h := heartbeater.New(p.member(s, clock.Now()), services, s.Seeds, timing(s), clock, log)
	peers.OnDisconnect(func(id messenger.Identity) { h.MarkUnreachable(id.Incarnation) })
	return h
}

func registerMembers(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	needs := []registrar.Name{portsName, clockName, peersName, platformName, documentsName}
	r.Register(membersName, needs, func(f registrar.Finder) (any, func(), error) {
		return newMembers(f, s, log, heartbeater.Services{Lister: f.Find(platformName).(*storer.Storer)}), nil, nil
	})
	needs = []registrar.Name{clockName, platformName, documentsName, membersName}
	r.Register(watchName, needs, func(f registrar.Finder) (any, func(), error) {
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		documents := f.Find(documentsName).(*keeper.Keeper)
		documents.Subscribe(func(*keeper.Force) { members.SendNow() })
		clock := f.Find(clockName).(clockwork.Clock)
		return watcher.New(f.Find(platformName).(*storer.Storer), documents, members.IsGateway, clock, log), nil, nil
	})
	needs = []registrar.Name{documentsName, membersName}
	r.Register(placesName, needs, func(f registrar.Finder) (any, func(), error) {
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		director := placer.NewDirector(func() []tracker.Member { return everyone(members) })
		f.Find(documentsName).(*keeper.Keeper).Subscribe(director.SetForce)
		members.OnChange(director.Refresh)
		return director, nil, nil
	})
}

func registerTokens(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	needs := []registrar.Name{portsName, clockName, peersName}
	r.Register(tokensName, needs, func(f registrar.Finder) (any, func(), error) {
		p := f.Find(portsName).(*ports)
		self := conductor.Identity{VM: s.VM, Incarnation: p.incarnation, PeerAddress: p.advertised(s)}
		return wrap(conductor.New(self, f.Find(peersName).(*messenger.Messenger), f.Find(clockName).(clockwork.Clock),
			conductor.WithLogger(log), conductor.WithMaxTokens(s.Limits.Tokens), conductor.WithMaxStoredBodyBytes(s.Limits.AnswerBytes)))
	})
	needs = []registrar.Name{clockName, peersName, membersName, documentsName, tokensName}
	r.Register(routerName, needs, func(f registrar.Finder) (any, func(), error) {
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		self := dispatcher.Self{VM: s.VM, Zone: s.Zone, Region: s.Region}
		d, cleanup := dispatcher.New(self, f.Find(peersName).(*messenger.Messenger), members,
			f.Find(clockName).(clockwork.Clock), log)
		f.Find(documentsName).(*keeper.Keeper).Subscribe(d.SetDocument)
		f.Find(tokensName).(*conductor.Conductor).SetDispatcher(d)
		members.SetFreeCapacity(d.FreeCapacity)
		return d, cleanup, nil
	})
	needs = []registrar.Name{portsName, clockName, platformName, documentsName, routerName}
	r.Register(ordinalsName, needs, func(f registrar.Finder) (any, func(), error) {
		self := claimer.Self{VM: s.VM, Zone: s.Zone, Incarnation: f.Find(portsName).(*ports).incarnation}
		return claimer.New(self, f.Find(platformName).(*storer.Storer), f.Find(documentsName).(*keeper.Keeper),
			f.Find(clockName).(clockwork.Clock), log, f.Find(routerName).(*dispatcher.Dispatcher).SetOrdinal), nil, nil
	})
}

func registerFront(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	needs := []registrar.Name{clockName, documentsName, membersName, tokensName, routerName, placesName}
	r.Register(callersName, needs, func(f registrar.Finder) (any, func(), error) {
		services := responder.Services{
			Placer:    f.Find(placesName).(*placer.Director),
			Tokens:    f.Find(tokensName).(*conductor.Conductor),
			Router:    f.Find(routerName).(*dispatcher.Dispatcher),
			Members:   f.Find(membersName).(*heartbeater.Heartbeater),
			Documents: f.Find(documentsName).(*keeper.Keeper),
		}
		self := responder.Identity{VM: s.VM, Zone: s.Zone, Region: s.Region}
		return responder.New(self, services, s.Limits, s.Timing.TokenLife, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	r.Register(frontName, []registrar.Name{portsName, callersName}, func(f registrar.Finder) (any, func(), error) {
		server := &http.Server{
			Handler:           f.Find(callersName).(*responder.Responder).Handler(),
			ReadHeaderTimeout: s.Limits.ReadTime,
			IdleTimeout:       idleTime,
			MaxHeaderBytes:    s.Limits.HeadBytes + headSlack,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		}
		return &webServer{server: server, listener: f.Find(portsName).(*ports).callers, linger: shutdownTime}, nil, nil
	})
	needs = []registrar.Name{callersName, documentsName, routerName, tokensName}
	r.Register(metricsName, needs, func(f registrar.Finder) (any, func(), error) {
		return metrics(f), nil, nil
	})
	needs = []registrar.Name{clockName, platformName, documentsName, membersName, placesName, metricsName, portsName}
	r.Register(operatorsName, needs, func(f registrar.Finder) (any, func(), error) {
		clock := f.Find(clockName).(clockwork.Clock)
		services := operator.Services{
			Editor:    editor.New(f.Find(platformName).(*storer.Storer), clock),
			Documents: f.Find(documentsName).(*keeper.Keeper),
			Members:   f.Find(membersName).(*heartbeater.Heartbeater),
			Placer:    f.Find(placesName).(*placer.Director),
			Metrics:   f.Find(metricsName).(*expvar.Map),
		}
		server := &http.Server{
			Handler:           operator.New(services, s.Owners, clock, log).Handler(),
			ReadHeaderTimeout: s.Limits.ReadTime,
			ReadTimeout:       s.Limits.ReadTime,
		}
		return &webServer{server: server, listener: f.Find(portsName).(*ports).operators, linger: shutdownTime}, nil, nil
	})
	needs = []registrar.Name{clockName, peersName, membersName, tokensName, routerName, documentsName}
	r.Register(answersName, needs, func(f registrar.Finder) (any, func(), error) {
		services := answerer.Services{
			Members:   f.Find(membersName).(*heartbeater.Heartbeater),
			Tokens:    f.Find(tokensName).(*conductor.Conductor),
			Router:    f.Find(routerName).(*dispatcher.Dispatcher),
			Documents: f.Find(documentsName).(*keeper.Keeper),
		}
		return &peerServer{
			messenger: f.Find(peersName).(*messenger.Messenger),
			answerer:  answerer.New(services, f.Find(clockName).(clockwork.Clock), log),
		}, nil, nil
	})
}

// openPorts opens every listener before any service starts, and logs where it
// listens, since port 0 leaves the choice to the kernel.
func openPorts(s loader.Settings, log *slog.Logger) (any, func(), error) {
	p := &ports{}
	var err error
	if p.incarnation, err = namer.RandomIncarnation(); err != nil {
		return nil, nil, err
	}
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{{&p.callers, s.Callers}, {&p.operators, s.Operators}, {&p.peers, s.Peers}} {
		if *open.listener, err = net.Listen("tcp", open.address); err != nil {
			p.close()
			return nil, nil, errors.Wrap(err, "opening a listener")
		}
	}
	log.Info("listening", "callers", p.callers.Addr().String(), "operators", p.operators.Addr().String(),
		"peers", p.peers.Addr().String(), "incarnation", p.incarnation.String())
	return p, p.close, nil
}

func (p *ports) close() {
	for _, ln := range []net.Listener{p.callers, p.operators, p.peers} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func (p *ports) member(s loader.Settings, now time.Time) tracker.Member {
	return tracker.Member{
		VM:              s.VM,
		Zone:            s.Zone,
		Region:          s.Region,
		CallerAddress:   p.callers.Addr().String(),
		PeerAddress:     p.advertised(s),
		OperatorAddress: p.operators.Addr().String(),
		Incarnation:     p.incarnation,
		Started:         now,
	}
}

// advertised returns where peers reach this daemon.
func (p *ports) advertised(s loader.Settings) string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return p.peers.Addr().String()
}

func timing(s loader.Settings) heartbeater.Timing {
	t := heartbeater.Timing{
		HeartbeatInterval: s.Timing.Heartbeat,
		ListInterval:      s.Timing.Poll,
		Tracker:           tracker.Timing{SuspectTimeout: s.Timing.Suspect, DeadTimeout: s.Timing.Dead},
	}
	if s.Routed() {
		t.PullDelay = pullAfter
	}
	return t
}

// everyone returns the members in view and this VM, which is left out of
// look-ups while it is leaving.
func everyone(h *heartbeater.Heartbeater) []tracker.Member {
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
	m.Set("stale", expvar.Func(func() any { return documents.Stale() }))
	m.Set("use", expvar.Func(func() any { return router.Usage() }))
	m.Set("busy", expvar.Func(func() any { return tokens.InFlight() }))
	m.Set("once", expvar.Func(func() any { return tokens.TokenCounts() }))
	return m
}

// wrap makes a constructor's result fit a builder's.
func wrap(service any, cleanup func(), err error) (any, func(), error) {
	return service, cleanup, err
}
