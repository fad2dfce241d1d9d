package heartbeater

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

// sentState records what was sent to a peer: when it last got zone summaries, which
// summary is next, and when it last got the complete sender.
type sentState struct {
	summariesAt  time.Time
	nextSummary  int
	fullSenderAt time.Time
}

// Summaries returns the VM count and the total demand of each zone. Those of other zones
// are as reported by their gateways.
func (h *Heartbeater) Summaries() []tracker.ZoneSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	return h.summarize(h.selfNow(), h.tracker.View(now), now)
}

// compose returns a heartbeat for a peer. A peer that knows this process gets a sender
// without the fields that never change. A peer that is new to this VM gets all members
// that it may need.
func (h *Heartbeater) compose(peer tracker.Member, knowsSelf, newPeer bool) *encoder.Heartbeat {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.self.Sequence++
	self := h.selfNow()
	members := h.tracker.View(now)
	self.ZoneSize = 1 + count(members, func(m tracker.Member) bool { return m.Zone == self.Zone && m.State != tracker.Dead })
	sent := h.sent[peer.VM]
	hb := &encoder.Heartbeat{Sender: converter.CompactMember(self, now)}
	if !knowsSelf || now.Sub(sent.fullSenderAt) >= fullSenderIntervalHeartbeats*h.timing.HeartbeatInterval {
		hb.Sender = converter.Member(self, now)
		sent.fullSenderAt = now
	}
	h.addMembers(hb, peer, newPeer, self, members, now)
	h.addEvidence(hb, peer, newPeer, now)
	if newPeer || now.Sub(sent.summariesAt) >= summaryIntervalHeartbeats*h.timing.HeartbeatInterval {
		sent.summariesAt = now
		sent.nextSummary = h.addSummaries(hb, peer, sent.nextSummary, self, members, now)
	}
	if peer.VM != "" {
		h.sent[peer.VM] = sent
	}
	return hb
}

// addMembers adds the members that a peer may lack. A new peer gets all that it may need.
// Other peers get recently changed members, and only from a gateway: a peer of the own
// zone those of other zones, a peer of another zone the gateways of this zone. Changes
// within a zone are not sent in that zone, because its VMs hear each other directly.
func (h *Heartbeater) addMembers(hb *encoder.Heartbeat, peer tracker.Member, newPeer bool, self tracker.Member, members []tracker.Member, now time.Time) {
	if !newPeer && !h.isGateway(members) {
		return
	}
	changed := func(m tracker.Member) bool {
		return now.Sub(h.changedAt[m.VM]) <= changeWindowHeartbeats*h.timing.HeartbeatInterval
	}
	if !newPeer && !slices.ContainsFunc(members, changed) {
		return
	}
	added := 0
	for _, m := range ZoneView(self, members, membersPerOtherZone) {
		ownZone := m.Zone == self.Zone
		lacks := changed(m) && (ownZone && peer.Zone != self.Zone && IsGateway(m.VM, m.Zone, members) || !ownZone && peer.Zone == self.Zone)
		if newPeer || lacks && added < maxChangesPerHeartbeat {
			hb.Members = append(hb.Members, converter.Member(m, now))
			added++
		}
	}
}

// addSummaries adds what is sent at longer intervals. A peer of the own zone that knows
// fewer VMs of the zone than this VM gets all of them. A gateway adds summaries and kept
// members of other zones for a peer of its own zone, a bounded number of zones at a time,
// and the summary of its own zone for a peer of another zone. It returns the index of the
// summary to continue from.
func (h *Heartbeater) addSummaries(hb *encoder.Heartbeat, peer tracker.Member, next int, self tracker.Member, members []tracker.Member, now time.Time) int {
	at := slices.IndexFunc(members, func(m tracker.Member) bool { return m.VM == peer.VM })
	if at >= 0 && peer.Zone == self.Zone && members[at].ZoneSize < self.ZoneSize {
		for _, m := range members {
			if m.Zone == self.Zone {
				hb.Members = append(hb.Members, converter.Member(m, now))
			}
		}
	}
	if !h.isGateway(members) {
		return next
	}
	summaries := h.summarize(self, members, now)
	if peer.Zone != self.Zone {
		at = slices.IndexFunc(summaries, func(s tracker.ZoneSummary) bool { return s.Zone == self.Zone })
		hb.Summaries = append(hb.Summaries, converter.Summary(summaries[at], now))
		return next
	}
	view := ZoneView(self, members, membersPerOtherZone)
	for i := range min(len(summaries), maxSummariesPerHeartbeat) {
		s := summaries[(next+i)%len(summaries)]
		if s.Zone == self.Zone {
			continue
		}
		hb.Summaries = append(hb.Summaries, converter.Summary(s, now))
		for _, m := range view {
			if m.Zone != s.Zone {
				continue
			}
			if len(m.FreeCapacity) > 0 {
				hb.Members = append(hb.Members, converter.Member(m, now))
				continue
			}
			hb.Alive = append(hb.Alive, &encoder.Alive{Incarnation: m.Incarnation[:], Age: now.Sub(m.LastHeard).Milliseconds()})
		}
	}
	return (next + maxSummariesPerHeartbeat) % max(len(summaries), 1)
}

// summarize returns the summaries of all zones, sorted by name. The one of the own zone is
// computed from the members that this VM knows.
func (h *Heartbeater) summarize(self tracker.Member, members []tracker.Member, now time.Time) []tracker.ZoneSummary {
	known := make(map[namer.Zone]tracker.ZoneSummary)
	for _, m := range append(slices.Clone(members), self) {
		if m.State == tracker.Dead {
			continue
		}
		s := known[m.Zone]
		known[m.Zone] = tracker.ZoneSummary{Zone: m.Zone, VMs: s.VMs + 1, Demands: addDemands(s.Demands, m.Demands), At: now}
	}
	out := make([]tracker.ZoneSummary, 0, len(known))
	for zone, s := range known {
		if reported, ok := h.summaries[zone]; ok && zone != self.Zone {
			// This VM may know only some of the zone's members.
			reported.VMs = max(reported.VMs, s.VMs)
			s = reported
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b tracker.ZoneSummary) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}

func count(members []tracker.Member, match func(tracker.Member) bool) int {
	n := 0
	for _, m := range members {
		if match(m) {
			n++
		}
	}
	return n
}

func addDemands(sum, added []tracker.Demand) []tracker.Demand {
	out := slices.Clone(sum)
	for _, n := range added {
		at := slices.IndexFunc(out, func(o tracker.Demand) bool { return o.Service == n.Service })
		if at < 0 {
			out = append(out, n)
			continue
		}
		out[at].Slots += n.Slots
	}
	return out
}

// prune removes the members of other zones that this VM does not keep, and returns the
// rest.
func (h *Heartbeater) prune(members []tracker.Member) []tracker.Member {
	kept := make(map[namer.VM]bool)
	for _, m := range ZoneView(h.self, members, membersPerOtherZone) {
		kept[m.VM] = true
	}
	return slices.DeleteFunc(members, func(m tracker.Member) bool {
		if m.Zone == h.self.Zone || kept[m.VM] {
			return false
		}
		h.tracker.Forget(m.VM)
		return true
	})
}

// mergeOthers merges what a heartbeat reports about members other than its sender and
// about other zones.
func (h *Heartbeater) mergeOthers(now time.Time, hb *encoder.Heartbeat) {
	for _, raw := range hb.GetMembers() {
		m, ok := converter.MemberFrom(raw, now)
		if !ok {
			continue
		}
		m.Indirect = true
		suspect := m.State == tracker.Suspect
		h.tracker.Merge(now, m)
		if known, ok := h.tracker.FindIncarnation(now, m.Incarnation); ok && suspect && !known.LastHeard.After(m.LastHeard) {
			h.tracker.MarkUnreachable(now, m.Incarnation)
		}
	}
	for _, raw := range hb.GetAlive() {
		if inc, ok := namer.IncarnationFromBytes(raw.GetIncarnation()); ok {
			h.tracker.Refresh(now, inc, now.Add(-converter.AgeFrom(raw.GetAge())))
		}
	}
	for _, raw := range hb.GetSummaries() {
		s := converter.SummaryFrom(raw, now)
		if s.At.After(now) {
			s.At = now
		}
		if s.Zone != h.self.Zone && s.At.After(h.summaries[s.Zone].At) {
			h.summaries[s.Zone] = s
		}
	}
}
