// Package cutter is a small relay that stands before one daemon's listener for
// peers. It can add delay to, and hold up, what travels between that daemon
// and any one peer, in either direction. What is held up is not lost: it
// arrives late, as TCP delivers it when a network heals.
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
	chunkBytes = 32 << 10
	queueSize  = 256
	holdPause  = 5 * time.Millisecond
)

type (
	// Rule is what happens on the connections that a peer opens. Toward is the
	// direction from that peer to the daemon behind the relay.
	Rule struct {
		Delay          time.Duration
		HoldToDaemon   bool
		HoldFromDaemon bool
	}

	// Cutter is the relay.
	Cutter struct {
		listener net.Listener
		done     chan struct{}

		mu     sync.Mutex
		target string
		rules  map[namer.VM]Rule
		conns  []net.Conn
	}

	// part is bytes on their way, with the time at which they came.
	part struct {
		at   time.Time
		data []byte
	}
)

// New returns a relay on a port of the kernel's choice.
func New() (*Cutter, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "opening a listener")
	}
	c := &Cutter{listener: ln, done: make(chan struct{}), rules: make(map[namer.VM]Rule)}
	go c.accept()
	return c, c.close, nil
}

// Address returns where peers reach the relay.
func (c *Cutter) Address() string {
	return c.listener.Addr().String()
}

// SetTarget sets the daemon behind the relay.
func (c *Cutter) SetTarget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = address
}

// SetRule sets what happens on the connections that a peer opens.
func (c *Cutter) SetRule(from namer.VM, r Rule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules[from] = r
}

func (c *Cutter) rule(from namer.VM) Rule {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rules[from]
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
		go c.relay(conn)
	}
}

// relay reads the greeting, which names the peer, and copies from then on.
func (c *Cutter) relay(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	hello := &encoder.Hello{}
	if err := encoder.Read(reader, hello); err != nil {
		return
	}
	from := namer.VM(hello.GetVm())
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
	if !c.hold(from, time.Now(), toward) || encoder.Write(out, hello) != nil {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.copy(out, reader, from, toward) })
	both.Go(func() { c.copy(conn, bufio.NewReader(out), from, back) })
	both.Wait()
}

// toward and back select a rule's direction.
func toward(r Rule) bool { return r.HoldToDaemon }

func back(r Rule) bool { return r.HoldFromDaemon }

func (c *Cutter) copy(to net.Conn, from *bufio.Reader, vm namer.VM, cut func(Rule) bool) {
	queue := make(chan part, queueSize)
	go func() {
		defer close(queue)
		for {
			data := make([]byte, chunkBytes)
			n, err := from.Read(data)
			if n > 0 {
				queue <- part{at: time.Now(), data: data[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for p := range queue {
		if broken || !c.hold(vm, p.at, cut) {
			broken = true
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			broken = true
		}
	}
	_ = to.Close()
}

// hold waits until bytes that came at a time may go on. It returns false when
// the relay ends first.
func (c *Cutter) hold(vm namer.VM, at time.Time, cut func(Rule) bool) bool {
	for {
		r := c.rule(vm)
		wait := time.Until(at.Add(r.Delay))
		if cut(r) {
			wait = holdPause
		}
		if wait <= 0 {
			return true
		}
		select {
		case <-time.After(wait):
		case <-c.done:
			return false
		}
	}
}
