// Package heartbeater exchanges heartbeats with other entry VMs. They keep the member
// list current and propagate the generation of the current document. All VMs of a zone
// exchange heartbeats with each other; a zone's gateways also exchange them with the
// gateways of other zones. A VM with an older document pulls the newer one from the
// sender. The platform's VM list only serves to find the first peers and is read by
// gateways only.
//
// A heartbeat carries its sender, members that changed recently and one summary per
// other zone. Each part is bounded, so that a VM's traffic grows with the size of its
// zone and not with the square of the fleet, also when hundreds of VMs start at once.
//
// # Usage
//
//	h := heartbeater.New(self, heartbeater.Dependencies{...}, clock, log)
//	go h.Serve(ctx)
//	for _, m := range h.Members() {
//		// m is another entry VM with its state now.
//	}
package heartbeater

import (
	"context"
	"log/slog"
	"maps"
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
	"github.com/waxwingloom/waxwingloom/internal/peer/packer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// membersPerOtherZone is the number of members of each other zone that a VM keeps.
	// These are that zone's gateways, whose heartbeats the own zone's gateways receive.
	membersPerOtherZone = GatewaysPerZone
	// changeWindowHeartbeats is the number of heartbeats after a member's change that
	// carry it. maxChangesPerHeartbeat bounds the changed members in one heartbeat.
	changeWindowHeartbeats = 3
	maxChangesPerHeartbeat = 16
	// fullSenderIntervalHeartbeats is the number of heartbeats between two that carry the
	// complete sender to a peer that already knows it.
	fullSenderIntervalHeartbeats = 20
	// summaryIntervalHeartbeats is the number of heartbeats between two that carry zone
	// summaries to a peer. maxSummariesPerHeartbeat bounds the zones in one heartbeat.
	summaryIntervalHeartbeats = 6
	maxSummariesPerHeartbeat  = 16
	// crossZoneIntervalHeartbeats is the interval of heartbeats to other zones, in
	// heartbeat intervals within the zone.
	crossZoneIntervalHeartbeats = 2
	// silenceTimeoutHeartbeats is the number of heartbeat intervals that a VM waits for
	// the peer that sends in their pair before it sends a heartbeat itself.
	silenceTimeoutHeartbeats = 1.5
	// gatewayGraceHeartbeats is the number of heartbeat intervals after the start in which
	// a VM does not act as a gateway, because it may not know the VMs of its zone yet.
	gatewayGraceHeartbeats = 3
	// firstContactTimeout is how long a VM waits after its start for the first heartbeat
	// of a peer before it acts as a relay root. It is longer than seeds take to answer
	// hundreds of VMs that start at once.
	firstContactTimeout = time.Second
	// seedRetryInterval is the delay before a VM that has just started contacts a failed
	// seed again. It is short because seeds may be starting at the same time.
	seedRetryInterval = 100 * time.Millisecond
	// listGraceHeartbeats is the number of heartbeat intervals after the start in which a
	// VM that knows no peer relies on its seeds and does not read the platform's VM list.
	listGraceHeartbeats = 2
)

type (
	// PeerClient sends a request to another entry VM.
	PeerClient interface {
		Call(ctx context.Context, address string, want namer.Incarnation, req *encoder.Request) (*encoder.Reply, error)
	}

	// Lister reads the platform's VM list.
	Lister interface {
		VMs(ctx context.Context) ([]storer.ListedVM, error)
	}

	// DocumentKeeper holds the current document.
	DocumentKeeper interface {
		Current() *keeper.Snapshot
		Generation() namer.Generation
		Adopt(head keeper.Head, sources parser.Sources) (bool, error)
	}

	// Upstreams adopts another VM's view of the upstreams until this VM has a list of
	// its own.
	Upstreams interface {
		Borrow(v *cataloger.View) bool
		Listed() bool
	}

	// Evidence is what this VM knows of the requests under which upstreams crashed.
	Evidence interface {
		// Changed returns what changed after a time, Refused what makes this VM refuse
		// requests, and Hash a hash of the set of these requests.
		Changed(after time.Time, limit int) []quarantiner.Record
		Refused(now time.Time, limit int) []quarantiner.Record
		Hash(now time.Time) uint64
		// Merge adds a peer's evidence and reports whether any of it was new.
		Merge(now time.Time, records []quarantiner.Record) bool
	}

	// Timing holds the intervals and timeouts of a heartbeater.
	Timing struct {
		HeartbeatInterval time.Duration
		ListInterval      time.Duration
		Tracker           tracker.Timing
		// PullDelay is how long a newer document may take to arrive through the store's
		// records before it is pulled from a peer. It is 0 where documents do not arrive
		// through records.
		PullDelay time.Duration
	}

	// Dependencies holds the dependencies of a heartbeater. Upstreams and Evidence may be
	// nil.
	Dependencies struct {
		Peers     PeerClient
		Lister    Lister
		Documents DocumentKeeper
		Upstreams Upstreams
		Evidence  Evidence
	}

	// Heartbeater exchanges heartbeats and keeps one VM's view of the members.
	Heartbeater struct {
		deps   Dependencies
		seeds  []string
		timing Timing
		clock  clockwork.Clock
		log    *slog.Logger
		wake   chan struct{}
		// firstContact is closed at the first heartbeat of a peer.
		firstContact chan struct{}
		running      sync.WaitGroup

		mu        sync.Mutex
		self      tracker.Member
		startedAt time.Time
		tracker   *tracker.Tracker
		listed    []storer.ListedVM
		inFlight  map[string]bool
		// heardAt is the time of the last heartbeat from each peer address.
		heardAt map[string]time.Time
		// changedAt is the time of each member's last change. sent records what was last
		// sent to each peer. states has each member's incarnation and state at the last call
		// of detectChanges. intervals counts the heartbeat intervals since the start.
		changedAt map[namer.VM]time.Time
		// refusedHashes has the hash of the requests that each peer refuses. evidenceSentAt
		// is when SendEvidence last sent heartbeats, evidenceDue whether it will again.
		refusedHashes  map[namer.VM]uint64
		evidenceSentAt time.Time
		evidenceDue    bool
		sent           map[namer.VM]sentState
		states         map[namer.VM]string
		summaries      map[namer.Zone]tracker.ZoneSummary
		// zoneSizes has the number of VMs of each zone at the last look for changes.
		zoneSizes        map[namer.Zone]int
		intervals        uint64
		onChange         func()
		freeCapacity     func() []tracker.FreeCapacity
		demands          func() []tracker.Demand
		seenVersions     func() []tracker.SeenVersion
		onPeerVersions   func([]tracker.SeenVersion)
		storeUnreachable func() bool
		accountsStale    func() bool
		// applying is whether a document is being applied. pulling is whether one is being
		// pulled, or is to be after PullDelay.
		applying func() bool
		pulling  bool
	}
)

// New returns a heartbeater that knows no other members yet. Seeds are addresses of
// peers to contact while no other peer is known.
func New(self tracker.Member, deps Dependencies, seeds []string, timing Timing, clock clockwork.Clock, log *slog.Logger) *Heartbeater {
	return &Heartbeater{
		deps:             deps,
		seeds:            seeds,
		timing:           timing,
		clock:            clock,
		log:              log,
		wake:             make(chan struct{}, 1),
		firstContact:     make(chan struct{}),
		self:             self,
		startedAt:        clock.Now(),
		tracker:          tracker.New(self.VM, timing.Tracker),
		inFlight:         make(map[string]bool),
		heardAt:          make(map[string]time.Time),
		changedAt:        make(map[namer.VM]time.Time),
		refusedHashes:    make(map[namer.VM]uint64),
		sent:             make(map[namer.VM]sentState),
		states:           make(map[namer.VM]string),
		summaries:        make(map[namer.Zone]tracker.ZoneSummary),
		onChange:         func() {},
		freeCapacity:     func() []tracker.FreeCapacity { return nil },
		demands:          func() []tracker.Demand { return nil },
		seenVersions:     func() []tracker.SeenVersion { return nil },
		onPeerVersions:   func([]tracker.SeenVersion) {},
		storeUnreachable: func() bool { return false },
		accountsStale:    func() bool { return false },
		applying:         func() bool { return false },
	}
}

// OnChange sets the function that is called when the set of members, a member's state or
// the number of VMs of a zone has changed.
func (h *Heartbeater) OnChange(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = f
}

// SetFreeCapacity sets the function that returns this VM's free capacity.
func (h *Heartbeater) SetFreeCapacity(f func() []tracker.FreeCapacity) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freeCapacity = f
}

// SetDemands sets the function that returns the demand of this VM's callers.
func (h *Heartbeater) SetDemands(f func() []tracker.Demand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demands = f
}

// SetRecordHooks sets the functions that concern the store's records: seen returns the
// versions that this VM has seen, onPeer is called with those of a peer, and unreachable
// reports whether the store does not answer this VM.
func (h *Heartbeater) SetRecordHooks(seen func() []tracker.SeenVersion, onPeer func([]tracker.SeenVersion), unreachable func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seenVersions = seen
	h.onPeerVersions = onPeer
	h.storeUnreachable = unreachable
}

// SetApplying sets the function that reports whether a document that has arrived through the
// store's records is being applied.
func (h *Heartbeater) SetApplying(f func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applying = f
}

// SetSeeds replaces the peers to contact while no other peer is known.
func (h *Heartbeater) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = seeds
}

// SendNow sends heartbeats immediately, so that a change spreads without delay.
func (h *Heartbeater) SendNow() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// MarkUnreachable makes an incarnation suspect because its connection has ended.
// Lookups and new tokens leave it out until its next heartbeat.
func (h *Heartbeater) MarkUnreachable(inc namer.Incarnation) {
	h.mu.Lock()
	wasAlive := h.tracker.MarkUnreachable(h.clock.Now(), inc)
	onChange := h.onChange
	h.mu.Unlock()
	if wasAlive {
		h.log.Info("doubted", "incarnation", inc.String(), "reason", "its connection ended")
		onChange()
	}
}

// BeginShutdown announces in all further heartbeats, starting immediately, that this VM
// takes no new callers.
func (h *Heartbeater) BeginShutdown() {
	h.mu.Lock()
	h.self.Leaving = true
	h.mu.Unlock()
	h.SendNow()
}

// Self returns this VM's own member entry as of now.
func (h *Heartbeater) Self() tracker.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.selfNow()
}

// Members returns every other member with its current state.
func (h *Heartbeater) Members() []tracker.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.View(h.clock.Now())
}

// IsGateway reports whether this VM is one of its zone's gateways.
func (h *Heartbeater) IsGateway() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isGateway(h.tracker.View(h.clock.Now()))
}

// RelayParent returns this VM's relay parent, the member whose updates of the store's
// records it follows, or false on a relay root, which reads the store itself.
func (h *Heartbeater) RelayParent() (tracker.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := h.self
	self.StoreUnreachable = h.storeUnreachable()
	return RelayParent(self, h.tracker.View(h.clock.Now()))
}

// IsRelayRoot reports whether this VM is a relay root: in its own view, it is the root of
// the relay tree. Work that has to be done once for the fleet is done by relay roots only,
// so that few VMs do it.
func (h *Heartbeater) IsRelayRoot() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := h.self
	self.StoreUnreachable = h.storeUnreachable()
	_, hasParent := RelayParent(self, h.tracker.View(h.clock.Now()))
	return !hasParent
}

// Serve sends heartbeats until ctx ends.
func (h *Heartbeater) Serve(ctx context.Context) error {
	defer h.running.Wait()
	ticker := h.clock.NewTicker(h.timing.HeartbeatInterval)
	defer ticker.Stop()
	var listReadAt time.Time
	urgent := true
	for {
		if h.listDue(listReadAt) {
			listReadAt = h.clock.Now()
			h.running.Go(func() { h.readList(ctx) })
		}
		h.sendHeartbeats(ctx, urgent)
		h.detectChanges()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			urgent = false
		case <-h.wake:
			urgent = true
		}
	}
}

// isGateway reports whether this VM is a gateway among the given members. After its start
// it cannot tell until it has had time to hear the VMs of its zone. While it knows no
// member at all, it is a gateway.
func (h *Heartbeater) isGateway(members []tracker.Member) bool {
	settled := h.clock.Since(h.startedAt) >= gatewayGraceHeartbeats*h.timing.HeartbeatInterval || len(h.states) == 0
	return settled && IsGateway(h.self.VM, h.self.Zone, members)
}

// listDue reports whether it is time to read the platform's VM list, which was last read
// at readAt.
func (h *Heartbeater) listDue(readAt time.Time) bool {
	if h.clock.Since(readAt) < h.timing.ListInterval {
		return false
	}
	h.mu.Lock()
	alone := len(h.seeds) > 0 && len(h.tracker.View(h.clock.Now())) == 0
	h.mu.Unlock()
	return !alone || h.clock.Since(h.startedAt) >= listGraceHeartbeats*h.timing.HeartbeatInterval
}

// WaitForPeer waits until a heartbeat of a peer has arrived, or until firstContactTimeout
// after the start. It returns at once if there are no seeds other than this VM.
func (h *Heartbeater) WaitForPeer(ctx context.Context) {
	h.mu.Lock()
	others := slices.ContainsFunc(h.seeds, func(seed string) bool { return seed != h.self.PeerAddress })
	h.mu.Unlock()
	if !others {
		return
	}
	timer := h.clock.NewTimer(max(0, firstContactTimeout-h.clock.Since(h.startedAt)))
	defer timer.Stop()
	select {
	case <-h.firstContact:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// HandleHeartbeat processes a peer's heartbeat and returns this VM's own as the reply. The
// reply to a peer that was not known carries all members that the peer may need, but only once
// it sends its complete entry: until then it takes this VM for one that knows it.
func (h *Heartbeater) HandleHeartbeat(ctx context.Context, hb *encoder.Heartbeat) *encoder.Heartbeat {
	peer, known := h.receive(ctx, hb)
	complete := hb.GetSender().GetPeers() != ""
	return h.compose(peer, known && !complete, !known && complete)
}

// detectChanges records which members' states differ from those at the last call, and
// calls the change hook if any do.
func (h *Heartbeater) detectChanges() {
	now := h.clock.Now()
	h.mu.Lock()
	members := h.prune(h.tracker.View(now))
	var changed []string
	states := make(map[namer.VM]string, len(members))
	for _, m := range members {
		state := m.Incarnation.String() + "=" + m.State.String()
		if m.AccountsStale {
			state += staleSuffix
		}
		states[m.VM] = state
		if h.states[m.VM] != state {
			h.changedAt[m.VM] = now
			changed = append(changed, string(m.VM)+"/"+state)
		}
	}
	for vm := range h.states {
		if _, ok := states[vm]; !ok {
			delete(h.changedAt, vm)
			delete(h.sent, vm)
			delete(h.refusedHashes, vm)
			changed = append(changed, string(vm)+"=forgotten")
		}
	}
	h.states = states
	sizes := zoneSizes(h.summarize(h.selfNow(), members, now))
	resized := !maps.Equal(sizes, h.zoneSizes)
	h.zoneSizes = sizes
	hook := h.onChange
	h.mu.Unlock()
	if len(changed) > 0 || resized {
		hook()
	}
	if len(changed) == 0 {
		return
	}
	slices.Sort(changed)
	listed := changed[:min(len(changed), maxChangesPerHeartbeat)]
	h.log.Info("members changed", "known", len(members), "count", len(changed), "changes", strings.Join(listed, " "))
}

// zoneSizes returns the number of VMs of each zone.
func zoneSizes(summaries []tracker.ZoneSummary) map[namer.Zone]int {
	sizes := make(map[namer.Zone]int, len(summaries))
	for _, s := range summaries {
		sizes[s.Zone] = s.VMs
	}
	return sizes
}

// sendHeartbeats sends one heartbeat to every target that has none in flight. In each
// pair of VMs the one with the lower name sends. The other sends only when it has not
// heard the first for a while, or when the heartbeats are urgent because of a change.
func (h *Heartbeater) sendHeartbeats(ctx context.Context, urgent bool) {
	h.mu.Lock()
	if !urgent {
		h.intervals++
	}
	crossZone := urgent || h.intervals%crossZoneIntervalHeartbeats == 0
	h.mu.Unlock()
	for _, t := range h.targets() {
		if !crossZone && t.zone != h.self.Zone && t.vm != "" {
			continue
		}
		h.mu.Lock()
		skip := h.inFlight[t.address] || !urgent && h.expectsFrom(t)
		if !skip {
			h.inFlight[t.address] = true
		}
		h.mu.Unlock()
		if !skip {
			h.running.Go(func() { h.send(ctx, t) })
		}
	}
}

// expectsFrom reports whether the target is the one of the pair that sends and has been
// heard recently enough to wait for its next heartbeat.
func (h *Heartbeater) expectsFrom(t target) bool {
	if t.vm == "" || h.self.VM < t.vm {
		return false
	}
	interval := 1.0
	if t.zone != h.self.Zone {
		interval = crossZoneIntervalHeartbeats
	}
	silence := h.clock.Since(h.heardAt[t.address])
	return silence < time.Duration((interval-1+silenceTimeoutHeartbeats)*float64(h.timing.HeartbeatInterval))
}

// retrySeedSoon schedules another attempt if the failed target is a seed, and this VM has
// just started and has heard no peer yet.
func (h *Heartbeater) retrySeedSoon(t target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.vm == "" && len(h.heardAt) == 0 && h.clock.Since(h.startedAt) < firstContactTimeout {
		h.clock.AfterFunc(seedRetryInterval, h.SendNow)
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
	reply, err := h.deps.Peers.Call(ctx, t.address, namer.Incarnation{}, req)
	if err != nil {
		h.log.Debug("heartbeat not answered", "address", t.address, "reason", err.Error())
		h.retrySeedSoon(t)
		return
	}
	if got := reply.GetHeartbeat(); got != nil {
		h.receive(ctx, got)
	}
}

func (h *Heartbeater) selfNow() tracker.Member {
	self := h.self
	self.LastHeard = h.clock.Now()
	self.Generation = h.deps.Documents.Generation()
	self.FreeCapacity = h.freeCapacity()
	self.Demands = h.demands()
	self.SeenVersions = h.seenVersions()
	self.StoreUnreachable = h.storeUnreachable()
	self.AccountsStale = h.accountsStale()
	return self
}

// receive merges a heartbeat into the view of members, and pulls the document if the
// sender's generation is higher. It returns the sender, and whether its process was known
// before.
func (h *Heartbeater) receive(ctx context.Context, hb *encoder.Heartbeat) (tracker.Member, bool) {
	now := h.clock.Now()
	sender, ok := converter.MemberFrom(hb.GetSender(), now)
	if !ok {
		return tracker.Member{}, false
	}
	h.mu.Lock()
	known, found := h.tracker.FindIncarnation(now, sender.Incarnation)
	if sender.PeerAddress == "" {
		if !found {
			h.mu.Unlock()
			return tracker.Member{}, false
		}
		sender.Zone, sender.Region, sender.Started = known.Zone, known.Region, known.Started
		sender.CallerAddress, sender.PeerAddress, sender.OperatorAddress = known.CallerAddress, known.PeerAddress, known.OperatorAddress
	}
	sender.LastHeard = now
	sender.State = tracker.Alive
	// Only gateways receive heartbeats of other zones regularly. For all other VMs the
	// sender counts as indirect, which allows it a longer silence.
	sender.Indirect = sender.Zone != h.self.Zone && !h.isGateway(h.tracker.View(now))
	h.tracker.Merge(now, sender)
	if !found {
		// A new process has received nothing of what was sent to the previous one.
		delete(h.sent, sender.VM)
	}
	if sender.VM != h.self.VM {
		if len(h.heardAt) == 0 {
			close(h.firstContact)
		}
		h.heardAt[sender.PeerAddress] = now
	}
	h.mergeOthers(now, hb)
	onPeerVersions := h.onPeerVersions
	h.mu.Unlock()
	onPeerVersions(sender.SeenVersions)
	h.mergeEvidence(now, sender.VM, hb)
	h.catchUp(ctx, sender)
	return sender, found
}

// catchUp pulls the document of a peer whose generation is higher, unless another pull is in
// progress: the peer's next heartbeat tries again. It first waits for the document to arrive
// through the store's records, unless this VM has no document yet.
func (h *Heartbeater) catchUp(ctx context.Context, from tracker.Member) {
	known := h.deps.Documents.Generation()
	if from.Generation <= known || !h.beginPull() {
		return
	}
	if h.timing.PullDelay == 0 || known == 0 {
		defer h.endPull()
		h.pull(ctx, from)
		return
	}
	h.clock.AfterFunc(h.timing.PullDelay, func() { h.pullIfStuck(context.WithoutCancel(ctx), from, known) })
}

// pullIfStuck pulls a peer's document if no document has arrived by another path since the
// one with the generation that was known, and none is being applied. Else it waits again.
func (h *Heartbeater) pullIfStuck(ctx context.Context, from tracker.Member, known namer.Generation) {
	current := h.deps.Documents.Generation()
	if current >= from.Generation {
		h.endPull()
		return
	}
	if current > known || h.isApplying() {
		h.clock.AfterFunc(h.timing.PullDelay, func() { h.pullIfStuck(ctx, from, current) })
		return
	}
	defer h.endPull()
	// The heartbeat that reported the generation has been answered by now, so its context is
	// canceled.
	ctx, cancel := context.WithTimeout(ctx, h.timing.Tracker.SuspectTimeout)
	defer cancel()
	h.pull(ctx, from)
}

func (h *Heartbeater) isApplying() bool {
	h.mu.Lock()
	applying := h.applying
	h.mu.Unlock()
	return applying()
}

// beginPull reports whether no pull was in progress, and begins one if so.
func (h *Heartbeater) beginPull() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	begun := !h.pulling
	h.pulling = true
	return begun
}

func (h *Heartbeater) endPull() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pulling = false
}

func (h *Heartbeater) pull(ctx context.Context, from tracker.Member) {
	borrow := h.deps.Upstreams != nil && !h.deps.Upstreams.Listed()
	req := &encoder.Request{Kind: &encoder.Request_Pull{Pull: &encoder.Pull{Upstreams: borrow, Packs: true}}}
	reply, err := h.deps.Peers.Call(ctx, from.PeerAddress, from.Incarnation, req)
	if err != nil {
		h.log.Warn("document pull failed; retrying after a later heartbeat", "from", string(from.VM), "reason", err.Error())
		return
	}
	if borrow && reply.GetDocument() != nil {
		h.deps.Upstreams.Borrow(converter.UpstreamsFrom(reply.GetDocument()))
	}
	adopted, err := h.adopt(reply.GetDocument())
	if err != nil {
		h.log.Warn("pulled document rejected", "from", string(from.VM), "reason", err.Error())
		return
	}
	if adopted {
		h.SendNow()
	}
}

func (h *Heartbeater) adopt(d *encoder.Document) (bool, error) {
	if d == nil {
		return false, errors.New("peer reply does not contain a document")
	}
	if err := packer.UnpackDocument(d); err != nil {
		return false, err
	}
	head, err := keeper.DecodeHead(d.GetHead())
	if err != nil {
		return false, err
	}
	var sources parser.Sources
	for _, sec := range d.GetSections() {
		sources = append(sources, parser.Source{Section: parser.Section(sec.GetName()), Text: sec.GetText()})
	}
	return h.deps.Documents.Adopt(head, sources)
}

// readList reads the platform's VM list if this VM is a gateway, which it also is while it
// knows no other member.
func (h *Heartbeater) readList(ctx context.Context) {
	if !h.IsGateway() {
		return
	}
	listed, err := h.deps.Lister.VMs(ctx)
	if err != nil {
		h.log.Warn("platform VM list not read; retrying after the list interval", "reason", err.Error())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listed = listed
}

// target is the destination of a heartbeat. The VM is empty for an address from the seeds
// or the platform's VM list, whose member is not known yet.
type target struct {
	vm      namer.VM
	zone    namer.Zone
	address string
}

// targets returns the destinations of heartbeats: the members chosen by Targets and the
// listed VMs that are not known yet, or the seeds if there are neither.
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
	for _, m := range Targets(h.self, members, h.isGateway(members)) {
		out = append(out, target{vm: m.VM, zone: m.Zone, address: m.PeerAddress})
	}
	listedOf := make(map[namer.Zone]int)
	for _, l := range h.listed {
		// A few VMs of another zone are enough: one that answers reports the members
		// that this VM needs.
		if known[l.VM] || l.Zone != h.self.Zone && listedOf[l.Zone] >= GatewaysPerZone {
			continue
		}
		listedOf[l.Zone]++
		out = append(out, target{address: l.PeerAddress})
	}
	if len(out) > 0 {
		return out
	}
	for _, seed := range h.seeds {
		out = append(out, target{address: seed})
	}
	return out
}
