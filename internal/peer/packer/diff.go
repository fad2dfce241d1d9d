package packer

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

// diffDictionary is the ID of the dictionary in a difference, the spec that it applies to.
const diffDictionary = 1

// errUnknownBase is returned for a difference from a version that the stream did not bring.
var errUnknownBase = errors.New("a difference from an unknown version of a record")

type (
	// Differ replaces the specs in the updates of one stream by their differences from the
	// specs that were sent on the stream before. It is not safe for concurrent use.
	Differ struct {
		packer *Packer
		sent   specs
	}

	// Patcher restores the specs in the updates of one stream that a Differ has replaced. Its
	// zero value is for a new stream. It is not safe for concurrent use.
	Patcher struct {
		received specs
	}

	// specs has the last version of each large spec that a stream has brought.
	specs map[string]spec

	spec struct {
		era     uint64
		version uint64
		text    []byte
	}
)

// NewDiffer returns a differ for a new stream.
func (p *Packer) NewDiffer() *Differ {
	return &Differ{packer: p, sent: make(specs)}
}

// Replace replaces the large specs in an update of records of a kind, which must be the next
// one on the stream.
func (d *Differ) Replace(kind string, u *encoder.Update) error {
	for _, c := range u.GetChanges() {
		base, known := d.sent[c.GetName()]
		text := c.GetSpec()
		d.sent.note(u.GetEra(), c, text)
		if !known || base.era != u.GetEra() || c.GetRemoved() || len(text) < minPackedBytes {
			continue
		}
		key := fmt.Sprintf("%q %q %d %d %d", kind, c.GetName(), u.GetEra(), base.version, c.GetVersion())
		diff, err := d.packer.result(key, func() ([]byte, error) { return diffOf(base.text, text) })
		if err != nil {
			return err
		}
		c.Spec, c.Base = diff, base.version
	}
	return nil
}

// Restore restores the specs in an update that a Differ has replaced.
func (p *Patcher) Restore(u *encoder.Update) error {
	if p.received == nil {
		p.received = make(specs)
	}
	for _, c := range u.GetChanges() {
		if c.GetBase() != 0 {
			base, known := p.received[c.GetName()]
			if !known || base.era != u.GetEra() || base.version != c.GetBase() {
				return errUnknownBase
			}
			text, err := patch(base.text, c.GetSpec())
			if err != nil {
				return err
			}
			c.Spec, c.Base = text, 0
		}
		p.received.note(u.GetEra(), c, c.GetSpec())
	}
	return nil
}

// note keeps the text of a change's spec if it is large.
func (s specs) note(era uint64, c *encoder.Change, text []byte) {
	if c.GetRemoved() || len(text) < minPackedBytes {
		delete(s, c.GetName())
		return
	}
	s[c.GetName()] = spec{era: era, version: c.GetVersion(), text: text}
}

// diffOf returns the difference of a text from a base, compressed with the base as history.
func diffOf(base, text []byte) ([]byte, error) {
	window := zstd.MinWindowSize
	for window < len(base)+len(text) && window < zstd.MaxWindowSize {
		window *= 2
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(diffDictionary, base), zstd.WithWindowSize(window),
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, errors.Wrap(err, "computing a difference")
	}
	diff := w.EncodeAll(text, nil)
	return diff, errors.Wrap(w.Close(), "computing a difference")
}

// patch returns the text whose difference from a base is given.
func patch(base, diff []byte) ([]byte, error) {
	r, err := zstd.NewReader(bytes.NewReader(diff), zstd.WithDecoderDictRaw(diffDictionary, base), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(encoder.MaxMessageBytes))
	if err != nil {
		return nil, errors.Wrap(err, "applying a difference")
	}
	defer r.Close()
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		return nil, errors.Wrap(err, "applying a difference")
	}
	return out.Bytes(), nil
}
