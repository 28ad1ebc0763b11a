package control

import (
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// contradictionThreshold is the number of consecutive platform reads with a
// lower revision than a peer announced after which the platform's list replaces
// the peer's. A single such read may have overlapped with a change.
const contradictionThreshold = 2

// VMListReceived carries a VM list.
//
// A higher revision replaces a lower one, regardless of the sender. Lists are
// not signed, so a faulty peer can announce any list under any revision, and the
// list spreads to all VMs. A VM uses it until its own platform reads contradict
// it contradictionThreshold times in a row; watchers read every
// platform.vm_list_interval, other VMs at the fallback interval. The VM then
// rejects that revision and higher ones from peers until the platform reaches
// it. A platform that answers from a lagging replica causes the same rejection
// for as long as it lags.
type VMListReceived struct {
	List     *vmlist.List
	Source   string
	FromPeer bool
	// BaseRevision is the current revision at the start of the platform read. A
	// read does not contradict a list that was received after the read began.
	BaseRevision int64
}

// Apply implements Message.
func (m VMListReceived) Apply(s *State) {
	if m.FromPeer {
		m.applyPeer(s)
	} else {
		m.applyPlatform(s)
	}
}

func (m VMListReceived) applyPeer(s *State) {
	if m.List.Revision > s.VMs.Revision && (s.listCeiling == 0 || m.List.Revision < s.listCeiling) {
		m.replace(s)
	}
}

func (m VMListReceived) applyPlatform(s *State) {
	if m.List.Revision >= s.VMs.Revision {
		s.confirmList(m.List.Revision)
		if m.List.Revision > s.VMs.Revision {
			m.replace(s)
		}
		return
	}
	if !s.listFromPeer || m.BaseRevision < s.VMs.Revision {
		return
	}
	if s.contradictions++; s.contradictions < contradictionThreshold {
		return
	}
	s.listCeiling = s.VMs.Revision
	s.log.Warn("vm_list_contradicted", zap.Int64("revision", s.VMs.Revision), zap.Int64("platform_revision", m.List.Revision))
	m.replace(s)
}

func (m VMListReceived) replace(s *State) {
	s.VMs, s.listFromPeer, s.contradictions = m.List, m.FromPeer, 0
	s.Changed()
	s.log.Debug("vm_list_read", zap.Int64("revision", m.List.Revision), zap.String("source", m.Source))
}

// VMListConfirmed reports that the platform has confirmed a revision as current.
type VMListConfirmed struct{ Revision int64 }

// Apply implements Message.
func (m VMListConfirmed) Apply(s *State) { s.confirmList(m.Revision) }

// confirmList records that the platform has reached a revision.
func (s *State) confirmList(revision int64) {
	if revision >= s.VMs.Revision {
		s.contradictions = 0
		s.listFromPeer = s.listFromPeer && revision > s.VMs.Revision
	}
	if s.listCeiling > 0 && revision >= s.listCeiling {
		s.listCeiling = 0
		s.Changed()
	}
}

// ServersListed carries the backend servers from the platform's store. It is
// ignored unless its revision is higher than the current one.
type ServersListed struct {
	List   *vmlist.List
	Source string
}

// Apply implements Message.
func (m ServersListed) Apply(s *State) { s.replaceIfNewer(&s.Servers, m.List, m.Source) }

// MembersListed carries the entry VMs from the platform's store. It is ignored
// unless its revision is higher than the current one.
type MembersListed struct {
	List   *vmlist.List
	Source string
}

// Apply implements Message.
func (m MembersListed) Apply(s *State) { s.replaceIfNewer(&s.Members, m.List, m.Source) }

// replaceIfNewer replaces Servers or Members by a list with a higher revision.
func (s *State) replaceIfNewer(current **vmlist.List, next *vmlist.List, source string) {
	previous := *current
	if next.Revision <= previous.Revision {
		return
	}
	era := vmlist.EraOf(next.Revision)
	s.raiseEra(era, source)
	if previous.Revision > 0 && era > vmlist.EraOf(previous.Revision) {
		s.departed.recordLeaving(s.Now, previous.VMs)
		s.enterEra(s.inUse(current == &s.Members), next)
	} else {
		s.departed.recordRemovals(s.Now, previous.VMs, next.VMs)
	}
	*current = next
	s.mergeLists()
	s.checkZones()
}

// inUse returns the entry VMs or the backend servers that are in use, listed or kept.
func (s *State) inUse(entryVMs bool) []vmlist.VM {
	var vms []vmlist.VM
	for _, vm := range s.VMs.VMs {
		if (vm.Role == vmlist.RoleEntry) == entryVMs {
			vms = append(vms, vm)
		}
	}
	return vms
}

// mergeLists builds the VM list from the backend servers, the entry VMs and the VMs that
// are kept. Its revision is local to this VM.
func (s *State) mergeLists() {
	vms := make([]vmlist.VM, 0, len(s.Servers.VMs)+len(s.Members.VMs)+len(s.missing))
	vms = s.addMissing(append(append(vms, s.Servers.VMs...), s.Members.VMs...))
	s.VMs = &vmlist.List{Revision: s.VMs.Revision + 1, VMs: vms}
	s.Changed()
}
