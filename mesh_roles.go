package vanillaarch

import (
	"slices"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// isWatcher reports whether this VM reads from the platform, either as one of the
// watchers of its region or because it cannot get the data from a peer.
func (m *mesh) isWatcher(snap *control.Snapshot, watchers []string) bool {
	if snap.Bundle == nil && m.dutySelector == nil {
		return true
	}
	return !m.listed.Load() || slices.Contains(watchers, m.opts.VM)
}

// readsFromPlatform reports whether this VM is a watcher or receives nothing from peers.
func (m *mesh) readsFromPlatform() bool { return m.watcher.Load() || m.members.Isolated() }

// updateRoles recomputes the rank of this VM, whether it is a watcher, and which peers
// it asks for confirmations.
func (m *mesh) updateRoles(snap *control.Snapshot) {
	ranked := m.rankVMs(snap)
	m.listed.Store(slices.Contains(entryVMIDs(snap.VMs.VMs), m.opts.VM))
	m.watcher.Store(m.isWatcher(snap, ranked[:min(len(ranked), watchersPerRegion)]))
	if m.dutySelector == nil {
		return
	}
	rank := slices.Index(ranked, m.opts.VM)
	if rank < 0 {
		rank = len(ranked)
	}
	m.rank.Store(int64(rank))
	m.members.SetExtraTargets(m.confirmationTargets(ranked))
}

// rankVMs returns the VMs of the region in the order in which they become readers. The
// VMs with the most CPU come first, since a slow VM delays the distribution of what it
// reads.
func (m *mesh) rankVMs(snap *control.Snapshot) []string {
	vms := m.regionVMs(snap)
	strongest := vmlist.LargestByCPU(vms)
	key := watcherKeyPrefix + m.opts.Region
	ranked := rendezvous.Top(key, strongest, len(strongest))
	for _, id := range rendezvous.Top(key, vms, len(vms)) {
		if !slices.Contains(ranked[:len(strongest)], id) {
			ranked = append(ranked, id)
		}
	}
	return ranked
}

// regionVMs returns the live entry VMs of this VM's region that are not suspect.
func (m *mesh) regionVMs(snap *control.Snapshot) []vmlist.VM {
	var vms []vmlist.VM
	for _, vm := range snap.EntryVMs {
		if vm.Region == m.opts.Region {
			vms = append(vms, vm)
		}
	}
	return vms
}
