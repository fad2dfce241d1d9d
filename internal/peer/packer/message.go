package packer

import (
	"crypto/sha256"
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

// PackUpdate replaces the changes in an update of records of a kind by their compressed form,
// if they are large. The version of a record identifies its content.
func (p *Packer) PackUpdate(kind string, u *encoder.Update) error {
	size := 0
	identity := sha256.New()
	_, _ = fmt.Fprintf(identity, "%q %d\n", kind, u.GetEra())
	for _, c := range u.GetChanges() {
		size += len(c.GetSpec()) + len(c.GetStatus()) + len(c.GetPatch())
		_, _ = fmt.Fprintf(identity, "%q %d %t %x\n", c.GetName(), c.GetVersion(), c.GetRemoved(), c.GetPatch())
	}
	if size < minPackedBytes {
		return nil
	}
	packed, err := p.pack(string(identity.Sum(nil)), func() ([]byte, error) {
		return proto.Marshal(&encoder.Changes{Changes: u.GetChanges()})
	})
	if err != nil {
		return err
	}
	u.Changes, u.Packed = nil, packed
	return nil
}

// UnpackUpdate restores the changes in an update that PackUpdate has packed.
func UnpackUpdate(u *encoder.Update) error {
	if len(u.GetPacked()) == 0 {
		return nil
	}
	raw, err := unpack(u.GetPacked(), encoder.MaxMessageBytes)
	if err != nil {
		return err
	}
	changes := &encoder.Changes{}
	if err := proto.Unmarshal(raw, changes); err != nil {
		return errors.Wrap(err, "decoding packed changes")
	}
	u.Changes, u.Packed = changes.GetChanges(), nil
	return nil
}

// PackDocument replaces the large texts in a steering document by their compressed forms.
func (p *Packer) PackDocument(d *encoder.Document) error {
	for _, s := range d.GetSections() {
		if len(s.GetText()) < minPackedBytes {
			continue
		}
		hash := sha256.Sum256(s.GetText())
		packed, err := p.pack(string(hash[:]), func() ([]byte, error) { return s.GetText(), nil })
		if err != nil {
			return err
		}
		s.Text, s.Packed = nil, packed
	}
	return nil
}

// UnpackDocument restores the texts in a document that PackDocument has packed. They may have
// the size of one message together.
func UnpackDocument(d *encoder.Document) error {
	left := int64(encoder.MaxMessageBytes)
	for _, s := range d.GetSections() {
		if len(s.GetPacked()) == 0 {
			continue
		}
		text, err := unpack(s.GetPacked(), left)
		if err != nil {
			return err
		}
		left -= int64(len(text))
		s.Text, s.Packed = text, nil
	}
	return nil
}
