package steerer

import (
	"strconv"
	"strings"
)

const (
	// maxLoadField is the largest number in an upstream's load header. The latency that is
	// expected from a load must not overflow.
	maxLoadField = 1_000_000
	// unknownLoad is the number of requests of an upstream that reported none.
	unknownLoad = -1
	// usualHostPercent is the last field of a load header while the upstream's host is as
	// fast as usual.
	usualHostPercent = 100
)

// The fields of a load header, in their order.
const (
	runningField = iota
	waitingField
	slotsField
	hostPercentField
	loadFieldCount
)

// upstreamLoad is the load that an upstream reported in a response.
type upstreamLoad struct {
	// requests is the number of running and waiting requests, unknownLoad if it was not
	// reported.
	requests int
	// slots is 0 if it was not reported.
	slots int
	// hostSlowness is how long work takes on the upstream's host at this moment, as a
	// multiple of its usual time, 0 if it was not reported.
	hostSlowness float64
}

// parseLoad parses a load header: the numbers of running requests, of waiting requests and
// of slots, and how long work takes on the host in percent of its usual time, separated by
// commas. The last two may be missing. A header that is missing, malformed or out of range
// reports no load.
func parseLoad(text string) upstreamLoad {
	unknown := upstreamLoad{requests: unknownLoad}
	fields := strings.Split(text, ",")
	if len(fields) <= waitingField {
		return unknown
	}
	var values [loadFieldCount]int
	for i, field := range fields[:min(len(fields), loadFieldCount)] {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 || n > maxLoadField {
			return unknown
		}
		values[i] = n
	}
	return upstreamLoad{
		requests:     values[runningField] + values[waitingField],
		slots:        values[slotsField],
		hostSlowness: float64(values[hostPercentField]) / usualHostPercent,
	}
}

// hasFreeSlot reports whether the upstream reported a free slot.
func (l upstreamLoad) hasFreeSlot() bool {
	return l.requests != unknownLoad && l.requests < l.slots
}
