package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
)

// ReturnSettleTime is the time after which the store counts as complete again after its return
// from a copy. The operator and the servers write again what was lost.
const ReturnSettleTime = 2 * time.Second

// rewriteMargin is the time after a write of the operator in a new era from which the store counts as
// complete. An operator that writes several versions again writes one right after the other.
const rewriteMargin = 100 * time.Millisecond

// EraSeen reports that the platform's store has answered in an era. Eras only rise.
type EraSeen struct {
	Era int64
	// Source is where the era was seen: an own call or a peer.
	Source string
}

// Apply implements Message.
func (m EraSeen) Apply(s *State) { s.raiseEra(m.Era, m.Source) }

// raiseEra adopts a higher era. The lines entries_kept and server_held tell what this VM keeps
// from the era before.
func (s *State) raiseEra(era int64, source string) {
	if era <= s.Era {
		return
	}
	fields := []zap.Field{
		zap.Int64("era", era), zap.Int64("previous", s.Era), zap.String("source", source),
		zap.Int64("servers_revision", s.Servers.Revision), zap.Int64("members_revision", s.Members.Revision),
	}
	if s.Routes != nil {
		fields = append(fields, zap.Int64("version", s.Routes.Version))
	}
	s.log.Info("store_era_seen", fields...)
	s.Era = era
	// Without a list of the era before, this VM has started and learns its first era.
	if s.Routes != nil && s.Servers.Revision > 0 {
		s.SettledAt = boottime.Now() + ReturnSettleTime
	}
	s.Changed()
}

// FirstEraBegan reports that the first era that this VM has seen may have begun a moment ago, with the
// store's return from a copy.
type FirstEraBegan struct {
	// At is a time after the return, on the clock of package boottime.
	At time.Duration
}

// Apply implements Message.
func (m FirstEraBegan) Apply(s *State) {
	s.SettledAt = max(s.SettledAt, m.At+ReturnSettleTime)
	s.Changed()
}

// ConfigurationWritten reports that the operator has written its configuration in an era, so that the
// store has got its newest one again.
type ConfigurationWritten struct {
	Era int64
	// At is a time after the write, on the clock of package boottime.
	At time.Duration
}

// Apply implements Message.
func (m ConfigurationWritten) Apply(s *State) {
	if m.Era != s.Era || m.At+rewriteMargin >= s.SettledAt {
		return
	}
	s.log.Info("store_settled_by_write", zap.Int64("era", m.Era), zap.Duration("earlier", s.SettledAt-m.At-rewriteMargin))
	s.SettledAt = m.At + rewriteMargin
	s.Changed()
}

// confirmRoutes records that the store had the configuration in force at a time, in an era. Before
// SettledAt the store may have lost a newer one, so that this does not show that it is the newest.
func (s *State) confirmRoutes(at time.Duration, era int64) {
	s.RoutesConfirmed = max(s.RoutesConfirmed, at)
	if era < s.Era || at >= s.SettledAt {
		s.RoutesNewest = max(s.RoutesNewest, at)
	}
	s.releaseKeptZones()
}
