package arbiter

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

const (
	nonceSize = 16
	macSize   = 16
	keySize   = 32

	// maxTokenText bounds the text of a token, whose longest parts are two
	// addresses and a service's name.
	maxTokenText = 1024
)

// ErrFull is returned while as many unexpired tokens are out as the owner can
// remember.
var ErrFull = errors.New("as many tokens are out as this entry VM can remember")

// errToken is returned for a text that is no token.
var errToken = errors.New("not a token")

type (
	// Nonce makes a token unlike any other.
	Nonce [nonceSize]byte

	// Token gives the right to run one request once.
	Token struct {
		Owner        namer.Incarnation
		OwnerPeers   string
		Witness      namer.Incarnation
		WitnessPeers string
		Nonce        Nonce
		Expiry       time.Time
		Service      namer.Service
		mac          [macSize]byte
	}

	// Witness names who remembers the intents of a token. The zero value
	// means that none is in reach.
	Witness struct {
		Incarnation namer.Incarnation
		Peers       string
	}

	// Minter mints tokens and tells its own from others. Its key lives in
	// memory alone, so the tokens of an earlier incarnation are not its own.
	Minter struct {
		self   namer.Incarnation
		peers  string
		key    []byte
		random io.Reader
		limit  int
		out    []expiring
		count  int
	}

	// expiring counts the tokens that expire in one second.
	expiring struct {
		second int64
		count  int
	}
)

// NewMinter returns a minter for one incarnation, which answers peers at an
// address. At most limit unexpired tokens are out at any time, so that the
// owner has room to remember each.
func NewMinter(self namer.Incarnation, peers string, random io.Reader, limit int) (*Minter, error) {
	key := make([]byte, keySize)
	if _, err := io.ReadFull(random, key); err != nil {
		return nil, errors.Wrap(err, "drawing the token key")
	}
	return &Minter{self: self, peers: peers, key: key, random: random, limit: limit}, nil
}

// Mint returns a fresh token for a service.
func (m *Minter) Mint(now time.Time, life time.Duration, service namer.Service, w Witness) (Token, error) {
	m.expire(now)
	if m.count >= m.limit {
		return Token{}, ErrFull
	}
	t := Token{
		Owner:        m.self,
		OwnerPeers:   m.peers,
		Witness:      w.Incarnation,
		WitnessPeers: w.Peers,
		Expiry:       now.Add(life).Truncate(time.Millisecond).UTC(),
		Service:      service,
	}
	if _, err := io.ReadFull(m.random, t.Nonce[:]); err != nil {
		return Token{}, errors.Wrap(err, "drawing a nonce")
	}
	t.mac = m.sum(t)
	m.issue(t.Expiry.Unix())
	return t, nil
}

// Own reports whether this minter minted the token.
func (m *Minter) Own(t Token) bool {
	sum := m.sum(t)
	return hmac.Equal(sum[:], t.mac[:])
}

// Out returns the number of unexpired tokens.
func (m *Minter) Out() int {
	return m.count
}

func (m *Minter) issue(second int64) {
	m.count++
	if n := len(m.out); n > 0 && m.out[n-1].second >= second {
		m.out[n-1].count++
		return
	}
	m.out = append(m.out, expiring{second: second, count: 1})
}

func (m *Minter) expire(now time.Time) {
	for len(m.out) > 0 && m.out[0].second < now.Unix() {
		m.count -= m.out[0].count
		m.out = m.out[1:]
	}
}

// sum covers every field with its length, so that no two tokens have the same
// text to sum.
func (m *Minter) sum(t Token) [macSize]byte {
	h := hmac.New(sha256.New, m.key)
	text := make([]byte, 0, maxTokenText/2)
	text = append(text, t.Owner[:]...)
	text = append(text, t.Witness[:]...)
	text = append(text, t.Nonce[:]...)
	text = binary.BigEndian.AppendUint64(text, uint64(t.Expiry.UnixMilli()))
	for _, part := range []string{t.OwnerPeers, t.WitnessPeers, string(t.Service)} {
		text = binary.BigEndian.AppendUint32(text, uint32(len(part)))
		text = append(text, part...)
	}
	h.Write(text)
	var mac [macSize]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

// Wire returns the token as a message.
func (t Token) Wire() *encoder.Token {
	return &encoder.Token{
		Owner:        t.Owner[:],
		OwnerPeers:   t.OwnerPeers,
		Witness:      t.Witness[:],
		WitnessPeers: t.WitnessPeers,
		Nonce:        t.Nonce[:],
		Expiry:       t.Expiry.UnixMilli(),
		Service:      string(t.Service),
		Mac:          t.mac[:],
	}
}

// TokenFrom returns the token held in a message.
func TokenFrom(w *encoder.Token) (Token, error) {
	t := Token{
		OwnerPeers:   w.GetOwnerPeers(),
		WitnessPeers: w.GetWitnessPeers(),
		Expiry:       time.UnixMilli(w.GetExpiry()).UTC(),
		Service:      namer.Service(w.GetService()),
	}
	var ok bool
	if t.Owner, ok = namer.IncarnationFromBytes(w.GetOwner()); !ok {
		return Token{}, errToken
	}
	if t.Witness, ok = namer.IncarnationFromBytes(w.GetWitness()); !ok {
		return Token{}, errToken
	}
	if len(w.GetNonce()) != nonceSize || len(w.GetMac()) != macSize {
		return Token{}, errToken
	}
	copy(t.Nonce[:], w.GetNonce())
	copy(t.mac[:], w.GetMac())
	return t, nil
}

// Text returns the token as callers carry it.
func (t Token) Text() string {
	raw, err := proto.Marshal(t.Wire())
	if err != nil {
		// A token from TokenFrom or Mint has valid UTF-8 and always encodes.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a token"))
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ParseToken reads a token that a caller sent.
func ParseToken(text string) (Token, error) {
	if len(text) > maxTokenText {
		return Token{}, errToken
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Token{}, errToken
	}
	wire := &encoder.Token{}
	if err := proto.Unmarshal(raw, wire); err != nil {
		return Token{}, errToken
	}
	return TokenFrom(wire)
}
