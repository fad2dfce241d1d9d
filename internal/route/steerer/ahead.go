package steerer

// MayRunAhead reports whether a request for a host and an escaped path may run beside others
// of the same connection, and run again if its connection ends: whether its route is
// idempotent.
func (s *Steerer) MayRunAhead(host, path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return false
	}
	route, ok := s.table.Match(host, path)
	return ok && !route.Once
}
