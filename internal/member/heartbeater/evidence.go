package heartbeater

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

const (
	// evidenceWindowHeartbeats is the number of heartbeat intervals after a change of the
	// evidence in which heartbeats carry it, so that the loss of some does no harm.
	evidenceWindowHeartbeats = 6
	// maxSuspectsPerHeartbeat bounds the suspects in a heartbeat, maxSuspectsForNewPeer
	// those in the first one to a peer.
	maxSuspectsPerHeartbeat = 64
	maxSuspectsForNewPeer   = 1024
	// evidenceInterval is the shortest interval between heartbeats that are sent at once for
	// new evidence. It bounds them when many upstreams crash together.
	evidenceInterval = 100 * time.Millisecond
)

// SendEvidence sends heartbeats because there is new evidence: at once, or evidenceInterval
// after the last time.
func (h *Heartbeater) SendEvidence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evidenceDue {
		return
	}
	h.evidenceDue = true
	wait := max(0, evidenceInterval-h.clock.Since(h.evidenceSentAt))
	h.clock.AfterFunc(wait, func() {
		h.mu.Lock()
		h.evidenceDue = false
		h.evidenceSentAt = h.clock.Now()
		h.mu.Unlock()
		h.SendNow()
	})
}

// addEvidence adds the evidence that a peer may lack: what has changed lately, all of it for
// a new peer, and all that makes this VM refuse requests for a peer that refuses others. The
// caller holds h.mu.
func (h *Heartbeater) addEvidence(hb *encoder.Heartbeat, peer tracker.Member, newPeer bool, now time.Time) {
	if h.deps.Evidence == nil {
		return
	}
	hb.Refused = h.deps.Evidence.Hash(now)
	if newPeer {
		hb.Suspects = converter.Suspects(h.deps.Evidence.Changed(time.Time{}, maxSuspectsForNewPeer), now)
		return
	}
	window := evidenceWindowHeartbeats * h.timing.HeartbeatInterval
	hb.Suspects = converter.Suspects(h.deps.Evidence.Changed(now.Add(-window), maxSuspectsPerHeartbeat), now)
	if hb.Refused != h.refusedHashes[peer.VM] {
		hb.Suspects = append(hb.Suspects, converter.Suspects(h.deps.Evidence.Refused(now, maxSuspectsPerHeartbeat), now)...)
	}
}

// mergeEvidence adds a peer's evidence, and passes on what is new.
func (h *Heartbeater) mergeEvidence(now time.Time, peer namer.VM, hb *encoder.Heartbeat) {
	if h.deps.Evidence == nil {
		return
	}
	h.mu.Lock()
	h.refusedHashes[peer] = hb.GetRefused()
	h.mu.Unlock()
	if h.deps.Evidence.Merge(now, converter.SuspectsFrom(hb.GetSuspects(), now)) {
		h.SendEvidence()
	}
}
