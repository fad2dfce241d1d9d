package worker_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

// TestLoadEndpoint gets the load one second after the start of a request that is
// still in flight.
func TestLoadEndpoint(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		faults worker.Faults
		used   int64
	}{
		{"honest", worker.Faults{}, 1},
		{"lag shorter than the request", worker.Faults{Lag: 500 * time.Millisecond}, 1},
		{"lag longer than the request", worker.Faults{Lag: 2 * time.Second}, 0},
		{"always zero", worker.Faults{Lie: worker.LieZero}, 0},
		{"always full", worker.Faults{Lie: worker.LieFull}, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			w := worker.New("u", worker.Limits{Slots: 9}, clock)
			tc.faults.HoldRun = "/work"
			w.SetFaults(tc.faults)
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/work", nil))
			}()
			for w.Stats().InFlight == 0 {
				time.Sleep(time.Millisecond)
			}
			clock.Advance(time.Second)
			rec := httptest.NewRecorder()
			w.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/load", nil))
			var got struct{ Used, Slots int64 }
			assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &got))
			assert.Equal(t, got.Used, tc.used)
			// The request may not be held yet when the faults are set, so they are
			// set again until it ends.
			for released := false; !released; {
				w.SetFaults(worker.Faults{})
				select {
				case <-done:
					released = true
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
}
