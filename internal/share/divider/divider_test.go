package divider_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/share/divider"
)

func TestPropertySharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := namer.Weight(rapid.IntRange(0, 1000).Draw(t, "whole"))
		n := rapid.IntRange(1, 40).Draw(t, "n")
		key := rapid.String().Draw(t, "key")
		var sum namer.Weight
		for o := namer.Ordinal(0); int(o) <= n+1; o++ {
			share := divider.Share(total, n, o, key)
			if share < 0 || share > total/namer.Weight(n)+1 {
				t.Fatalf("ordinal %d has a share of %d of %d", o, share, total)
			}
			sum += share
		}
		if sum != total {
			t.Fatalf("shares add up to %d, not to %d", sum, total)
		}
	})
}
