package runner

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

// spreadEvery is how often the parts of zones are worked out anew.
const spreadEvery = time.Second

// spread tells the steerer at intervals what each zone's callers need.
type spread struct {
	steerer *steerer.Steerer
	members *heartbeater.Heartbeater
	clock   clockwork.Clock
}

// Serve implements registrar.Server.
func (s *spread) Serve(ctx context.Context) error {
	ticker := s.clock.NewTicker(spreadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			s.steerer.Spread(s.needs())
		}
	}
}

func (s *spread) needs() map[namer.Service]map[namer.Zone]float64 {
	needs := make(map[namer.Service]map[namer.Zone]float64)
	for _, m := range withSelf(s.members) {
		if m.State == tracker.Dead {
			continue
		}
		for _, n := range m.Needs {
			if needs[n.Service] == nil {
				needs[n.Service] = make(map[namer.Zone]float64)
			}
			needs[n.Service][m.Zone] += n.Slots
		}
	}
	return needs
}

func needsOf(st *steerer.Steerer) []tracker.Need {
	var out []tracker.Need
	for service, slots := range st.Needs() {
		out = append(out, tracker.Need{Service: service, Slots: slots})
	}
	return out
}
