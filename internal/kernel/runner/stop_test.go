package runner_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/kernel/runner"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

// hookHandler calls a function once, before it logs a message.
type hookHandler struct {
	slog.Handler
	message string
	hook    func()
}

// onMessage returns a logger to a daemon's log that calls hook once, before it logs message.
func onMessage(d *daemon, message string, hook func()) *slog.Logger {
	return slog.New(hookHandler{Handler: slog.NewTextHandler(d.log, nil), message: message, hook: sync.OnceFunc(hook)})
}

// Handle implements slog.Handler.
func (h hookHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == h.message {
		h.hook()
	}
	return h.Handler.Handle(ctx, r)
}

// TestRequestAfterIdleCheck guards against a request that is sent to an upstream after a stop
// has found no request in progress, and is cut when the connections are closed.
func TestRequestAfterIdleCheck(t *testing.T) {
	t.Parallel()
	for _, message := range []string{"refusing all further requests", "left"} {
		t.Run(message, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			status := make(chan int, 1)
			hook := func(d *daemon) {
				go func() { status <- callSlow(d.callers, "a1", "2000") }()
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if _, ran := f.slowStarted.Load("a1"); ran || len(status) > 0 {
						return poll.Success()
					}
					return poll.Continue("neither sent to the upstream nor refused")
				}, poll.WithDelay(time.Millisecond))
			}
			// The request can end before the stop does, but takes longer than the wait for
			// connections.
			d := startWith(t, "vm-1", f.storeAddress, "", 10*slowDuration, func(d *daemon, ctx context.Context, s loader.Settings) error {
				return runner.RunWithLogger(ctx, s, onMessage(d, message, func() { hook(d) }))
			})
			d.waitReady(t)
			d.stop()
			assert.NilError(t, <-d.done)
			d.done <- nil
			want := http.StatusServiceUnavailable
			if _, ran := f.slowStarted.Load("a1"); ran {
				want = http.StatusOK
			}
			assert.Equal(t, <-status, want)
		})
	}
}
