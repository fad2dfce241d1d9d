package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
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

// startForStop configures a route with a timeout of orderDeadline, and starts a backend and a
// daemon. It returns the daemon and its address for clients.
func (d *deployment) startForStop(id string, serve func(net.Listener)) (*vm, string, error) {
	err := d.configure(map[string]any{
		"version": "r1",
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"listeners": []any{map[string]any{"hostname": "shop.example", "ruleSet": []any{map[string]any{
			"name": "orders", "kind": "non_idempotent", "targetLatency": "300ms", "priority": 1,
			"match":  map[string]any{"pathPrefix": "/orders/"},
			"action": map[string]any{"service": "desk", "timeout": orderDeadline.String(), "maxAttempts": 2, "allowedRegions": []string{}},
		}}}},
		"clusters": []any{map[string]any{"name": "desk", "healthCheckPath": "/healthz", "maxConnections": 330, "coldStart": "0s", "coldPerS": 1000}},
	})
	if err != nil {
		return nil, "", err
	}
	l, err := net.Listen("tcp", net.JoinHostPort(d.host, "0"))
	if err != nil {
		return nil, "", err
	}
	d.closers = append(d.closers, func() { _ = l.Close() })
	go serve(l)
	err = d.store.Write(platform.UpstreamKind, id, map[string]any{
		"address": l.Addr().String(), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": "desk", "zone": d.places[0].zone, "version": "v1", "slots": stallSlots},
		"status": map[string]any{"state": "ready", "sequence": 1, "coldLeft": "0ms"},
	})
	if err != nil {
		return nil, "", err
	}
	var seeds []string
	v, err := d.addVM("edge-ctx-fbg-1", d.places[0], &seeds)
	if err != nil {
		return nil, "", err
	}
	if err := d.waitReady(); err != nil {
		return nil, "", err
	}
	addresses, err := v.resolve("shop.example")
	if err != nil || len(addresses) == 0 {
		return nil, "", fmt.Errorf("the directory names no address: %w", err)
	}
	return v, addresses[0], nil
}

// judgeStop counts the requests that the daemon broke off after the signal although their
// backend was at work and their deadline was not near.
func judgeStop(r *record, results []result, stopped time.Time, trouble bool, began func(string) (time.Time, bool)) bool {
	ended := make(map[string]int)
	cut := 0
	for _, res := range results {
		ended[fmt.Sprintf("%s %d", res.how, res.status)]++
		at, atWork := began(res.attempt)
		left := res.sentAt.Add(orderDeadline).Sub(res.endedAt)
		if !trouble || !atWork || res.how == endedAnswered || res.signed || left < 100*time.Millisecond || res.endedAt.Before(stopped) {
			continue
		}
		cut++
		r.note("lost: the backend was at work on %s for %d ms when the client got %s %d, %.1f s after the signal and %.1f s before its deadline",
			res.attempt, res.endedAt.Sub(at).Milliseconds(), res.how, res.status, res.endedAt.Sub(stopped).Seconds(), left.Seconds())
	}
	r.say("requests ended: %v", ended)
	r.say("requests in a planned stop that the daemon broke off while the backend was at work: %d; allowed are none", cut)
	return cut == 0
}

// sendOrders sends orders before and after the signal to stop, and returns their results and
// the time of the signal.
func sendOrders(r *record, v *vm, address string, body []byte, trouble bool) ([]result, time.Time) {
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	send := func(name string, wait time.Duration) {
		c := &caller{name: name, host: "shop.example", record: r, address: func() string { return address }}
		clients.Go(func() {
			defer c.drop()
			if res := c.do(call{method: "POST", path: "/orders/0", deadline: orderDeadline}); res.how != endedAnswered {
				r.say("the first request of %s failed", name)
			}
			time.Sleep(wait)
			res := c.do(call{method: "POST", path: "/orders/1", body: body, deadline: orderDeadline})
			mu.Lock()
			defer mu.Unlock()
			results = append(results, res)
		})
	}
	const untilSignal = 2 * time.Second
	for i := range stallClients {
		send(fmt.Sprintf("before%d", i), untilSignal-sentBefore)
		send(fmt.Sprintf("after%d", i), untilSignal+sentAfter)
	}
	time.Sleep(untilSignal)
	stopped := time.Now()
	if trouble {
		v.signal(syscall.SIGTERM)
	}
	clients.Wait()
	return results, stopped
}
