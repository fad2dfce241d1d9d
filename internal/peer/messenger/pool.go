package messenger

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// errClosed is returned after the messenger's clean-up.
var errClosed = errors.New("the messenger is closed")

type (
	link struct {
		session *yamux.Session
		remote  Identity
	}

	// linkPool keeps one session to each address. A link is dialed by the
	// first that asks; others wait for it.
	linkPool struct {
		mu      sync.Mutex
		entries map[string]*link
		dialing map[string]chan struct{}
		dial    func(ctx context.Context, address string) (*link, error)
		closed  bool
	}
)

func (p *linkPool) get(ctx context.Context, address string) (*link, error) {
	for {
		l, wait, err := p.look(address)
		if l != nil || err != nil {
			return l, err
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

// look returns the live link to an address, or the dial in progress to wait
// for. When it returns neither, the caller must connect.
func (p *linkPool) look(address string) (*link, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClosed
	}
	if l, ok := p.entries[address]; ok {
		if !l.session.IsClosed() {
			return l, nil, nil
		}
		delete(p.entries, address)
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

func (p *linkPool) connect(ctx context.Context, address string) (*link, error) {
	l, err := p.dial(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialing[address])
	delete(p.dialing, address)
	if err != nil {
		return nil, err
	}
	if p.closed {
		_ = l.session.Close()
		return nil, errClosed
	}
	p.entries[address] = l
	return l, nil
}

func (p *linkPool) drop(address string, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[address] == l {
		delete(p.entries, address)
	}
	_ = l.session.Close()
}

func (p *linkPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, l := range p.entries {
		_ = l.session.Close()
		delete(p.entries, address)
	}
}
