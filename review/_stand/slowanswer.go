package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/waxwingloom/waxwingloom/platform"
)

const (
	// answerParts is the number of parts in which a backend sends its answer.
	answerParts = 16
	// answerTime is how long a backend takes to send an answer, slowFactor how many times as
	// long a slow one takes.
	answerTime = 500 * time.Millisecond
	slowFactor = 5
	// slowTime is how long that lasts, from a backend's first request.
	slowTime = 9 * time.Second
	// slowAnswerUpstreams is the number of backends; slowUpstreams of them, a share of 0.375,
	// turn slow.
	slowAnswerUpstreams = 8
	slowUpstreams       = 3
	// slowAnswerClients send ordersPerClient requests each.
	slowAnswerClients = 8
	ordersPerClient   = 3
)

// slowAnswerUpstream is a sound backend whose answers have no length. It begins to answer
// before it has read a long body, and reads on when it has answered.
type slowAnswerUpstream struct {
	id     string
	factor int
	record *record

	mu    sync.Mutex
	first time.Time
}

// partTime returns how long the backend takes to send a part of an answer.
func (u *slowAnswerUpstream) partTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.first.IsZero() {
		u.first = time.Now()
	}
	if time.Since(u.first) > slowTime {
		return answerTime / answerParts
	}
	return time.Duration(u.factor) * answerTime / answerParts
}

func (u *slowAnswerUpstream) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go u.handle(conn.(*net.TCPConn))
	}
}

func (u *slowAnswerUpstream) handle(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	h := platform.Headers()
	attempt := r.Header.Get(h.AttemptID)
	u.record.note("backend %s: runs %s and begins to answer", u.id, attempt)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 200.%s.%d\r\nConnection: close\r\n\r\n", h.AttemptID, attempt, h.Signature, attempt, answerBytes)
	part := strings.Repeat("0123456789abcdef", answerBytes/answerParts/16)
	for i := 0; i < answerParts && err == nil; i++ {
		time.Sleep(u.partTime())
		if _, err = io.WriteString(conn, part); err != nil {
			u.record.note("backend %s: the connection of %s ended after %d of %d bytes of the answer: %v", u.id, attempt, i*len(part), answerBytes, err)
		}
	}
	if err != nil {
		return
	}
	u.record.note("backend %s: sent the whole answer to %s, reads the rest of the request", u.id, attempt)
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, reader)
}

// playSlowAnswer sends long requests while some backends are slow, and checks that no client
// gets a part of an answer as a whole one.
func playSlowAnswer(r *record, trouble bool) (bool, error) {
	places := []location{{"ctx-fbg", "central-tx"}}
	d, err := newDeployment(r, places)
	if err != nil {
		return false, err
	}
	defer d.close()
	var backends []func(net.Listener)
	for i := range slowAnswerUpstreams {
		u := &slowAnswerUpstream{id: fmt.Sprintf("i-%d", i), factor: 1, record: r}
		if trouble && i < slowUpstreams {
			u.factor = slowFactor
		}
		backends = append(backends, u.serve)
	}
	address, err := d.startScans(backends)
	if err != nil {
		return false, err
	}
	return judgeWhole(r, uploadScans(r, address, slowAnswerClients, ordersPerClient)), nil
}
