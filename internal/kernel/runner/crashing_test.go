package runner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

const (
	processCount = 16
	crashVMs     = 4
	// shortWindow makes a daemon retry soon after its start.
	shortWindow = "window = 1s\n"
	// processingTime is how long an upstream takes for a request that does not crash it.
	processingTime = 20 * time.Millisecond
	// entryRemovalDelay is the time from a crash until the entry is removed from the store,
	// and restartDelay the time until a new process runs.
	entryRemovalDelay = 200 * time.Millisecond
	restartDelay      = time.Second

	crashingInterval = 150 * time.Millisecond
	ordinaryInterval = 20 * time.Millisecond
	popularInterval  = 50 * time.Millisecond
	// loadDuration is how long callers send in the tests of a crashing request.
	loadDuration = 10 * time.Second

	// maxCrashes is the number of crashes after which a request has to be refused, at the
	// latest after refusalDelay, in which at most maxLateSends reach upstreams.
	maxCrashes   = 3
	refusalDelay = 3 * time.Second
	maxLateSends = 3
	// maxRefusalTime is how much longer a refusal may take than a request without a route,
	// and minPromptFraction the smallest fraction of refusals that keep to it. A busy machine
	// stops the test process at times.
	maxRefusalTime    = 100 * time.Millisecond
	minPromptFraction = 0.9
	// minAnsweredFraction is the smallest fraction of ordinary requests that succeed.
	minAnsweredFraction = 0.95
	// joinDuration is how long a new VM gets the crashing request.
	joinDuration = time.Second

	// ownCrashes is the number of crashes that no request causes, and minOwnCrashes how many
	// a busy machine must reach in time. Each popularCrashInterval-th of them hits an upstream
	// that runs the popular request.
	ownCrashes           = 20
	minOwnCrashes        = 15
	ownCrashInterval     = 400 * time.Millisecond
	popularCrashInterval = 4
	// maxOwnCrashDuration ends the load if the popular request no longer reaches upstreams.
	maxOwnCrashDuration = 12 * time.Second
	maxDown             = 3
	// maxMissed is how many requests may fail that the upstream did not begin to run,
	// because they were on their way to it when it crashed.
	maxMissed = ownCrashes / 2
	// crashNoticeTime is how long after a crash a VM may still send on a connection that
	// the upstream closed.
	crashNoticeTime = 100 * time.Millisecond

	crashSuffix   = "/crash"
	popularSuffix = "/popular"
)

type (
	// fleet is a service whose upstreams can crash. A crashed one is followed by a new
	// process with another name and address.
	fleet struct {
		store        *storekeeper.Storekeeper
		storeAddress string
		record       string
		ctx          context.Context
		cancel       context.CancelFunc
		restarts     sync.WaitGroup
		errorf       func(format string, args ...any)
		// crashAtPopular makes the next popular request hit a crash that it did not cause.
		crashAtPopular atomic.Bool

		mu      sync.Mutex
		up      []*process
		started int
		crashes []time.Time
		// runs has the crashing request's attempt IDs and when upstreams began to run them.
		runs map[string][]time.Time
		// victims has the attempt IDs that were in flight at crashes.
		victims map[string]bool
	}

	// process is one run of an upstream. Its fields are guarded by the fleet's mu.
	process struct {
		name     string
		server   *http.Server
		inFlight map[string]bool
	}

	// source sends requests at an interval, with a new attempt ID each, to VM after VM. They
	// are about as many objects, or about none if that is 0.
	source struct {
		name, method string
		path         func(n int) string
		objects      int
		interval     time.Duration
		client       *http.Client

		mu      sync.Mutex
		answers []answer
	}

	answer struct {
		attempt string
		status  int
		sentAt  time.Time
		took    time.Duration
	}
)

// newFleet starts a store with a configuration and the upstreams.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	base := newFixture(t)
	base.storekeeper.Delete(platform.UpstreamKind, "i-1")
	config := sample(t, "configuration-once", "VERSION", "2")
	assert.NilError(t, base.storekeeper.Write(platform.ConfigKind, platform.ConfigName, config))
	f := &fleet{
		store: base.storekeeper, storeAddress: base.storeAddress, record: string(sample(t, "upstream-process")),
		runs: make(map[string][]time.Time), victims: make(map[string]bool), errorf: t.Errorf,
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	t.Cleanup(f.close)
	for range processCount {
		assert.NilError(t, f.startProcess())
	}
	return f
}

func (f *fleet) close() {
	f.mu.Lock()
	f.cancel()
	f.mu.Unlock()
	f.restarts.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.up {
		_ = p.server.Close()
	}
}

// startProcess starts an upstream and writes its entry.
func (f *fleet) startProcess() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	p := &process{name: fmt.Sprintf("process-%d", f.started), inFlight: make(map[string]bool)}
	p.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(p, w, r) })}
	go func() { _ = p.server.Serve(ln) }()
	f.up = append(f.up, p)
	words := strings.NewReplacer("ADDRESS", ln.Addr().String(), "STARTED", strconv.FormatInt(time.Now().UnixMilli(), 10))
	return f.store.Write(platform.UpstreamKind, p.name, json.RawMessage(words.Replace(f.record)))
}

// serve runs a request at an upstream.
func (f *fleet) serve(p *process, w http.ResponseWriter, r *http.Request) {
	h := platform.Headers()
	attempt := r.Header.Get(h.AttemptID)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	f.begin(p, attempt)
	defer f.end(p, attempt)
	crashes := strings.HasSuffix(r.URL.Path, crashSuffix)
	if crashes {
		f.noteRun(attempt)
	}
	if crashes || strings.HasSuffix(r.URL.Path, popularSuffix) && f.crashAtPopular.CompareAndSwap(true, false) {
		f.crash(p)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(processingTime)
	w.Header().Set(h.AttemptID, attempt)
	w.Header().Set(h.Signature, "s")
}

func (f *fleet) begin(p *process, attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.inFlight[attempt] = true
}

func (f *fleet) end(p *process, attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(p.inFlight, attempt)
}

func (f *fleet) noteRun(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[attempt] = append(f.runs[attempt], time.Now())
}

// crash ends a process without answers to its requests, unless it has crashed already.
// Later its entry is removed and a new process starts.
func (f *fleet) crash(p *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.Index(f.up, p)
	if i < 0 || f.ctx.Err() != nil {
		return
	}
	f.up = slices.Delete(f.up, i, i+1)
	f.crashes = append(f.crashes, time.Now())
	maps.Copy(f.victims, p.inFlight)
	_ = p.server.Close()
	f.restarts.Go(func() {
		if !sleep(f.ctx, entryRemovalDelay) {
			return
		}
		f.store.Delete(platform.UpstreamKind, p.name)
		if !sleep(f.ctx, restartDelay-entryRemovalDelay) {
			return
		}
		if err := f.startProcess(); err != nil {
			f.errorf("restarting %s: %v", p.name, err)
		}
	})
}

// crashOneAfterOther crashes upstreams without a request that causes it, some of them while
// they run the popular request.
func (f *fleet) crashOneAfterOther(ctx context.Context) {
	r := rand.New(rand.NewPCG(29, 0))
	for sleep(ctx, ownCrashInterval) {
		switch n := len(f.crashTimes()); {
		case n == ownCrashes:
			return
		case n%popularCrashInterval == 0:
			f.crashAtPopular.Store(true)
		default:
			f.crashRandom(r)
		}
	}
}

// crashRandom crashes an upstream that r chooses, unless too many are down.
func (f *fleet) crashRandom(r *rand.Rand) {
	f.mu.Lock()
	if processCount-len(f.up) >= maxDown {
		f.mu.Unlock()
		return
	}
	p := f.up[r.IntN(len(f.up))]
	f.mu.Unlock()
	f.crash(p)
}

// crashTimes returns the times of the crashes so far.
func (f *fleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crashes)
}

// runsSince returns how often upstreams began to run the crashing request after a time.
func (f *fleet) runsSince(from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, times := range f.runs {
		for _, at := range times {
			if at.After(from) {
				n++
			}
		}
	}
	return n
}

func (f *fleet) hasRun(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs[attempt]) > 0
}

// startVMs starts the daemons, each with those before it as seeds, and waits until each
// knows all of them.
func startVMs(t *testing.T, storeAddress string) []*daemon {
	t.Helper()
	var vms []*daemon
	for i := range crashVMs {
		vms = append(vms, startWith(t, fmt.Sprintf("vm-%d", i+1), storeAddress, seedsOf(vms), startOptions{routing: shortWindow}))
	}
	for _, d := range vms {
		d.waitReady(t)
		for _, other := range vms {
			poll.WaitOn(t, knows(d, other), poll.WithTimeout(20*time.Second))
		}
	}
	return vms
}

func seedsOf(vms []*daemon) string {
	var addresses []string
	for _, d := range vms {
		addresses = append(addresses, d.peers)
	}
	return strings.Join(addresses, ",")
}

// knows succeeds when a daemon's answer to a lookup has the other one's address.
func knows(d, other *daemon) poll.Check {
	return func(poll.LogT) poll.Result {
		_, body := get(d.lookup, platform.LookupPath+"?name=shop.example&zone=a&region=r", "")
		if strings.Contains(body, other.callers) {
			return poll.Success()
		}
		return poll.Continue("%s lacks %s", body, other.callers)
	}
}

func newSource(t *testing.T, name, method string, interval time.Duration, path func(n int) string) *source {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 32}
	t.Cleanup(transport.CloseIdleConnections)
	return &source{
		name: name, method: method, path: path, interval: interval,
		client: &http.Client{Transport: transport, Timeout: 5 * time.Second},
	}
}

func newOrdinarySource(t *testing.T) *source {
	t.Helper()
	return newSource(t, "ordinary", http.MethodGet, ordinaryInterval, func(n int) string { return "/stock/" + strconv.Itoa(n) })
}

func newCrashingSource(t *testing.T, name, method, route string) *source {
	t.Helper()
	return newSource(t, name, method, crashingInterval, func(int) string { return route + crashSuffix })
}

// run sends to the VMs until ctx ends, and waits for the answers.
func (s *source) run(ctx context.Context, vms []*daemon) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	var sends sync.WaitGroup
	defer sends.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sends.Go(func() { s.send(vms[n%len(vms)], n) })
	}
}

// send sends one request and keeps its answer. The status is 0 if there is no answer.
func (s *source) send(d *daemon, n int) {
	a := answer{attempt: fmt.Sprintf("%s-%d", s.name, n), sentAt: time.Now()}
	a.status = s.call("http://"+d.callers+s.path(n), a.attempt, s.object(n))
	a.took = time.Since(a.sentAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
}

// object returns the object that a request is about, or "" for none.
func (s *source) object(n int) string {
	if s.objects == 0 {
		return ""
	}
	return strconv.Itoa(n % s.objects)
}

func (s *source) call(url, attempt, object string) int {
	var body io.Reader
	if s.method == http.MethodPost {
		body = strings.NewReader("order")
	}
	req, err := http.NewRequest(s.method, url, body)
	if err != nil {
		return 0
	}
	req.Host = "shop.example"
	req.Header.Set(platform.Headers().AttemptID, attempt)
	if object != "" {
		req.Header.Set(platform.Headers().AffinityKey, object)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// since returns the answers to the requests sent after a time.
func (s *source) since(from time.Time) []answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []answer
	for _, a := range s.answers {
		if a.sentAt.After(from) {
			out = append(out, a)
		}
	}
	return out
}

// runAll runs sources until ctx ends, and waits for their answers.
func runAll(ctx context.Context, vms []*daemon, sources ...*source) {
	var running sync.WaitGroup
	for _, s := range sources {
		running.Go(func() { s.run(ctx, vms) })
	}
	running.Wait()
}

// runFor runs sources for a time.
func runFor(ctx context.Context, d time.Duration, vms []*daemon, sources ...*source) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	runAll(ctx, vms, sources...)
}

// sleep waits for a time. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// checkCrashingRequest sends a request that crashes upstreams beside ordinary ones, and
// checks that it is refused in time and the ordinary ones are answered.
func checkCrashingRequest(t *testing.T, method, route string) {
	t.Helper()
	f := newFleet(t)
	vms := startVMs(t, f.storeAddress)
	crashing, ordinary := newCrashingSource(t, "crashing", method, route), newOrdinarySource(t)
	unrouted := newSource(t, "unrouted", method, crashingInterval, func(int) string { return "/none" })
	runFor(t.Context(), loadDuration, vms, crashing, ordinary, unrouted)
	from := f.refusedFrom(t)
	checkLateSends(t, f, from)
	checkAnswered(t, ordinary.since(from), minAnsweredFraction)
	checkPrompt(t, checkRefused(t, f, crashing.since(from)), unrouted.since(time.Time{}))
}

// refusedFrom returns the time from which on the crashing request has to be refused.
func (f *fleet) refusedFrom(t *testing.T) time.Time {
	t.Helper()
	crashes := f.crashTimes()
	assert.Assert(t, len(crashes) >= maxCrashes, "%d crashes", len(crashes))
	return crashes[maxCrashes-1].Add(refusalDelay)
}

func checkLateSends(t *testing.T, f *fleet, from time.Time) {
	t.Helper()
	all, late := f.runsSince(time.Time{}), f.runsSince(from)
	t.Logf("%d crashes; the crashing request reached upstreams %d times, %d of them late", len(f.crashTimes()), all, late)
	assert.Check(t, late <= maxLateSends, "the crashing request reached upstreams %d times later than %v after crash %d", late, refusalDelay, maxCrashes)
}

func checkAnswered(t *testing.T, answers []answer, minFraction float64) {
	t.Helper()
	answered := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			answered++
		}
	}
	t.Logf("%d of %d requests were answered", answered, len(answers))
	assert.Check(t, answered > 0 && float64(answered) >= minFraction*float64(len(answers)),
		"%d of %d requests were answered", answered, len(answers))
}

// checkRefused checks the status of the answers to those crashing requests that reached no
// upstream, and returns these answers.
func checkRefused(t *testing.T, f *fleet, answers []answer) []answer {
	t.Helper()
	var refused []answer
	for _, a := range answers {
		if !f.hasRun(a.attempt) {
			refused = append(refused, a)
			assert.Check(t, a.status == http.StatusServiceUnavailable, "%s: status %d", a.attempt, a.status)
		}
	}
	t.Logf("%d of %d late crashing requests were refused", len(refused), len(answers))
	assert.Check(t, len(refused) > 0, "no crashing request was refused")
	return refused
}

// checkPrompt checks that refusals came at once, but for the time that requests without a
// route took meanwhile.
func checkPrompt(t *testing.T, refused, unrouted []answer) {
	t.Helper()
	prompt := 0
	slowest := time.Duration(0)
	for _, a := range refused {
		if a.took <= maxRefusalTime+slowestDuring(a, unrouted) {
			prompt++
		}
		slowest = max(slowest, a.took)
	}
	t.Logf("%d of %d refusals came at once, the slowest in %v", prompt, len(refused), slowest)
	assert.Check(t, float64(prompt) >= minPromptFraction*float64(len(refused)), "%d of %d refusals came at once", prompt, len(refused))
}

// slowestDuring returns the longest time of those answers that overlap a.
func slowestDuring(a answer, others []answer) time.Duration {
	slowest := time.Duration(0)
	for _, o := range others {
		if o.sentAt.Before(a.sentAt.Add(a.took)) && a.sentAt.Before(o.sentAt.Add(o.took)) {
			slowest = max(slowest, o.took)
		}
	}
	return slowest
}

// TestRequestCrashesUpstreamAfterUpstream guards against a request that comes again at VM
// after VM, with a new attempt ID each time, and crashes each upstream that begins to run it.
func TestRequestCrashesUpstreamAfterUpstream(t *testing.T) {
	t.Parallel()
	checkCrashingRequest(t, http.MethodGet, "/stock")
}

// TestCrashingOnceOnlyRequest guards against the same with a request that VMs never retry:
// its caller sends it again.
func TestCrashingOnceOnlyRequest(t *testing.T) {
	t.Parallel()
	checkCrashingRequest(t, http.MethodPost, "/order")
}

// TestCrashingRequestAtRestartedVM guards against a VM that starts without knowing which
// request its peers refuse, and sends it to one more upstream.
func TestCrashingRequestAtRestartedVM(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	vms := startVMs(t, f.storeAddress)
	crashing := newCrashingSource(t, "crashing", http.MethodGet, "/stock")
	// The first three crashes take less than another refusalDelay.
	runFor(t.Context(), 2*refusalDelay, vms, crashing, newOrdinarySource(t))
	checkLateSends(t, f, f.refusedFrom(t))

	last := vms[crashVMs-1]
	last.stop()
	assert.NilError(t, <-last.done)
	last.done <- nil
	d := startWith(t, fmt.Sprintf("vm-%d", crashVMs), f.storeAddress, seedsOf(vms[:crashVMs-1]), startOptions{routing: shortWindow})
	d.waitReady(t)
	ready := time.Now()
	restarted := newCrashingSource(t, "restarted", http.MethodGet, "/stock")
	runFor(t.Context(), joinDuration, []*daemon{d}, restarted)
	late := f.runsSince(ready)
	t.Logf("%d of %d crashing requests reached upstreams after the restart", late, len(restarted.since(ready)))
	assert.Check(t, late == 0, "the crashing request reached upstreams %d times after the restart", late)
	checkRefused(t, f, restarted.since(ready))
}

// TestUpstreamCrashesByThemselves guards against refusing a request that comes often, and
// so happens to be in flight at upstreams that crash by themselves.
func TestUpstreamCrashesByThemselves(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	vms := startVMs(t, f.storeAddress)
	ordinary := newOrdinarySource(t)
	popular := newSource(t, "popular", http.MethodGet, popularInterval, func(int) string { return "/stock" + popularSuffix })
	load, stop := context.WithTimeout(t.Context(), maxOwnCrashDuration)
	defer stop()
	go func() {
		defer stop()
		f.crashOneAfterOther(load)
	}()
	runAll(load, vms, ordinary, popular)
	f.checkFailures(t, append(ordinary.since(time.Time{}), popular.since(time.Time{})...))
}

// checkFailures checks that the only requests that failed were in flight at a crash, but for
// at most maxMissed that were sent to an upstream just when it crashed.
func (f *fleet) checkFailures(t *testing.T, answers []answer) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	failed, missed := 0, 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			continue
		}
		failed++
		assert.Check(t, a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable, "%s: status %d", a.attempt, a.status)
		if !f.victims[a.attempt] {
			missed++
			assert.Check(t, slices.ContainsFunc(f.crashes, a.inFlightAt), "%s: status %d after %v without a crash", a.attempt, a.status, a.took)
		}
	}
	t.Logf("%d crashes with %d requests in flight; %d of %d requests failed, %d of them not in flight", len(f.crashes), len(f.victims), failed, len(answers), missed)
	assert.Check(t, len(f.crashes) >= minOwnCrashes, "%d crashes", len(f.crashes))
	assert.Check(t, missed <= maxMissed, "%d requests failed that were not in flight at a crash", missed)
}

// inFlightAt reports whether the request may have met the upstream that crashed at a time.
func (a answer) inFlightAt(crash time.Time) bool {
	return !crash.Add(crashNoticeTime).Before(a.sentAt) && !crash.After(a.sentAt.Add(a.took))
}
