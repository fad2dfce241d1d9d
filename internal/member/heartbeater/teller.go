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

// informed is when a peer was told of other zones, how far that came, and when it was
// told all of this VM.
type informed struct {
	at    time.Time
	next  int
	whole time.Time
}

// Summaries returns what the VMs of each zone are and need together. For other zones
// that is their gateways' word.
func (h *Heartbeater) Summaries() []tracker.ZoneSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	return h.summarize(h.describe(), h.tracker.View(now), now)
}

// compose returns a heartbeat for a peer: to one that knows this process without what
// it knows, and to one that this VM has just met with all members that it may need.
func (h *Heartbeater) compose(peer tracker.Member, knows, introduce bool) *encoder.Heartbeat {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.self.Sequence++
	self := h.describe()
	members := h.tracker.View(now)
	self.ZoneSize = 1 + count(members, func(m tracker.Member) bool { return m.Zone == self.Zone && m.State != tracker.Dead })
	told := h.informed[peer.VM]
	hb := &encoder.Heartbeat{Sender: converter.Known(self, now)}
	if !knows || now.Sub(told.whole) >= wholeBeats*h.timing.HeartbeatInterval {
		hb.Sender = converter.Member(self, now)
		told.whole = now
	}
	h.tell(hb, peer, introduce, self, members, now)
	if introduce || now.Sub(told.at) >= informBeats*h.timing.HeartbeatInterval {
		told.at = now
		told.next = h.inform(hb, peer, told.next, self, members, now)
	}
	if peer.VM != "" {
		h.informed[peer.VM] = told
	}
	return hb
}

// tell adds the members that a peer may lack: all that it may need where this VM has
// just met it, and otherwise, from a gateway, those that changed lately. VMs of one zone
// hear each other, so news within it is needless.
func (h *Heartbeater) tell(hb *encoder.Heartbeat, peer tracker.Member, introduce bool, self tracker.Member, members []tracker.Member, now time.Time) {
	if !introduce && !h.gateway(members) {
		return
	}
	fresh := func(m tracker.Member) bool { return now.Sub(h.news[m.VM]) <= newsBeats*h.timing.HeartbeatInterval }
	if !introduce && !slices.ContainsFunc(members, fresh) {
		return
	}
	told := 0
	for _, m := range ZoneView(self, members, othersTold) {
		near := m.Zone == self.Zone
		lacks := fresh(m) && (near && peer.Zone != self.Zone && IsGateway(m.VM, m.Zone, members) || !near && peer.Zone == self.Zone)
		if introduce || lacks && told < newsMost {
			hb.Members = append(hb.Members, converter.Member(m, now))
			told++
		}
	}
}

// inform tells a peer of the own zone that knows fewer of its VMs about all of them. A
// gateway also tells it about other zones, some at a time, and a peer of another zone
// about its own. It returns from where to go on.
func (h *Heartbeater) inform(hb *encoder.Heartbeat, peer tracker.Member, next int, self tracker.Member, members []tracker.Member, now time.Time) int {
	at := slices.IndexFunc(members, func(m tracker.Member) bool { return m.VM == peer.VM })
	if at >= 0 && peer.Zone == self.Zone && members[at].ZoneSize < self.ZoneSize {
		for _, m := range members {
			if m.Zone == self.Zone {
				hb.Members = append(hb.Members, converter.Member(m, now))
			}
		}
	}
	if !h.gateway(members) {
		return next
	}
	summaries := h.summarize(self, members, now)
	if peer.Zone != self.Zone {
		at = slices.IndexFunc(summaries, func(s tracker.ZoneSummary) bool { return s.Zone == self.Zone })
		hb.Summaries = append(hb.Summaries, converter.Summary(summaries[at], now))
		return next
	}
	digest := ZoneView(self, members, othersTold)
	for i := range min(len(summaries), informMost) {
		s := summaries[(next+i)%len(summaries)]
		if s.Zone == self.Zone {
			continue
		}
		hb.Summaries = append(hb.Summaries, converter.Summary(s, now))
		for _, m := range digest {
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
	return (next + informMost) % max(len(summaries), 1)
}

// summarize returns the summaries of all zones by name, with this VM's own count of
// its zone.
func (h *Heartbeater) summarize(self tracker.Member, members []tracker.Member, now time.Time) []tracker.ZoneSummary {
	known := make(map[namer.Zone]tracker.ZoneSummary)
	for _, m := range append(slices.Clone(members), self) {
		if m.State == tracker.Dead {
			continue
		}
		s := known[m.Zone]
		known[m.Zone] = tracker.ZoneSummary{Zone: m.Zone, VMs: s.VMs + 1, Demands: addNeeds(s.Demands, m.Demands), At: now}
	}
	out := make([]tracker.ZoneSummary, 0, len(known))
	for zone, s := range known {
		if told, ok := h.summaries[zone]; ok && zone != self.Zone {
			// Members of the zone that are known here may be fewer.
			told.VMs = max(told.VMs, s.VMs)
			s = told
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b tracker.ZoneSummary) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}

func count(members []tracker.Member, fits func(tracker.Member) bool) int {
	n := 0
	for _, m := range members {
		if fits(m) {
			n++
		}
	}
	return n
}

func addNeeds(sum, more []tracker.Demand) []tracker.Demand {
	out := slices.Clone(sum)
	for _, n := range more {
		at := slices.IndexFunc(out, func(o tracker.Demand) bool { return o.Service == n.Service })
		if at < 0 {
			out = append(out, n)
			continue
		}
		out[at].Slots += n.Slots
	}
	return out
}

// prune forgets members of other zones that this VM does not need, and returns the
// rest.
func (h *Heartbeater) prune(members []tracker.Member) []tracker.Member {
	needed := make(map[namer.VM]bool)
	for _, m := range ZoneView(h.self, members, othersTold) {
		needed[m.VM] = true
	}
	return slices.DeleteFunc(members, func(m tracker.Member) bool {
		if m.Zone == h.self.Zone || needed[m.VM] {
			return false
		}
		h.tracker.Forget(m.VM)
		return true
	})
}

// hearOthers takes what a heartbeat tells of others than its sender.
func (h *Heartbeater) hearOthers(now time.Time, hb *encoder.Heartbeat) {
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
		if inc, ok := namer.IncarnationFrom(raw.GetIncarnation()); ok {
			h.tracker.Refresh(now, inc, now.Add(-time.Duration(max(raw.GetAge(), 0))*time.Millisecond))
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
