package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/share/budgeter"
)

const (
	ratio  = 0.2
	window = 10 * time.Second
	// carry is how old the requests may be that pay for a retry.
	carry = 500 * time.Millisecond
)

// TestRetryStorm checks that retries keep to their fraction of the requests while every
// request of a service fails for a minute.
func TestRetryStorm(t *testing.T) {
	t.Parallel()
	b := budgeter.New(ratio, window, time.Time{})
	now := time.Unix(1000, 0)
	requests, retries := 0, 0
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		b.CountRequest(now)
		requests++
		for b.TakeRetry(now) {
			retries++
		}
	}
	assert.Assert(t, float64(retries) <= ratio*float64(requests))
	assert.Assert(t, float64(retries) >= 0.9*ratio*float64(requests), "the budget is not used up: %d retries for %d requests", retries, requests)
}

func TestOldRequestsAllowNoRetry(t *testing.T) {
	t.Parallel()
	b := budgeter.New(ratio, window, time.Time{})
	now := time.Unix(1000, 0)
	for range 10 {
		b.CountRequest(now)
	}
	assert.Assert(t, b.TakeRetry(now))
	assert.Assert(t, !b.TakeRetry(now.Add(2*window)), "requests that left the window allow no retry")
}

// TestPropertySumOverVMs distributes requests over VMs that don't coordinate, and checks
// the limit on the retries of all of them together within one window.
func TestPropertySumOverVMs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		budgets := make([]*budgeter.Budgeter, vms)
		for i := range budgets {
			budgets[i] = budgeter.New(ratio, window, time.Time{})
		}
		now := time.Unix(1000, 0)
		start := now
		requests, retries := 0, 0
		for now.Sub(start) < window {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			b.CountRequest(now)
			requests++
			if rapid.Bool().Draw(t, "fails") && b.TakeRetry(now) {
				retries++
			}
		}
		if float64(retries) > ratio*float64(requests) {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

// TestPropertyCallersMove has callers move between VMs, which end and start again, and attempts fail
// in bursts. However they move, the retries in a window are paid by its requests and by those
// just before it.
func TestPropertyCallersMove(t *testing.T) {
	t.Parallel()
	const (
		step   = 20 * time.Millisecond
		steps  = 1500
		period = int(window / step)
		before = int(carry / step)
		most   = 4
	)
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, most).Draw(t, "vms")
		budgets := make([]*budgeter.Budgeter, vms)
		for i := range budgets {
			budgets[i] = budgeter.New(ratio, window, time.Time{})
		}
		failing := rapid.SliceOfN(rapid.Bool(), steps/100, steps/100).Draw(t, "failing")
		at, perStep := 0, 1
		var requests, retries [steps]int
		for i := range steps {
			now := time.Unix(1000, 0).Add(time.Duration(i) * step)
			if i%50 == 0 {
				at = rapid.IntRange(0, vms-1).Draw(t, "vm")
				perStep = rapid.IntRange(0, 8).Draw(t, "requests")
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					budgets[at] = budgeter.New(ratio, window, now)
				}
			}
			for range perStep {
				budgets[at].CountRequest(now)
				requests[i]++
			}
			if !failing[i/100] {
				continue
			}
			// Requests that a VM took before they moved may fail later.
			for _, b := range budgets {
				for b.TakeRetry(now) {
					retries[i]++
				}
			}
		}
		for start := period; start+period <= steps; start++ {
			paid := ratio * float64(total(requests[start-before:start+period]))
			if n := total(retries[start : start+period]); float64(n) > paid+float64(vms) {
				t.Fatalf("%d retries in a window from %v on, %v are paid", n, time.Duration(start)*step, paid)
			}
		}
	})
}

func total(counts []int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// TestRestartedVMRetries guards against a VM that allows no retries for a whole window after it has
// started.
func TestRestartedVMRetries(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	b := budgeter.New(ratio, window, start)
	for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
		b.CountRequest(start.Add(at))
		if b.TakeRetry(start.Add(at)) {
			return
		}
	}
	t.Fatal("no retry in 2 s")
}

// TestLimitInAnyWindow checks every window of the limit's length, wherever it begins.
// Failures come in bursts, so that the budget of a quiet time is used up at its end; no
// window may have more retries than its requests allow.
func TestLimitInAnyWindow(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name         string
		firstFailure time.Duration
		interval     time.Duration
	}{
		{"always", 0, 0},
		{"from just before a whole second", 10950 * time.Millisecond, 0},
		{"burst just before a whole second", 10950 * time.Millisecond, 9100 * time.Millisecond},
		{"burst every two seconds", 1990 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const step = 10 * time.Millisecond
			b := budgeter.New(ratio, window, time.Time{})
			start := time.Unix(1000, 0)
			var retries []time.Duration
			for at := time.Duration(0); at < time.Minute; at += step {
				b.CountRequest(start.Add(at))
				fails := at >= tc.firstFailure && (tc.interval == 0 || (at-tc.firstFailure)%tc.interval < 100*time.Millisecond)
				for fails && b.TakeRetry(start.Add(at)) {
					retries = append(retries, at)
				}
			}
			assert.Assert(t, len(retries) > 0)
			for _, end := range retries {
				within := 0
				for _, at := range retries {
					if at > end-window && at <= end {
						within++
					}
				}
				requests := int(min(end, window-step)/step) + 1
				assert.Assert(t, float64(within) <= ratio*float64(requests), "%d retries for %d requests until %v", within, requests, end)
			}
		})
	}
}

// TestLimitAcrossRestart guards against a budget that is spent twice: one process uses
// it up just before a restart, and the next one needs as many retries. The requests of
// one window must allow for the retries of both processes.
func TestLimitAcrossRestart(t *testing.T) {
	t.Parallel()
	for _, restart := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 9 * time.Second, 15 * time.Second} {
		t.Run(restart.String(), func(t *testing.T) {
			t.Parallel()
			const step = 10 * time.Millisecond
			start := time.Unix(1000, 0)
			b := budgeter.New(ratio, window, time.Time{})
			var retries []time.Duration
			for at := time.Duration(0); at < 6*window; at += step {
				if at == 2*window+restart {
					b = budgeter.New(ratio, window, start.Add(at))
				}
				b.CountRequest(start.Add(at))
				for at >= 2*window && b.TakeRetry(start.Add(at)) {
					retries = append(retries, at)
				}
			}
			for _, end := range retries {
				within := 0
				for _, at := range retries {
					if at > end-window && at <= end {
						within++
					}
				}
				assert.Assert(t, float64(within) <= ratio*float64(window/step), "%d retries until %v", within, end)
			}
			assert.Assert(t, retries[len(retries)-1] > 2*window+restart, "the new process never allows a retry")
		})
	}
}
