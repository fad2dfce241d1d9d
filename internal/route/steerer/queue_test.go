package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
)

// TestQueueOrder checks that the request with the lower Priority is served first, and within
// a priority the request with the earlier target time.
func TestQueueOrder(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	const urgent, usual = 0, 2
	q := &queue{}
	for _, w := range []*waiter{
		{request: selector.Request{Priority: usual, Service: "b", TargetTime: now.Add(2 * time.Second)}},
		{request: selector.Request{Priority: urgent, Service: "d", TargetTime: now.Add(9 * time.Second)}},
		{request: selector.Request{Priority: usual, Service: "a", TargetTime: now.Add(time.Second)}},
		{request: selector.Request{Priority: urgent, Service: "c", TargetTime: now.Add(3 * time.Second)}},
	} {
		q.add(w)
	}
	var order []namer.Service
	for _, w := range q.waiters {
		order = append(order, w.request.Service)
	}
	assert.DeepEqual(t, order, []namer.Service{"c", "d", "a", "b"})
	assert.Assert(t, q.hasEarlier(&waiter{request: selector.Request{Priority: usual}}))
	assert.Assert(t, !q.hasEarlier(&waiter{request: selector.Request{Priority: urgent, TargetTime: now}}))
	assert.Assert(t, q.remove(q.waiters[1]))
	assert.Equal(t, len(q.waiters), 3)
}

// TestAccountRank checks that an account's rank replaces that of the route if it has one, and
// that its regions bind beside the route's.
func TestAccountRank(t *testing.T) {
	t.Parallel()
	a := &activeRequest{route: &parser.Route{Priority: 3}}
	assert.Equal(t, a.priority(), 3)
	a.account = &parser.Account{Priority: 7, PermittedRegions: []namer.Region{"r"}}
	assert.Equal(t, a.priority(), 3)
	assert.DeepEqual(t, a.accountRegions(), []namer.Region{"r"})
	a.account.HasPriority = true
	assert.Equal(t, a.priority(), 7)
}
