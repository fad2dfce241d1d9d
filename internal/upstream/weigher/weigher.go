// Package weigher decides whether another request may be put on an upstream, by the bytes of
// the requests in progress there. It answers the load of many large requests at once: an
// upstream ends when the requests that it holds exceed its memory, and limits on their number
// don't prevent that.
//
// # Usage
//
//	w := weigher.New(256 << 20)
//	if w.Take(target, bytes) {
//		defer w.Give(target, bytes)
//	}
package weigher

import (
	"sync"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

type (
	// Weigher keeps the bytes of the requests that this VM has put on each upstream. It is
	// safe for concurrent use.
	Weigher struct {
		limit int64

		mu      sync.Mutex
		held    map[process]int64
		refused int64
	}

	// process is one run of an upstream's process. The rest of a target changes while its
	// requests are in progress.
	process struct {
		upstream  namer.Upstream
		startedMs int64
	}
)

// New returns a weigher for a limit in bytes for each upstream, 0 for none.
func New(limit int64) *Weigher {
	return &Weigher{limit: limit, held: make(map[process]int64)}
}

// Take adds a request to an upstream, and reports whether it may be put there. An upstream
// without requests takes one of any size.
func (w *Weigher) Take(t cataloger.Target, bytes int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := processOf(t)
	held := w.held[p]
	if w.limit > 0 && held > 0 && held+bytes > w.limit {
		w.refused++
		return false
	}
	w.held[p] = held + bytes
	return true
}

// Give removes a request that Take has added.
func (w *Weigher) Give(t cataloger.Target, bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := processOf(t)
	if w.held[p] -= bytes; w.held[p] <= 0 {
		delete(w.held, p)
	}
}

// Refused returns how often a request was not put on an upstream, since the process started.
func (w *Weigher) Refused() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}

func processOf(t cataloger.Target) process {
	return process{upstream: t.Upstream, startedMs: t.StartedMs}
}
