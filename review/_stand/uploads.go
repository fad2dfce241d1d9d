package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// machineMemoryKB is the memory of a machine on the page of the sites, in MiB where the
	// page says MB.
	machineMemoryKB = 284 << 10
	// uploadBytes is a thirteenth of the configuration's maxBodyBytes.
	uploadBytes = 5 << 20
	// uploadPace is how long a client takes to send a body; headerTimeout is 3 s. The uploads
	// of a burst take 0.6 of the machine's 1,000 Mbit/s.
	uploadPace = 2700 * time.Millisecond
	// uploaders is the usual number of clients that upload at the same time, and
	// burstUploaders that in a burst of x = 1.9.
	uploaders      = 20
	burstUploaders = 38
	// uploadPeriod is the time between two rounds of uploads.
	uploadPeriod = 6 * time.Second
	uploadRounds = 3
	// orderClients send small orders one after the other.
	orderClients = 16
	// maxLost is how many requests the rule allows.
	maxLost = 3
)

// playUploads lets clients upload bodies within the limits, at the same time as others send
// small orders, and checks that no more than three requests from kept connections that
// reached a sound backend end without an answer.
func playUploads(r *record, trouble bool) (bool, error) {
	places := []location{{"ctx-fbg", "central-tx"}, {"etx-nac", "east-tx"}}
	d, err := newDeployment(r, places)
	if err != nil {
		return false, err
	}
	defer d.close()
	rule := func(name, prefix, timeout string) map[string]any {
		return map[string]any{
			"name": name, "kind": "non_idempotent", "targetLatency": "300ms", "priority": 1,
			"match":  map[string]any{"pathPrefix": prefix},
			"action": map[string]any{"service": "desk", "timeout": timeout, "maxAttempts": 2, "allowedRegions": []string{}},
		}
	}
	err = d.configure(map[string]any{
		"version": "r1",
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"listeners": []any{map[string]any{"hostname": "shop.example", "ruleSet": []any{
			rule("orders", "/orders/", "2500ms"), rule("scans", "/scans/", "8000ms"),
		}}},
		"clusters": []any{map[string]any{"name": "desk", "healthCheckPath": "/healthz", "maxConnections": 330, "coldStart": "0s", "coldPerS": 1000}},
	})
	if err != nil {
		return false, err
	}
	var upstreams []*upstream
	for i := range 16 {
		u := newUpstream(r, fmt.Sprintf("i-%d", i), 6, 250*time.Millisecond)
		upstreams = append(upstreams, u)
		if err := d.addUpstream(u, "desk", places[i%2].zone); err != nil {
			return false, err
		}
	}
	var seeds []string
	for i, p := range places {
		if _, err := d.addVM(fmt.Sprintf("edge-%s-%d", p.zone, i), p, &seeds); err != nil {
			return false, err
		}
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watching sync.WaitGroup
	watching.Go(func() { d.enforceMemory(ctx, machineMemoryKB) })
	first := d.vms[0]
	addresses, err := first.resolve("shop.example")
	if err != nil || len(addresses) == 0 {
		return false, fmt.Errorf("the directory names no address: %w", err)
	}
	r.note("directory: %v", addresses)
	results := runUploads(ctx, r, addresses[0], trouble)
	cancel()
	watching.Wait()
	return judgeUploads(r, d, upstreams, results), nil
}

// runUploads runs the clients and returns the results of their requests.
func runUploads(ctx context.Context, r *record, address string, trouble bool) []result {
	var mu sync.Mutex
	var results []result
	add := func(res result) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, res)
	}
	newCaller := func(kind string, i int) *caller {
		return &caller{name: fmt.Sprintf("%s%d", kind, i), host: "shop.example", record: r, address: func() string { return address }}
	}
	ordersCtx, stopOrders := context.WithCancel(ctx)
	var orders, uploads sync.WaitGroup
	for i := range orderClients {
		orders.Go(func() {
			c := newCaller("order", i)
			defer c.drop()
			for ordersCtx.Err() == nil {
				res := c.do(call{method: "POST", path: "/orders/1", body: make([]byte, 1200), deadline: 2500 * time.Millisecond})
				add(res)
				if res.how != endedAnswered {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	body := make([]byte, uploadBytes)
	callers := make([]*caller, burstUploaders)
	for i := range callers {
		callers[i] = newCaller("upload", i)
	}
	for round := range uploadRounds {
		begun := time.Now()
		n := uploaders
		if trouble && round == 1 {
			n = burstUploaders
			r.say("burst: %d clients upload at once instead of %d", n, uploaders)
		}
		for _, c := range callers[:n] {
			uploads.Go(func() {
				add(c.do(call{method: "PUT", path: "/scans/1", body: body, pace: uploadPace, deadline: 8 * time.Second}))
			})
		}
		uploads.Wait()
		time.Sleep(time.Until(begun.Add(uploadPeriod)))
	}
	for _, c := range callers {
		c.drop()
	}
	stopOrders()
	orders.Wait()
	return results
}

// judgeUploads counts the requests that were lost.
func judgeUploads(r *record, d *deployment, upstreams []*upstream, results []result) bool {
	ended := make(map[string]int)
	lost := 0
	for _, res := range results {
		ended[fmt.Sprintf("%s %d", res.how, res.status)]++
		if res.how != endedCut || !res.kept {
			continue
		}
		for _, u := range upstreams {
			if u.hasRun(res.attempt) {
				lost++
				r.note("lost: %s was run by backend %s; its kept connection ended without an answer (%s)", res.attempt, u.id, res.reason)
			}
		}
	}
	r.say("requests ended: %v", ended)
	for _, v := range d.vms {
		r.say("%s: most memory %d MiB of %d MiB", v.name, v.peakKB>>10, machineMemoryKB>>10)
	}
	r.say("requests from kept connections that a sound backend ran, and whose connection was closed without an answer: %d; allowed are %d", lost, maxLost)
	return lost <= maxLost
}
