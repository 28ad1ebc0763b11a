package gateway

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// endedBy is who ended a request that has no whole answer.
type endedBy string

const (
	// endedByServer means that the backend server broke off, refused, or failed the request.
	endedByServer endedBy = "server"
	// endedBySwitchover means that this VM closed the connection to the engine so that the
	// run goes on from a copy, from which it could not go on.
	endedBySwitchover endedBy = "switchover"
	// endedByTimeLimit means that the time of the caller or of the route was up.
	endedByTimeLimit endedBy = "time_limit"
	// endedByStop means that this VM stops.
	endedByStop endedBy = "vm_stop"
	// endedByVM means that this VM rejected what the backend server sent, or that its handler
	// panicked.
	endedByVM endedBy = "vm"
	// endedByCaller means that the caller disconnected.
	endedByCaller endedBy = "caller"
	// endedByUnknown means that the error of a stream does not show who ended it.
	endedByUnknown endedBy = "unknown"
)

// whoEnded returns who ended a request of which the caller has got no part of an answer. ended is
// the error of its last attempt.
func (c *call) whoEnded(ended error) endedBy {
	left, stopping := c.g.drain.remaining()
	switch {
	case errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return endedByTimeLimit // http.Server ends the context of the request then, too.
	case c.callerLeft():
		return endedByCaller
	case stopping && left <= 0:
		return endedByStop
	case errors.Is(ended, errSwitchover):
		return endedBySwitchover
	case errors.Is(ended, context.DeadlineExceeded), c.remaining() <= 0:
		return endedByTimeLimit
	case rejectedHere(ended):
		return endedByVM
	default:
		return endedByServer
	}
}

// rejectedHere reports whether an error says that this VM does not accept what a backend
// server sent, or has failed itself.
func rejectedHere(err error) bool {
	_, order := errors.Into[*EventOrderError](err)
	_, id := errors.Into[*EventIDError](err)
	_, event := errors.Into[*EventTooLargeError](err)
	_, unsigned := errors.Into[*UnsignedError](err)
	_, memory := errors.Into[*membudget.ExceededError](err)
	_, evicted := errors.Into[*membudget.EvictedError](err)
	_, size := errors.Into[*backend.ResponseTooLargeError](err)
	_, panicked := errors.Into[*recovery.PanicError](err)
	return order || id || event || unsigned || memory || evicted || size || panicked
}

// serverState is what this VM believes of a backend server.
type serverState string

const (
	serverLive    serverState = "live"
	serverLeaving serverState = "leaving"
	serverPaused  serverState = "paused"
	// serverEvacuated means that the availability zone of the server is evacuated.
	serverEvacuated serverState = "evacuated"
	// serverUnlisted means that the server has no entry, serverRestarted that its entry is
	// that of another start.
	serverUnlisted  serverState = "unlisted"
	serverRestarted serverState = "restarted"
)

func (g *Gateway) stateOf(vm vmlist.VM) serverState {
	now, listed := g.Snapshot().Backends[vm.ID]
	switch {
	case !listed:
		return serverUnlisted
	case now.Incarnation != vm.Incarnation:
		return serverRestarted
	case now.State == vmlist.StateEvacuated:
		return serverEvacuated
	case !g.isLive(vm):
		return serverLeaving
	case g.isPaused(vm):
		return serverPaused
	default:
		return serverLive
	}
}

// version returns the version of the configuration of a snapshot, 0 if there is none.
func version(snap *control.Snapshot) int64 {
	if snap.Routes == nil {
		return 0
	}
	return snap.Routes.Version
}

// endFields returns the log fields of a request that ends without a whole answer.
func (c *call) endFields() []zap.Field {
	fields := []zap.Field{
		zap.String("ended_by", string(c.ended)), zap.Int64("version", version(c.snap)), zap.Int64("version_at_end", version(c.g.Snapshot())),
		zap.Int("sends", c.sends), zap.Bool("chunked", c.r.ContentLength < 0),
		zap.Duration("elapsed", c.elapsed()), zap.Duration("time_left", c.remaining()),
	}
	if c.lastServer.ID != "" {
		fields = append(fields, zap.String("backend", c.lastServer.ID), zap.String("backend_state", string(c.g.stateOf(c.lastServer))))
	}
	if c.run != nil {
		fields = append(fields, c.run.copyFields()...)
	}
	return fields
}

// copyState is what became of a copy of a run.
type copyState string

const (
	// copyNone means that no copy was asked for.
	copyNone copyState = ""
	// copyNotNeeded means that the run can start anew, or that too few tokens are expected.
	copyNotNeeded copyState = "not_needed"
	// copyUnsupported means that the engines of the service make no such copies.
	copyUnsupported copyState = "unsupported"
	// copyNotGranted means that no engine was granted for it.
	copyNotGranted copyState = "not_granted"
	// copyFailed means that the engine of the run did not copy it.
	copyFailed copyState = "not_copied"
	// copyHeld means that the copy was granted, or is complete, and was not used.
	copyHeld copyState = "held"
	// copyDropped means that this VM gave it up, since its engine is not live.
	copyDropped copyState = "dropped"
	// copyUnstarted means that the run for which it was granted did not start.
	copyUnstarted copyState = "not_started"
	// copyPassedOver means that its engine has asked for a pause.
	copyPassedOver copyState = "paused"
	// copyUnreachable means that its engine accepted no connection.
	copyUnreachable copyState = "unreachable"
	// copyRefused means that its engine stated that it does not run the request.
	copyRefused copyState = "refused"
	// copyLost means that the request was sent to its engine, and the result is not known.
	copyLost copyState = "unknown"
	// copyUsed means that the run went on from it.
	copyUsed copyState = "used"
)

// copyRecord is the last that became of the moved copies, or of the backups, of a run.
type copyRecord struct {
	state  copyState
	engine string
	err    error
}

// fields returns the log fields of a record under a name.
func (r copyRecord) fields(name string) []zap.Field {
	if r.state == copyNone {
		return []zap.Field{zap.String(name, "none")}
	}
	fields := []zap.Field{zap.String(name, string(r.state)), telemetry.NamedError(name+"_error", r.err)}
	if r.engine != "" {
		fields = append(fields, zap.String(name+"_engine", r.engine))
	}
	return fields
}

// recordBackup and recordMoved replace a record. The caller holds c.mu.
func (c *copies) recordBackup(state copyState, engine string, err error) {
	c.lastBackup = copyRecord{state, engine, err}
}

func (c *copies) recordMoved(state copyState, engine string, err error) {
	c.lastMoved = copyRecord{state, engine, err}
}

// record records what became of a copy. The caller holds c.mu.
func (c *copies) record(rc *runCopy, state copyState, err error) {
	if rc.isMoved() {
		c.recordMoved(state, rc.vm.ID, err)
		return
	}
	c.recordBackup(state, rc.vm.ID, err)
}

// recordCopy is copies.record for a caller that does not hold the lock.
func (s *stream) recordCopy(rc *runCopy, state copyState, err error) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.record(rc, state, err)
}

// copyFields returns the log fields that tell what became of the copies of the run.
func (s *stream) copyFields() []zap.Field {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	return append(s.copies.lastMoved.fields("moved"), s.copies.lastBackup.fields("backup")...)
}

// usedState returns what became of a copy to whose engine the request was sent.
func usedState(err error) copyState {
	if err == nil {
		return copyUsed
	}
	if _, refused := errors.Into[*RefusedError](err); refused {
		return copyRefused
	}
	if _, notSent := errors.Into[*backend.NotSentError](err); notSent {
		return copyUnreachable
	}
	return copyLost
}

// notGrantedReason is why no engine was granted for a backup.
type notGrantedReason string

const (
	// noOtherEngine means that no other live engine serves the model, noRoom that none of
	// them has memory to spare.
	noOtherEngine notGrantedReason = "no_other_engine"
	noRoom        notGrantedReason = "no_room"
	// noEngineOfVersion means that no other live engine has the software version of the run.
	noEngineOfVersion notGrantedReason = "no_engine_of_version"
	// notInTime means that there was no answer in time.
	notInTime notGrantedReason = "not_in_time"
)

// whyNotGranted tells the reasons of a dispatch error for a run at a given engine apart.
func (s *stream) whyNotGranted(ctx context.Context, primary vmlist.VM) notGrantedReason {
	if ctx.Err() != nil {
		return notInTime
	}
	reason := noOtherEngine
	for _, vm := range s.engines() {
		switch {
		case vm.ID == primary.ID:
		case s.mayHoldCopyOf(primary)(vm) == nil:
			return noRoom
		default:
			reason = noEngineOfVersion
		}
	}
	return reason
}

// backupNotGrantedError tells why a run has no backup.
type backupNotGrantedError struct{ reason notGrantedReason }

func (e *backupNotGrantedError) Error() string { return string(e.reason) }

// recordLostAnswer sets who ended a request that has run, or may have, and gets no whole
// answer of its backend server. It logs a warning, unless the caller has left. Streams
// that are cut after their first event are logged by stream.cut.
func (c *call) recordLostAnswer(p *api.Problem) {
	lost := p != nil && p.Outcome != api.OutcomeNotRun
	if !lost && !c.callerLeft() {
		return
	}
	var cause error
	if p != nil {
		cause = p.Cause
	}
	c.ended = c.whoEnded(cause)
	if c.ended == endedByCaller {
		return
	}
	fields := append(c.endFields(), zap.Int("status", c.status), zap.String("phase", string(c.currentPhase())))
	c.log.Warn("answer_lost", append(fields, telemetry.NamedError("write_error", c.writeErr), telemetry.Error(cause))...)
}
