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
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/share/spreader"
)

const (
	// placementInterval is the interval at which the placements are recomputed.
	placementInterval = time.Second
	// storeEveryTicks is the minimum interval between writes of a placement to the store,
	// in placement intervals. At most 3% of a zone's objects move in a second.
	storeEveryTicks = 4
	// minStoreDistance is the fraction of a zone's objects that must have moved since the
	// last write for the placement to be written again.
	minStoreDistance = 0.05
	// notesTimeout bounds each read and each write of notes (see noteStore).
	notesTimeout = time.Second
)

type (
	// noteStore reads and writes notes, which are named JSON values in the platform's
	// store. They outlast a restart of all VMs.
	noteStore interface {
		Notes(ctx context.Context) (map[string]json.RawMessage, error)
		Note(ctx context.Context, name string, spec json.RawMessage) error
	}

	// placementUpdater passes each zone's demand to the steerer at intervals, which
	// recomputes the placements. The relay root writes them to the store, so that after a
	// restart of all VMs requests still go to the zones where their objects are warm.
	placementUpdater struct {
		steerer   *steerer.Steerer
		members   *heartbeater.Heartbeater
		notes     noteStore
		latestEra func() storer.Era
		clock     clockwork.Clock
		log       *slog.Logger
		// stored holds the placements as last written to or read from the store, in storedEra.
		stored    map[namer.Service]spreader.Placement
		storedEra storer.Era
	}
)

// Serve implements registrar.Server.
func (u *placementUpdater) Serve(ctx context.Context) error {
	u.stored = make(map[namer.Service]spreader.Placement)
	u.restore(ctx)
	for ticks := 1; ; ticks++ {
		timer := u.clock.NewTimer(untilNextTick(u.clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.Chan():
		}
		u.steerer.UpdatePlacements(u.demand())
		if ticks%storeEveryTicks == 0 && u.members.IsRelayRoot() {
			u.storeChanged(ctx)
		}
	}
}

// untilNextTick returns the time until the clock reaches the next multiple of the placement
// interval. VMs that update their placements at the same moments agree on the zone of an
// object. If a VM's clock is off, they disagree for a fraction of an interval, which only
// makes some requests reach a cold upstream.
func untilNextTick(now time.Time) time.Duration {
	return placementInterval - time.Duration(now.UnixNano()%int64(placementInterval))
}

// restore reads the placements that were written to the store last and passes them to the
// steerer.
func (u *placementUpdater) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, notesTimeout)
	defer cancel()
	all, err := u.notes.Notes(ctx)
	if err != nil {
		u.log.Warn("placement not restored", "reason", err.Error())
		return
	}
	for name, raw := range all {
		service := namer.Service(name)
		var p spreader.Placement
		if err := json.Unmarshal(raw, &p); err != nil || len(p) == 0 {
			u.log.Warn("placement unreadable", "service", name, "bytes", len(raw))
			continue
		}
		u.stored[service] = p
		u.log.Info("placement restored", "service", name, "zones", len(p), "used", u.steerer.RestorePlacement(service, p))
	}
}

// storeChanged writes to the store those placements that have moved by at least
// minStoreDistance since they were last written or read, and all in a new era of the store,
// which may lack them.
func (u *placementUpdater) storeChanged(ctx context.Context) {
	if era := u.latestEra(); era != u.storedEra {
		clear(u.stored)
		u.storedEra = era
	}
	for service, p := range u.steerer.Placements() {
		if last, ok := u.stored[service]; ok && p.Distance(last) < minStoreDistance {
			continue
		}
		raw, err := json.Marshal(p)
		if err != nil {
			u.log.Error("placement not encoded", "service", string(service), "reason", err.Error())
			continue
		}
		if err := u.store(ctx, string(service), raw); err != nil {
			u.log.Warn("placement not noted", "service", string(service), "reason", err.Error())
			continue
		}
		u.stored[service] = p
		u.log.Info("placement noted", "service", string(service), "zones", len(p))
	}
}

func (u *placementUpdater) store(ctx context.Context, name string, raw json.RawMessage) error {
	ctx, cancel := context.WithTimeout(ctx, notesTimeout)
	defer cancel()
	return u.notes.Note(ctx, name, raw)
}

// demand returns the slots that the callers of each zone need of each service.
func (u *placementUpdater) demand() map[namer.Service]map[namer.Zone]float64 {
	demand := make(map[namer.Service]map[namer.Zone]float64)
	for _, summary := range u.members.Summaries() {
		for _, d := range summary.Demands {
			if demand[d.Service] == nil {
				demand[d.Service] = make(map[namer.Zone]float64)
			}
			demand[d.Service][summary.Zone] = d.Slots
		}
	}
	return demand
}

// demandsOf returns the demand of this VM's callers as it goes into heartbeats.
func demandsOf(st *steerer.Steerer) []tracker.Demand {
	var out []tracker.Demand
	for service, slots := range st.Demand() {
		out = append(out, tracker.Demand{Service: service, Slots: slots})
	}
	return out
}
