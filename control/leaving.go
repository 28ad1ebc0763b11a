package control

import (
	"maps"
	"slices"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// LeavingServers maps the id of a backend server to its incarnations that have
// announced in their answers that they leave. It is immutable.
type LeavingServers map[string][]int64

// Includes reports whether a listed server may be one of them.
func (l LeavingServers) Includes(vm vmlist.VM) bool {
	return slices.ContainsFunc(l[vm.ID], func(incarnation int64) bool { return vm.MayBe(incarnation) })
}

// ServersLeaving replaces the servers that have announced that they leave. They count as
// leaving in snapshots, whatever the lists say of them.
type ServersLeaving struct{ Servers LeavingServers }

// Apply implements Message.
func (m ServersLeaving) Apply(s *State) {
	if maps.EqualFunc(s.leaving, m.Servers, slices.Equal[[]int64]) {
		return
	}
	s.leaving = m.Servers
	s.leavingVersion++
	s.Changed()
}
