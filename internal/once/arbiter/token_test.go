package arbiter

import (
	"crypto/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

func newMinter(t testing.TB, limit int) *Minter {
	m, err := NewMinter(namer.Incarnation{1}, "10.0.0.1:1", rand.Reader, limit)
	assert.NilError(t, err)
	return m
}

func TestTokenTextRoundTrip(t *testing.T) {
	t.Parallel()
	m := newMinter(t, 10)
	token, err := m.Mint(time.Now(), time.Minute, "desk", WitnessPeer{Incarnation: namer.Incarnation{2}, PeerAddress: "10.0.0.2:1"})
	assert.NilError(t, err)
	got, err := ParseToken(token.Text())
	assert.NilError(t, err)
	assert.Equal(t, got, token)
	assert.Assert(t, m.Verify(got))
}

// TestForgedTokens checks that Verify rejects a token with any field changed, and
// a token of another process.
func TestForgedTokens(t *testing.T) {
	t.Parallel()
	m := newMinter(t, 10)
	token, err := m.Mint(time.Now(), time.Minute, "desk", WitnessPeer{PeerAddress: "10.0.0.2:1"})
	assert.NilError(t, err)
	for name, change := range map[string]func(*Token){
		"owner":         func(t *Token) { t.Owner[0]++ },
		"owner address": func(t *Token) { t.OwnerPeerAddress += "1" },
		"witness":       func(t *Token) { t.Witness[0]++ },
		"shifted text": func(t *Token) {
			t.OwnerPeerAddress, t.WitnessPeerAddress = t.OwnerPeerAddress+t.WitnessPeerAddress[:1], t.WitnessPeerAddress[1:]
		},
		"nonce":   func(t *Token) { t.Nonce[0]++ },
		"expiry":  func(t *Token) { t.Expiry = t.Expiry.Add(time.Hour) },
		"service": func(t *Token) { t.Service = "other" },
		"mac":     func(t *Token) { t.mac[0]++ },
	} {
		forged := token
		change(&forged)
		assert.Assert(t, !m.Verify(forged), name)
	}
	assert.Assert(t, !newMinter(t, 10).Verify(token), "another process with the same name")
}

func TestMinterLimitsOutstandingTokens(t *testing.T) {
	t.Parallel()
	m := newMinter(t, 2)
	now := time.Unix(1000, 0)
	for range 2 {
		_, err := m.Mint(now, time.Minute, "desk", WitnessPeer{})
		assert.NilError(t, err)
	}
	_, err := m.Mint(now, time.Minute, "desk", WitnessPeer{})
	assert.ErrorIs(t, err, ErrTooManyTokens)
	_, err = m.Mint(now.Add(2*time.Minute), time.Minute, "desk", WitnessPeer{})
	assert.NilError(t, err)
}

// TestTokensAreUnique checks that no two of many tokens are equal. The callers of an
// entry VM, such as those that share a cached look-up response, must not get the same
// token: their two requests would share one run.
func TestTokensAreUnique(t *testing.T) {
	t.Parallel()
	m := newMinter(t, 10000)
	seen := make(map[string]bool)
	for range 10000 {
		token, err := m.Mint(time.Now(), time.Minute, "desk", WitnessPeer{})
		assert.NilError(t, err)
		assert.Assert(t, !seen[token.Text()])
		seen[token.Text()] = true
	}
}

func FuzzParseToken(f *testing.F) {
	token, err := newMinter(f, 10).Mint(time.Now(), time.Minute, "desk", WitnessPeer{PeerAddress: "10.0.0.2:1"})
	assert.NilError(f, err)
	f.Add(token.Text())
	f.Add("")
	f.Add("AAAA")
	m := newMinter(f, 10)
	f.Fuzz(func(t *testing.T, text string) {
		got, err := ParseToken(text)
		if err != nil {
			return
		}
		if m.Verify(got) {
			t.Fatalf("Verify accepts a token that was not minted: %q", text)
		}
		again, err := ParseToken(got.Text())
		if err != nil || again != got {
			t.Fatalf("%q changes when it is encoded and parsed again", text)
		}
	})
}

func BenchmarkOwner(b *testing.B) {
	m := newMinter(b, b.N+1<<30)
	o := NewOwner(namer.Incarnation{1}, m)
	now := time.Now()
	for b.Loop() {
		t, _ := m.Mint(now, time.Minute, "desk", WitnessPeer{Incarnation: namer.Incarnation{2}})
		o.Begin(now, t, Digest{})
		o.IntentAnswered(t.Nonce, Verdict{Accepted: true})
		o.MarkSent(t.Nonce)
		o.Finish(t.Nonce, Outcome{Execution: Ran})
	}
}
