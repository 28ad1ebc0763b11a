package gateway

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// backupRooms tells which engines have room for the backups of the runs of one evacuation.
// An engine takes a backup only while it has room, and tells nobody when it has none. It is
// asked once for an evacuation. The zero value is not usable.
type backupRooms struct {
	g *Gateway

	mu      sync.Mutex
	reports map[string]func() (edge.EngineReport, error)
}

func newBackupRooms(g *Gateway) *backupRooms {
	return &backupRooms{g: g, reports: map[string]func() (edge.EngineReport, error){}}
}

// report returns the report of an engine.
func (b *backupRooms) report(ctx context.Context, vm vmlist.VM) (edge.EngineReport, error) {
	b.mu.Lock()
	ask := b.reports[vm.ID]
	if ask == nil {
		ask = sync.OnceValues(func() (edge.EngineReport, error) {
			// The answer is for all runs, whichever asks first.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
			defer cancel()
			return b.g.Engines.Report(ctx, backend.TargetOf(vm))
		})
		b.reports[vm.ID] = ask
	}
	b.mu.Unlock()
	return ask()
}

// mayExist returns false if the backup of a run may be missing: its engine has less room
// now than the whole run takes, so it may have had none for the backup. An engine that does
// not answer in time counts as one with room, as does one that reports no capacity.
func (b *backupRooms) mayExist(ctx context.Context, s *stream) bool {
	s.copies.mu.Lock()
	rc := s.copies.backup
	s.copies.mu.Unlock()
	if rc == nil {
		return false
	}
	report, err := b.report(ctx, rc.vm)
	free, needed := report.TotalTokens-report.UsedTokens, s.info.PromptTokens+s.tokens()
	if err != nil || report.TotalTokens == 0 || free >= needed {
		return true
	}
	s.log.Info("backup_doubtful", zap.String("backend", rc.vm.ID), zap.Int("free_tokens", free),
		zap.Int("run_tokens", needed), telemetry.Error(err))
	return false
}
