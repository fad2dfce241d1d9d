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
	// spreadEvery is how often the parts of zones are worked out anew.
	spreadEvery = time.Second
	// noteEvery is how many times that the placement may be written to the store;
	// parts move by at most 3 in 100 a second.
	noteEvery = 4
	// noteApart is the part of a zone's objects that must have moved for that.
	noteApart = 0.05
	// noteTime bounds the reading and the writing of notes.
	noteTime = time.Second
)

type (
	// notes keeps what is to be known after a restart.
	notes interface {
		Notes(ctx context.Context) (map[string]json.RawMessage, error)
		Note(ctx context.Context, name string, spec json.RawMessage) error
	}

	// spread tells the steerer at intervals what each zone's callers need. The
	// first of the VMs notes the placement that comes of it, so that VMs that
	// have all been restarted send objects to where they are still warm.
	spread struct {
		steerer *steerer.Steerer
		members *heartbeater.Heartbeater
		notes   notes
		clock   clockwork.Clock
		log     *slog.Logger
		noted   map[namer.Service]spreader.Placement
	}
)

// Serve implements registrar.Server.
func (s *spread) Serve(ctx context.Context) error {
	s.noted = make(map[namer.Service]spreader.Placement)
	s.restore(ctx)
	for ticks := 1; ; ticks++ {
		timer := s.clock.NewTimer(untilNext(s.clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.Chan():
		}
		s.steerer.UpdatePlacements(s.needs())
		if ticks%noteEvery == 0 && s.members.IsRelayRoot() {
			s.note(ctx)
		}
	}
}

// untilNext returns the time to the next whole interval of the time of day. VMs
// that move parts at the same moments agree on where an object is; where a clock is
// off they differ for a part of an interval, which costs warmth only.
func untilNext(now time.Time) time.Duration {
	return spreadEvery - time.Duration(now.UnixNano()%int64(spreadEvery))
}

// restore takes over the placement that was noted last.
func (s *spread) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, noteTime)
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
		s.noted[service] = p
		s.log.Info("placement restored", "service", name, "zones", len(p), "used", s.steerer.RestorePlacement(service, p))
	}
}

// note writes the placements that have moved since they were noted last.
func (s *spread) note(ctx context.Context) {
	for service, p := range s.steerer.Placements() {
		if known, ok := s.noted[service]; ok && p.Distance(known) < noteApart {
			continue
		}
		raw, err := json.Marshal(p)
		if err != nil {
			s.log.Error("placement not encoded", "service", string(service), "reason", err.Error())
			continue
		}
		if err := s.write(ctx, string(service), raw); err != nil {
			s.log.Warn("placement not noted", "service", string(service), "reason", err.Error())
			continue
		}
		s.noted[service] = p
		s.log.Info("placement noted", "service", string(service), "zones", len(p))
	}
}

func (s *spread) write(ctx context.Context, name string, raw json.RawMessage) error {
	ctx, cancel := context.WithTimeout(ctx, noteTime)
	defer cancel()
	return s.notes.Note(ctx, name, raw)
}

func (s *spread) needs() map[namer.Service]map[namer.Zone]float64 {
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

func needsOf(st *steerer.Steerer) []tracker.Demand {
	var out []tracker.Demand
	for service, slots := range st.Demand() {
		out = append(out, tracker.Demand{Service: service, Slots: slots})
	}
	return out
}
