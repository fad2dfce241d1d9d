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

// TestStorm has every request of a service fail for a minute: second sends keep
// to their part of the requests.
func TestStorm(t *testing.T) {
	t.Parallel()
	b := budgeter.New(ratio, window)
	now := time.Unix(1000, 0)
	requests, spent := 0, 0
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		b.Request(now)
		requests++
		for b.Spend(now) {
			spent++
		}
	}
	assert.Assert(t, float64(spent) <= ratio*float64(requests))
	assert.Assert(t, float64(spent) >= 0.9*ratio*float64(requests), "the budget is not used: %d of %d", spent, requests)
}

func TestNothingWithoutRequests(t *testing.T) {
	t.Parallel()
	b := budgeter.New(ratio, window)
	now := time.Unix(1000, 0)
	for range 10 {
		b.Request(now)
	}
	assert.Assert(t, b.Spend(now))
	assert.Assert(t, !b.Spend(now.Add(2*window)), "requests of long ago pay for nothing")
}

// TestPropertySumOverVMs splits requests over VMs that know nothing of each
// other, and bounds what all of them send in any two windows.
func TestPropertySumOverVMs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		budgets := make([]*budgeter.Budgeter, vms)
		for i := range budgets {
			budgets[i] = budgeter.New(ratio, window)
		}
		now := time.Unix(1000, 0)
		begun := now
		requests, spent := 0, 0
		for now.Sub(begun) < window {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			b.Request(now)
			requests++
			if rapid.Bool().Draw(t, "fails") && b.Spend(now) {
				spent++
			}
		}
		if float64(spent) > ratio*float64(requests) {
			t.Fatalf("%d second sends of %d requests", spent, requests)
		}
	})
}
