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
	pollTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
	// requestTimeout is longer than a request's deadline, so that a caller gets the
	// daemon's response unless the daemon is down.
	requestTimeout = requestDeadline + 2*time.Second
	retryCount     = 2
)

type (
	// testbed is a deployment on which cells run one after another.
	testbed struct {
		fleet *launcher.Fleet
	}

	// trial is one run of a cell. Its request carries a token of owner. witness is the
	// token's witness, and zonePeer the other daemon of the owner's zone, through which
	// the request is retried.
	trial struct {
		*testbed
		cell          cell
		orderID       string
		token         string
		body          []byte
		owner         *launcher.Daemon
		witness       *launcher.Daemon
		zonePeer      *launcher.Daemon
		metricsBefore metrics
		cancelFirst   context.CancelFunc
		firstOutcome  chan string
		heldReadDone  chan struct{}
	}

	// metrics are those metrics of a daemon that show how far a request has come.
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

// runCell runs one cell. n makes the order ID of its request unique.
func (b *testbed) runCell(ctx context.Context, c cell, n int) (result, error) {
	t := &trial{testbed: b, cell: c, orderID: fmt.Sprintf("cell-%d/0", n), body: []byte("three blanks"), firstOutcome: make(chan string, 1)}
	r := result{cell: c}
	if err := t.run(ctx, &r); err != nil {
		return r, errors.Wrapf(err, "%s at %s", c.fault.name, c.step.name)
	}
	return r, nil
}

func (t *trial) run(ctx context.Context, r *result) error {
	if err := t.prepare(ctx); err != nil {
		return err
	}
	if err := t.cell.step.reach(ctx, t); err != nil {
		// A daemon that does not follow the protocol never reaches the step, so this
		// is a failed cell and not an error of the run.
		r.violation = "the step was not reached: " + err.Error()
		return t.heal(ctx)
	}
	if err := t.cell.fault.inject(ctx, t); err != nil {
		return errors.Wrap(err, "injecting the fault")
	}
	if err := t.cell.step.release(ctx, t); err != nil {
		return errors.Wrap(err, "releasing the step")
	}
	r.outcomes = append(r.outcomes, <-t.firstOutcome)
	for range retryCount {
		r.outcomes = append(r.outcomes, t.sendRequest(ctx, t.zonePeer))
	}
	if err := t.heal(ctx); err != nil {
		return errors.Wrap(err, "healing")
	}
	r.outcomes = append(r.outcomes, t.sendRequest(ctx, t.zonePeer), t.sendRequest(ctx, t.owner))
	runs, err := t.countRuns(ctx)
	r.runs = runs
	r.violation = violation(r.outcomes, runs)
	return err
}

// violation returns which promise the outcomes break, given how often the request
// ran, or an empty string if they break none.
func violation(outcomes []string, runs int) string {
	if runs > 1 {
		return "ran more than once"
	}
	for _, outcome := range outcomes {
		switch {
		case outcome == "not-run" && runs > 0:
			return "told not-run, and it ran"
		case outcome == "ran" && runs == 0:
			return "told ran, and it did not"
		case outcome == "mismatched":
			return "got another answer"
		}
	}
	return ""
}

// prepare gets a token from the first daemon, the owner, finds the token's witness,
// and records the metrics of both.
func (t *trial) prepare(ctx context.Context) error {
	t.owner = t.fleet.Daemons[0]
	resp, err := t.post(ctx, "http://"+t.owner.Address("callers")+"/v1/tokens?service=desk&count=3", "", nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var a responder.TokensResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || len(a.Tokens) != 3 {
		return errors.Newf("the response does not have 3 tokens, status %d", resp.StatusCode)
	}
	if err := t.warmUp(ctx, a.Tokens[:2]); err != nil {
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
		return errors.New("no daemon is the witness of the token")
	}
	// The daemons are in the order of one per zone in turn, so the third is the other
	// one of the owner's zone.
	t.zonePeer = t.fleet.Daemons[2]
	t.metricsBefore, err = t.metrics(ctx, t.owner)
	if err != nil {
		return err
	}
	witnessMetrics, err := t.metrics(ctx, t.witness)
	t.metricsBefore.Once.Intents = witnessMetrics.Once.Intents
	return err
}

// warmUp sends one request with each of the tokens. Their witnesses differ, so the
// owner has a connection to each witness before the trial holds the traffic of one.
func (t *trial) warmUp(ctx context.Context, tokens []string) error {
	for i, token := range tokens {
		w := &trial{testbed: t.testbed, cell: t.cell, orderID: fmt.Sprintf("%s-warm-%d", t.orderID, i), token: token, body: t.body}
		if outcome := w.sendRequest(ctx, t.owner); outcome != "ran" {
			return errors.Newf("a warm-up request before the fault had the outcome %s, not ran", outcome)
		}
	}
	return nil
}

// startFirst sends the request to its owner in the background. Its outcome arrives
// in firstOutcome.
func (t *trial) startFirst(ctx context.Context) {
	ctx, t.cancelFirst = context.WithCancel(ctx)
	go func() {
		t.firstOutcome <- t.sendRequest(ctx, t.owner)
		if t.cancelFirst != nil {
			t.cancelFirst()
		}
	}()
}

// sendRequest sends the request and returns the outcome that the response reports:
// "none" if there is no response, and "mismatched" if it belongs to another request.
func (t *trial) sendRequest(ctx context.Context, to *launcher.Daemon) string {
	resp, err := t.post(ctx, "http://"+to.Address("callers")+"/v1/s/desk"+t.cell.step.path, t.token, t.body)
	if err != nil {
		return "none"
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return "none"
	}
	outcome := resp.Header.Get(responder.OutcomeHeader)
	var e worker.Echo
	if outcome == "ran" && (json.Unmarshal(raw, &e) != nil || e.ID != t.orderID || e.Digest != worker.Digest(t.body)) {
		return "mismatched"
	}
	return outcome
}

func (t *trial) post(ctx context.Context, target, token string, body []byte) (*http.Response, error) {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "building a request")
	}
	req.GetBody = nil
	if token != "" {
		req.Header.Set(responder.TokenHeader, token)
		req.Header.Set(worker.OrderHeader, t.orderID)
		req.Header.Set(worker.IDHeader, t.orderID)
	}
	resp, err := client.Do(req)
	return resp, errors.Wrap(err, "sending")
}

// holdRead sends a read that the upstream holds, which keeps the owner's only
// connection to its upstream busy.
func (t *trial) holdRead(ctx context.Context) error {
	if err := t.setUpstreamFaults(ctx, worker.Faults{HoldRun: "/stock"}); err != nil {
		return err
	}
	t.heldReadDone = make(chan struct{})
	go func() {
		defer close(t.heldReadDone)
		resp, err := http.Get("http://" + t.owner.Address("callers") + "/v1/s/desk/stock")
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	return t.waitForMetrics(ctx, t.owner, func(m metrics) bool { return m.Use[0].InFlight > 0 })
}

func (t *trial) setUpstreamFaults(ctx context.Context, f worker.Faults) error {
	for _, u := range t.fleet.Upstreams {
		if err := launcher.Put(ctx, u.Process.Address("address"), "/stand/faults", f); err != nil {
			return err
		}
	}
	return nil
}

// setOwnerLinks sets the delay between the owner and every other daemon, and whether
// the traffic from and to the owner is held.
func (t *trial) setOwnerLinks(delay time.Duration, holdFrom, holdTo bool) {
	for _, d := range t.fleet.Daemons {
		if d != t.owner {
			t.fleet.SetLink(t.owner, d, delay, holdFrom, holdTo)
		}
	}
}

func (t *trial) setPlatformFaults(ctx context.Context, f storekeeper.Faults) error {
	return launcher.Put(ctx, t.fleet.Platform.Address("address"), "/stand/faults", f)
}

// heal removes all faults, restarts daemons that ended, and waits until every daemon
// has its share of the upstreams and sees every other daemon again.
func (t *trial) heal(ctx context.Context) error {
	t.setOwnerLinks(0, false, false)
	if err := t.setPlatformFaults(ctx, storekeeper.Faults{}); err != nil {
		return err
	}
	if err := t.setUpstreamFaults(ctx, worker.Faults{}); err != nil {
		return err
	}
	if t.heldReadDone != nil {
		<-t.heldReadDone
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

func (t *trial) countRuns(ctx context.Context) (int, error) {
	runs := 0
	for _, u := range t.fleet.Upstreams {
		var journal []worker.JournalEntry
		if err := launcher.Get(ctx, u.Process.Address("address"), "/stand/journal", &journal); err != nil {
			return 0, err
		}
		for _, r := range journal {
			if r.Order == t.orderID {
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

// waitForMetrics waits until a daemon's metrics show that a step was reached.
func (t *trial) waitForMetrics(ctx context.Context, d *launcher.Daemon, reached func(metrics) bool) error {
	return t.poll(ctx, func() (bool, error) {
		m, err := t.metrics(ctx, d)
		return err == nil && reached(m), err
	})
}

func (t *trial) poll(ctx context.Context, reached func() (bool, error)) error {
	deadline := time.Now().Add(pollTimeout)
	for {
		ok, err := reached()
		if ok || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return errors.New("it was not reached in time")
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
