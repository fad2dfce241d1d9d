// Package quarantiner finds requests that crash the upstreams that run them, and decides
// that they are no longer sent. It handles a request that its caller repeats and that would
// otherwise take down upstream after upstream.
//
// A request is identified by fingerprints of what its repetitions have in common: one with
// and one without its caller, either of which is enough to refuse it. Every request that was
// in flight when an upstream crashed is suspect, and most of them are innocent. So the
// evidence against a request is the set of the upstream processes that crashed under it, and
// a response to it clears it of all of them. A request is refused once processes crashed
// under it at maxCrashes different times without a response in between: those that end
// together have another cause. After a time that grows with each further crash it may be
// sent to one upstream, to see whether the fault is mended.
//
// VMs exchange their evidence. Two sets are merged by their union, so that evidence may
// arrive in any order and more than once. The package does no I/O.
//
// # Usage
//
//	q := quarantiner.New()
//	fps := quarantiner.FingerprintsOf(caller, method, host, target, body)
//	if q.Decide(now, fps).Action == quarantiner.Refuse {
//		// Do not send the request.
//	}
//	q.RecordBroken(now, fps, process)   // the connection broke without a response
//	q.RecordGone(now, process)          // the process turned out to have crashed
//	q.RecordReplaced(now, process)      // a later process has its place
//	q.Merge(now, recordsOfAnotherVM)
package quarantiner

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	// maxCrashes is the number of crashes at different times from which on a request is
	// refused. A lower one would refuse innocent requests whose retry meets a second crash.
	maxCrashes = 3
	// crashSpacing is the time within which crashes count as one: an outage ends many
	// processes together, and VMs notice it within some round trips.
	crashSpacing = 100 * time.Millisecond
	// firstHold is how long a request is refused after crash number maxCrashes. With each
	// further one the time grows by holdGrowth, up to maxHold.
	firstHold  = 3 * time.Minute
	holdGrowth = 4
	maxHold    = time.Hour
	// suspectTime is how long evidence against a request that is not refused is kept after
	// the last crash, forgetTime that against one that was.
	suspectTime = 10 * time.Minute
	forgetTime  = 2 * time.Hour
	// doubtTime is how long it may take to find out whether a process has crashed.
	doubtTime = 10 * time.Second
	// minTimeLeft is how long evidence that this VM lacks must still be of use to be taken from
	// another VM. VMs drop a record at different times and must not learn it from each other
	// again.
	minTimeLeft = 10 * time.Second
	// spreadTime is how long a record is kept after a change, so that heartbeats carry it.
	spreadTime = 10 * time.Second
	// forgetInterval is the shortest interval between searches for evidence that is too old.
	forgetInterval = time.Second
	// maxRecords and maxCrashesPerRecord bound the memory.
	maxRecords          = 4096
	maxCrashesPerRecord = 8
)

// The actions of a decision.
const (
	// Admit means that nothing is held against the request.
	Admit Action = iota
	// AdmitOnce means that the request may be sent to one upstream and not be retried.
	AdmitOnce
	// Refuse means that the request must not be sent.
	Refuse
)

type (
	// Action is what to do with a request.
	Action int

	// Decision is what to do with a request. RetryAfter is the time after which a refused
	// request may be sent again.
	Decision struct {
		Action     Action
		RetryAfter time.Duration
	}

	// Process is one run of an upstream's process.
	Process struct {
		Upstream  namer.Upstream
		StartedMs int64
	}

	// Crash is the crash of a process under a request. Cleared means that the request got a
	// response since, so that another one is to blame.
	Crash struct {
		Process
		At      time.Time
		Cleared bool
	}

	// Record holds the evidence against one fingerprint.
	Record struct {
		Fingerprint Fingerprint
		Crashes     []Crash
	}

	// Counts are the numbers of fingerprints with evidence and of those that are refused now.
	Counts struct {
		Suspect int
		Refused int
	}

	// Quarantiner holds the evidence that this VM knows. It is safe for concurrent use.
	Quarantiner struct {
		// size is the number of records and doubts. It makes Empty cheap.
		size atomic.Int64
		// survived is the number of processes in survivors.
		survived atomic.Int64

		mu      sync.Mutex
		records map[Fingerprint]*record
		// doubts are the requests that were in flight at processes that may have crashed.
		doubts map[Process]*doubt
		// survivors are processes that broke connections and were reachable afterwards, with the
		// requests and the times of their doubt. The next process may have been there already.
		survivors map[Process]map[Fingerprints]time.Time
		// changed is when a record changed last, forgot when the old ones were dropped last.
		changed time.Time
		forgot  time.Time
	}

	// doubt holds the number of connections that a process broke and, for each request, the
	// number of the last one that it was sent on.
	doubt struct {
		since    time.Time
		broken   int
		requests map[Fingerprints]int
	}
)

// New returns a quarantiner without evidence.
func New() *Quarantiner {
	return &Quarantiner{records: make(map[Fingerprint]*record), doubts: make(map[Process]*doubt), survivors: make(map[Process]map[Fingerprints]time.Time)}
}

// Empty reports whether there is no evidence, so that no fingerprint is needed.
func (q *Quarantiner) Empty() bool {
	return q.size.Load() == 0
}

// AwaitsResponse reports whether a response may clear a request: there is evidence, or a process
// may still turn out to have crashed.
func (q *Quarantiner) AwaitsResponse() bool {
	return !q.Empty() || q.survived.Load() > 0
}

// Decide returns what to do with a request now: the strictest of what the evidence against
// its fingerprints says.
func (q *Quarantiner) Decide(now time.Time, fps Fingerprints) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	strictest := Decision{Action: Admit}
	for _, fp := range fps {
		d := q.decide(now, fp)
		if d.Action > strictest.Action || d.Action == strictest.Action && d.RetryAfter > strictest.RetryAfter {
			strictest = d
		}
	}
	return strictest
}

// decide returns what the evidence against one fingerprint says. The caller holds q.mu.
func (q *Quarantiner) decide(now time.Time, fp Fingerprint) Decision {
	var e evidence
	if r := q.records[fp]; r != nil {
		e = r.evidence
	}
	switch {
	case e.refuses(now):
		return Decision{Action: Refuse, RetryAfter: e.hold() - now.Sub(e.last)}
	case e.processes+q.doubtsAgainst(fp) >= maxCrashes-1:
		return Decision{Action: AdmitOnce}
	}
	return Decision{Action: Admit}
}

// RecordBroken records that a process ended the connection of a request without a response.
// It counts against the request once RecordGone reports the process.
func (q *Quarantiner) RecordBroken(now time.Time, fps Fingerprints, p Process) {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.doubts[p]
	if d == nil {
		d = &doubt{since: now, requests: make(map[Fingerprints]int)}
		q.doubts[p] = d
	}
	d.broken++
	d.requests[fps] = d.broken
	q.forget(now)
}

// Broken returns the number of connections that a process in doubt has broken.
func (q *Quarantiner) Broken(p Process) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if d := q.doubts[p]; d != nil {
		return d.broken
	}
	return 0
}

// RecordAlive records that a process was reachable when it had broken a number of connections, so
// that these prove nothing unless a later process soon takes its place. It reports whether the
// process has broken others since.
func (q *Quarantiner) RecordAlive(p Process, broken int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.doubts[p]
	if d == nil {
		return false
	}
	for fps, last := range d.requests {
		if last <= broken {
			delete(d.requests, fps)
			q.addSurvivor(p, fps, d.since)
		}
	}
	if len(d.requests) > 0 {
		return true
	}
	delete(q.doubts, p)
	q.countSize()
	return false
}

// RecordGone records that a process has crashed. It returns the requests that were in
// flight at it.
func (q *Quarantiner) RecordGone(now time.Time, p Process) []Fingerprints {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.doubts[p]
	if d == nil {
		return nil
	}
	delete(q.doubts, p)
	// The latest connections explain the crash.
	delete(q.survivors, p)
	return q.blame(now, p, slices.Collect(maps.Keys(d.requests)))
}

// RecordReplaced records that a later process has taken the place of another one, which has
// crashed if it broke connections shortly before. It returns the requests that were in flight at it.
func (q *Quarantiner) RecordReplaced(now time.Time, p Process) []Fingerprints {
	if suspects := q.RecordGone(now, p); suspects != nil {
		return suspects
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var suspects []Fingerprints
	for fps, since := range q.survivors[p] {
		if now.Sub(since) <= doubtTime {
			suspects = append(suspects, fps)
		}
	}
	delete(q.survivors, p)
	return q.blame(now, p, suspects)
}

// blame counts the crash of a process against requests, and returns them. The caller holds q.mu.
func (q *Quarantiner) blame(now time.Time, p Process, suspects []Fingerprints) []Fingerprints {
	for _, fps := range suspects {
		for _, fp := range fps {
			q.add(now, fp, Crash{Process: p, At: now})
		}
	}
	q.forget(now)
	return suspects
}

// addSurvivor keeps a request for the case that a process has crashed under it all the same. The
// caller holds q.mu.
func (q *Quarantiner) addSurvivor(p Process, fps Fingerprints, since time.Time) {
	if q.survivors[p] == nil {
		q.survivors[p] = make(map[Fingerprints]time.Time)
	}
	q.survivors[p][fps] = since
	q.countSize()
}

// RecordResponse clears a request that an upstream responded to.
func (q *Quarantiner) RecordResponse(now time.Time, fps Fingerprints) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, requests := range q.survivors {
		delete(requests, fps)
	}
	for _, fp := range fps {
		r := q.records[fp]
		if r == nil {
			continue
		}
		for _, c := range r.crashes {
			c.Cleared = true
			q.add(now, fp, c)
		}
	}
	if len(q.survivors) > 0 {
		q.forget(now)
	}
}

// Suspected returns the processes that broke connections and may have crashed, those that were
// reachable afterwards too.
func (q *Quarantiner) Suspected() []Process {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := slices.Collect(maps.Keys(q.survivors))
	for p := range q.doubts {
		if _, ok := q.survivors[p]; !ok {
			out = append(out, p)
		}
	}
	return out
}

// Doubted returns the processes of which it is not known yet whether they have crashed.
func (q *Quarantiner) Doubted() []Process {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]Process, 0, len(q.doubts))
	for p := range q.doubts {
		out = append(out, p)
	}
	return out
}

// Counts returns the numbers of requests with evidence.
func (q *Quarantiner) Counts(now time.Time) Counts {
	q.mu.Lock()
	defer q.mu.Unlock()
	var c Counts
	for _, r := range q.records {
		if r.processes > 0 {
			c.Suspect++
		}
		if r.refuses(now) {
			c.Refused++
		}
	}
	return c
}

// doubtsAgainst returns the number of processes that may have crashed under a request. The
// caller holds q.mu.
func (q *Quarantiner) doubtsAgainst(fp Fingerprint) int {
	count := 0
	for _, d := range q.doubts {
		for fps := range d.requests {
			if slices.Contains(fps[:], fp) {
				count++
				break
			}
		}
	}
	return count
}

// add adds a crash to a request's record and reports whether that changes it. The caller
// holds q.mu and calls forget afterwards.
func (q *Quarantiner) add(now time.Time, fp Fingerprint, c Crash) bool {
	r := q.records[fp]
	if r == nil {
		r = &record{crashes: make(map[Process]Crash)}
		q.records[fp] = r
	}
	if !r.add(c) {
		return false
	}
	r.evidence = sumUp(r.sorted())
	r.changed, q.changed = now, now
	return true
}

// forget drops what is too old, and the records with the fewest crashes beyond maxRecords.
// The caller holds q.mu.
func (q *Quarantiner) forget(now time.Time) {
	defer q.countSize()
	if now.Sub(q.forgot) >= forgetInterval {
		q.forgot = now
		maps.DeleteFunc(q.doubts, func(_ Process, d *doubt) bool { return now.Sub(d.since) > doubtTime })
		maps.DeleteFunc(q.survivors, func(_ Process, requests map[Fingerprints]time.Time) bool {
			maps.DeleteFunc(requests, func(_ Fingerprints, since time.Time) bool { return now.Sub(since) > doubtTime })
			return len(requests) == 0
		})
		maps.DeleteFunc(q.records, func(fp Fingerprint, r *record) bool {
			return now.Sub(r.changed) >= spreadTime && Record{fp, r.sorted()}.expired(now)
		})
	}
	if len(q.records) > maxRecords {
		q.dropLeast()
	}
}

// dropLeast drops an eighth of maxRecords, those with the fewest crashes, so that it is not
// called for each further record. The caller holds q.mu.
func (q *Quarantiner) dropLeast() {
	order := slices.SortedFunc(maps.Keys(q.records), func(x, y Fingerprint) int { return q.records[x].compare(q.records[y]) })
	for _, fp := range order[:len(order)-maxRecords*7/8] {
		delete(q.records, fp)
	}
}

// countSize updates size. The caller holds q.mu.
func (q *Quarantiner) countSize() {
	q.size.Store(int64(len(q.records) + len(q.doubts)))
	q.survived.Store(int64(len(q.survivors)))
}
