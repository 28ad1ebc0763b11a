package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/softwareversion"
	"github.com/vanillaarch/vanillaarch/streamorigin"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Origins tells at which software version streams began. It is a *streamorigin.Tracker.
type Origins interface {
	BeginIn(service, request string, o streamorigin.Origin, lifetime time.Duration) (*streamorigin.Record, error)
	ReplaceIn(service string, rec *streamorigin.Record, o streamorigin.Origin, lifetime time.Duration) error
	FindIn(ctx context.Context, service, request string, lifetime time.Duration) (streamorigin.Origin, error)
	Available() bool
}

const (
	// originStoreTime bounds the time for which the first event waits for the record of its stream.
	// Most records are stored while the engine still reads the prompt.
	originStoreTime = 80 * time.Millisecond
	// originFindTime bounds the search for the record of a stream that a caller takes up.
	originFindTime = time.Second
	// maxClockSkew is the difference between the clocks of VMs and servers that is allowed for.
	maxClockSkew = 5 * time.Second
)

// takeUpRefusal is why a stream that a caller takes up is refused.
type takeUpRefusal string

const (
	refusedUnknown      takeUpRefusal = "unknown"
	refusedUnavailable  takeUpRefusal = "unavailable"
	refusedNotInService takeUpRefusal = "not_in_service"
)

// mayRunAt returns nil if an engine may run the rest of the stream.
func (s *stream) mayRunAt(vm vmlist.VM) error {
	if err := s.mayReach(vm); err != nil {
		return err
	}
	return s.software.Check(vm)
}

// mayHoldCopyOf returns the rule for engines that may hold a copy of the run at source.
func (s *stream) mayHoldCopyOf(source vmlist.VM) engineRule {
	return func(vm vmlist.VM) error {
		if err := s.mayRunAt(vm); err != nil {
			return err
		}
		return softwareversion.CheckCopy(source, vm)
	}
}

// firstEventOrigin is where the first event of a stream came from.
type firstEventOrigin struct {
	// vm is the engine as it was listed, and at the time of the event.
	vm vmlist.VM
	at time.Time
}

// checkFirstEventOrigin returns a *softwareversion.UnknownError if the list says by now that the engine which made the
// first event may have been a later start, with another software version.
func (s *stream) checkFirstEventOrigin() error {
	first := s.firstEventOrigin.Load()
	if first == nil {
		return nil
	}
	now, listed := s.g.Snapshot().Backends[first.vm.ID]
	if listed && isOtherVersion(now, first.vm.Incarnation, first.vm.SoftwareVersion) && now.Incarnation <= first.at.Add(maxClockSkew).UnixMilli() {
		return &softwareversion.UnknownError{}
	}
	return nil
}

// checkVersion returns why an engine must not run the rest of the stream because of its software version.
func (s *stream) checkVersion(vm vmlist.VM) error {
	if err := s.software.Check(vm); err != nil {
		return err
	}
	return s.checkFirstEventOrigin()
}

// checkInService returns a *softwareversion.UnknownError or a *softwareversion.NotInServiceError if
// no engine may go on with the stream, however long it waits.
func (s *stream) checkInService() error {
	version, begun := s.software.Version()
	if !begun {
		return nil
	}
	if version == "" {
		return &softwareversion.UnknownError{}
	}
	if err := s.checkFirstEventOrigin(); err != nil {
		return err
	}
	for _, vm := range s.engines() {
		if vm.SoftwareVersion.Is(version) {
			return nil
		}
	}
	return &softwareversion.NotInServiceError{Version: version}
}

// resolveTakeUp binds a stream that the caller takes up to the software version that began it. It does
// nothing for a new stream, and returns a problem if the stream can't be taken up now.
func (s *stream) resolveTakeUp() error {
	if s.lastEvent == 0 {
		return nil
	}
	s.g.Metrics.countTakeUp("requests")
	origin, err := s.findOrigin()
	if err != nil {
		return s.refuseTakeUp(err)
	}
	s.software.Begin(origin.Version)
	if err := s.checkInService(); err != nil {
		return s.refuseTakeUp(err)
	}
	s.log.Info("stream_taken_up", zap.String("resumes", s.info.Resumes), zap.Int64("last_event", s.lastEvent),
		zap.String("software_version", string(origin.Version)), zap.String("began_at", origin.Server))
	return nil
}

// findOrigin returns where the stream that the caller takes up began.
func (s *stream) findOrigin() (streamorigin.Origin, error) {
	if s.info.Resumes == "" {
		return streamorigin.Origin{}, &softwareversion.UnknownError{}
	}
	ctx, cancel := context.WithTimeout(s.ctx, originFindTime)
	defer cancel()
	origin, err := s.g.Origins.FindIn(ctx, s.service.Name, s.info.Resumes, s.originLifetime())
	if err != nil {
		return origin, err
	}
	if now, listed := s.g.Snapshot().Backends[origin.Server]; listed && origin.Server != "" && isOtherVersion(now, origin.Incarnation, origin.Version) {
		// The stream may have begun after that start of the server, when the VM that took it did not
		// know it yet.
		return origin, &softwareversion.UnknownError{}
	}
	return origin, nil
}

// isOtherVersion reports whether a listed server is another start than the given one, with another
// software version.
func isOtherVersion(now vmlist.VM, incarnation int64, version vmlist.SoftwareVersion) bool {
	return now.Incarnation != incarnation && !now.SoftwareVersion.Is(version)
}

// refuseTakeUp returns the problem of a stream that can't be taken up now. It has not run.
func (s *stream) refuseTakeUp(err error) error {
	reason, detail := refusedUnknown, "the software version that began the stream is not known, and no other may go on with it"
	if _, unavailable := errors.Into[*streamorigin.UnavailableError](err); unavailable {
		reason, detail = refusedUnavailable, "the software version that began the stream can't be read at the moment"
	}
	if _, missing := errors.Into[*softwareversion.NotInServiceError](err); missing {
		reason, detail = refusedNotInService, "no backend server of the software version that began the stream is in service"
	}
	s.g.Metrics.countTakeUp("refused_" + string(reason))
	s.log.Info("take_up_refused", zap.String("resumes", s.info.Resumes), zap.Int64("last_event", s.lastEvent),
		zap.String("reason", string(reason)), telemetry.Error(err))
	return api.NewProblem(api.ProblemNoBackend, http.StatusServiceUnavailable, api.OutcomeNotRun, detail).
		WithRetryAfter(s.retryAfter()).WithCause(err)
}

// originRecord is what a stream knows of the record of where it began. Its methods are safe for
// concurrent use.
type originRecord struct {
	mu sync.Mutex
	// record is nil if there is none. unrecorded is where the stream is about to begin, or has begun,
	// without one, nil if it has not been sent or has a record.
	record     *streamorigin.Record
	unrecorded *streamorigin.Origin
	passed     bool
}

// recordOrigin begins to store where the stream is about to begin. A stream that callers can't take up
// needs no record, nor does one that they have taken up: they name its first request again. It returns
// a *streamorigin.NotStoredError if the stream must not begin there.
func (s *stream) recordOrigin(vm vmlist.VM) error {
	if _, begun := s.software.Version(); begun || !s.route.Resumable {
		return nil
	}
	origin := streamorigin.Origin{Version: vm.SoftwareVersion, Server: vm.ID, Incarnation: vm.Incarnation}
	s.origin.mu.Lock()
	defer s.origin.mu.Unlock()
	if s.origin.record != nil {
		return s.g.Origins.ReplaceIn(s.service.Name, s.origin.record, origin, s.originLifetime())
	}
	return s.beginOrigin(origin)
}

// originLifetime returns the time after which nobody takes the stream up any more.
func (s *stream) originLifetime() time.Duration { return s.route.Timeout + responseGrace }

// beginOrigin begins the record of an origin, unless it needs none. The caller holds s.origin.mu.
func (s *stream) beginOrigin(origin streamorigin.Origin) error {
	record, err := s.g.Origins.BeginIn(s.service.Name, s.info.ID, origin, s.originLifetime())
	if err != nil {
		return err
	}
	s.origin.record, s.origin.unrecorded = record, nil
	if record == nil {
		s.origin.unrecorded = &origin
	}
	return nil
}

// recordUnknown replaces what the record of the stream says: the version of its engine is not known.
func (s *stream) recordUnknown(vm vmlist.VM) error {
	origin := streamorigin.Origin{Server: vm.ID, Incarnation: vm.Incarnation}
	s.origin.mu.Lock()
	defer s.origin.mu.Unlock()
	switch {
	case s.origin.record != nil:
		s.origin.record.ReplaceByUnknown(origin)
		return nil
	case s.origin.unrecorded != nil:
		return s.beginOrigin(origin)
	}
	return nil
}

// RecordOrigins begins records for the streams of a service that have none, since it has several software
// versions now.
func (g *Gateway) RecordOrigins(service string) {
	for _, s := range g.runs.streams() {
		if s.service.Name == service {
			s.recordInProgress()
		}
	}
}

// recordInProgress begins the record of a stream that has been sent to an engine without one.
func (s *stream) recordInProgress() {
	s.origin.mu.Lock()
	defer s.origin.mu.Unlock()
	if s.origin.unrecorded == nil {
		return
	}
	if err := s.beginOrigin(*s.origin.unrecorded); err != nil {
		s.log.Info("origin_not_recorded", telemetry.Error(err))
	}
	if s.origin.record != nil && s.origin.passed {
		s.origin.record.FirstEventPassed()
	}
}

// endOrigin ends the attempts to store where the stream began.
func (s *stream) endOrigin() {
	s.origin.mu.Lock()
	defer s.origin.mu.Unlock()
	s.origin.unrecorded = nil
	if s.origin.record != nil {
		s.origin.record.End()
	}
}

// beginAt binds the stream to the software version of the engine that has made its first event, and waits
// until that is stored. An event that comes without its record is passed on all the same, unless
// the store may say then that the stream began at another version.
func (s *stream) beginAt(vm vmlist.VM) error {
	if _, begun := s.software.Version(); begun {
		return nil
	}
	version := vm.SoftwareVersion
	if now, listed := s.g.Snapshot().Backends[vm.ID]; listed && isOtherVersion(now, vm.Incarnation, version) {
		version = "" // It has started again since the request was sent, or before.
		if err := s.recordUnknown(vm); err != nil {
			return err
		}
	}
	s.firstEventOrigin.Store(&firstEventOrigin{vm, time.Now()})
	s.software.Begin(version)
	s.origin.mu.Lock()
	record := s.origin.record
	s.origin.passed = true
	s.origin.mu.Unlock()
	if record == nil {
		return nil
	}
	if s.g.Origins.Available() {
		s.awaitStored(record)
	}
	select {
	case <-record.Settled():
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	record.FirstEventPassed()
	return nil
}

// awaitStored waits a short time until the record of the stream is stored.
func (s *stream) awaitStored(record *streamorigin.Record) {
	limit := time.NewTimer(originStoreTime)
	defer limit.Stop()
	begin := boottime.Now()
	select {
	case <-record.Stored():
	case <-limit.C:
		s.log.Info("origin_not_stored", zap.Duration("waited", boottime.Now()-begin))
	case <-s.ctx.Done():
	}
}

// confirmStart returns a *softwareversion.MismatchError if an engine that is to go on with the stream
// has started again, maybe with another software version, since the VM list was read. A request names
// its engine by an id that may outlive a start, and a backup is sent to an address.
func (s *stream) confirmStart(vm vmlist.VM) error {
	version, begun := s.software.Version()
	if !begun || s.service.Engine == nil || s.g.isPaused(vm) {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	report, err := s.g.Engines.Report(ctx, backend.TargetOf(vm))
	if err != nil || report.Incarnation == 0 || report.Incarnation == vm.Incarnation {
		return nil
	}
	s.log.Info("engine_started_again", zap.String("backend", vm.ID), zap.Int64("listed", vm.Incarnation), zap.Int64("reported", report.Incarnation))
	return &softwareversion.MismatchError{Backend: vm.ID, Want: version}
}

// isMismatch reports whether a server has another software version than the one that must go on.
func isMismatch(err error) bool {
	_, ok := errors.Into[*softwareversion.MismatchError](err)
	return ok
}

// isVersionError reports whether no engine may go on with a stream because of its software version.
func isVersionError(err error) bool {
	_, unknown := errors.Into[*softwareversion.UnknownError](err)
	_, missing := errors.Into[*softwareversion.NotInServiceError](err)
	return unknown || missing
}
