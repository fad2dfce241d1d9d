package steerer

import (
	"net/http"

	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/upstream/weigher"
)

// SetMaxUpstreamBytes limits the bytes of the requests that this VM puts on one upstream at the
// same time, 0 for no limit. It must be called before the first request.
func (s *Steerer) SetMaxUpstreamBytes(limit int64) {
	s.weights = weigher.New(limit)
}

// OverweightCount returns how often a request was too large to join those at an upstream.
func (s *Steerer) OverweightCount() int64 {
	return s.weights.Refused()
}

// tooMuchAtUpstream gives a decision up because the requests at its upstream are too large
// together. Another upstream may take the request.
func (s *Steerer) tooMuchAtUpstream(a *activeRequest, d selector.Decision) Result {
	a.tried = append(a.tried, d.Target().Upstream)
	s.release(a, d, selector.Report{Load: -1, Unsent: true, Inconclusive: true})
	s.logAttempt(a, d, 0, "overweight", 0, nil)
	return failure(http.StatusServiceUnavailable, CodeRefused, "the upstream holds as many bytes as it may", s.retryAfter(a))
}
