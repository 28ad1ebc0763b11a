package control

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/evacuation"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// keptZoneMargin is the time after State.SettledAt from which a confirmation of the store shows that
// it will not get the evacuations of an earlier era again. The operator writes its keys one after
// another, and a VM may learn of them some hundred milliseconds later than of the configuration.
const keptZoneMargin = time.Second

// EvacuationsRead carries the evacuated zones that a read of the platform's store has found.
type EvacuationsRead struct {
	// At is the position of the read.
	At     evacuation.Version
	Zones  []evacuation.Zone
	Source string
}

// Apply implements Message.
func (m EvacuationsRead) Apply(s *State) {
	s.setEvacuations(s.Evacuations.Read(boottime.Now(), m.At, m.Zones), m.At, m.Source)
}

// EvacuationChanged reports that the operator has ordered or ended the evacuation of a zone.
type EvacuationChanged struct {
	At     evacuation.Version
	Zone   evacuation.Zone
	Ended  bool
	Source string
}

// Apply implements Message.
func (m EvacuationChanged) Apply(s *State) {
	s.setEvacuations(s.Evacuations.Change(boottime.Now(), m.At, m.Zone, m.Ended), m.At, m.Source)
}

// EvacuationsReceived carries the list of a peer.
type EvacuationsReceived struct {
	List   *evacuation.List
	Source string
}

// Apply implements Message.
func (m EvacuationsReceived) Apply(s *State) {
	s.setEvacuations(s.Evacuations.Receive(boottime.Now(), m.List), m.List.Version, m.Source)
}

// setEvacuations replaces the evacuated zones and logs which were added and removed.
func (s *State) setEvacuations(next *evacuation.State, at evacuation.Version, source string) {
	previous := s.Evacuations
	if next == previous {
		return
	}
	s.raiseEra(at.Era(), source)
	s.Evacuations = next
	s.Changed()
	for _, z := range next.Zones() {
		if previous.Includes(z.Name) {
			continue
		}
		s.uncheckedZones = append(s.uncheckedZones, z)
		s.log.Info("evacuation_begun", zap.String("zone", z.Name), zap.Int64("revision", z.Revision),
			zap.Int("servers", s.serversIn(z.Name)), zap.String("source", source))
	}
	for _, z := range previous.Zones() {
		if !next.Includes(z.Name) {
			s.log.Info("evacuation_ended", zap.String("zone", z.Name), zap.Int64("revision", z.Revision),
				zap.Int("servers", s.serversIn(z.Name)), zap.String("source", source))
		}
	}
	for _, z := range next.Kept() {
		if !slices.Contains(previous.Kept(), z) {
			s.log.Info("evacuation_kept", zap.String("zone", z.Name), zap.Int64("revision", z.Revision), zap.Int64("era", s.Era))
		}
	}
	s.checkZones()
}

// releaseKeptZones ends the evacuations of an earlier era that the store has not got again, once it
// counts as complete.
func (s *State) releaseKeptZones() {
	if len(s.Evacuations.Kept()) > 0 && s.RoutesNewest >= s.SettledAt+keptZoneMargin {
		s.setEvacuations(s.Evacuations.Release(boottime.Now()), s.Evacuations.List().Version, "store settled")
	}
}

// checkZones warns of evacuated zones that contain no server, as soon as the servers are known.
func (s *State) checkZones() {
	if s.Servers.Revision == 0 {
		return
	}
	for _, z := range s.uncheckedZones {
		if s.serversIn(z.Name) == 0 {
			s.log.Warn("evacuation_without_servers", zap.String("zone", z.Name), zap.Int64("revision", z.Revision))
		}
	}
	s.uncheckedZones = nil
}

// serversIn returns the number of listed backend servers in a zone.
func (s *State) serversIn(zone string) int {
	n := 0
	for _, vm := range s.VMs.VMs {
		if vm.Role != vmlist.RoleEntry && vm.Zone == zone {
			n++
		}
	}
	return n
}
