package locator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/locator"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
)

func members(states map[string]tracker.State) []tracker.Member {
	var out []tracker.Member
	for _, m := range []struct{ name, zone, region string }{
		{"a1-1", "a1", "a"}, {"a1-2", "a1", "a"}, {"a2-1", "a2", "a"}, {"b1-1", "b1", "b"}, {"c1-1", "c1", "c"},
	} {
		out = append(out, tracker.Member{
			VM: namer.VM(m.name), Zone: namer.Zone(m.zone), Region: namer.Region(m.region), CallerAddress: m.name, State: states[m.name],
		})
	}
	return out
}

func TestChoose(t *testing.T) {
	t.Parallel()
	const (
		dead    = tracker.Dead
		suspect = tracker.Suspect
		leaving = tracker.Leaving
	)
	for _, tc := range []struct {
		name    string
		zone    string
		region  string
		states  map[string]tracker.State
		allowed []namer.Region
		want    []string
	}{
		{"two VMs in the zone", "a1", "a", nil, nil, []string{"a1-1", "a1-2"}},
		{"one VM in the zone", "a2", "a", nil, nil, []string{"a2-1", "a1-1", "a1-2"}},
		{"one of two VMs in the zone dead", "a1", "a", map[string]tracker.State{"a1-1": dead}, nil, []string{"a1-2", "a2-1"}},
		{"one of two VMs in the zone leaving", "a1", "a", map[string]tracker.State{"a1-1": leaving}, nil, []string{"a1-2", "a2-1"}},
		{"all VMs of the region dead", "b1", "b", map[string]tracker.State{"b1-1": dead}, nil, []string{"a1-1", "a1-2", "a2-1", "c1-1"}},
		{"all VMs of the region dead, one region allowed", "b1", "b", map[string]tracker.State{"b1-1": dead}, []namer.Region{"c"}, []string{"c1-1"}},
		{"unknown zone and region", "x", "x", nil, nil, []string{"a1-1", "a1-2", "a2-1", "b1-1", "c1-1"}},
		{
			"one suspect VM left", "b1", "b",
			map[string]tracker.State{"a1-1": dead, "a1-2": dead, "a2-1": dead, "b1-1": suspect, "c1-1": dead}, nil, []string{"b1-1"},
		},
		{
			"one leaving VM left", "b1", "b",
			map[string]tracker.State{"a1-1": dead, "a1-2": dead, "a2-1": dead, "b1-1": leaving, "c1-1": dead}, nil, []string{"b1-1"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			got := locator.Choose(locator.Location{Zone: namer.Zone(tc.zone), Region: namer.Region(tc.region)}, members(tc.states), tc.allowed)
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// TestChooseStale checks that VMs that refuse keys are named only if no other one is left.
func TestChooseStale(t *testing.T) {
	t.Parallel()
	all := members(map[string]tracker.State{"a2-1": tracker.Suspect, "b1-1": tracker.Dead, "c1-1": tracker.Leaving})
	all[0].AccountsStale = true
	a1 := locator.Location{Zone: "a1", Region: "a"}
	assert.DeepEqual(t, locator.Choose(a1, all, nil), []string{"a1-2"})
	all[1].AccountsStale = true
	assert.DeepEqual(t, locator.Choose(a1, all, nil), []string{"a2-1"})
	all[2].AccountsStale = true
	assert.DeepEqual(t, locator.Choose(a1, all, nil), []string{"a1-1", "a1-2"})
}
