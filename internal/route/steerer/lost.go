package steerer

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// The delay between probes of an upstream that is not reachable doubles from initialProbeDelay
// to maxProbeDelay.
const (
	initialProbeDelay = 250 * time.Millisecond
	maxProbeDelay     = 2 * time.Second
)

// lostProbe is the next probe of an upstream that is lost.
type lostProbe struct {
	delay     time.Duration
	scheduled bool
	// unreachable says that a probe has failed since the upstream was lost.
	unreachable bool
}

// RecordLost records that an upstream's process may have ended, and probes the upstream until
// it is reachable. Until it has been reachable for its warm-up time, it counts as cold.
func (s *Steerer) RecordLost(t cataloger.Target) {
	s.mu.Lock()
	isNew := s.selector.RecordLost(t)
	if isNew {
		s.counts.Lost++
	}
	s.mu.Unlock()
	if isNew {
		s.log.Info("upstream lost; it counts as cold until its process is known", "upstream", string(t.Upstream), "born", t.StartedMs)
		s.probeLost(t)
	}
}

// probeLost starts to probe a lost upstream, unless that has begun.
func (s *Steerer) probeLost(t cataloger.Target) {
	p := processOf(t)
	s.mu.Lock()
	begun := s.lostProbes[p] != nil
	if !begun {
		s.lostProbes[p] = &lostProbe{delay: initialProbeDelay}
	}
	s.mu.Unlock()
	if !begun {
		s.startProbe(t)
	}
}

// recordProbed records the result of a probe, and schedules the next one if the upstream is
// still not reachable. It reports whether an earlier probe has failed since the upstream was
// lost, so that the process that is reachable now may be another one.
func (s *Steerer) recordProbed(t cataloger.Target, err error) bool {
	p := processOf(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.selector.RecordContact(s.clock.Now(), t)
	}
	next := s.lostProbes[p]
	unreachable := next != nil && next.unreachable
	if !s.selector.IsLost(t) {
		delete(s.lostProbes, p)
		return unreachable
	}
	if next == nil {
		return false
	}
	next.unreachable = true
	if next.scheduled {
		return unreachable
	}
	next.scheduled = true
	s.clock.AfterFunc(next.delay, func() {
		s.mu.Lock()
		next.scheduled = false
		s.mu.Unlock()
		s.startProbe(t)
	})
	next.delay = min(2*next.delay, maxProbeDelay)
	return unreachable
}
