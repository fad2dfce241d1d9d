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
	// scanBytes is the size of an upload; the configuration's maxBodyBytes is 64 MiB.
	scanBytes = 4 << 20
	// scanDeadline is how long clients wait, and the timeout of the route.
	scanDeadline = 4 * time.Second
	// scanClients upload at the same time, scansPerClient bodies each.
	scanClients    = 6
	scansPerClient = 150
	// answerBytes is the size of a backend's answer.
	answerBytes = 4096
	// unframedUpstreams is the number of backends. spoiledUpstreams of them, a share of 0.5,
	// break off one in breakOffEvery of their answers, which is x = 0.05.
	unframedUpstreams = 4
	spoiledUpstreams  = 2
	breakOffEvery     = 20
	// spoiledTime is how long that lasts, from a backend's first answer.
	spoiledTime = 5 * time.Second
	// answerDelay is how long a backend works before it answers.
	answerDelay = 20 * time.Millisecond
)

// unframedUpstream is a backend whose answers have no length and end with their connection.
// It answers before it has read a long body. If it is spoiled, it resets the connection in
// the middle of some answers.
type unframedUpstream struct {
	id      string
	spoiled bool
	record  *record

	mu      sync.Mutex
	first   time.Time
	answers int
	broken  int
}

// breaksOff counts an answer and reports whether it is to be broken off.
func (u *unframedUpstream) breaksOff() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.answers == 0 {
		u.first = time.Now()
	}
	u.answers++
	if !u.spoiled || u.answers%breakOffEvery != 0 || time.Since(u.first) > spoiledTime {
		return false
	}
	u.broken++
	return true
}

func (u *unframedUpstream) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go u.handle(conn.(*net.TCPConn))
	}
}

func (u *unframedUpstream) handle(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	h := platform.Headers()
	attempt := r.Header.Get(h.AttemptID)
	body := strings.Repeat("0123456789abcdef", answerBytes/16)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 200.%s.%d\r\nConnection: close\r\n\r\n", h.AttemptID, attempt, h.Signature, attempt, answerBytes)
	u.record.note("backend %s: runs %s", u.id, attempt)
	time.Sleep(answerDelay)
	if u.breaksOff() {
		half := answerBytes / 2
		_, _ = conn.Write([]byte(head + body[:half]))
		time.Sleep(answerDelay)
		u.record.note("backend %s: resets the connection after %d of %d bytes of the answer to %s", u.id, half, answerBytes, attempt)
		_ = conn.SetLinger(0)
		return
	}
	if _, err := conn.Write([]byte(head + body)); err != nil {
		return
	}
	u.record.note("backend %s: sent the whole answer to %s, reads the rest of the request", u.id, attempt)
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, reader)
}

// playUnframed sends long requests to a backend that answers early, without a length, and
// checks that no client gets a part of an answer as a whole one.
func playUnframed(r *record, trouble bool) (bool, error) {
	places := []location{{"ctx-fbg", "central-tx"}}
	d, err := newDeployment(r, places)
	if err != nil {
		return false, err
	}
	defer d.close()
	var upstreams []*unframedUpstream
	var backends []func(net.Listener)
	for i := range unframedUpstreams {
		u := &unframedUpstream{id: fmt.Sprintf("i-%d", i), spoiled: trouble && i < spoiledUpstreams, record: r}
		upstreams = append(upstreams, u)
		backends = append(backends, u.serve)
	}
	address, err := d.startScans(backends)
	if err != nil {
		return false, err
	}
	results := uploadScans(r, address, scanClients, scansPerClient)
	broken := 0
	for _, u := range upstreams {
		u.mu.Lock()
		broken += u.broken
		u.mu.Unlock()
	}
	r.say("answers that backends broke off: %d", broken)
	return judgeWhole(r, results), nil
}

// judgeWhole counts the successes whose body is not the backend's whole body.
func judgeWhole(r *record, results []result) bool {
	ended := make(map[string]int)
	mixed := 0
	for _, res := range results {
		ended[fmt.Sprintf("%s %d", res.how, res.status)]++
		if res.how == endedAnswered && len(res.body) != answerBytes {
			mixed++
			r.note("mixed: the client of %s got 200 with a complete body of %d bytes; the backend's answer has %d", res.attempt, len(res.body), answerBytes)
		}
	}
	r.say("requests ended: %v", ended)
	r.say("successes with a body that is not the backend's whole body: %d; allowed are none", mixed)
	return mixed == 0
}

// startScans configures a route for long requests, and starts backends and a daemon. It
// returns the daemon's address for clients.
func (d *deployment) startScans(backends []func(net.Listener)) (string, error) {
	err := d.configure(map[string]any{
		"version": "r1",
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"listeners": []any{map[string]any{"hostname": "shop.example", "ruleSet": []any{map[string]any{
			"name": "scans", "kind": "non_idempotent", "targetLatency": "300ms", "priority": 1, "sessionAffinity": true,
			"match":  map[string]any{"pathPrefix": "/scans/"},
			"action": map[string]any{"service": "desk", "timeout": scanDeadline.String(), "maxAttempts": 2, "allowedRegions": []string{}},
		}}}},
		"clusters": []any{map[string]any{"name": "desk", "healthCheckPath": "/healthz", "maxConnections": 330, "coldStart": "0s", "coldPerS": 1000}},
	})
	if err != nil {
		return "", err
	}
	zone := d.places[0].zone
	for i, serve := range backends {
		l, err := net.Listen("tcp", net.JoinHostPort(d.host, "0"))
		if err != nil {
			return "", err
		}
		d.closers = append(d.closers, func() { _ = l.Close() })
		go serve(l)
		err = d.store.Write(platform.UpstreamKind, fmt.Sprintf("i-%d", i), map[string]any{
			"address": l.Addr().String(), "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "desk", "zone": zone, "version": "v1", "slots": 6},
			"status": map[string]any{"state": "ready", "sequence": 1, "coldLeft": "0ms"},
		})
		if err != nil {
			return "", err
		}
	}
	var seeds []string
	v, err := d.addVM("edge-"+zone+"-1", d.places[0], &seeds)
	if err != nil {
		return "", err
	}
	if err := d.waitReady(); err != nil {
		return "", err
	}
	addresses, err := v.resolve("shop.example")
	if err != nil || len(addresses) == 0 {
		return "", fmt.Errorf("the directory names no address: %w", err)
	}
	return addresses[0], nil
}

// uploadScans runs the clients and returns the results of their requests.
func uploadScans(r *record, address string, n, each int) []result {
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	body := make([]byte, scanBytes)
	for i := range n {
		clients.Go(func() {
			c := &caller{name: fmt.Sprintf("upload%d", i), host: "shop.example", record: r, address: func() string { return address }}
			defer c.drop()
			for k := range each {
				res := c.do(call{method: "PUT", path: "/scans/1", object: fmt.Sprint(k*n + i), body: body, deadline: scanDeadline})
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return results
}
