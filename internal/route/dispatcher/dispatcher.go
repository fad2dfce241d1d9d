// Package dispatcher admits a request and sends it to an upstream of this VM's zone. If
// this zone has no free capacity, it spills the request to an entry VM of another zone,
// which admits it and sends it to an upstream there. Only a zone's own entry VMs use the
// upstream slots of that zone.
//
// # Usage
//
//	d, cleanup := dispatcher.New(self, peers, members, clock, log)
//	defer cleanup()
//	d.SetDocument(snapshot)
//	d.SetOrdinal(assignment)
//	result := d.DispatchIdempotent(ctx, request)
//	outcome := d.DispatchOnce(ctx, request, gate) // a once-only request
package dispatcher

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/route/admitter"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
	"github.com/waxwingloom/waxwingloom/internal/share/capper"
	"github.com/waxwingloom/waxwingloom/internal/share/claimer"
	"github.com/waxwingloom/waxwingloom/internal/share/divider"
)

// The codes of outcomes that the dispatcher itself sets.
const (
	CodeNoService      arbiter.Code = "no-service"
	CodeNoClass        arbiter.Code = "no-class"
	CodeShiftCapped    arbiter.Code = "shift-capped"
	CodeUpstreamFailed arbiter.Code = "upstream-failed"
)

const (
	// maxLocalAttempts bounds the attempts of one request at upstreams of this zone.
	maxLocalAttempts = 3
	// defaultMaxBufferedBytes is the default of WithMaxBufferedBytes.
	defaultMaxBufferedBytes = 64 << 20
)

type (
	// StreamOpener opens streams to other entry VMs.
	StreamOpener interface {
		Open(ctx context.Context, address string, want namer.Incarnation) (*messenger.Stream, error)
	}

	// MemberLister lists the known entry VMs.
	MemberLister interface {
		Members() []tracker.Member
	}

	// Self identifies this VM and its location.
	Self struct {
		VM     namer.VM
		Zone   namer.Zone
		Region namer.Region
	}

	// Result is a response whose body is still to be read, or an outcome without a
	// body. Body must be closed if it is not nil.
	Result struct {
		Outcome arbiter.Outcome
		Body    io.ReadCloser
	}

	// ServiceUsage is what this VM has in flight for a service.
	ServiceUsage struct {
		Service namer.Service
		admitter.Usage
	}

	// Dispatcher sends requests to upstreams. It is safe for concurrent use.
	Dispatcher struct {
		self      Self
		streams   StreamOpener
		members   MemberLister
		forwarder *forwarder.Forwarder
		clock     clockwork.Clock
		log       *slog.Logger

		maxBufferedBytes int64
		// bufferedBytes is the size of the bodies of once-only requests that are being read.
		bufferedBytes atomic.Int64

		mu         sync.Mutex
		current    *keeper.Snapshot
		assignment claimer.Assignment
		services   []*serviceState
		shiftCap   *capper.Capper
	}

	// Option configures a dispatcher.
	Option func(*Dispatcher)

	// requestRules are the service, the class and the document that apply to a request.
	requestRules struct {
		state    *serviceState
		class    parser.Class
		document *parser.Document
	}

	// serviceState is a service as the current document defines it.
	serviceState struct {
		service     parser.Service
		pool        *admitter.Pool
		retryBudget retryBudget
	}
)

// WithMaxBufferedBytes limits the size of the response bodies of once-only requests that are
// being read. Over it, the bodies of long responses are left out.
func WithMaxBufferedBytes(bytes int64) Option {
	return func(d *Dispatcher) { d.maxBufferedBytes = bytes }
}

// New returns a dispatcher without a document, which refuses every request.
func New(
	self Self, peers StreamOpener, members MemberLister, clock clockwork.Clock, log *slog.Logger, opts ...Option,
) (*Dispatcher, func()) {
	forward, cleanup := forwarder.New()
	d := &Dispatcher{
		self:      self,
		streams:   peers,
		members:   members,
		forwarder: forward,
		clock:     clock,
		log:       log,
		shiftCap:  capper.New(clock.Now()),

		maxBufferedBytes: defaultMaxBufferedBytes,
	}
	for _, opt := range opts {
		opt(d)
	}
	return d, cleanup
}

// SetDocument makes a document the current one.
func (d *Dispatcher) SetDocument(snapshot *keeper.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = snapshot
	d.configure()
}

// SetOrdinal sets this VM's ordinal, its number among the entry VMs of the zone, which
// determines its shares of the upstreams' slots and of the shift cap.
func (d *Dispatcher) SetOrdinal(a claimer.Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.assignment = a
	d.configure()
}

// FreeCapacity returns the weight that this VM can still admit for each service.
func (d *Dispatcher) FreeCapacity() []tracker.FreeCapacity {
	var free []tracker.FreeCapacity
	for _, u := range d.Usage() {
		free = append(free, tracker.FreeCapacity{Service: u.Service, Weight: u.Room})
	}
	return free
}

// Usage returns what this VM has in flight for each service.
func (d *Dispatcher) Usage() []ServiceUsage {
	d.mu.Lock()
	states := d.services
	d.mu.Unlock()
	usage := make([]ServiceUsage, len(states))
	for i, s := range states {
		usage[i] = ServiceUsage{Service: s.service.Name, Usage: s.pool.Usage()}
	}
	return usage
}

// InFlight returns the weight in flight at upstreams, for this VM's callers and for
// requests that other zones spilled.
func (d *Dispatcher) InFlight() namer.Weight {
	var sum namer.Weight
	for _, u := range d.Usage() {
		sum += u.InFlight
	}
	return sum
}

// admitShifted counts a request from a caller of another zone against this VM's share of
// the zone's cap on shifted traffic, and reports whether it is under the cap. Requests
// from the zone's own callers are not counted.
func (d *Dispatcher) admitShifted(req forwarder.Request, weight namer.Weight) bool {
	if req.Home == d.self.Zone {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shiftCap.Admit(d.clock.Now(), weight)
}

func shiftCapped() arbiter.Outcome {
	return notRun(CodeShiftCapped, "the cap on traffic shifted into the zone is reached")
}

// configure recomputes the admission pools, the connections to keep and the shift cap
// from the document and the ordinal. The caller holds d.mu.
func (d *Dispatcher) configure() {
	if d.current == nil {
		return
	}
	doc := d.current.Document
	var states []*serviceState
	var targets []forwarder.Target
	for _, s := range doc.Services {
		state := d.nextState(s.Name)
		state.service = s
		state.retryBudget.percent = s.RetryPercent
		shares := d.upstreamShares(doc, s.Name)
		state.pool.Configure(admitter.Limits{MaxQueued: s.MaxQueued, ReservePercent: s.ReservePercent, MaxEjectedPercent: s.MaxEjectedPercent}, shares)
		for _, u := range shares {
			targets = append(targets, target(u.Upstream, u.Address, u.MaxConns))
		}
		states = append(states, state)
	}
	d.services = states
	d.forwarder.CloseIdleExcept(targets)
	d.configureShiftCap(doc)
}

// nextState returns a new state for a service, which shares the pool and the retry credit
// of the previous one. The previous state is not changed, so that a request in progress
// keeps the rules that it began with.
func (d *Dispatcher) nextState(name namer.Service) *serviceState {
	for _, s := range d.services {
		if s.service.Name == name {
			return &serviceState{pool: s.pool, retryBudget: s.retryBudget}
		}
	}
	pool := admitter.New(d.clock, d.randIntN)
	return &serviceState{pool: pool, retryBudget: newRetryBudget()}
}

// upstreamShares returns a service's upstreams in this zone, with this VM's share of their
// slots and connections. It leaves out those of which this VM has no share.
func (d *Dispatcher) upstreamShares(doc *parser.Document, name namer.Service) []admitter.UpstreamShare {
	zone, ok := doc.Zone(d.self.Zone)
	if !ok {
		return nil
	}
	_, zoneDrained := doc.DrainOfZone(d.self.Zone)
	var shares []admitter.UpstreamShare
	for _, u := range doc.ServiceUpstreams(name, d.self.Zone) {
		_, drained := doc.DrainOf(parser.UpstreamTarget, string(u.Name))
		share := divider.Share(u.Slots, zone.VMCount, d.assignment.Ordinal, string(u.Name))
		conns := divider.Share(namer.Weight(u.MaxConns), zone.VMCount, d.assignment.Ordinal, string(u.Name))
		if share == 0 || conns == 0 {
			continue
		}
		shares = append(shares, admitter.UpstreamShare{
			Upstream: u.Name,
			Address:  u.Address,
			Share:    share,
			MaxConns: int(conns),
			Drained:  drained || zoneDrained,
		})
	}
	return shares
}

// configureShiftCap sets this VM's share of the zone's cap on shifted traffic, or removes
// the cap if the document has none.
func (d *Dispatcher) configureShiftCap(doc *parser.Document) {
	shift, ok := doc.ShiftCap(d.self.Zone)
	zone, known := doc.Zone(d.self.Zone)
	if !ok || !known {
		d.shiftCap.ClearLimit()
		return
	}
	share := divider.Share(shift.MaxWeight, zone.VMCount, d.assignment.Ordinal, "shift")
	d.shiftCap.SetLimit(d.clock.Now(), share, shift.Window)
}

// rulesFor returns the rules for a request, or nil and a refusal if the document has no
// such service or class.
func (d *Dispatcher) rulesFor(req forwarder.Request) (*requestRules, arbiter.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		if s.service.Name != req.Service {
			continue
		}
		for _, c := range s.service.Classes {
			if c.Name == req.Class {
				return &requestRules{state: s, class: c, document: d.current.Document}, arbiter.Outcome{}
			}
		}
		return nil, notRun(CodeNoClass, "no such class is in force")
	}
	return nil, notRun(CodeNoService, "no such service is in force")
}

// randIntN returns a random number from 0 up to but not including n. It must not lock
// d.mu, since pools call it while they hold their own lock.
func (d *Dispatcher) randIntN(n int) int {
	return rand.IntN(n)
}

func target(name namer.Upstream, address string, conns int) forwarder.Target {
	return forwarder.Target{Upstream: name, Address: address, MaxConns: conns}
}

// notRun returns the outcome of a request that provably did not run.
func notRun(code arbiter.Code, reason string) arbiter.Outcome {
	return arbiter.Outcome{Execution: arbiter.NotRun, Code: code, Reason: reason}
}
