// Package pacer bounds how many requests a VM sends to a cold upstream within
// any second. The whole is divided by the number of VMs; where a VM's part would
// be under one request, only some of the VMs send.
//
// It answers the pattern in which a zone's upstreams come back together with
// empty caches and all waiting work meets them at once.
//
// # Usage
//
//	most := pacer.Part(whole, vms, rank)
//	if p.Take(now, most) {
//		// Send.
//	}
package pacer

import "time"

// span is the length over which requests are counted; the platform's bound is
// on any second. A little more covers the way to the upstream.
const span = 1200 * time.Millisecond

// Pacer remembers the sends of the last second to one upstream. It is pure, and
// not safe for concurrent use.
type Pacer struct {
	sent []time.Time
}

// Share returns a VM's part of a whole that vms VMs share. Rank orders the VMs,
// from 0; a whole smaller than the number of VMs goes to the first ones.
func Share(whole, vms, rank int) int {
	if vms <= 0 {
		return 0
	}
	part := whole / vms
	if part == 0 && rank < whole {
		return 1
	}
	return part
}

// CanSend reports whether another request fits.
func (p *Pacer) CanSend(now time.Time, most int) bool {
	p.forget(now)
	return len(p.sent) < most
}

// RecordSend counts a send.
func (p *Pacer) RecordSend(now time.Time) {
	p.sent = append(p.sent, now)
}

func (p *Pacer) forget(now time.Time) {
	for len(p.sent) > 0 && now.Sub(p.sent[0]) >= span {
		p.sent = p.sent[1:]
	}
}
