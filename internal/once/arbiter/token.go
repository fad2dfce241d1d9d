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
	nonceBytes = 16
	macBytes   = 16
	keyBytes   = 32

	// maxTokenTextBytes limits the encoded length of a token, whose longest
	// fields are two addresses and a service's name.
	maxTokenTextBytes = 1024
)

// ErrTooManyTokens is returned while the number of unexpired tokens is at its
// limit, which is the number of requests that the owner can store.
var ErrTooManyTokens = errors.New("as many tokens are out as this entry VM can remember")

// errInvalidToken is returned for a text that does not decode to a token.
var errInvalidToken = errors.New("not a token")

type (
	// Nonce is a token's random identifier.
	Nonce [nonceBytes]byte

	// Token permits one request to run once.
	Token struct {
		Owner              namer.Incarnation
		OwnerPeerAddress   string
		Witness            namer.Incarnation
		WitnessPeerAddress string
		Nonce              Nonce
		Expiry             time.Time
		Service            namer.Service
		mac                [macBytes]byte
	}

	// WitnessPeer identifies the entry VM that stores a token's intent or seal.
	// The zero value means that the token has no witness.
	WitnessPeer struct {
		Incarnation namer.Incarnation
		PeerAddress string
	}

	// Minter mints and verifies tokens. Its key is kept only in memory, so it
	// rejects the tokens of an earlier incarnation.
	Minter struct {
		self           namer.Incarnation
		peerAddress    string
		key            []byte
		random         io.Reader
		maxOutstanding int
		// outstanding counts the unexpired tokens, in order of expiry.
		outstanding []expiryCount
		// outstandingCount is the sum of the counts in outstanding.
		outstandingCount int
	}

	// expiryCount counts the tokens that expire in one second.
	expiryCount struct {
		second int64
		count  int
	}
)

// NewMinter returns a minter for one incarnation, whose peer address goes into
// the tokens. At most maxOutstanding tokens are unexpired at any time, so that the
// owner can store a request for each.
func NewMinter(self namer.Incarnation, peerAddress string, random io.Reader, maxOutstanding int) (*Minter, error) {
	key := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, key); err != nil {
		return nil, errors.Wrap(err, "generating the token key")
	}
	return &Minter{self: self, peerAddress: peerAddress, key: key, random: random, maxOutstanding: maxOutstanding}, nil
}

// Mint returns a new token for a service.
func (m *Minter) Mint(now time.Time, ttl time.Duration, service namer.Service, w WitnessPeer) (Token, error) {
	m.dropExpired(now)
	if m.outstandingCount >= m.maxOutstanding {
		return Token{}, ErrTooManyTokens
	}
	t := Token{
		Owner:              m.self,
		OwnerPeerAddress:   m.peerAddress,
		Witness:            w.Incarnation,
		WitnessPeerAddress: w.PeerAddress,
		Expiry:             now.Add(ttl).Truncate(time.Millisecond).UTC(),
		Service:            service,
	}
	if _, err := io.ReadFull(m.random, t.Nonce[:]); err != nil {
		return Token{}, errors.Wrap(err, "drawing a nonce")
	}
	t.mac = m.computeMAC(t)
	m.countIssued(t.Expiry.Unix())
	return t, nil
}

// Verify reports whether this minter minted the token.
func (m *Minter) Verify(t Token) bool {
	sum := m.computeMAC(t)
	return hmac.Equal(sum[:], t.mac[:])
}

// Outstanding returns the number of unexpired tokens, as of the last Mint.
func (m *Minter) Outstanding() int {
	return m.outstandingCount
}

func (m *Minter) countIssued(second int64) {
	m.outstandingCount++
	if n := len(m.outstanding); n > 0 && m.outstanding[n-1].second >= second {
		m.outstanding[n-1].count++
		return
	}
	m.outstanding = append(m.outstanding, expiryCount{second: second, count: 1})
}

func (m *Minter) dropExpired(now time.Time) {
	for len(m.outstanding) > 0 && m.outstanding[0].second < now.Unix() {
		m.outstandingCount -= m.outstanding[0].count
		m.outstanding = m.outstanding[1:]
	}
}

// computeMAC returns the HMAC over a token's fields. Text fields are prefixed
// with their length, so that no two different tokens have the same input.
func (m *Minter) computeMAC(t Token) [macBytes]byte {
	h := hmac.New(sha256.New, m.key)
	text := make([]byte, 0, maxTokenTextBytes/2)
	text = append(text, t.Owner[:]...)
	text = append(text, t.Witness[:]...)
	text = append(text, t.Nonce[:]...)
	text = binary.BigEndian.AppendUint64(text, uint64(t.Expiry.UnixMilli()))
	for _, part := range []string{t.OwnerPeerAddress, t.WitnessPeerAddress, string(t.Service)} {
		text = binary.BigEndian.AppendUint32(text, uint32(len(part)))
		text = append(text, part...)
	}
	h.Write(text)
	var mac [macBytes]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

// Proto returns the token as a protobuf message.
func (t Token) Proto() *encoder.Token {
	return &encoder.Token{
		Owner:        t.Owner[:],
		OwnerPeers:   t.OwnerPeerAddress,
		Witness:      t.Witness[:],
		WitnessPeers: t.WitnessPeerAddress,
		Nonce:        t.Nonce[:],
		Expiry:       t.Expiry.UnixMilli(),
		Service:      string(t.Service),
		Mac:          t.mac[:],
	}
}

// TokenFromProto returns the token in a protobuf message.
func TokenFromProto(w *encoder.Token) (Token, error) {
	t := Token{
		OwnerPeerAddress:   w.GetOwnerPeers(),
		WitnessPeerAddress: w.GetWitnessPeers(),
		Expiry:             time.UnixMilli(w.GetExpiry()).UTC(),
		Service:            namer.Service(w.GetService()),
	}
	var ok bool
	if t.Owner, ok = namer.IncarnationFromBytes(w.GetOwner()); !ok {
		return Token{}, errInvalidToken
	}
	if t.Witness, ok = namer.IncarnationFromBytes(w.GetWitness()); !ok {
		return Token{}, errInvalidToken
	}
	if len(w.GetNonce()) != nonceBytes || len(w.GetMac()) != macBytes {
		return Token{}, errInvalidToken
	}
	copy(t.Nonce[:], w.GetNonce())
	copy(t.mac[:], w.GetMac())
	return t, nil
}

// Text returns the token in the encoding that callers receive and send.
func (t Token) Text() string {
	raw, err := proto.Marshal(t.Proto())
	if err != nil {
		// Tokens from TokenFromProto or Mint have valid UTF-8 and always encode.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a token"))
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ParseToken decodes a token that a caller sent.
func ParseToken(text string) (Token, error) {
	if len(text) > maxTokenTextBytes {
		return Token{}, errInvalidToken
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Token{}, errInvalidToken
	}
	wire := &encoder.Token{}
	if err := proto.Unmarshal(raw, wire); err != nil {
		return Token{}, errInvalidToken
	}
	return TokenFromProto(wire)
}
