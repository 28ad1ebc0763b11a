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
	// engines holds ids in order.
	engines []string
	owner   string
}

// offers reports whether the group has an engine that is not excluded.
func (g *group) offers(excluded []string) bool {
	return slices.ContainsFunc(g.engines, func(id string) bool { return !slices.Contains(excluded, id) })
}

// placement names a model on an engine.
type placement struct{ model, engine string }

// view is what the protocol derives from a snapshot. It is owned by the control goroutine.
type view struct {
	vm, region string
	groupSize  int

	snap   *control.Snapshot
	groups map[string]*group
	// candidates maps a model to the groups that this VM uses: those of its
	// region, or all if its region has none.
	candidates map[string][]*group
	groupOf    map[placement]*group
	// entry holds the live, unsuspected entry VMs, declarers those of each
	// region with engines: all if the region has none.
	entry     map[string]bool
	declarers map[string][]vmlist.VM
	shares    []dispatch.TenantShare
	// tenants maps the organisations that the bundle names to their tenants.
	tenants map[string]string
}

// entitled reports whether the bundle in force names an organisation.
func (v *view) entitled(organisation string) bool { return v.tenants[organisation] != "" }

// adopt derives what changed in a snapshot. Its cost is proportional to the
// fleet only if the VM list or a model changed, which is much rarer than other changes.
func (v *view) adopt(snap *control.Snapshot) (groups, shares bool) {
	old := v.snap
	v.snap = snap
	if shares = old == nil || old.Bundle != snap.Bundle; shares {
		v.setShares()
	}
	members := old == nil || !old.SameBackends(snap)
	if members {
		v.cutAll()
	}
	sameVM := func(a, b vmlist.VM) bool { return a.ID == b.ID && a.Region == b.Region }
	if groups = members || !slices.EqualFunc(old.EntryVMs, snap.EntryVMs, sameVM); groups {
		v.assign()
	}
	return groups, shares
}

// cutAll divides the engines of all models into groups.
func (v *view) cutAll() {
	v.groups, v.candidates, v.groupOf = map[string]*group{}, map[string][]*group{}, map[placement]*group{}
	for model, engines := range v.snap.Engines {
		var local, all []*group
		for region, ids := range byRegion(engines) {
			groups := cut(model, region, ids, v.groupSize)
			if all = append(all, groups...); region == v.region {
				local = groups
			}
		}
		if len(local) == 0 {
			local = all
		}
		slices.SortFunc(local, func(a, b *group) int { return cmp.Compare(a.name, b.name) })
		v.candidates[model] = local
		for _, g := range all {
			v.groups[g.name] = g
			for _, id := range g.engines {
				v.groupOf[placement{g.model, id}] = g
			}
		}
	}
}

// assign sets the owner of each group. This VM owns all while no entry VM is known.
func (v *view) assign() {
	v.entry, v.declarers = make(map[string]bool, len(v.snap.EntryVMs)), map[string][]vmlist.VM{}
	for _, vm := range v.snap.EntryVMs {
		v.entry[vm.ID] = true
		v.declarers[vm.Region] = append(v.declarers[vm.Region], vm)
	}
	for _, g := range v.groups {
		if v.declarers[g.region] == nil {
			v.declarers[g.region] = v.snap.EntryVMs
		}
		g.owner = cmp.Or(rendezvous.Owner(g.name, vmlist.LargestByCPU(v.declarers[g.region])), v.vm)
	}
}

func byRegion(engines []vmlist.VM) map[string][]string {
	regions := map[string][]string{}
	for _, vm := range engines {
		regions[vm.Region] = append(regions[vm.Region], vm.ID)
	}
	return regions
}

// hashBits is the length of the hash that places an engine.
const hashBits = 64

// cut divides engines into groups of at most size. It halves the space of
// hashed engine ids until each part is small enough, so that an engine that
// comes or goes changes only its own part, by at most one split or merge.
func cut(model, region string, engines []string, size int) []*group {
	return split(&group{name: model + "@" + region + "/", model: model, region: region, engines: engines}, 0, size)
}

func split(g *group, depth, size int) []*group {
	if len(g.engines) == 0 {
		return nil
	}
	if len(g.engines) <= size || depth == hashBits {
		slices.Sort(g.engines)
		return []*group{g}
	}
	zero := &group{name: g.name + "0", model: g.model, region: g.region}
	one := &group{name: g.name + "1", model: g.model, region: g.region}
	for _, id := range g.engines {
		part := zero
		if xxhash.Sum64String(id)>>(hashBits-1-depth)&1 == 1 {
			part = one
		}
		part.engines = append(part.engines, id)
	}
	return append(split(zero, depth+1, size), split(one, depth+1, size)...)
}

// setShares derives the entitlements that the bundle in force states.
func (v *view) setShares() {
	v.shares, v.tenants = nil, map[string]string{}
	if v.snap.Bundle == nil {
		return
	}
	for _, t := range v.snap.Bundle.Document.Tenants {
		s := dispatch.TenantShare{
			Tenant: t.Name, Share: t.Share, Organisations: make(map[string]float64, len(t.Organisations)),
			StallTime: t.Weights.StallTime, Preemptions: t.Weights.Preemptions, InterTokenLatency: t.Weights.InterTokenLatency,
		}
		for _, o := range t.Organisations {
			s.Organisations[o.Name] = cmp.Or(o.Weight, 1)
			v.tenants[o.Name] = t.Name
		}
		v.shares = append(v.shares, s)
	}
}
