package lender_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/account/lender"
	"github.com/waxwingloom/waxwingloom/internal/account/limiter"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

// demandTerms are those of a deployment of six zones.
var demandTerms = limiter.Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20, Zones: 6, SendTime: 50 * time.Millisecond}

// powerLaw returns accounts that send perSecond requests altogether, a quarter of them the
// largest, and what each of them sends. Limits are 1.6 times that.
func powerLaw(count int, perSecond float64) ([]parser.Account, []float64) {
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -1.05)
	}
	accounts, usual := make([]parser.Account, count), make([]float64, count)
	for i := range count {
		usual[i] = perSecond * math.Pow(float64(i+1), -1.05) / sum
		limit := int(math.Ceil(1.6 * usual[i]))
		accounts[i] = parser.Account{Name: namer.Account(fmt.Sprintf("a%03d", i)), Rate: limit, Burst: limit}
	}
	return accounts, usual
}

// TestFleetServesWithinLimits guards against refusals below the limit, and against calls that
// cost a VM too much: 75 accounts, of which one is hot in the middle of the time.
func TestFleetServesWithinLimits(t *testing.T) {
	for _, hot := range []float64{1, 4, 7} {
		t.Run(fmt.Sprintf("hot %gx", hot), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds = 6
				accounts, usual := powerLaw(75, 1650)
				f := newFleet(t, demandTerms, 11, 1, documentOf(accounts...))
				defer f.stop()
				time.Sleep(10 * time.Second)
				const hotAccount = 2
				for i := range accounts {
					perSecond := usual[i]
					if i == hotAccount {
						perSecond *= hot
					}
					f.running.Go(func() { f.load(&accounts[i], perSecond, seconds*time.Second, anyOf(f.nodes)) })
				}
				time.Sleep((seconds + 1) * time.Second)
				sent, served := 0, 0
				for i, a := range accounts {
					assert.Assert(t, float64(f.most(a.Name, demandTerms.Window)) <= demandTerms.Bound(a.Rate, a.Burst))
					if s, refused := f.count(a.Name); i != hotAccount {
						sent += s + refused
						served += s
					}
				}
				vmSeconds := float64(len(f.nodes) * seconds)
				calls, bytes := float64(f.calls.Load())/vmSeconds, float64(f.bytes.Load())/vmSeconds
				share := float64(served) / float64(sent)
				limit := float64(accounts[hotAccount].Rate*seconds + accounts[hotAccount].Burst)
				s, refused := f.count(accounts[hotAccount].Name)
				hotShare := float64(s) / min(limit, float64(s+refused))
				t.Logf("calls per VM and second %.1f, bytes %.0f; served %.4f of the others, %.3f of the hot account's limit", calls, bytes, share, hotShare)
				assert.Assert(t, share > 0.99, "accounts within their limits were refused")
				assert.Assert(t, hotShare > 0.95, "the hot account got less than its limit")
				assert.Assert(t, calls < 2*1650/66, "more than two calls for a request")
			})
		})
	}
}

// TestConcentratedCallers guards against parts of the limit that stay unused while callers
// of one zone or VM need them.
func TestConcentratedCallers(t *testing.T) {
	for _, rate := range []int{4, 240} {
		for _, tc := range []struct {
			name string
			pick func(f *fleet) func(*rand.Rand) *node
		}{
			{"all", func(f *fleet) func(*rand.Rand) *node { return anyOf(f.nodes) }},
			{"zone", func(f *fleet) func(*rand.Rand) *node { return anyOf(f.nodes[:11]) }},
			{"vm", func(f *fleet) func(*rand.Rand) *node { return anyOf(f.nodes[:1]) }},
			{"moving", func(f *fleet) func(*rand.Rand) *node {
				start := time.Now()
				return func(r *rand.Rand) *node {
					if time.Since(start) < 4*time.Second+time.Duration(r.Float64()*float64(time.Second)) {
						return f.nodes[r.IntN(11)]
					}
					return f.nodes[22+r.IntN(11)]
				}
			}},
		} {
			for _, factor := range []float64{0.9, 4} {
				t.Run(fmt.Sprintf("%d/%s/%g", rate, tc.name, factor), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						a := parser.Account{Name: "a", Rate: rate, Burst: rate}
						f := newFleet(t, demandTerms, 11, 1, documentOf(a))
						defer f.stop()
						time.Sleep(10 * time.Second)
						f.load(&a, factor*float64(rate), 10*time.Second, tc.pick(f))
						time.Sleep(time.Second)
						served, refused := f.count("a")
						within := min(float64(served+refused), float64(rate)*11)
						most := f.most("a", demandTerms.Window)
						t.Logf("served %.3f of %d, most %d, calls %d", float64(served)/within, served+refused, most, f.calls.Load())
						assert.Assert(t, float64(served) > 0.9*within, "the limit wasn't used")
						assert.Assert(t, float64(most) <= demandTerms.Bound(rate, rate))
					})
				})
			}
		}
	}
}

// TestFailures guards against accounts that are refused below their limit for long after a
// failure, or served above it. Each failure happens while callers of all zones send three
// quarters of the limit, and again while they send three times as much.
func TestFailures(t *testing.T) {
	for _, tc := range []struct {
		name   string
		least  float64
		happen func(f *fleet)
	}{
		{"keeper dies", 0.97, func(f *fleet) {
			// One VM after the other: one of each zone is the keeper.
			for _, n := range f.nodes {
				f.kill(n)
				f.sleep(400 * time.Millisecond)
				f.start(n)
			}
		}},
		{"zone is cut for 9 s", 0.97, func(f *fleet) { f.play(fault{kind: "cut", last: 9 * time.Second}) }},
		{"zone is frozen for 8 s", 0.95, func(f *fleet) {
			for _, n := range f.nodes[:4] {
				f.running.Go(func() { f.freeze(n, 8*time.Second) })
			}
		}},
		{"all start together", 0.75, func(f *fleet) {
			for _, n := range f.nodes {
				f.kill(n)
			}
			for _, n := range f.nodes {
				f.start(n)
			}
		}},
		{"messages are lost, doubled and late", 0.8, func(f *fleet) {
			f.set(func() { f.lost, f.doubled, f.late = 0.02, 0.1, 0.1 })
		}},
	} {
		for _, factor := range []float64{0.75, 3} {
			t.Run(fmt.Sprintf("%s/%gx", tc.name, factor), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := parser.Account{Name: "a", Rate: 240, Burst: 240}
					f := newFleet(t, demandTerms, 4, 1, documentOf(a))
					defer f.stop()
					time.Sleep(10 * time.Second)
					f.running.Go(func() {
						f.sleep(time.Second)
						tc.happen(f)
					})
					f.load(&a, factor*float64(a.Rate), 14*time.Second, anyOf(f.nodes))
					time.Sleep(time.Second)
					served, refused := f.count("a")
					within := min(float64(served+refused), float64(a.Rate)*15)
					most := f.most("a", demandTerms.Window)
					t.Logf("served %.3f of %d, most %d of %.0f", float64(served)/within, served+refused, most, demandTerms.Bound(a.Rate, a.Burst))
					assert.Assert(t, float64(most) <= demandTerms.Bound(a.Rate, a.Burst))
					assert.Assert(t, factor > 1 || float64(served) > tc.least*within, "the account was refused below its limit")
				})
			})
		}
	}
}

// TestNoLimitCostsNothing guards against calls and state for accounts without a limit.
func TestNoLimitCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := parser.Account{Name: "a"}
		f := newFleet(t, demandTerms, 2, 1, documentOf(a))
		defer f.stop()
		f.load(&a, 1000, time.Second, anyOf(f.nodes))
		time.Sleep(time.Second)
		served, refused := f.count("a")
		assert.Assert(t, served > 500 && refused == 0 && f.calls.Load() == 0)
		assert.Equal(t, len(f.nodes[0].lender.Counts().Accounts), 0)
	})
}

// BenchmarkTake measures what the limit adds to a request of an account with tokens in stock,
// among 1,000 accounts.
func BenchmarkTake(b *testing.B) {
	accounts, _ := powerLaw(1000, 1650)
	accounts[7].Rate, accounts[7].Burst = 1<<30, 1<<30
	self := lender.Self{VM: "a", Zone: "z0", Zones: []namer.Zone{"z0"}}
	terms := demandTerms
	terms.Zones = 1
	clock := clockwork.NewRealClock()
	l, cleanup := lender.New(self, terms, timing, lender.Dependencies{Members: alone{}}, clock, slog.New(slog.DiscardHandler))
	defer cleanup()
	l.SetDocument(documentOf(accounts...))
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		l.Look()
	}
	b.ReportAllocs()
	refused := 0
	for b.Loop() {
		if ok, _ := l.Take(b.Context(), &accounts[7]); !ok {
			refused++
		}
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}

// alone is the view of the only VM of a deployment.
type alone struct{}

func (alone) Self() tracker.Member      { return tracker.Member{VM: "a", Zone: "z0"} }
func (alone) Members() []tracker.Member { return nil }

// deafKeeper is the other VM of a zone, which is alive by the members' list and gives no reply.
type deafKeeper struct{ calls int }

func (*deafKeeper) Self() tracker.Member { return tracker.Member{VM: "a", Zone: "z0"} }

func (*deafKeeper) Members() []tracker.Member {
	return []tracker.Member{{VM: "b", Zone: "z0", PeerAddress: "b", State: tracker.Alive, LastHeard: time.Now()}}
}

func (k *deafKeeper) Call(context.Context, string, namer.Incarnation, *encoder.Request) (*encoder.Reply, error) {
	k.calls++
	return nil, errors.New("no reply")
}

// TestDeafKeeperIsLeftAlone guards against a keeper that can't be reached and is called for each
// request of accounts that send seldom.
func TestDeafKeeperIsLeftAlone(t *testing.T) {
	for _, name := range []namer.Account{"a0", "a1", "a2", "a3"} {
		synctest.Test(t, func(t *testing.T) {
			a := parser.Account{Name: name, Rate: 100, Burst: 100}
			keeper := &deafKeeper{}
			self := lender.Self{VM: "a", Zone: "z0", Zones: []namer.Zone{"z0"}, Seeded: true}
			l, cleanup := lender.New(self, demandTerms, timing, lender.Dependencies{Peers: keeper, Members: keeper}, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
			defer cleanup()
			l.SetDocument(documentOf(a))
			l.Take(t.Context(), &a)
			for range 3 {
				time.Sleep(100 * time.Millisecond)
				l.Look()
			}
			l.Take(t.Context(), &a)
			assert.Assert(t, keeper.calls <= 1, "%d calls", keeper.calls)
		})
	}
}
