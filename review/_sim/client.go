package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// objects is the number of objects that requests concern.
const objects = 240

var attempts atomic.Int64

type (
	// call is a request of a client and what became of it.
	call struct {
		attempt string
		method  string
		host    string
		path    string
		key     string
		left    time.Duration
		body    []byte

		sentAt time.Time
		status int
		// whole is whether a whole success came, with the signature of its body.
		whole  bool
		got    int
		length int
		err    error
		took   time.Duration
	}

	// conn is a client's connection, which pipelines.
	conn struct {
		net.Conn
		in     *bufio.Reader
		record *record
	}
)

func newCall(method, host, path string, left time.Duration) *call {
	return &call{attempt: fmt.Sprintf("%016x", time.Now().UnixNano()+attempts.Add(1)), method: method, host: host, path: path, left: left}
}

func dial(rec *record, address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReaderSize(c, 16<<10), record: rec}, nil
}

// send writes requests at once.
func (c *conn) send(calls ...*call) error {
	var out bytes.Buffer
	for _, k := range calls {
		k.sentAt = time.Now()
		fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", k.method, k.path, k.host, headerAttempt, k.attempt, headerRemaining, k.left.Milliseconds())
		fmt.Fprintf(&out, "X-Waxwingloom-Affinity-Key: %d\r\n", rand.IntN(objects))
		if k.key != "" {
			fmt.Fprintf(&out, "Authorization: Bearer %s\r\n", k.key)
		}
		if k.method == http.MethodPost {
			fmt.Fprintf(&out, "Content-Length: %d\r\n", len(k.body))
		}
		out.WriteString("\r\n")
		out.Write(k.body)
		c.record.add("client sends %s %s %s, deadline in %s", k.attempt, k.method, k.path, k.left)
	}
	_, err := c.Write(out.Bytes())
	return err
}

// receive reads the answer to a request, bytesPerS of its body a second, 0 for as fast as it
// comes.
func (c *conn) receive(k *call, bytesPerS int) {
	defer func() {
		k.took = time.Since(k.sentAt)
		if k.err != nil {
			c.record.add("client has no whole answer to %s after %s: status %d, %d of %d bytes, %v", k.attempt, k.took.Round(time.Millisecond), k.status, k.got, k.length, k.err)
			return
		}
		c.record.add("client has the answer to %s after %s: status %d, %d bytes, whole success %v", k.attempt, k.took.Round(time.Millisecond), k.status, k.got, k.whole)
	}()
	_ = c.SetReadDeadline(k.sentAt.Add(k.left + 500*time.Millisecond))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: k.method})
	if err != nil {
		k.err = err
		return
	}
	k.status = resp.StatusCode
	k.length, _ = strconv.Atoi(resp.Header.Get("Content-Length"))
	var body bytes.Buffer
	for begun := time.Now(); ; {
		n, err := io.CopyN(&body, resp.Body, 16<<10)
		k.got = body.Len()
		if err == io.EOF {
			break
		}
		if err != nil {
			k.err = err
			return
		}
		if n > 0 && bytesPerS > 0 {
			time.Sleep(time.Until(begun.Add(time.Duration(body.Len()) * time.Second / time.Duration(bytesPerS))))
		}
	}
	k.whole = resp.StatusCode == http.StatusOK && resp.Header.Get(headerSignature) == signatureOf(body.Bytes()) &&
		resp.Header.Get(headerAttempt) == k.attempt && bytes.Equal(body.Bytes(), answerBody(k.attempt, body.Len()))
}

// do makes one request on a connection of its own.
func do(rec *record, address string, k *call) {
	c, err := dial(rec, address)
	if err != nil {
		k.err = err
		return
	}
	defer c.Close()
	if k.err = c.send(k); k.err == nil {
		c.receive(k, 0)
	}
}

// keep makes a first request, so that the connection is a kept one, and reports whether it got
// its answer.
func (c *conn) keep(k *call) bool {
	if c.send(k) != nil {
		return false
	}
	c.receive(k, 0)
	return k.whole
}
