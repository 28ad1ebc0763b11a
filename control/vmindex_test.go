package control

import (
	"testing"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against routing to an engine whose model version differs from the one
// in the current bundle, in particular right after a rollout of a new version.
func TestModelVersions(t *testing.T) {
	vm := func(id string, models ...string) vmlist.VM {
		return vmlist.VM{ID: id, Role: vmlist.RoleEngine, State: vmlist.StateLive, Models: models}
	}
	list := &vmlist.List{Revision: 1, VMs: []vmlist.VM{vm("old", "quotes@1"), vm("both", "quotes@1", "quotes@2"), vm("any", "quotes")}}
	index := func(version string) *bundle.Index {
		return bundle.NewIndex(&bundle.Document{Version: 1, Models: []bundle.Model{{Name: "quotes", Version: version}}}, "")
	}
	first := newSnapshot(&State{VMs: list, Bundle: index("1")}, nil)
	same := newSnapshot(&State{VMs: list, Bundle: index("1")}, first)
	second := newSnapshot(&State{VMs: list, Bundle: index("2")}, same)
	if !same.SameBackends(first) || second.SameBackends(same) {
		t.Error("the index must be shared if and only if the models are unchanged")
	}
	for _, c := range []struct {
		name string
		snap *Snapshot
		want int
	}{{"version 1", first, 3}, {"version 2", second, 2}} {
		engines := c.snap.Engines["quotes"]
		if len(engines) != c.want {
			t.Errorf("%s: got engines %v, want %d", c.name, engines, c.want)
		}
		for _, e := range engines {
			if c.snap == second && e.ID == "old" {
				t.Errorf("%s: an engine with version 1 is listed", c.name)
			}
		}
	}
}
