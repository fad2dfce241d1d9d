package follower_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/peer/differ"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// largeChange returns the change of a large record of which little depends on the version.
func largeChange(v storer.Revision) storer.Change {
	c := change("large", v)
	c.Record.Spec = json.RawMessage(`"` + strings.Repeat("0123456789abcdef", 1<<10) + string(rune('a'+v)) + `"`)
	return c
}

// TestPeersGetPatches checks that a change of a large record names the record before it, but only
// for peers that have that one, and that this VM restores the record from a patch.
func TestPeersGetPatches(t *testing.T) {
	t.Parallel()
	_, p, handler, _, f := startWithPeer(t)
	p.updates <- storer.Update{Changes: []storer.Change{largeChange(2)}, Version: version(2), SeenVersion: version(2)}
	c := largeChange(3)
	want := c.Record.Spec
	c.Patch, c.Record.Spec = differ.Diff(largeChange(2).Record.Spec, want), nil
	p.updates <- storer.Update{Changes: []storer.Change{c}, Version: version(3), SeenVersion: version(3)}
	poll.WaitOn(t, hasSeen(f, version(3)))
	poll.WaitOn(t, handler.has("large"))
	for _, tc := range []struct {
		since storer.Revision
		based bool
	}{{1, false}, {2, true}} {
		u, _, err := f.Await(t.Context(), follower.Position{Version: version(tc.since)})
		assert.NilError(t, err)
		assert.Equal(t, len(u.Changes), 1)
		assert.DeepEqual(t, u.Changes[0].Record.Spec, want)
		assert.Equal(t, u.Changes[0].Base != nil, tc.based)
	}
}

// TestPatchOfAnotherRecord checks that a VM whose record is not the one that its relay parent took
// it for reads all records from the store.
func TestPatchOfAnotherRecord(t *testing.T) {
	t.Parallel()
	src, p, handler, clock, f := startWithPeer(t)
	src.put("second")
	c := change("second", 2)
	c.Patch = differ.Diff(largeChange(1).Record.Spec, largeChange(2).Record.Spec)
	p.updates <- storer.Update{Changes: []storer.Change{c}, Version: version(2), SeenVersion: version(2)}
	advanceUntil(t, clock, handler.has("second"))
	assert.Equal(t, f.SeenVersion(), version(2))
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.lists, 1)
}
