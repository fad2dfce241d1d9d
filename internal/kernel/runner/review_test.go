package runner

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

// TestAnswerDuringStopEndsConnection guards against an answer given while the server ends
// that does not tell the caller that its connection is closed.
func TestAnswerDuringStopEndsConnection(t *testing.T) {
	t.Parallel()
	started, release := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})
	log := slog.New(slog.DiscardHandler)
	// As registerFront sets it up.
	sweep := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), log)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stopping := make(chan struct{})
	s := &callerServer{
		server: &http.Server{Handler: handler, ConnState: sweep.Track}, listener: listener, sweeper: sweep,
		refuseNew: func() { close(stopping) }, shutdownTimeout: 10 * time.Second, log: log,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = conn.Write([]byte(wholeRequest))
	assert.NilError(t, err)
	<-started
	cancel()
	<-stopping
	time.Sleep(50 * time.Millisecond)
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, resp.Close, "the answer does not say that the connection ends")
	assert.NilError(t, <-done)
}

// TestLookupHeadDuringStop guards against a planned stop that closes a connection of the
// look-up directory, the readiness check or the metrics on which a request's head is
// arriving.
func TestLookupHeadDuringStop(t *testing.T) {
	t.Parallel()
	idle := make(chan struct{}, 2)
	track := func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &webServer{
		server:   &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: track},
		listener: listener, shutdownTimeout: 5 * time.Second,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	assert.Equal(t, requestStatus(t, conn, wholeRequest), http.StatusOK)
	<-idle
	_, err = conn.Write([]byte(wholeRequest[:10]))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	cancel()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, requestStatus(t, conn, wholeRequest[10:]), http.StatusOK)
	assert.NilError(t, <-done)
}
