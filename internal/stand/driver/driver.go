// Package driver is an open-loop load generator that behaves as callers do. It
// looks up entry VMs, gets tokens, retries with the next entry VM of the look-up,
// and checks each response against its request. Latency is measured from the
// time at which a request was scheduled, so that a stall of the system also
// counts for the requests that it delayed (no coordinated omission).
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
	// maxLatencyMicros is the longest latency that is recorded; longer ones count
	// as this long.
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3

	// maxInFlight bounds the requests in flight of one load. Requests over it
	// are not sent but counted as refused.
	maxInFlight = 4000
)

type (
	// Load is one class of requests and its rate. ResponseBytes is the size of the
	// padding in the response, RequestBytes the size of the request body, which
	// only once-only requests have.
	Load struct {
		Service       string
		Class         string
		Method        string
		Path          string
		OnceOnly      bool
		Weight        int64
		RatePerSecond float64
		ResponseBytes int
		RequestBytes  int
	}

	// Plan describes a run.
	Plan struct {
		// EntryAddresses are the entry VMs to ask for the first look-up.
		EntryAddresses []string
		// SourceAddresses are the IP addresses from which callers connect. Each
		// is one caller; they send in turn.
		SourceAddresses []string
		Loads           []Load
		Duration        time.Duration
		// AttemptTimeout bounds one HTTP request to an entry VM.
		AttemptTimeout time.Duration
		Seed           uint64
	}

	// TokenUse is a once-only request sent with one of its tokens. Order names the
	// request, Name this use of a token, and Outcome is what the caller was told.
	TokenUse struct {
		Order   string `json:"order"`
		Name    string `json:"name"`
		Outcome string `json:"told"`
	}

	// Report is the result of a run as the callers saw it. The latencies are those
	// of answered requests.
	Report struct {
		Requests      int        `json:"requests"`
		Answered      int        `json:"answered"`
		Refused       int        `json:"refused"`
		Unknown       int        `json:"unknown"`
		Mismatched    int        `json:"mismatched"`
		Reads         int        `json:"reads"`
		ReadsAnswered int        `json:"readsanswered"`
		P50Micros     int64      `json:"p50"`
		P99Micros     int64      `json:"p99"`
		MaxMicros     int64      `json:"most"`
		TokenUses     []TokenUse `json:"attempts"`
		Reasons       []Reason   `json:"reasons"`
	}

	// Reason is a reason why requests were not answered, and how many had it.
	Reason struct {
		Text  string `json:"text"`
		Count int    `json:"count"`
	}

	// result is the end of one request as its caller saw it.
	result struct {
		answered   bool
		unknown    bool
		mismatched bool
		reason     string
		tokenUses  []TokenUse
	}

	run struct {
		plan    Plan
		callers []*caller

		mu        sync.Mutex
		report    Report
		latencies *hdrhistogram.Histogram
		reasons   map[string]int
	}
)

// Schema returns the schema of a plan file.
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

// ParseLoads parses the loads in the text of a plan file. The file's name is for
// error messages.
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

// Run sends the requests of a plan and returns the report once all requests have
// ended.
func Run(ctx context.Context, plan Plan) (Report, error) {
	if len(plan.EntryAddresses) == 0 || len(plan.SourceAddresses) == 0 {
		return Report{}, errors.New("a plan needs entries and sources")
	}
	r := &run{
		plan:      plan,
		latencies: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		reasons:   make(map[string]int),
	}
	for _, address := range plan.SourceAddresses {
		c, err := newCaller(address, plan)
		if err != nil {
			return Report{}, err
		}
		defer c.close()
		r.callers = append(r.callers, c)
	}
	var loads sync.WaitGroup
	for i, l := range plan.Loads {
		loads.Go(func() { r.load(ctx, l, rand.New(rand.NewPCG(plan.Seed, uint64(i)))) })
	}
	loads.Wait()
	return r.finish(), nil
}

// load sends one class's requests, each at its scheduled time, whether or not
// earlier ones have ended.
func (r *run) load(ctx context.Context, l Load, rng *rand.Rand) {
	startedAt := time.Now()
	slots := make(chan struct{}, maxInFlight)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for i := 0; ; i++ {
		scheduled := startedAt.Add(time.Duration(float64(i) / l.RatePerSecond * float64(time.Second)))
		if scheduled.Sub(startedAt) >= r.plan.Duration || !sleepUntil(ctx, scheduled) {
			return
		}
		c := r.callers[i%len(r.callers)]
		name := l.Class + "-" + strconv.Itoa(i)
		body := randomBody(rng, l.RequestBytes)
		select {
		case slots <- struct{}{}:
		default:
			r.record(l, scheduled, result{reason: "the load tool is at its bound"})
			continue
		}
		inFlight.Go(func() {
			defer func() { <-slots }()
			r.record(l, scheduled, c.request(ctx, l, name, body))
		})
	}
}

func (r *run) record(l Load, scheduled time.Time, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if !l.OnceOnly {
		r.report.Reads++
	}
	switch {
	case res.mismatched:
		r.report.Mismatched++
	case res.answered:
		r.report.Answered++
		if !l.OnceOnly {
			r.report.ReadsAnswered++
		}
		_ = r.latencies.RecordValue(min(time.Since(scheduled).Microseconds(), maxLatencyMicros))
	case res.unknown:
		r.report.Unknown++
	default:
		r.report.Refused++
	}
	if res.reason != "" {
		r.reasons[res.reason]++
	}
	r.report.TokenUses = append(r.report.TokenUses, res.tokenUses...)
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
