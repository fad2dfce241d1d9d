package runner_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/kernel/runner"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

// hookHandler calls a function once, before it logs a message.
type hookHandler struct {
	slog.Handler
	message string
	hook    func()
}

// onMessage returns a logger to a daemon's log that calls hook once, before it logs message.
func onMessage(d *daemon, message string, hook func()) *slog.Logger {
	return slog.New(hookHandler{Handler: slog.NewTextHandler(d.log, &slog.HandlerOptions{Level: slog.LevelDebug}), message: message, hook: sync.OnceFunc(hook)})
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
			run := func(d *daemon, ctx context.Context, s loader.Settings) error {
				return runner.RunWithLogger(ctx, s, onMessage(d, message, func() { hook(d) }))
			}
			d := startWith(t, "vm-1", f.storeAddress, "", startOptions{grace: 10 * slowDuration, run: run})
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

// startReloading starts a daemon that reloads its settings file.
func startReloading(t *testing.T, f *fixture, grace time.Duration) *daemon {
	t.Helper()
	run := func(d *daemon, ctx context.Context, s loader.Settings) error {
		return runner.Run(ctx, s, d.log, runner.WithReload(d.settingsPath, nil))
	}
	d := startWith(t, "vm-1", f.storeAddress, "", startOptions{grace: grace, run: run})
	d.waitReady(t)
	return d
}

// change replaces a part of the daemon's settings file.
func (d *daemon) change(t *testing.T, from, to string) {
	t.Helper()
	text, err := os.ReadFile(d.settingsPath)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), from))
	assert.NilError(t, os.WriteFile(d.settingsPath, []byte(strings.Replace(string(text), from, to, 1)), 0o600))
}

// awaitLog waits until the daemon has logged a text.
func (d *daemon) awaitLog(t *testing.T, text string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(d.log.String(), text) {
			return poll.Success()
		}
		return poll.Continue("not logged: %s", text)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}

// awaitStop waits until the daemon has stopped, and returns the time since the stop began.
func (d *daemon) awaitStop(t *testing.T, began time.Time) time.Duration {
	t.Helper()
	assert.NilError(t, <-d.done)
	took := time.Since(began)
	d.done <- nil
	return took
}

// TestStopAfterGraceWasShortened guards against a stop that exceeds a grace period that was
// shortened after the start, and so ends in a kill: connections that have sent nothing were
// drained for a part of the first grace period.
func TestStopAfterGraceWasShortened(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := startReloading(t, f, time.Minute)
	d.change(t, "grace = 1m0s", "grace = 2s")
	d.awaitLog(t, "settings reloaded")
	dial(t, d.callers)
	began := time.Now()
	d.stop()
	took := d.awaitStop(t, began)
	assert.Assert(t, took < 2*time.Second, "the stop took %v", took)
}

// TestGraceChangedDuringStop guards against a stop that follows a change of the grace period
// made after it began: connections were drained longer than the process is left alive.
func TestGraceChangedDuringStop(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := startReloading(t, f, 4*time.Second)
	dial(t, d.callers)
	// The request keeps the stop waiting until the change is in force.
	go get(d.callers, "/stock/stuck", "shop.example")
	<-f.stuckStarted
	began := time.Now()
	d.stop()
	d.awaitLog(t, "msg=leaving")
	d.change(t, "grace = 4s", "grace = 10m0s")
	took := d.awaitStop(t, began)
	assert.Assert(t, strings.Contains(d.log.String(), "settings reloaded"))
	assert.Assert(t, took < 4*time.Second, "the stop took %v", took)
}

// TestStopRightAfterChangeOfGrace guards against a stop that uses a grace period that was
// replaced in the settings file just before, because the next look at the file is due later.
func TestStopRightAfterChangeOfGrace(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := startReloading(t, f, time.Minute)
	dial(t, d.callers)
	d.change(t, "grace = 1m0s", "grace = 2s")
	began := time.Now()
	d.stop()
	took := d.awaitStop(t, began)
	assert.Assert(t, took < 2*time.Second, "the stop took %v", took)
}

// TestStopWithLongLookupTTL guards against a stop that waits until callers' lookup responses
// have expired although its grace period ends before that.
func TestStopWithLongLookupTTL(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := startReloading(t, f, 4*time.Second)
	d.change(t, "ttl = 100ms", "ttl = 6s")
	d.awaitLog(t, "settings reloaded")
	began := time.Now()
	d.stop()
	took := d.awaitStop(t, began)
	assert.Assert(t, took < 4*time.Second, "the stop took %v", took)
}

// TestStopWithSlowStore guards against a stop that waits for the store to remove the VM from
// its list although its grace period ends before that.
func TestStopWithSlowStore(t *testing.T) {
	t.Parallel()
	const grace = 1900 * time.Millisecond
	f := newFixture(t)
	d := startReloading(t, f, grace)
	f.storekeeper.SetFaults(storekeeper.Faults{Delay: 20 * time.Second})
	began := time.Now()
	d.stop()
	took := d.awaitStop(t, began)
	assert.Assert(t, took < grace, "the stop took %v", took)
}

// TestStreamDuringStop guards against a streamed response that is cut because a stop begins
// while the upstream is silent.
func TestStreamDuringStop(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := startReloading(t, f, 4*time.Second)
	conn := dial(t, d.callers)
	_, err := io.WriteString(conn, "GET /stock/streamed HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.CopyN(io.Discard, resp.Body, streamPartBytes)
	assert.NilError(t, err)
	d.stop()
	d.awaitLog(t, "msg=leaving")
	close(f.streamRelease)
	rest, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, rest, int64(streamPartBytes))
	d.awaitStop(t, time.Now())
}

// TestUploadDuringStop guards against a request whose body arrives during a stop and that gets
// no response: it is sent on if its time limit is before the end, and refused if not.
func TestUploadDuringStop(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, remaining string
		grace           time.Duration
		want            int
	}{
		{"limit before the end", "1900", 4 * time.Second, http.StatusOK},
		{"limit after the end", "1900", 2 * time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			d := startReloading(t, f, tc.grace)
			conn := dial(t, d.callers)
			_, err := io.WriteString(conn, "POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n"+
				platform.Headers().RemainingMs+": "+tc.remaining+"\r\n\r\nab")
			assert.NilError(t, err)
			d.stop()
			d.awaitLog(t, "msg=leaving")
			assert.Equal(t, exchangeRaw(t, conn, "cd"), tc.want)
			d.awaitStop(t, time.Now())
		})
	}
}

// TestStopWithSilentPeer guards against a stop that exceeds its grace period because a connection
// to the peers' port has sent nothing yet: the stop waited until its handshake timed out.
func TestStopWithSilentPeer(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	f := newFixture(t)
	run := func(d *daemon, ctx context.Context, s loader.Settings) error {
		return runner.RunWithLogger(ctx, s, onMessage(d, "left", func() { dial(t, d.peers) }))
	}
	d := startWith(t, "vm-1", f.storeAddress, "", startOptions{grace: grace, run: run})
	d.waitReady(t)
	began := time.Now()
	d.stop()
	took := d.awaitStop(t, began)
	assert.Assert(t, took < grace, "the stop took %v", took)
}

// TestUnfinishedUploadDuringStop guards against a connection that ends without a response because
// the body of its request, begun before a stop, is still arriving at the stop's deadline.
func TestUnfinishedUploadDuringStop(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := startReloading(t, f, 2*time.Second)
	conn := dial(t, d.callers)
	_, err := io.WriteString(conn, "POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	assert.NilError(t, err)
	status, _ := responseStatus(conn)
	assert.Equal(t, status, http.StatusContinue)
	_, err = io.WriteString(conn, "ab")
	assert.NilError(t, err)
	d.stop()
	status, _ = responseStatus(conn)
	d.awaitStop(t, time.Now())
	assert.Equal(t, status, http.StatusRequestTimeout)
}
