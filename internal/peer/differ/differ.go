// Package differ describes a text as a patch of an earlier one, for large records of which
// little changes at a time. It answers the load of a configuration with a thousand client
// accounts, one of whose keys changes every few seconds, on its way to hundreds of VMs.
//
// A patch has a hash of its result, so that it yields nothing if the receiver has another
// earlier text than the sender assumed.
//
// # Usage
//
//	patch := differ.Diff(earlier, text)
//	text, err := differ.Apply(earlier, patch, maxBytes)
package differ

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// blockBytes is the shortest run of bytes that a patch copies from the earlier text.
	blockBytes = 32
	// sumBytes is the size of the hash at the beginning of a patch.
	sumBytes = 8
)

var (
	// ErrMismatch is returned for a patch of another text.
	ErrMismatch = errors.New("the patch is one of another text")
	// errMalformed is returned for bytes that are no patch.
	errMalformed = errors.New("the patch is malformed")
)

// Diff returns a patch that Apply turns into text. It may be longer than the text.
func Diff(earlier, text []byte) []byte {
	patch := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text))
	blocks := make(map[uint64]int, len(earlier)/blockBytes)
	for at := 0; at+blockBytes <= len(earlier); at += blockBytes {
		blocks[xxhash.Sum64(earlier[at:at+blockBytes])] = at
	}
	// What follows a copied run is most likely replaced by as many bytes.
	likely, done := 0, 0
	for at := 0; at+blockBytes <= len(text); {
		from, ok := findBlock(earlier, text[at:at+blockBytes], likely, blocks)
		if !ok {
			at++
			likely++
			continue
		}
		for at > done && from > 0 && earlier[from-1] == text[at-1] {
			at--
			from--
		}
		n := commonPrefix(earlier[from:], text[at:])
		patch = appendStep(patch, text[done:at], from, n)
		at += n
		done, likely = at, from+n
	}
	return appendStep(patch, text[done:], 0, 0)
}

// findBlock returns where the earlier text has a block: at the likely place, or at a multiple of
// its size.
func findBlock(earlier, block []byte, likely int, blocks map[uint64]int) (int, bool) {
	if likely+blockBytes <= len(earlier) && bytes.Equal(earlier[likely:likely+blockBytes], block) {
		return likely, true
	}
	at, ok := blocks[xxhash.Sum64(block)]
	return at, ok && bytes.Equal(earlier[at:at+blockBytes], block)
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// appendStep appends a literal, and a run that is copied from the earlier text.
func appendStep(patch, literal []byte, from, n int) []byte {
	patch = binary.AppendUvarint(patch, uint64(len(literal)))
	patch = append(patch, literal...)
	patch = binary.AppendUvarint(patch, uint64(from))
	return binary.AppendUvarint(patch, uint64(n))
}

// Apply returns the text of a patch. It fails with ErrMismatch if the patch is one of another
// earlier text, and if the text has more than maxBytes.
func Apply(earlier, patch []byte, maxBytes int) ([]byte, error) {
	if len(patch) < sumBytes {
		return nil, errMalformed
	}
	sum, rest := binary.BigEndian.Uint64(patch), patch[sumBytes:]
	var text []byte
	for len(rest) > 0 {
		literal, ok := takeNumber(&rest, len(rest))
		if !ok || literal > len(rest) {
			return nil, errMalformed
		}
		text, rest = append(text, rest[:literal]...), rest[literal:]
		from, ok := takeNumber(&rest, len(earlier))
		if !ok {
			return nil, ErrMismatch
		}
		n, ok := takeNumber(&rest, len(earlier)-from)
		if !ok {
			return nil, ErrMismatch
		}
		if len(text)+n > maxBytes {
			return nil, errors.Newf("the text of a patch is over %d bytes", maxBytes)
		}
		text = append(text, earlier[from:from+n]...)
	}
	if xxhash.Sum64(text) != sum {
		return nil, ErrMismatch
	}
	return text, nil
}

// takeNumber takes a number from 0 to limit off the beginning of a patch.
func takeNumber(rest *[]byte, limit int) (int, bool) {
	n, size := binary.Uvarint(*rest)
	if size <= 0 || n > uint64(limit) {
		return 0, false
	}
	*rest = (*rest)[size:]
	return int(n), true
}
