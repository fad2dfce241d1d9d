// Package pacer limits the requests per second that a VM sends to a cold upstream.
// The upstream's limit is divided among the VMs; when a VM's share would be less than
// one request, only some of the VMs send.
//
// It handles upstreams of a zone that come back together with empty caches, when all
// waiting requests would be sent to them at once. Requests are counted at all times, so
// that those that were sent before the upstream was found to be cold count in its limit.
//
// # Usage
//
//	limit := pacer.Share(total, vms, rank)
//	if p.CanSend(now, limit) {
//		p.Reserve(now, id)
//		// Open a connection.
//		if p.Confirm(now, id, limit) {
//			// Send.
//		}
//	}
package pacer

import (
	"slices"
	"time"
)

// countWindow is the time over which requests are counted. The platform's limit is
// on any second; the extra 200 ms cover the network delay to the upstream.
const countWindow = 1200 * time.Millisecond

type (
	// ID identifies a request at one upstream.
	ID uint64

	// Pacer holds the times of the recent requests to one upstream. It does no I/O and
	// is not safe for concurrent use.
	Pacer struct {
		requests []request
	}

	request struct {
		id ID
		at time.Time
	}
)

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
	return len(p.requests) < limit
}

// Reserve counts a request that is about to be sent.
func (p *Pacer) Reserve(now time.Time, id ID) {
	p.expire(now)
	p.requests = append(p.requests, request{id: id, at: now})
}

// Confirm counts a reserved request as sent now, and reports whether the requests are within
// the limit. If they are not, the request must not be sent and no longer counts.
func (p *Pacer) Confirm(now time.Time, id ID, limit int) bool {
	p.Cancel(id)
	if !p.CanSend(now, limit) {
		return false
	}
	p.Reserve(now, id)
	return true
}

// Cancel removes a request that was not sent.
func (p *Pacer) Cancel(id ID) {
	p.requests = slices.DeleteFunc(p.requests, func(r request) bool { return r.id == id })
}

func (p *Pacer) expire(now time.Time) {
	for len(p.requests) > 0 && now.Sub(p.requests[0].at) >= countWindow {
		p.requests = p.requests[1:]
	}
}
