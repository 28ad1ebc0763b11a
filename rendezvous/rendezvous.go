// Package rendezvous assigns keys to VMs by rendezvous hashing. VMs with the same
// view of the membership compute the same owner, and a VM that joins or leaves
// moves only the keys that it owns.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/vanillaarch/vanillaarch/internal/hash"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Owner returns the id of the VM with the highest score for the key, or "" if
// there are no VMs. The result does not depend on the order of vms.
func Owner(key string, vms []vmlist.VM) string {
	var owner string
	var best uint64
	for _, vm := range vms {
		s := hash.Pair(key, vm.ID)
		if owner == "" || s > best || s == best && vm.ID < owner {
			owner, best = vm.ID, s
		}
	}
	return owner
}

// Top returns the ids of the n VMs with the highest scores for the key, highest
// first, or of all VMs if there are fewer.
func Top(key string, vms []vmlist.VM, n int) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, 0, len(vms))
	for _, vm := range vms {
		all = append(all, scored{vm.ID, hash.Pair(key, vm.ID)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, 0, min(n, len(all)))
	for _, s := range all[:min(n, len(all))] {
		ids = append(ids, s.id)
	}
	return ids
}

// Rank returns the position of a VM among vms by its score for the key, 0 being the
// highest. A VM that is not in vms has the rank that it would have there.
func Rank(key string, vms []vmlist.VM, id string) int {
	own := hash.Pair(key, id)
	rank := 0
	for _, vm := range vms {
		if s := hash.Pair(key, vm.ID); s > own || s == own && vm.ID < id {
			rank++
		}
	}
	return rank
}
