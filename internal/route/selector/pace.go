package selector

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/starter"
)

// The causes of a pace, and its end, as in the log.
const (
	PaceStarted   PaceCause = "started"
	PaceReturned  PaceCause = "zone-returned"
	PaceReachable PaceCause = "reachable"
	PaceEnded     PaceCause = "ended"
)

// maxPaceEvents bounds the events that are kept until they are taken.
const maxPaceEvents = 1024

type (
	// PaceCause is why the pace of an upstream begins, or that it has ended.
	PaceCause string

	// PaceEvent tells that the pace of an upstream has begun or ended.
	PaceEvent struct {
		Upstream namer.Upstream
		Zone     namer.Zone
		Cause    PaceCause
	}

	// PaceCounts are the upstreams whose pace has not ended, and what has changed the paces
	// since the start.
	PaceCounts struct {
		starter.Counts
		Paced int
	}
)

// Paces returns the counts of the upstreams' paces.
func (s *Selector) Paces(now time.Time) PaceCounts {
	out := PaceCounts{Counts: s.paceCounts}
	for _, u := range s.upstreams {
		if u.pace.IsActive(now) {
			out.Paced++
		}
	}
	return out
}

// TakePaceEvents returns the paces that have begun or ended since the last call. The end of a pace
// is noticed with the next response.
func (s *Selector) TakePaceEvents() []PaceEvent {
	out := s.paceEvents
	s.paceEvents = nil
	return out
}

// paceStarted begins the pace of a process that has started during traffic, which its record shows
// by a cold period, or whose zone has returned.
func (s *Selector) paceStarted(now time.Time, u *upstreamState, returned bool) {
	isNew := !u.started
	u.started = true
	switch {
	case returned:
		s.beginPace(u, PaceReturned)
	case isNew && now.Before(u.ColdUntil):
		s.beginPace(u, PaceStarted)
	}
}

// paceRecovered begins the pace of an upstream that is reachable again, and ends its back-off.
func (s *Selector) paceRecovered(u *upstreamState) {
	u.retryAt = time.Time{}
	u.connectFailures = 0
	s.beginPace(u, PaceReachable)
}

// beginPace begins the pace of an upstream, which rises by itself once it is no longer cold.
func (s *Selector) beginPace(u *upstreamState, cause PaceCause) {
	u.pace.Begin(u.ColdUntil, u.Slots, &s.paceCounts)
	u.pacing = true
	s.addPaceEvent(u, cause)
}

// recordPace moves the pace of the upstream that handled a request.
func (s *Selector) recordPace(now time.Time, d Decision, r Report) {
	u := d.upstream
	switch {
	case r.ConnectFailed, r.Refused, r.Failed:
		u.pace.Record(now, starter.Bad, &s.paceCounts)
	case !r.Inconclusive:
		expected := time.Duration(coldFactor * float64(d.usual))
		u.pace.Record(now, starter.Judge(r.Latency-r.ConnectTime-s.rtt(u), expected), &s.paceCounts)
	}
	if u.pacing && !u.pace.IsActive(now) {
		u.pacing = false
		s.addPaceEvent(u, PaceEnded)
	}
}

func (s *Selector) addPaceEvent(u *upstreamState, cause PaceCause) {
	if len(s.paceEvents) < maxPaceEvents {
		s.paceEvents = append(s.paceEvents, PaceEvent{Upstream: u.Upstream.Upstream, Zone: u.Zone, Cause: cause})
	}
}
