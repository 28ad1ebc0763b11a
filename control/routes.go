package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/route"
)

// RoutesReceived carries the operator's configuration from the platform's store
// or a peer. A version below the one in force is ignored.
type RoutesReceived struct {
	Table *route.Table
	// Content is the configuration as the operator wrote it.
	Content []byte
	Source  string
	// Confirmed is when the store was asked that answered with this version, on
	// the clock of package boottime, or 0 if it did not confirm it.
	Confirmed time.Duration
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
		// The confirmation of an earlier version says nothing about this one,
		// but this one was in force when it was read.
	}
	s.RoutesConfirmed = max(s.RoutesConfirmed, m.Confirmed)
	s.Changed()
}

// RoutesConfirmed says that a version was the newest one at some time.
type RoutesConfirmed struct {
	Version int64
	// At is on the clock of package boottime.
	At time.Duration
}

// Apply implements Message.
func (m RoutesConfirmed) Apply(s *State) {
	if s.Routes == nil || m.Version != s.Routes.Version || m.At <= s.RoutesConfirmed {
		return
	}
	s.RoutesConfirmed = m.At
	s.Changed()
}
