package receiver_test

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// TestStreamedPartIsHeldBack guards against a part of a streamed response that stays in a
// buffer of net/http until more of the response comes.
func TestStreamedPartIsHeldBack(t *testing.T) {
	t.Parallel()
	for _, tracked := range []bool{false, true} {
		name := "plain listener"
		if tracked {
			name = "tracked listener"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begin, part := bytes.Repeat([]byte("a"), 8<<10), bytes.Repeat([]byte("b"), 1<<10)
			rest, upstream := io.Pipe()
			t.Cleanup(func() { _ = upstream.Close() })
			result := okResult("")
			result.Body, result.Rest, result.ContentLength = begin, rest, 1<<20
			rec := receiver.New(&router{result: result}, namer.WaxwingHeaderNames(), defaultLimits, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
			server := httptest.NewUnstartedServer(rec)
			if tracked {
				sweep := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
				server.Listener = sweep.Listen(server.Listener)
				server.Config.ConnState, server.Config.ConnContext = sweep.Track, sweep.WithConn
			}
			server.Start()
			t.Cleanup(server.CloseClientConnections)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			assert.NilError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
			_, err = conn.Write([]byte("GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"))
			assert.NilError(t, err)
			go func() { _, _ = upstream.Write(part) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			_, err = io.ReadFull(resp.Body, make([]byte, len(begin)+len(part)))
			assert.NilError(t, err)
		})
	}
}
