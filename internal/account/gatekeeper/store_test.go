package gatekeeper_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/account/gatekeeper"
	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/document/importer"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// store is a fake store with one record, the document. Its spec is the text, and its revision
// the generation.
type store struct {
	clock clockwork.Clock

	mu      sync.Mutex
	record  storer.Record
	failing error
	// deaf makes watches miss all changes, without an error.
	deaf    bool
	changed chan struct{}
}

func (s *store) List(context.Context, storer.Kind, string) (storer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storer.Page{Records: []storer.Record{s.record}, StoreVersion: s.record.Version}, s.failing
}

func (s *store) Changes(ctx context.Context, _ storer.Kind, since storer.Version, wait time.Duration) (storer.Changes, error) {
	end := s.clock.After(wait)
	for {
		s.mu.Lock()
		failing, record, changed := s.failing, s.record, s.changed
		deaf := s.deaf
		s.mu.Unlock()
		switch {
		case failing != nil:
			return storer.Changes{}, failing
		case since.Before(record.Version) && !deaf:
			return storer.Changes{Items: []storer.Change{{Record: record}}, StoreVersion: record.Version}, nil
		}
		select {
		case <-changed:
		case <-end:
			return storer.Changes{StoreVersion: record.Version}, nil
		case <-ctx.Done():
			return storer.Changes{}, ctx.Err()
		}
	}
}

// write sets the document. With another era, it is that of a restored store.
func (s *store) write(era storer.Era, revision storer.Revision, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = storer.Record{Name: "main", Spec: []byte(text), Version: storer.Version{Era: era, Revision: revision}}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err
	close(s.changed)
	s.changed = make(chan struct{})
}

// vm is a gatekeeper with all that brings it documents.
type vm struct {
	store     *store
	clock     *clockwork.FakeClock
	documents *keeper.Keeper
	*gatekeeper.Gatekeeper

	mu        sync.Mutex
	suspended time.Duration
}

// documentText returns a document with an account that has the given keys.
func documentText(keys ...string) string {
	text := "[account acme]\nkeys ="
	for _, key := range keys {
		text += " " + parser.HashKey(key).String()
	}
	return text + "\n"
}

func sourcesOf(text string) parser.Sources {
	return parser.Sources{{Section: parser.Services, Text: []byte(text)}}
}

func startVM(t *testing.T, s *store, clock *clockwork.FakeClock) *vm {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	v := &vm{store: s, clock: clock, documents: keeper.New(log)}
	translate := func(r storer.Record) (namer.Generation, parser.Sources, error) {
		return namer.Generation(r.Version.Revision), sourcesOf(string(r.Spec)), nil
	}
	f := follower.New(s, "config", importer.New(translate, "main", v.documents, log), clock, log,
		follower.WithSuspension(v.slept), follower.WithListConfirmations())
	v.Gatekeeper = gatekeeper.New(f, gatekeeper.Terms{RevokeTimeout: revokeTimeout, MaxApplyDelay: applyDelay}, clock, log)
	v.documents.Subscribe(func(snapshot *keeper.Snapshot) { v.SetDocument(snapshot.Document) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return v
}

func (v *vm) slept() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.suspended
}

func (v *vm) sleep(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.suspended += d
}

// finds checks what Find says of a key.
func (v *vm) finds(key string, want authenticator.Denial) poll.Check {
	return func(poll.LogT) poll.Result {
		if _, denial := v.Find(credential(key)); denial != want {
			return poll.Continue("%q for %q", denial, want)
		}
		return poll.Success()
	}
}

// goOn advances the clock by steps until a check succeeds, as time goes on.
func (v *vm) goOn(t *testing.T, check poll.Check) {
	t.Helper()
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		result := check(l)
		if !result.Done() {
			v.clock.Advance(10 * time.Millisecond)
		}
		return result
	}, poll.WithDelay(time.Millisecond))
}

func newStore(clock clockwork.Clock, keys ...string) *store {
	s := &store{clock: clock, changed: make(chan struct{})}
	s.write(1, 1, documentText(keys...))
	return s
}

// TestKeyAddedAndWithdrawn checks that an added key is accepted at once, a withdrawn one no more,
// also after the store was restored to a state in which it was there.
func TestKeyAddedAndWithdrawn(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	v := startVM(t, newStore(clock, "old"), clock)
	poll.WaitOn(t, v.finds("old", authenticator.None))
	v.store.mu.Lock()
	// The watch does not hear of the change, so only a poll brings it.
	v.store.record = storer.Record{Name: "main", Spec: []byte(documentText("new")), Version: storer.Version{Era: 1, Revision: 2}}
	v.store.mu.Unlock()
	clock.Advance(time.Millisecond)
	assert.Equal(t, <-identify(v.Gatekeeper, "new"), authenticator.None)
	poll.WaitOn(t, v.finds("old", authenticator.UnknownKey))

	before := v.documents.Generation()
	v.store.write(2, 1, documentText("old"))
	for range 20 {
		clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, v.documents.Generation(), before)
	v.goOn(t, v.finds("new", authenticator.None))
	v.goOn(t, v.finds("old", authenticator.UnknownKey))
}

// TestCutOff checks that a VM that the store does not answer refuses keys in time, and accepts
// them again after the store's next answer.
func TestCutOff(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	v := startVM(t, newStore(clock, "key"), clock)
	poll.WaitOn(t, v.finds("key", authenticator.None))
	cut := clock.Now()
	v.store.fail(errors.New("cut off"))
	assert.Assert(t, !v.Stale())
	v.goOn(t, v.finds("key", authenticator.StaleAccounts))
	assert.Assert(t, clock.Since(cut) < revokeTimeout)
	assert.Assert(t, v.Stale())
	v.store.fail(nil)
	v.goOn(t, v.finds("key", authenticator.None))
}

// TestWithdrawnKeyMissedByWatches guards against a poll for an unknown key that makes a withdrawn key
// acceptable for longer than the revoke timeout, since the store's watches miss the change. The
// store is down from shortly after the poll on.
func TestWithdrawnKeyMissedByWatches(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	v := startVM(t, newStore(clock, "old"), clock)
	poll.WaitOn(t, v.finds("old", authenticator.None))
	v.store.mu.Lock()
	v.store.deaf = true
	v.store.mu.Unlock()
	v.store.write(1, 2, documentText("new"))
	withdrawn := clock.Now()
	clock.Advance(revokeTimeout / 5)
	asked := identify(v.Gatekeeper, "new")
	v.goOn(t, func(poll.LogT) poll.Result {
		select {
		case denial := <-asked:
			assert.Equal(t, denial, authenticator.None)
			return poll.Success()
		default:
			return poll.Continue("the request waits")
		}
	})
	v.store.fail(errors.New("down"))
	clock.Advance(revokeTimeout - clock.Since(withdrawn))
	_, denial := v.Find(credential("old"))
	assert.Assert(t, denial != authenticator.None, "the key is accepted %s after it was withdrawn", clock.Since(withdrawn))
}

// TestRefusedDocument guards against a withdrawn key that is accepted for good since the document
// that withdraws it is refused, while the store goes on confirming its record.
func TestRefusedDocument(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	v := startVM(t, newStore(clock, "old"), clock)
	poll.WaitOn(t, v.finds("old", authenticator.None))
	v.store.write(1, 2, "[account")
	withdrawn := clock.Now()
	v.goOn(t, v.finds("old", authenticator.StaleAccounts))
	assert.Assert(t, clock.Since(withdrawn) < revokeTimeout, "accepted until %s after it was withdrawn", clock.Since(withdrawn))
	for range 20 {
		clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
		poll.WaitOn(t, v.finds("old", authenticator.StaleAccounts))
	}
	v.store.write(1, 3, documentText("new"))
	v.goOn(t, v.finds("new", authenticator.None))
	v.goOn(t, v.finds("old", authenticator.UnknownKey))
}

// TestDocumentFromPeerOnly checks that a VM that has just started refuses keys while its document
// is one that a peer sent, since it may be old.
func TestDocumentFromPeerOnly(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	s := newStore(clock, "key")
	s.fail(errors.New("down"))
	v := startVM(t, s, clock)
	_, err := v.documents.Adopt(keeper.Head{Generation: 1}, sourcesOf(documentText("key")))
	assert.NilError(t, err)
	_, denial := v.Identify(t.Context(), credential("key"))
	assert.Equal(t, denial, authenticator.StaleAccounts)
	s.fail(nil)
	v.goOn(t, v.finds("key", authenticator.None))
}

// TestSuspendedVM checks that a VM that was suspended for longer than the revoke timeout refuses
// keys until the store has confirmed them again, though its steady clock stood still.
func TestSuspendedVM(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	v := startVM(t, newStore(clock, "key"), clock)
	poll.WaitOn(t, v.finds("key", authenticator.None))
	v.sleep(8 * time.Second)
	_, denial := v.Find(credential("key"))
	assert.Equal(t, denial, authenticator.StaleAccounts)
	v.goOn(t, v.finds("key", authenticator.None))
}
