package gatekeeper_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/account/gatekeeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
)

const (
	revokeTimeout = 5 * time.Second
	applyDelay    = 3 * time.Second
)

// confirmations is a fake. Each poll waits for confirm.
type confirmations struct {
	clock *clockwork.FakeClock

	mu        sync.Mutex
	at        time.Time
	polls     int
	confirmed chan struct{}
}

func (c *confirmations) AppliedAge() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Since(c.at), !c.at.IsZero()
}

func (c *confirmations) Poll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls++
}

func (c *confirmations) AwaitApplied(ctx context.Context, after time.Time) error {
	for {
		c.mu.Lock()
		at, confirmed := c.at, c.confirmed
		c.mu.Unlock()
		if at.After(after) {
			return nil
		}
		select {
		case <-confirmed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// confirm confirms the accounts as of now.
func (c *confirmations) confirm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.clock.Now()
	close(c.confirmed)
	c.confirmed = make(chan struct{})
}

func (c *confirmations) polled(n int) poll.Check {
	return func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.polls >= n {
			return poll.Success()
		}
		return poll.Continue("%d polls", c.polls)
	}
}

func newFixture(terms gatekeeper.Terms) (*gatekeeper.Gatekeeper, *confirmations) {
	clock := clockwork.NewFakeClock()
	c := &confirmations{clock: clock, confirmed: make(chan struct{})}
	k := gatekeeper.New(c, terms, clock, slog.New(slog.DiscardHandler))
	k.SetDocument(documentOf("known"))
	return k, c
}

func documentOf(keys ...string) *parser.Document {
	d := &parser.Document{}
	for _, key := range keys {
		d.Accounts = append(d.Accounts, parser.Account{Name: "acme", Keys: []parser.KeyHash{parser.HashKey(key)}})
	}
	return d
}

func credential(key string) authenticator.Credential {
	return authenticator.Parse(http.Header{"Authorization": {"Bearer " + key}})
}

// identify calls Identify in another goroutine.
func identify(k *gatekeeper.Gatekeeper, key string) <-chan authenticator.Denial {
	done := make(chan authenticator.Denial, 1)
	go func() {
		_, denial := k.Identify(context.Background(), credential(key))
		done <- denial
	}()
	return done
}

// TestAgeOfAccounts checks up to which age of the accounts keys are accepted.
func TestAgeOfAccounts(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		revoke    time.Duration
		confirmed bool
		age       time.Duration
		want      authenticator.Denial
	}{
		{"young", revokeTimeout, true, 4400 * time.Millisecond, authenticator.None},
		{"too old for what is left of the time", revokeTimeout, true, 4500 * time.Millisecond, authenticator.StaleAccounts},
		{"never confirmed", revokeTimeout, false, 0, authenticator.StaleAccounts},
		{"old, no bound", 0, true, time.Hour, authenticator.None},
		{"never confirmed, no bound", 0, false, 0, authenticator.None},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			k, c := newFixture(gatekeeper.Terms{RevokeTimeout: tc.revoke, MaxApplyDelay: applyDelay})
			if tc.confirmed {
				c.confirm()
			}
			c.clock.Advance(tc.age)
			_, denial := k.Identify(t.Context(), credential("known"))
			assert.Equal(t, denial, tc.want)
			assert.Equal(t, k.Stale(), tc.want != authenticator.None)
			_, denial = k.Identify(t.Context(), authenticator.Credential{})
			assert.Equal(t, denial, authenticator.NoCredential)
		})
	}
}

// TestUnknownKey checks that an unknown key is refused only once the accounts were confirmed
// after the request arrived, and at once shortly after that.
func TestUnknownKey(t *testing.T) {
	t.Parallel()
	k, c := newFixture(gatekeeper.Terms{RevokeTimeout: revokeTimeout, MaxApplyDelay: applyDelay})
	c.confirm()
	done := identify(k, "unknown")
	poll.WaitOn(t, c.polled(1))
	c.clock.Advance(time.Millisecond)
	c.confirm()
	assert.Equal(t, <-done, authenticator.UnknownKey)
	assert.Equal(t, <-identify(k, "unknown"), authenticator.UnknownKey)
	assert.Equal(t, k.State().Asks, int64(1))

	// A document that has the key makes it known at once, the next one without it unknown.
	k.SetDocument(documentOf("known", "unknown"))
	assert.Equal(t, <-identify(k, "unknown"), authenticator.None)
	k.SetDocument(documentOf("known"))
	c.clock.Advance(2 * time.Second)
	assert.Equal(t, <-identify(k, "unknown"), authenticator.UnknownKey)
	assert.Equal(t, k.State().Asks, int64(1))
	k.SetDocument(documentOf("known", "unknown"))
	assert.Equal(t, <-identify(k, "unknown"), authenticator.None)
}

// TestNewKey checks that a key whose document arrives while its first request waits is accepted.
func TestNewKey(t *testing.T) {
	t.Parallel()
	k, c := newFixture(gatekeeper.Terms{RevokeTimeout: revokeTimeout, MaxApplyDelay: applyDelay})
	c.confirm()
	done := identify(k, "new")
	poll.WaitOn(t, c.polled(1))
	k.SetDocument(documentOf("known", "new"))
	c.clock.Advance(time.Millisecond)
	c.confirm()
	assert.Equal(t, <-done, authenticator.None)
}

// TestUnknownKeyUnconfirmed checks what a request with an unknown key gets if the store does
// not answer: 401 only while a VM in touch has to know the key.
func TestUnknownKeyUnconfirmed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		age  time.Duration
		want authenticator.Denial
	}{
		{time.Second, authenticator.UnknownKey},
		{applyDelay, authenticator.StaleAccounts},
	} {
		t.Run(fmt.Sprint(tc.age), func(t *testing.T) {
			t.Parallel()
			k, c := newFixture(gatekeeper.Terms{RevokeTimeout: revokeTimeout, MaxApplyDelay: applyDelay})
			c.confirm()
			c.clock.Advance(tc.age)
			done := identify(k, "unknown")
			assert.NilError(t, c.clock.BlockUntilContext(t.Context(), 1))
			c.clock.Advance(400 * time.Millisecond)
			assert.Equal(t, <-done, tc.want)
		})
	}
}

// TestFloodOfUnknownKeys checks that many unknown keys cost few calls to the store and that few
// requests wait.
func TestFloodOfUnknownKeys(t *testing.T) {
	t.Parallel()
	k, c := newFixture(gatekeeper.Terms{RevokeTimeout: revokeTimeout, MaxApplyDelay: applyDelay})
	c.confirm()
	for second := range 20 {
		done := make(chan authenticator.Denial, 64)
		for i := range cap(done) {
			go func() {
				_, denial := k.Identify(context.Background(), credential(fmt.Sprintf("%d-%d", second, i)))
				done <- denial
			}()
		}
		// Time stands still, so those that are answered don't wait.
		for range cap(done) / 2 {
			assert.Equal(t, <-done, authenticator.UnknownKey)
		}
		for range cap(done) / 2 {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				select {
				case denial := <-done:
					assert.Equal(t, denial, authenticator.UnknownKey)
					return poll.Success()
				default:
					c.clock.Advance(time.Millisecond)
					c.confirm()
					return poll.Continue("a request waits")
				}
			}, poll.WithDelay(time.Microsecond))
		}
		c.clock.Advance(time.Second)
	}
	assert.Assert(t, k.State().Asks <= 2, "%d calls in 20 s", k.State().Asks)
}
