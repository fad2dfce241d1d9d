package messenger

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

const (
	nonceSize = 32
	// maxHandshakeBytes is the maximum size of a message before the peer is authenticated.
	maxHandshakeBytes = 4 << 10
)

// The proofs of the two sides have different labels, so that a side's own proof
// can't be reflected to it as the peer's.
const (
	dialerLabel   = "waxwingloom dialer 1"
	acceptorLabel = "waxwingloom acceptor 1"
)

var errNotAuthenticated = errors.New("the peer did not prove that it has the shared key")

// bufferedConn is a connection whose reads go through the handshake's reader, which may
// have buffered bytes that follow the handshake.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn. It returns buffered bytes first.
func (c *bufferedConn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}

// handshake authenticates both sides by HMACs of the two Hello messages under the
// shared key. The dialer sends its proof first, so that an acceptor sends nothing that
// depends on the key to an unauthenticated peer.
func (m *Messenger) handshake(conn net.Conn, dialer bool) (net.Conn, Identity, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, Identity{}, errors.Wrap(err, "setting a deadline")
	}
	own := &encoder.Hello{Nonce: make([]byte, nonceSize), Incarnation: m.self.Incarnation[:], Vm: string(m.self.VM)}
	if _, err := rand.Read(own.Nonce); err != nil {
		return nil, Identity{}, errors.Wrap(err, "drawing a nonce")
	}
	buffered := &bufferedConn{Conn: conn, reader: bufio.NewReader(conn)}
	if err := encoder.Write(conn, own); err != nil {
		return nil, Identity{}, err
	}
	other := &encoder.Hello{}
	if err := encoder.ReadMax(buffered.reader, other, maxHandshakeBytes); err != nil {
		return nil, Identity{}, err
	}
	incarnation, ok := namer.IncarnationFromBytes(other.GetIncarnation())
	if !ok || len(other.GetNonce()) != nonceSize {
		return nil, Identity{}, errors.New("malformed greeting")
	}
	authenticate := m.authenticateAsAcceptor
	if dialer {
		authenticate = m.authenticateAsDialer
	}
	if err := authenticate(buffered, own, other); err != nil {
		return nil, Identity{}, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, Identity{}, errors.Wrap(err, "clearing a deadline")
	}
	return buffered, Identity{VM: namer.VM(other.GetVm()), Incarnation: incarnation}, nil
}

func (m *Messenger) authenticateAsDialer(conn *bufferedConn, own, other *encoder.Hello) error {
	mac := proofMAC(m.keys[0], dialerLabel, own, other)
	if err := encoder.Write(conn, &encoder.Proof{Mac: mac}); err != nil {
		return err
	}
	got := &encoder.Proof{}
	if err := encoder.ReadMax(conn.reader, got, maxHandshakeBytes); err != nil {
		return errors.Mark(err, errNotAuthenticated)
	}
	if !hmac.Equal(got.GetMac(), proofMAC(m.keys[0], acceptorLabel, own, other)) {
		return errNotAuthenticated
	}
	return nil
}

// authenticateAsAcceptor checks the dialer's proof against each key and replies with a
// proof by the key that matched. So peers with different first keys can still connect
// while keys are rotated.
func (m *Messenger) authenticateAsAcceptor(conn *bufferedConn, own, other *encoder.Hello) error {
	got := &encoder.Proof{}
	if err := encoder.ReadMax(conn.reader, got, maxHandshakeBytes); err != nil {
		return err
	}
	for _, key := range m.keys {
		if hmac.Equal(got.GetMac(), proofMAC(key, dialerLabel, other, own)) {
			return encoder.Write(conn, &encoder.Proof{Mac: proofMAC(key, acceptorLabel, other, own)})
		}
	}
	return errNotAuthenticated
}

// proofMAC returns the HMAC of the label and both Hello messages. Each part is preceded by
// its length.
func proofMAC(key []byte, label string, dialer, acceptor *encoder.Hello) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(label),
		dialer.GetNonce(), dialer.GetIncarnation(), []byte(dialer.GetVm()),
		acceptor.GetNonce(), acceptor.GetIncarnation(), []byte(acceptor.GetVm()),
	} {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}
