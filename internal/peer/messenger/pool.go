package messenger

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// errClosed is returned once the messenger's cleanup function was called.
var errClosed = errors.New("the messenger is closed")

type (
	// peerConn is an authenticated connection to a peer.
	peerConn struct {
		session *yamux.Session
		remote  Identity
	}

	// connPool keeps one connection to each address. The first caller that needs a
	// connection starts to dial it, and all callers wait for that dial. A dial goes on when its
	// callers give up: they may allow less time than it takes, and the next one finds it done.
	connPool struct {
		mu      sync.Mutex
		conns   map[string]*peerConn
		dialing map[string]*dialing
		dial    func(ctx context.Context, address string) (*peerConn, error)
		// ctx ends with the pool.
		ctx    context.Context
		cancel context.CancelFunc
		closed bool
	}

	// dialing is a dial in progress. Done is closed when it has ended.
	dialing struct {
		done chan struct{}
		conn *peerConn
		err  error
	}
)

func (p *connPool) get(ctx context.Context, address string) (*peerConn, error) {
	c, d, err := p.lookup(address)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "waiting for a link to %s", address)
	}
}

// lookup returns the open connection to an address, or else the dial in progress, which it
// starts if there is none.
func (p *connPool) lookup(address string) (*peerConn, *dialing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClosed
	}
	if c, ok := p.conns[address]; ok {
		if !c.session.IsClosed() {
			return c, nil, nil
		}
		delete(p.conns, address)
	}
	if d, ok := p.dialing[address]; ok {
		return nil, d, nil
	}
	d := &dialing{done: make(chan struct{})}
	p.dialing[address] = d
	go p.connect(address, d)
	return nil, d, nil
}

func (p *connPool) connect(address string, d *dialing) {
	c, err := p.dial(p.ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(d.done)
	delete(p.dialing, address)
	if err != nil {
		d.err = err
		return
	}
	if p.closed {
		_ = c.session.Close()
		d.err = errClosed
		return
	}
	p.conns[address] = c
	d.conn = c
}

func (p *connPool) remove(address string, c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	_ = c.session.Close()
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cancel()
	for address, c := range p.conns {
		_ = c.session.Close()
		delete(p.conns, address)
	}
}
