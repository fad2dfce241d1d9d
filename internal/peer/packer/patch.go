package packer

import (
	"fmt"

	"github.com/waxwingloom/waxwingloom/internal/peer/differ"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// PatchUpdate replaces the records in an update by patches of the ones that the receiver has, if
// these are shorter. The message is that of the update.
func (p *Packer) PatchUpdate(kind string, m *encoder.Update, u storer.Update) {
	for i, c := range u.Changes {
		if c.Base == nil {
			continue
		}
		patch := p.patchOf(fmt.Sprintf("%s/%s/%s/%s", kind, c.Record.Name, c.Base.Version, c.Record.Version), c)
		if len(patch) < len(c.Record.Spec) {
			m.Changes[i].Spec, m.Changes[i].Patch = nil, patch
		}
	}
}

// patchOf returns the patch of a change with a key, which is the same for most receivers.
func (p *Packer) patchOf(key string, c storer.Change) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.patches {
		if r.key == key {
			return r.packed
		}
	}
	patch := differ.Diff(c.Base.Spec, c.Record.Spec)
	p.patches = append(p.patches, result{key: key, packed: patch})
	if len(p.patches) > maxResults {
		p.patches = p.patches[1:]
	}
	return patch
}
