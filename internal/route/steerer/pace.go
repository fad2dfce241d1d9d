package steerer

import "github.com/waxwingloom/waxwingloom/internal/route/selector"

// Paces returns the counts of the paces of upstreams that have started or recovered.
func (s *Steerer) Paces() selector.PaceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Paces(s.clock.Now())
}

// logPaces logs the paces that have begun or ended. The caller holds s.mu.
func (s *Steerer) logPaces() {
	for _, e := range s.selector.TakePaceEvents() {
		s.log.Info("pace of an upstream", "upstream", string(e.Upstream), "zone", string(e.Zone), "cause", string(e.Cause))
	}
}
