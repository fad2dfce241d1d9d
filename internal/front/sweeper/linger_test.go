package sweeper_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/sweeper"
)

// slowReader reads little at a time, like a caller behind a link with a round trip.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return r.Conn.Read(p[:min(len(p), 32<<10)])
}

// TestLastResponseCutByUnreadBytes guards against a last response of which the caller loses the end,
// since the connection is closed while bytes that it has sent lie unread.
func TestLastResponseCutByUnreadBytes(t *testing.T) {
	t.Parallel()
	body := make([]byte, 2<<20)
	for _, tc := range []struct {
		name string
		// last is whether the response announces the end of the connection, which comes by Drain
		// otherwise. The caller sends behind before the response, and after it else.
		last   bool
		behind string
	}{
		{"further request", true, wholeRequest},
		{"part of a request", true, wholeRequest[:20]},
		{"nothing", true, ""},
		{"idle", false, wholeRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
			begun, release, idle := make(chan struct{}, 2), make(chan struct{}), make(chan struct{})
			f := &fixture{listener: serveWith(t, s, func(w http.ResponseWriter, _ *http.Request) {
				begun <- struct{}{}
				<-release
				if tc.last {
					w.Header().Set("Connection", "close")
				}
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				_, _ = w.Write(body)
				close(idle)
			})}
			conn := f.connect(t)
			send(t, conn, wholeRequest)
			<-begun
			if tc.last {
				// Of these bytes net/http reads one.
				send(t, conn, tc.behind)
			}
			close(release)
			drained := make(chan int, 1)
			go func() {
				<-idle
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				if !tc.last {
					time.AfterFunc(20*time.Millisecond, func() { _, _ = io.WriteString(conn, tc.behind) })
				}
				drained <- s.Drain(ctx)
			}()
			resp, err := http.ReadResponse(bufio.NewReader(slowReader{conn}), nil)
			assert.NilError(t, err)
			n, err := io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err, "after %d bytes", n)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, int(n), len(body))
			assert.NilError(t, conn.Close())
			assert.Equal(t, <-drained, 0)
		})
	}
}

// TestCallerKeepsSending guards against a connection that waits for its caller for good.
func TestCallerKeepsSending(t *testing.T) {
	t.Parallel()
	s := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	f := &fixture{listener: serveWith(t, s, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })}
	conn := f.connect(t)
	send(t, conn, wholeRequest)
	waitAnswer(t, conn)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// TestLingerEndsOtherRequests guards against requests behind the last response that go on for as long
// as its caller takes to receive it: nobody gets their responses.
func TestLingerEndsOtherRequests(t *testing.T) {
	t.Parallel()
	s := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	body := make([]byte, 512<<10)
	ofConns := make(chan context.Context, 1)
	server := &http.Server{
		Handler: s.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = w.Write(body)
		})),
		ConnState: s.Track, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			// The server cancels only the contexts that it derives from this one.
			ctx = s.WithConn(ctx, c)
			ofConns <- ctx
			return ctx
		},
	}
	go func() { _ = server.Serve(s.Listen(ln)) }()
	t.Cleanup(func() { _ = server.Close() })
	f := &fixture{listener: ln}
	conn := f.connect(t)
	send(t, conn, wholeRequest)
	select {
	case <-(<-ofConns).Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the requests go on although the caller reads nothing")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err, "after %d bytes", n)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, int(n), len(body))
}

// TestUnreadResponse guards against a caller that stops reading and keeps its connection for good, or
// is not counted.
func TestUnreadResponse(t *testing.T) {
	t.Parallel()
	const limit = 10 * time.Second
	s := sweeper.New(func() time.Duration { return 0 }, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	f := &fixture{listener: serveWith(t, s, func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				ended <- err
				return
			}
		}
	})}
	start := time.Now()
	send(t, f.connect(t), wholeRequest)
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(2 * limit):
		t.Fatal("the response is still being written")
	}
	assert.Assert(t, time.Since(start) >= limit, "ended after %v", time.Since(start))
	assert.DeepEqual(t, s.Cuts(), map[sweeper.CutCause]int64{sweeper.CutUnread: 1})
}
