package grant

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// group is a set of engines with the same model in one region. One VM, its
// owner, decides for it.
type group struct {
	name, model, region string
	engines             []vmlist.VM
	owner               string
}

// contains reports whether the group has an engine that is not excluded.
func (g *group) offers(excluded []string) bool {
	return slices.ContainsFunc(g.engines, func(vm vmlist.VM) bool { return !slices.Contains(excluded, vm.ID) })
}

// placement names a model on an engine.
type placement struct{ model, engine string }

// view is what the protocol derives from a snapshot. It is immutable.
type view struct {
	snap   *control.Snapshot
	groups map[string]*group
	// candidates maps a model to the groups that this VM uses: those of its
	// region, or all if its region has none.
	candidates map[string][]*group
	groupOf    map[placement]*group
	// entry holds the live, unsuspected entry VMs.
	entry  map[string]vmlist.VM
	shares []dispatch.TenantShare
	// organisations holds those that the bundle names.
	organisations map[string]bool
}

// entitled reports whether an organisation may get grants. Without a bundle
// there is nothing to judge by.
func (v *view) entitled(organisation string) bool {
	return v.shares == nil || v.organisations[organisation]
}

func newView(snap *control.Snapshot, vm, region string, groupSize int) *view {
	v := &view{
		snap: snap, groups: map[string]*group{}, candidates: map[string][]*group{},
		groupOf: map[placement]*group{}, entry: map[string]vmlist.VM{}, shares: sharesOf(snap),
		organisations: map[string]bool{},
	}
	for _, s := range v.shares {
		for name := range s.Organisations {
			v.organisations[name] = true
		}
	}
	for _, e := range snap.EntryVMs {
		v.entry[e.ID] = e
	}
	for model, engines := range snap.Engines {
		var local, all []*group
		for r, members := range byRegion(engines) {
			for _, g := range cut(model, r, members, groupSize) {
				g.owner = v.ownerOf(g, vm)
				v.add(g)
				if all = append(all, g); r == region {
					local = append(local, g)
				}
			}
		}
		if len(local) == 0 {
			local = all
		}
		slices.SortFunc(local, func(a, b *group) int { return cmp.Compare(a.name, b.name) })
		v.candidates[model] = local
	}
	return v
}

func (v *view) add(g *group) {
	v.groups[g.name] = g
	for _, e := range g.engines {
		v.groupOf[placement{g.model, e.ID}] = g
	}
}

// ownerOf returns the dispatcher of a group, or self while no entry VM is known.
func (v *view) ownerOf(g *group, self string) string {
	owner := rendezvous.Owner(g.name, v.declarers(g))
	if owner == "" {
		return self
	}
	return owner
}

// declarers returns the entry VMs of the group's region, or all if there are none.
func (v *view) declarers(g *group) []vmlist.VM {
	var vms []vmlist.VM
	for _, vm := range v.snap.EntryVMs {
		if vm.Region == g.region {
			vms = append(vms, vm)
		}
	}
	if len(vms) == 0 {
		return v.snap.EntryVMs
	}
	return vms
}

func byRegion(engines []vmlist.VM) map[string][]vmlist.VM {
	regions := map[string][]vmlist.VM{}
	for _, vm := range engines {
		regions[vm.Region] = append(regions[vm.Region], vm)
	}
	return regions
}

// hashBits is the length of the hash that places an engine.
const hashBits = 64

// cut divides engines into groups of at most size. It halves the space of
// hashed engine ids until each part is small enough, so that an engine that
// comes or goes changes only its own part, by at most one split or merge.
func cut(model, region string, engines []vmlist.VM, size int) []*group {
	return split(&group{name: model + "@" + region + "/", model: model, region: region, engines: engines}, 0, size)
}

func split(g *group, depth, size int) []*group {
	if len(g.engines) == 0 {
		return nil
	}
	if len(g.engines) <= size || depth == hashBits {
		slices.SortFunc(g.engines, func(a, b vmlist.VM) int { return cmp.Compare(a.ID, b.ID) })
		return []*group{g}
	}
	zero := &group{name: g.name + "0", model: g.model, region: g.region}
	one := &group{name: g.name + "1", model: g.model, region: g.region}
	for _, vm := range g.engines {
		part := zero
		if xxhash.Sum64String(vm.ID)>>(hashBits-1-depth)&1 == 1 {
			part = one
		}
		part.engines = append(part.engines, vm)
	}
	return append(split(zero, depth+1, size), split(one, depth+1, size)...)
}

// sharesOf returns the entitlements that the bundle in force states.
func sharesOf(snap *control.Snapshot) []dispatch.TenantShare {
	if snap.Bundle == nil {
		return nil
	}
	shares := make([]dispatch.TenantShare, 0, len(snap.Bundle.Document.Tenants))
	for _, t := range snap.Bundle.Document.Tenants {
		s := dispatch.TenantShare{
			Tenant: t.Name, Share: t.Share, Organisations: make(map[string]float64, len(t.Organisations)),
			StallTime: t.Weights.StallTime, Preemptions: t.Weights.Preemptions, InterTokenLatency: t.Weights.InterTokenLatency,
		}
		for _, o := range t.Organisations {
			s.Organisations[o.Name] = cmp.Or(o.Weight, 1)
		}
		shares = append(shares, s)
	}
	return shares
}
