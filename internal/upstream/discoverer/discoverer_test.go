package discoverer_test

import (
	"log/slog"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/discoverer"
)

func decode(r storer.Record) (cataloger.Entry, error) {
	if string(r.Spec) == "bad" {
		return cataloger.Entry{}, errors.New("unreadable")
	}
	return cataloger.Entry{Upstream: namer.Upstream(r.Name), Service: "s", Zone: "z", Address: "a", Slots: 1}, nil
}

// version returns the version of a revision in a store without eras.
func version(r storer.Revision) storer.Version { return storer.Version{Revision: r} }

func record(name, spec string, r storer.Revision) storer.Record {
	return storer.Record{Name: name, Version: version(r), Spec: []byte(spec)}
}

// start returns a discoverer, and a function that returns the upstreams' names in the last
// view that it reported.
func start() (*discoverer.Discoverer, func() []string) {
	d := discoverer.New(decode, clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
	var view *cataloger.View
	d.OnChange(func(v *cataloger.View) { view = v })
	return d, func() []string {
		names := []string{}
		for _, u := range view.Upstreams {
			names = append(names, string(u.Upstream))
		}
		return names
	}
}

// TestUnreadableEntry checks that a record that can't be decoded counts as removed and
// doesn't affect other records.
func TestUnreadableEntry(t *testing.T) {
	t.Parallel()
	d, names := start()
	h := d.Upstreams()
	assert.NilError(t, h.Reset([]storer.Record{record("a", "", 1), record("b", "bad", 2), record("c", "", 3)}))
	assert.DeepEqual(t, names(), []string{"a", "c"})
	assert.NilError(t, h.Apply([]storer.Change{{Record: record("a", "bad", 4)}}))
	assert.DeepEqual(t, names(), []string{"c"})
	assert.NilError(t, h.Apply([]storer.Change{{Record: record("a", "", 5)}}))
	assert.NilError(t, h.Apply([]storer.Change{{Record: record("c", "", 3), Removed: true}}))
	assert.DeepEqual(t, names(), []string{"a"})
}

func TestDrains(t *testing.T) {
	t.Parallel()
	d, _ := start()
	h := d.Drains()
	assert.NilError(t, h.Reset([]storer.Record{record("z1", "", 1)}))
	assert.NilError(t, h.Apply([]storer.Change{{Record: record("z2", "", 2)}}))
	assert.DeepEqual(t, d.View().Drained, map[namer.Zone]bool{"z1": true, "z2": true})
	assert.NilError(t, h.Apply([]storer.Change{{Record: record("z1", "", 1), Removed: true}}))
	assert.DeepEqual(t, d.View().Drained, map[namer.Zone]bool{"z2": true})
}

// TestBorrow checks that a VM that starts during an outage of the store uses a peer's view
// until it has the records itself.
func TestBorrow(t *testing.T) {
	t.Parallel()
	d, names := start()
	other := &cataloger.View{
		Upstreams: []cataloger.Upstream{{Version: version(7), Entry: cataloger.Entry{Upstream: "a", Service: "s", Zone: "z", Address: "a", Slots: 1}}},
		Drained:   map[namer.Zone]bool{"z": true},
	}
	assert.Assert(t, d.Borrow(other))
	assert.DeepEqual(t, names(), []string{"a"})
	assert.Assert(t, d.View().Drained["z"])
	assert.NilError(t, d.Upstreams().Reset([]storer.Record{record("b", "", 8)}))
	assert.DeepEqual(t, names(), []string{"b"})
	assert.Assert(t, !d.Borrow(other), "records that this VM has take precedence")
	assert.DeepEqual(t, names(), []string{"b"})
}

// TestBorrowLeavesOwnDrains guards against sending to a drained zone: a peer's older view,
// without the drain, arrives after this VM has read the drains but not yet the upstreams.
func TestBorrowLeavesOwnDrains(t *testing.T) {
	t.Parallel()
	d, names := start()
	assert.NilError(t, d.Drains().Reset([]storer.Record{record("z", "", 9)}))
	older := &cataloger.View{
		Upstreams: []cataloger.Upstream{{Version: version(7), Entry: cataloger.Entry{Upstream: "a", Service: "s", Zone: "z", Address: "a", Slots: 1}}},
	}
	assert.Assert(t, d.Borrow(older))
	assert.DeepEqual(t, names(), []string{"a"})
	assert.Assert(t, d.View().Drained["z"])
}
