package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against an owner that depends on the order of the VM list, an uneven
// distribution of keys, and keys that move although their owner stays.
func TestOwnerIsStableAndBalanced(t *testing.T) {
	var vms, reversed []vmlist.VM
	for i := range 20 {
		vms = append(vms, vmlist.VM{ID: fmt.Sprintf("vm-%d", i)})
		reversed = append([]vmlist.VM{vms[i]}, reversed...)
	}
	counts := map[string]int{}
	for k := range 4000 {
		key := fmt.Sprintf("group-%d", k)
		owner := rendezvous.Owner(key, vms)
		counts[owner]++
		if got := rendezvous.Owner(key, reversed); got != owner {
			t.Fatalf("owner of %s depends on the order of the VMs: %s and %s", key, owner, got)
		}
		if top := rendezvous.Top(key, vms, 3); len(top) != 3 || top[0] != owner {
			t.Fatalf("top three VMs of %s are %v, but the owner is %s", key, top, owner)
		}
		if after := rendezvous.Owner(key, vms[1:]); owner != vms[0].ID && after != owner {
			t.Fatalf("key %s moved from %s to %s although its owner is still listed", key, owner, after)
		}
	}
	for id, n := range counts {
		if n < 120 || n > 280 { // 200 expected, standard deviation 14
			t.Errorf("%s owns %d of 4000 keys, want 120 to 280", id, n)
		}
	}
	if got := rendezvous.Owner("k", nil); got != "" {
		t.Errorf("owner without VMs is %q, want none", got)
	}
}

// Guards against an order of the VMs that differs from that of their scores.
func TestRankIsPositionInTop(t *testing.T) {
	vms := []vmlist.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	for _, key := range []string{"x", "y", "z"} {
		for i, id := range rendezvous.Top(key, vms, len(vms)) {
			if rank := rendezvous.Rank(key, vms, id); rank != i {
				t.Errorf("rank of %s for %s is %d, want %d", id, key, rank, i)
			}
		}
	}
}
