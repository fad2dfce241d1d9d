package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["broken"] = broken }

// broken has clients pipeline a request with a long answer, and four with short answers behind
// it. With the trouble two of four backends break off one in twenty of their long answers.
func broken(w *world) (bool, error) {
	const (
		clients  = 10
		rounds   = 40
		behind   = 4
		deadline = 8 * time.Second
		oneIn    = 20
	)
	w.store.put("config", "main", config("r7", []route{
		{name: "r-archive", kind: "idempotent", prefix: "/archive/", service: "archive", timeout: "4000ms", target: "1000ms"},
		{name: "r-lookup", kind: "idempotent", prefix: "/lookup/", service: "unitlog", timeout: "4000ms", target: "1000ms"},
	}, []string{"archive", "unitlog"}, nil), nil)
	var answers atomic.Int64
	for i := range 4 {
		if err := w.backend(fmt.Sprintf("i-archive%d", i), "archive", func(string) job {
			j := job{work: 20 * time.Millisecond, bytes: 1 << 20}
			if w.trouble && i < 2 && answers.Add(1)%oneIn == 0 {
				j.breakAt = j.bytes / 4 * 3
			}
			return j
		}); err != nil {
			return false, err
		}
		if err := w.backend(fmt.Sprintf("i-unitlog%d", i), "unitlog", func(string) job { return job{work: 250 * time.Millisecond, bytes: 1500} }); err != nil {
			return false, err
		}
	}
	d, err := w.readyDaemon(usualTerms)
	if err != nil {
		return false, err
	}
	var sent, lost atomic.Int64
	var running sync.WaitGroup
	for range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			for range rounds {
				c, err := dial(w.record, d.front)
				if err != nil {
					return
				}
				if !c.keep(newCall("GET", host, "/lookup/2f", deadline)) {
					_ = c.Close()
					return
				}
				calls := []*call{newCall("GET", host, "/archive/long", deadline)}
				for range behind {
					calls = append(calls, newCall("GET", host, "/lookup/2f", deadline))
				}
				if c.send(calls...) != nil {
					_ = c.Close()
					return
				}
				for _, k := range calls {
					c.receive(k, 0)
					if k.err != nil {
						break
					}
				}
				_ = c.Close()
				sent.Add(int64(len(calls)))
				for _, k := range calls[1:] {
					if w.record.runsOf(k.attempt) > 0 && k.status == 0 {
						lost.Add(1)
					}
				}
			}
		}()
	}
	running.Wait()
	w.record.add("of %d requests on kept connections, %d were passed on to a sound backend and the machine closed their connection without any byte of an answer", sent.Load(), lost.Load())
	if sent.Load() < clients*rounds {
		return false, errNotRun
	}
	return lost.Load() > 3, nil
}
