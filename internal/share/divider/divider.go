// Package divider divides a zone's quantities among the ordinals of its entry
// VMs. Each VM computes its own part alone; the parts of all ordinals add up
// to the whole and never to more.
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

// Share returns an ordinal's part of a whole that is divided among n ordinals.
// What doesn't divide evenly goes to the ordinals that rank first for the key,
// so that the remainders of many wholes spread over all ordinals.
func Share(whole namer.Weight, n int, ordinal namer.Ordinal, key string) namer.Weight {
	if ordinal < 1 || int(ordinal) > n || whole <= 0 {
		return 0
	}
	part := whole / namer.Weight(n)
	rest := whole % namer.Weight(n)
	if namer.Weight(rank(n, ordinal, key)) < rest {
		part++
	}
	return part
}

// rank returns how many ordinals score above this one for the key.
func rank(n int, ordinal namer.Ordinal, key string) int {
	own := score(ordinal, key)
	above := 0
	for o := namer.Ordinal(1); int(o) <= n; o++ {
		other := score(o, key)
		if other > own || (other == own && o < ordinal) {
			above++
		}
	}
	return above
}

func score(ordinal namer.Ordinal, key string) uint64 {
	return xxhash.Sum64String(key + "/" + strconv.Itoa(int(ordinal)))
}
