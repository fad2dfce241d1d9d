package selector

import (
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// maxNotices bounds the notices that are kept, apart from those of upstreams in the view.
const maxNotices = 4096

// notice is what the process of an upstream announced in its responses. It is kept apart
// from the upstream's state, since the record may disappear and come back, or an older one
// may, while the process runs on.
type notice struct {
	startedMs int64
	leaving   bool
	// pausedUntil is the end of the time in which the upstream wants no requests.
	pausedUntil time.Time
	updated     time.Time
}

// recordNotice remembers what an upstream announced in a response.
func (s *Selector) recordNotice(now time.Time, u *upstreamState, r Report) {
	if !r.Leaving && r.RetryAfter <= 0 {
		return
	}
	name := u.Upstream.Upstream
	n := s.notices[name]
	switch {
	case n == nil || u.StartedMs > n.startedMs:
		n = &notice{startedMs: u.StartedMs}
		s.notices[name] = n
	case u.StartedMs < n.startedMs:
		// The process has ended, and the next one has announced something itself.
		return
	}
	n.leaving = n.leaving || r.Leaving
	if until := now.Add(r.RetryAfter); until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	n.updated = now
	s.forgetNotices()
	current := s.upstreams[name]
	if current == nil {
		return
	}
	current.notice = s.noticeOf(current)
	if svc := s.services[current.Service]; svc != nil && n.leaving {
		s.countSlots(svc)
	}
}

// forgetNotices drops the oldest notices of upstreams that are not in the view, down to
// the limit.
func (s *Selector) forgetNotices() {
	for len(s.notices) > maxNotices {
		var oldest namer.Upstream
		for name, n := range s.notices {
			if s.upstreams[name] == nil && (oldest == "" || n.updated.Before(s.notices[oldest].updated)) {
				oldest = name
			}
		}
		if oldest == "" {
			return
		}
		delete(s.notices, oldest)
	}
}

// noticeOf returns the notice that holds for an upstream, or nil. Records of the same name
// with an earlier start stand for the same process or for one that is gone.
func (s *Selector) noticeOf(u *upstreamState) *notice {
	n := s.notices[u.Upstream.Upstream]
	if n == nil || u.StartedMs > n.startedMs {
		return nil
	}
	return n
}

func (n *notice) isLeaving() bool {
	return n != nil && n.leaving
}

// pauseLeft returns how much longer the upstream wants no requests, at least 0.
func (n *notice) pauseLeft(now time.Time) time.Duration {
	if n == nil {
		return 0
	}
	return max(0, n.pausedUntil.Sub(now))
}

// decideAfterPause decides on a request that would be refused by the upstreams that take
// requests now. It waits if a paused upstream can answer it in time after the pause.
func (s *Selector) decideAfterPause(now time.Time, svc *service, r Request, refusal Decision) Decision {
	times := s.timesOf(r.Route)
	for _, u := range svc.upstreams {
		pause := u.notice.pauseLeft(now)
		if pause == 0 || s.isDraining(u) || !r.allowsRegion(u.region) || slices.Contains(r.Tried, u.Upstream.Upstream) {
			continue
		}
		// The queue at the upstream shortens during the pause.
		expected := max(s.evaluate(now, u, 0, times).ExpectedLatency, pause+u.expectedProcessingTime(now, times.usual)+s.rtt(u))
		if expected <= r.Deadline.Sub(now) {
			return Decision{Action: Wait, Reason: ReasonPaused}
		}
	}
	if pause := s.PauseLeft(now, r); pause > 0 {
		refusal.Reason = ReasonPaused
		refusal.RetryAfter = pause
	}
	return refusal
}

// PauseLeft returns the time until the first upstream of a service takes requests like r
// again, or 0 if not all of them are paused.
func (s *Selector) PauseLeft(now time.Time, r Request) time.Duration {
	svc := s.services[r.Service]
	if svc == nil {
		return 0
	}
	var shortest time.Duration
	for _, u := range svc.upstreams {
		if s.isDraining(u) || !r.allowsRegion(u.region) {
			continue
		}
		pause := u.notice.pauseLeft(now)
		if pause == 0 {
			return 0
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	return shortest
}
