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
	// connection dials it; concurrent callers wait for that dial.
	connPool struct {
		mu      sync.Mutex
		conns   map[string]*peerConn
		dialing map[string]chan struct{}
		dial    func(ctx context.Context, address string) (*peerConn, error)
		closed  bool
	}
)

func (p *connPool) get(ctx context.Context, address string) (*peerConn, error) {
	for {
		c, wait, err := p.lookup(address)
		if c != nil || err != nil {
			return c, err
		}
		if wait == nil {
			return p.connect(ctx, address)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "waiting for a link to %s", address)
		}
	}
}

// lookup returns the open connection to an address, or else a channel that is closed when
// the dial in progress ends. If it returns neither, the caller must call connect.
func (p *connPool) lookup(address string) (*peerConn, <-chan struct{}, error) {
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
	if wait, ok := p.dialing[address]; ok {
		return nil, wait, nil
	}
	if p.dialing == nil {
		p.dialing = make(map[string]chan struct{})
	}
	p.dialing[address] = make(chan struct{})
	return nil, nil, nil
}

func (p *connPool) connect(ctx context.Context, address string) (*peerConn, error) {
	c, err := p.dial(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialing[address])
	delete(p.dialing, address)
	if err != nil {
		return nil, err
	}
	if p.closed {
		_ = c.session.Close()
		return nil, errClosed
	}
	p.conns[address] = c
	return c, nil
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
	for address, c := range p.conns {
		_ = c.session.Close()
		delete(p.conns, address)
	}
}
