package lender_test

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/waxwingloom/waxwingloom/internal/account/lender"
	"github.com/waxwingloom/waxwingloom/internal/account/limiter"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

var timing = limiter.Timing{HeartbeatInterval: 500 * time.Millisecond, SuspectTimeout: 1500 * time.Millisecond}

const deadTimeout = 5 * time.Second

type (
	// fleet connects many lenders in the time of a synctest bubble, and records the requests
	// that got a token.
	fleet struct {
		terms limiter.Terms
		zones []namer.Zone
		nodes []*node
		// lost, doubled and late are the parts of the messages with which that happens.
		lost, doubled, late float64
		calls, bytes        atomic.Int64
		stopped             chan struct{}
		running             sync.WaitGroup

		mu        sync.Mutex
		rng       *rand.Rand
		document  *parser.Document
		cut       map[namer.Zone]bool
		heardZone map[[2]namer.Zone]time.Time
		spent     map[namer.Account][]time.Time
		refused   map[namer.Account]int
	}

	// node is a VM. Nodes of a zone reach each other if they are in the same group, and other
	// zones from group 0.
	node struct {
		f       *fleet
		vm      namer.VM
		zone    namer.Zone
		up      bool
		frozen  bool
		group   int
		starts  byte
		started time.Time
		heard   map[*node]time.Time
		lender  *lender.Lender
		cleanup func()
	}
)

// newFleet starts perZone VMs in each zone at once.
func newFleet(t *testing.T, terms limiter.Terms, perZone int, seed uint64, d *parser.Document) *fleet {
	t.Helper()
	f := &fleet{
		terms: terms, document: d, rng: rand.New(rand.NewPCG(seed, 1)), stopped: make(chan struct{}),
		cut: make(map[namer.Zone]bool), heardZone: make(map[[2]namer.Zone]time.Time),
		spent: make(map[namer.Account][]time.Time), refused: make(map[namer.Account]int),
	}
	for z := range terms.Zones {
		f.zones = append(f.zones, namer.Zone(fmt.Sprintf("z%d", z)))
	}
	for _, zone := range f.zones {
		for i := range perZone {
			f.nodes = append(f.nodes, &node{f: f, vm: namer.VM(fmt.Sprintf("%s-%d", zone, i)), zone: zone})
		}
	}
	for i, n := range f.nodes {
		f.start(n)
		f.running.Go(func() {
			// Each VM has a phase of its own.
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			for tick := 0; f.sleep(100 * time.Millisecond); tick++ {
				if tick%5 == 0 {
					f.beat(n)
				}
				f.mu.Lock()
				l := n.lender
				if n.frozen {
					l = nil
				}
				f.mu.Unlock()
				if l != nil {
					l.Look()
				}
			}
		})
	}
	return f
}

// stop ends the fleet, so that nothing runs in the bubble any more.
func (f *fleet) stop() {
	close(f.stopped)
	f.running.Wait()
	for _, n := range f.nodes {
		f.kill(n)
	}
}

// sleep reports false if the fleet was stopped meanwhile.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-f.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

func (f *fleet) start(n *node) {
	f.mu.Lock()
	n.starts++
	n.up, n.frozen, n.started, n.heard = true, false, time.Now(), make(map[*node]time.Time)
	self := lender.Self{VM: n.vm, Zone: n.zone, Zones: f.zones, Seeded: true}
	n.lender, n.cleanup = lender.New(self, f.terms, timing, lender.Dependencies{Peers: n, Members: n}, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	l, d := n.lender, f.document
	f.mu.Unlock()
	l.SetDocument(d)
}

// kill ends a VM's process without a word.
func (f *fleet) kill(n *node) {
	f.mu.Lock()
	cleanup := n.cleanup
	n.up, n.lender, n.cleanup = false, nil, nil
	f.mu.Unlock()
	if cleanup != nil {
		cleanup()
	}
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// setDocument makes a document current at all VMs, with a little delay between them.
func (f *fleet) setDocument(d *parser.Document) {
	f.set(func() { f.document = d })
	for _, n := range f.nodes {
		f.mu.Lock()
		l := n.lender
		f.mu.Unlock()
		if l != nil {
			l.SetDocument(d)
			time.Sleep(time.Millisecond)
		}
	}
}

// send sends a request of an account at a VM.
func (f *fleet) send(n *node, a *parser.Account) {
	f.mu.Lock()
	l := n.lender
	if n.frozen {
		l = nil
	}
	f.mu.Unlock()
	if l == nil {
		return
	}
	f.running.Go(func() {
		ok, _ := l.Take(context.Background(), a)
		f.mu.Lock()
		defer f.mu.Unlock()
		if ok {
			f.spent[a.Name] = append(f.spent[a.Name], time.Now())
		} else {
			f.refused[a.Name]++
		}
	})
}

// load sends requests of an account at random moments for a time, perSecond of them, at the
// VMs that pick returns.
func (f *fleet) load(a *parser.Account, perSecond float64, d time.Duration, pick func(*rand.Rand) *node) {
	for end := time.Now().Add(d); ; {
		f.mu.Lock()
		n, pause := pick(f.rng), f.rng.ExpFloat64()/perSecond
		f.mu.Unlock()
		if !f.sleep(time.Duration(pause*float64(time.Second))) || !time.Now().Before(end) {
			return
		}
		f.send(n, a)
	}
}

// count returns the requests of an account that got a token, and those that were refused.
func (f *fleet) count(a namer.Account) (served, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.spent[a]), f.refused[a]
}

// most returns the largest number of requests of an account in any window.
func (f *fleet) most(a namer.Account, window time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := slices.Clone(f.spent[a])
	slices.SortFunc(times, time.Time.Compare)
	largest, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) > window {
			from++
		}
		largest = max(largest, i-from+1)
	}
	return largest
}

func (f *fleet) connected(a, b *node) bool {
	if !a.up || !b.up || a.frozen || b.frozen || a.group != b.group {
		return false
	}
	return a.zone == b.zone || a.group == 0 && !f.cut[a.zone] && !f.cut[b.zone]
}

// beat exchanges a VM's heartbeats with its zone, and for its zone with others.
func (f *fleet) beat(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.nodes {
		switch {
		case m == n || !f.connected(n, m):
		case m.zone == n.zone:
			n.heard[m], m.heard[n] = time.Now(), time.Now()
		default:
			f.heardZone[[2]namer.Zone{n.zone, m.zone}] = time.Now()
		}
	}
}

// Self implements lender.Members.
func (n *node) Self() tracker.Member {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return tracker.Member{VM: n.vm, Zone: n.zone, Started: n.started}
}

// Members implements lender.Members: the VMs of the zone that were heard, and two gateways of
// each other zone.
func (n *node) Members() []tracker.Member {
	f := n.f
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []tracker.Member
	gateways := make(map[namer.Zone]int)
	for _, m := range f.nodes {
		at, ok := n.heard[m]
		if m.zone != n.zone {
			at, ok = f.heardZone[[2]namer.Zone{n.zone, m.zone}]
			gateways[m.zone]++
			ok = ok && m.up && gateways[m.zone] <= 2
		}
		if ok && m != n {
			members = append(members, tracker.Member{
				VM: m.vm, Zone: m.zone, PeerAddress: string(m.vm), Incarnation: namer.Incarnation{m.starts}, LastHeard: at, Started: m.started,
				State: stateAt(at), Indirect: m.zone != n.zone, ZoneSize: m.zoneSize(),
			})
		}
	}
	return members
}

func (n *node) zoneSize() int {
	size := 1
	for m, at := range n.heard {
		if m.zone == n.zone && stateAt(at) != tracker.Dead {
			size++
		}
	}
	return size
}

func stateAt(heard time.Time) tracker.State {
	switch silence := time.Since(heard); {
	case silence > deadTimeout:
		return tracker.Dead
	case silence > timing.SuspectTimeout:
		return tracker.Suspect
	}
	return tracker.Alive
}

// Call implements lender.PeerClient.
func (n *node) Call(ctx context.Context, address string, _ namer.Incarnation, req *encoder.Request) (*encoder.Reply, error) {
	f := n.f
	f.mu.Lock()
	at := slices.IndexFunc(f.nodes, func(m *node) bool { return string(m.vm) == address })
	to := f.nodes[at]
	delay := 500 * time.Microsecond
	if to.zone != n.zone {
		delay = 12 * time.Millisecond
	}
	lost, doubled := f.rng.Float64() < f.lost, f.rng.Float64() < f.doubled
	if f.rng.Float64() < f.late {
		delay += time.Duration(f.rng.IntN(400)) * time.Millisecond
	}
	f.mu.Unlock()
	f.calls.Add(1)
	f.bytes.Add(int64(proto.Size(req)))
	sleep(ctx, delay)
	l, err := f.reach(ctx, n, to, lost)
	if err != nil {
		return nil, err
	}
	if doubled {
		f.running.Go(func() { l.Lend(context.Background(), req.GetLend()) })
	}
	reply := &encoder.Reply{Kind: &encoder.Reply_Loan{Loan: l.Lend(context.Background(), req.GetLend())}}
	f.bytes.Add(int64(proto.Size(reply)))
	sleep(ctx, delay)
	if _, err := f.reach(ctx, n, to, lost); err != nil {
		return nil, err
	}
	return reply, ctx.Err()
}

// reach returns the lender of a VM, or waits for the end of ctx if it can't be reached.
func (f *fleet) reach(ctx context.Context, from, to *node, lost bool) (*lender.Lender, error) {
	f.mu.Lock()
	l, connected, down := to.lender, f.connected(from, to), !to.up
	f.mu.Unlock()
	if down {
		return nil, errors.New("connection refused")
	}
	if !connected || lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func anyOf(nodes []*node) func(*rand.Rand) *node {
	return func(r *rand.Rand) *node { return nodes[r.IntN(len(nodes))] }
}

func inZone(nodes []*node, zone namer.Zone) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.zone != zone })
}

func documentOf(accounts ...parser.Account) *parser.Document {
	slices.SortFunc(accounts, func(a, b parser.Account) int { return cmp.Compare(a.Name, b.Name) })
	return &parser.Document{Accounts: accounts}
}
