package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
)

// ReturnSettleTime is the time after which the store counts as complete again after its return
// from a copy. The operator and the servers write again what was lost.
const ReturnSettleTime = 2 * time.Second

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
		s.beginSettling(boottime.Now())
	}
	s.Changed()
}

// beginSettling begins the time in which the store may lack a newer configuration. Confirmations
// since an earlier return that has not settled do not count as ones from before.
func (s *State) beginSettling(now time.Duration) {
	if now >= s.SettledAt {
		s.ConfirmedBefore = s.RoutesConfirmed
	}
	s.SettledAt = now + ReturnSettleTime
}
