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

// TestLoadEndpoint asks for the load while a request is held and a second
// after it began.
func TestLoadEndpoint(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		faults worker.Faults
		used   int64
	}{
		{"honest", worker.Faults{}, 1},
		{"lags by less", worker.Faults{Lag: 500 * time.Millisecond}, 1},
		{"lags by more", worker.Faults{Lag: 2 * time.Second}, 0},
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
			// Letting go races with the request on its way to be held.
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
