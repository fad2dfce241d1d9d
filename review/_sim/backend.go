package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt   = "X-Waxwingloom-Attempt-Id"
	headerRemaining = "X-Waxwingloom-Deadline-Remaining-Ms"
	headerSignature = "X-Waxwingloom-Response-Signature"
	headerExpect    = "X-Waxwingloom-Expect-Instance"
	headerNotRun    = "X-Waxwingloom-Not-Executed"
	headerLoad      = "X-Waxwingloom-Server-Load"
	headerInstance  = "X-Waxwingloom-Instance-Id"

	beatInterval = 1500 * time.Millisecond
	slots        = 32
	// unreadTimeout is after how long a backend cuts off an answer that stays unread.
	unreadTimeout = 3 * time.Second
	sendBuffer    = 64 << 10
)

type (
	// job is what a backend does for a request.
	job struct {
		work time.Duration
		// bytes is the length of the answer.
		bytes int
		// breakAt is how much of the answer is sent before it breaks off, 0 for all.
		breakAt int
	}

	// backend is a stand-in of a backend, as PROTOCOL describes it.
	backend struct {
		id, service, zone, address string
		born                       int64
		plan                       func(r *http.Request) job
		record                     *record
		running                    atomic.Int64
		stop                       chan struct{}
		stopped                    sync.WaitGroup
		listener                   net.Listener
	}
)

func startBackend(s *store, rec *record, id, service, zone string, plan func(r *http.Request) job) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: service, zone: zone, address: ln.Addr().String(), born: time.Now().UnixMilli(),
		plan: plan, record: rec, stop: make(chan struct{}), listener: ln,
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c.(*net.TCPConn))
		}
	}()
	b.beat(s, 1)
	go func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for n := 2; ; n++ {
			select {
			case <-b.stop:
				return
			case <-ticker.C:
				b.beat(s, n)
			}
		}
	}()
	return b, nil
}

func (b *backend) beat(s *store, n int) {
	s.put("servers", b.id,
		map[string]any{"address": b.address, "born": b.born, "info": map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": slots}},
		map[string]any{"state": "ready", "sequence": n, "coldLeft": "0ms"})
}

func (b *backend) serve(c *net.TCPConn) {
	defer c.Close()
	_ = c.SetWriteBuffer(sendBuffer)
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !b.answer(c, r, body) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection stays open.
func (b *backend) answer(c *net.TCPConn, r *http.Request, body []byte) bool {
	attempt := r.Header.Get(headerAttempt)
	switch {
	case r.URL.Path == "/healthz":
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, b.id)
		return err == nil
	case r.Header.Get(headerExpect) != "" && r.Header.Get(headerExpect) != b.id:
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: 1\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerNotRun, headerInstance, b.id, headerAttempt, attempt)
		return err == nil
	case attempt == "":
		_, err := fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotRun)
		return err == nil
	}
	running := b.running.Add(1)
	defer b.running.Add(-1)
	b.record.add("backend %s runs %s: %s %s, %d bytes, tenant %q", b.id, attempt, r.Method, r.URL.Path, len(body), r.Header.Get("X-Waxwingloom-Tenant"))
	b.record.ran(attempt)
	j := b.plan(r)
	time.Sleep(j.work)
	whole := answerBody(attempt, j.bytes)
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n",
		headerAttempt, attempt, headerSignature, signatureOf(whole), headerLoad, running, slots, len(whole))
	out := append(head.Bytes(), whole...)
	if j.breakAt > 0 {
		out = out[:head.Len()+j.breakAt]
	}
	begun := time.Now()
	for len(out) > 0 {
		n := min(len(out), 16<<10)
		_ = c.SetWriteDeadline(time.Now().Add(unreadTimeout))
		written, err := c.Write(out[:n])
		out = out[written:]
		if err != nil {
			b.record.add("backend %s cuts the answer to %s off after %s, %d bytes unread: %v", b.id, attempt, time.Since(begun).Round(time.Millisecond), len(out), shortError(err))
			return false
		}
	}
	if j.breakAt > 0 {
		b.record.add("backend %s breaks the answer to %s off after %d of %d bytes", b.id, attempt, j.breakAt, len(whole))
		return false
	}
	b.record.add("backend %s has sent its whole answer to %s, %d bytes", b.id, attempt, len(whole))
	b.record.answered(attempt)
	return true
}

func (b *backend) close() {
	close(b.stop)
	_ = b.listener.Close()
}

// answerBody returns the body of the answer to an attempt. It differs for each of them.
func answerBody(attempt string, n int) []byte {
	text := attempt + "/"
	return []byte(strings.Repeat(text, n/len(text)+1)[:n])
}

func signatureOf(body []byte) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16) + "." + strconv.Itoa(len(body))
}

func shortError(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}
