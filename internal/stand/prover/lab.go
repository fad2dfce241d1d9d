package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

const (
	awaitTime  = 10 * time.Second
	awaitPause = 5 * time.Millisecond
	// callTime is longer than a request's deadline, so that a caller hears the
	// daemon's word unless the daemon is gone.
	callTime = deadline + 2*time.Second
	retries  = 2
)

type (
	// lab is a deployment on which cells are tried one after another.
	lab struct {
		fleet *launcher.Fleet
	}

	// trial is one cell under way.
	trial struct {
		*lab
		cell    cell
		name    string
		token   string
		body    []byte
		owner   *launcher.Daemon
		witness *launcher.Daemon
		relay   *launcher.Daemon
		before  metrics
		cancel  context.CancelFunc
		first   chan string
		held    chan struct{}
	}

	// metrics is the part of a daemon's metrics that shows how far a request
	// has come.
	metrics struct {
		Use []struct {
			InFlight int
			Whole    int
			Queued   int
		} `json:"use"`
		Once struct {
			Owned   int
			Intents int
		} `json:"once"`
	}
)

// try works through one cell.
func (l *lab) try(ctx context.Context, c cell, n int) (result, error) {
	t := &trial{lab: l, cell: c, name: fmt.Sprintf("cell-%d/0", n), body: []byte("three blanks"), first: make(chan string, 1)}
	r := result{cell: c}
	if err := t.run(ctx, &r); err != nil {
		return r, errors.Wrapf(err, "%s at %s", c.fault.name, c.step.name)
	}
	return r, nil
}

func (t *trial) run(ctx context.Context, r *result) error {
	if err := t.begin(ctx); err != nil {
		return err
	}
	if err := t.cell.step.reach(ctx, t); err != nil {
		// A daemon that takes another way than the protocol's never comes here.
		r.broken = "the step was not reached: " + err.Error()
		return t.heal(ctx)
	}
	if err := t.cell.fault.cause(ctx, t); err != nil {
		return errors.Wrap(err, "causing the fault")
	}
	if err := t.cell.step.leave(ctx, t); err != nil {
		return errors.Wrap(err, "leaving the step")
	}
	r.told = append(r.told, <-t.first)
	for range retries {
		r.told = append(r.told, t.send(ctx, t.relay))
	}
	if err := t.heal(ctx); err != nil {
		return errors.Wrap(err, "healing")
	}
	r.told = append(r.told, t.send(ctx, t.relay), t.send(ctx, t.owner))
	runs, err := t.runs(ctx)
	r.runs = runs
	r.broken = broken(r.told, runs)
	return err
}

// broken returns which promise was broken, or nothing.
func broken(told []string, runs int) string {
	if runs > 1 {
		return "ran more than once"
	}
	for _, word := range told {
		switch {
		case word == "not-run" && runs > 0:
			return "told not-run, and it ran"
		case word == "ran" && runs == 0:
			return "told ran, and it did not"
		case word == "mismatched":
			return "got another answer"
		}
	}
	return ""
}

// begin takes a token of the first daemon and finds its witness.
func (t *trial) begin(ctx context.Context) error {
	t.owner = t.fleet.Daemons[0]
	resp, err := t.post(ctx, "http://"+t.owner.Address("callers")+"/v1/tokens?service=desk&count=3", "", nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var a responder.TokensResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || len(a.Tokens) != 3 {
		return errors.Newf("no tokens, status %d", resp.StatusCode)
	}
	if err := t.warm(ctx, a.Tokens[:2]); err != nil {
		return err
	}
	t.token = a.Tokens[2]
	token, err := arbiter.ParseToken(t.token)
	if err != nil {
		return err
	}
	for _, d := range t.fleet.Daemons {
		if d.PeerAddress() == token.WitnessPeerAddress {
			t.witness = d
		}
	}
	if t.witness == nil {
		return errors.New("the token has no witness")
	}
	// The relay is the other daemon of the owner's zone.
	t.relay = t.fleet.Daemons[2]
	t.before, err = t.metrics(ctx, t.owner)
	if err != nil {
		return err
	}
	seen, err := t.metrics(ctx, t.witness)
	t.before.Once.Intents = seen.Once.Intents
	return err
}

// warm sends a request by each witness, so that the owner has a connection to
// both when the trial holds one of them up.
func (t *trial) warm(ctx context.Context, tokens []string) error {
	for i, text := range tokens {
		w := &trial{lab: t.lab, cell: t.cell, name: fmt.Sprintf("%s-warm-%d", t.name, i), token: text, body: t.body}
		if told := w.send(ctx, t.owner); told != "ran" {
			return errors.Newf("a request before the fault was told %s", told)
		}
	}
	return nil
}

// start sends the request to its owner and goes on; what its caller was told
// is found in first.
func (t *trial) start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	go func() {
		t.first <- t.send(ctx, t.owner)
		if t.cancel != nil {
			t.cancel()
		}
	}()
}

// send returns what a caller was told; an error of the transport is "none".
func (t *trial) send(ctx context.Context, to *launcher.Daemon) string {
	resp, err := t.post(ctx, "http://"+to.Address("callers")+"/v1/s/desk"+t.cell.step.path, t.token, t.body)
	if err != nil {
		return "none"
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return "none"
	}
	told := resp.Header.Get(responder.OutcomeHeader)
	var e worker.Echo
	if told == "ran" && (json.Unmarshal(raw, &e) != nil || e.ID != t.name || e.Digest != worker.Digest(t.body)) {
		return "mismatched"
	}
	return told
}

func (t *trial) post(ctx context.Context, target, token string, body []byte) (*http.Response, error) {
	client := &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "building a request")
	}
	req.GetBody = nil
	if token != "" {
		req.Header.Set(responder.TokenHeader, token)
		req.Header.Set(worker.OrderHeader, t.name)
		req.Header.Set(worker.IDHeader, t.name)
	}
	resp, err := client.Do(req)
	return resp, errors.Wrap(err, "sending")
}

// holdRead keeps the owner's one connection to its upstream busy.
func (t *trial) holdRead(ctx context.Context) error {
	if err := t.upstreams(ctx, worker.Faults{HoldRun: "/stock"}); err != nil {
		return err
	}
	t.held = make(chan struct{})
	go func() {
		defer close(t.held)
		resp, err := http.Get("http://" + t.owner.Address("callers") + "/v1/s/desk/stock")
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	return t.until(ctx, t.owner, func(m metrics) bool { return m.Use[0].InFlight > 0 })
}

func (t *trial) upstreams(ctx context.Context, f worker.Faults) error {
	for _, u := range t.fleet.Upstreams {
		if err := launcher.Put(ctx, u.Process.Address("address"), "/stand/faults", f); err != nil {
			return err
		}
	}
	return nil
}

// isolate sets what travels between the owner and every other daemon.
func (t *trial) isolate(delay time.Duration, cutFrom, cutTo bool) {
	for _, d := range t.fleet.Daemons {
		if d != t.owner {
			t.fleet.SetLink(t.owner, d, delay, cutFrom, cutTo)
		}
	}
}

func (t *trial) platform(ctx context.Context, f storekeeper.Faults) error {
	return launcher.Put(ctx, t.fleet.Platform.Address("address"), "/stand/faults", f)
}

// heal takes every fault away and waits until the deployment is whole.
func (t *trial) heal(ctx context.Context) error {
	t.isolate(0, false, false)
	if err := t.platform(ctx, storekeeper.Faults{}); err != nil {
		return err
	}
	if err := t.upstreams(ctx, worker.Faults{}); err != nil {
		return err
	}
	if t.held != nil {
		<-t.held
	}
	for _, d := range t.fleet.Daemons {
		d.Resume()
		select {
		case <-d.Done():
			if err := t.fleet.Restart(ctx, d); err != nil {
				return err
			}
		default:
		}
	}
	return t.fleet.WaitUntilReady(ctx)
}

func (t *trial) runs(ctx context.Context) (int, error) {
	runs := 0
	for _, u := range t.fleet.Upstreams {
		var journal []worker.JournalEntry
		if err := launcher.Get(ctx, u.Process.Address("address"), "/stand/journal", &journal); err != nil {
			return 0, err
		}
		for _, r := range journal {
			if r.Order == t.name {
				runs++
			}
		}
	}
	return runs, nil
}

func (t *trial) metrics(ctx context.Context, d *launcher.Daemon) (metrics, error) {
	var m metrics
	err := t.fleet.OperatorClient(d).Metrics(ctx, &m)
	if err == nil && len(m.Use) == 0 {
		err = errors.New("no service in the metrics")
	}
	return m, err
}

// until waits until a daemon's metrics show that a step was reached.
func (t *trial) until(ctx context.Context, d *launcher.Daemon, reached func(metrics) bool) error {
	return t.await(ctx, func() (bool, error) {
		m, err := t.metrics(ctx, d)
		return err == nil && reached(m), err
	})
}

func (t *trial) await(ctx context.Context, reached func() (bool, error)) error {
	until := time.Now().Add(awaitTime)
	for {
		ok, err := reached()
		if ok || err != nil {
			return err
		}
		if time.Now().After(until) {
			return errors.New("it was not reached in time")
		}
		select {
		case <-time.After(awaitPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
