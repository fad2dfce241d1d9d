package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// repeatingUpstream answers the first request on its first connection with first. On that
// connection it writes first once more before each later answer. All other requests run.
type repeatingUpstream struct {
	listener net.Listener
	first    string

	mu    sync.Mutex
	conns int
	ran   []string
	done  sync.WaitGroup
}

func startRepeating(t *testing.T, first string) *repeatingUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &repeatingUpstream{listener: ln, first: first}
	u.done.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			repeats := u.conns == 1
			u.mu.Unlock()
			u.done.Go(func() { u.serveConn(conn, repeats) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		u.done.Wait()
	})
	return u
}

func (u *repeatingUpstream) serveConn(conn net.Conn, repeats bool) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	copied := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(attemptHeader)
		if repeats && copied == "" {
			copied = strings.ReplaceAll(u.first, "ID", id)
			_, _ = io.WriteString(conn, copied)
			continue
		}
		u.mu.Lock()
		u.ran = append(u.ran, id)
		u.mu.Unlock()
		_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 3\r\n\r\nran", copied, id)
	}
}

func (u *repeatingUpstream) target() cataloger.Target {
	return cataloger.Target{Upstream: "u", Address: u.listener.Addr().String(), MaxIdleConns: 4}
}

// TestLateCopyOfOwnRefusal guards against a request that is answered with the copy of an
// earlier refusal of its own, while the upstream runs it.
func TestLateCopyOfOwnRefusal(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		first string
		// between is the number of other requests between the two sends.
		between int
	}{
		{"refusal", "HTTP/1.1 503 Full\r\nAttempt: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 0},
		{"refusal after other requests", "HTTP/1.1 503 Full\r\nAttempt: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 2},
		{"misdirected", "HTTP/1.1 421 Not me\r\nAttempt: ID\r\nContent-Length: 0\r\n\r\n", 0},
		{"failure", "HTTP/1.1 500 Failed\r\nAttempt: ID\r\nContent-Length: 2\r\n\r\nno", 0},
		{"response in chunks", "HTTP/1.1 503 Full\r\nAttempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u := startRepeating(t, tc.first)
			x := newExchanger(t)
			first, err := x.Exchange(t.Context(), u.target(), request("a1"))
			assert.NilError(t, err)
			assert.Assert(t, first.Status != http.StatusOK)
			want := []string{}
			for i := range tc.between {
				id := fmt.Sprintf("b%d", i)
				response, err := x.Exchange(t.Context(), u.target(), request(id))
				assert.NilError(t, err)
				assert.Equal(t, string(response.Body), "ran")
				want = append(want, id)
			}
			second, err := x.Exchange(t.Context(), u.target(), request("a1"))
			assert.NilError(t, err)
			assert.Equal(t, second.Status, http.StatusOK, "the copy of the first answer was taken")
			u.mu.Lock()
			defer u.mu.Unlock()
			assert.DeepEqual(t, u.ran, append(want, "a1"))
		})
	}
}

// TestLateCopyWithoutID guards against a request without an attempt ID that is answered with
// the copy of another one's response.
func TestLateCopyWithoutID(t *testing.T) {
	t.Parallel()
	for _, header := range []string{"", "Attempt: \r\n"} {
		u := startRepeating(t, "HTTP/1.1 503 Full\r\n"+header+"Content-Length: 0\r\n\r\n")
		x := newExchanger(t)
		_, err := x.Exchange(t.Context(), u.target(), request(""))
		assert.NilError(t, err)
		second, err := x.Exchange(t.Context(), u.target(), request(""))
		assert.NilError(t, err)
		assert.Equal(t, second.Status, http.StatusOK, "the copy of the first answer was taken")
	}
}

// TestConnectionServesManyRequests checks that a connection serves other requests after it
// answered some, and the same ones once their deadline has passed.
func TestConnectionServesManyRequests(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse)
	clock := clockwork.NewFakeClockAt(time.Now())
	x, cleanup := exchanger.New(clock)
	t.Cleanup(cleanup)
	for i := range 300 {
		r := request(fmt.Sprintf("a%d", i%100))
		r.Deadline = clock.Now().Add(20 * time.Second)
		_, err := x.Exchange(t.Context(), u.target(), r)
		assert.NilError(t, err)
		if i%100 != 99 {
			continue
		}
		for range 7 {
			// The idle timeout is shorter than the deadline.
			clock.Advance(3 * time.Second)
			_, err := x.Exchange(t.Context(), u.target(), request(fmt.Sprintf("b%d", clock.Now().UnixNano())))
			assert.NilError(t, err)
		}
	}
	conns, _ := u.seen()
	assert.Equal(t, conns, 1)
}

// TestConnectionRemembersFewAttempts guards against a connection whose memory grows with the
// number of requests before their deadline.
func TestConnectionRemembersFewAttempts(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, completeResponse)
	x := newExchanger(t)
	for i := range 600 {
		r := request(fmt.Sprintf("a%d", i))
		r.Deadline = time.Now().Add(time.Hour)
		_, err := x.Exchange(t.Context(), u.target(), r)
		assert.NilError(t, err)
	}
	conns, _ := u.seen()
	assert.Equal(t, conns, 3, "connections for 600 requests")
}
