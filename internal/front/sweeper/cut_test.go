package sweeper_test

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

// TestCutCauses checks that each connection that ends without a response is counted once, by
// its cause, and that one with a response is not.
func TestCutCauses(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, text string
		handle     func(w http.ResponseWriter, r *http.Request)
		leave      bool
		want       sweeper.CutCause
	}{
		{name: "aborted handler", text: wholeRequest, handle: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: sweeper.CutByHandler},
		{name: "caller that left", text: wholeRequest, handle: func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}, leave: true, want: sweeper.CutByCaller},
		{name: "response", text: wholeRequest, handle: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
			f := &fixture{listener: serveWith(t, s, tc.handle)}
			conn := f.connect(t)
			send(t, conn, tc.text)
			if tc.leave {
				assert.NilError(t, conn.Close())
			} else {
				_ = answer(conn)
				waitClosed(t, conn)
			}
			want := map[sweeper.CutCause]int64{}
			if tc.want != "" {
				want[tc.want] = 1
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				return poll.Compare(cmp.DeepEqual(s.Cuts(), want))
			}, poll.WithDelay(time.Millisecond))
		})
	}
}
