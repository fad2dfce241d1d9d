// Package heartbeater keeps the view of members fresh and spreads what is in
// force. VMs of a zone exchange heartbeats with each other, gateways also with those
// of other zones; whoever is behind pulls the document. The platform's list is a
// hint for the first contact and is read by a zone's gateways only.
//
// It answers the pattern in which hundreds of VMs start at once: a heartbeat tells of
// its sender, of members that changed and of other zones as sums, each bounded, so
// that a VM's messages grow with its zone and not with the square of the fleet.
//
// # Usage
//
//	h := heartbeater.New(self, heartbeater.Services{...}, clock, log)
//	go h.Serve(ctx)
//	for _, m := range h.Members() {
//		// m is another entry VM with its state now.
//	}
package heartbeater

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// othersTold is how many members of each other zone a VM knows: the gateways, which
	// its own zone's gateways hear.
	othersTold = GatewaysPerZone
	// newsBeats is how many heartbeats after a change tell of it, and newsMost
	// bounds the members that one of them tells of.
	newsBeats = 3
	newsMost  = 16
	// wholeBeats is how many heartbeats pass between two that tell all of a VM that
	// the receiver knows.
	wholeBeats = 20
	// informBeats is how many heartbeats pass between two that tell a VM of other
	// zones, and informMost bounds the zones that one of them tells of.
	informBeats = 6
	informMost  = 16
	// farBeats is how many heartbeats of a zone pass between two to another zone.
	farBeats = 2
	// quietBeats is how many heartbeats a VM waits for one from the peer whose
	// turn it is to send.
	quietBeats = 1.5
	// settleBeats is how many heartbeats a VM that has just started waits for those
	// of its zone before it takes itself for a gateway.
	settleBeats = 3
	// meetTime is how long a VM that has just started waits for the first answer of a
	// peer before it does what the first of all does. It is over the time that seeds
	// take to answer hundreds of VMs that start at once.
	meetTime = time.Second
	// helloAgain is how soon a VM that has just started asks its seeds again that did not
	// answer, since they may start at the same time.
	helloAgain = 100 * time.Millisecond
	// listAfter is how many heartbeats a VM that knows nobody waits for its seeds
	// before it reads the platform's list.
	listAfter = 2
)

type (
	// PeerClient sends a request to another entry VM.
	PeerClient interface {
		Ask(ctx context.Context, address string, want namer.Incarnation, req *encoder.Request) (*encoder.Reply, error)
	}

	// Lister reads the platform's list.
	Lister interface {
		VMs(ctx context.Context) ([]storer.ListedVM, error)
	}

	// Documents holds what is in force.
	Documents interface {
		Current() *keeper.Force
		Generation() namer.Generation
		Adopt(head keeper.Head, sources parser.Sources) (bool, error)
	}

	// Upstreams takes over another VM's view of the upstreams, as long as this
	// one has not listed them.
	Upstreams interface {
		Borrow(v *cataloger.View) bool
		Listed() bool
	}

	// Timing is the heartbeater's intervals.
	Timing struct {
		HeartbeatInterval time.Duration
		ListInterval      time.Duration
		Tracker           tracker.Timing
		// PullDelay is how long a document may take to come by another way
		// before it is pulled from a peer.
		PullDelay time.Duration
	}

	// Services is what a heartbeater works with. Upstreams may be nil.
	Services struct {
		Peers     PeerClient
		Lister    Lister
		Documents Documents
		Upstreams Upstreams
	}

	// Heartbeater keeps one VM's view of the members.
	Heartbeater struct {
		services Services
		seeds    []string
		timing   Timing
		clock    clockwork.Clock
		log      *slog.Logger
		kick     chan struct{}
		// first is closed when a peer is heard for the first time.
		first   chan struct{}
		running sync.WaitGroup

		mu       sync.Mutex
		self     tracker.Member
		begun    time.Time
		tracker  *tracker.Tracker
		listed   []storer.ListedVM
		inFlight map[string]bool
		met      map[string]time.Time
		// news is when each member changed last, informed what each peer was told.
		news      map[namer.VM]time.Time
		informed  map[namer.VM]informed
		states    map[namer.VM]string
		summaries map[namer.Zone]tracker.ZoneSummary
		beats     uint64
		changed   func()
		rooms     func() []tracker.FreeCapacity
		needs     func() []tracker.Demand
		seen      func() []tracker.SeenVersion
		told      func([]tracker.SeenVersion)
		away      func() bool
		pulling   bool
	}
)

// New returns a heartbeater that knows nobody yet. Seeds are addresses of peers
// that it asks while it knows no other.
func New(self tracker.Member, s Services, seeds []string, timing Timing, clock clockwork.Clock, log *slog.Logger) *Heartbeater {
	return &Heartbeater{
		services:  s,
		seeds:     seeds,
		timing:    timing,
		clock:     clock,
		log:       log,
		kick:      make(chan struct{}, 1),
		first:     make(chan struct{}),
		self:      self,
		begun:     clock.Now(),
		tracker:   tracker.New(self.VM, timing.Tracker),
		inFlight:  make(map[string]bool),
		met:       make(map[string]time.Time),
		news:      make(map[namer.VM]time.Time),
		informed:  make(map[namer.VM]informed),
		states:    make(map[namer.VM]string),
		summaries: make(map[namer.Zone]tracker.ZoneSummary),
		changed:   func() {},
		rooms:     func() []tracker.FreeCapacity { return nil },
		needs:     func() []tracker.Demand { return nil },
		seen:      func() []tracker.SeenVersion { return nil },
		told:      func([]tracker.SeenVersion) {},
		away:      func() bool { return false },
	}
}

// OnChange sets what is called when the set of members or a state changed.
func (h *Heartbeater) OnChange(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed = f
}

// SetFreeCapacity sets what tells the weight that this VM has free.
func (h *Heartbeater) SetFreeCapacity(f func() []tracker.FreeCapacity) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rooms = f
}

// SetDemands sets what tells the slots that this VM's callers need.
func (h *Heartbeater) SetDemands(f func() []tracker.Demand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.needs = f
}

// SetRecordHooks sets what tells how far this VM has seen the store's records, what is
// told how far a peer has, and what tells that the store does not answer.
func (h *Heartbeater) SetRecordHooks(seen func() []tracker.SeenVersion, told func([]tracker.SeenVersion), away func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = seen
	h.told = told
	h.away = away
}

// SetSeeds replaces the peers to ask while no other is known.
func (h *Heartbeater) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = seeds
}

// SendNow sends the next heartbeats at once, to spread news.
func (h *Heartbeater) SendNow() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// MarkUnreachable notes that an incarnation could not be reached just now, so that
// look-ups and new tokens leave it out until it is heard again.
func (h *Heartbeater) MarkUnreachable(inc namer.Incarnation) {
	h.mu.Lock()
	news := h.tracker.MarkUnreachable(h.clock.Now(), inc)
	changed := h.changed
	h.mu.Unlock()
	if news {
		h.log.Info("doubted", "incarnation", inc.String(), "reason", "its connection ended")
		changed()
	}
}

// Leave tells every peer from now on that this VM takes no new callers.
func (h *Heartbeater) Leave() {
	h.mu.Lock()
	h.self.Leaving = true
	h.mu.Unlock()
	h.SendNow()
}

// Self returns this VM as it describes itself now.
func (h *Heartbeater) Self() tracker.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.describe()
}

// Members returns every other member with its state now.
func (h *Heartbeater) Members() []tracker.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.View(h.clock.Now())
}

// IsGateway reports whether this VM is one of its zone's gateways.
func (h *Heartbeater) IsGateway() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gateway(h.tracker.View(h.clock.Now()))
}

// RelayParent returns the member from which this VM hears of the store's records, or
// none when it is to ask the store itself.
func (h *Heartbeater) RelayParent() (tracker.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := h.self
	self.StoreUnreachable = h.away()
	return RelayParent(self, h.tracker.View(h.clock.Now()))
}

// IsRelayRoot reports whether this VM is the first of all that it knows, so that few do
// what one has to do for all.
func (h *Heartbeater) IsRelayRoot() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := h.self
	self.StoreUnreachable = h.away()
	_, follows := RelayParent(self, h.tracker.View(h.clock.Now()))
	return !follows
}

// Serve sends heartbeats until ctx ends.
func (h *Heartbeater) Serve(ctx context.Context) error {
	defer h.running.Wait()
	beat := h.clock.NewTicker(h.timing.HeartbeatInterval)
	defer beat.Stop()
	var polled time.Time
	kicked := true
	for {
		if h.polls(polled) {
			polled = h.clock.Now()
			h.running.Go(func() { h.poll(ctx) })
		}
		h.beat(ctx, kicked)
		h.compare()
		select {
		case <-ctx.Done():
			return nil
		case <-beat.Chan():
			kicked = false
		case <-h.kick:
			kicked = true
		}
	}
}

// gateway reports whether this VM is a gateway in the view of members. One that has just
// started can tell only when it has had time to meet the VMs of its zone, or has met
// nobody.
func (h *Heartbeater) gateway(members []tracker.Member) bool {
	settled := h.clock.Since(h.begun) >= settleBeats*h.timing.HeartbeatInterval || len(h.states) == 0
	return settled && IsGateway(h.self.VM, h.self.Zone, members)
}

// polls reports whether it is time to read the platform's list.
func (h *Heartbeater) polls(polled time.Time) bool {
	if h.clock.Since(polled) < h.timing.ListInterval {
		return false
	}
	h.mu.Lock()
	alone := len(h.seeds) > 0 && len(h.tracker.View(h.clock.Now())) == 0
	h.mu.Unlock()
	return !alone || h.clock.Since(h.begun) >= listAfter*h.timing.HeartbeatInterval
}

// WaitForPeer waits until a peer is known, or a VM that has just started has had the time to
// meet one.
func (h *Heartbeater) WaitForPeer(ctx context.Context) {
	h.mu.Lock()
	others := slices.ContainsFunc(h.seeds, func(seed string) bool { return seed != h.self.PeerAddress })
	h.mu.Unlock()
	if !others {
		return
	}
	timer := h.clock.NewTimer(max(0, meetTime-h.clock.Since(h.begun)))
	defer timer.Stop()
	select {
	case <-h.first:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// HandleHeartbeat takes a heartbeat and returns this VM's own. A peer that was not known is
// told of all members that it may need.
func (h *Heartbeater) HandleHeartbeat(ctx context.Context, hb *encoder.Heartbeat) *encoder.Heartbeat {
	peer, known := h.take(ctx, hb)
	return h.compose(peer, known && hb.GetSender().GetPeers() == "", !known)
}

// compare notes which states differ from the last look, and calls the change hook.
func (h *Heartbeater) compare() {
	now := h.clock.Now()
	h.mu.Lock()
	members := h.prune(h.tracker.View(now))
	var changed []string
	states := make(map[namer.VM]string, len(members))
	for _, m := range members {
		state := m.Incarnation.String() + "=" + m.State.String()
		states[m.VM] = state
		if h.states[m.VM] != state {
			h.news[m.VM] = now
			changed = append(changed, string(m.VM)+"/"+state)
		}
	}
	for vm := range h.states {
		if _, ok := states[vm]; !ok {
			delete(h.news, vm)
			delete(h.informed, vm)
			changed = append(changed, string(vm)+"=forgotten")
		}
	}
	h.states = states
	hook := h.changed
	h.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	hook()
	slices.Sort(changed)
	told := changed[:min(len(changed), newsMost)]
	h.log.Info("members changed", "known", len(members), "count", len(changed), "changes", strings.Join(told, " "))
}

// beat sends one heartbeat to every target that has answered the last one. Of
// two VMs the one with the lower name sends, and the other only when it has not
// heard it for a while, or has news.
func (h *Heartbeater) beat(ctx context.Context, news bool) {
	h.mu.Lock()
	if !news {
		h.beats++
	}
	far := news || h.beats%farBeats == 0
	h.mu.Unlock()
	for _, t := range h.targets() {
		if !far && t.zone != h.self.Zone && t.vm != "" {
			continue
		}
		h.mu.Lock()
		skip := h.inFlight[t.address] || !news && h.waitsFor(t)
		if !skip {
			h.inFlight[t.address] = true
		}
		h.mu.Unlock()
		if !skip {
			h.running.Go(func() { h.send(ctx, t) })
		}
	}
}

// waitsFor reports whether a target is expected to send by itself.
func (h *Heartbeater) waitsFor(t target) bool {
	if t.vm == "" || h.self.VM < t.vm {
		return false
	}
	beats := 1.0
	if t.zone != h.self.Zone {
		beats = farBeats
	}
	quiet := h.clock.Since(h.met[t.address])
	return quiet < time.Duration((beats-1+quietBeats)*float64(h.timing.HeartbeatInterval))
}

// again has a VM that has just started and met nobody ask a seed soon once more.
func (h *Heartbeater) again(t target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.vm == "" && len(h.met) == 0 && h.clock.Since(h.begun) < meetTime {
		h.clock.AfterFunc(helloAgain, h.SendNow)
	}
}

func (h *Heartbeater) send(ctx context.Context, t target) {
	defer func() {
		h.mu.Lock()
		delete(h.inFlight, t.address)
		h.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, h.timing.Tracker.SuspectTimeout)
	defer cancel()
	hb := h.compose(tracker.Member{VM: t.vm, Zone: t.zone}, t.vm != "", false)
	req := &encoder.Request{Kind: &encoder.Request_Heartbeat{Heartbeat: hb}}
	reply, err := h.services.Peers.Ask(ctx, t.address, namer.Incarnation{}, req)
	if err != nil {
		h.log.Debug("heartbeat lost", "address", t.address, "reason", err.Error())
		h.again(t)
		return
	}
	if got := reply.GetHeartbeat(); got != nil {
		h.take(ctx, got)
	}
}

func (h *Heartbeater) describe() tracker.Member {
	self := h.self
	self.LastHeard = h.clock.Now()
	self.Generation = h.services.Documents.Generation()
	self.FreeCapacity = h.rooms()
	self.Demands = h.needs()
	self.SeenVersions = h.seen()
	self.StoreUnreachable = h.away()
	return self
}

// take learns from a heartbeat, and pulls the document when the sender's is higher.
// It returns the sender, and whether its process was known before.
func (h *Heartbeater) take(ctx context.Context, hb *encoder.Heartbeat) (tracker.Member, bool) {
	now := h.clock.Now()
	sender, ok := converter.MemberFrom(hb.GetSender(), now)
	if !ok {
		return tracker.Member{}, false
	}
	h.mu.Lock()
	known, met := h.tracker.FindIncarnation(now, sender.Incarnation)
	if sender.PeerAddress == "" {
		if !met {
			h.mu.Unlock()
			return tracker.Member{}, false
		}
		sender.Zone, sender.Region, sender.Started = known.Zone, known.Region, known.Started
		sender.CallerAddress, sender.PeerAddress, sender.OperatorAddress = known.CallerAddress, known.PeerAddress, known.OperatorAddress
	}
	sender.LastHeard = now
	sender.State = tracker.Alive
	// Only gateways hear VMs of other zones all the time.
	sender.Indirect = sender.Zone != h.self.Zone && !h.gateway(h.tracker.View(now))
	h.tracker.Merge(now, sender)
	if !met {
		// A process that has just started knows nothing of what the one before was told.
		delete(h.informed, sender.VM)
	}
	if sender.VM != h.self.VM {
		if len(h.met) == 0 {
			close(h.first)
		}
		h.met[sender.PeerAddress] = now
	}
	h.hearOthers(now, hb)
	told := h.told
	h.mu.Unlock()
	told(sender.SeenVersions)
	h.catchUp(ctx, sender)
	return sender, met
}

// catchUp pulls the document of a peer whose generation is higher. Where the
// document comes by another way as well, that way has some time first.
func (h *Heartbeater) catchUp(ctx context.Context, from tracker.Member) {
	if from.Generation <= h.services.Documents.Generation() {
		return
	}
	if h.timing.PullDelay == 0 || h.services.Documents.Generation() == 0 {
		h.pull(ctx, from)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pulling {
		return
	}
	h.pulling = true
	h.clock.AfterFunc(h.timing.PullDelay, func() {
		// The heartbeat that told of it has been answered by now.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.timing.Tracker.SuspectTimeout)
		defer cancel()
		if from.Generation > h.services.Documents.Generation() {
			h.pull(ctx, from)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.pulling = false
	})
}

func (h *Heartbeater) pull(ctx context.Context, from tracker.Member) {
	borrows := h.services.Upstreams != nil && !h.services.Upstreams.Listed()
	req := &encoder.Request{Kind: &encoder.Request_Pull{Pull: &encoder.Pull{Upstreams: borrows}}}
	reply, err := h.services.Peers.Ask(ctx, from.PeerAddress, from.Incarnation, req)
	if err != nil {
		h.log.Warn("document not pulled", "from", string(from.VM), "reason", err.Error())
		return
	}
	if borrows && reply.GetDocument() != nil {
		h.services.Upstreams.Borrow(converter.UpstreamsFrom(reply.GetDocument()))
	}
	adopted, err := h.adopt(reply.GetDocument())
	if err != nil {
		h.log.Warn("document refused", "from", string(from.VM), "reason", err.Error())
		return
	}
	if adopted {
		h.SendNow()
	}
}

func (h *Heartbeater) adopt(d *encoder.Document) (bool, error) {
	if d == nil {
		return false, errors.New("the peer's reply is no document")
	}
	head, err := keeper.DecodeHead(d.GetHead())
	if err != nil {
		return false, err
	}
	var sources parser.Sources
	for _, sec := range d.GetSections() {
		sources = append(sources, parser.Source{Section: parser.Section(sec.GetName()), Text: sec.GetText()})
	}
	return h.services.Documents.Adopt(head, sources)
}

// poll reads the platform's list, on a gateway or while nobody else is known.
func (h *Heartbeater) poll(ctx context.Context) {
	if !h.IsGateway() {
		return
	}
	listed, err := h.services.Lister.VMs(ctx)
	if err != nil {
		h.log.Warn("list not read", "reason", err.Error())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listed = listed
}

// target is where a heartbeat goes. The VM is empty while it is not known.
type target struct {
	vm      namer.VM
	zone    namer.Zone
	address string
}

// targets returns where to send heartbeats: to the targets, and to listed VMs
// that nobody has told of.
func (h *Heartbeater) targets() []target {
	h.mu.Lock()
	defer h.mu.Unlock()
	members := h.tracker.View(h.clock.Now())
	known := make(map[namer.VM]bool, len(members)+1)
	known[h.self.VM] = true
	for _, m := range members {
		known[m.VM] = true
	}
	var out []target
	for _, m := range Targets(h.self, members, h.gateway(members)) {
		out = append(out, target{vm: m.VM, zone: m.Zone, address: m.PeerAddress})
	}
	asked := make(map[namer.Zone]int)
	for _, l := range h.listed {
		// One of another zone that answers tells of the others.
		if known[l.VM] || l.Zone != h.self.Zone && asked[l.Zone] >= GatewaysPerZone {
			continue
		}
		asked[l.Zone]++
		out = append(out, target{address: l.Peers})
	}
	if len(out) > 0 {
		return out
	}
	for _, seed := range h.seeds {
		out = append(out, target{address: seed})
	}
	return out
}
