// Package recorder keeps latency histograms of requests, one for each route and
// outcome, for the metrics page.
//
// # Usage
//
//	r := recorder.New()
//	r.Record("route-1", "answered", 120*time.Millisecond)
//	m.Set("latency", expvar.Func(func() any { return r.Summary() }))
package recorder

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histograms hold whole milliseconds up to a minute, to two digits.
	mostMillis = 60_000
	digits     = 2
	// seriesMost bounds the histograms, which take a few kilobytes each; what
	// comes beyond is recorded under the route "other".
	seriesMost = 256
)

type (
	// Recorder holds the histograms.
	Recorder struct {
		mu     sync.Mutex
		series map[key]*hdrhistogram.Histogram
	}

	key struct {
		route   string
		outcome string
	}

	// Latency sums up one histogram, in milliseconds.
	Latency struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50ms"`
		P90   int64 `json:"p90ms"`
		P99   int64 `json:"p99ms"`
		Max   int64 `json:"maxms"`
	}
)

// New returns a recorder without histograms.
func New() *Recorder {
	return &Recorder{series: make(map[key]*hdrhistogram.Histogram)}
}

// Record takes one request.
func (r *Recorder) Record(route, outcome string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key{route, outcome}
	h := r.series[k]
	if h == nil && len(r.series) >= seriesMost {
		k.route = "other"
		h = r.series[k]
	}
	if h == nil {
		h = hdrhistogram.New(1, mostMillis, digits)
		r.series[k] = h
	}
	// The value is within the histogram's bounds.
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), mostMillis))
}

// Summary returns the latencies by route and outcome.
func (r *Recorder) Summary() map[string]map[string]Latency {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]map[string]Latency)
	for k, h := range r.series {
		if out[k.route] == nil {
			out[k.route] = make(map[string]Latency)
		}
		out[k.route][k.outcome] = Latency{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return out
}
