// Package packer makes large messages between entry VMs small: updates of the store's records,
// and steering documents. Many VMs follow one relay parent, whose link may be slow, and a
// configuration is one record that the store gives whole for each change. A peer that has the
// record before gets a patch of it; all else is compressed.
//
// The VMs that follow a relay parent mostly need the same update, so a packer keeps the last
// few results. What is small, or for a peer that does not read packed messages, is left as it
// is.
//
// # Usage
//
//	p := packer.New()
//	err := p.PackUpdate(kind, update)
//	err = packer.UnpackUpdate(update)
package packer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// minPackedBytes is the size below which a message is sent as it is. Such a message takes
	// few packets, and compression costs processor time.
	minPackedBytes = 4 << 10
	// maxResults is the number of results that are kept: one for each kind of record, and one
	// for the document.
	maxResults = 4
)

// errTooLarge is returned for a message that is larger than allowed when it is unpacked.
var errTooLarge = errors.New("a packed message is too large")

type (
	// Packer compresses messages. It may be used by several goroutines.
	Packer struct {
		mu      sync.Mutex
		writer  *flate.Writer
		results []result
		// patches are the last few patches, which are not compressed.
		patches []result
	}

	// result is the compressed form of the content with a key.
	result struct {
		key    string
		packed []byte
	}
)

// New returns a packer.
func New() *Packer {
	return &Packer{}
}

// pack returns the compressed form of the content with a key. It calls encode for the content
// unless the result is known. Concurrent calls for the same key compress it once.
func (p *Packer) pack(key string, encode func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.results {
		if r.key == key {
			return r.packed, nil
		}
	}
	raw, err := encode()
	if err != nil {
		return nil, errors.Wrap(err, "encoding a message to pack")
	}
	packed, err := p.compress(raw)
	if err != nil {
		return nil, err
	}
	p.results = append(p.results, result{key: key, packed: packed})
	if len(p.results) > maxResults {
		p.results = p.results[1:]
	}
	return packed, nil
}

// compress compresses with the fastest level, since most VMs have little processor time.
func (p *Packer) compress(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	if p.writer == nil {
		w, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			return nil, errors.Wrap(err, "packing a message")
		}
		p.writer = w
	}
	p.writer.Reset(&out)
	if _, err := p.writer.Write(raw); err != nil {
		return nil, errors.Wrap(err, "packing a message")
	}
	if err := p.writer.Close(); err != nil {
		return nil, errors.Wrap(err, "packing a message")
	}
	return out.Bytes(), nil
}

// unpack returns the content of a compressed message, which may have up to maxBytes.
func unpack(packed []byte, maxBytes int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpacking a message")
	}
	if int64(len(raw)) > maxBytes {
		return nil, errTooLarge
	}
	return raw, nil
}
