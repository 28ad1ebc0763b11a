package grant

import (
	"slices"
)

// chooseGroup chooses a group by the power of two choices: the one of two random
// groups with the shorter queue per engine. Groups whose dispatcher does not
// respond are used only if there is no other.
func (f *frontend) chooseGroup(r *request) *group {
	var silent, responsive []*group
	for _, g := range f.m.view.candidates[r.admissionRequest.Model] {
		switch {
		case !g.hasUsableEngine(r.unusable()) || slices.Contains(r.excludedGroups, g.name):
		case f.link(g.owner).silent:
			silent = append(silent, g)
		default:
			responsive = append(responsive, g)
		}
	}
	if len(responsive) == 0 {
		responsive = silent
	}
	switch len(responsive) {
	case 0:
		return nil
	case 1:
		return responsive[0]
	}
	i := f.rand.IntN(len(responsive))
	j := (i + 1 + f.rand.IntN(len(responsive)-1)) % len(responsive)
	a, b := responsive[i], responsive[j]
	if int(f.queueLengths[b.name])*len(a.engines) < int(f.queueLengths[a.name])*len(b.engines) {
		return b
	}
	return a
}

// adoptGroups moves waiting requests and grants to the dispatchers of a new view.
func (f *frontend) adoptGroups() {
	for _, s := range f.waitingSequences(func(r *request) bool { return !f.waitsAtOwner(r) }) {
		r := f.waiting[s]
		f.withdraw(r)
		f.route(r)
	}
	f.forgetDeclarations()
	for vm, l := range f.links {
		if !f.m.view.entryVMs[vm] && l.settled() && !f.owns(vm) {
			delete(f.links, vm)
		}
	}
	for name := range f.queueLengths {
		if f.m.view.groups[name] == nil {
			delete(f.queueLengths, name)
		}
	}
	f.declarationDue = true
}

// waitsAtOwner reports whether a request waits at the owner of its group.
func (f *frontend) waitsAtOwner(r *request) bool {
	g := f.m.view.groups[r.group]
	return g != nil && g.owner == r.dispatcherVM
}

// owns reports whether a VM owns a group in the current view.
func (f *frontend) owns(vm string) bool {
	for _, g := range f.m.view.groups {
		if g.owner == vm {
			return true
		}
	}
	return false
}
