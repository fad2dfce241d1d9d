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
	onceRatePerSecond = 200
	onceDuration      = 5 * time.Second
	// batchInterval is the time for which the batched baseline collects orders.
	batchInterval = 5 * time.Millisecond
	tokenCount    = 1000
)

// roundTrips are the users' round-trip times: between zones of the deployments Lone
// Star and Tavua, and between their regions, since the platform's store may be in
// another region.
var roundTrips = []time.Duration{3 * time.Millisecond, 5 * time.Millisecond, 12 * time.Millisecond, 55 * time.Millisecond}

// MeasureOnce measures the latency that the witness adds to a once-only request. It
// compares it with a request sent directly to the upstream, without any witness,
// and with two baselines: a conditional create in the platform for each order,
// single and batched. The same round-trip time is added to the path to the witness
// and to that to the platform.
func MeasureOnce(ctx context.Context, programs string, out io.Writer) error {
	for _, rtt := range append([]time.Duration{0}, roundTrips...) {
		if err := onceAt(ctx, programs, rtt, out); err != nil {
			return err
		}
	}
	return nil
}

func onceAt(ctx context.Context, programs string, rtt time.Duration, out io.Writer) error {
	fleet, cleanup, err := launchFleet(ctx, programs, 2, true, "other")
	if err != nil {
		return err
	}
	defer cleanup()
	fleet.SetLink(fleet.Daemons[0], fleet.Daemons[1], rtt/2, false, false)
	address := fleet.Platform.Address("address")
	if err := launcher.Put(ctx, address, "/stand/faults", storekeeper.Faults{Delay: rtt}); err != nil {
		return err
	}
	client := newClient()
	upstream := fleet.Upstreams[0].Process.Address("address")
	probe, closeProbe, err := newWitnessProbe(fleet)
	if err != nil {
		return err
	}
	defer closeProbe()
	tokens := &tokenPool{client: client, address: fleet.Daemons[0].Address("callers")}
	store, closeStore := platform.NewStorer(address)
	defer closeStore()
	b := &batchWriter{store: store}
	variants := []variant{
		{"straight to the upstream", func(ctx context.Context) error {
			return doRequest(ctx, client, http.MethodPost, "http://"+upstream+"/orders", "", []byte("x"), nil)
		}},
		{"token with a witness", tokens.sendOrder},
		{"create in the platform for each order", func(ctx context.Context) error {
			if _, err := store.Put(ctx, "order-"+strconv.FormatInt(b.singleWrites.Add(1), 10), []byte("x"), storer.Absent); err != nil {
				return err
			}
			return doRequest(ctx, client, http.MethodPost, "http://"+upstream+"/orders", "", []byte("x"), nil)
		}},
		{"create in the platform, batched over 5 ms", func(ctx context.Context) error {
			if err := b.create(ctx); err != nil {
				return err
			}
			return doRequest(ctx, client, http.MethodPost, "http://"+upstream+"/orders", "", []byte("x"), nil)
		}},
		{"round trip to the witness alone", probe},
	}
	if err := tokens.fetch(ctx); err != nil {
		return err
	}
	var before, after storekeeper.Counts
	if err := launcher.Get(ctx, address, "/stand/counts", &before); err != nil {
		return err
	}
	results := runAlternating(ctx, variants, onceRatePerSecond, onceDuration)
	if err := launcher.Get(ctx, address, "/stand/counts", &after); err != nil {
		return err
	}
	fmt.Fprintf(out, "round trip %v\n", rtt)
	printLatencies(out, variants, results)
	direct := results[0].sinceDue
	witness := results[1].sinceDue
	// The writes that are not of the two baselines are the daemons' own.
	singleWrites := int(b.singleWrites.Load())
	witnessRTT := results[4].sinceDue
	daemonWrites := after.Writes - before.Writes - int(b.batchWrites.Load()) - singleWrites
	fmt.Fprintf(out, "once rtt=%v added p50=%dµs p99=%dµs roundtrip p50=%dµs platformwrites: witness=%d each=%d batched=%d\n", rtt,
		witness.ValueAtQuantile(50)-direct.ValueAtQuantile(50), witness.ValueAtQuantile(99)-direct.ValueAtQuantile(99),
		witnessRTT.ValueAtQuantile(50), daemonWrites, singleWrites, b.batchWrites.Load())
	return nil
}

// newWitnessProbe returns a function that sends the smallest request to the
// witness, as the first daemon does, and waits for the reply.
func newWitnessProbe(fleet *launcher.Fleet) (func(context.Context) error, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "opening a listener")
	}
	self := messenger.Identity{VM: fleet.Daemons[0].VM, Incarnation: namer.Incarnation{1}}
	m, cleanup, err := messenger.New(ln, self, [][]byte{[]byte(launcher.PeerKey)})
	if err != nil {
		return nil, nil, err
	}
	address := fleet.Daemons[1].PeerAddress()
	question := &encoder.Request{Kind: &encoder.Request_Intent{Intent: &encoder.Intent{Token: arbiter.Token{}.Proto()}}}
	return func(ctx context.Context) error {
		_, err := m.Call(ctx, address, namer.Incarnation{}, question)
		return err
	}, cleanup, nil
}

// tokenPool holds tokens that were fetched before the measurement.
type tokenPool struct {
	client  *http.Client
	address string
	mu      sync.Mutex
	tokens  []string
}

func (p *tokenPool) fetch(ctx context.Context) error {
	var a responder.TokensResponse
	target := fmt.Sprintf("http://%s/v1/tokens?service=desk&count=%d", p.address, tokenCount)
	if err := doRequest(ctx, p.client, http.MethodPost, target, "", nil, &a); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = append(p.tokens, a.Tokens...)
	return nil
}

func (p *tokenPool) sendOrder(ctx context.Context) error {
	p.mu.Lock()
	if len(p.tokens) == 0 {
		p.mu.Unlock()
		return errors.New("no token left")
	}
	token := p.tokens[0]
	p.tokens = p.tokens[1:]
	p.mu.Unlock()
	return doRequest(ctx, p.client, http.MethodPost, "http://"+p.address+"/v1/s/desk/orders", token, []byte("x"), nil)
}

// batchWriter creates one object in the platform for all orders that arrive within
// batchInterval. It also counts the creates of the baseline without batches.
type batchWriter struct {
	store        *storer.Storer
	singleWrites atomic.Int64
	batchWrites  atomic.Int64
	mu           sync.Mutex
	current      *batch
}

type batch struct {
	done chan struct{}
	err  error
}

func (b *batchWriter) create(ctx context.Context) error {
	b.mu.Lock()
	if b.current == nil {
		b.current = &batch{done: make(chan struct{})}
		go b.write(context.WithoutCancel(ctx), b.current)
	}
	joined := b.current
	b.mu.Unlock()
	<-joined.done
	return joined.err
}

func (b *batchWriter) write(ctx context.Context, pending *batch) {
	time.Sleep(batchInterval)
	b.mu.Lock()
	b.current = nil
	b.mu.Unlock()
	key := "batch-" + strconv.FormatInt(b.batchWrites.Add(1), 10)
	_, pending.err = b.store.Put(ctx, key, []byte("x"), storer.Absent)
	close(pending.done)
}
