package steerer

// MayRunBeside reports whether a request for a host and path may run beside those that its
// caller sent before it: its route's requests may run more than once.
func (s *Steerer) MayRunBeside(host, path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return false
	}
	route, ok := s.table.Match(host, path)
	return ok && !route.Once
}
