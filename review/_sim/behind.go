package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { plays["behind"] = behind }

// behind has clients pipeline a request, one with a long answer behind it, and three with short
// answers behind that. With the trouble two of five backends of the first one's service are slow.
func behind(w *world) (bool, error) {
	const (
		clients  = 30
		behind   = 3
		work     = 310 * time.Millisecond
		slowBy   = 12
		slowFor  = 9 * time.Second
		deadline = 8 * time.Second
	)
	w.store.put("config", "main", config("r7", []route{
		{name: "r-first", kind: "idempotent", prefix: "/first/", service: "desk", timeout: "4000ms", target: "1000ms"},
		{name: "r-archive", kind: "idempotent", prefix: "/archive/", service: "archive", timeout: "4000ms", target: "1000ms"},
	}, []string{"desk", "archive"}, nil), nil)
	// The slow backends are slow from slowSince on.
	var mu sync.Mutex
	var slowSince time.Time
	isSlow := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !slowSince.IsZero() && time.Since(slowSince) < slowFor
	}
	for i := range 5 {
		if err := w.backend(fmt.Sprintf("i-desk%d", i), "desk", func(path string) job {
			switch {
			case path == "/first/short":
				return job{work: 5 * time.Millisecond, bytes: 400}
			case i < 2 && isSlow():
				return job{work: slowBy * work, bytes: 1500}
			}
			return job{work: work, bytes: 1500}
		}); err != nil {
			return false, err
		}
		if err := w.backend(fmt.Sprintf("i-archive%d", i), "archive", func(path string) job {
			if path == "/archive/long" {
				return job{work: 200 * time.Millisecond, bytes: 4 << 20}
			}
			return job{work: 300 * time.Millisecond, bytes: 1500}
		}); err != nil {
			return false, err
		}
	}
	d, err := w.readyDaemon(usualTerms)
	if err != nil {
		return false, err
	}
	if w.trouble {
		mu.Lock()
		slowSince = time.Now()
		mu.Unlock()
		w.record.add("two of five backends of the service desk take %d times as long for %s", slowBy, slowFor)
	}
	var lists [clients][]*call
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
			if !c.keep(newCall("GET", host, "/first/short", deadline)) {
				return
			}
			calls := []*call{newCall("GET", host, "/first/2f", deadline), newCall("GET", host, "/archive/long", deadline)}
			for range behind {
				calls = append(calls, newCall("GET", host, "/archive/2f", deadline))
			}
			if c.send(calls...) != nil {
				return
			}
			for _, k := range calls {
				c.receive(k, 0)
				if k.err != nil {
					break
				}
			}
			lists[i] = calls
		}()
	}
	running.Wait()
	sent, lost, held := 0, 0, 0
	for _, calls := range lists {
		sent += len(calls)
		for _, k := range calls {
			if w.record.runsOf(k.attempt) > 0 && k.status == 0 {
				lost++
				if w.record.wasAnswered(k.attempt) {
					held++
				}
			}
		}
	}
	w.record.add("of %d requests on kept connections, %d were passed on to a sound backend and the machine closed their connection without any byte of an answer; %d of these had been answered whole by their backend", sent, lost, held)
	if sent != clients*(2+behind) {
		return false, errNotRun
	}
	return lost > 3, nil
}
