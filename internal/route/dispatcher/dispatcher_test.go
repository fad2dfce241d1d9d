package dispatcher_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/route/dispatcher"
	"github.com/waxwingloom/waxwingloom/internal/route/forwarder"
	"github.com/waxwingloom/waxwingloom/internal/share/claimer"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

// noPeers is a cluster without other entry VMs.
type noPeers struct{}

func (noPeers) Open(context.Context, string, namer.Incarnation) (*messenger.Stream, error) {
	return nil, errors.New("no such peer")
}

func (noPeers) Members() []tracker.Member { return nil }

// gate allows an attempt if all attempts before it are proven not to have run the
// request, as the record of the token's owner does.
type gate struct{ sent, proven int }

func (g *gate) MarkSent() bool {
	if g.sent > g.proven {
		return false
	}
	g.sent++
	return true
}

func (g *gate) MarkNotRun() { g.proven++ }

// fixture is a dispatcher with its upstreams.
type fixture struct {
	*dispatcher.Dispatcher
	clock   *clockwork.FakeClock
	workers []*worker.Worker
}

// newFixture starts one upstream for each of the given faults, and a dispatcher that
// holds the zone's only ordinal.
func newFixture(t *testing.T, limits string, faults ...worker.Faults) *fixture {
	s := &fixture{clock: clockwork.NewFakeClockAt(time.Now())}
	places := "[zone z]\nregion = r\nvms = 1\n[zone other]\nregion = r\nvms = 1\n"
	for i, f := range faults {
		w := worker.New(fmt.Sprint("u", i), worker.Limits{Slots: 50}, clockwork.NewRealClock())
		w.SetFaults(f)
		server := httptest.NewServer(w.Handler())
		t.Cleanup(server.Close)
		s.workers = append(s.workers, w)
		places += fmt.Sprintf("[upstream u%d]\nservice = desk\nzone = z\naddress = %s\nslots = 50\nconns = 50\n", i, strings.TrimPrefix(server.URL, "http://"))
	}
	sources := parser.Sources{
		{Section: parser.Services, Text: []byte("[service desk]\nrefusal = 503\nreserve = 0\nretry = 100\n[class desk/stock]\npath = /stock\n" +
			"[class desk/order]\nmethod = POST\npath = /orders\nonce = yes\n")},
		{Section: parser.Places, Text: []byte(places)}, {Section: parser.Limits, Text: []byte(limits)},
	}
	doc, err := parser.Parse(sources)
	assert.NilError(t, err)
	d, cleanup := dispatcher.New(dispatcher.Self{VM: "v", Zone: "z", Region: "r"}, noPeers{}, noPeers{}, s.clock, slog.New(slog.DiscardHandler))
	t.Cleanup(cleanup)
	d.SetDocument(&keeper.Snapshot{Head: keeper.Head{Generation: 1}, Document: doc})
	d.SetOrdinal(claimer.Assignment{Ordinal: 1})
	s.Dispatcher = d
	return s
}

func (s *fixture) request(class namer.Class, home namer.Zone) forwarder.Request {
	r := forwarder.Request{Home: home, Service: "desk", Class: class, Method: "GET", Path: "/stock", Deadline: s.clock.Now().Add(time.Minute)}
	if class == "order" {
		r.Method = "POST"
		r.Path = "/orders"
		r.Headers = []arbiter.Header{{Name: worker.OrderHeader, Value: "o"}}
	}
	return r
}

func (s *fixture) ran() int {
	ran := 0
	for _, w := range s.workers {
		ran += w.Stats().Ran
	}
	return ran
}

// TestShiftIsCapped checks that idempotent and once-only requests of another zone's
// callers, direct and spilled ones together, stay under the cap in any window, and that
// the zone's own callers are not limited by it.
func TestShiftIsCapped(t *testing.T) {
	t.Parallel()
	s := newFixture(t, "[shift z]\nweight = 5\nwindow = 1s\n", worker.Faults{})
	s.clock.Advance(time.Second)
	codes := map[arbiter.Code]int{}
	for range 4 {
		for _, r := range []dispatcher.Result{
			s.DispatchIdempotent(context.Background(), s.request("stock", "other")),
			{Outcome: s.DispatchOnce(context.Background(), s.request("order", "other"), &gate{})},
			s.DispatchSpilled(context.Background(), s.request("order", "other")),
		} {
			if r.Body != nil {
				assert.NilError(t, r.Body.Close())
			}
			codes[r.Outcome.Code]++
			assert.Assert(t, r.Outcome.Code == "" || r.Outcome.Execution == arbiter.NotRun)
		}
	}
	assert.Equal(t, s.ran(), 5)
	assert.Equal(t, codes[dispatcher.CodeShiftCapped], 7)
	out := s.DispatchOnce(context.Background(), s.request("order", "z"), &gate{})
	assert.Equal(t, out.Execution, arbiter.Ran)
	s.clock.Advance(time.Second)
	out = s.DispatchOnce(context.Background(), s.request("order", "other"), &gate{})
	assert.Equal(t, out.Execution, arbiter.Ran)
}

// TestOnceOutcomes checks the outcome of a once-only request, and how often it ran, with
// upstreams that refuse it, close the connection or respond.
func TestOnceOutcomes(t *testing.T) {
	t.Parallel()
	shed, closing := worker.Faults{Shed: 100}, worker.Faults{CloseAfterRead: 9}
	for _, tc := range []struct {
		name      string
		faults    []worker.Faults
		execution arbiter.Execution
		ran       int
	}{
		{"answers", []worker.Faults{{}}, arbiter.Ran, 1},
		{"all refuse", []worker.Faults{shed, shed}, arbiter.NotRun, 0},
		{"one refuses, one responds", []worker.Faults{shed, {}}, arbiter.Ran, 1},
		{"closes after reading", []worker.Faults{closing, closing}, arbiter.Unknown, 1},
		{"truncates its response", []worker.Faults{{Cut: 9}, {Cut: 9}}, arbiter.Unknown, 1},
		{"no upstream", nil, arbiter.NotRun, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, "", tc.faults...)
			g := &gate{}
			out := s.DispatchOnce(context.Background(), s.request("order", "z"), g)
			assert.Equal(t, out.Execution, tc.execution, out.Reason)
			assert.Equal(t, s.ran(), tc.ran)
			if tc.execution == arbiter.NotRun {
				assert.Equal(t, g.proven, g.sent, "each attempt needs proof that it did not run")
			}
		})
	}
}

// TestNotSentAfterDeadline checks that a request whose deadline has passed, as when the VM
// was paused, is not sent.
func TestNotSentAfterDeadline(t *testing.T) {
	t.Parallel()
	s := newFixture(t, "", worker.Faults{})
	req := s.request("order", "z")
	s.clock.Advance(2 * time.Minute)
	assert.Equal(t, s.DispatchOnce(context.Background(), req, &gate{}).Execution, arbiter.NotRun)
	assert.Equal(t, s.ran(), 0)
}
