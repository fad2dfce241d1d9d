package crowder_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// crowdSize is the number of callers of each crowd, whole of which every finishingth one
	// sends its whole body.
	crowdSize = 48
	finishing = 12
	// smallChunkBytes is the length of each body that is sent in chunks of one byte, and
	// smallChunkCrowd the number of those callers.
	smallChunkBytes = 3 << 19
	smallChunkCrowd = 64
	// headCrowd is the number of callers that stop within a request's head.
	headCrowd = 200
	// bufferBytes is what a caller writes at a time.
	bufferBytes = 64 << 10
	// overBytes is the length of a body over the limit.
	overBytes = 8 * maxBodyBytes
	// slowPieces is the number of pieces in which a slow caller sends a body of the largest
	// legal size, with slowPause between them.
	slowPieces = 16
	slowPause  = 50 * time.Millisecond
	// writeTimeout ends the writes of a caller that the daemon does not read any more.
	writeTimeout = 10 * time.Second
)

// member is one caller of a crowd: what its head says of the body, what it sends of it, and
// what it sends when all others have sent that too, which may be nil.
type member struct {
	head string
	send func(w *writer)
	more func(w *writer)
}

// writer writes to the daemon until a write fails, as it does when the daemon closes the
// connection.
type writer struct {
	conn net.Conn
	err  error
}

func (w *writer) write(p []byte) {
	if w.err != nil {
		return
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, w.err = w.conn.Write(p)
}

// fill writes n bytes in pieces.
func (w *writer) fill(n, piece int) {
	buf := bytes.Repeat([]byte("x"), piece)
	for ; n > 0 && w.err == nil; n -= piece {
		w.write(buf[:min(n, piece)])
	}
}

// chunks writes n chunks.
func (w *writer) chunks(n, chunkBytes int) {
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	many := max(1, bufferBytes/len(one))
	buf := bytes.Repeat(one, many)
	for ; n > 0 && w.err == nil; n -= many {
		w.write(buf[:min(n, many)*len(one)])
	}
}

// press lets a crowd send all at once, checks that the daemon bears it while its connections
// are open, and that a request of the largest legal size is served when they are closed.
func press(t *testing.T, size int, of func(i int) member) {
	t.Helper()
	d := start(t)
	conns := make([]net.Conn, size)
	var sending, ending sync.WaitGroup
	sending.Add(size)
	for i := range conns {
		conn, err := net.Dial("tcp", d.callers)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		conns[i] = conn
		ending.Go(func() {
			m := of(i)
			w := &writer{conn: conn}
			w.write([]byte(m.head))
			m.send(w)
			sending.Done()
			sending.Wait()
			if m.more != nil {
				m.more(w)
			}
		})
	}
	ending.Wait()
	d.checkBounds(t)
	d.checkServes(t, 1024)
	d.checkBounds(t)
	for _, conn := range conns {
		_ = conn.Close()
	}
	d.checkServes(t, maxBodyBytes)
	d.checkBounds(t)
}

// announced returns the head of a request whose body has a length.
func announced(n int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n", n)
}

// chunked returns the head of a request whose body comes in chunks.
func chunked() string {
	return "POST /a HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// left returns how much a caller leaves out at the end of its body.
func left(i int) int {
	if i%finishing == 0 {
		return 0
	}
	return 1
}

// TestCrowdOfLargeBodies guards against a process that runs out of memory because bodies
// count in no limit while they are read. Callers send bodies of the largest legal size, at once
// or piece by piece, and most stop one byte before the end.
func TestCrowdOfLargeBodies(t *testing.T) {
	press(t, crowdSize, func(i int) member {
		piece := maxBodyBytes
		if i%2 == 1 {
			piece = bufferBytes
		}
		return member{head: announced(maxBodyBytes), send: func(w *writer) { w.fill(maxBodyBytes-left(i), piece) }}
	})
}

// TestCrowdOfLargeChunks guards against the same with bodies that announce no length, in
// chunks of 1 MiB.
func TestCrowdOfLargeChunks(t *testing.T) {
	const chunkBytes = 1 << 20
	press(t, crowdSize, func(i int) member {
		return member{head: chunked(), send: func(w *writer) {
			w.chunks(maxBodyBytes/chunkBytes, chunkBytes)
			if left(i) == 0 {
				w.write([]byte("0\r\n\r\n"))
			}
		}}
	})
}

// TestCrowdOfSmallChunks guards against the same with chunks of one byte.
func TestCrowdOfSmallChunks(t *testing.T) {
	press(t, smallChunkCrowd, func(i int) member {
		return member{head: chunked(), send: func(w *writer) {
			w.chunks(smallChunkBytes, 1)
			if left(i) == 0 {
				w.write([]byte("0\r\n\r\n"))
			}
		}}
	})
}

// TestCrowdOverTheLimitAnnounced guards against bodies that are read although their length
// says that they are over the limit.
func TestCrowdOverTheLimitAnnounced(t *testing.T) {
	press(t, crowdSize, func(int) member {
		return member{
			head: announced(overBytes),
			send: func(w *writer) { w.fill(maxBodyBytes, bufferBytes) },
			more: func(w *writer) { w.fill(overBytes-maxBodyBytes, bufferBytes) },
		}
	})
}

// TestCrowdOverTheLimitUnannounced guards against bodies over the limit that announce a legal
// length, or none, and go on.
func TestCrowdOverTheLimitUnannounced(t *testing.T) {
	press(t, crowdSize, func(i int) member {
		if i%finishing == 0 {
			return member{
				head: announced(maxBodyBytes),
				send: func(w *writer) { w.fill(maxBodyBytes-1, bufferBytes) },
				more: func(w *writer) { w.fill(overBytes-maxBodyBytes, bufferBytes) },
			}
		}
		return member{
			head: chunked(),
			send: func(w *writer) { w.chunks(maxBodyBytes/bufferBytes, bufferBytes) },
			more: func(w *writer) { w.chunks((overBytes-maxBodyBytes)/bufferBytes, bufferBytes) },
		}
	})
}

// TestCrowdOfUnfinishedHeads guards against callers that take all descriptors with
// connections on which no whole request comes.
func TestCrowdOfUnfinishedHeads(t *testing.T) {
	press(t, headCrowd, func(int) member {
		return member{head: "POST /a HTTP/1.1\r\nHost: shop.example\r\n", send: func(*writer) {}}
	})
}

// TestSlowCallerInCalm guards against limits that meet callers which stay inside the pages'
// limits: a body of the largest size comes slowly, beside ordinary requests, and nothing is
// refused or closed, on the smallest machine either.
func TestSlowCallerInCalm(t *testing.T) {
	for _, tc := range []struct {
		memoryMB  int64
		bodyBytes int
	}{{machineMemoryMB, maxBodyBytes}, {smallestMemoryMB, largestBodyBytes}} {
		t.Run(fmt.Sprintf("%d MB, %d bytes", tc.memoryMB, tc.bodyBytes), func(t *testing.T) {
			d := startOn(t, tc.memoryMB, tc.bodyBytes)
			sendSlowly(t, d, tc.bodyBytes)
			counts := d.counts(t)
			assert.Equal(t, counts.RefusedBytes, int64(0))
			assert.Equal(t, counts.RefusedConnections, int64(0))
			assert.Equal(t, counts.Closed, int64(0))
			d.checkBounds(t)
		})
	}
}

// sendSlowly sends a body in pieces, with an ordinary request behind each, and checks that it
// is answered.
func sendSlowly(t *testing.T, d *daemon, bodyBytes int) {
	t.Helper()
	conn, err := net.Dial("tcp", d.callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	w := &writer{conn: conn}
	w.write([]byte(announced(bodyBytes)))
	for range slowPieces {
		w.fill(bodyBytes/slowPieces, bufferBytes)
		time.Sleep(slowPause)
		d.checkServes(t, 1024)
	}
	assert.NilError(t, w.err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
