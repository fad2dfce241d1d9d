package runner_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
)

// TestReadyWithSlowStore guards against a VM that never becomes ready, or learns of no further
// change, because each call to a slow store is given up before the answer comes.
func TestReadyWithSlowStore(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.storekeeper.SetFaults(storekeeper.Faults{Delay: 3 * time.Second})
	d := start(t, "vm-1", f.storeAddress, "")
	d.waitReady(t)
	f.configure(t, 2, "/stock/")
	d.awaitLog(t, `msg="in force" vm=vm-1 generation=2`)
	f.storekeeper.SetFaults(storekeeper.Faults{})
}

// TestReadyAfterOutageOfStore guards against a VM that becomes ready late once the store is back,
// because it waits for the answers to calls that the store has dropped.
func TestReadyAfterOutageOfStore(t *testing.T) {
	t.Parallel()
	const (
		outage = 5 * time.Second
		// limit is the time between two calls of a VM without records, and what a call takes.
		limit = 2500 * time.Millisecond
	)
	f := newFixture(t)
	store := newDroppingStore(t, f.storeAddress)
	d := start(t, "vm-1", store.address(), "")
	time.Sleep(outage)
	store.forward()
	begun := time.Now()
	d.waitReady(t)
	assert.Assert(t, time.Since(begun) < limit, "ready after %s", time.Since(begun))
}

// droppingStore passes connections on to a store, but drops all that comes on those that were
// opened before forward was called.
type droppingStore struct {
	listener   net.Listener
	to         string
	forwarding atomic.Bool
}

func newDroppingStore(t *testing.T, to string) *droppingStore {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &droppingStore{listener: ln, to: to}
	go s.serve()
	return s
}

func (s *droppingStore) address() string { return s.listener.Addr().String() }

func (s *droppingStore) forward() { s.forwarding.Store(true) }

func (s *droppingStore) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.pass(conn, s.forwarding.Load())
	}
}

func (s *droppingStore) pass(conn net.Conn, forwarding bool) {
	defer func() { _ = conn.Close() }()
	if !forwarding {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	store, err := net.Dial("tcp", s.to)
	if err != nil {
		return
	}
	defer func() { _ = store.Close() }()
	go func() { _, _ = io.Copy(store, conn) }()
	_, _ = io.Copy(conn, store)
}
