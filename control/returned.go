package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// What stays in use after the store has come back from a copy that does not have it.
const (
	// missingServerGrace is how long a live server stays in use that the lists of the new era do
	// not have. Servers write their entries again within about 2 s of the return.
	missingServerGrace = 2500 * time.Millisecond
	// MissingMemberGrace is how long an entry VM stays in use that a list does not have any more.
	// Peers detect by heartbeats whether it runs, so the time only has to exceed that in which VMs
	// announce themselves again.
	MissingMemberGrace = 10 * time.Second
)

// missingVM is a VM that the lists of the era do not have yet, or only an earlier start of it.
type missingVM struct {
	vm    vmlist.VM
	until time.Time
}

// enterEra prepares for the first list of a later era, which may be a copy from before. known holds
// the VMs of that kind that were in use.
func (s *State) enterEra(known []vmlist.VM, next *vmlist.List) {
	listed := make(map[string]vmlist.VM, len(next.VMs))
	for _, vm := range next.VMs {
		listed[vm.ID] = vm
	}
	s.keepMissing(known, listed)
	s.holdDeparted(listed)
}

// keepMissing keeps the live VMs that a list of the new era does not have, and those of which it
// has an earlier start.
func (s *State) keepMissing(known []vmlist.VM, listed map[string]vmlist.VM) {
	kept, leaving := 0, s.allLeaving()
	for _, vm := range known {
		now, isListed := listed[vm.ID]
		if isListed && now.Incarnation >= vm.Incarnation {
			continue
		}
		if !isListed && (vm.State != vmlist.StateLive || leaving.Includes(vm)) {
			continue
		}
		grace := missingServerGrace
		if vm.Role == vmlist.RoleEntry {
			grace = MissingMemberGrace
		}
		s.missing[vm.ID] = missingVM{vm: vm, until: s.Now.Add(grace)}
		kept++
		s.log.Info("entry_kept", zap.String("vm", vm.ID), zap.String("role", string(vm.Role)), zap.Duration("for", grace), zap.Int64("era", s.Era))
	}
	s.log.Info("entries_kept", zap.Int("kept", kept), zap.Int("listed", len(listed)), zap.Int("known", len(known)), zap.Int64("era", s.Era))
}

// addMissing adds the VMs that are kept to listed ones, in the place of earlier starts. It forgets
// those that are listed.
func (s *State) addMissing(listed []vmlist.VM) []vmlist.VM {
	if len(s.missing) == 0 {
		return listed
	}
	replaced := map[string]bool{}
	for i, vm := range listed {
		m, ok := s.missing[vm.ID]
		switch {
		case ok && vm.Incarnation < m.vm.Incarnation:
			listed[i], replaced[vm.ID] = m.vm, true
		case ok:
			delete(s.missing, vm.ID)
		}
	}
	for id, m := range s.missing {
		if !replaced[id] {
			listed = append(listed, m.vm)
		}
	}
	return listed
}

// dropMissing drops the VMs whose time has passed, and reports whether there were any.
func (s *State) dropMissing() (dropped bool) {
	for id, m := range s.missing {
		if s.Now.After(m.until) {
			delete(s.missing, id)
			dropped = true
			s.log.Info("entry_dropped", zap.String("vm", id), zap.Int64("era", s.Era))
		}
	}
	return dropped
}

// EndRetention ends what is kept from an earlier era once its time has passed.
type EndRetention struct{}

// Apply implements Message.
func (EndRetention) Apply(s *State) {
	dropped, released := s.dropMissing(), s.releaseHeld()
	if dropped || released {
		s.mergeLists()
	}
}

// retains reports whether something is kept for a time.
func (s *State) retains() bool { return len(s.missing) > 0 || s.departed.holdsForATime() }
