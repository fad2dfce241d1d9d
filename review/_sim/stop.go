package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["stop"] = stop }

// stop has clients send a request on a kept connection, and three further idempotent ones behind
// it before it is answered. With the trouble the machine has been told to stop shortly before.
func stop(w *world) (bool, error) {
	const (
		clients  = 16
		deadline = 3 * time.Second
		// timeout is the shorter one of the routes' timeouts.
		timeout = 1500 * time.Millisecond
	)
	w.store.put("config", "main", config("r7", []route{
		{name: "r-order", kind: "non_idempotent", prefix: "/order/", service: "dispatchdesk", timeout: "2000ms", target: "600ms"},
		{name: "r-lookup", kind: "idempotent", prefix: "/lookup/", service: "unitlog", timeout: "1500ms", target: "400ms"},
	}, []string{"dispatchdesk", "unitlog"}, nil), nil)
	plan := func(path string) job {
		if path == "/lookup/2f" {
			return job{work: 20 * time.Millisecond, bytes: 400}
		}
		return job{work: 500 * time.Millisecond, bytes: 2 << 20}
	}
	for _, b := range []struct{ id, service string }{{"i-dispatch1", "dispatchdesk"}, {"i-dispatch2", "dispatchdesk"}, {"i-unitlog1", "unitlog"}, {"i-unitlog2", "unitlog"}} {
		if err := w.backend(b.id, b.service, plan); err != nil {
			return false, err
		}
	}
	d, err := w.readyDaemon(usualTerms)
	if err != nil {
		return false, err
	}
	var firsts [clients]*call
	var ready, running sync.WaitGroup
	begin := make(chan struct{})
	for i := range clients {
		running.Add(1)
		ready.Add(1)
		go func() {
			defer running.Done()
			c, err := dial(w.record, d.front)
			kept := err == nil && c.keep(newCall("GET", host, "/lookup/2f", deadline))
			ready.Done()
			if !kept {
				return
			}
			defer c.Close()
			<-begin
			first := newCall("GET", host, "/lookup/long", deadline)
			if i%2 == 0 {
				first = newCall(http.MethodPost, host, "/order/2f", deadline)
				first.body = []byte("a spare part")
			}
			if c.send(first) != nil {
				return
			}
			for range 3 {
				time.Sleep(100 * time.Millisecond)
				if c.send(newCall("GET", host, "/lookup/2f", deadline)) != nil {
					return
				}
			}
			c.receive(first, 0)
			firsts[i] = first
		}()
	}
	ready.Wait()
	if w.trouble {
		w.record.add("SIGTERM to %s", d.name)
		d.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
	}
	close(begin)
	running.Wait()
	sent, cut, orders := 0, 0, 0
	for _, k := range firsts {
		if k == nil {
			continue
		}
		sent++
		if w.record.wasAnswered(k.attempt) && k.err != nil && k.took < timeout {
			cut++
			if k.method == http.MethodPost {
				orders++
			}
		}
	}
	w.record.add("of %d requests on kept connections, %d were passed on to a backend that answered them whole, and their connection ended without a complete answer before their deadline and the route's timeout; %d of these were orders, which may run once only", sent, cut, orders)
	if sent != clients {
		return false, errNotRun
	}
	return cut > 0, nil
}
