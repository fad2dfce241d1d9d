package prover

import (
	"context"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

const (
	// freezeTime is longer than a deadline, an intent's wait, and the silence
	// after which a peer is dead.
	freezeTime = 4 * time.Second
	delayTime  = 300 * time.Millisecond
)

// fault is what goes wrong at a step. Link says that it is about what travels
// between daemons, upstream what upstreams do from then on.
type fault struct {
	name     string
	link     bool
	upstream *worker.Faults
	cause    func(ctx context.Context, t *trial) error
}

func faults() []fault {
	return []fault{
		{name: "kill owner", cause: func(_ context.Context, t *trial) error { return kill(t.owner) }},
		{name: "kill witness", cause: func(_ context.Context, t *trial) error { return kill(t.witness) }},
		{name: "freeze owner", cause: func(_ context.Context, t *trial) error { return freeze(t.owner) }},
		{name: "freeze witness", cause: func(_ context.Context, t *trial) error { return freeze(t.witness) }},
		{name: "cut from the owner", link: true, cause: cut(true, false)},
		{name: "cut to the owner", link: true, cause: cut(false, true)},
		{name: "cut both ways", link: true, cause: cut(true, true)},
		{name: "delay", link: true, cause: func(_ context.Context, t *trial) error {
			t.isolate(delayTime, false, false)
			return nil
		}},
		{name: "answer lost", cause: callerGone},
		{name: "duplicate", cause: duplicate},
		{name: "upstream closes after reading", upstream: &worker.Faults{CloseAfterRead: 1}, cause: setUpstreams},
		{name: "upstream sheds", upstream: &worker.Faults{Shed: 100}, cause: setUpstreams},
		{name: "caller gone", cause: callerGone},
		{name: "platform outage", cause: func(ctx context.Context, t *trial) error {
			return t.platform(ctx, storekeeper.Faults{Outage: true})
		}},
		{name: "restart on the same address", cause: func(ctx context.Context, t *trial) error {
			t.owner.Kill()
			return t.fleet.Restart(ctx, t.owner)
		}},
	}
}

// skip says why a fault can't be caused at a step.
func (f fault) skip(s step) string {
	late := s.name == "upstream ran" || s.name == "answer under way"
	done := s.name == "outcome recorded" || s.name == "replay"
	switch {
	case f.upstream != nil && (late || done):
		return "the upstream has read the request before"
	case f.name == "caller gone" && (s.name == "look-up" || done):
		return "no caller waits there"
	case f.name == "answer lost" && !done && !late:
		return "there is no answer yet; the same as caller gone"
	}
	return ""
}

func kill(d *launcher.Daemon) error {
	d.Kill()
	return nil
}

// freeze stops a daemon past every wait and lets it go on in the middle of the
// retries.
func freeze(d *launcher.Daemon) error {
	d.Freeze()
	time.AfterFunc(freezeTime, d.Resume)
	return nil
}

func cut(from, to bool) func(context.Context, *trial) error {
	return func(_ context.Context, t *trial) error {
		t.isolate(0, from, to)
		return nil
	}
}

// callerGone ends the first caller's connection; at a step after the answer
// that answer counts as lost.
func callerGone(_ context.Context, t *trial) error {
	if t.cancel != nil {
		t.cancel()
	}
	return nil
}

// duplicate sends the same request through the relay while the first is where
// it is.
func duplicate(ctx context.Context, t *trial) error {
	go func() { _ = t.send(ctx, t.relay) }()
	return nil
}

func setUpstreams(ctx context.Context, t *trial) error {
	if t.cell.step.name == "admit" || t.cell.step.name == "dispatch, before first byte" {
		// The held read must stay held until the step is left.
		return nil
	}
	return t.upstreams(ctx, *t.cell.fault.upstream)
}
