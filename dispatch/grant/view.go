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

// group is a set of engines that serve the same model in one region. One VM, its
// owner, dispatches it.
type group struct {
	name, model, region string
	// engines holds sorted engine ids.
	engines []string
	owner   string
}

// hasUsableEngine reports whether the group has an engine that is not excluded.
func (g *group) hasUsableEngine(excluded []string) bool {
	return slices.ContainsFunc(g.engines, func(id string) bool { return !slices.Contains(excluded, id) })
}

// modelEngine identifies a model on an engine.
type modelEngine struct{ model, engine string }

// view is the state derived from a snapshot. It is owned by the control goroutine.
type view struct {
	vm, region string
	groupSize  int

	snap   *control.Snapshot
	groups map[string]*group
	// candidates maps a model to the groups that requests of this VM may use: those
	// of its region, or all if its region has none.
	candidates map[string][]*group
	groupOf    map[modelEngine]*group
	// entryVMs holds the ids of the live entry VMs that are not suspect. declarers
	// holds these VMs for each region with engines: those of the region, or all if
	// it has none.
	entryVMs  map[string]bool
	declarers map[string][]vmlist.VM
	shares    []dispatch.TenantShare
	// tenants maps each organisation that the bundle names to its tenant.
	tenants map[string]string
}

// entitled reports whether the bundle in force names an organisation.
func (v *view) entitled(organisation string) bool { return v.tenants[organisation] != "" }

// update derives what changed in a snapshot and reports whether groups or shares
// changed. The cost is proportional to the fleet only if the VM list or a model
// changed, which is much rarer than other changes.
func (v *view) update(snap *control.Snapshot) (groups, shares bool) {
	old := v.snap
	v.snap = snap
	if shares = old == nil || old.Bundle != snap.Bundle; shares {
		v.setShares()
	}
	enginesChanged := old == nil || !old.SameBackends(snap)
	if enginesChanged {
		v.partitionAll()
	}
	sameVM := func(a, b vmlist.VM) bool { return a.ID == b.ID && a.Region == b.Region }
	if groups = enginesChanged || !slices.EqualFunc(old.EntryVMs, snap.EntryVMs, sameVM); groups {
		v.assignOwners()
	}
	return groups, shares
}

// partitionAll divides the engines of all models into groups.
func (v *view) partitionAll() {
	v.groups, v.candidates, v.groupOf = map[string]*group{}, map[string][]*group{}, map[modelEngine]*group{}
	for model, engines := range v.snap.Engines {
		var local, all []*group
		for region, ids := range byRegion(engines) {
			groups := partition(model, region, ids, v.groupSize)
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
				v.groupOf[modelEngine{g.model, id}] = g
			}
		}
	}
}

// assignOwners sets the owner of each group by rendezvous hashing. This VM owns all
// groups while no entry VM is known.
func (v *view) assignOwners() {
	v.entryVMs, v.declarers = make(map[string]bool, len(v.snap.EntryVMs)), map[string][]vmlist.VM{}
	for _, vm := range v.snap.EntryVMs {
		v.entryVMs[vm.ID] = true
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

// hashBits is the width of the hash of an engine id.
const hashBits = 64

// partition divides engines into groups of at most size. It halves the hash space
// of engine ids until each part is small enough, so that an engine that joins or
// leaves affects only its own part, by at most one split or merge.
func partition(model, region string, engines []string, size int) []*group {
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

// setShares derives the entitlements from the bundle in force.
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
