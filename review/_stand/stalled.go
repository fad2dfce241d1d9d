package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/waxwingloom/waxwingloom/platform"
)

const (
	// orderBytes is the size of an order with its drawings; maxBodyBytes is 64 MiB.
	orderBytes = 4 << 20
	// stallTime is how long a backend works on the first part of a body before it reads on.
	stallTime = 2600 * time.Millisecond
	// orderDeadline is how long clients wait, and the timeout of the route. The requests end
	// before the last sixth of the grace period.
	orderDeadline = 4 * time.Second
	// stallClients send one order each before the signal, and one after it.
	stallClients = 4
	// sentBefore and sentAfter are the times between the orders and the signal.
	sentBefore = 500 * time.Millisecond
	sentAfter  = 100 * time.Millisecond
	stallSlots = 16
)

// stallingUpstream is a backend that works on the first part of a body before it reads the
// rest, and then answers.
type stallingUpstream struct {
	id     string
	record *record

	mu sync.Mutex
	// began is when the backend began to work on an attempt, broken when the connection ended
	// before the backend had the whole body.
	began  map[string]time.Time
	broken map[string]time.Time
}

func (u *stallingUpstream) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go u.handle(conn)
	}
}

func (u *stallingUpstream) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		h := platform.Headers()
		attempt := r.Header.Get(h.AttemptID)
		u.mu.Lock()
		u.began[attempt] = time.Now()
		u.mu.Unlock()
		u.record.note("backend %s: begins to work on %s", u.id, attempt)
		if r.ContentLength > 0 {
			_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
			time.Sleep(stallTime)
		}
		if n, err := io.Copy(io.Discard, r.Body); err != nil {
			u.mu.Lock()
			u.broken[attempt] = time.Now()
			u.mu.Unlock()
			u.record.note("backend %s: the connection of %s ended after %d further bytes of the body: %v", u.id, attempt, n, err)
			return
		}
		u.record.note("backend %s: answers %s", u.id, attempt)
		body := "done " + attempt
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 200.%s\r\nContent-Length: %d\r\n\r\n%s", h.AttemptID, attempt, h.Signature, attempt, len(body), body)
		if err != nil {
			return
		}
	}
}

// playStalled stops a daemon as planned while a backend works on requests of which it has
// read only a part, and checks that the daemon breaks off none of them.
func playStalled(r *record, trouble bool) (bool, error) {
	places := []location{{"ctx-fbg", "central-tx"}}
	d, err := newDeployment(r, places)
	if err != nil {
		return false, err
	}
	defer d.close()
	u := &stallingUpstream{id: "i-1", record: r, began: make(map[string]time.Time), broken: make(map[string]time.Time)}
	v, address, err := d.startForStop(u.id, u.serve)
	if err != nil {
		return false, err
	}
	results, stopped := sendOrders(r, v, address, make([]byte, orderBytes), trouble)
	began := func(attempt string) (time.Time, bool) {
		u.mu.Lock()
		defer u.mu.Unlock()
		at, ok := u.began[attempt]
		return at, ok
	}
	return judgeStop(r, results, stopped, trouble, began), nil
}
