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

type nobody struct{}

func (nobody) Open(context.Context, string, namer.Incarnation) (*messenger.Stream, error) {
	return nil, errors.New("nobody there")
}

func (nobody) Members() []tracker.Member { return nil }

// gate counts the tries that it lets pass, as the owner's record does.
type gate struct{ sent, proven int }

func (g *gate) MarkSent() bool {
	if g.sent > g.proven {
		return false
	}
	g.sent++
	return true
}

func (g *gate) MarkNotRun() { g.proven++ }

type stage struct {
	*dispatcher.Dispatcher
	clock   *clockwork.FakeClock
	workers []*worker.Worker
}

// newStage starts upstreams and a dispatcher that holds the zone's one ordinal.
func newStage(t *testing.T, limits string, faults ...worker.Faults) *stage {
	s := &stage{clock: clockwork.NewFakeClockAt(time.Now())}
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
	d, cleanup := dispatcher.New(dispatcher.Self{VM: "v", Zone: "z", Region: "r"}, nobody{}, nobody{}, s.clock, slog.New(slog.DiscardHandler))
	t.Cleanup(cleanup)
	d.SetForce(&keeper.Force{Head: keeper.Head{Generation: 1}, Document: doc})
	d.SetClaimed(claimer.Claimed{Ordinal: 1})
	s.Dispatcher = d
	return s
}

func (s *stage) request(class namer.Class, home namer.Zone) forwarder.Request {
	r := forwarder.Request{Home: home, Service: "desk", Class: class, Method: "GET", Path: "/stock", Deadline: s.clock.Now().Add(time.Minute)}
	if class == "order" {
		r.Method = "POST"
		r.Path = "/orders"
		r.Headers = []arbiter.Header{{Name: worker.OrderHeader, Value: "o"}}
	}
	return r
}

func (s *stage) ran() int {
	ran := 0
	for _, w := range s.workers {
		ran += w.Stats().Ran
	}
	return ran
}

// TestShiftIsCapped sends reads and orders of another zone's callers, straight
// and by a spill. Together they stay under the cap in any window, and callers
// of the zone itself are not held back.
func TestShiftIsCapped(t *testing.T) {
	t.Parallel()
	s := newStage(t, "[shift z]\nweight = 5\nwindow = 1s\n", worker.Faults{})
	s.clock.Advance(time.Second)
	told := map[arbiter.Code]int{}
	for range 4 {
		for _, r := range []dispatcher.Result{
			s.Read(context.Background(), s.request("stock", "other")),
			{Outcome: s.Dispatch(context.Background(), s.request("order", "other"), &gate{})},
			s.Spilled(context.Background(), s.request("order", "other")),
		} {
			if r.Body != nil {
				assert.NilError(t, r.Body.Close())
			}
			told[r.Outcome.Code]++
			assert.Assert(t, r.Outcome.Code == "" || r.Outcome.Execution == arbiter.NotRun)
		}
	}
	assert.Equal(t, s.ran(), 5)
	assert.Equal(t, told[dispatcher.CodeCapped], 7)
	out := s.Dispatch(context.Background(), s.request("order", "z"), &gate{})
	assert.Equal(t, out.Execution, arbiter.Ran)
	s.clock.Advance(time.Second)
	out = s.Dispatch(context.Background(), s.request("order", "other"), &gate{})
	assert.Equal(t, out.Execution, arbiter.Ran)
}

// TestOnceAndItsProofs tries upstreams that refuse, break off or answer.
func TestOnceAndItsProofs(t *testing.T) {
	t.Parallel()
	shed, closing := worker.Faults{Shed: 100}, worker.Faults{CloseAfterRead: 9}
	for _, tc := range []struct {
		name   string
		faults []worker.Faults
		told   arbiter.Execution
		ran    int
	}{
		{"answers", []worker.Faults{{}}, arbiter.Ran, 1},
		{"all refuse", []worker.Faults{shed, shed}, arbiter.NotRun, 0},
		{"one refuses, one answers", []worker.Faults{shed, {}}, arbiter.Ran, 1},
		{"closes after reading", []worker.Faults{closing, closing}, arbiter.Unknown, 1},
		{"cuts its answer", []worker.Faults{{Cut: 9}, {Cut: 9}}, arbiter.Unknown, 1},
		{"no upstream", nil, arbiter.NotRun, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newStage(t, "", tc.faults...)
			g := &gate{}
			out := s.Dispatch(context.Background(), s.request("order", "z"), g)
			assert.Equal(t, out.Execution, tc.told, out.Reason)
			assert.Equal(t, s.ran(), tc.ran)
			if tc.told == arbiter.NotRun {
				assert.Equal(t, g.proven, g.sent, "not-run needs a proof for each try")
			}
		})
	}
}

// TestLateIsNotSent wakes up after the deadline.
func TestLateIsNotSent(t *testing.T) {
	t.Parallel()
	s := newStage(t, "", worker.Faults{})
	req := s.request("order", "z")
	s.clock.Advance(2 * time.Minute)
	assert.Equal(t, s.Dispatch(context.Background(), req, &gate{}).Execution, arbiter.NotRun)
	assert.Equal(t, s.ran(), 0)
}
