package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

const (
	// backupTimeout bounds the wait for a backup engine, which delays the request.
	backupTimeout = 50 * time.Millisecond
	// minBackupTokens is the expected number of tokens from which a run gets a backup.
	minBackupTokens = 64
)

// acquireBackup acquires an engine for the backup of a run that can't be restarted.
// It returns false if the run needs none, already has one, or no engine has capacity.
func (s *stream) acquireBackup(primary vmlist.VM) bool {
	if state := s.backupNeeded(); state != copyNone {
		s.copies.mu.Lock()
		defer s.copies.mu.Unlock()
		s.copies.recordBackup(state, "", nil)
		return false
	}
	if s.backupAddress(primary) != "" {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, backupTimeout)
	defer cancel()
	// An engine that may still work on the run is asked to end it: not to hold its backup.
	rule := s.mayHoldCopyOf(primary)
	request := s.admissionRequest(append(s.unendedEngines(), primary.ID), s.rejectedBy(rule))
	request.Spare, request.Zone = true, primary.Zone
	ticket, vm, err := s.acquireEngine(ctx, request, rule)
	if err != nil {
		reason := s.whyNotGranted(ctx, primary)
		s.log.Info("backup_not_granted", zap.String("backend", primary.ID), zap.String("reason", string(reason)), telemetry.Error(err))
		s.copies.mu.Lock()
		defer s.copies.mu.Unlock()
		if s.copies.backup == nil {
			s.copies.recordBackup(copyNotGranted, "", &backupNotGrantedError{reason})
		}
		return false
	}
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if unusable := s.copies.backup; unusable != nil {
		unusable.ticket.Release(0)
	}
	s.copies.backup = &runCopy{
		ticket: ticket, vm: vm, location: edge.Copy{Address: vm.Address, Handle: s.info.ID}, beginsAt: boottime.Now(),
	}
	s.copies.record(s.copies.backup, copyHeld, nil)
	return true
}

// backupNeeded returns copyNone if the run is to have a backup, and why it needs none
// otherwise.
func (s *stream) backupNeeded() copyState {
	engine := s.service.Engine
	if engine == nil || !engine.SupportsBackup {
		return copyUnsupported
	}
	if n := s.info.ExpectedTokens; s.route.Resumable || n > 0 && n < minBackupTokens {
		return copyNotNeeded
	}
	return copyNone
}

// dropBackup releases the backup of a run that did not start. Otherwise its empty
// backup would be used as a copy.
func (s *stream) dropBackup() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if rc := s.copies.backup; rc != nil {
		if s.copies.lastBackup.engine == rc.vm.ID {
			s.copies.record(rc, copyUnstarted, nil)
		}
		rc.ticket.Release(0)
		s.copies.backup = nil
	}
}

// backupAddress returns the address of the engine with the backup of a run on another
// engine, "" if there is none that may be used. An engine may have announced its departure,
// or asked for a pause, since it was acquired, or the run may have been moved to it.
func (s *stream) backupAddress(primary vmlist.VM) string {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	backup := s.copies.backup
	if backup == nil || backup.vm.ID == primary.ID || !s.g.mayContinueAt(backup.vm) || s.mayHoldCopyOf(primary)(backup.vm) != nil {
		return ""
	}
	return backup.vm.Address
}

// backupArrivesAt returns the time from which the backup can be relied on. It returns
// false if there is none.
func (s *stream) backupArrivesAt() (time.Duration, bool) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.backup == nil {
		return 0, false
	}
	// The backup of a run that goes on elsewhere begins long after the first event.
	return max(time.Duration(s.firstEventAt.Load()), s.copies.backup.beginsAt) + backupArrivalTime, true
}

// reportBackupProgress reports the tokens of the run to the backup's ticket.
func (s *stream) reportBackupProgress() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.backup != nil {
		s.copies.backup.ticket.Progress(s.tokens())
	}
}
