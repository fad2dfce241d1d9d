// Package cutter is a TCP proxy in front of one daemon's peer listener. For each
// peer it can delay or hold the traffic between that peer and the daemon, in
// either direction. Held bytes are not lost: they are delivered once the hold
// ends, as TCP does after a network partition.
//
// # Usage
//
//	c, cleanup, err := cutter.New()
//	defer cleanup()
//	c.SetTarget("127.0.0.1:7002")
//	c.SetRule("za-1", cutter.Rule{CutToward: true})
package cutter

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

const (
	maxChunkBytes     = 32 << 10
	maxQueuedChunks   = 256
	holdCheckInterval = 5 * time.Millisecond
)

type (
	// Rule says how the proxy treats the connections that a peer opens. Delay
	// applies to both directions; a hold stops one direction, from the peer to the
	// daemon or from the daemon to the peer, until the rule changes.
	Rule struct {
		Delay          time.Duration
		HoldToDaemon   bool
		HoldFromDaemon bool
	}

	// Cutter is the proxy.
	Cutter struct {
		listener net.Listener
		done     chan struct{}

		mu     sync.Mutex
		target string
		rules  map[namer.VM]Rule
		conns  []net.Conn
	}

	// chunk is data in transit, with the time at which the proxy received it.
	chunk struct {
		receivedAt time.Time
		data       []byte
	}
)

// New starts a proxy on a loopback port that the kernel chooses, and returns it
// with the function that stops it.
func New() (*Cutter, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "opening a listener")
	}
	c := &Cutter{listener: ln, done: make(chan struct{}), rules: make(map[namer.VM]Rule)}
	go c.accept()
	return c, c.close, nil
}

// Address returns the address at which peers reach the proxy.
func (c *Cutter) Address() string {
	return c.listener.Addr().String()
}

// SetTarget sets the address of the daemon behind the proxy. It applies to new
// connections.
func (c *Cutter) SetTarget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = address
}

// SetRule sets the rule for the connections that a peer opens, those already open
// included.
func (c *Cutter) SetRule(peer namer.VM, r Rule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules[peer] = r
}

func (c *Cutter) rule(peer namer.VM) Rule {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rules[peer]
}

func (c *Cutter) close() {
	close(c.done)
	_ = c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *Cutter) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.proxy(conn)
	}
}

// proxy reads the hello message, which identifies the peer, and then forwards
// data in both directions.
func (c *Cutter) proxy(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	hello := &encoder.Hello{}
	if err := encoder.Read(reader, hello); err != nil {
		return
	}
	peer := namer.VM(hello.GetVm())
	c.mu.Lock()
	address := c.target
	c.mu.Unlock()
	out, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	c.mu.Lock()
	c.conns = append(c.conns, conn, out)
	c.mu.Unlock()
	if !c.wait(peer, time.Now(), holdsToDaemon) || encoder.Write(out, hello) != nil {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(out, reader, peer, holdsToDaemon) })
	directions.Go(func() { c.forward(conn, bufio.NewReader(out), peer, holdsFromDaemon) })
	directions.Wait()
}

// holdsToDaemon and holdsFromDaemon report whether a rule holds the data of one
// direction.
func holdsToDaemon(r Rule) bool { return r.HoldToDaemon }

func holdsFromDaemon(r Rule) bool { return r.HoldFromDaemon }

func (c *Cutter) forward(to net.Conn, from *bufio.Reader, peer namer.VM, held func(Rule) bool) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			data := make([]byte, maxChunkBytes)
			n, err := from.Read(data)
			if n > 0 {
				queue <- chunk{receivedAt: time.Now(), data: data[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	stopped := false
	for queued := range queue {
		if stopped || !c.wait(peer, queued.receivedAt, held) {
			stopped = true
			continue
		}
		if _, err := to.Write(queued.data); err != nil {
			stopped = true
		}
	}
	_ = to.Close()
}

// wait blocks until the rule lets data that arrived at receivedAt go on. It
// returns false if the proxy is stopped first.
func (c *Cutter) wait(peer namer.VM, receivedAt time.Time, held func(Rule) bool) bool {
	for {
		r := c.rule(peer)
		delay := time.Until(receivedAt.Add(r.Delay))
		if held(r) {
			delay = holdCheckInterval
		}
		if delay <= 0 {
			return true
		}
		select {
		case <-time.After(delay):
		case <-c.done:
			return false
		}
	}
}
