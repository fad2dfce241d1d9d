// Package gauger measures what the system adds to a request's way. Requests
// that take the way under measure alternate with requests that go straight to
// an upstream, in one run, so both see the same machine.
//
// # Usage
//
//	err := gauger.Path(ctx, "bin", os.Stdout)
//	err := gauger.Once(ctx, "bin", os.Stdout)
package gauger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
)

const (
	saturateTime  = 2 * time.Second
	saturateWidth = 32
	pathTime      = 8 * time.Second
	// warmTime is left out of every series: connections are opened in it.
	warmTime      = time.Second
	histogramMost = 10_000_000
	digits        = 3
	tryTime       = 10 * time.Second
	// connections to each host. Without a bound a stall makes the tool open
	// hundreds at once, which is a longer stall.
	connections = 64
)

type (
	// way sends one request and reports whether it was answered.
	way struct {
		name string
		send func(ctx context.Context) error
	}

	// series is the latencies of one way, in µs: from the time at which a
	// request was due, and from the time at which the tool got to send it. The
	// two part where the machine, and with it the tool, stands still.
	series struct {
		mu     sync.Mutex
		hist   *hdrhistogram.Histogram
		sent   *hdrhistogram.Histogram
		failed int
	}
)

// Path measures an idempotent read through a daemon against one straight to
// the upstream, at half of the rate that saturates the daemon's way.
func Path(ctx context.Context, programs string, out io.Writer) error {
	fleet, cleanup, err := launch(ctx, programs, 1, false, "same")
	if err != nil {
		return err
	}
	defer cleanup()
	client := newClient()
	through := way{"through the daemon", getter(client, fleet.Daemons[0].Address("callers"), "/v1/s/desk/stock")}
	direct := way{"straight to the upstream", getter(client, fleet.Upstreams[0].Process.Address("address"), "/stock")}
	rate := saturate(ctx, through)
	fmt.Fprintf(out, "saturation of the daemon's way with %d connections: %.0f requests/s\n", saturateWidth, rate)
	results := alternate(ctx, []way{through, direct}, rate/2, pathTime)
	printSeries(out, []way{through, direct}, results)
	p50 := results[0].hist.ValueAtQuantile(50) - results[1].hist.ValueAtQuantile(50)
	p99 := results[0].hist.ValueAtQuantile(99) - results[1].hist.ValueAtQuantile(99)
	sent := results[0].sent.ValueAtQuantile(99) - results[1].sent.ValueAtQuantile(99)
	_, err = fmt.Fprintf(out, "path rate=%.0f/s added p50=%dµs p99=%dµs; from sending p99=%dµs\n", rate/2, p50, p99, sent)
	return errors.Wrap(err, "printing")
}

// saturate returns the rate that a few connections reach without a pause.
func saturate(ctx context.Context, w way) float64 {
	var done atomic.Int64
	until := time.Now().Add(saturateTime)
	var senders sync.WaitGroup
	for range saturateWidth {
		senders.Go(func() {
			for time.Now().Before(until) && ctx.Err() == nil {
				if w.send(ctx) == nil {
					done.Add(1)
				}
			}
		})
	}
	senders.Wait()
	return float64(done.Load()) / saturateTime.Seconds()
}

// alternate sends at a rate that all ways share, each request by the next way.
// Latency counts from the time at which a request was due.
func alternate(ctx context.Context, ways []way, rate float64, d time.Duration) []*series {
	results := make([]*series, len(ways))
	for i := range results {
		results[i] = &series{
			hist: hdrhistogram.New(1, histogramMost, digits), sent: hdrhistogram.New(1, histogramMost, digits),
		}
	}
	begun := time.Now()
	var open sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		due := begun.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if due.Sub(begun) > d {
			break
		}
		time.Sleep(time.Until(due))
		open.Go(func() {
			sent := time.Now()
			err := ways[i%len(ways)].send(ctx)
			if due.Sub(begun) >= warmTime {
				results[i%len(ways)].note(due, sent, err)
			}
		})
	}
	open.Wait()
	return results
}

func (s *series) note(due, sent time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	_ = s.hist.RecordValue(min(time.Since(due).Microseconds(), histogramMost))
	_ = s.sent.RecordValue(min(time.Since(sent).Microseconds(), histogramMost))
}

func printSeries(out io.Writer, ways []way, results []*series) {
	for i, w := range ways {
		h := results[i].hist
		s := results[i].sent
		fmt.Fprintf(out, "%-44s n=%-7d failed=%-4d due p50=%6dµs p99=%6dµs sent p50=%6dµs p99=%6dµs\n", w.name, h.TotalCount(),
			results[i].failed, h.ValueAtQuantile(50), h.ValueAtQuantile(99), s.ValueAtQuantile(50), s.ValueAtQuantile(99))
	}
}

func newClient() *http.Client {
	return &http.Client{Timeout: tryTime, Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections}}
}

func getter(client *http.Client, address, path string) func(context.Context) error {
	return func(ctx context.Context) error {
		return exchange(ctx, client, http.MethodGet, "http://"+address+path, "", nil, nil)
	}
}

func exchange(ctx context.Context, client *http.Client, method, target, token string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	req.GetBody = nil
	if token != "" {
		req.Header.Set(responder.TokenHeader, token)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "reading")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d: %s", resp.StatusCode, raw)
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(raw, into), "decoding")
}

// launch starts a small deployment: one zone or two with an entry VM and an
// upstream each, whose work takes no time.
func launch(ctx context.Context, programs string, zones int, relays bool, witness string) (*launcher.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "waxwing-gauge-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "making a folder")
	}
	remove := func() { _ = os.RemoveAll(dir) }
	if err := writeExample(dir, zones, witness); err != nil {
		remove()
		return nil, nil, err
	}
	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{
		ProgramDir: programs, ExampleDir: dir, Dir: dir, DaemonsPerZone: 1 + zones%2, LogLevel: "info", PeerProxies: relays,
		Timing: launcher.Timing{HeartbeatInterval: 200 * time.Millisecond},
	})
	if err != nil {
		remove()
		return nil, nil, err
	}
	return fleet, func() {
		cleanup()
		remove()
	}, nil
}

func writeExample(dir string, zones int, witness string) error {
	services := "[service desk]\nttl = 1s\nreserve = 0\nqueue = 1000\nwitness = " + witness + "\n" +
		"[class desk/stock]\npath = /stock\n[class desk/order]\nmethod = POST\npath = /orders\nonce = yes\n"
	var places strings.Builder
	for i := range zones {
		fmt.Fprintf(&places, "[zone z%d]\nregion = r\nvms = 1\n", i)
		fmt.Fprintf(&places, "[upstream u%d]\nservice = desk\nzone = z%d\naddress = 10.0.0.1:80\nslots = 2000\nconns = 2000\n", i, i)
		fmt.Fprintf(&places, "[block b%d]\nnet = 10.%d.0.0/16\nzone = z%d\n", i, i, i)
	}
	return launcher.WriteExample(dir, services, places.String())
}
