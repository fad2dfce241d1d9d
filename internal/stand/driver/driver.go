// Package driver is an open-loop load of callers. It asks for entry VMs, takes
// tokens, retries through the look-up list, and checks each answer against its
// own request. Latency counts from the time at which a request was due, so a
// system that stalls is charged for the requests that it made wait.
//
// # Usage
//
//	report, err := driver.Run(ctx, plan)
package driver

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
)

const (
	// histogramMost is the longest latency told apart, in µs.
	histogramMost   = 60_000_000
	histogramDigits = 3

	// outstandingMost bounds the requests in progress.
	outstandingMost = 4000
)

type (
	// Load is one class of requests and its rate. Fill is the size of the
	// answer, Body that of the request, in bytes.
	Load struct {
		Service string
		Class   string
		Method  string
		Path    string
		OnceOnly    bool
		Weight  int64
		RatePerSecond    float64
		ResponseBytes    int
		RequestBytes    int
	}

	// Plan is a whole run.
	Plan struct {
		// EntryAddresses are addresses of entry VMs for the first look-up.
		EntryAddresses []string
		// SourceAddresses are the callers' own addresses, used in turn.
		SourceAddresses  []string
		Loads    []Load
		Duration time.Duration
		// AttemptTimeout bounds one try at one entry VM.
		AttemptTimeout  time.Duration
		Seed uint64
	}

	// TokenUse is one token's use. Told is the outcome as the caller was told.
	TokenUse struct {
		Order string `json:"order"`
		Name  string `json:"name"`
		Outcome  string `json:"told"`
	}

	// Report is what the callers saw. Latencies are in µs.
	Report struct {
		Requests      int       `json:"requests"`
		Answered      int       `json:"answered"`
		Refused       int       `json:"refused"`
		Unknown       int       `json:"unknown"`
		Mismatched    int       `json:"mismatched"`
		Reads         int       `json:"reads"`
		ReadsAnswered int       `json:"readsanswered"`
		P50Micros           int64     `json:"p50"`
		P99Micros           int64     `json:"p99"`
		MaxMicros          int64     `json:"most"`
		TokenUses      []TokenUse `json:"attempts"`
		Reasons       []Reason  `json:"reasons"`
	}

	// Reason counts why requests were not answered.
	Reason struct {
		Text  string `json:"text"`
		Count int    `json:"count"`
	}

	// verdict is how one request ended for its caller.
	verdict struct {
		answered   bool
		unknown    bool
		mismatched bool
		reason     string
		attempts   []TokenUse
	}

	run struct {
		plan    Plan
		sources []*source

		mu        sync.Mutex
		report    Report
		latencies *hdrhistogram.Histogram
		reasons   map[string]int
	}
)

// Schema returns the table of keys of a plan's file.
func Schema() checker.Schema {
	return checker.Schema{Groups: []checker.Group{{Kind: "load", Named: true, Required: true, Keys: []checker.Key{
		{Name: "service", Kind: checker.Text, Required: true, Doc: "the service"},
		{Name: "method", Kind: checker.Choice, Default: "GET", Choices: []string{"GET", "POST"}, Doc: "the method"},
		{Name: "path", Kind: checker.Text, Required: true, Doc: "the path within the service"},
		{Name: "once", Kind: checker.Switch, Default: "no", Doc: "whether requests need a token"},
		{Name: "weight", Kind: checker.Number, Default: "1", Min: 1, Max: 1000, Unit: "slots", Doc: "the class's weight"},
		{Name: "rate", Kind: checker.Number, Required: true, Min: 1, Max: 100000, Unit: "requests/s", Doc: "requests a second"},
		{Name: "fill", Kind: checker.Number, Default: "256", Min: 0, Max: 4 << 20, Unit: "bytes", Doc: "the answer's size"},
		{Name: "body", Kind: checker.Number, Default: "128", Min: 0, Max: 1 << 18, Unit: "bytes", Doc: "the request's size"},
	}}}}
}

// ParseLoads reads the loads of a plan's file.
func ParseLoads(file string, text []byte) ([]Load, error) {
	entries, problems := checker.Check(Schema(), file, text)
	var loads []Load
	for _, e := range entries {
		loads = append(loads, Load{
			Service: e.Text("service"), Class: e.Name, Method: e.Text("method"), Path: e.Text("path"),
			OnceOnly: e.Switch("once"), Weight: e.Number("weight"), RatePerSecond: float64(e.Number("rate")),
			ResponseBytes: int(e.Number("fill")), RequestBytes: int(e.Number("body")),
		})
	}
	return loads, problems.AsError()
}

// Run sends the plan's load and returns what the callers saw. It ends when the
// last request has ended.
func Run(ctx context.Context, plan Plan) (Report, error) {
	if len(plan.EntryAddresses) == 0 || len(plan.SourceAddresses) == 0 {
		return Report{}, errors.New("a plan needs entries and sources")
	}
	r := &run{
		plan:      plan,
		latencies: hdrhistogram.New(1, histogramMost, histogramDigits),
		reasons:   make(map[string]int),
	}
	for _, address := range plan.SourceAddresses {
		s, err := newSource(address, plan)
		if err != nil {
			return Report{}, err
		}
		defer s.close()
		r.sources = append(r.sources, s)
	}
	var loads sync.WaitGroup
	for i, l := range plan.Loads {
		loads.Go(func() { r.load(ctx, l, rand.New(rand.NewPCG(plan.Seed, uint64(i)))) })
	}
	loads.Wait()
	return r.finish(), nil
}

// load sends one class's requests, each when it is due.
func (r *run) load(ctx context.Context, l Load, rng *rand.Rand) {
	begun := time.Now()
	slots := make(chan struct{}, outstandingMost)
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; ; i++ {
		due := begun.Add(time.Duration(float64(i) / l.RatePerSecond * float64(time.Second)))
		if due.Sub(begun) >= r.plan.Duration || !sleepUntil(ctx, due) {
			return
		}
		s := r.sources[i%len(r.sources)]
		name := l.Class + "-" + strconv.Itoa(i)
		body := randomBody(rng, l.RequestBytes)
		select {
		case slots <- struct{}{}:
		default:
			r.note(l, due, verdict{reason: "the load tool is at its bound"})
			continue
		}
		open.Go(func() {
			defer func() { <-slots }()
			r.note(l, due, s.request(ctx, l, name, body))
		})
	}
}

func (r *run) note(l Load, due time.Time, v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if !l.OnceOnly {
		r.report.Reads++
	}
	switch {
	case v.mismatched:
		r.report.Mismatched++
	case v.answered:
		r.report.Answered++
		if !l.OnceOnly {
			r.report.ReadsAnswered++
		}
		_ = r.latencies.RecordValue(min(time.Since(due).Microseconds(), histogramMost))
	case v.unknown:
		r.report.Unknown++
	default:
		r.report.Refused++
	}
	if v.reason != "" {
		r.reasons[v.reason]++
	}
	r.report.TokenUses = append(r.report.TokenUses, v.attempts...)
}

func (r *run) finish() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.P50Micros = r.latencies.ValueAtQuantile(50)
	r.report.P99Micros = r.latencies.ValueAtQuantile(99)
	r.report.MaxMicros = r.latencies.Max()
	for text, count := range r.reasons {
		r.report.Reasons = append(r.report.Reasons, Reason{Text: text, Count: count})
	}
	return r.report
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func randomBody(rng *rand.Rand, size int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	body := make([]byte, size)
	for i := range body {
		body[i] = letters[rng.IntN(len(letters))]
	}
	return body
}
