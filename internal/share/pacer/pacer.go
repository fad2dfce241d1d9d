// Package pacer limits the requests per second that a VM sends to a cold upstream.
// The upstream's limit is divided among the VMs; when a VM's share would be less than
// one request, only some of the VMs send.
//
// It handles upstreams of a zone that come back together with empty caches, when all
// waiting requests would be sent to them at once.
//
// # Usage
//
//	limit := pacer.Share(total, vms, rank)
//	if p.CanSend(now, limit) {
//		p.RecordSend(now)
//		// Send.
//	}
package pacer

import "time"

// countWindow is the time over which requests are counted. The platform's limit is
// on any second; the extra 200 ms cover the network delay to the upstream.
const countWindow = 1200 * time.Millisecond

// Pacer holds the times of the recent requests to one upstream. It does no I/O and
// is not safe for concurrent use.
type Pacer struct {
	sent []time.Time
}

// Share returns one VM's share of a total that is divided among vms VMs. Rank is the
// VM's position among them, from 0. When the total is less than the number of VMs,
// only the first ones have a share. A rank that is not below vms has none.
func Share(total, vms, rank int) int {
	if vms <= 0 || rank >= vms {
		return 0
	}
	share := total / vms
	if share == 0 && rank < total {
		return 1
	}
	return share
}

// CanSend reports whether another request is within the limit.
func (p *Pacer) CanSend(now time.Time, limit int) bool {
	p.expire(now)
	return len(p.sent) < limit
}

// RecordSend counts a request that was sent.
func (p *Pacer) RecordSend(now time.Time) {
	p.sent = append(p.sent, now)
}

func (p *Pacer) expire(now time.Time) {
	for len(p.sent) > 0 && now.Sub(p.sent[0]) >= countWindow {
		p.sent = p.sent[1:]
	}
}
