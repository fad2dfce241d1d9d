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
)

// TestRetryStorm has every request of a service fail for a minute: second sends keep
// to their part of the requests.
func TestRetryStorm(t *testing.T) {
	t.Parallel()
	b := budgeter.New(ratio, window, time.Time{})
	now := time.Unix(1000, 0)
	requests, spent := 0, 0
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		b.CountRequest(now)
		requests++
		for b.TakeRetry(now) {
			spent++
		}
	}
	assert.Assert(t, float64(spent) <= ratio*float64(requests))
	assert.Assert(t, float64(spent) >= 0.9*ratio*float64(requests), "the budget is not used: %d of %d", spent, requests)
}

func TestOldRequestsAllowNoRetry(t *testing.T) {
	t.Parallel()
	b := budgeter.New(ratio, window, time.Time{})
	now := time.Unix(1000, 0)
	for range 10 {
		b.CountRequest(now)
	}
	assert.Assert(t, b.TakeRetry(now))
	assert.Assert(t, !b.TakeRetry(now.Add(2*window)), "requests of long ago pay for nothing")
}

// TestPropertySumOverVMs splits requests over VMs that know nothing of each
// other, and bounds what all of them send in any two windows.
func TestPropertySumOverVMs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		budgets := make([]*budgeter.Budgeter, vms)
		for i := range budgets {
			budgets[i] = budgeter.New(ratio, window, time.Time{})
		}
		now := time.Unix(1000, 0)
		begun := now
		requests, spent := 0, 0
		for now.Sub(begun) < window {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			b.CountRequest(now)
			requests++
			if rapid.Bool().Draw(t, "fails") && b.TakeRetry(now) {
				spent++
			}
		}
		if float64(spent) > ratio*float64(requests) {
			t.Fatalf("%d second sends of %d requests", spent, requests)
		}
	})
}

// TestLimitInAnyWindow has failures come in bursts, so that what the budget holds is spent
// at the end of a quiet time: no window of the bound's length holds more than its
// part, wherever it begins.
func TestLimitInAnyWindow(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		first time.Duration
		every time.Duration
	}{
		{"always", 0, 0},
		{"from just before a second", 10950 * time.Millisecond, 0},
		{"burst just before a second", 10950 * time.Millisecond, 9100 * time.Millisecond},
		{"burst each two seconds", 1990 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const step = 10 * time.Millisecond
			b := budgeter.New(ratio, window, time.Time{})
			begun := time.Unix(1000, 0)
			var spends []time.Duration
			for at := time.Duration(0); at < time.Minute; at += step {
				b.CountRequest(begun.Add(at))
				fails := at >= tc.first && (tc.every == 0 || (at-tc.first)%tc.every < 100*time.Millisecond)
				for fails && b.TakeRetry(begun.Add(at)) {
					spends = append(spends, at)
				}
			}
			assert.Assert(t, len(spends) > 0)
			for _, end := range spends {
				within := 0
				for _, at := range spends {
					if at > end-window && at <= end {
						within++
					}
				}
				requests := int(min(end, window-step)/step) + 1
				assert.Assert(t, float64(within) <= ratio*float64(requests), "%d second sends of %d requests until %v", within, requests, end)
			}
		})
	}
}

// TestLimitAcrossRestart has a process spend all that it may just before it is restarted, and
// the next one fail as much. The requests of one window pay for both.
func TestLimitAcrossRestart(t *testing.T) {
	t.Parallel()
	for _, restart := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 9 * time.Second, 15 * time.Second} {
		t.Run(restart.String(), func(t *testing.T) {
			t.Parallel()
			const step = 10 * time.Millisecond
			begun := time.Unix(1000, 0)
			b := budgeter.New(ratio, window, time.Time{})
			var spends []time.Duration
			for at := time.Duration(0); at < 6*window; at += step {
				if at == 2*window+restart {
					b = budgeter.New(ratio, window, begun.Add(at))
				}
				b.CountRequest(begun.Add(at))
				for at >= 2*window && b.TakeRetry(begun.Add(at)) {
					spends = append(spends, at)
				}
			}
			for _, end := range spends {
				within := 0
				for _, at := range spends {
					if at > end-window && at <= end {
						within++
					}
				}
				assert.Assert(t, float64(within) <= ratio*float64(window/step), "%d second sends until %v", within, end)
			}
			assert.Assert(t, spends[len(spends)-1] > 2*window+restart, "the new process never sends twice")
		})
	}
}
