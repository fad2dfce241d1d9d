package packer_test

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/peer/packer"
)

// accounts returns a configuration of n accounts with two keys each, in which one account has
// another first key.
func accounts(version uint64, n, changed int) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, `{"version":"r%d","accounts":[`, version)
	for i := range n {
		first := fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
		if i == changed {
			first = fmt.Sprintf("new-%d", version)
		}
		_, _ = fmt.Fprintf(&b, `{"name":"a-%d","keys":["%s","%016x"],"rank":1,"rate":%d},`, i, first, uint64(i)*0xbf58476d1ce4e5b9, i%70)
	}
	return b.Bytes()
}

// sendDiff sends an update through a differ and a patcher and returns its size on the wire.
func sendDiff(t rapid.TB, d *packer.Differ, p *packer.Patcher, packs *packer.Packer, u *encoder.Update) int {
	want := proto.Clone(u)
	assert.NilError(t, d.Replace("config", u))
	assert.NilError(t, packs.PackUpdate("config", u))
	size := proto.Size(u)
	assert.NilError(t, packer.UnpackUpdate(u))
	assert.NilError(t, p.Restore(u))
	assert.Assert(t, proto.Equal(u, want))
	return size
}

// TestOneKeyChanges checks that a change of one key of a thousand accounts costs under a
// kilobyte, not the whole configuration.
func TestOneKeyChanges(t *testing.T) {
	t.Parallel()
	packs := packer.New()
	differ, patcher := packs.NewDiffer(), &packer.Patcher{}
	sendDiff(t, differ, patcher, packs, update(1, accounts(1, 1000, -1)))
	for version := uint64(2); version < 10; version++ {
		size := sendDiff(t, differ, patcher, packs, update(version, accounts(version, 1000, int(version)*100)))
		assert.Assert(t, size < 1024, "%d bytes", size)
	}
}

// TestPropertyDiffs checks that any sequence of records, eras, removals and sizes arrives as it
// was sent.
func TestPropertyDiffs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		packs := packer.New()
		differ, patcher := packs.NewDiffer(), &packer.Patcher{}
		for version := uint64(1); version <= 8; version++ {
			u := &encoder.Update{At: version, Era: rapid.Uint64Range(1, 2).Draw(t, "era")}
			for _, name := range []string{"main", "other"} {
				if !rapid.Bool().Draw(t, "changed") {
					continue
				}
				size, changed := rapid.IntRange(0, 300).Draw(t, "size"), rapid.IntRange(0, 300).Draw(t, "account")
				c := &encoder.Change{Name: name, Version: version, Removed: rapid.Bool().Draw(t, "removed")}
				c.Spec = accounts(version, size, changed)
				u.Changes = append(u.Changes, c)
			}
			sendDiff(t, differ, patcher, packs, u)
		}
	})
}

// TestUnknownBase checks that a difference that does not fit what the stream brought is refused.
func TestUnknownBase(t *testing.T) {
	t.Parallel()
	packs := packer.New()
	differ, patcher := packs.NewDiffer(), &packer.Patcher{}
	assert.NilError(t, differ.Replace("config", update(1, accounts(1, 100, -1))))
	second := update(2, accounts(2, 100, 7))
	assert.NilError(t, differ.Replace("config", second))
	assert.Assert(t, second.Changes[0].GetBase() == 1)
	assert.ErrorContains(t, patcher.Restore(second), "unknown version")
}

// BenchmarkOneKey measures the difference of one key of a thousand accounts: its computation
// and its application.
func BenchmarkOneKey(b *testing.B) {
	packs := packer.New()
	differ, patcher := packs.NewDiffer(), &packer.Patcher{}
	size := 0
	version := uint64(0)
	for b.Loop() {
		version++
		u := update(version, accounts(version, 1000, int(version%1000)))
		assert.NilError(b, differ.Replace("config", u))
		size = proto.Size(u)
		assert.NilError(b, patcher.Restore(u))
	}
	b.ReportMetric(float64(size), "bytes")
}
