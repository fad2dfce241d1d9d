package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/scheduler"
)

var noon = time.Unix(1000, 0)

func request(route namer.Route, rank scheduler.Rank, target time.Duration) *scheduler.Request {
	return &scheduler.Request{
		Route: route, Rank: rank, TargetTime: noon.Add(target), Deadline: noon.Add(9 * time.Second), Work: 100 * time.Millisecond, Need: 100 * time.Millisecond,
	}
}

func names(requests []*scheduler.Request) []namer.Route {
	var out []namer.Route
	for _, r := range requests {
		out = append(out, r.Route)
	}
	return out
}

// TestOrder checks that the lower rank is sent first, within a rank what can still meet its
// target, and among these the earliest target; that a removed request is gone; and that an
// arriving request only passes those that come after it.
func TestOrder(t *testing.T) {
	t.Parallel()
	s := scheduler.New()
	for _, r := range []*scheduler.Request{
		request("b", 2, 2*time.Second), request("d", 0, 8*time.Second), request("a", 2, time.Second), request("c", 0, 3*time.Second),
	} {
		assert.Assert(t, s.Add(noon, r))
	}
	ordered := s.Ordered(noon)
	assert.DeepEqual(t, names(ordered), []namer.Route{"c", "d", "a", "b"})
	assert.Assert(t, !s.ComesFirst(noon, request("x", 2, time.Second)))
	assert.Assert(t, s.ComesFirst(noon, request("x", 0, time.Second)))
	late := request("late", 0, 50*time.Millisecond)
	assert.Assert(t, s.Add(noon, late))
	// One target is lost, so the latest comes first.
	assert.DeepEqual(t, names(s.Ordered(noon)), []namer.Route{"d", "c", "late", "a", "b"})
	assert.Assert(t, !s.ComesFirst(noon, request("x", 0, 0)))
	assert.Assert(t, s.Remove(late))
	assert.Assert(t, !s.Remove(late))
	assert.Equal(t, s.Len(), 4)
	// In time the earliest comes first again; "a" has lost its own.
	assert.DeepEqual(t, names(s.Ordered(noon.Add(time.Second))), []namer.Route{"c", "d", "b", "a"})
	// Once their targets are lost, the one with the earlier deadline comes first.
	ordered[0].Deadline = noon.Add(9500 * time.Millisecond)
	assert.DeepEqual(t, names(s.Ordered(noon.Add(9*time.Second))), []namer.Route{"d", "c", "b", "a"})
}

// drain sends n requests in order, each of which ends at once, and returns how many of each
// account were among them.
func drain(s *scheduler.Scheduler, now time.Time, n int) map[namer.Account]int {
	sent := make(map[namer.Account]int)
	for range n {
		r := s.Ordered(now)[0]
		s.Remove(r)
		s.Begin(now, r)
		s.End(now, r)
		sent[r.Account]++
	}
	return sent
}

// TestHotAccount guards against an account with seven times its usual requests that delays
// those of others: each account gets its turn, and the hot one the rest.
func TestHotAccount(t *testing.T) {
	t.Parallel()
	s := scheduler.New()
	add := func(account namer.Account, n int) {
		for range n {
			r := request("read", 1, 5*time.Second)
			r.Account = account
			assert.Assert(t, s.Add(noon, r))
		}
	}
	add("hot", 70)
	add("one", 10)
	add("two", 5)
	assert.DeepEqual(t, drain(s, noon, 15), map[namer.Account]int{"hot": 5, "one": 5, "two": 5})
	assert.DeepEqual(t, drain(s, noon, 20), map[namer.Account]int{"hot": 15, "one": 5})
}

// TestLongWorkTakesTurnsByWork checks that a class whose requests take five times as long as
// those of another one of its rank gets as much of the upstreams, not as many requests.
func TestLongWorkTakesTurnsByWork(t *testing.T) {
	t.Parallel()
	s := scheduler.New()
	for range 30 {
		long, short := request("long", 1, 5*time.Second), request("short", 1, 5*time.Second)
		long.Account, short.Account = "long", "short"
		long.Work = 500 * time.Millisecond
		s.Add(noon, long)
		s.Add(noon, short)
	}
	sent := drain(s, noon, 24)
	assert.Assert(t, sent["long"] >= 3 && sent["long"] <= 5, "%v", sent)
}

// TestLowerRankIsNotStarved checks that requests of a lower rank get a share while others
// come first all the time.
func TestLowerRankIsNotStarved(t *testing.T) {
	t.Parallel()
	s := scheduler.New()
	for range 100 {
		publish, read := request("publish", 0, 5*time.Second), request("read", 2, 5*time.Second)
		publish.Account, read.Account = "publish", "read"
		s.Add(noon, publish)
		s.Add(noon, read)
	}
	sent := drain(s, noon, 66)
	assert.Assert(t, sent["read"] >= 4 && sent["read"] <= 8, "%v", sent)
}

// TestLowestRankIsNotStarved guards against a rank whose share goes to the one before it.
func TestLowestRankIsNotStarved(t *testing.T) {
	t.Parallel()
	s := scheduler.New()
	for range 100 {
		for rank, account := range []namer.Account{"publish", "read", "archive"} {
			r := request("any", scheduler.Rank(rank), 5*time.Second)
			r.Account = account
			assert.Assert(t, s.Add(noon, r))
		}
	}
	sent := drain(s, noon, 80)
	assert.Assert(t, sent["read"] >= 3 && sent["archive"] >= 3, "%v", sent)
	assert.Assert(t, sent["read"]+sent["archive"] <= 10, "%v", sent)
}

// TestLongWorkLeavesSlotsForUrgentWork replays archive reads beside publications, which are
// sent at a steady rate: while the upstreams are near their limit, the reads must leave free
// what the publications need, though none of these is waiting at that moment.
func TestLongWorkLeavesSlotsForUrgentWork(t *testing.T) {
	t.Parallel()
	s := scheduler.New()
	s.SetCapacity(6)
	now := noon
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		publish := request("publish", 0, 0)
		s.RecordArrival(now, publish)
		s.Begin(now, publish)
		s.ReportLoad(now, 4, 6)
		s.End(now, publish)
	}
	reads := 0
	for read := request("read", 2, 0); s.MaySend(now, read); reads++ {
		s.Begin(now, read)
	}
	publications := 0
	for publish := request("publish", 0, 0); s.MaySend(now, publish); publications++ {
		s.Begin(now, publish)
	}
	// 20 a second of 100 ms each need two slots.
	assert.Assert(t, reads >= 1 && publications >= 2, "%d reads, %d publications", reads, publications)
}

// TestRefusesWhatCannotBeInTime checks that a request whose target is lost is refused at once
// if it can't be answered by its deadline behind those that come first, and kept if it can.
func TestRefusesWhatCannotBeInTime(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		perSecond int
		refused   bool
	}{
		{"as many arrive as are sent", 20, true},
		{"the burst is over", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := scheduler.New()
			now := noon
			for i := range 100 {
				now = now.Add(50 * time.Millisecond)
				if i%20 < tc.perSecond {
					s.RecordArrival(now, request("read", 1, 0))
				}
				r := request("read", 1, 0)
				s.Begin(now, r)
				s.End(now, r)
			}
			var last *scheduler.Request
			for range 20 {
				last = request("read", 1, 0)
				last.Deadline = now.Add(1500 * time.Millisecond)
				s.Add(now, last)
			}
			ordered := s.Ordered(now)
			assert.Equal(t, s.Late(now, ordered, 0), time.Duration(0))
			assert.Equal(t, s.Late(now, ordered, 19) > time.Second, tc.refused)
		})
	}
}

// TestNothingSentForAWhile guards against requests that are refused, for days, since nothing was
// sent lately: upstreams are paused, or requests take long.
func TestNothingSentForAWhile(t *testing.T) {
	t.Parallel()
	s := scheduler.New()
	now := noon
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		r := request("read", 1, 0)
		s.Begin(now, r)
		s.End(now, r)
	}
	now = now.Add(10 * time.Second)
	for range 5 {
		r := request("read", 1, 0)
		r.Deadline = now.Add(2 * time.Second)
		s.Add(now, r)
	}
	ordered := s.Ordered(now)
	assert.Equal(t, s.Late(now, ordered, 4), time.Duration(0))
}

func BenchmarkOrderedAtLimit(b *testing.B) {
	s := scheduler.New()
	for i := range 512 {
		r := request("read", scheduler.Rank(i%3), time.Duration(i%7)*time.Second)
		r.Account = namer.Account(rune('a' + i%20))
		s.Add(noon, r)
	}
	for b.Loop() {
		s.Ordered(noon)
	}
}

// TestBurstAfterCalm guards against refusing requests that come at once after a calm time, by
// the low rate of that time: 8 slots, objects take 500 ms, 4 of 12 requests wait and would be
// answered after a second.
func TestBurstAfterCalm(t *testing.T) {
	t.Parallel()
	s := scheduler.New()
	now := noon
	for range 60 {
		now = now.Add(time.Second)
		r := request("read", 1, 0)
		s.RecordArrival(now, r)
		s.Begin(now, r)
		s.End(now, r)
	}
	for i := range 12 {
		r := request("read", 1, 0)
		r.TargetTime, r.Deadline, r.Need = now.Add(300*time.Millisecond), now.Add(2*time.Second), 500*time.Millisecond
		s.RecordArrival(now, r)
		if i < 8 {
			s.Begin(now, r)
		} else {
			s.Add(now, r)
		}
	}
	for ms := range 50 {
		at := now.Add(time.Duration(ms) * 10 * time.Millisecond)
		ordered := s.Ordered(at)
		for i := range ordered {
			assert.Check(t, s.Late(at, ordered, i) == 0, "request %d after %d ms: %s", i, ms*10, s.Late(at, ordered, i))
		}
	}
}
