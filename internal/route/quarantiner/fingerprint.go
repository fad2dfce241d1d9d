package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

type (
	// Fingerprint identifies a request and its repetitions.
	Fingerprint [16]byte

	// Fingerprints are those of a request from any caller and of the request from its
	// caller. The first holds when the caller's address changes or several callers send the
	// request, the second when the request of other callers is innocent.
	Fingerprints [2]Fingerprint
)

// FingerprintsOf returns the fingerprints of a request. Caller identifies the caller, by its
// credentials or its address without the port.
func FingerprintsOf(caller, method, host, target string, body ...[]byte) Fingerprints {
	bodyHash := sha256.New()
	for _, part := range body {
		// Writing to a hash never fails.
		_, _ = bodyHash.Write(part)
	}
	request := hashOf([]byte(method), []byte(host), []byte(target), bodyHash.Sum(nil))
	return Fingerprints{request, hashOf(request[:], []byte(caller))}
}

// String returns the fingerprint in hex.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// hashOf returns a hash of parts, each with its length.
func hashOf(parts ...[]byte) Fingerprint {
	var text []byte
	for _, part := range parts {
		text = binary.BigEndian.AppendUint32(text, uint32(len(part)))
		text = append(text, part...)
	}
	sum := sha256.Sum256(text)
	return Fingerprint(sum[:len(Fingerprint{})])
}
