package packer_test

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/peer/differ"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/packer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// text returns a text of n lines that differ.
func text(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		_, _ = fmt.Fprintf(&b, `{"name":"r-%d","timeout":"1500ms"}`, i)
	}
	return b.Bytes()
}

func update(version uint64, spec []byte) *encoder.Update {
	return &encoder.Update{At: version, Changes: []*encoder.Change{{Name: "main", Version: version, Spec: spec}, {Name: "old", Removed: true}}}
}

func TestUpdate(t *testing.T) {
	t.Parallel()
	p := packer.New()
	for _, tc := range []struct {
		name    string
		version uint64
		spec    []byte
		packed  bool
	}{
		{"small", 1, text(2), false},
		{"large", 2, text(1400), true},
		{"another version", 3, text(1300), true},
		{"the same once more", 2, text(1400), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := update(tc.version, tc.spec)
			assert.NilError(t, p.PackUpdate("config", u))
			assert.Equal(t, len(u.GetPacked()) > 0, tc.packed)
			assert.Assert(t, proto.Size(u) < 16<<10)
			assert.NilError(t, packer.UnpackUpdate(u))
			assert.Assert(t, proto.Equal(u, update(tc.version, tc.spec)))
		})
	}
}

// TestPatch checks that a record of which little has changed is sent as a patch, and that the
// whole record, which another peer needs, is not taken for it.
func TestPatch(t *testing.T) {
	t.Parallel()
	p := packer.New()
	before, after := text(1400), append(text(1400), "more"...)
	for _, base := range []*storer.Record{{Spec: before}, nil, {Spec: before}} {
		m := update(2, after)
		u := storer.Update{Changes: []storer.Change{{Record: storer.Record{Name: "main", Spec: after}, Base: base}}}
		p.PatchUpdate("config", m, u)
		assert.NilError(t, p.PackUpdate("config", m))
		assert.Equal(t, proto.Size(m) < 100, base != nil)
		assert.NilError(t, packer.UnpackUpdate(m))
		if base == nil {
			assert.Assert(t, proto.Equal(m, update(2, after)))
			continue
		}
		got, err := differ.Apply(before, m.GetChanges()[0].GetPatch(), len(after))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, after))
	}
}

func TestDocument(t *testing.T) {
	t.Parallel()
	doc := func() *encoder.Document {
		return &encoder.Document{Sections: []*encoder.Section{{Name: "services", Text: text(1400)}, {Name: "drains", Text: text(1)}}}
	}
	d := doc()
	assert.NilError(t, packer.New().PackDocument(d))
	assert.Assert(t, proto.Size(d) < 16<<10)
	assert.NilError(t, packer.UnpackDocument(d))
	assert.Assert(t, proto.Equal(d, doc()))
}

// TestUnpackRejects has a peer send packed messages that are cut short, not packed at all, or
// of an unreasonable size.
func TestUnpackRejects(t *testing.T) {
	t.Parallel()
	packed := func(spec []byte) []byte {
		u := update(1, spec)
		assert.NilError(t, packer.New().PackUpdate("config", u))
		return u.GetPacked()
	}
	whole := packed(text(1400))
	for _, tc := range []struct {
		name string
		raw  []byte
		want string
	}{
		{"cut short", whole[:len(whole)/2], "unpacking a message: unexpected EOF"},
		{"not packed", []byte("\xff\xff\xff"), "unpacking a message: flate"},
		{"too large", packed(make([]byte, encoder.MaxMessageBytes)), "too large"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assert.ErrorContains(t, packer.UnpackUpdate(&encoder.Update{Packed: tc.raw}), tc.want)
			assert.ErrorContains(t, packer.UnpackDocument(&encoder.Document{Sections: []*encoder.Section{{Packed: tc.raw}}}), tc.want)
		})
	}
}

func BenchmarkPackUpdate(b *testing.B) {
	p := packer.New()
	spec := text(1400)
	version := uint64(0)
	for b.Loop() {
		version++
		if err := p.PackUpdate("config", update(version, spec)); err != nil {
			b.Fatal(err)
		}
	}
}
