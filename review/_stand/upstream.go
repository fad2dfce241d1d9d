package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/waxwingloom/waxwingloom/platform"
)

type (
	// upstream is a sound backend: it runs slots requests at once, queues some more, and
	// refuses the rest as not run.
	upstream struct {
		id     string
		slots  int
		queue  int
		work   time.Duration
		record *record
		sem    chan struct{}

		mu      sync.Mutex
		waiting int
		// arrived and ran hold the attempts that reached the backend and that it began to run.
		arrived map[string]time.Time
		ran     map[string]int
		cut     map[string]bool
	}
)

func newUpstream(r *record, id string, slots int, work time.Duration) *upstream {
	return &upstream{
		id: id, slots: slots, queue: 3 * slots, work: work, record: r, sem: make(chan struct{}, slots),
		arrived: make(map[string]time.Time), ran: make(map[string]int), cut: make(map[string]bool),
	}
}

// addUpstream starts a backend and registers it in the store.
func (d *deployment) addUpstream(u *upstream, service, zone string) error {
	address, err := d.serve(u)
	if err != nil {
		return err
	}
	return d.store.Write(platform.UpstreamKind, u.id, map[string]any{
		"address": address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": service, "zone": zone, "version": "v1", "slots": u.slots},
		"status": map[string]any{"state": "ready", "sequence": 1, "coldLeft": "0ms"},
	})
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := platform.Headers()
	attempt := r.Header.Get(h.AttemptID)
	if expected := r.Header.Get(h.ExpectedUpstream); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	u.arrived[attempt] = time.Now()
	full := u.waiting >= u.slots+u.queue
	if !full {
		u.waiting++
	}
	u.mu.Unlock()
	u.record.note("backend %s: request %s arrives", u.id, attempt)
	w.Header().Set(h.AttemptID, attempt)
	if full {
		w.Header().Set(h.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.waiting--
	}()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		u.record.note("backend %s: body of %s broke off", u.id, attempt)
		return
	}
	deadline := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(h.RemainingMs)); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	end := time.After(deadline)
	select {
	case u.sem <- struct{}{}:
	case <-end:
		w.Header().Set(h.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.sem }()
	u.mu.Lock()
	u.ran[attempt]++
	u.mu.Unlock()
	u.record.note("backend %s: runs %s, %d bytes", u.id, attempt, size)
	select {
	case <-time.After(u.work):
	case <-end:
		w.Header().Set(h.Signature, "504."+attempt)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		u.mu.Lock()
		u.cut[attempt] = true
		u.mu.Unlock()
		u.record.note("backend %s: connection of %s ended while it ran", u.id, attempt)
		return
	}
	w.Header().Set(h.Load, fmt.Sprintf("%d,%d,%d", len(u.sem), 0, u.slots))
	w.Header().Set(h.Signature, "200."+attempt)
	_, _ = fmt.Fprintf(w, "done %s", attempt)
}

// hasRun reports whether the backend began to run an attempt.
func (u *upstream) hasRun(attempt string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[attempt] > 0
}
