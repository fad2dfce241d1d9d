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

type held struct {
	slot   *slotState
	weight namer.Weight
}

// TestPropertyNeverOverShare drives a book with requests, answers, failures
// and new documents. No upstream has more in flight than this VM's share,
// unless the share was lowered under it, and then it gets nothing new.
func TestPropertyNeverOverShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "draws")))
		b := &book{draw: rng.IntN}
		now := time.Unix(100, 0)
		var open []held
		waiting := make(map[ticket]namer.Weight)
		configure := func() {
			var slots []UpstreamShare
			for _, name := range []namer.Upstream{"a", "b", "c"} {
				share := namer.Weight(rapid.IntRange(0, 6).Draw(t, "share"))
				if share > 0 {
					slots = append(slots, UpstreamShare{Upstream: name, Address: string(name), Share: share, Drained: rapid.Bool().Draw(t, "drained")})
				}
			}
			b.configure(now, Limits{MaxQueued: 5, ReservePercent: 20, MaxEjectedPercent: 50}, slots)
		}
		grant := func(s *slotState, weight namer.Weight) {
			if s.inFlight > s.Share {
				t.Fatalf("%s has %d in flight of %d", s.Upstream, s.inFlight, s.Share)
			}
			if s.Drained {
				t.Fatalf("%s is drained and got new work", s.Upstream)
			}
			open = append(open, held{slot: s, weight: weight})
		}
		admit := func(as []admission) {
			for _, a := range as {
				grant(a.slot, waiting[a.ticket])
				delete(waiting, a.ticket)
			}
		}
		configure()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				configure()
				admit(b.serve(now))
			case 1, 2, 3, 4:
				weight := namer.Weight(rapid.IntRange(1, 3).Draw(t, "weight"))
				d := b.ask(now, Request{Weight: weight, Once: rapid.Bool().Draw(t, "once"), Deadline: now.Add(time.Minute)})
				if d.slot != nil {
					grant(d.slot, weight)
				}
				if d.queued != 0 {
					waiting[d.queued] = weight
				}
			default:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					h := open[i]
					open = append(open[:i], open[i+1:]...)
					failed := rapid.IntRange(0, 3).Draw(t, "failed") == 0
					admit(b.release(now, h.slot, h.weight, time.Millisecond, failed))
				}
			}
			inFlight, _ := b.total()
			var sum namer.Weight
			for _, h := range open {
				sum += h.weight
			}
			if inFlight != sum {
				t.Fatalf("the book counts %d in flight, and %d are", inFlight, sum)
			}
		}
	})
}

func newPool(limits Limits, slots ...UpstreamShare) (*Pool, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	p := New(clock, func(int) int { return 0 })
	p.Configure(limits, slots)
	return p, clock
}

func TestRefusals(t *testing.T) {
	t.Parallel()
	slot := UpstreamShare{Upstream: "a", Address: "a", Share: 2}
	drained := UpstreamShare{Upstream: "b", Address: "b", Share: 2, Drained: true}
	for _, tc := range []struct {
		name   string
		limits Limits
		slots  []UpstreamShare
		ask    Request
		before int
		want   string
	}{
		{"no upstream", Limits{}, nil, Request{Weight: 1}, 0, "no-upstream"},
		{"drained", Limits{}, []UpstreamShare{drained}, Request{Weight: 1}, 0, "no-upstream"},
		{"too heavy", Limits{}, []UpstreamShare{slot}, Request{Weight: 3}, 0, "too-heavy"},
		{"full", Limits{}, []UpstreamShare{slot}, Request{Weight: 1, Once: true}, 2, "overloaded"},
		{"reserved", Limits{ReservePercent: 50}, []UpstreamShare{slot}, Request{Weight: 1}, 1, "overloaded"},
		{"not reserved for once-only", Limits{ReservePercent: 50}, []UpstreamShare{slot}, Request{Weight: 1, Once: true}, 1, ""},
		{"room", Limits{}, []UpstreamShare{slot}, Request{Weight: 2}, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			p, clock := newPool(tc.limits, tc.slots...)
			deadline := clock.Now().Add(time.Second)
			for range tc.before {
				g, refusal := p.Acquire(context.Background(), Request{Weight: 1, Once: true, Deadline: deadline})
				assert.Assert(t, g != nil, refusal)
			}
			tc.ask.Deadline = deadline
			_, refusal := p.Acquire(context.Background(), tc.ask)
			assert.Equal(t, string(refusal.Code), tc.want)
		})
	}
}

func TestQueueServesInOrderAndGivesUp(t *testing.T) {
	t.Parallel()
	p, clock := newPool(Limits{MaxQueued: 2}, UpstreamShare{Upstream: "a", Address: "a", Share: 1})
	ask := Request{Weight: 1, Once: true, Deadline: clock.Now().Add(time.Second)}
	first, _ := p.Acquire(context.Background(), ask)
	got := make(chan *Grant, 1)
	go func() {
		g, _ := p.Acquire(context.Background(), ask)
		got <- g
	}()
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
	first.Done(false)
	second := <-got
	assert.Assert(t, second != nil)
	refused := make(chan Refusal, 1)
	go func() {
		_, r := p.Acquire(context.Background(), ask)
		refused <- r
	}()
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
	clock.Advance(time.Second)
	assert.Equal(t, (<-refused).Code, CodeDeadline)
	second.Done(false)
	assert.Equal(t, p.Usage().InFlight, namer.Weight(0))
}

func TestEjectionKeepsAFloor(t *testing.T) {
	t.Parallel()
	b := &book{draw: func(int) int { return 0 }}
	now := time.Unix(100, 0)
	b.configure(now, Limits{MaxEjectedPercent: 50}, []UpstreamShare{
		{Upstream: "a", Address: "a", Share: 9}, {Upstream: "b", Address: "b", Share: 9},
	})
	for _, s := range b.slots {
		for range 10 {
			s.inFlight++
			b.release(now, s, 1, time.Millisecond, true)
		}
	}
	assert.Assert(t, !b.open(now, b.slots[0]))
	assert.Assert(t, b.open(now, b.slots[1]), "half of the upstreams stay, though all fail")
	assert.Assert(t, b.open(now.Add(ejectLongest), b.slots[0]), "an ejection ends")
}
