// Package gauger measures the latency that the system adds to a request. Requests
// over the measured path alternate with requests that go directly to an upstream,
// in one run, so that both see the same state of the machine. It also measures how
// many orders end as unknown when a daemon is killed, and how long an edit takes to
// reach every daemon.
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
	saturationDuration = 2 * time.Second
	saturationConns    = 32
	readDuration       = 8 * time.Second
	// warmUpDuration is excluded from the results, since connections are opened in it.
	warmUpDuration = time.Second
	// maxLatencyMicros is the highest value of the histograms. Requests that take longer
	// are recorded with it.
	maxLatencyMicros  = 10_000_000
	significantDigits = 3
	attemptTimeout    = 10 * time.Second
	// maxConnsPerHost limits the connections to each host. Without a limit a stall makes
	// the tool open hundreds of connections at once, which prolongs the stall.
	maxConnsPerHost = 64
)

type (
	// variant is one way to send a request. Its send function returns an error
	// unless the request got a successful response.
	variant struct {
		name string
		send func(ctx context.Context) error
	}

	// latencies are the latencies of one variant in µs, since the time at which a
	// request was due and since the time at which the tool sent it. The two differ
	// when the machine stalls, and the tool with it.
	latencies struct {
		mu        sync.Mutex
		sinceDue  *hdrhistogram.Histogram
		sinceSent *hdrhistogram.Histogram
		failed    int
	}
)

// MeasureRead compares the latency of an idempotent read through a daemon with that
// of one sent directly to the upstream, at half of the rate that saturates the path
// through the daemon.
func MeasureRead(ctx context.Context, programs string, out io.Writer) error {
	fleet, cleanup, err := launchFleet(ctx, programs, 1, false, "same")
	if err != nil {
		return err
	}
	defer cleanup()
	client := newClient()
	viaDaemon := variant{"through the daemon", newReadFunc(client, fleet.Daemons[0].Address("callers"), "/v1/s/desk/stock")}
	direct := variant{"straight to the upstream", newReadFunc(client, fleet.Upstreams[0].Process.Address("address"), "/stock")}
	rate := saturate(ctx, viaDaemon)
	fmt.Fprintf(out, "saturation of the daemon's way with %d connections: %.0f requests/s\n", saturationConns, rate)
	results := runAlternating(ctx, []variant{viaDaemon, direct}, rate/2, readDuration)
	printLatencies(out, []variant{viaDaemon, direct}, results)
	p50 := results[0].sinceDue.ValueAtQuantile(50) - results[1].sinceDue.ValueAtQuantile(50)
	p99 := results[0].sinceDue.ValueAtQuantile(99) - results[1].sinceDue.ValueAtQuantile(99)
	sentP99 := results[0].sinceSent.ValueAtQuantile(99) - results[1].sinceSent.ValueAtQuantile(99)
	_, err = fmt.Fprintf(out, "path rate=%.0f/s added p50=%dµs p99=%dµs; from sending p99=%dµs\n", rate/2, p50, p99, sentP99)
	return errors.Wrap(err, "printing")
}

// saturate returns the request rate per second that saturationConns senders reach
// when each sends without a pause.
func saturate(ctx context.Context, v variant) float64 {
	var done atomic.Int64
	until := time.Now().Add(saturationDuration)
	var senders sync.WaitGroup
	for range saturationConns {
		senders.Go(func() {
			for time.Now().Before(until) && ctx.Err() == nil {
				if v.send(ctx) == nil {
					done.Add(1)
				}
			}
		})
	}
	senders.Wait()
	return float64(done.Load()) / saturationDuration.Seconds()
}

// runAlternating sends requests at a constant rate, each by the next variant in
// turn, so that the variants share the rate. The time for which a late request waited
// to be sent counts towards its latency since it was due.
func runAlternating(ctx context.Context, variants []variant, rate float64, d time.Duration) []*latencies {
	results := make([]*latencies, len(variants))
	for i := range results {
		results[i] = &latencies{
			sinceDue: hdrhistogram.New(1, maxLatencyMicros, significantDigits), sinceSent: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		}
	}
	start := time.Now()
	var inFlight sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if due.Sub(start) > d {
			break
		}
		time.Sleep(time.Until(due))
		inFlight.Go(func() {
			sent := time.Now()
			err := variants[i%len(variants)].send(ctx)
			if due.Sub(start) >= warmUpDuration {
				results[i%len(variants)].record(due, sent, err)
			}
		})
	}
	inFlight.Wait()
	return results
}

func (l *latencies) record(due, sent time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		return
	}
	_ = l.sinceDue.RecordValue(min(time.Since(due).Microseconds(), maxLatencyMicros))
	_ = l.sinceSent.RecordValue(min(time.Since(sent).Microseconds(), maxLatencyMicros))
}

func printLatencies(out io.Writer, variants []variant, results []*latencies) {
	for i, v := range variants {
		due := results[i].sinceDue
		sent := results[i].sinceSent
		fmt.Fprintf(out, "%-44s n=%-7d failed=%-4d due p50=%6dµs p99=%6dµs sent p50=%6dµs p99=%6dµs\n", v.name, due.TotalCount(),
			results[i].failed, due.ValueAtQuantile(50), due.ValueAtQuantile(99), sent.ValueAtQuantile(50), sent.ValueAtQuantile(99))
	}
}

func newClient() *http.Client {
	return &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxConnsPerHost, MaxConnsPerHost: maxConnsPerHost}}
}

func newReadFunc(client *http.Client, address, path string) func(context.Context) error {
	return func(ctx context.Context) error {
		return doRequest(ctx, client, http.MethodGet, "http://"+address+path, "", nil, nil)
	}
}

func doRequest(ctx context.Context, client *http.Client, method, url, token string, body []byte, target any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
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
	if target == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(raw, target), "decoding")
}

// launchFleet starts a small deployment: one zone with two entry VMs or two zones
// with one each, and one upstream in each zone, whose processing time is zero. With
// peerProxies the traffic between daemons can be delayed; witness is the service's
// witness setting.
func launchFleet(ctx context.Context, programs string, zones int, peerProxies bool, witness string) (*launcher.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "waxwing-gauge-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "creating a temporary directory")
	}
	removeDir := func() { _ = os.RemoveAll(dir) }
	if err := writeExample(dir, zones, witness); err != nil {
		removeDir()
		return nil, nil, err
	}
	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{
		ProgramDir: programs, ExampleDir: dir, Dir: dir, DaemonsPerZone: 1 + zones%2, LogLevel: "info", PeerProxies: peerProxies,
		Timing: launcher.Timing{HeartbeatInterval: 200 * time.Millisecond},
	})
	if err != nil {
		removeDir()
		return nil, nil, err
	}
	return fleet, func() {
		cleanup()
		removeDir()
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
