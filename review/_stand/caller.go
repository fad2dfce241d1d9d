package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/waxwingloom/waxwingloom/platform"
)

// The ways in which an attempt ends for its client.
const (
	endedAnswered = "answered"
	endedRefused  = "refused"
	endedCut      = "cut"
	endedDeadline = "deadline"
	endedUnopened = "no connection"
)

type (
	// caller is a client with one kept connection. It opens a new one when the other side
	// has closed it or has said that it does.
	caller struct {
		name   string
		host   string
		record *record
		// address returns the entry VM to connect to.
		address func() string

		conn   net.Conn
		reader *bufio.Reader
		// answers counts the answers on the current connection.
		answers int
	}

	// call is one request of a client. The body is sent in equal parts over the time pace.
	// Object is the affinity key, if there is one.
	call struct {
		method   string
		path     string
		object   string
		body     []byte
		pace     time.Duration
		deadline time.Duration
	}

	// result is how an attempt ended. Kept says that the connection had served a request.
	result struct {
		attempt string
		how     string
		status  int
		kept    bool
		sentAt  time.Time
		endedAt time.Time
		reason  string
		signed  bool
		body    []byte
	}
)

var attempts atomic.Int64

// do sends a request and reads its answer.
func (c *caller) do(r call) result {
	res := result{attempt: fmt.Sprintf("%s-%d", c.name, attempts.Add(1)), sentAt: time.Now()}
	c.attempt(r, &res)
	res.endedAt = time.Now()
	c.record.note("client %s: request %s: %s %s: %s %d, kept connection %v, %d ms %s", c.name, res.attempt, r.method, r.path,
		res.how, res.status, res.kept, res.endedAt.Sub(res.sentAt).Milliseconds(), res.reason)
	return res
}

func (c *caller) attempt(r call, res *result) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address(), time.Second)
		if err != nil {
			res.how, res.reason = endedUnopened, err.Error()
			return
		}
		c.conn, c.reader, c.answers = conn, bufio.NewReader(conn), 0
	}
	res.kept = c.answers > 0
	_ = c.conn.SetDeadline(res.sentAt.Add(r.deadline))
	written := make(chan error, 1)
	conn := c.conn
	go func() { written <- c.send(conn, r, res.attempt) }()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		res.body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		c.drop()
		res.how, res.reason = endedCut, err.Error()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			res.how = endedDeadline
		}
		return
	}
	res.status = resp.StatusCode
	res.how = endedRefused
	if resp.StatusCode == http.StatusOK {
		res.how = endedAnswered
	}
	res.signed = resp.Header.Get(platform.Headers().Signature) != ""
	c.answers++
	if resp.Close {
		c.drop()
		return
	}
	if <-written != nil {
		c.drop()
	}
}

// send writes a request.
func (c *caller) send(conn net.Conn, r call, attempt string) error {
	h := platform.Headers()
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %s\r\n\r\n", r.method, r.path, c.host,
		h.AttemptID, attempt, h.RemainingMs, r.deadline.Milliseconds(), strconv.Itoa(len(r.body)))
	if r.object != "" {
		head.Truncate(head.Len() - len("\r\n"))
		fmt.Fprintf(&head, "%s: %s\r\n\r\n", h.AffinityKey, r.object)
	}
	if r.pace == 0 {
		_, err := conn.Write(append(head.Bytes(), r.body...))
		return err
	}
	if _, err := conn.Write(head.Bytes()); err != nil {
		return err
	}
	const parts = 50
	begun := time.Now()
	for i := range parts {
		if _, err := conn.Write(r.body[i*len(r.body)/parts : (i+1)*len(r.body)/parts]); err != nil {
			return err
		}
		time.Sleep(time.Until(begun.Add(r.pace * time.Duration(i+1) / parts)))
	}
	return nil
}

// drop closes the connection.
func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
