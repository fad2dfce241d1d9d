// Package converter converts between the system's types and the protobuf messages
// that entry VMs exchange. A function such as Member returns a message; one such as
// MemberFrom converts it back.
//
// # Usage
//
//	call := converter.Call(encoder.CallKind_CALL_KIND_SPILL, request, clock.Now())
//	request := converter.RequestFrom(call, clock.Now())
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

// maxDuration limits the durations in messages, which are in milliseconds, so that neither
// they nor their sums overflow. No process runs for so long.
const maxDuration = 10 * 365 * 24 * time.Hour

// milliseconds returns the duration of a number of milliseconds in a message, from
// -maxDuration to maxDuration.
func milliseconds(ms int64) time.Duration {
	limit := maxDuration.Milliseconds()
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}

// AgeFrom returns the age in a message. A negative one counts as 0.
func AgeFrom(ms int64) time.Duration {
	return max(milliseconds(ms), 0)
}

// count returns a number in a message that is added to others, from 0 to math.MaxInt32.
func count(n int64) int {
	return int(min(max(n, 0), math.MaxInt32))
}

// Call returns a request as a message. The deadline is sent as the time left, since the
// clocks of two VMs may differ.
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

// RequestFrom returns the request of a call.
func RequestFrom(c *encoder.Call, now time.Time) forwarder.Request {
	return forwarder.Request{
		Home:     namer.Zone(c.GetHome()),
		Service:  namer.Service(c.GetService()),
		Class:    namer.Class(c.GetClass()),
		Method:   c.GetMethod(),
		Path:     c.GetPath(),
		Headers:  HeadersFrom(c.GetHeaders()),
		Body:     c.GetBody(),
		Deadline: now.Add(milliseconds(c.GetDeadline())),
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

// Execution returns the messages' enum value for whether a once-only request ran.
func Execution(t arbiter.Execution) encoder.Told {
	switch t {
	case arbiter.Ran:
		return encoder.Told_TOLD_RAN
	case arbiter.NotRun:
		return encoder.Told_TOLD_NOT_RUN
	}
	return encoder.Told_TOLD_UNKNOWN
}

// ExecutionFrom converts the messages' enum value back. Values that it doesn't know become
// Unknown.
func ExecutionFrom(t encoder.Told) arbiter.Execution {
	switch t {
	case encoder.Told_TOLD_RAN:
		return arbiter.Ran
	case encoder.Told_TOLD_NOT_RUN:
		return arbiter.NotRun
	}
	return arbiter.Unknown
}

// OutcomeHead returns an outcome as a message, without the response body.
func OutcomeHead(o arbiter.Outcome) *encoder.Answer {
	return &encoder.Answer{
		Status:   int32(o.Response.Status),
		Headers:  Headers(o.Response.Headers),
		Told:     Execution(o.Execution),
		Upstream: string(o.Response.Upstream),
		Vm:       string(o.Response.VM),
		Code:     string(o.Code),
		Reason:   o.Reason,
		Cut:      o.Response.BodyOmitted,
	}
}

// OutcomeFrom returns the outcome in a message, with the response body.
func OutcomeFrom(a *encoder.Answer, body []byte) arbiter.Outcome {
	return arbiter.Outcome{
		Execution: ExecutionFrom(a.GetTold()),
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
		Answer:   OutcomeHead(v.Outcome),
		Body:     v.Outcome.Response.Body,
		Digest:   v.Digest[:],
	}
}

// VerdictFrom returns the verdict in a message.
func VerdictFrom(m *encoder.Verdict) arbiter.Verdict {
	v := arbiter.Verdict{
		Accepted: m.GetAccepted(),
		Outcome:  OutcomeFrom(m.GetAnswer(), m.GetBody()),
	}
	copy(v.Digest[:], m.GetDigest())
	return v
}

// Member returns a member as a message. LastHeard is sent as an age, because the clocks of
// two VMs may differ.
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
		Callers:     m.CallerAddress,
		Peers:       m.PeerAddress,
		Operators:   m.OperatorAddress,
		Incarnation: m.Incarnation[:],
		Started:     m.Started.UnixMilli(),
		Sequence:    m.Sequence,
		State:       state,
		Generation:  uint64(m.Generation),
		Age:         now.Sub(m.LastHeard).Milliseconds(),
		Away:        m.StoreUnreachable,
		Unsure:      m.AccountsStale,
		Near:        int64(m.ZoneSize),
	}
	out.Need = demands(m.Demands)
	for _, seen := range m.SeenVersions {
		out.Seen = append(out.Seen, &encoder.Seen{
			Kind: string(seen.Kind), Version: uint64(seen.Version.Revision), Era: uint64(seen.Version.Era),
		})
	}
	for _, r := range m.FreeCapacity {
		out.Room = append(out.Room, &encoder.Room{Service: string(r.Service), Weight: int64(r.Weight)})
	}
	return out
}

// MemberFrom returns the member in a message, or false if the message has no valid
// incarnation.
func MemberFrom(m *encoder.Member, now time.Time) (tracker.Member, bool) {
	inc, ok := namer.IncarnationFromBytes(m.GetIncarnation())
	if !ok {
		return tracker.Member{}, false
	}
	out := tracker.Member{
		VM:               namer.VM(m.GetVm()),
		Zone:             namer.Zone(m.GetZone()),
		Region:           namer.Region(m.GetRegion()),
		CallerAddress:    m.GetCallers(),
		PeerAddress:      m.GetPeers(),
		OperatorAddress:  m.GetOperators(),
		Incarnation:      inc,
		Started:          time.UnixMilli(m.GetStarted()),
		Sequence:         m.GetSequence(),
		Leaving:          m.GetState() == encoder.State_STATE_LEAVING,
		StoreUnreachable: m.GetAway(),
		AccountsStale:    m.GetUnsure(),
		ZoneSize:         count(m.GetNear()),
		Generation:       namer.Generation(m.GetGeneration()),
		LastHeard:        now.Add(-AgeFrom(m.GetAge())),
	}
	if m.GetState() == encoder.State_STATE_SUSPECT {
		out.State = tracker.Suspect
	}
	out.Demands = demandsFrom(m.GetNeed())
	for _, seen := range m.GetSeen() {
		out.SeenVersions = append(out.SeenVersions, tracker.SeenVersion{
			Kind: storer.Kind(seen.GetKind()), Version: VersionFrom(seen.GetEra(), seen.GetVersion()),
		})
	}
	for _, r := range m.GetRoom() {
		out.FreeCapacity = append(out.FreeCapacity, tracker.FreeCapacity{
			Service: namer.Service(r.GetService()),
			Weight:  namer.Weight(count(r.GetWeight())),
		})
	}
	return out, true
}

// CompactMember returns a member as a message without the fields that don't change while
// its process runs, for peers that know the process.
func CompactMember(m tracker.Member, now time.Time) *encoder.Member {
	m.Zone, m.Region, m.CallerAddress, m.PeerAddress, m.OperatorAddress, m.Started = "", "", "", "", "", time.UnixMilli(0)
	return Member(m, now)
}

// Summary returns a zone's summary as a message.
func Summary(s tracker.ZoneSummary, now time.Time) *encoder.Summary {
	return &encoder.Summary{Zone: string(s.Zone), Vms: int64(s.VMs), Need: demands(s.Demands), Age: now.Sub(s.At).Milliseconds()}
}

// SummaryFrom returns the zone summary in a message.
func SummaryFrom(m *encoder.Summary, now time.Time) tracker.ZoneSummary {
	return tracker.ZoneSummary{
		Zone:    namer.Zone(m.GetZone()),
		VMs:     count(m.GetVms()),
		Demands: demandsFrom(m.GetNeed()),
		At:      now.Add(-AgeFrom(m.GetAge())),
	}
}

func demands(ns []tracker.Demand) []*encoder.Need {
	var out []*encoder.Need
	for _, n := range ns {
		out = append(out, &encoder.Need{Service: string(n.Service), Slots: n.Slots})
	}
	return out
}

// demandsFrom returns the demands in messages, without those that are negative, too large
// or not a number.
func demandsFrom(ns []*encoder.Need) []tracker.Demand {
	var out []tracker.Demand
	for _, n := range ns {
		if n.GetSlots() >= 0 && n.GetSlots() <= math.MaxInt32 {
			out = append(out, tracker.Demand{Service: namer.Service(n.GetService()), Slots: n.GetSlots()})
		}
	}
	return out
}

// AddUpstreams adds the known upstreams and drained zones to a document. The time until
// which an upstream is cold is sent as the time left.
func AddUpstreams(out *encoder.Document, v *cataloger.View, now time.Time) {
	for _, u := range v.Upstreams {
		out.Upstreams = append(out.Upstreams, &encoder.Upstream{
			Name:     string(u.Upstream),
			Version:  uint64(u.Version.Revision),
			Era:      uint64(u.Version.Era),
			Sequence: uint64(u.Sequence),
			Born:     u.StartedMs,
			Service:  string(u.Service),
			Zone:     string(u.Zone),
			Address:  u.Address,
			Slots:    int32(min(u.Slots, math.MaxInt32)),
			Draining: u.Draining,
			Cold:     max(0, u.ColdUntil.Sub(now)).Milliseconds(),
		})
	}
	for zone, drained := range v.Drained {
		if drained {
			out.Drained = append(out.Drained, string(zone))
		}
	}
}

// UpstreamsFrom returns the upstreams and drained zones in a document, without the upstreams
// whose entries are invalid.
func UpstreamsFrom(in *encoder.Document) *cataloger.View {
	v := &cataloger.View{Drained: make(map[namer.Zone]bool)}
	for _, u := range in.GetUpstreams() {
		entry := cataloger.Entry{
			Upstream:  namer.Upstream(u.GetName()),
			StartedMs: u.GetBorn(),
			Sequence:  cataloger.Sequence(u.GetSequence()),
			Service:   namer.Service(u.GetService()),
			Zone:      namer.Zone(u.GetZone()),
			Address:   u.GetAddress(),
			Slots:     int(u.GetSlots()),
			Draining:  u.GetDraining(),
			ColdLeft:  milliseconds(u.GetCold()),
		}
		if entry.Validate() == nil {
			v.Upstreams = append(v.Upstreams, cataloger.Upstream{Version: VersionFrom(u.GetEra(), u.GetVersion()), Entry: entry})
		}
	}
	for _, zone := range in.GetDrained() {
		v.Drained[namer.Zone(zone)] = true
	}
	return v
}

// VersionFrom returns the version of the store in a message.
func VersionFrom(era, revision uint64) storer.Version {
	return storer.Version{Era: storer.Era(era), Revision: storer.Revision(revision)}
}

// Update returns an update of a kind's records as a message.
func Update(u storer.Update) *encoder.Update {
	out := &encoder.Update{
		All:     u.Full,
		At:      uint64(u.Version.Revision),
		Seen:    uint64(u.SeenVersion.Revision),
		Age:     u.Age.Milliseconds(),
		Away:    u.StoreUnreachable,
		Steady:  u.StoreReachableFor.Milliseconds(),
		Mark:    u.Mark,
		Era:     uint64(u.Version.Era),
		SeenEra: uint64(u.SeenVersion.Era),
	}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, &encoder.Change{
			Name:    c.Record.Name,
			Version: uint64(c.Record.Version.Revision),
			Spec:    c.Record.Spec,
			Status:  c.Record.Status,
			Removed: c.Removed,
		})
	}
	return out
}

// UpdateFrom returns the update of a kind's records in a message.
func UpdateFrom(in *encoder.Update) storer.Update {
	u := storer.Update{
		Full:              in.GetAll(),
		Version:           VersionFrom(in.GetEra(), in.GetAt()),
		SeenVersion:       VersionFrom(in.GetSeenEra(), in.GetSeen()),
		Age:               milliseconds(in.GetAge()),
		Mark:              in.GetMark(),
		StoreUnreachable:  in.GetAway(),
		StoreReachableFor: AgeFrom(in.GetSteady()),
	}
	for _, c := range in.GetChanges() {
		u.Changes = append(u.Changes, storer.Change{
			Record: storer.Record{
				Name:    c.GetName(),
				Version: VersionFrom(in.GetEra(), c.GetVersion()),
				Spec:    c.GetSpec(),
				Status:  c.GetStatus(),
			},
			Removed: c.GetRemoved(),
		})
	}
	return u
}
