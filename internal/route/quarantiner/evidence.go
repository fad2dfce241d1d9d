package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// record holds the crashes under a request, and their sum.
	record struct {
		crashes map[Process]Crash
		evidence
		changed time.Time
	}

	// evidence sums up the crashes under a request that are not cleared: the number of
	// processes, at how many different times they crashed, and when the last one did.
	evidence struct {
		processes int
		times     int
		last      time.Time
	}
)

// add merges a crash into the record, and reports whether that changes it. Of the same
// crash, the earliest time counts. The oldest crash beyond maxCrashesPerRecord is dropped.
func (r *record) add(c Crash) bool {
	known, ok := r.crashes[c.Process]
	if ok && (known.Cleared || !c.Cleared) {
		return false
	}
	if ok && known.At.Before(c.At) {
		c.At = known.At
	}
	r.crashes[c.Process] = c
	if len(r.crashes) > maxCrashesPerRecord {
		oldest := slices.MinFunc(r.sorted(), func(x, y Crash) int { return x.At.Compare(y.At) })
		delete(r.crashes, oldest.Process)
		return oldest.Process != c.Process
	}
	return true
}

// sumUp returns the evidence of crashes.
func sumUp(crashes []Crash) evidence {
	var e evidence
	slices.SortFunc(crashes, func(x, y Crash) int { return x.At.Compare(y.At) })
	for _, c := range crashes {
		if c.Cleared {
			continue
		}
		e.processes++
		if e.times == 0 || c.At.Sub(e.last) >= crashSpacing {
			e.times++
			e.last = c.At
		}
	}
	return e
}

// refuses reports whether the request is refused.
func (e evidence) refuses(now time.Time) bool {
	return e.times >= maxCrashes && now.Sub(e.last) < e.hold()
}

// hold returns how long a request with enough evidence is refused.
func (e evidence) hold() time.Duration {
	hold := firstHold
	for n := maxCrashes; n < e.times && hold < maxHold; n++ {
		hold *= holdGrowth
	}
	return min(hold, maxHold)
}

// expired reports whether the record is of no further use.
func (r Record) expired(now time.Time) bool {
	last := time.Time{}
	for _, c := range r.Crashes {
		last = namer.Later(last, c.At)
	}
	if sumUp(slices.Clone(r.Crashes)).times >= maxCrashes {
		return now.Sub(last) >= forgetTime
	}
	return now.Sub(last) >= suspectTime
}

// compare orders records by the number of crashes that count, then by their last change.
func (r *record) compare(o *record) int {
	if c := cmp.Compare(r.processes, o.processes); c != 0 {
		return c
	}
	return r.changed.Compare(o.changed)
}

// sorted returns the crashes in the order of their processes.
func (r *record) sorted() []Crash {
	out := make([]Crash, 0, len(r.crashes))
	for _, c := range r.crashes {
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Crash) int {
		return cmp.Or(cmp.Compare(x.Upstream, y.Upstream), cmp.Compare(x.StartedMs, y.StartedMs))
	})
	return out
}
