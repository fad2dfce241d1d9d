package prover

import (
	"context"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

const (
	// freezeDuration is longer than a request's deadline, the timeout of an intent,
	// and the silence after which a peer is considered dead.
	freezeDuration = 4 * time.Second
	linkDelay      = 300 * time.Millisecond
)

// fault is a failure that is injected at a step. affectsLinks is true if it changes
// the traffic between daemons. upstreamFaults, if not nil, are the faults that the
// upstreams have from then on.
type fault struct {
	name           string
	affectsLinks   bool
	upstreamFaults *worker.Faults
	inject         func(ctx context.Context, t *trial) error
}

func faults() []fault {
	return []fault{
		{name: "kill owner", inject: func(_ context.Context, t *trial) error { return kill(t.owner) }},
		{name: "kill witness", inject: func(_ context.Context, t *trial) error { return kill(t.witness) }},
		{name: "freeze owner", inject: func(_ context.Context, t *trial) error { return freeze(t.owner) }},
		{name: "freeze witness", inject: func(_ context.Context, t *trial) error { return freeze(t.witness) }},
		{name: "cut from the owner", affectsLinks: true, inject: holdLinks(true, false)},
		{name: "cut to the owner", affectsLinks: true, inject: holdLinks(false, true)},
		{name: "cut both ways", affectsLinks: true, inject: holdLinks(true, true)},
		{name: "delay", affectsLinks: true, inject: func(_ context.Context, t *trial) error {
			t.setOwnerLinks(linkDelay, false, false)
			return nil
		}},
		{name: "answer lost", inject: disconnectCaller},
		{name: "duplicate", inject: sendDuplicate},
		{name: "upstream closes after reading", upstreamFaults: &worker.Faults{CloseAfterRead: 1}, inject: injectUpstreamFaults},
		{name: "upstream sheds", upstreamFaults: &worker.Faults{Shed: 100}, inject: injectUpstreamFaults},
		{name: "caller gone", inject: disconnectCaller},
		{name: "platform outage", inject: func(ctx context.Context, t *trial) error {
			return t.setPlatformFaults(ctx, storekeeper.Faults{Outage: true})
		}},
		{name: "restart on the same address", inject: func(ctx context.Context, t *trial) error {
			t.owner.Kill()
			return t.fleet.Restart(ctx, t.owner)
		}},
	}
}

// skipReason returns why the fault can't be injected at a step, or an empty string
// if it can.
func (f fault) skipReason(s step) string {
	ran := s.name == "upstream ran" || s.name == "answer under way"
	decided := s.name == "outcome recorded" || s.name == "replay"
	switch {
	case f.upstreamFaults != nil && (ran || decided):
		return "the upstream has read the request before"
	case f.name == "caller gone" && (s.name == "look-up" || decided):
		return "no caller waits there"
	case f.name == "answer lost" && !decided && !ran:
		return "there is no answer yet; the same as caller gone"
	}
	return ""
}

func kill(d *launcher.Daemon) error {
	d.Kill()
	return nil
}

// freeze stops a daemon for freezeDuration, so that every timeout passes, and resumes
// it during the retries.
func freeze(d *launcher.Daemon) error {
	d.Freeze()
	time.AfterFunc(freezeDuration, d.Resume)
	return nil
}

// holdLinks returns a fault that holds the traffic between the owner and all other
// daemons.
func holdLinks(fromOwner, toOwner bool) func(context.Context, *trial) error {
	return func(_ context.Context, t *trial) error {
		t.setOwnerLinks(0, fromOwner, toOwner)
		return nil
	}
}

// disconnectCaller closes the first caller's connection. At a step after the
// response that response counts as lost.
func disconnectCaller(_ context.Context, t *trial) error {
	if t.cancelFirst != nil {
		t.cancelFirst()
	}
	return nil
}

// sendDuplicate sends the same request through the other daemon of the owner's zone
// while the first request is held at the step.
func sendDuplicate(ctx context.Context, t *trial) error {
	go func() { _ = t.sendRequest(ctx, t.zonePeer) }()
	return nil
}

func injectUpstreamFaults(ctx context.Context, t *trial) error {
	if t.cell.step.name == "admit" || t.cell.step.name == "dispatch, before first byte" {
		// At these steps the upstreams must hold a read until the step is released.
		// Then releaseUpstreams sets the fault.
		return nil
	}
	return t.setUpstreamFaults(ctx, *t.cell.fault.upstreamFaults)
}
