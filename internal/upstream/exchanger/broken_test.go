package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// brokenAnswer is how an upstream answers a request: it reads that many bytes of the request's
// body, writes that many of the answer, and ends the connection.
type brokenAnswer struct {
	framing string
	read    int
	written int
	// reset is whether the connection is reset. Otherwise the upstream ends its side, and with
	// drain it reads the rest of the request before it closes the connection.
	reset bool
	drain bool
}

const answerBody = "0123456789abcdef"

// answerOf returns a whole answer.
func answerOf(framing string) string {
	head := "HTTP/1.1 200 OK\r\nAttempt: a1\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answerBody), answerBody)
	case "chunked":
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(answerBody), answerBody)
	}
	return head + "\r\n" + answerBody
}

// serveBroken starts an upstream that answers one request so.
func serveBroken(t *testing.T, a brokenAnswer) cataloger.Target {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		r := bufio.NewReaderSize(conn, 16)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, req.Body, int64(a.read))
		_, _ = io.WriteString(conn, answerOf(a.framing)[:a.written])
		if a.reset {
			// The client has read the bytes by then, and waits for more.
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if a.drain {
			_, _ = io.Copy(io.Discard, req.Body)
			return
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(50 * time.Millisecond)
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return cataloger.Target{Upstream: "u", Address: ln.Addr().String(), MaxIdleConns: 4}
}

// TestBrokenAnswerLooksWhole guards against an answer without a length whose connection is reset
// while the request is still being sent: the write gets the error, and the read the end.
func TestBrokenAnswerLooksWhole(t *testing.T) {
	t.Parallel()
	const largeBody = 8 << 20
	for _, framing := range []string{"none", "length", "chunked"} {
		whole := answerOf(framing)
		head := strings.Index(whole, "\r\n\r\n") + 4
		for _, size := range []int{0, largeBody} {
			for _, read := range []int{0, size / 2, size} {
				for _, written := range []int{0, head / 2, head, head + 1, head + 10, len(whole)} {
					for _, a := range []brokenAnswer{
						{framing: framing, read: read, written: written, reset: true},
						{framing: framing, read: read, written: written},
						{framing: framing, read: read, written: written, drain: true},
					} {
						t.Run(fmt.Sprintf("%d/%+v", size, a), func(t *testing.T) {
							t.Parallel()
							checkBroken(t, a, size)
						})
					}
				}
			}
		}
	}
}

// checkBroken checks that what Exchange returns is a whole answer. Without a length, that is what
// the upstream wrote before it ended the connection in order.
func checkBroken(t *testing.T, a brokenAnswer, size int) {
	t.Helper()
	whole := answerOf(a.framing)
	head := strings.Index(whole, "\r\n\r\n") + 4
	unframed := a.framing == "none"
	want, complete := answerBody, a.written == len(whole) && (!unframed || !a.reset)
	if unframed && !a.reset && a.written >= head {
		want, complete = whole[head:a.written], true
	}
	r := request("a1")
	r.Method = http.MethodPost
	r.Head = fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nContent-Length: %d\r\n\r\n", size)
	r.Body = make([]byte, size)
	response, err := newExchanger(t).Exchange(t.Context(), serveBroken(t, a), r)
	if err == nil {
		assert.Assert(t, complete, "a broken answer is returned with %d bytes", len(response.Body))
		assert.Equal(t, string(response.Body), want)
		return
	}
	// An upstream that closes the connection with bytes unread resets it.
	assert.Assert(t, !complete || !a.drain && a.read < size, "%v", err)
}
