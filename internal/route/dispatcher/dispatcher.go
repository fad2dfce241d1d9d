// Package dispatcher takes an admitted request to an upstream: one of this
// VM's own zone, or through an entry VM of another zone when this zone has no
// room. Only a zone's own entry VMs spend that zone's upstream slots.
//
// # Usage
//
//	d, cleanup := dispatcher.New(self, services, clock, log)
//	defer cleanup()
//	d.Configure(force, claimed)
//	result := d.Read(ctx, request)      // an idempotent request
//	outcome := d.Dispatch(ctx, request, gate) // a once-only request
package dispatcher

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"

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

// The codes of refusals by the dispatcher itself.
const (
	CodeNoService arbiter.Code = "no-service"
	CodeNoClass   arbiter.Code = "no-class"
	CodeCapped    arbiter.Code = "shift-capped"
	CodeUpstream  arbiter.Code = "upstream-failed"
)

// localTries bounds how many upstreams of the zone one request may try.
const localTries = 3

type (
	// Peers opens streams to other entry VMs.
	Peers interface {
		Open(ctx context.Context, address string, want namer.Incarnation) (*messenger.Stream, error)
	}

	// Members tells which entry VMs are there.
	Members interface {
		Members() []tracker.Member
	}

	// Self says which VM this is.
	Self struct {
		VM     namer.VM
		Zone   namer.Zone
		Region namer.Region
	}

	// Result is an answer whose body is still to be read, or an outcome
	// without one. Body must be closed when it is not nil.
	Result struct {
		Outcome arbiter.Outcome
		Body    io.ReadCloser
	}

	// ServiceUse is what a service has in flight on this VM.
	ServiceUse struct {
		Service namer.Service
		admitter.Use
	}

	// Dispatcher sends requests to upstreams.
	Dispatcher struct {
		self    Self
		peers   Peers
		members Members
		forward *forwarder.Forwarder
		clock   clockwork.Clock
		log     *slog.Logger

		mu       sync.Mutex
		force    *keeper.Force
		claimed  claimer.Assignment
		services []*serviceState
		shift    *capper.Capper
	}

	// found is what is in force for one request.
	found struct {
		state    *serviceState
		class    parser.Class
		document *parser.Document
	}

	serviceState struct {
		service parser.Service
		pool    *admitter.Pool
		budget  budget
	}
)

// New returns a dispatcher without a document, which refuses everything.
func New(self Self, peers Peers, members Members, clock clockwork.Clock, log *slog.Logger) (*Dispatcher, func()) {
	forward, cleanup := forwarder.New()
	d := &Dispatcher{
		self:    self,
		peers:   peers,
		members: members,
		forward: forward,
		clock:   clock,
		log:     log,
		shift:   capper.New(clock.Now()),
	}
	return d, cleanup
}

// SetForce takes over a document.
func (d *Dispatcher) SetForce(f *keeper.Force) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.force = f
	d.configure()
}

// SetClaimed takes over an ordinal, and with it this VM's shares.
func (d *Dispatcher) SetClaimed(c claimer.Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claimed = c
	d.configure()
}

// Rooms returns the weight that is free for each service.
func (d *Dispatcher) Rooms() []tracker.FreeCapacity {
	var rooms []tracker.FreeCapacity
	for _, u := range d.Uses() {
		rooms = append(rooms, tracker.FreeCapacity{Service: u.Service, Weight: u.Room})
	}
	return rooms
}

// Uses returns what each service has in flight.
func (d *Dispatcher) Uses() []ServiceUse {
	d.mu.Lock()
	states := d.services
	d.mu.Unlock()
	uses := make([]ServiceUse, len(states))
	for i, s := range states {
		uses[i] = ServiceUse{Service: s.service.Name, Use: s.pool.Use()}
	}
	return uses
}

// InFlight returns the weight in flight at upstreams, for own callers and for
// peers alike.
func (d *Dispatcher) InFlight() namer.Weight {
	var sum namer.Weight
	for _, u := range d.Uses() {
		sum += u.InFlight
	}
	return sum
}

// admitShift counts a request from a caller of another zone against this VM's
// share of the zone's cap on shifts, and reports whether it fits.
func (d *Dispatcher) admitShift(req forwarder.Request, weight namer.Weight) bool {
	if req.Home == d.self.Zone {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shift.Admit(d.clock.Now(), weight)
}

func capped() arbiter.Outcome {
	return refuse(CodeCapped, "the cap on traffic shifted into the zone is reached")
}

// configure recomputes every pool from the document and the ordinal.
func (d *Dispatcher) configure() {
	if d.force == nil {
		return
	}
	doc := d.force.Document
	var states []*serviceState
	var targets []forwarder.Target
	for _, s := range doc.Services {
		state := d.state(s.Name)
		state.service = s
		state.budget.percent = s.Retry
		slots := d.slots(doc, s.Name)
		state.pool.Configure(admitter.Limits{Queue: s.Queue, Reserve: s.Reserve, Eject: s.Eject}, slots)
		for _, slot := range slots {
			targets = append(targets, target(slot.Upstream, slot.Address, slot.Conns))
		}
		states = append(states, state)
	}
	d.services = states
	d.forward.CloseIdleExcept(targets)
	d.limitShift(doc)
}

// state returns a fresh state that shares the pool and budget of the last, so
// that a request in progress keeps the rules that it began with.
func (d *Dispatcher) state(name namer.Service) *serviceState {
	for _, s := range d.services {
		if s.service.Name == name {
			return &serviceState{pool: s.pool, budget: s.budget}
		}
	}
	pool := admitter.New(d.clock, d.draw)
	return &serviceState{pool: pool, budget: newBudget()}
}

func (d *Dispatcher) slots(doc *parser.Document, name namer.Service) []admitter.Slot {
	zone, ok := doc.Zone(d.self.Zone)
	if !ok {
		return nil
	}
	_, zoneDrained := doc.ZoneDrained(d.self.Zone)
	var slots []admitter.Slot
	for _, u := range doc.ServiceUpstreams(name, d.self.Zone) {
		_, drained := doc.Drained(parser.UpstreamTarget, string(u.Name))
		share := divider.Share(u.Slots, zone.VMs, d.claimed.Ordinal, string(u.Name))
		conns := divider.Share(namer.Weight(u.Conns), zone.VMs, d.claimed.Ordinal, string(u.Name))
		if share == 0 || conns == 0 {
			continue
		}
		slots = append(slots, admitter.Slot{
			Upstream: u.Name,
			Address:  u.Address,
			Share:    share,
			Conns:    int(conns),
			Drained:  drained || zoneDrained,
		})
	}
	return slots
}

func (d *Dispatcher) limitShift(doc *parser.Document) {
	shift, ok := doc.Shift(d.self.Zone)
	zone, known := doc.Zone(d.self.Zone)
	if !ok || !known {
		d.shift.ClearLimit()
		return
	}
	share := divider.Share(shift.Weight, zone.VMs, d.claimed.Ordinal, "shift")
	d.shift.SetLimit(d.clock.Now(), share, shift.Window)
}

// find returns what is in force for a request, or why nothing is.
func (d *Dispatcher) find(req forwarder.Request) (*found, arbiter.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		if s.service.Name != req.Service {
			continue
		}
		for _, c := range s.service.Classes {
			if c.Name == req.Class {
				return &found{state: s, class: c, document: d.force.Document}, arbiter.Outcome{}
			}
		}
		return nil, refuse(CodeNoClass, "no such class is in force")
	}
	return nil, refuse(CodeNoService, "no such service is in force")
}

// draw is called by pools under their own lock, so it must not take d.mu.
func (d *Dispatcher) draw(n int) int {
	return rand.IntN(n)
}

func target(name namer.Upstream, address string, conns int) forwarder.Target {
	return forwarder.Target{Upstream: name, Address: address, MaxConns: conns}
}

func refuse(code arbiter.Code, reason string) arbiter.Outcome {
	return arbiter.Outcome{Told: arbiter.NotRun, Code: code, Reason: reason}
}
