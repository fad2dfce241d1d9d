package gauger

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

const (
	onceRate = 200
	onceTime = 5 * time.Second
	// batchTime is how long the batched baseline collects orders.
	batchTime  = 5 * time.Millisecond
	tokenBatch = 1000
)

// delays are the users' round trips: between zones of Lone Star and of Tavua,
// and between their regions, where the platform's store may be.
var delays = []time.Duration{3 * time.Millisecond, 5 * time.Millisecond, 12 * time.Millisecond, 55 * time.Millisecond}

// Once measures what the witness adds to a once-only request, against no
// witness at all (straight to the upstream) and against the baselines: a
// conditional create in the platform for each order, alone and batched. A
// delay is added to the witness's way and to the platform's alike.
func Once(ctx context.Context, programs string, out io.Writer) error {
	for _, rtt := range append([]time.Duration{0}, delays...) {
		if err := onceAt(ctx, programs, rtt, out); err != nil {
			return err
		}
	}
	return nil
}

func onceAt(ctx context.Context, programs string, rtt time.Duration, out io.Writer) error {
	fleet, cleanup, err := launch(ctx, programs, 2, true, "other")
	if err != nil {
		return err
	}
	defer cleanup()
	fleet.Link(fleet.Daemons[0], fleet.Daemons[1], rtt/2, false, false)
	address := fleet.Platform.Address("address")
	if err := launcher.Put(ctx, address, "/stand/faults", storekeeper.Faults{Delay: rtt}); err != nil {
		return err
	}
	client := newClient()
	upstream := fleet.Upstreams[0].Process.Address("address")
	ask, closeAsk, err := asker(fleet)
	if err != nil {
		return err
	}
	defer closeAsk()
	tokens := &tokenPool{client: client, address: fleet.Daemons[0].Address("callers")}
	store, closeStore := platform.NewStorer(address)
	defer closeStore()
	b := &batcher{store: store}
	ways := []way{
		{"straight to the upstream", func(ctx context.Context) error {
			return exchange(ctx, client, http.MethodPost, "http://"+upstream+"/orders", "", []byte("x"), nil)
		}},
		{"token with a witness", tokens.order},
		{"create in the platform for each order", func(ctx context.Context) error {
			if _, err := store.Put(ctx, "order-"+strconv.FormatInt(b.next.Add(1), 10), []byte("x"), storer.Absent); err != nil {
				return err
			}
			return exchange(ctx, client, http.MethodPost, "http://"+upstream+"/orders", "", []byte("x"), nil)
		}},
		{"create in the platform, batched over 5 ms", func(ctx context.Context) error {
			if err := b.create(ctx); err != nil {
				return err
			}
			return exchange(ctx, client, http.MethodPost, "http://"+upstream+"/orders", "", []byte("x"), nil)
		}},
		{"round trip to the witness alone", ask},
	}
	if err := tokens.fill(ctx); err != nil {
		return err
	}
	var before, after storekeeper.Counts
	if err := launcher.Get(ctx, address, "/stand/counts", &before); err != nil {
		return err
	}
	results := alternate(ctx, ways, onceRate, onceTime)
	if err := launcher.Get(ctx, address, "/stand/counts", &after); err != nil {
		return err
	}
	fmt.Fprintf(out, "round trip %v\n", rtt)
	printSeries(out, ways, results)
	base := results[0].hist
	witness := results[1].hist
	// Whatever the two baselines did not write, the daemons wrote.
	each := int(b.next.Load())
	trip := results[4].hist
	own := after.Writes - before.Writes - int(b.writes.Load()) - each
	fmt.Fprintf(out, "once rtt=%v added p50=%dµs p99=%dµs roundtrip p50=%dµs platformwrites: witness=%d each=%d batched=%d\n", rtt,
		witness.ValueAtQuantile(50)-base.ValueAtQuantile(50), witness.ValueAtQuantile(99)-base.ValueAtQuantile(99),
		trip.ValueAtQuantile(50), own, each, b.writes.Load())
	return nil
}

// asker returns what sends the smallest question to the witness, as the first
// daemon does, and waits for the verdict.
func asker(fleet *launcher.Fleet) (func(context.Context) error, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "opening a listener")
	}
	self := messenger.Identity{VM: fleet.Daemons[0].VM, Incarnation: namer.Incarnation{1}}
	m, cleanup, err := messenger.New(ln, self, [][]byte{[]byte(launcher.Key)})
	if err != nil {
		return nil, nil, err
	}
	address := fleet.Daemons[1].Peers()
	question := &encoder.Request{Kind: &encoder.Request_Intent{Intent: &encoder.Intent{Token: arbiter.Token{}.Proto()}}}
	return func(ctx context.Context) error {
		_, err := m.Ask(ctx, address, namer.Incarnation{}, question)
		return err
	}, cleanup, nil
}

// tokenPool holds tokens fetched ahead of need.
type tokenPool struct {
	client  *http.Client
	address string
	mu      sync.Mutex
	texts   []string
}

func (p *tokenPool) fill(ctx context.Context) error {
	var a responder.TokensAnswer
	target := fmt.Sprintf("http://%s/v1/tokens?service=desk&count=%d", p.address, tokenBatch)
	if err := exchange(ctx, p.client, http.MethodPost, target, "", nil, &a); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.texts = append(p.texts, a.Tokens...)
	return nil
}

func (p *tokenPool) order(ctx context.Context) error {
	p.mu.Lock()
	if len(p.texts) == 0 {
		p.mu.Unlock()
		return errors.New("no token left")
	}
	text := p.texts[0]
	p.texts = p.texts[1:]
	p.mu.Unlock()
	return exchange(ctx, p.client, http.MethodPost, "http://"+p.address+"/v1/s/desk/orders", text, []byte("x"), nil)
}

// batcher creates one object for all the orders that come within a time.
type batcher struct {
	store  *storer.Storer
	next   atomic.Int64
	writes atomic.Int64
	mu     sync.Mutex
	open   *batch
}

type batch struct {
	done chan struct{}
	err  error
}

func (b *batcher) create(ctx context.Context) error {
	b.mu.Lock()
	if b.open == nil {
		b.open = &batch{done: make(chan struct{})}
		go b.write(context.WithoutCancel(ctx), b.open)
	}
	mine := b.open
	b.mu.Unlock()
	<-mine.done
	return mine.err
}

func (b *batcher) write(ctx context.Context, mine *batch) {
	time.Sleep(batchTime)
	b.mu.Lock()
	b.open = nil
	b.mu.Unlock()
	key := "batch-" + strconv.FormatInt(b.writes.Add(1), 10)
	_, mine.err = b.store.Put(ctx, key, []byte("x"), storer.Absent)
	close(mine.done)
}
