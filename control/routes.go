package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/evacuation"
	"github.com/vanillaarch/vanillaarch/route"
)

// RoutesReceived carries the operator's configuration from the platform's store
// or a peer. A version lower than the current one is ignored.
type RoutesReceived struct {
	Table *route.Table
	// Content is the source text of the configuration.
	Content []byte
	Source  string
	// Confirmed is the time, on the clock of package boottime, of the store read
	// that returned this version. It is 0 if the version was not read from the
	// store.
	Confirmed time.Duration
	// Era is the era of that read.
	Era int64
}

// Apply implements Message.
func (m RoutesReceived) Apply(s *State) {
	if s.Routes != nil && m.Table.Version < s.Routes.Version {
		s.log.Warn("configuration_older", zap.Int64("version", m.Table.Version),
			zap.Int64("in_force", s.Routes.Version), zap.String("source", m.Source))
		return
	}
	if s.Routes == nil || m.Table.Version > s.Routes.Version {
		s.Routes, s.RoutesContent, s.Bundle = m.Table, m.Content, m.Table.Entitlements()
		s.log.Info("configuration_in_force", zap.Int64("version", m.Table.Version), zap.String("source", m.Source))
		// A confirmation of an earlier version does not apply to this one, but
		// this one was current when it was read.
	}
	if m.Confirmed > 0 {
		s.confirmRoutes(m.Confirmed, m.Era)
	}
	s.Changed()
}

// RoutesConfirmed reports that a configuration version was the latest one at a
// given time.
type RoutesConfirmed struct {
	Version int64
	// At is on the clock of package boottime.
	At time.Duration
	// Era is the era of the store at that time.
	Era int64
	// Newest is the last time at which a peer knows that the version was the newest one, 0 if it
	// does not say.
	Newest time.Duration
	// Evacuations is the version of the peer's list of evacuated zones, 0 if there is none. The
	// peer's configuration does not count as the newest one while this VM lacks that list.
	Evacuations evacuation.Version
}

// Apply implements Message.
func (m RoutesConfirmed) Apply(s *State) {
	if s.Routes == nil || m.Version != s.Routes.Version || m.At <= s.RoutesConfirmed && m.Newest <= s.RoutesNewest {
		return
	}
	s.Changed()
	if m.Evacuations > s.Evacuations.KnownTo() {
		s.RoutesConfirmed = max(s.RoutesConfirmed, m.At)
		return
	}
	s.confirmRoutes(m.At, m.Era)
	s.RoutesNewest = max(s.RoutesNewest, m.Newest)
	s.releaseKeptZones()
}
