package selector

import (
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
	updated   time.Time
}

// recordNotice remembers what an upstream announced in a response.
func (s *Selector) recordNotice(now time.Time, u *upstreamState, r Report) {
	if !r.Leaving {
		return
	}
	name := u.Upstream.Upstream
	n := s.notices[name]
	if u.StartedMs > n.startedMs {
		n = notice{startedMs: u.StartedMs}
	}
	n.leaving = true
	n.updated = now
	s.notices[name] = n
	s.forgetNotices()
	if svc := s.services[u.Service]; svc != nil {
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

// isLeaving reports whether an upstream announced its shutdown. Records of the same name
// with an earlier start stand for the same process or for one that is gone.
func (s *Selector) isLeaving(u *upstreamState) bool {
	n, ok := s.notices[u.Upstream.Upstream]
	return ok && n.leaving && u.StartedMs <= n.startedMs
}
