package selector

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// RecordLost records that all connections to an upstream's process have ended, or that its
// host refuses connections: the process may have ended. Since the store tells of the next
// process late, the upstream counts as cold until it has been reachable for its warm-up time.
// It reports whether that is new.
func (s *Selector) RecordLost(t cataloger.Target) bool {
	u := s.processOf(t)
	if u == nil || u.lost {
		return false
	}
	u.lost = true
	return true
}

// RecordContact records that a connection to an upstream has opened.
func (s *Selector) RecordContact(now time.Time, t cataloger.Target) {
	if u := s.processOf(t); u != nil {
		s.recordContact(now, u)
	}
}

// Lost returns the upstreams that are lost.
func (s *Selector) Lost() []cataloger.Target {
	var out []cataloger.Target
	for _, u := range s.upstreams {
		if u.lost {
			out = append(out, u.target())
		}
	}
	return out
}

// IsLost reports whether no connection to an upstream's process has opened since it was lost.
func (s *Selector) IsLost(t cataloger.Target) bool {
	u := s.processOf(t)
	return u != nil && u.lost
}

// processOf returns the state of a target's process, or nil if it is not in the view.
func (s *Selector) processOf(t cataloger.Target) *upstreamState {
	u := s.upstreams[t.Upstream]
	if u == nil || u.StartedMs != t.StartedMs || u.Address != t.Address {
		return nil
	}
	return u
}

// recordContact ends the time in which the process was not reachable. It started before now, so
// it is warm after the warm-up time.
func (s *Selector) recordContact(now time.Time, u *upstreamState) {
	if !u.lost {
		return
	}
	u.lost = false
	if until := now.Add(u.warmup); until.After(u.ColdUntil) {
		u.ColdUntil = until
	}
	s.paceRecovered(u)
}
