package permit

import (
	"time"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/ratelimit"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// followSnapshot passes a new snapshot to the node.
func (m *Manager) followSnapshot(now time.Duration) {
	snap := m.opts.Loop.Snapshot()
	ratesChanged := m.followColdRates(now, snap)
	if snap == m.view && !ratesChanged {
		return
	}
	last := m.view
	m.view = snap
	if last == nil || last.VMs != snap.VMs {
		m.table.Retain(now, backendServers(snap))
	}
	if last == nil || last.VMs != snap.VMs || ratesChanged {
		m.followColdEntries(now, snap)
	}
	if !ratesChanged && last != nil && last.SameEntryVMs(snap) && last.VMs == snap.VMs && last.Bundle == snap.Bundle {
		return
	}
	m.perform(m.node.SetView(now, ratelimit.View{
		EntryVMs: snap.EntryVMs, Listed: countEntryVMs(snap), Peers: m.opts.Peers(), Tenants: tenants(snap.Bundle),
		ColdRates: m.coldRatesSeen,
	}))
}

func backendServers(snap *control.Snapshot) []serverstate.Server {
	servers := make([]serverstate.Server, 0, len(snap.Backends))
	for _, vm := range snap.Backends {
		servers = append(servers, serverOf(vm))
	}
	return servers
}

// countEntryVMs returns the number of listed entry VMs, whether or not this VM reaches them.
func countEntryVMs(snap *control.Snapshot) int {
	n := 0
	for _, vm := range snap.VMs.VMs {
		if vm.Role == vmlist.RoleEntry {
			n++
		}
	}
	return n
}

func tenants(index *bundle.Index) []flowcontrol.Tenant {
	if index == nil {
		return nil
	}
	var out []flowcontrol.Tenant
	for _, t := range index.Document.Tenants {
		tenant := flowcontrol.Tenant{Name: t.Name, Share: t.Share}
		for _, o := range t.Organisations {
			tenant.Organisations = append(tenant.Organisations, flowcontrol.Organisation{Name: o.Name, Weight: o.Weight})
		}
		out = append(out, tenant)
	}
	return out
}
