package prover

import (
	"context"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

// step is a place on a request's way. Reach brings the request there and keeps
// it, leave lets it go on. Skip says why it can't be reached on processes.
type step struct {
	name  string
	path  string
	skip  string
	reach func(ctx context.Context, t *trial) error
	leave func(ctx context.Context, t *trial) error
}

func nothing(context.Context, *trial) error { return nil }

func steps() []step {
	return []step{
		{name: "look-up", path: "/orders", reach: nothing, leave: sendFirst},
		{name: "admit", path: "/bulk", reach: reachAdmit, leave: releaseUpstreams},
		{name: "intent sent", path: "/orders", reach: reachIntentSent, leave: releaseLinks},
		{name: "intent recorded", path: "/orders", reach: reachIntentRecorded, leave: releaseLinks},
		{name: "dispatch, before first byte", path: "/orders", reach: reachDispatch, leave: releaseUpstreams},
		{
			name: "mid body", path: "/orders", reach: nothing, leave: nothing,
			skip: "loopback's buffers take a whole body; walked in the model as a request on its way",
		},
		{name: "upstream ran", path: "/orders", reach: reachRan, leave: releaseUpstreams},
		{name: "answer under way", path: "/orders", reach: reachHalf, leave: releaseUpstreams},
		{name: "outcome recorded", path: "/orders", reach: reachOutcome, leave: releaseLinks},
		{name: "replay", path: "/orders", reach: reachReplay, leave: nothing},
	}
}

func sendFirst(ctx context.Context, t *trial) error {
	t.start(ctx)
	return nil
}

// reachAdmit queues a request that needs the whole share while a read has part
// of it.
func reachAdmit(ctx context.Context, t *trial) error {
	if err := t.holdRead(ctx); err != nil {
		return err
	}
	t.start(ctx)
	return t.until(ctx, t.owner, func(m metrics) bool { return m.Use[0].Queued > 0 })
}

// reachIntentSent holds up what the owner sends to the witness.
func reachIntentSent(ctx context.Context, t *trial) error {
	t.fleet.SetLink(t.owner, t.witness, 0, true, false)
	t.start(ctx)
	return t.until(ctx, t.owner, func(m metrics) bool { return m.Once.Owned > t.before.Once.Owned })
}

// reachIntentRecorded holds up what the witness answers.
func reachIntentRecorded(ctx context.Context, t *trial) error {
	t.fleet.SetLink(t.owner, t.witness, 0, false, true)
	t.start(ctx)
	return t.until(ctx, t.witness, func(m metrics) bool { return m.Once.Intents > t.before.Once.Intents })
}

// reachDispatch has the request admitted while a read has the one connection.
func reachDispatch(ctx context.Context, t *trial) error {
	if err := t.holdRead(ctx); err != nil {
		return err
	}
	t.start(ctx)
	return t.until(ctx, t.owner, func(m metrics) bool { return m.Use[0].InFlight > 1 })
}

func reachRan(ctx context.Context, t *trial) error {
	return t.reachJournal(ctx, worker.Faults{HoldRun: "/orders"})
}

func reachHalf(ctx context.Context, t *trial) error {
	return t.reachJournal(ctx, worker.Faults{HoldHalf: "/orders"})
}

func (t *trial) reachJournal(ctx context.Context, f worker.Faults) error {
	if err := t.upstreams(ctx, f); err != nil {
		return err
	}
	t.start(ctx)
	return t.await(ctx, func() (bool, error) {
		runs, err := t.runs(ctx)
		return runs > 0, err
	})
}

// reachOutcome lets the owner learn the answer and tell it, while nothing that
// it sends reaches the witness.
func reachOutcome(ctx context.Context, t *trial) error {
	if err := reachRan(ctx, t); err != nil {
		return err
	}
	t.fleet.SetLink(t.owner, t.witness, 0, true, false)
	if err := releaseUpstreams(ctx, t); err != nil {
		return err
	}
	return t.waitFirst()
}

func reachReplay(ctx context.Context, t *trial) error {
	t.start(ctx)
	return t.waitFirst()
}

// waitFirst waits for the first caller's answer and leaves it to be read.
func (t *trial) waitFirst() error {
	told := <-t.first
	t.first <- told
	return nil
}

func releaseUpstreams(ctx context.Context, t *trial) error {
	if t.cell.fault.upstream != nil {
		return t.upstreams(ctx, *t.cell.fault.upstream)
	}
	return t.upstreams(ctx, worker.Faults{})
}

// releaseLinks lets the held messages go on, unless the fault is that they are
// cut or delayed.
func releaseLinks(_ context.Context, t *trial) error {
	if t.cell.fault.link {
		return nil
	}
	t.fleet.SetLink(t.owner, t.witness, time.Duration(0), false, false)
	return nil
}
