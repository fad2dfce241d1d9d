package divider_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/divider"
)

func TestPropertySharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := namer.Weight(rapid.IntRange(0, 1000).Draw(t, "whole"))
		n := rapid.IntRange(1, 40).Draw(t, "n")
		key := rapid.String().Draw(t, "key")
		var sum namer.Weight
		for o := namer.Ordinal(0); int(o) <= n+1; o++ {
			share := divider.Share(whole, n, o, key)
			if share < 0 || share > whole/namer.Weight(n)+1 {
				t.Fatalf("ordinal %d has %d of %d", o, share, whole)
			}
			sum += share
		}
		if sum != whole {
			t.Fatalf("shares add up to %d of %d", sum, whole)
		}
	})
}
