package converter_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/converter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// extremes are numbers that a peer can send in a field of 64 bits. The factor from
// milliseconds to nanoseconds overflows for most of them.
var extremes = []int64{math.MinInt64, math.MinInt64 / 1_000_000, -1 << 44, -1, 0, 1, 1 << 44, 9_223_372_036_855, math.MaxInt64/1_000_000 + 1, math.MaxInt64 / 3, math.MaxInt64}

// TestMemberAgeOutOfRange guards against a member that counts as heard just now, or in the
// future, because its age overflows.
func TestMemberAgeOutOfRange(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	inc := namer.Incarnation{1}
	for _, n := range extremes {
		m, ok := converter.MemberFrom(&encoder.Member{Vm: "v", Incarnation: inc[:], Age: n, Started: n, Near: n, Room: []*encoder.Room{{Service: "s", Weight: n}}}, now)
		assert.Assert(t, ok)
		checkAge(t, now.Sub(m.LastHeard), n)
		assert.Assert(t, m.ZoneSize >= 0)
		assert.Assert(t, m.FreeCapacity[0].Weight >= 0)
		s := converter.SummaryFrom(&encoder.Summary{Zone: "z", Vms: n, Age: n}, now)
		checkAge(t, now.Sub(s.At), n)
		assert.Assert(t, s.VMs >= 0 && s.VMs <= math.MaxInt32, "a sum over all zones must not overflow")
	}
}

// checkAge checks that an age is that of the message, or long and without overflow.
func checkAge(t *testing.T, age time.Duration, ms int64) {
	t.Helper()
	assert.Assert(t, age >= 0, "age %s of %d ms", age, ms)
	assert.Assert(t, age >= min(time.Duration(min(max(ms, 0), 1<<40))*time.Millisecond, 24*time.Hour), "age %s of %d ms", age, ms)
}

// TestUpdateAgeOutOfRange guards against records that count as confirmed just now because
// the age that the relay parent reports overflows.
func TestUpdateAgeOutOfRange(t *testing.T) {
	t.Parallel()
	for _, n := range extremes {
		u := converter.UpdateFrom(&encoder.Update{Age: n, Steady: n})
		assert.Equal(t, u.Age < 0, n < 0, "age %s of %d ms", u.Age, n)
		assert.Assert(t, u.StoreReachableFor >= 0)
		// The receiver adds the time since its mark, which is at most its own uptime.
		assert.Assert(t, u.Age+365*24*time.Hour > u.Age, "the sum overflows")
	}
}

// TestDeadlineOutOfRange guards against a request of a peer that is refused as late because
// the time left overflows.
func TestDeadlineOutOfRange(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	for _, n := range extremes {
		r := converter.RequestFrom(&encoder.Call{Deadline: n}, now)
		assert.Equal(t, r.Deadline.After(now), n > 0, "%d ms", n)
	}
}

// TestDemandOutOfRange guards against a sum of demands that is not a number.
func TestDemandOutOfRange(t *testing.T) {
	t.Parallel()
	var need []*encoder.Need
	for _, slots := range []float64{math.NaN(), math.Inf(1), -1, math.MaxFloat64, 2.5} {
		need = append(need, &encoder.Need{Service: "s", Slots: slots})
	}
	s := converter.SummaryFrom(&encoder.Summary{Need: need}, time.Unix(0, 0))
	assert.DeepEqual(t, s.Demands, []tracker.Demand{{Service: "s", Slots: 2.5}})
}

// TestBorrowedUpstreamsOutOfRange guards against upstreams of a peer that can't be used, as
// when the peer runs a build that did not check their entries.
func TestBorrowedUpstreamsOutOfRange(t *testing.T) {
	t.Parallel()
	sound := func() *encoder.Upstream {
		return &encoder.Upstream{Name: "u", Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 4, Cold: 1500}
	}
	view := converter.UpstreamsFrom(&encoder.Document{Upstreams: []*encoder.Upstream{sound()}})
	assert.DeepEqual(t, view.Upstreams, []cataloger.Upstream{{Entry: cataloger.Entry{
		Upstream: "u", Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 4, ColdLeft: 1500 * time.Millisecond,
	}}})
	for name, change := range map[string]func(*encoder.Upstream){
		"slots negative":  func(u *encoder.Upstream) { u.Slots = -1 },
		"slots too large": func(u *encoder.Upstream) { u.Slots = math.MaxInt32 },
		"port":            func(u *encoder.Upstream) { u.Address = "10.0.0.1:99999" },
		"cold negative":   func(u *encoder.Upstream) { u.Cold = -1 },
		"cold overflows":  func(u *encoder.Upstream) { u.Cold = math.MaxInt64/1_000_000 + 1 },
		"born negative":   func(u *encoder.Upstream) { u.Born = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			odd := sound()
			change(odd)
			view := converter.UpstreamsFrom(&encoder.Document{Upstreams: []*encoder.Upstream{odd, sound()}})
			assert.Equal(t, len(view.Upstreams), 1)
			assert.Equal(t, view.Upstreams[0].Slots, 4)
		})
	}
}

var now = time.Unix(1000, 0)

// TestSeenVersionKeepsEra guards against a seen version that loses its era in a heartbeat, so that
// peers do not ask a restored store for what they lack.
func TestSeenVersionKeepsEra(t *testing.T) {
	t.Parallel()
	seen := []tracker.SeenVersion{
		{Kind: "things", Version: storer.Version{Era: 3, Revision: 7}},
		{Kind: "others", Version: storer.Version{Revision: 8}},
	}
	m, ok := converter.MemberFrom(converter.Member(tracker.Member{Incarnation: namer.Incarnation{1}, SeenVersions: seen}, now), now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, m.SeenVersions, seen)
}

// TestUpstreamKeepsEraAndSequence guards against a borrowed upstream whose drain ends with an entry
// that a restored store brings back.
func TestUpstreamKeepsEraAndSequence(t *testing.T) {
	t.Parallel()
	u := cataloger.Upstream{
		Entry:     cataloger.Entry{Upstream: "a", StartedMs: 5, Sequence: 9, Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 4, Draining: true},
		Version:   storer.Version{Era: 3, Revision: 7},
		ColdUntil: now,
	}
	doc := &encoder.Document{}
	converter.AddUpstreams(doc, &cataloger.View{Upstreams: []cataloger.Upstream{u}}, now)
	got := converter.UpstreamsFrom(doc).Upstreams
	assert.Equal(t, len(got), 1)
	assert.DeepEqual(t, got[0].Entry, u.Entry)
	assert.Equal(t, got[0].Version, u.Version)
}
