package receiver_test

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/front/pipeliner"
	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

// staleRouter refuses the first request as that of stale accounts once the second one has
// started, and answers the second.
type staleRouter struct {
	router
	started chan struct{}
}

func (r *staleRouter) Steer(_ context.Context, req steerer.Request) steerer.Result {
	if req.Path == "/first" {
		<-r.started
		return steerer.Result{Status: http.StatusServiceUnavailable, Code: steerer.CodeStaleAccounts, RetryAfter: time.Second}
	}
	close(r.started)
	return okResult("answer")
}

// connectAhead starts a receiver that reads requests ahead, and returns a connection to it.
func connectAhead(t *testing.T, route receiver.Router, account *accountant.Accountant) *net.TCPConn {
	t.Helper()
	clock, log := clockwork.NewRealClock(), slog.New(slog.DiscardHandler)
	rec := receiver.New(route, namer.WaxwingHeaderNames(), defaultLimits, clock, log)
	ahead := pipeliner.New(rec, func(*http.Request) bool { return true }, pipeliner.Limits{Requests: 8, Bytes: 64 << 10}, clock, log)
	sweep := sweeper.New(func() time.Duration { return 0 }, clock, log, sweeper.WithPipeliner(ahead), sweeper.WithAccount(account))
	server := httptest.NewUnstartedServer(sweep.Handler(rec))
	server.Listener = sweep.Listen(server.Listener)
	server.Config.ConnContext, server.Config.ConnState = sweep.WithConn, sweep.Track
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	return conn.(*net.TCPConn)
}

// TestStaleAccountsLoseNothingBehind guards against a refusal that closes the connection while a
// request behind it runs, whose response would be lost.
func TestStaleAccountsLoseNothingBehind(t *testing.T) {
	t.Parallel()
	conn := connectAhead(t, &staleRouter{started: make(chan struct{})}, accountant.New(accountant.Limits{}))
	_, err := conn.Write([]byte("GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for _, want := range []struct {
		status int
		closes bool
	}{{http.StatusServiceUnavailable, false}, {http.StatusOK, true}} {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, want.status)
		assert.Equal(t, resp.Close, want.closes)
	}
}
