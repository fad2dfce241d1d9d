package sweeper

import "maps"

// The causes of a connection's end between the first byte of a request and the last byte
// of its response.
const (
	// CutByCaller means that the caller had closed the connection.
	CutByCaller CutCause = "caller"
	// CutAtStop means that the process ended.
	CutAtStop CutCause = "stop"
	// CutByWrite means that writing the response failed.
	CutByWrite CutCause = "write"
	// CutUnread means that the caller has stopped reading the response, or reads less than 64 KiB
	// in 10 s.
	CutUnread CutCause = "unread"
	// CutByHandler means that the handler gave up or panicked, or that the request could not
	// be read.
	CutByHandler CutCause = "handler"
)

// CutCause says why a connection ended without a whole response to the request on it.
type CutCause string

// Cuts returns the numbers of connections that ended without a response, or with a part of one for
// CutUnread, by cause, since the process started.
func (s *Sweeper) Cuts() map[CutCause]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	cuts := make(map[CutCause]int64, len(s.cuts))
	maps.Copy(cuts, s.cuts)
	return cuts
}

// countUnread counts and logs a caller that has not read its response in time.
func (s *Sweeper) countUnread(caller string) {
	s.addCut(CutUnread)
	s.log.Warn("response not read in time", "caller", caller, "limit", writeTimeout)
}

// countCut counts and logs a connection that ended without a response.
func (s *Sweeper) countCut(cause CutCause, caller string) {
	draining := s.addCut(cause)
	if cause == CutByCaller {
		return
	}
	s.log.Warn("connection ended without a response", "cause", string(cause), "caller", caller, "draining", draining)
}

// addCut counts a connection's end, and reports whether the process is about to end.
func (s *Sweeper) addCut(cause CutCause) (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cuts == nil {
		s.cuts = make(map[CutCause]int64)
	}
	s.cuts[cause]++
	return s.draining
}

// cutCause returns why the connection ends without a response, and false if no request is
// in progress on it or its response has begun. It must be called before the close.
func (c *conn) cutCause() (CutCause, bool) {
	gone := c.peerClosed()
	draining := c.sweeper.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.responding || c.state != stateReading && c.state != stateBusy:
		return "", false
	case c.writeFailed:
		return CutByWrite, true
	case gone:
		return CutByCaller, true
	case draining:
		return CutAtStop, true
	}
	return CutByHandler, true
}

// noteWrite notes the result of a write to the caller.
func (c *conn) noteWrite(n int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = c.responding || n > 0
	c.writeFailed = c.writeFailed || err != nil
}
