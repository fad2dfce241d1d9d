package quarantiner

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"
)

// Merge adds another VM's evidence. It reports whether any of it was new.
func (q *Quarantiner) Merge(now time.Time, records []Record) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for _, in := range records {
		if q.records[in.Fingerprint] == nil && in.expired(now.Add(minTimeLeft)) {
			continue
		}
		for _, c := range in.Crashes {
			changed = now.Sub(c.At) < forgetTime && q.add(now, in.Fingerprint, c) || changed
		}
	}
	q.forget(now)
	return changed
}

// Changed returns the records that changed after a time, at most limit of them, those with
// most crashes first.
func (q *Quarantiner) Changed(after time.Time, limit int) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.changed.After(after) {
		return nil
	}
	return q.list(limit, func(r *record) bool { return r.changed.After(after) })
}

// Refused returns the records of the requests that are refused, at most limit of them.
func (q *Quarantiner) Refused(now time.Time, limit int) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list(limit, func(r *record) bool { return r.refuses(now) })
}

// Hash returns a hash of the set of requests that are refused, 0 if there are none.
func (q *Quarantiner) Hash(now time.Time) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	hash := uint64(0)
	for fp, r := range q.records {
		if r.refuses(now) {
			hash ^= binary.BigEndian.Uint64(fp[:])
		}
	}
	return hash
}

// list returns the matching records, those with most crashes first and of these the ones
// that changed last. The caller holds q.mu.
func (q *Quarantiner) list(limit int, matching func(r *record) bool) []Record {
	type match struct {
		fp Fingerprint
		*record
	}
	var matches []match
	for fp, r := range q.records {
		if matching(r) {
			matches = append(matches, match{fp, r})
		}
	}
	slices.SortFunc(matches, func(x, y match) int {
		if c := y.compare(x.record); c != 0 {
			return c
		}
		return bytes.Compare(x.fp[:], y.fp[:])
	})
	matches = matches[:min(limit, len(matches))]
	out := make([]Record, 0, len(matches))
	for _, m := range matches {
		out = append(out, Record{Fingerprint: m.fp, Crashes: m.sorted()})
	}
	return out
}
