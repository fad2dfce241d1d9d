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

const nonceSize = 32

// The sides of a handshake have different labels, so that neither's proof can
// be sent back to it as the other's.
const (
	dialerLabel   = "waxwingloom dialer 1"
	acceptorLabel = "waxwingloom acceptor 1"
)

var errProof = errors.New("the peer did not prove that it has the shared key")

// bufferedConn reads what the handshake's reader has already taken in.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read returns buffered bytes first.
func (c *bufferedConn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}

// handshake proves both sides to each other. The dialer proves first, so an
// acceptor tells a stranger nothing that depends on the key.
func (m *Messenger) handshake(conn net.Conn, dialer bool) (net.Conn, Identity, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTime)); err != nil {
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
	if err := encoder.Read(buffered.reader, other); err != nil {
		return nil, Identity{}, err
	}
	incarnation, ok := namer.IncarnationFrom(other.GetIncarnation())
	if !ok || len(other.GetNonce()) != nonceSize {
		return nil, Identity{}, errors.New("malformed greeting")
	}
	prove := m.proveAccepting
	if dialer {
		prove = m.proveDialing
	}
	if err := prove(buffered, own, other); err != nil {
		return nil, Identity{}, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, Identity{}, errors.Wrap(err, "clearing a deadline")
	}
	return buffered, Identity{VM: namer.VM(other.GetVm()), Incarnation: incarnation}, nil
}

func (m *Messenger) proveDialing(conn *bufferedConn, own, other *encoder.Hello) error {
	mac := proof(m.keys[0], dialerLabel, own, other)
	if err := encoder.Write(conn, &encoder.Proof{Mac: mac}); err != nil {
		return err
	}
	got := &encoder.Proof{}
	if err := encoder.Read(conn.reader, got); err != nil {
		return errors.Mark(err, errProof)
	}
	if !hmac.Equal(got.GetMac(), proof(m.keys[0], acceptorLabel, own, other)) {
		return errProof
	}
	return nil
}

// proveAccepting answers with the key that the dialer proved, so that peers
// whose own key differs get along while keys are changed.
func (m *Messenger) proveAccepting(conn *bufferedConn, own, other *encoder.Hello) error {
	got := &encoder.Proof{}
	if err := encoder.Read(conn.reader, got); err != nil {
		return err
	}
	for _, key := range m.keys {
		if hmac.Equal(got.GetMac(), proof(key, dialerLabel, other, own)) {
			return encoder.Write(conn, &encoder.Proof{Mac: proof(key, acceptorLabel, other, own)})
		}
	}
	return errProof
}

func proof(key []byte, label string, dialer, acceptor *encoder.Hello) []byte {
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
