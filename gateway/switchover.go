package gateway

import (
	"context"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// requestSwitch asks the relay to continue the run from a moved copy, and waits for the
// result. It returns true if the run has left the engine, or if the context ends first.
// It runs on the goroutine of the evacuation.
func (s *stream) requestSwitch(ctx context.Context, engine string) bool {
	s.copies.mu.Lock()
	if s.copies.engine != engine {
		s.copies.mu.Unlock()
		return true
	}
	if s.copies.switchResult != nil || !s.hasMoved() {
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

// maxCatchUp bounds the time for which the events of the old engine are relayed once the
// engine with the copy is connected.
const maxCatchUp = 200 * time.Millisecond

// Limits on connections that the engine with a copy resets. An engine that has too many
// resets a new one only after its kernel has accepted it.
const (
	// settleTime is the time after which a new connection counts as sound. The run goes on
	// at its old engine meanwhile. Zones are a few milliseconds apart.
	settleTime = 20 * time.Millisecond
	// settlePollInterval is how often the old engine is checked for events meanwhile.
	settlePollInterval = 2 * time.Millisecond
	// maxReconnects is the number of further connections for one use of a copy.
	maxReconnects = 3
	// reconnectInterval is the time between them if the run has left its old engine.
	reconnectInterval = 30 * time.Millisecond
)

// awaitSettled waits until a time, or until the old engine has sent something.
func (s *stream) awaitSettled(seg *segment, until time.Duration) {
	for boottime.Now() < until && !seg.hasUnread() && wait.Sleep(s.ctx, settlePollInterval) {
	}
}

// stay ends a requested switchover: the run stays at its engine.
func (s *stream) stay() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.reportSwitch(false)
}

// returnCopy gives back a copy to which nothing was sent.
func (s *stream) returnCopy(source *connectedCopy) {
	if source.backupAcquired {
		s.dropBackup()
	}
	s.g.Servers.Table().Finish(source.started, false)
	source.conn.Close()
	source.takePrepared().close()
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	at := &s.copies.backup
	if source.isMoved() {
		at = &s.copies.moved
	}
	if *at != nil {
		source.ticket.Release(0)
		return
	}
	*at = source.runCopy
}

// reportSwitch sends the result of the requested switchover, if there is one. The caller
// holds s.copies.mu.
func (s *stream) reportSwitch(left bool) {
	if s.copies.switchResult != nil {
		s.copies.switchResult <- left
		s.copies.switchResult = nil
	}
}

// enterEngine records the engine of a segment that begins. The run is indexed last: an evacuation
// that found it in the index before it was on the engine would take it for one that has left.
func (s *stream) enterEngine(vm vmlist.VM) {
	s.copies.mu.Lock()
	s.copies.engine = vm.ID
	s.copies.mu.Unlock()
	s.g.runs.add(vm, s)
	if !s.g.isLive(vm) {
		s.g.runs.signalUnnoticed()
	}
}

// leaveEngine records the end of a segment. A requested switchover ends with it: on the
// next engine, it would take the run to a backup that has just begun.
func (s *stream) leaveEngine(vm vmlist.VM) {
	s.g.runs.remove(vm.ID, s)
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.engine = ""
	s.reportSwitch(true)
}

// isBetweenEngines reports whether no engine has the run.
func (s *stream) isBetweenEngines() bool {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	return s.copies.engine == ""
}

// isOn reports whether an engine has the current segment.
func (s *stream) isOn(vm vmlist.VM) bool {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	return s.copies.engine == vm.ID
}
