package control

import (
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/bundle"
)

// BundleReceived carries a verified bundle from the service or a peer. A
// version at or below the one in force is ignored.
type BundleReceived struct {
	Signed *bundle.Signed
	Index  *bundle.Index
	Source string
}

// Apply implements Message.
func (m BundleReceived) Apply(s *State) {
	if s.Bundle != nil && m.Index.Version() <= s.Bundle.Version() {
		return
	}
	s.Signed, s.Bundle = m.Signed, m.Index
	s.Changed()
	s.log.Info("bundle_in_force", zap.Int64("version", m.Index.Version()), zap.String("source", m.Source))
}

// SuspicionsChanged marks entry VMs suspect, or clears their marks. Changes that
// a peer told together come in one message: when a zone is cut off, each VM hears
// of all VMs of the zone at once.
type SuspicionsChanged struct {
	// Suspect and Cleared are ids.
	Suspect, Cleared []string
}

// maxLoggedIDs bounds the ids in a log line.
const maxLoggedIDs = 16

// Apply implements Message.
func (m SuspicionsChanged) Apply(s *State) {
	var suspect, heard []string
	for _, id := range m.Suspect {
		if !s.Suspect[id] {
			s.Suspect[id] = true
			suspect = append(suspect, id)
		}
	}
	for _, id := range m.Cleared {
		if s.Suspect[id] {
			delete(s.Suspect, id)
			heard = append(heard, id)
		}
	}
	if len(suspect)+len(heard) == 0 {
		return
	}
	s.Changed()
	s.suspectsVersion++
	s.log.Info("vm_suspicions_changed", zap.Int("suspects", len(suspect)), zap.Int("heard_again", len(heard)), zap.Int("all", len(s.Suspect)),
		zap.Strings("suspect", suspect[:min(len(suspect), maxLoggedIDs)]), zap.Strings("heard", heard[:min(len(heard), maxLoggedIDs)]))
}
