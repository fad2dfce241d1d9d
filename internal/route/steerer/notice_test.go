package steerer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// announcingUpstreams stands in for upstreams that say at random that they are leaving, or
// refuse a request and ask for a pause.
type announcingUpstreams struct {
	mu     sync.Mutex
	random *rand.Rand
	// pending holds the notices of responses, by attempt ID, that the steerer may not have
	// processed yet; known those that it has.
	pending map[string]map[namer.Upstream]announcement
	known   map[namer.Upstream]announcement
	sent    int
	wrong   []string
}

type announcement struct {
	leaving     bool
	pausedUntil time.Time
}

func (u *announcingUpstreams) CloseIdleExcept([]cataloger.Target) {}

func (u *announcingUpstreams) Preconnect(context.Context, cataloger.Target) (time.Duration, error) {
	return time.Millisecond, nil
}

func (u *announcingUpstreams) Exchange(_ context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error) {
	// Opening the connection and processing the request take a moment each.
	time.Sleep(u.delay())
	u.mu.Lock()
	known := u.known[t.Upstream]
	u.mu.Unlock()
	now := time.Now()
	if !r.Usable() {
		return exchanger.Response{}, errors.Mark(errors.New("not usable"), exchanger.ErrNotSent)
	}
	u.mu.Lock()
	u.sent++
	if known.leaving || time.Now().Before(known.pausedUntil) {
		u.wrong = append(u.wrong, fmt.Sprintf("%s leaving=%v paused for %v", t.Upstream, known.leaving, known.pausedUntil.Sub(now)))
	}
	u.mu.Unlock()
	time.Sleep(u.delay())
	return u.respond(t, r.AttemptID), nil
}

func (u *announcingUpstreams) delay() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.random.IntN(2000)) * time.Microsecond
}

func (u *announcingUpstreams) respond(t cataloger.Target, attemptID string) exchanger.Response {
	u.mu.Lock()
	defer u.mu.Unlock()
	h := namer.WaxwingHeaderNames()
	header := http.Header{}
	header.Set(h.Signature, "s")
	status := http.StatusOK
	var a announcement
	switch draw := u.random.IntN(100); {
	case draw < 2:
		header.Set(h.Leaving, "1")
		a.leaving = true
	case draw < 10:
		pause := time.Duration(5+u.random.IntN(40)) * time.Millisecond
		header.Set(h.NotRun, "1")
		header.Set(h.Load, "1,0,8")
		header.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
		status = http.StatusServiceUnavailable
		a.pausedUntil = time.Now().Add(pause)
	}
	if u.pending[attemptID] == nil {
		u.pending[attemptID] = make(map[namer.Upstream]announcement)
	}
	u.pending[attemptID][t.Upstream] = a
	return exchanger.Response{Status: status, Header: header}
}

// passedOn makes the notices of an attempt's responses known.
func (u *announcingUpstreams) passedOn(attemptID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, a := range u.pending[attemptID] {
		known := u.known[name]
		known.leaving = known.leaving || a.leaving
		if a.pausedUntil.After(known.pausedUntil) {
			known.pausedUntil = a.pausedUntil
		}
		u.known[name] = known
	}
	delete(u.pending, attemptID)
}

// TestRequestRacesWithNotice checks that once a response was passed on, no request reaches
// its upstream against the notice in it, while concurrent requests are decided on, queued
// and sent over connections that are being opened, and records come and go.
func TestRequestRacesWithNotice(t *testing.T) {
	t.Parallel()
	const (
		callers  = 16
		requests = 60
		count    = 40
	)
	up := &announcingUpstreams{
		random:  rand.New(rand.NewPCG(26, 1)),
		pending: make(map[string]map[namer.Upstream]announcement),
		known:   make(map[namer.Upstream]announcement),
	}
	s := newSteerer(t, up, count, 8)
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			for n := range requests {
				r := request([]string{"/read/", "/order/", "/urgent/"}[n%3])
				r.AttemptID = fmt.Sprintf("%d-%d", caller, n)
				r.Object = r.AttemptID
				s.Steer(context.Background(), r)
				up.passedOn(r.AttemptID)
				if n%10 == 9 {
					s.SetUpstreams(viewOf(count/2, 8))
					s.SetUpstreams(viewOf(count, 8))
				}
			}
		})
	}
	running.Wait()
	assert.Equal(t, len(up.wrong), 0, "%v", up.wrong)
	assert.Assert(t, up.sent >= callers*requests/4, "%d sent", up.sent)
}
