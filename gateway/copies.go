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

// copies is what a stream knows of copies of its run's memory on other engines.
// A backup grows with the run from its start; a move copies the memory when the
// engine is about to leave.
type copies struct {
	mu sync.Mutex
	// backup grows with the run, moved was copied at the notice of a departure.
	backup, moved *runCopy
	// copying is not nil while a copy is being made, and closed after it.
	copying chan struct{}
	ended   bool
	// switchResult asks the relay to go on elsewhere. It receives whether that succeeded.
	switchResult chan bool
}

// runCopy is a copy with the right to use it.
type runCopy struct {
	ticket   dispatch.Ticket
	vm       vmlist.VM
	location edge.Copy
}

const (
	// backupTimeout bounds the question for room for a backup, which delays the request.
	backupTimeout = 50 * time.Millisecond
	// minBackupTokens is the expected length from which a run gets a backup.
	minBackupTokens = 64
)

// acquireBackup obtains room for a backup of a run that cannot start again. It
// returns false if there is none, or there was one before.
func (s *stream) acquireBackup(primary vmlist.VM) bool {
	engine := s.service.Engine
	if engine == nil || !engine.Backups || s.route.Resumable || s.backupAddress() != "" {
		return false
	}
	if n := s.facts.ExpectedTokens; n > 0 && n < minBackupTokens {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, backupTimeout)
	defer cancel()
	ask := s.admissionRequest([]string{primary.ID})
	ask.Spare, ask.Zone = true, primary.Zone
	ticket, vm, err := s.g.acquire(ctx, ask)
	if err != nil {
		s.log.Info("backup_not_granted", zap.String("backend", primary.ID), telemetry.Error(err))
		return false
	}
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.backup = &runCopy{ticket: ticket, vm: vm, location: edge.Copy{Address: vm.Address, Handle: s.facts.ID}}
	return true
}

// dropBackup gives up the room for a backup of a run that did not begin, so
// that nobody takes it for a copy.
func (s *stream) dropBackup() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.backup != nil {
		s.copies.backup.ticket.Release(0)
		s.copies.backup = nil
	}
}

func (s *stream) backupAddress() string {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.backup == nil {
		return ""
	}
	return s.copies.backup.vm.Address
}

func (s *stream) reportBackupProgress() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.backup != nil {
		s.copies.backup.ticket.Progress(s.tokens())
	}
}

// takeCopy returns a copy of the run, the one that was moved first, or nil. One
// whose engine is leaving as well is dropped.
func (s *stream) takeCopy() *runCopy {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	for _, at := range []**runCopy{&s.copies.moved, &s.copies.backup} {
		h := *at
		*at = nil
		if h == nil {
			continue
		}
		if s.g.isLive(h.vm) {
			return h
		}
		h.ticket.Release(0)
	}
	return nil
}

// awaitCopy waits for a copy that is being made when the stream has ended.
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

// isLive reports whether an engine stays.
func (g *Gateway) isLive(vm vmlist.VM) bool {
	now, listed := g.Snapshot().Backends[vm.ID]
	return listed && now.State == vmlist.StateLive && now.Incarnation == vm.Incarnation
}

// hasCopy reports whether a copy lies on an engine that stays.
func (s *stream) hasCopy() bool {
	for _, h := range []*runCopy{s.copies.moved, s.copies.backup} {
		if h != nil && s.g.isLive(h.vm) {
			return true
		}
	}
	return false
}

// requestSwitch asks the relay to go on at an engine with a copy, and waits for
// the outcome. It runs on the goroutine of the evacuation.
func (s *stream) requestSwitch(ctx context.Context) bool {
	s.copies.mu.Lock()
	if s.copies.ended || s.copies.switchResult != nil || !s.hasCopy() {
		s.copies.mu.Unlock()
		return false
	}
	wanted := make(chan bool, 1)
	s.copies.switchResult = wanted
	s.copies.mu.Unlock()
	select {
	case ok := <-wanted:
		return ok
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return true
}

// switchRequested reports whether the run is to go on at the engine with its backup.
func (s *stream) switchRequested() bool {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	return s.copies.switchResult != nil
}

// switchOver opens a leg at an engine with a copy and ends the one before. If
// that fails, the leg goes on.
func (s *stream) switchOver(seg *segment) *segment {
	next := seg
	if h := s.takeCopy(); h != nil {
		if opened, err := s.openCopy(h); err == nil {
			next = opened
			s.close(seg, errSwitchover)
		} else {
			s.returnCopy(h, err)
		}
	}
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.switchResult <- next != seg
	s.copies.switchResult = nil
	return next
}

// returnCopy keeps a backup that its engine did not have yet; it arrives within
// some hundred milliseconds. Any other copy is dropped.
func (s *stream) returnCopy(h *runCopy, err error) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if _, refused := errors.Into[*RefusedError](err); !refused || h.location.Address != h.vm.Address {
		h.ticket.Release(0)
		return
	}
	s.copies.backup = h
}

// openCopy opens a leg that goes on from a copy. The caller keeps the copy if
// there is an error.
func (s *stream) openCopy(h *runCopy) (*segment, error) {
	acquired := s.acquireBackup(h.vm)
	seg, err := s.open(h.ticket, h.vm, &h.location)
	if err != nil && acquired {
		s.dropBackup()
	}
	s.log.Info("run_goes_on", zap.String("backend", h.vm.ID), zap.String("copy_at", h.location.Address),
		zap.Int64("last_event", s.lastEvent), telemetry.Error(err))
	return seg, err
}

// relocate copies the run to another engine, at which the relay then goes on.
// It runs on the goroutine of the evacuation.
func (s *stream) relocate(ctx context.Context, vm vmlist.VM, order relocation.Order, noticed, leavesAt time.Duration) {
	// Without the caller there is nothing to move.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	wait.Sleep(ctx, noticed+order.CopyAt-boottime.Now())
	excluded := []string{vm.ID}
	for try := 0; ; try++ {
		h, err := s.copyTo(ctx, vm, excluded)
		fields := []zap.Field{
			zap.String("backend", vm.ID), zap.Bool("fits", order.Fits), zap.Duration("planned", order.CopiedAt),
			zap.Duration("since_notice", boottime.Now()-noticed), telemetry.Error(err),
		}
		if h != nil {
			fields = append(fields, zap.String("target", h.vm.ID), zap.Bool("same_zone", h.vm.Zone == vm.Zone))
			excluded = append(excluded, h.vm.ID)
		}
		if try == 0 || err == nil {
			s.log.Info("run_copied", fields...)
		}
		if err == nil || boottime.Now() >= leavesAt || !wait.Sleep(ctx, moveRetryInterval) {
			break
		}
		if h == nil {
			// No engine had room. One that refused may have some by now.
			excluded = []string{vm.ID}
		}
	}
	s.requestSwitch(ctx)
}

// copyTo makes a copy of the run on another engine. It returns the engine that
// was tried even if there is an error.
func (s *stream) copyTo(ctx context.Context, source vmlist.VM, excluded []string) (*runCopy, error) {
	done, ok := s.beginCopy()
	if !ok {
		return nil, nil
	}
	defer close(done)
	acquiring, cancel := context.WithTimeout(ctx, targetAcquireTimeout)
	defer cancel()
	ask := s.admissionRequest(excluded)
	// A copy to another zone takes twice as long.
	ask.Zone, ask.Resumed = source.Zone, true
	ticket, vm, err := s.g.acquire(acquiring, ask)
	if err != nil {
		return nil, err
	}
	h := &runCopy{ticket: ticket, vm: vm}
	moving, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	moved, err := s.g.Engines.Move(moving, backend.Target{ID: source.ID, Address: source.Address},
		edge.Move{RunID: s.facts.ID, To: vm.Address})
	if err != nil {
		ticket.Release(0)
		return h, err
	}
	h.location = edge.Copy{Address: source.Address, Handle: moved.Handle}
	s.addCopy(h)
	return h, nil
}

// beginCopy notes that a copy is being made. It returns false if the stream has
// ended or another copy is under way.
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

// addCopy keeps a complete copy, or frees it if the stream has ended.
func (s *stream) addCopy(h *runCopy) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.ended {
		s.g.background.Go(func() { s.discard(h) })
		return
	}
	if old := s.copies.moved; old != nil {
		old.ticket.Release(0)
	}
	s.copies.moved = h
}

// releaseCopies frees the copies that are not needed, since the stream has ended.
// The engine frees a backup itself when the run has ended well, and after its
// lifetime otherwise.
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
	if h := s.copies.moved; h != nil {
		s.copies.moved = nil
		s.g.background.Go(func() { s.discard(h) })
	}
}

// discard frees a copy that was moved and not used.
func (s *stream) discard(h *runCopy) {
	h.ticket.Release(0)
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	err := s.g.Engines.Discard(ctx, backend.Target{ID: h.vm.ID, Address: h.location.Address}, h.location.Handle)
	if err != nil {
		// The copy ends by itself after its lifetime.
		s.log.Info("copy_not_freed", zap.String("backend", h.vm.ID), telemetry.Error(err))
	}
}

// endsWithin reports whether the run is sure to end within a time, by the
// largest length of its output and the pace so far.
func (s *stream) endsWithin(d time.Duration) bool {
	made := s.eventCount.Load()
	if s.facts.MaxTokens <= 0 || made < 2 {
		return false
	}
	perEvent := (boottime.Now() - time.Duration(s.firstEventAt.Load())) / time.Duration(made-1)
	left := (s.facts.MaxTokens-s.tokens())/s.service.Engine.TokensPerEvent + 1
	return time.Duration(left)*perEvent*2 < d
}
