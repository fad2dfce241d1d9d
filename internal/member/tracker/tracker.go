// Package tracker keeps one VM's view of which entry VMs are there. It is a
// pure state machine: heartbeats, other VMs' views and the platform's list go
// in with the time, and states come out. Safety never rests on it; it only
// tells where to send work and whom to ask.
//
// # Usage
//
//	t := tracker.New(self, tracker.Timing{Suspect: time.Second, Dead: 5 * time.Second})
//	t.Hear(now, member)
//	for _, m := range t.View(now) {
//		if m.State == tracker.Alive {
//			// Ask m.
//		}
//	}
package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// The states of a member.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// forgetAfter is how many dead intervals pass before a dead member is dropped
// from the view.
const forgetAfter = 60

// toldFactor is how many times as long a member may be silent that is known from
// others only: its age is told every few seconds, and its silence at once.
const toldFactor = 6

type (
	// State is a member's state as this VM judges it.
	State int

	// FreeCapacity is the weight that a member has free for a service.
	FreeCapacity struct {
		Service namer.Service
		Weight  namer.Weight
	}

	// Demand is the slots that a member's callers need of a service.
	Demand struct {
		Service namer.Service
		Slots   float64
	}

	// SeenVersion is the version up to which a member has seen a kind of records.
	SeenVersion struct {
		Kind    storer.Kind
		Version storer.Version
	}

	// Member is an entry VM as it described itself. Heard is when it was last
	// known to run; State is judged from it when the view is read.
	Member struct {
		VM              namer.VM
		Zone            namer.Zone
		Region          namer.Region
		CallerAddress   string
		PeerAddress     string
		OperatorAddress string
		Incarnation     namer.Incarnation
		Started         time.Time
		Sequence        uint64
		Leaving         bool
		// StoreUnreachable says that the store does not answer the member.
		StoreUnreachable bool
		Generation       namer.Generation
		// ZoneSize is how many VMs of its zone the member knows to run, with itself.
		ZoneSize     int
		FreeCapacity []FreeCapacity
		Demands      []Demand
		SeenVersions []SeenVersion
		LastHeard    time.Time
		// Indirect says that the member is known from others only.
		Indirect bool
		State    State

		doubted time.Time
	}

	// ZoneSummary is what the VMs of a zone are and need together, as a VM of the zone
	// told it.
	ZoneSummary struct {
		Zone    namer.Zone
		VMs     int
		Demands []Demand
		At      time.Time
	}

	// Timing says after which silence a member is suspect and dead.
	Timing struct {
		SuspectTimeout time.Duration
		DeadTimeout    time.Duration
	}

	// Tracker is one VM's view of the members.
	Tracker struct {
		self    namer.VM
		timing  Timing
		now     time.Time
		members map[namer.VM]Member
	}
)

// String returns the state's word in logs and tables.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// New returns an empty view held by one VM.
func New(self namer.VM, timing Timing) *Tracker {
	return &Tracker{self: self, timing: timing, members: make(map[namer.VM]Member)}
}

// Merge takes a member's own word, or another VM's copy of it with the time at
// which the member was heard. It reports whether the view changed in more
// than that time.
func (t *Tracker) Merge(now time.Time, m Member) bool {
	t.now = namer.Later(t.now, now)
	if m.VM == t.self || m.VM == "" {
		return false
	}
	if m.LastHeard.After(t.now) {
		m.LastHeard = t.now
	}
	known, ok := t.members[m.VM]
	if ok && (older(m, known) && !t.overtakes(m, known) || t.overtakes(known, m)) {
		return false
	}
	if ok && m.Incarnation == known.Incarnation {
		m.Indirect = m.Indirect && (known.Indirect || m.LastHeard.Sub(known.LastHeard) > t.timing.SuspectTimeout)
		m.LastHeard = namer.Later(m.LastHeard, known.LastHeard)
		// Leaving is never taken back by the same incarnation.
		m.Leaving = m.Leaving || known.Leaving
		if m.Sequence == known.Sequence {
			known.LastHeard = m.LastHeard
			known.Leaving = m.Leaving
			known.Indirect = m.Indirect
			t.members[m.VM] = known
			return false
		}
	}
	m.doubted = time.Time{}
	if ok && m.Incarnation == known.Incarnation {
		m.doubted = known.doubted
	}
	t.members[m.VM] = m
	return !ok || m.Incarnation != known.Incarnation || m.Leaving != known.Leaving
}

// MarkUnreachable notes that an incarnation could not be reached just now. It is suspect
// until it is heard again, and reports whether it was not so before.
func (t *Tracker) MarkUnreachable(now time.Time, inc namer.Incarnation) bool {
	t.now = namer.Later(t.now, now)
	for name, m := range t.members {
		if m.Incarnation != inc {
			continue
		}
		before := t.state(m)
		m.doubted = t.now
		t.members[name] = m
		return before == Alive
	}
	return false
}

// Refresh takes another VM's word on when an incarnation was last heard.
func (t *Tracker) Refresh(now time.Time, inc namer.Incarnation, heard time.Time) {
	t.now = namer.Later(t.now, now)
	if heard.After(t.now) {
		heard = t.now
	}
	for name, m := range t.members {
		if m.Incarnation != inc || !heard.After(m.LastHeard) {
			continue
		}
		m.Indirect = m.Indirect || heard.Sub(m.LastHeard) > t.timing.SuspectTimeout
		m.LastHeard = heard
		t.members[name] = m
	}
}

// Forget drops a member until it is heard of again.
func (t *Tracker) Forget(vm namer.VM) {
	delete(t.members, vm)
}

// View returns every member but this VM in the order of names, each with its
// state at the time.
func (t *Tracker) View(now time.Time) []Member {
	t.now = namer.Later(t.now, now)
	view := make([]Member, 0, len(t.members))
	for name, m := range t.members {
		m.State = t.state(m)
		if m.State == Dead && t.now.Sub(m.LastHeard) > forgetAfter*t.timing.DeadTimeout {
			delete(t.members, name)
			continue
		}
		view = append(view, m)
	}
	slices.SortFunc(view, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return view
}

// FindIncarnation returns the member of an incarnation.
func (t *Tracker) FindIncarnation(now time.Time, inc namer.Incarnation) (Member, bool) {
	t.now = namer.Later(t.now, now)
	for _, m := range t.members {
		if m.Incarnation == inc {
			m.State = t.state(m)
			return m, true
		}
	}
	return Member{}, false
}

func (t *Tracker) state(m Member) State {
	silence := t.now.Sub(m.LastHeard)
	if m.Indirect {
		silence /= toldFactor
	}
	switch {
	case silence > t.timing.DeadTimeout:
		return Dead
	case m.Leaving:
		return Leaving
	case silence > t.timing.SuspectTimeout || !m.doubted.Before(m.LastHeard) && !m.doubted.IsZero():
		return Suspect
	}
	return Alive
}

// overtakes reports whether a process that says it is older was heard long
// after the one that is known. Its clock was set back before it started.
func (t *Tracker) overtakes(m, known Member) bool {
	return m.Incarnation != known.Incarnation && m.LastHeard.Sub(known.LastHeard) > t.timing.SuspectTimeout
}

// older reports whether a is an earlier word of the VM than b: an earlier
// process, or an earlier announcement of the same one.
func older(a, b Member) bool {
	if a.Incarnation == b.Incarnation {
		return a.Sequence < b.Sequence
	}
	return !a.Started.After(b.Started)
}
