package runner

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
)

const (
	// placementInterval is how often the parts of zones are worked out anew.
	placementInterval = time.Second
	// storeEveryTicks is how many times that the placement may be written to the store;
	// parts move by at most 3 in 100 a second.
	storeEveryTicks = 4
	// minStoreDistance is the part of a zone's objects that must have moved for that.
	minStoreDistance = 0.05
	// notesTimeout bounds the reading and the writing of notes.
	notesTimeout = time.Second
)

type (
	// noteStore keeps what is to be known after a restart.
	noteStore interface {
		Notes(ctx context.Context) (map[string]json.RawMessage, error)
		Note(ctx context.Context, name string, spec json.RawMessage) error
	}

	// placementUpdater tells the steerer at intervals what each zone's callers need. The
	// first of the VMs notes the placement that comes of it, so that VMs that
	// have all been restarted send objects to where they are still warm.
	placementUpdater struct {
		steerer *steerer.Steerer
		members *heartbeater.Heartbeater
		notes   noteStore
		clock   clockwork.Clock
		log     *slog.Logger
		stored  map[namer.Service]spreader.Placement
	}
)

// Serve implements registrar.Server.
func (s *placementUpdater) Serve(ctx context.Context) error {
	s.stored = make(map[namer.Service]spreader.Placement)
	s.restore(ctx)
	for ticks := 1; ; ticks++ {
		timer := s.clock.NewTimer(untilNextTick(s.clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.Chan():
		}
		s.steerer.UpdatePlacements(s.demand())
		if ticks%storeEveryTicks == 0 && s.members.IsRelayRoot() {
			s.storeChanged(ctx)
		}
	}
}

// untilNextTick returns the time to the next whole interval of the time of day. VMs
// that move parts at the same moments agree on where an object is; where a clock is
// off they differ for a part of an interval, which costs warmth only.
func untilNextTick(now time.Time) time.Duration {
	return placementInterval - time.Duration(now.UnixNano()%int64(placementInterval))
}

// restore takes over the placement that was noted last.
func (s *placementUpdater) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, notesTimeout)
	defer cancel()
	all, err := s.notes.Notes(ctx)
	if err != nil {
		s.log.Warn("placement not restored", "reason", err.Error())
		return
	}
	for name, raw := range all {
		service := namer.Service(name)
		var p spreader.Placement
		if err := json.Unmarshal(raw, &p); err != nil || len(p) == 0 {
			s.log.Warn("placement unreadable", "service", name, "bytes", len(raw))
			continue
		}
		s.stored[service] = p
		s.log.Info("placement restored", "service", name, "zones", len(p), "used", s.steerer.RestorePlacement(service, p))
	}
}

// storeChanged writes the placements that have moved since they were noted last.
func (s *placementUpdater) storeChanged(ctx context.Context) {
	for service, p := range s.steerer.Placements() {
		if known, ok := s.stored[service]; ok && p.Distance(known) < minStoreDistance {
			continue
		}
		raw, err := json.Marshal(p)
		if err != nil {
			s.log.Error("placement not encoded", "service", string(service), "reason", err.Error())
			continue
		}
		if err := s.store(ctx, string(service), raw); err != nil {
			s.log.Warn("placement not noted", "service", string(service), "reason", err.Error())
			continue
		}
		s.stored[service] = p
		s.log.Info("placement noted", "service", string(service), "zones", len(p))
	}
}

func (s *placementUpdater) store(ctx context.Context, name string, raw json.RawMessage) error {
	ctx, cancel := context.WithTimeout(ctx, notesTimeout)
	defer cancel()
	return s.notes.Note(ctx, name, raw)
}

func (s *placementUpdater) demand() map[namer.Service]map[namer.Zone]float64 {
	needs := make(map[namer.Service]map[namer.Zone]float64)
	for _, summary := range s.members.Summaries() {
		for _, n := range summary.Demands {
			if needs[n.Service] == nil {
				needs[n.Service] = make(map[namer.Zone]float64)
			}
			needs[n.Service][summary.Zone] = n.Slots
		}
	}
	return needs
}

func demandsOf(st *steerer.Steerer) []tracker.Demand {
	var out []tracker.Demand
	for service, slots := range st.Demand() {
		out = append(out, tracker.Demand{Service: service, Slots: slots})
	}
	return out
}
