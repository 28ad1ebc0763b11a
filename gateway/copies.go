package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/relocation"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// copies tracks the copies of a run's KV cache on other engines. A backup is
// replicated continuously from the start of the run; a moved copy is made when the
// engine is about to leave.
type copies struct {
	mu sync.Mutex
	// backup is replicated while the run goes on, moved was copied after the
	// engine announced its departure.
	backup, moved *runCopy
	// copying is set by the first copy attempt and closed when the latest
	// attempt ends.
	copying chan struct{}
	ended   bool
	// switchResult is set while a switchover to a copy is requested. It receives
	// whether the switchover succeeded.
	switchResult chan bool
}

// runCopy is a copy of a run with the dispatch ticket of the engine that continues
// the run from it. location is where the KV cache is read from.
type runCopy struct {
	ticket   dispatch.Ticket
	vm       vmlist.VM
	location edge.Copy
}

const (
	// backupTimeout bounds the wait for a backup engine, which delays the request.
	backupTimeout = 50 * time.Millisecond
	// minBackupTokens is the expected number of tokens from which a run gets a backup.
	minBackupTokens = 64
)

// acquireBackup acquires an engine for the backup of a run that can't be restarted.
// It returns false if the run needs none, already has one, or no engine has capacity.
func (s *stream) acquireBackup(primary vmlist.VM) bool {
	engine := s.service.Engine
	if engine == nil || !engine.SupportsBackup || s.route.Resumable || s.backupAddress() != "" {
		return false
	}
	if n := s.info.ExpectedTokens; n > 0 && n < minBackupTokens {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, backupTimeout)
	defer cancel()
	request := s.admissionRequest([]string{primary.ID})
	request.Spare, request.Zone = true, primary.Zone
	ticket, vm, err := s.g.acquire(ctx, request)
	if err != nil {
		s.log.Info("backup_not_granted", zap.String("backend", primary.ID), telemetry.Error(err))
		return false
	}
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.backup = &runCopy{ticket: ticket, vm: vm, location: edge.Copy{Address: vm.Address, Handle: s.info.ID}}
	return true
}

// dropBackup releases the backup of a run that did not start. Otherwise its empty
// backup would be used as a copy.
func (s *stream) dropBackup() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.backup != nil {
		s.copies.backup.ticket.Release(0)
		s.copies.backup = nil
	}
}

// backupAddress returns the address of the backup engine, "" if there is none.
func (s *stream) backupAddress() string {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.backup == nil {
		return ""
	}
	return s.copies.backup.vm.Address
}

// reportBackupProgress reports the tokens of the run to the backup's ticket.
func (s *stream) reportBackupProgress() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.backup != nil {
		s.copies.backup.ticket.Progress(s.tokens())
	}
}

// takeCopy removes and returns a copy of the run, or nil if there is none. A moved
// copy is preferred to a backup. A copy whose engine is not live is dropped.
func (s *stream) takeCopy() *runCopy {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	for _, at := range []**runCopy{&s.copies.moved, &s.copies.backup} {
		rc := *at
		*at = nil
		if rc == nil {
			continue
		}
		if s.g.isLive(rc.vm) {
			return rc
		}
		rc.ticket.Release(0)
	}
	return nil
}

// awaitCopy waits up to copyWaitTimeout for a copy in progress after a segment has
// ended early.
func (s *stream) awaitCopy() {
	s.copies.mu.Lock()
	copying := s.copies.copying
	s.copies.mu.Unlock()
	if copying == nil {
		return
	}
	select {
	case <-copying:
	case <-s.ctx.Done():
	case <-time.After(copyWaitTimeout):
	}
}

// isLive reports whether the VM list has the engine as live with the same
// incarnation.
func (g *Gateway) isLive(vm vmlist.VM) bool {
	now, listed := g.Snapshot().Backends[vm.ID]
	return listed && now.State == vmlist.StateLive && now.Incarnation == vm.Incarnation
}

// hasCopy reports whether a live engine has a copy. The caller holds s.copies.mu.
func (s *stream) hasCopy() bool {
	for _, rc := range []*runCopy{s.copies.moved, s.copies.backup} {
		if rc != nil && s.g.isLive(rc.vm) {
			return true
		}
	}
	return false
}

// requestSwitch asks the relay to continue the run from a copy, and waits for the
// result. It returns true if the context or the stream ends first, since nothing is
// left to move then. It runs on the goroutine of the evacuation.
func (s *stream) requestSwitch(ctx context.Context) bool {
	s.copies.mu.Lock()
	if s.copies.ended || s.copies.switchResult != nil || !s.hasCopy() {
		s.copies.mu.Unlock()
		return false
	}
	result := make(chan bool, 1)
	s.copies.switchResult = result
	s.copies.mu.Unlock()
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return true
}

// switchRequested reports whether a switchover to a copy is pending.
func (s *stream) switchRequested() bool {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	return s.copies.switchResult != nil
}

// switchOver opens a segment on an engine with a copy and closes the current one.
// If that fails, it returns the current segment.
func (s *stream) switchOver(seg *segment) *segment {
	next := seg
	if rc := s.takeCopy(); rc != nil {
		if opened, err := s.openCopy(rc); err == nil {
			next = opened
			s.close(seg, errSwitchover)
		} else {
			s.returnCopy(rc, err)
		}
	}
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.switchResult <- next != seg
	s.copies.switchResult = nil
	return next
}

// returnCopy keeps a backup that its engine refused because it had not arrived yet;
// it arrives within a few hundred milliseconds. Any other copy is released.
func (s *stream) returnCopy(rc *runCopy, err error) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if _, refused := errors.Into[*RefusedError](err); !refused || rc.location.Address != rc.vm.Address {
		rc.ticket.Release(0)
		return
	}
	s.copies.backup = rc
}

// openCopy opens a segment that continues the run from a copy. The caller still
// owns the copy if there is an error.
func (s *stream) openCopy(rc *runCopy) (*segment, error) {
	acquired := s.acquireBackup(rc.vm)
	seg, err := s.open(rc.ticket, rc.vm, &rc.location)
	if err != nil && acquired {
		s.dropBackup()
	}
	s.log.Info("run_goes_on", zap.String("backend", rc.vm.ID), zap.String("copy_at", rc.location.Address),
		zap.Int64("last_event", s.lastEvent), telemetry.Error(err))
	return seg, err
}

// relocate copies the run to another engine and requests a switchover to it. It
// runs on the goroutine of the evacuation.
func (s *stream) relocate(ctx context.Context, vm vmlist.VM, scheduled relocation.ScheduledCopy, noticedAt, leavesAt time.Duration) {
	// The run needs no copy after the caller has disconnected.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	wait.Sleep(ctx, noticedAt+scheduled.CopyAt-boottime.Now())
	excluded := []string{vm.ID}
	for try := 0; ; try++ {
		rc, err := s.copyTo(ctx, vm, excluded)
		fields := []zap.Field{
			zap.String("backend", vm.ID), zap.Bool("fits", scheduled.Fits), zap.Duration("planned", scheduled.CopiedAt),
			zap.Duration("since_notice", boottime.Now()-noticedAt), telemetry.Error(err),
		}
		if rc != nil {
			fields = append(fields, zap.String("target", rc.vm.ID), zap.Bool("same_zone", rc.vm.Zone == vm.Zone))
			excluded = append(excluded, rc.vm.ID)
		}
		if try == 0 || err == nil {
			s.log.Info("run_copied", fields...)
		}
		if err == nil || boottime.Now() >= leavesAt || !wait.Sleep(ctx, moveRetryInterval) {
			break
		}
		if rc == nil {
			// No engine had capacity. One that failed before may accept the copy now.
			excluded = []string{vm.ID}
		}
	}
	s.requestSwitch(ctx)
}

// copyTo copies the run to another engine. If the copy fails after an engine was
// acquired, it returns that engine together with the error.
func (s *stream) copyTo(ctx context.Context, source vmlist.VM, excluded []string) (*runCopy, error) {
	done, ok := s.beginCopy()
	if !ok {
		return nil, nil
	}
	defer close(done)
	acquiring, cancel := context.WithTimeout(ctx, targetAcquireTimeout)
	defer cancel()
	request := s.admissionRequest(excluded)
	// The same zone is preferred: a copy to another zone takes twice as long.
	request.Zone, request.Resumed = source.Zone, true
	ticket, vm, err := s.g.acquire(acquiring, request)
	if err != nil {
		return nil, err
	}
	rc := &runCopy{ticket: ticket, vm: vm}
	moving, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	moved, err := s.g.Engines.Move(moving, backend.Target{ID: source.ID, Address: source.Address},
		edge.MoveRequest{RunID: s.info.ID, To: vm.Address})
	if err != nil {
		ticket.Release(0)
		return rc, err
	}
	rc.location = edge.Copy{Address: source.Address, Handle: moved.Handle}
	s.addCopy(rc)
	return rc, nil
}

// beginCopy registers a copy in progress. The caller closes the returned channel
// when the copy ends. It returns false if the stream has ended.
func (s *stream) beginCopy() (chan struct{}, bool) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.ended {
		return nil, false
	}
	done := make(chan struct{})
	s.copies.copying = done
	return done, true
}

// addCopy stores a completed copy, or discards it if the stream has ended.
func (s *stream) addCopy(rc *runCopy) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.ended {
		s.g.background.Go(func() { s.discard(rc) })
		return
	}
	if old := s.copies.moved; old != nil {
		old.ticket.Release(0)
	}
	s.copies.moved = rc
}

// releaseCopies releases all copies after the end of the stream. The engine frees a
// backup itself: at once if the run completed, otherwise when its lifetime expires.
func (s *stream) releaseCopies() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.ended = true
	if s.copies.switchResult != nil {
		s.copies.switchResult <- true
		s.copies.switchResult = nil
	}
	if s.copies.backup != nil {
		s.copies.backup.ticket.Release(0)
		s.copies.backup = nil
	}
	if rc := s.copies.moved; rc != nil {
		s.copies.moved = nil
		s.g.background.Go(func() { s.discard(rc) })
	}
}

// discard frees a moved copy that was not used.
func (s *stream) discard(rc *runCopy) {
	rc.ticket.Release(0)
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	err := s.g.Engines.Discard(ctx, backend.Target{ID: rc.vm.ID, Address: rc.location.Address}, rc.location.Handle)
	if err != nil {
		// The engine frees the copy when its lifetime expires.
		s.log.Info("copy_not_freed", zap.String("backend", rc.vm.ID), telemetry.Error(err))
	}
}

// endsWithin reports whether the run is expected to end within d. The estimate is
// twice the time for the remaining tokens up to max_tokens at the rate so far.
func (s *stream) endsWithin(d time.Duration) bool {
	events := s.eventCount.Load()
	if s.info.MaxTokens <= 0 || events < 2 {
		return false
	}
	perEvent := (boottime.Now() - time.Duration(s.firstEventAt.Load())) / time.Duration(events-1)
	left := (s.info.MaxTokens-s.tokens())/s.service.Engine.TokensPerEvent + 1
	return time.Duration(left)*perEvent*2 < d
}
