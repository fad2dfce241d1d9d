// Package divider divides the quantities of a zone, such as slots, among the ordinals
// of its entry VMs. Each VM computes its own share without the others; the shares of
// all ordinals add up to exactly the total.
//
// # Usage
//
//	slots := divider.Share(6, 2, 1, "bd-01") // ordinal 1 of 2
package divider

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// Share returns an ordinal's share of a total that is divided among n ordinals. The
// remainder goes to the ordinals that rank first for the key by rendezvous hashing, so
// that the remainders of many totals are distributed over all ordinals.
func Share(total namer.Weight, n int, ordinal namer.Ordinal, key string) namer.Weight {
	if ordinal < 1 || int(ordinal) > n || total <= 0 {
		return 0
	}
	share := total / namer.Weight(n)
	remainder := total % namer.Weight(n)
	if namer.Weight(rank(n, ordinal, key)) < remainder {
		share++
	}
	return share
}

// rank returns the number of ordinals that score higher than this one for the key.
func rank(n int, ordinal namer.Ordinal, key string) int {
	own := score(ordinal, key)
	higher := 0
	for o := namer.Ordinal(1); int(o) <= n; o++ {
		other := score(o, key)
		if other > own || (other == own && o < ordinal) {
			higher++
		}
	}
	return higher
}

func score(ordinal namer.Ordinal, key string) uint64 {
	return xxhash.Sum64String(key + "/" + strconv.Itoa(int(ordinal)))
}
