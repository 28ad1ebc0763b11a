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

// SuspicionChanged marks an entry VM suspect, or clears the mark.
type SuspicionChanged struct {
	VM      string
	Suspect bool
}

// Apply implements Message.
func (m SuspicionChanged) Apply(s *State) {
	if s.Suspect[m.VM] == m.Suspect {
		return
	}
	if m.Suspect {
		s.Suspect[m.VM] = true
	} else {
		delete(s.Suspect, m.VM)
	}
	s.Changed()
	s.log.Info("vm_suspicion_changed", zap.String("peer", m.VM), zap.Bool("suspect", m.Suspect))
}
