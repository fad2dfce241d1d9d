// Package tracker keeps one VM's view of the other entry VMs and detects their failures.
// It is a pure state machine: its inputs are members from heartbeats, copies of them from
// other VMs, and the current time; its output is the state of each member. Safety does not
// depend on it. It only decides where to send work and which peers to contact.
//
// # Usage
//
//	t := tracker.New(self, tracker.Timing{SuspectTimeout: time.Second, DeadTimeout: 5 * time.Second})
//	t.Merge(now, member)
//	for _, m := range t.View(now) {
//		if m.State == tracker.Alive {
//			// Send a request to m.
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

// The states of a member. A Suspect member has been silent for a while, or its connection
// has ended. A Leaving one takes no new callers. A Dead one has been silent for longer.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// forgetFactor is the silence after which a dead member is removed from the view, as a
// multiple of the dead timeout.
const forgetFactor = 60

// indirectSilenceFactor multiplies the timeouts of a member that is known only through
// others. These report only every few seconds when they last heard it, but report at once
// that it has become suspect.
const indirectSilenceFactor = 6

type (
	// State is a member's state in this VM's view.
	State int

	// FreeCapacity is the request weight that a member can still take for a service.
	FreeCapacity struct {
		Service namer.Service
		Weight  namer.Weight
	}

	// Demand is the number of slots of a service that a member's callers need.
	Demand struct {
		Service namer.Service
		Slots   float64
	}

	// SeenVersion is the store version up to which a member has seen the records of a kind.
	SeenVersion struct {
		Kind    storer.Kind
		Version storer.Version
	}

	// Member is an entry VM as it described itself. LastHeard is when it was last known
	// to run. State is derived from it when the view is read.
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
		// StoreUnreachable is whether the store does not answer the member.
		StoreUnreachable bool
		// AccountsStale is whether the member refuses the keys of all client accounts, because
		// it does not know the accounts as of now.
		AccountsStale bool
		Generation    namer.Generation
		// ZoneSize is the number of VMs in the member's zone that it knows to run,
		// including itself.
		ZoneSize     int
		FreeCapacity []FreeCapacity
		Demands      []Demand
		SeenVersions []SeenVersion
		LastHeard    time.Time
		// Indirect is whether the member is known only through others.
		Indirect bool
		State    State

		// unreachableAt is when it last could not be reached, or zero.
		unreachableAt time.Time
	}

	// ZoneSummary is the VM count and the total demand of a zone at a time, as reported by
	// a VM of the zone.
	ZoneSummary struct {
		Zone    namer.Zone
		VMs     int
		Demands []Demand
		At      time.Time
	}

	// Timing holds the durations of silence after which a member is suspect and dead.
	Timing struct {
		SuspectTimeout time.Duration
		DeadTimeout    time.Duration
	}

	// Tracker is one VM's view of the members. Its time is the latest that a call has
	// passed, so it never goes back.
	Tracker struct {
		self    namer.VM
		timing  Timing
		now     time.Time
		members map[namer.VM]Member
	}
)

// String returns the state's name in logs and tables.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// New returns an empty view for the VM self, which is never part of it.
func New(self namer.VM, timing Timing) *Tracker {
	return &Tracker{self: self, timing: timing, members: make(map[namer.VM]Member)}
}

// Merge adds or updates a member from its own heartbeat, or from another VM's copy with the
// time at which that VM heard it. It reports whether the member is new, has a new process or
// has begun to leave.
func (t *Tracker) Merge(now time.Time, m Member) bool {
	t.now = namer.Later(t.now, now)
	if m.VM == t.self || m.VM == "" {
		return false
	}
	if m.LastHeard.After(t.now) {
		m.LastHeard = t.now
	}
	known, ok := t.members[m.VM]
	if ok && (older(m, known) && !t.heardMuchLater(m, known) || t.heardMuchLater(known, m)) {
		return false
	}
	if ok && m.Incarnation == known.Incarnation {
		m.Indirect = m.Indirect && (known.Indirect || m.LastHeard.Sub(known.LastHeard) > t.timing.SuspectTimeout)
		m.LastHeard = namer.Later(m.LastHeard, known.LastHeard)
		// An incarnation never revokes Leaving.
		m.Leaving = m.Leaving || known.Leaving
		if m.Sequence == known.Sequence {
			known.LastHeard = m.LastHeard
			known.Leaving = m.Leaving
			known.Indirect = m.Indirect
			t.members[m.VM] = known
			return false
		}
	}
	m.unreachableAt = time.Time{}
	if ok && m.Incarnation == known.Incarnation {
		m.unreachableAt = known.unreachableAt
	}
	t.members[m.VM] = m
	return !ok || m.Incarnation != known.Incarnation || m.Leaving != known.Leaving
}

// MarkUnreachable records that an incarnation cannot be reached. It is suspect until it is
// heard again. MarkUnreachable reports whether it was alive before.
func (t *Tracker) MarkUnreachable(now time.Time, inc namer.Incarnation) bool {
	t.now = namer.Later(t.now, now)
	for name, m := range t.members {
		if m.Incarnation != inc {
			continue
		}
		before := t.state(m)
		m.unreachableAt = t.now
		t.members[name] = m
		return before == Alive
	}
	return false
}

// Refresh updates when an incarnation was last heard, as reported by another VM.
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

// Forget removes a member until it is merged again.
func (t *Tracker) Forget(vm namer.VM) {
	delete(t.members, vm)
}

// View returns every member except this VM, sorted by name, each with its state at the
// given time. It removes members that have been dead for long.
func (t *Tracker) View(now time.Time) []Member {
	t.now = namer.Later(t.now, now)
	view := make([]Member, 0, len(t.members))
	for name, m := range t.members {
		m.State = t.state(m)
		if m.State == Dead && t.now.Sub(m.LastHeard) > forgetFactor*t.timing.DeadTimeout {
			delete(t.members, name)
			continue
		}
		view = append(view, m)
	}
	slices.SortFunc(view, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return view
}

// FindIncarnation returns the member with an incarnation and its state at the given time.
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
		silence /= indirectSilenceFactor
	}
	switch {
	case silence > t.timing.DeadTimeout:
		return Dead
	case m.Leaving:
		return Leaving
	case silence > t.timing.SuspectTimeout || !m.unreachableAt.Before(m.LastHeard) && !m.unreachableAt.IsZero():
		return Suspect
	}
	return Alive
}

// heardMuchLater reports whether m is another process of the VM that was heard more than
// the suspect timeout after the known one. Such a process replaces the known one even if it
// claims an earlier start, because the VM's clock was set back before it started.
func (t *Tracker) heardMuchLater(m, known Member) bool {
	return m.Incarnation != known.Incarnation && m.LastHeard.Sub(known.LastHeard) > t.timing.SuspectTimeout
}

// older reports whether a is an earlier description of the VM than b: one of an earlier
// process, or an earlier one of the same process.
func older(a, b Member) bool {
	if a.Incarnation == b.Incarnation {
		return a.Sequence < b.Sequence
	}
	return !a.Started.After(b.Started)
}
