package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	// hangTimeout only ends a test that hangs.
	hangTimeout = 30 * time.Second
	// maxStreamBytes is what a streamed response may take beside the limit on bodies: a head
	// of the largest size, two buffers that net/http copies with, and the buffers of four
	// readers and writers of the VM and of those of the test.
	maxStreamBytes = 64<<10 + 2*32<<10 + 8*4<<10
	soundPath      = "/read/sound"
)

// faultyUpstream answers requests for soundPath. It answers all others with its head and a
// body without end. The channel receives a value for each of these that has ended.
type faultyUpstream struct {
	head  string
	part  string
	ended chan struct{}
}

func (u *faultyUpstream) serve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var done sync.WaitGroup
	done.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			done.Go(func() { u.serveConn(conn) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		done.Wait()
	})
	return ln.Addr().String()
}

func (u *faultyUpstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		h := namer.WaxwingHeaderNames()
		id := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", h.AttemptID, req.Header.Get(h.AttemptID), h.Signature)
		if req.URL.Path == soundPath {
			_, _ = io.WriteString(conn, id+"Content-Length: 5\r\n\r\nsound")
			continue
		}
		_, err = io.WriteString(conn, id+u.head)
		// The writes must not allocate, since the test measures the heap.
		part := []byte(u.part)
		for err == nil {
			_, err = conn.Write(part)
		}
		u.ended <- struct{}{}
		return
	}
}

// heapBytes returns the size of the objects in use.
func heapBytes() uint64 {
	// What a sync.Pool holds is freed by the second collection.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestEndlessBodiesTakeAllMemory guards against an upstream whose endless bodies take the
// memory of a VM: each body that was streamed held its first part until its caller had read it,
// without a limit over all requests. It runs alone, since it measures the heap.
func TestEndlessBodiesTakeAllMemory(t *testing.T) {
	const streams = 50
	limits := receiver.Limits{MaxInFlight: streams + 1, MaxBufferedBytes: 1 << 20}
	part := strings.Repeat("x", 4<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	for _, tc := range []struct {
		name, head, part string
		// read is how much of the response each caller reads.
		read int64
	}{
		{"no length, unread", "\r\n", part, 0},
		{"chunked, unread", "Transfer-Encoding: chunked\r\n\r\n", chunk, 0},
		{"1 TB, unread", "Content-Length: 1099511627776\r\n\r\n", part, 0},
		{"no length, read", "\r\n", part, 1 << 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := &faultyUpstream{head: tc.head, part: tc.part, ended: make(chan struct{}, streams)}
			address := startWithLimits(t, u.serve(t), limits)
			before := heapBytes()
			conns := make([]net.Conn, streams)
			for i := range conns {
				conns[i] = beginStream(t, address)
			}
			for _, conn := range conns {
				_, err := io.CopyN(io.Discard, conn, tc.read)
				assert.NilError(t, err)
			}
			resp, body, err := callOnce(t, address, http.MethodGet, soundPath)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, body, "sound")
			held := int64(heapBytes()) - int64(before)
			most := limits.MaxBufferedBytes + streams*maxStreamBytes
			assert.Assert(t, held <= most, "%d streams hold %d bytes, over %d", streams, held, most)
			for _, conn := range conns {
				_ = conn.Close()
			}
			for range streams {
				select {
				case <-u.ended:
				case <-time.After(hangTimeout):
					t.Fatal("a connection to the upstream is open although the caller has gone")
				}
			}
		})
	}
}

// beginStream sends a request and reads the first byte of the response.
func beginStream(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(hangTimeout)))
	_, err = fmt.Fprintf(conn, "GET /read/endless HTTP/1.1\r\nHost: shop\r\n%s: a1\r\n\r\n", namer.WaxwingHeaderNames().AttemptID)
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.NilError(t, err)
	return conn
}
