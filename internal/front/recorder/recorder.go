// Package recorder keeps one latency histogram of requests per route and outcome,
// for the metrics page.
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
	// The histograms hold latencies in whole ms, from 1 ms to 1 min, with two significant
	// digits. Values beyond are recorded as the nearest bound.
	maxLatencyMs      = 60_000
	significantDigits = 2
	// maxSeries limits the memory of the histograms, each of which takes a few KB.
	// Once it is reached, new routes are recorded under the route "other".
	maxSeries = 256
)

type (
	// Recorder keeps the histograms. It is safe for concurrent use.
	Recorder struct {
		mu     sync.Mutex
		series map[seriesKey]*hdrhistogram.Histogram
	}

	seriesKey struct {
		route   string
		outcome string
	}

	// Latency summarizes one histogram, in ms.
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
	return &Recorder{series: make(map[seriesKey]*hdrhistogram.Histogram)}
}

// Record adds the latency of one request.
func (r *Recorder) Record(route, outcome string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := seriesKey{route, outcome}
	h := r.series[k]
	if h == nil && len(r.series) >= maxSeries {
		k.route = "other"
		h = r.series[k]
	}
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMs, significantDigits)
		r.series[k] = h
	}
	// The error is ignored: it is only returned for values out of bounds.
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMs))
}

// Summary returns the latency summaries by route and outcome.
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
