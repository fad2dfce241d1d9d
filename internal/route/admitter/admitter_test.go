package admitter

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type inFlightRequest struct {
	upstream *upstreamState
	weight   namer.Weight
}

// Random sequences of requests, responses, failures and new documents must never put more
// in flight at an upstream than this VM's share. When the share is lowered below what is
// in flight, the upstream must get no new work. The controller's count must be right after
// every step.
func TestPropertyNeverOverShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "draws")))
		c := &controller{randIntN: rng.IntN}
		now := time.Unix(100, 0)
		var inFlightRequests []inFlightRequest
		waiting := make(map[ticket]namer.Weight)
		configure := func() {
			var shares []UpstreamShare
			for _, name := range []namer.Upstream{"a", "b", "c"} {
				share := namer.Weight(rapid.IntRange(0, 6).Draw(t, "share"))
				if share > 0 {
					shares = append(shares, UpstreamShare{Upstream: name, Address: string(name), Share: share, Drained: rapid.Bool().Draw(t, "drained")})
				}
			}
			c.configure(now, Limits{MaxQueued: 5, ReservePercent: 20, MaxEjectedPercent: 50}, shares)
		}
		grant := func(u *upstreamState, weight namer.Weight) {
			if u.inFlight > u.Share {
				t.Fatalf("%s has %d in flight, more than its share of %d", u.Upstream, u.inFlight, u.Share)
			}
			if u.Drained {
				t.Fatalf("%s is drained and got new work", u.Upstream)
			}
			inFlightRequests = append(inFlightRequests, inFlightRequest{upstream: u, weight: weight})
		}
		grantAll := func(admitted []admission) {
			for _, a := range admitted {
				grant(a.upstream, waiting[a.ticket])
				delete(waiting, a.ticket)
			}
		}
		configure()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				configure()
				grantAll(c.admitQueued(now))
			case 1, 2, 3, 4:
				weight := namer.Weight(rapid.IntRange(1, 3).Draw(t, "weight"))
				d := c.decide(now, Request{Weight: weight, Once: rapid.Bool().Draw(t, "once"), Deadline: now.Add(time.Minute)})
				if d.upstream != nil {
					grant(d.upstream, weight)
				}
				if d.ticket != 0 {
					waiting[d.ticket] = weight
				}
			default:
				if len(inFlightRequests) > 0 {
					i := rapid.IntRange(0, len(inFlightRequests)-1).Draw(t, "which")
					r := inFlightRequests[i]
					inFlightRequests = append(inFlightRequests[:i], inFlightRequests[i+1:]...)
					failed := rapid.IntRange(0, 3).Draw(t, "failed") == 0
					grantAll(c.release(now, r.upstream, r.weight, time.Millisecond, failed))
				}
			}
			inFlight, _ := c.totals()
			var sum namer.Weight
			for _, r := range inFlightRequests {
				sum += r.weight
			}
			if inFlight != sum {
				t.Fatalf("the controller counts a weight of %d in flight, want %d", inFlight, sum)
			}
		}
	})
}

func newPool(limits Limits, shares ...UpstreamShare) (*Pool, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	p := New(clock, func(int) int { return 0 })
	p.Configure(limits, shares)
	return p, clock
}

func TestRefusals(t *testing.T) {
	t.Parallel()
	share := UpstreamShare{Upstream: "a", Address: "a", Share: 2}
	drained := UpstreamShare{Upstream: "b", Address: "b", Share: 2, Drained: true}
	for _, tc := range []struct {
		name     string
		limits   Limits
		shares   []UpstreamShare
		request  Request
		inFlight int
		want     string
	}{
		{"no upstream", Limits{}, nil, Request{Weight: 1}, 0, "no-upstream"},
		{"drained", Limits{}, []UpstreamShare{drained}, Request{Weight: 1}, 0, "no-upstream"},
		{"too heavy", Limits{}, []UpstreamShare{share}, Request{Weight: 3}, 0, "too-heavy"},
		{"full", Limits{}, []UpstreamShare{share}, Request{Weight: 1, Once: true}, 2, "overloaded"},
		{"reserved", Limits{ReservePercent: 50}, []UpstreamShare{share}, Request{Weight: 1}, 1, "overloaded"},
		{"not reserved for once-only", Limits{ReservePercent: 50}, []UpstreamShare{share}, Request{Weight: 1, Once: true}, 1, ""},
		{"room", Limits{}, []UpstreamShare{share}, Request{Weight: 2}, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			p, clock := newPool(tc.limits, tc.shares...)
			deadline := clock.Now().Add(time.Second)
			for range tc.inFlight {
				g, refusal := p.Acquire(context.Background(), Request{Weight: 1, Once: true, Deadline: deadline})
				assert.Assert(t, g != nil, refusal)
			}
			tc.request.Deadline = deadline
			_, refusal := p.Acquire(context.Background(), tc.request)
			assert.Equal(t, string(refusal.Code), tc.want)
		})
	}
}

func TestQueuedRequestIsAdmittedOrRefusedAtDeadline(t *testing.T) {
	t.Parallel()
	p, clock := newPool(Limits{MaxQueued: 2}, UpstreamShare{Upstream: "a", Address: "a", Share: 1})
	request := Request{Weight: 1, Once: true, Deadline: clock.Now().Add(time.Second)}
	first, _ := p.Acquire(context.Background(), request)
	got := make(chan *Grant, 1)
	go func() {
		g, _ := p.Acquire(context.Background(), request)
		got <- g
	}()
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
	first.Done(false)
	second := <-got
	assert.Assert(t, second != nil)
	refused := make(chan Refusal, 1)
	go func() {
		_, r := p.Acquire(context.Background(), request)
		refused <- r
	}()
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
	clock.Advance(time.Second)
	assert.Equal(t, (<-refused).Code, CodeDeadlineExceeded)
	second.Done(false)
	assert.Equal(t, p.Usage().InFlight, namer.Weight(0))
}

func TestEjectionIsLimitedToMaxPercent(t *testing.T) {
	t.Parallel()
	c := &controller{randIntN: func(int) int { return 0 }}
	now := time.Unix(100, 0)
	c.configure(now, Limits{MaxEjectedPercent: 50}, []UpstreamShare{
		{Upstream: "a", Address: "a", Share: 9}, {Upstream: "b", Address: "b", Share: 9},
	})
	for _, s := range c.upstreams {
		for range 10 {
			s.inFlight++
			c.release(now, s, 1, time.Millisecond, true)
		}
	}
	assert.Assert(t, !c.available(now, c.upstreams[0]))
	assert.Assert(t, c.available(now, c.upstreams[1]), "half of the upstreams must remain available although all fail")
	assert.Assert(t, c.available(now.Add(maxEjection), c.upstreams[0]), "an ejection must end")
}

// TestFullShareAfterEjection guards against an upstream that crashed and started again, and
// gets this VM's full share as soon as its ejection ends.
func TestFullShareAfterEjection(t *testing.T) {
	t.Parallel()
	c := &controller{randIntN: func(int) int { return 0 }}
	now := time.Unix(100, 0)
	c.configure(now, Limits{MaxEjectedPercent: 50}, []UpstreamShare{
		{Upstream: "a", Address: "a", Share: 20}, {Upstream: "b", Address: "b", Share: 20},
	})
	restarted := c.upstreams[0]
	for range consecutiveFailuresToEject {
		restarted.inFlight++
		c.release(now, restarted, 1, time.Millisecond, true)
	}
	back := now.Add(initialEjection)
	assert.Assert(t, c.available(back, restarted))
	assert.Equal(t, restarted.currentShare(back), namer.Weight(5), "the share at the start of a warm-up")
	assert.Equal(t, restarted.currentShare(back.Add(warmupDuration)), namer.Weight(20))
}
