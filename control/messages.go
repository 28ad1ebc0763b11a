package control

import (
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/bundle"
)

// BundleReceived carries a verified bundle from the bundle service or a peer. It
// is ignored unless its version is higher than the current one.
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

// SuspicionsChanged marks entry VMs as suspect or clears the mark. Changes that
// arrive together are batched in one message: when an availability zone is
// partitioned, each VM learns of all VMs of the zone at once.
type SuspicionsChanged struct {
	// Suspect and Cleared hold VM ids.
	Suspect, Cleared []string
}

// maxLoggedIDs limits the number of ids in a log line.
const maxLoggedIDs = 16

// Apply implements Message.
func (m SuspicionsChanged) Apply(s *State) {
	var suspect, cleared []string
	for _, id := range m.Suspect {
		if !s.Suspect[id] {
			s.Suspect[id] = true
			suspect = append(suspect, id)
		}
	}
	for _, id := range m.Cleared {
		if s.Suspect[id] {
			delete(s.Suspect, id)
			cleared = append(cleared, id)
		}
	}
	if len(suspect)+len(cleared) == 0 {
		return
	}
	s.Changed()
	s.suspectsVersion++
	s.log.Info("vm_suspicions_changed", zap.Int("suspects", len(suspect)), zap.Int("heard_again", len(cleared)), zap.Int("all", len(s.Suspect)),
		zap.Strings("suspect", suspect[:min(len(suspect), maxLoggedIDs)]), zap.Strings("heard", cleared[:min(len(cleared), maxLoggedIDs)]))
}
