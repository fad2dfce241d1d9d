package prover

import (
	"context"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

// step is a point in the processing of a request. reach brings the request there
// and holds it, release lets it continue. skipReason says why the step can't be
// reached with real processes.
type step struct {
	name       string
	path       string
	skipReason string
	reach      func(ctx context.Context, t *trial) error
	release    func(ctx context.Context, t *trial) error
}

func noop(context.Context, *trial) error { return nil }

func steps() []step {
	return []step{
		{name: "look-up", path: "/orders", reach: noop, release: sendAfterFault},
		{name: "admit", path: "/bulk", reach: reachAdmit, release: releaseUpstreams},
		{name: "intent sent", path: "/orders", reach: reachIntentSent, release: releaseWitnessLink},
		{name: "intent recorded", path: "/orders", reach: reachIntentRecorded, release: releaseWitnessLink},
		{name: "dispatch, before first byte", path: "/orders", reach: reachDispatch, release: releaseUpstreams},
		{
			name: "mid body", path: "/orders", reach: noop, release: noop,
			skipReason: "loopback's buffers take a whole body; walked in the model as a request on its way",
		},
		{name: "upstream ran", path: "/orders", reach: reachUpstreamRan, release: releaseUpstreams},
		{name: "answer under way", path: "/orders", reach: reachHalfResponse, release: releaseUpstreams},
		{name: "outcome recorded", path: "/orders", reach: reachOutcomeRecorded, release: releaseWitnessLink},
		{name: "replay", path: "/orders", reach: reachReplay, release: noop},
	}
}

// sendAfterFault sends the request after the fault was injected. Before that no
// request was sent at the look-up step.
func sendAfterFault(ctx context.Context, t *trial) error {
	t.startFirst(ctx)
	return nil
}

// reachAdmit makes the owner queue a request that needs the owner's whole share of an
// upstream, while a read occupies part of it.
func reachAdmit(ctx context.Context, t *trial) error {
	if err := t.holdRead(ctx); err != nil {
		return err
	}
	t.startFirst(ctx)
	return t.waitForMetrics(ctx, t.owner, func(m metrics) bool { return m.Use[0].Queued > 0 })
}

// reachIntentSent holds the traffic from the owner to the witness.
func reachIntentSent(ctx context.Context, t *trial) error {
	t.fleet.SetLink(t.owner, t.witness, 0, true, false)
	t.startFirst(ctx)
	return t.waitForMetrics(ctx, t.owner, func(m metrics) bool { return m.Once.Owned > t.metricsBefore.Once.Owned })
}

// reachIntentRecorded holds the traffic from the witness to the owner.
func reachIntentRecorded(ctx context.Context, t *trial) error {
	t.fleet.SetLink(t.owner, t.witness, 0, false, true)
	t.startFirst(ctx)
	return t.waitForMetrics(ctx, t.witness, func(m metrics) bool { return m.Once.Intents > t.metricsBefore.Once.Intents })
}

// reachDispatch waits until the owner has admitted the request while a read occupies
// the only connection to the upstream.
func reachDispatch(ctx context.Context, t *trial) error {
	if err := t.holdRead(ctx); err != nil {
		return err
	}
	t.startFirst(ctx)
	return t.waitForMetrics(ctx, t.owner, func(m metrics) bool { return m.Use[0].InFlight > 1 })
}

func reachUpstreamRan(ctx context.Context, t *trial) error {
	return t.reachUpstreamHold(ctx, worker.Faults{HoldRun: "/orders"})
}

func reachHalfResponse(ctx context.Context, t *trial) error {
	return t.reachUpstreamHold(ctx, worker.Faults{HoldHalf: "/orders"})
}

func (t *trial) reachUpstreamHold(ctx context.Context, f worker.Faults) error {
	if err := t.setUpstreamFaults(ctx, f); err != nil {
		return err
	}
	t.startFirst(ctx)
	return t.poll(ctx, func() (bool, error) {
		runs, err := t.countRuns(ctx)
		return runs > 0, err
	})
}

// reachOutcomeRecorded lets the owner get the response and pass it on to the caller,
// while the traffic from the owner to the witness is held.
func reachOutcomeRecorded(ctx context.Context, t *trial) error {
	if err := reachUpstreamRan(ctx, t); err != nil {
		return err
	}
	t.fleet.SetLink(t.owner, t.witness, 0, true, false)
	if err := releaseUpstreams(ctx, t); err != nil {
		return err
	}
	return t.waitForFirst()
}

func reachReplay(ctx context.Context, t *trial) error {
	t.startFirst(ctx)
	return t.waitForFirst()
}

// waitForFirst waits for the first caller's outcome and puts it back for the next
// reader.
func (t *trial) waitForFirst() error {
	outcome := <-t.firstOutcome
	t.firstOutcome <- outcome
	return nil
}

func releaseUpstreams(ctx context.Context, t *trial) error {
	if t.cell.fault.upstreamFaults != nil {
		return t.setUpstreamFaults(ctx, *t.cell.fault.upstreamFaults)
	}
	return t.setUpstreamFaults(ctx, worker.Faults{})
}

// releaseWitnessLink ends the hold on the traffic between owner and witness, unless
// the fault itself holds or delays traffic.
func releaseWitnessLink(_ context.Context, t *trial) error {
	if t.cell.fault.affectsLinks {
		return nil
	}
	t.fleet.SetLink(t.owner, t.witness, time.Duration(0), false, false)
	return nil
}
