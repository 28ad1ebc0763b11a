package control

import (
	"slices"
	"strings"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/evacuation"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// versionSeparator separates model name and version in the VM list, as in
// "quotes@2".
const versionSeparator = "@"

// vmIndex is the part of a snapshot that depends only on the VM list and on the
// models of the bundle.
type vmIndex struct {
	engines  map[string][]vmlist.VM
	services map[string][]vmlist.VM
	backends map[string]vmlist.VM
	// entryVMs holds live entry VMs, including suspect ones.
	entryVMs []vmlist.VM
}

func newVMIndex(vms []vmlist.VM, versions map[string]string, leaving LeavingServers, evacuations *evacuation.State) *vmIndex {
	l := &vmIndex{
		engines: map[string][]vmlist.VM{}, services: map[string][]vmlist.VM{}, backends: map[string]vmlist.VM{},
	}
	for _, vm := range vms {
		if vm.Role == vmlist.RoleEntry {
			if vm.State == vmlist.StateLive {
				l.entryVMs = append(l.entryVMs, vm)
			}
			continue
		}
		vm.Models = servedModels(vm.Models, versions)
		if leaving.Includes(vm) {
			vm.State = vmlist.StateLeaving
		}
		if vm.State == vmlist.StateLive && evacuations.Includes(vm.Zone) {
			vm.State = vmlist.StateEvacuated
		}
		l.backends[vm.ID] = vm
		if vm.State != vmlist.StateLive {
			continue
		}
		for _, m := range vm.Models {
			l.engines[m] = append(l.engines[m], vm)
		}
		for _, svc := range vm.Services {
			l.services[svc] = append(l.services[svc], vm)
		}
	}
	return l
}

// servedModels returns the names of the models that an engine serves under the
// current bundle. An entry with a version is included only if the bundle names
// that version; an entry without a version is always included.
func servedModels(loaded []string, versions map[string]string) []string {
	if !slices.ContainsFunc(loaded, func(m string) bool { return strings.Contains(m, versionSeparator) }) {
		return loaded
	}
	served := make([]string, 0, len(loaded))
	for _, entry := range loaded {
		name, version, ok := strings.Cut(entry, versionSeparator)
		if (!ok || versions[name] == version) && !slices.Contains(served, name) {
			served = append(served, name)
		}
	}
	return served
}

func modelVersions(ix *bundle.Index) map[string]string {
	versions := map[string]string{}
	if ix == nil {
		return versions
	}
	for _, m := range ix.Document.Models {
		versions[m.Name] = m.Version
	}
	return versions
}

func sameModels(a, b *bundle.Index) bool {
	if a == nil || b == nil {
		return a == b
	}
	same := func(x, y bundle.Model) bool { return x.Name == y.Name && x.Version == y.Version }
	return slices.EqualFunc(a.Document.Models, b.Document.Models, same)
}
