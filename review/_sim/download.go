package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["download"] = download }

// download has clients fetch a long answer after the settings file has changed. With the trouble
// they read it slowly, so that it takes over ten seconds, but less than their deadline.
func download(w *world) (bool, error) {
	const (
		clients   = 4
		deadline  = 12 * time.Second
		bytes     = 46 << 20
		bytesPerS = 4 << 20
	)
	w.store.put("config", "main", config("r7", []route{
		{name: "r-archive", kind: "idempotent", prefix: "/archive/", service: "archivaris", timeout: "12000ms", target: "3000ms"},
	}, []string{"archivaris"}, nil), nil)
	for i := range 3 {
		if err := w.backend(fmt.Sprintf("i-archive%d", i), "archivaris", func(path string) job {
			if path == "/archive/long" {
				return job{work: 100 * time.Millisecond, bytes: bytes}
			}
			return job{work: 5 * time.Millisecond, bytes: 400}
		}); err != nil {
			return false, err
		}
	}
	d, err := w.readyDaemon(usualTerms)
	if err != nil {
		return false, err
	}
	text, err := os.ReadFile(d.settings)
	if err != nil {
		return false, err
	}
	changed := strings.Replace(string(text), "seeds = "+d.peers, "seeds = "+d.peers+","+freeAddress(), 1)
	if err := os.WriteFile(d.settings, []byte(changed), 0o600); err != nil {
		return false, err
	}
	w.record.add("SIGHUP to %s: the settings file has another seed", d.name)
	d.signal(syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	rate := 0
	if w.trouble {
		rate = bytesPerS
		w.record.add("clients read %d bytes a second", rate)
	}
	var calls [clients]*call
	var running sync.WaitGroup
	for i := range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			c, err := dial(w.record, d.front)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			if !c.keep(newCall("GET", host, "/archive/2f", deadline)) {
				return
			}
			k := newCall("GET", host, "/archive/long", deadline)
			if c.send(k) != nil {
				return
			}
			c.receive(k, rate)
			calls[i] = k
		}()
	}
	running.Wait()
	sent, cut := 0, 0
	for _, k := range calls {
		if k == nil {
			continue
		}
		sent++
		if w.record.runsOf(k.attempt) > 0 && k.err != nil && k.took < deadline {
			cut++
		}
	}
	w.record.add("of %d requests, %d were passed on to a backend, and their connection ended without a complete answer before their deadline and the route's timeout", sent, cut)
	if sent != clients {
		return false, errNotRun
	}
	return cut > 0, nil
}
