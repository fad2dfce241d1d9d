package quarantiner_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(n int) quarantiner.Fingerprints {
	return quarantiner.FingerprintsOf("10.0.0.1", "GET", "shop.example", fmt.Sprintf("/stock/%d", n), nil)
}

func process(n int) quarantiner.Process {
	return quarantiner.Process{Upstream: namer.Upstream(fmt.Sprintf("u%d", n)), StartedMs: int64(n)}
}

// at returns the time at which process n crashes.
func at(n int) time.Time {
	return start.Add(time.Duration(n) * time.Second)
}

// crash records that process n crashed under a request.
func crash(q *quarantiner.Quarantiner, now time.Time, fp quarantiner.Fingerprints, n int) {
	q.RecordBroken(now, fp, process(n))
	q.RecordGone(now, process(n))
}

// survive records that process n broke a request's connection and was reachable afterwards.
func survive(q *quarantiner.Quarantiner, now time.Time, fp quarantiner.Fingerprints, n int) {
	q.RecordBroken(now, fp, process(n))
	q.RecordAlive(process(n), q.Broken(process(n)))
}

// TestSurvivorIsForgotten guards against fingerprints of all responses for good after one broken
// connection.
func TestSurvivorIsForgotten(t *testing.T) {
	t.Parallel()
	q := quarantiner.New()
	survive(q, start, fingerprint(1), 1)
	assert.Assert(t, q.Empty())
	assert.Assert(t, q.AwaitsResponse())
	q.RecordResponse(start.Add(11*time.Second), fingerprint(2))
	assert.Assert(t, !q.AwaitsResponse())
}

// replaceThree has three processes survive a request and be replaced later.
func replaceThree(q *quarantiner.Quarantiner, fp quarantiner.Fingerprints, later time.Duration) {
	for n := range 3 {
		survive(q, at(n), fp, n)
	}
	for n := range 3 {
		q.RecordReplaced(at(n).Add(later), process(n))
	}
}

func TestDecide(t *testing.T) {
	t.Parallel()
	fp := fingerprint(1)
	for _, tc := range []struct {
		name  string
		steps func(q *quarantiner.Quarantiner)
		after time.Duration
		want  quarantiner.Action
	}{
		{"nothing known", func(*quarantiner.Quarantiner) {}, 0, quarantiner.Admit},
		{"one crash", func(q *quarantiner.Quarantiner) { crash(q, start, fp, 1) }, 0, quarantiner.Admit},
		{"two crashes", func(q *quarantiner.Quarantiner) { crash(q, at(1), fp, 1); crash(q, at(2), fp, 2) }, 0, quarantiner.AdmitOnce},
		{"a crash and a doubt", func(q *quarantiner.Quarantiner) {
			crash(q, start, fp, 1)
			q.RecordBroken(start, fp, process(2))
		}, 0, quarantiner.AdmitOnce},
		{"three crashes", func(q *quarantiner.Quarantiner) { crashThree(q, fp) }, 0, quarantiner.Refuse},
		{"another request", func(q *quarantiner.Quarantiner) { crashThree(q, fingerprint(2)) }, 0, quarantiner.Admit},
		{"the same crash three times", func(q *quarantiner.Quarantiner) {
			for range 3 {
				crash(q, start, fp, 1)
			}
		}, 0, quarantiner.Admit},
		{"processes that run", func(q *quarantiner.Quarantiner) {
			for n := range 3 {
				q.RecordBroken(start, fp, process(n))
				q.RecordAlive(process(n), q.Broken(process(n)))
				q.RecordGone(start, process(n))
			}
		}, 0, quarantiner.Admit},
		{"processes that are reachable and replaced", func(q *quarantiner.Quarantiner) { replaceThree(q, fp, time.Second) }, 0, quarantiner.Refuse},
		{"processes that are replaced long after", func(q *quarantiner.Quarantiner) { replaceThree(q, fp, 11*time.Second) }, 0, quarantiner.Admit},
		{"a response before they are replaced", func(q *quarantiner.Quarantiner) {
			for n := range 3 {
				survive(q, at(n), fp, n)
				q.RecordResponse(at(n), fp)
				q.RecordReplaced(at(n+1), process(n))
			}
		}, 0, quarantiner.Admit},
		{"processes that crash under another request", func(q *quarantiner.Quarantiner) {
			for n := range 3 {
				survive(q, at(n), fp, n)
				crash(q, at(n+1), fingerprint(2), n)
				q.RecordReplaced(at(n+2), process(n))
			}
		}, 0, quarantiner.Admit},
		{"a response before the third", func(q *quarantiner.Quarantiner) {
			crash(q, at(1), fp, 1)
			crash(q, at(2), fp, 2)
			q.RecordResponse(at(2), fp)
			crash(q, at(3), fp, 3)
		}, 0, quarantiner.Admit},
		{"a response after the third", func(q *quarantiner.Quarantiner) {
			crashThree(q, fp)
			q.RecordResponse(start, fp)
		}, 0, quarantiner.Admit},
		{"three crashes long ago", func(q *quarantiner.Quarantiner) { crashThree(q, fp) }, 11 * time.Minute, quarantiner.AdmitOnce},
		{"one more crash after a long time", func(q *quarantiner.Quarantiner) {
			crashThree(q, fp)
			crash(q, start.Add(11*time.Minute), fp, 4)
		}, 12 * time.Minute, quarantiner.Refuse},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			q := quarantiner.New()
			tc.steps(q)
			assert.Equal(t, q.Decide(start.Add(tc.after), fp).Action, tc.want)
		})
	}
}

func crashThree(q *quarantiner.Quarantiner, fp quarantiner.Fingerprints) {
	for n := range 3 {
		crash(q, at(n), fp, n)
	}
}

func TestRefusalEnds(t *testing.T) {
	t.Parallel()
	q := quarantiner.New()
	crashThree(q, fingerprint(1))
	now := start.Add(time.Minute)
	// The evidence is kept, so that one crash is enough the next time, and for longer.
	for n, want := range []time.Duration{3*time.Minute - 58*time.Second, 12 * time.Minute, 48 * time.Minute, time.Hour, time.Hour} {
		d := q.Decide(now, fingerprint(1))
		assert.Equal(t, d.RetryAfter, want)
		now = now.Add(d.RetryAfter)
		assert.Equal(t, q.Decide(now, fingerprint(1)).Action, quarantiner.AdmitOnce)
		crash(q, now, fingerprint(1), 10+n)
	}
	q.Merge(now.Add(2*time.Hour), nil)
	assert.Assert(t, q.Empty())
}

// TestPopularRequestIsNotBlamed crashes 500 processes, under each of which the same popular
// request and 20 others were in flight. Between two crashes the popular one gets responses.
func TestPopularRequestIsNotBlamed(t *testing.T) {
	t.Parallel()
	q := quarantiner.New()
	popular, now := fingerprint(0), start
	for n := range 500 {
		now = now.Add(100 * time.Millisecond)
		q.RecordBroken(now, popular, process(n))
		for i := range 20 {
			q.RecordBroken(now, fingerprint(1+20*n+i), process(n))
		}
		q.RecordGone(now, process(n))
		q.RecordResponse(now, popular)
		assert.Equal(t, q.Decide(now, popular).Action, quarantiner.Admit)
	}
	assert.Equal(t, q.Counts(now).Refused, 0)
}

// TestCulpritAmongInnocent has one request crash each process under which it is in flight,
// with 30 of 300 other requests beside it that get no response as long as they meet crashes.
func TestCulpritAmongInnocent(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	q := quarantiner.New()
	culprit, crashes := fingerprint(0), 0
	for n := 0; q.Decide(at(n), culprit).Action != quarantiner.Refuse; n++ {
		crashes++
		q.RecordBroken(at(n), culprit, process(n))
		inFlight := rng.Perm(300)[:30]
		for _, i := range inFlight {
			q.RecordBroken(at(n), fingerprint(1+i), process(n))
		}
		q.RecordGone(at(n), process(n))
		for i := range 300 {
			// Each of the others is retried elsewhere, most of them with success.
			if rng.IntN(10) > 0 {
				q.RecordResponse(start, fingerprint(1+i))
			}
		}
	}
	assert.Equal(t, crashes, 3)
	assert.Equal(t, q.Counts(at(3)).Refused, 2)
}

// TestCallers checks that a request is refused when its caller's address changes, and that it
// is refused to one caller alone when others get responses.
func TestCallers(t *testing.T) {
	t.Parallel()
	from := func(caller int) quarantiner.Fingerprints {
		return quarantiner.FingerprintsOf(fmt.Sprintf("10.0.0.%d", caller), "GET", "shop.example", "/stock/1", nil)
	}
	changing := quarantiner.New()
	for n := range 3 {
		crash(changing, at(n), from(n), n)
	}
	assert.Equal(t, changing.Decide(at(3), from(9)).Action, quarantiner.Refuse)

	shared := quarantiner.New()
	for n := range 3 {
		crash(shared, at(n), from(1), n)
		shared.RecordResponse(start, from(2))
	}
	assert.Equal(t, shared.Decide(at(3), from(1)).Action, quarantiner.Refuse)
	assert.Equal(t, shared.Decide(at(3), from(2)).Action, quarantiner.Admit)
}

// TestOutageBlamesNobody guards against requests that are refused since they were in flight at
// several upstreams that ended together.
func TestOutageBlamesNobody(t *testing.T) {
	t.Parallel()
	q := quarantiner.New()
	for n := range 20 {
		q.RecordBroken(start, fingerprint(1), process(n))
	}
	for n := range 20 {
		q.RecordGone(start.Add(time.Duration(n)*4*time.Millisecond), process(n))
	}
	assert.Equal(t, q.Decide(start.Add(time.Second), fingerprint(1)).Action, quarantiner.AdmitOnce)
}

// TestManySuspects checks that the memory is bounded, and that the requests that are refused
// outlast suspects that are not.
func TestManySuspects(t *testing.T) {
	t.Parallel()
	q := quarantiner.New()
	crashThree(q, fingerprint(0))
	for n := range 10_000 {
		q.RecordBroken(start, fingerprint(1+n), process(100+n/100))
	}
	for n := range 100 {
		q.RecordGone(start, process(100+n))
	}
	suspects := q.Counts(start).Suspect
	assert.Assert(t, suspects > 3500 && suspects <= 4096, "%d suspects", suspects)
	assert.Equal(t, q.Decide(start, fingerprint(0)).Action, quarantiner.Refuse)
}

func TestCrashesOfOneRequestAreBounded(t *testing.T) {
	t.Parallel()
	q := quarantiner.New()
	for n := range 50 {
		crash(q, start.Add(time.Duration(n)*time.Second), fingerprint(0), n)
	}
	records := q.Changed(time.Time{}, 10)
	assert.Equal(t, len(records), 2)
	assert.Equal(t, len(records[0].Crashes), 8)
	// An old crash that comes again changes nothing, so that VMs stop to exchange it.
	old := quarantiner.Record{Fingerprint: fingerprint(0)[0], Crashes: []quarantiner.Crash{{Process: process(0), At: start}}}
	assert.Assert(t, !q.Merge(start.Add(time.Minute), []quarantiner.Record{old}))
}

func TestDoubtEnds(t *testing.T) {
	t.Parallel()
	q := quarantiner.New()
	q.RecordBroken(start, fingerprint(0), process(1))
	assert.Assert(t, !q.Empty())
	q.RecordBroken(start.Add(time.Minute), fingerprint(0), process(2))
	assert.DeepEqual(t, q.Doubted(), []quarantiner.Process{process(2)})
}

// TestPropertyMerge checks that VMs which exchange their evidence in any order, twice or in
// parts, refuse the same requests.
func TestPropertyMerge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		vms := []*quarantiner.Quarantiner{quarantiner.New(), quarantiner.New(), quarantiner.New()}
		all := quarantiner.New()
		pick := func(limit int, label string) int { return rapid.IntRange(0, limit-1).Draw(t, label) }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			vm, fp := vms[pick(3, "vm")], fingerprint(pick(3, "request"))
			if pick(3, "step") == 0 {
				vm.Merge(start, vms[pick(3, "from")].Changed(time.Time{}, rapid.IntRange(1, 6).Draw(t, "limit")))
				continue
			}
			n := pick(6, "process")
			crash(vm, at(n), fp, n)
			crash(all, at(n), fp, n)
		}
		for range 2 {
			for _, to := range vms {
				for _, from := range vms {
					to.Merge(start, from.Changed(time.Time{}, 10))
				}
			}
		}
		for _, vm := range vms {
			assert.Equal(t, vm.Hash(start), all.Hash(start))
			assert.DeepEqual(t, byFingerprint(vm.Refused(start, 10)), byFingerprint(all.Refused(start, 10)))
			for n := range 3 {
				assert.Equal(t, vm.Decide(start, fingerprint(n)), all.Decide(start, fingerprint(n)))
			}
		}
	})
}

// byFingerprint sorts records, whose order depends on when a VM learned them.
func byFingerprint(records []quarantiner.Record) []quarantiner.Record {
	slices.SortFunc(records, func(x, y quarantiner.Record) int { return bytes.Compare(x.Fingerprint[:], y.Fingerprint[:]) })
	return records
}

func BenchmarkDecide(b *testing.B) {
	q := quarantiner.New()
	for n := range 4096 {
		q.RecordBroken(start, fingerprint(n), process(n/64))
	}
	for n := range 64 {
		q.RecordGone(start, process(n))
	}
	for b.Loop() {
		q.Decide(start, fingerprint(7))
	}
}
