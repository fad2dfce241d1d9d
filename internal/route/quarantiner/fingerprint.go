// Package quarantiner identifies requests that their callers repeat.
//
// # Usage
//
//	fp := quarantiner.FingerprintOf(caller, method, host, target, body)
package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request and its repetitions.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Caller is the caller's address
// without the port.
func FingerprintOf(caller, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{caller, method, host, target} {
		// Writing to a hash never fails.
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hex.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}
