package follower

import (
	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/peer/differ"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// minPatchedBytes is the size of a record from which on the one before it is kept, so that
	// peers are sent the difference only.
	minPatchedBytes = 4 << 10
	// maxPatchedBytes bounds a record that a patch yields, as messages do.
	maxPatchedBytes = 6 << 20
)

// setRecord replaces a record, and keeps the one before it if it is large. The caller holds f.mu.
func (f *feed) setRecord(known map[string]storer.Record, r storer.Record) {
	if old, ok := known[r.Name]; ok && old.Version.Before(r.Version) && len(old.Spec) >= minPatchedBytes {
		f.previous[r.Name] = old
	}
	f.records[r.Name] = r
}

// withBases adds to changes the records before them that a peer at a version has. The caller
// holds f.mu.
func (f *feed) withBases(changes []storer.Change, at storer.Version) []storer.Change {
	out := make([]storer.Change, len(changes))
	for i, c := range changes {
		out[i] = c
		old, ok := f.previous[c.Record.Name]
		if ok && !c.Removed && f.records[c.Record.Name].Version == c.Record.Version && old.Version.Era == at.Era && !at.Before(old.Version) {
			out[i].Base = &old
		}
	}
	return out
}

// applyPatches restores the records of changes that are patches of this VM's records.
func (f *feed) applyPatches(changes []storer.Change) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, c := range changes {
		if len(c.Patch) == 0 {
			continue
		}
		spec, err := differ.Apply(f.records[c.Record.Name].Spec, c.Patch, maxPatchedBytes)
		if err != nil {
			return errors.Wrapf(err, "patching record %q", c.Record.Name)
		}
		changes[i].Record.Spec, changes[i].Patch = spec, nil
	}
	return nil
}
