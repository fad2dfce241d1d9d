package steerer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// betweenAttempts is longer than the time within which crashes count as one.
const betweenAttempts = 120 * time.Millisecond

// crashingUpstreams end the connection of each request under culprit without a response. An
// upstream that did so refuses connections, unless reachable is set.
type crashingUpstreams struct {
	mu        sync.Mutex
	culprit   string
	reachable bool
	down      map[namer.Upstream]bool
	sent      map[string]int
	// hold keeps a request from being sent until it is closed, nil sends at once. connecting
	// receives a value for each request that is held.
	hold       chan struct{}
	connecting chan struct{}
}

func newCrashingUpstreams() *crashingUpstreams {
	return &crashingUpstreams{culprit: "/read/culprit", down: make(map[namer.Upstream]bool), sent: make(map[string]int)}
}

func (u *crashingUpstreams) CloseIdleExcept([]cataloger.Target) {}

func (u *crashingUpstreams) Preconnect(_ context.Context, t cataloger.Target) (time.Duration, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down[t.Upstream] && !u.reachable {
		return 0, errors.Wrap(syscall.ECONNREFUSED, "connecting")
	}
	return time.Millisecond, nil
}

func (u *crashingUpstreams) Exchange(_ context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error) {
	u.mu.Lock()
	hold := u.hold
	u.mu.Unlock()
	if hold != nil {
		u.connecting <- struct{}{}
		<-hold
	}
	if !r.Usable() {
		return exchanger.Response{}, errors.Mark(errors.New("not usable"), exchanger.ErrNotSent)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var method, target string
	_, _ = fmt.Sscan(string(r.Head), &method, &target)
	if u.down[t.Upstream] && !u.reachable {
		return exchanger.Response{}, errors.Mark(syscall.ECONNREFUSED, exchanger.ErrNotSent)
	}
	u.sent[target]++
	if target == u.culprit {
		u.down[t.Upstream] = true
		return exchanger.Response{}, errors.Wrap(io.ErrUnexpectedEOF, "reading an answer")
	}
	header := http.Header{namer.WaxwingHeaderNames().Signature: {"s"}}
	return exchanger.Response{Status: http.StatusOK, Header: header, Body: []byte("ok")}, nil
}

func (u *crashingUpstreams) sentCount(target string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sent[target]
}

// restart starts the upstreams that have crashed again, under their names.
func (u *crashingUpstreams) restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.down)
}

// newQuarantineFixture returns a steerer with its upstreams and evidence.
func newQuarantineFixture(t *testing.T) (*crashingUpstreams, *steerer.Steerer, *quarantiner.Quarantiner) {
	t.Helper()
	up, q := newCrashingUpstreams(), quarantiner.New()
	s := newSteererWithClock(t, up, 16, 4, clockwork.NewRealClock())
	s.SetQuarantine(q, func() {})
	// Earlier requests fill the retry budget.
	for range 20 {
		assert.Equal(t, s.Steer(t.Context(), request("/read/other")).Status, http.StatusOK)
	}
	return up, s, q
}

// waitProbed waits until no process is in doubt.
func waitProbed(t *testing.T, q *quarantiner.Quarantiner) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if doubted := q.Doubted(); len(doubted) > 0 {
			return poll.Continue("in doubt: %v", doubted)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestRequestCrashesEachUpstream guards against a request that comes again and again and
// crashes upstream after upstream.
func TestRequestCrashesEachUpstream(t *testing.T) {
	t.Parallel()
	// The first attempt of a request that may run more than once crashes two at the same time.
	for culprit, want := range map[string]int{"/read/culprit": 4, "/order/culprit": 3} {
		t.Run(culprit, func(t *testing.T) {
			t.Parallel()
			up, s, q := newQuarantineFixture(t)
			up.culprit = culprit
			var result steerer.Result
			for range 10 {
				result = s.Steer(t.Context(), request(culprit))
				waitProbed(t, q)
				time.Sleep(betweenAttempts)
				assert.Equal(t, s.Steer(t.Context(), request("/read/other")).Status, http.StatusOK)
			}
			assert.Equal(t, up.sentCount(culprit), want)
			assert.Equal(t, result.Status, http.StatusServiceUnavailable)
			assert.Equal(t, result.Code, steerer.CodeQuarantined)
			assert.Equal(t, result.SendCount, 0)
			assert.Assert(t, result.RetryAfter > 2*time.Minute, "%v", result.RetryAfter)
		})
	}
}

// TestCulpritFromChangingAddresses guards against a request that escapes since each of its
// attempts comes from another address.
func TestCulpritFromChangingAddresses(t *testing.T) {
	t.Parallel()
	up, s, q := newQuarantineFixture(t)
	for n := range 10 {
		r := request("/read/culprit")
		r.Caller = fmt.Sprintf("10.0.0.%d", n)
		s.Steer(t.Context(), r)
		waitProbed(t, q)
		time.Sleep(betweenAttempts)
	}
	assert.Equal(t, up.sentCount("/read/culprit"), 4)
}

// TestCulpritIsRetriedOnce checks that an attempt ends after the second broken connection,
// though the route allows three.
func TestCulpritIsRetriedOnce(t *testing.T) {
	t.Parallel()
	up, s, _ := newQuarantineFixture(t)
	result := s.Steer(t.Context(), request("/read/culprit"))
	assert.Equal(t, up.sentCount("/read/culprit"), 2)
	assert.Equal(t, result.Status, http.StatusBadGateway)
}

// TestBrokenConnectionIsNoCrash checks that requests are not blamed for broken connections to
// upstreams that run on.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	t.Parallel()
	up, s, q := newQuarantineFixture(t)
	up.reachable = true
	for range 10 {
		result := s.Steer(t.Context(), request("/read/culprit"))
		assert.Equal(t, result.Status, http.StatusBadGateway)
		waitProbed(t, q)
	}
	assert.Assert(t, up.sentCount("/read/culprit") >= 20)
	assert.Assert(t, q.Empty())
}

// TestCulpritWithOpenPort guards against a request that is never blamed since the ports of
// upstreams that crashed accept connections: the next process is there at once, under the same
// name or at the same address.
func TestCulpritWithOpenPort(t *testing.T) {
	t.Parallel()
	for _, renamed := range []bool{false, true} {
		t.Run(fmt.Sprint(renamed), func(t *testing.T) {
			t.Parallel()
			up, s, _ := newQuarantineFixture(t)
			up.culprit, up.reachable = "/order/culprit", true
			view := viewOf(16, 4)
			for n := range 10 {
				s.Steer(t.Context(), request("/order/culprit"))
				time.Sleep(betweenAttempts)
				for i := range view.Upstreams {
					view.Upstreams[i].StartedMs++
					if renamed {
						view.Upstreams[i].Upstream = namer.Upstream(fmt.Sprintf("u%d-%d", i, n))
					}
				}
				s.SetUpstreams(&cataloger.View{Upstreams: slices.Clone(view.Upstreams)})
			}
			assert.Equal(t, up.sentCount("/order/culprit"), 3)
		})
	}
}

// TestCulpritAtUnreportedProcesses guards against a request that is never blamed, since each process
// that it crashes ends before its record is read, and counts as the one before it.
func TestCulpritAtUnreportedProcesses(t *testing.T) {
	t.Parallel()
	up, s, q := newQuarantineFixture(t)
	up.culprit = "/order/culprit"
	s.SetUpstreams(viewOf(1, 4))
	for range 10 {
		s.Steer(t.Context(), request("/order/culprit"))
		waitProbed(t, q)
		time.Sleep(betweenAttempts)
		up.restart()
	}
	assert.Equal(t, up.sentCount("/order/culprit"), 3)
}

// TestRequestQuarantinedWhileConnecting guards against a request that is sent although its
// quarantine was learned before its first byte.
func TestRequestQuarantinedWhileConnecting(t *testing.T) {
	t.Parallel()
	up, s, q := newQuarantineFixture(t)
	up.hold, up.connecting = make(chan struct{}), make(chan struct{})
	r := request("/read/culprit")
	done := make(chan steerer.Result, 1)
	go func() { done <- s.Steer(t.Context(), r) }()
	<-up.connecting
	fp := quarantiner.FingerprintsOf(r.Caller, r.Method, r.Host, r.Target, r.Body)
	for n := range 3 {
		p := quarantiner.Process{Upstream: namer.Upstream(fmt.Sprintf("elsewhere%d", n)), StartedMs: 1}
		crashedAt := time.Now().Add(time.Duration(n-3) * time.Second)
		q.RecordBroken(crashedAt, fp, p)
		q.RecordGone(crashedAt, p)
	}
	close(up.hold)
	assert.Equal(t, (<-done).Code, steerer.CodeQuarantined)
	assert.Equal(t, up.sentCount("/read/culprit"), 0)
}
