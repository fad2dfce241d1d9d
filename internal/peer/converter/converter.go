// Package converter turns the system's own types into messages between entry
// VMs and back.
//
// # Usage
//
//	call := converter.Call(encoder.CallKind_CALL_KIND_SPILL, request, clock.Now())
//	request := converter.Request(call, clock.Now())
package converter

import (
	"math"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// Call returns a request as a message. The deadline travels as the time left,
// since the clocks of two VMs may differ.
func Call(kind encoder.CallKind, r forwarder.Request, now time.Time) *encoder.Call {
	return &encoder.Call{
		Kind:     kind,
		Home:     string(r.Home),
		Service:  string(r.Service),
		Class:    string(r.Class),
		Method:   r.Method,
		Path:     r.Path,
		Headers:  Headers(r.Headers),
		Body:     r.Body,
		Deadline: r.Deadline.Sub(now).Milliseconds(),
	}
}

// Request returns the request of a call.
func Request(c *encoder.Call, now time.Time) forwarder.Request {
	return forwarder.Request{
		Home:     namer.Zone(c.GetHome()),
		Service:  namer.Service(c.GetService()),
		Class:    namer.Class(c.GetClass()),
		Method:   c.GetMethod(),
		Path:     c.GetPath(),
		Headers:  HeadersFrom(c.GetHeaders()),
		Body:     c.GetBody(),
		Deadline: now.Add(time.Duration(c.GetDeadline()) * time.Millisecond),
	}
}

// Headers returns headers as messages.
func Headers(hs []arbiter.Header) []*encoder.Header {
	out := make([]*encoder.Header, len(hs))
	for i, h := range hs {
		out[i] = &encoder.Header{Name: h.Name, Value: h.Value}
	}
	return out
}

// HeadersFrom returns the headers of messages.
func HeadersFrom(hs []*encoder.Header) []arbiter.Header {
	out := make([]arbiter.Header, len(hs))
	for i, h := range hs {
		out[i] = arbiter.Header{Name: h.GetName(), Value: h.GetValue()}
	}
	return out
}

// Told returns an outcome's word as a message.
func Told(t arbiter.Execution) encoder.Told {
	switch t {
	case arbiter.Ran:
		return encoder.Told_TOLD_RAN
	case arbiter.NotRun:
		return encoder.Told_TOLD_NOT_RUN
	}
	return encoder.Told_TOLD_UNKNOWN
}

// ToldFrom returns the outcome's word of a message. Whatever it doesn't know
// is unknown.
func ToldFrom(t encoder.Told) arbiter.Execution {
	switch t {
	case encoder.Told_TOLD_RAN:
		return arbiter.Ran
	case encoder.Told_TOLD_NOT_RUN:
		return arbiter.NotRun
	}
	return arbiter.Unknown
}

// Answer returns an outcome without its body as a message.
func Answer(o arbiter.Outcome) *encoder.Answer {
	return &encoder.Answer{
		Status:   int32(o.Response.Status),
		Headers:  Headers(o.Response.Headers),
		Told:     Told(o.Execution),
		Upstream: string(o.Response.Upstream),
		Vm:       string(o.Response.VM),
		Code:     string(o.Code),
		Reason:   o.Reason,
		Cut:      o.Response.BodyOmitted,
	}
}

// Outcome returns the outcome held in a message and its body.
func Outcome(a *encoder.Answer, body []byte) arbiter.Outcome {
	return arbiter.Outcome{
		Execution: ToldFrom(a.GetTold()),
		Response: arbiter.Response{
			Status:      int(a.GetStatus()),
			Headers:     HeadersFrom(a.GetHeaders()),
			Body:        body,
			Upstream:    namer.Upstream(a.GetUpstream()),
			VM:          namer.VM(a.GetVm()),
			BodyOmitted: a.GetCut(),
		},
		Code:   arbiter.Code(a.GetCode()),
		Reason: a.GetReason(),
	}
}

// Verdict returns a witness's verdict as a message.
func Verdict(v arbiter.Verdict) *encoder.Verdict {
	return &encoder.Verdict{
		Accepted: v.Accepted,
		Answer:   Answer(v.Outcome),
		Body:     v.Outcome.Response.Body,
		Digest:   v.Digest[:],
	}
}

// VerdictFrom returns the verdict held in a message.
func VerdictFrom(m *encoder.Verdict) arbiter.Verdict {
	v := arbiter.Verdict{
		Accepted: m.GetAccepted(),
		Outcome:  Outcome(m.GetAnswer(), m.GetBody()),
	}
	copy(v.Digest[:], m.GetDigest())
	return v
}

// Member returns a member as a message. Age is the time since it was heard.
func Member(m tracker.Member, now time.Time) *encoder.Member {
	state := encoder.State_STATE_ALIVE
	switch {
	case m.Leaving:
		state = encoder.State_STATE_LEAVING
	case m.State == tracker.Suspect || m.State == tracker.Dead:
		state = encoder.State_STATE_SUSPECT
	}
	out := &encoder.Member{
		Vm:          string(m.VM),
		Zone:        string(m.Zone),
		Region:      string(m.Region),
		Callers:     m.Callers,
		Peers:       m.Peers,
		Operators:   m.Operators,
		Incarnation: m.Incarnation[:],
		Started:     m.Started.UnixMilli(),
		Sequence:    m.Sequence,
		State:       state,
		Generation:  uint64(m.Generation),
		Age:         now.Sub(m.Heard).Milliseconds(),
		Away:        m.Away,
		Near:        int64(m.Near),
	}
	out.Need = needs(m.Needs)
	for _, seen := range m.Seen {
		out.Seen = append(out.Seen, &encoder.Seen{Kind: string(seen.Kind), Version: uint64(seen.Version)})
	}
	for _, r := range m.Rooms {
		out.Room = append(out.Room, &encoder.Room{Service: string(r.Service), Weight: int64(r.Weight)})
	}
	return out
}

// MemberFrom returns the member held in a message, and whether it names an
// incarnation.
func MemberFrom(m *encoder.Member, now time.Time) (tracker.Member, bool) {
	inc, ok := namer.IncarnationFrom(m.GetIncarnation())
	if !ok {
		return tracker.Member{}, false
	}
	out := tracker.Member{
		VM:          namer.VM(m.GetVm()),
		Zone:        namer.Zone(m.GetZone()),
		Region:      namer.Region(m.GetRegion()),
		Callers:     m.GetCallers(),
		Peers:       m.GetPeers(),
		Operators:   m.GetOperators(),
		Incarnation: inc,
		Started:     time.UnixMilli(m.GetStarted()),
		Sequence:    m.GetSequence(),
		Leaving:     m.GetState() == encoder.State_STATE_LEAVING,
		Away:        m.GetAway(),
		Near:        int(m.GetNear()),
		Generation:  namer.Generation(m.GetGeneration()),
		Heard:       now.Add(-time.Duration(max(m.GetAge(), 0)) * time.Millisecond),
	}
	if m.GetState() == encoder.State_STATE_SUSPECT {
		out.State = tracker.Suspect
	}
	out.Needs = needsFrom(m.GetNeed())
	for _, seen := range m.GetSeen() {
		out.Seen = append(out.Seen, tracker.Seen{Kind: storer.Kind(seen.GetKind()), Version: storer.Version(seen.GetVersion())})
	}
	for _, r := range m.GetRoom() {
		out.Rooms = append(out.Rooms, tracker.Room{
			Service: namer.Service(r.GetService()),
			Weight:  namer.Weight(r.GetWeight()),
		})
	}
	return out, true
}

// Known returns a member's word of itself for peers that know its process, without
// what does not change during its life.
func Known(m tracker.Member, now time.Time) *encoder.Member {
	m.Zone, m.Region, m.Callers, m.Peers, m.Operators, m.Started = "", "", "", "", "", time.UnixMilli(0)
	return Member(m, now)
}

// Summary returns what is known of a zone as a message.
func Summary(s tracker.Summary, now time.Time) *encoder.Summary {
	return &encoder.Summary{Zone: string(s.Zone), Vms: int64(s.VMs), Need: needs(s.Needs), Age: now.Sub(s.At).Milliseconds()}
}

// SummaryFrom returns the summary held in a message.
func SummaryFrom(m *encoder.Summary, now time.Time) tracker.Summary {
	return tracker.Summary{
		Zone:  namer.Zone(m.GetZone()),
		VMs:   int(max(m.GetVms(), 0)),
		Needs: needsFrom(m.GetNeed()),
		At:    now.Add(-time.Duration(max(m.GetAge(), 0)) * time.Millisecond),
	}
}

func needs(ns []tracker.Need) []*encoder.Need {
	var out []*encoder.Need
	for _, n := range ns {
		out = append(out, &encoder.Need{Service: string(n.Service), Slots: n.Slots})
	}
	return out
}

func needsFrom(ns []*encoder.Need) []tracker.Need {
	var out []tracker.Need
	for _, n := range ns {
		if n.GetSlots() >= 0 && !math.IsInf(n.GetSlots(), 0) {
			out = append(out, tracker.Need{Service: namer.Service(n.GetService()), Slots: n.GetSlots()})
		}
	}
	return out
}

// Upstreams adds what is known of upstreams to a document. Cold times travel as
// what is left of them.
func Upstreams(out *encoder.Document, v *cataloger.View, now time.Time) {
	for _, u := range v.Upstreams {
		out.Upstreams = append(out.Upstreams, &encoder.Upstream{
			Name:     string(u.Upstream),
			Version:  uint64(u.Version),
			Born:     u.Born,
			Service:  string(u.Service),
			Zone:     string(u.Zone),
			Address:  u.Address,
			Slots:    int32(min(u.Slots, math.MaxInt32)),
			Draining: u.Draining,
			Cold:     max(0, u.Cold.Sub(now)).Milliseconds(),
		})
	}
	for zone, drained := range v.Drained {
		if drained {
			out.Drained = append(out.Drained, string(zone))
		}
	}
}

// UpstreamsFrom reads what a document tells of upstreams.
func UpstreamsFrom(in *encoder.Document) *cataloger.View {
	v := &cataloger.View{Drained: make(map[namer.Zone]bool)}
	for _, u := range in.GetUpstreams() {
		v.Upstreams = append(v.Upstreams, cataloger.Upstream{
			Version: storer.Version(u.GetVersion()),
			Entry: cataloger.Entry{
				Upstream: namer.Upstream(u.GetName()),
				Born:     u.GetBorn(),
				Service:  namer.Service(u.GetService()),
				Zone:     namer.Zone(u.GetZone()),
				Address:  u.GetAddress(),
				Slots:    int(u.GetSlots()),
				Draining: u.GetDraining(),
				ColdLeft: time.Duration(u.GetCold()) * time.Millisecond,
			},
		})
	}
	for _, zone := range in.GetDrained() {
		v.Drained[namer.Zone(zone)] = true
	}
	return v
}

// Update returns the message that tells of a kind's records.
func Update(u storer.Update) *encoder.Update {
	out := &encoder.Update{
		All:    u.All,
		At:     uint64(u.At),
		Seen:   uint64(u.Seen),
		Age:    u.Age.Milliseconds(),
		Away:   u.Away,
		Steady: u.Steady.Milliseconds(),
		Mark:   u.Mark,
	}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, &encoder.Change{
			Name:    c.Record.Name,
			Version: uint64(c.Record.Version),
			Spec:    c.Record.Spec,
			Status:  c.Record.Status,
			Removed: c.Removed,
		})
	}
	return out
}

// UpdateFrom reads what a message tells of a kind's records.
func UpdateFrom(in *encoder.Update) storer.Update {
	u := storer.Update{
		All:    in.GetAll(),
		At:     storer.Version(in.GetAt()),
		Seen:   storer.Version(in.GetSeen()),
		Age:    time.Duration(in.GetAge()) * time.Millisecond,
		Mark:   in.GetMark(),
		Away:   in.GetAway(),
		Steady: time.Duration(max(in.GetSteady(), 0)) * time.Millisecond,
	}
	for _, c := range in.GetChanges() {
		u.Changes = append(u.Changes, storer.Change{
			Record: storer.Record{
				Name:    c.GetName(),
				Version: storer.Version(c.GetVersion()),
				Spec:    c.GetSpec(),
				Status:  c.GetStatus(),
			},
			Removed: c.GetRemoved(),
		})
	}
	return u
}
