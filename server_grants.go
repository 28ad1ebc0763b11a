package vanillaarch

import (
	"context"
	"hash/maphash"
	"net/http"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/dispatch/grant"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// logSuspension returns a function that logs when an engine is suspended, that is, gets
// no runs for some time because runs on it failed, and when it is restored.
func logSuspension(log *zap.Logger) func(engine string, suspended bool) {
	return func(engine string, suspended bool) {
		event := "engine_restored"
		if suspended {
			event = "engine_suspended"
		}
		log.Warn(event, zap.String("backend", engine))
	}
}

// admission creates the grant manager, which obtains tickets from the dispatchers of
// the engine groups. The mesh must exist already.
func (s *Server) admission() dispatch.Admission {
	s.grants = grant.New(grant.Options{
		VM: s.cfg.VMID, Region: s.cfg.Region, Loop: s.loop, Transport: s.mesh.sessions, Breaker: s.engines.Breaker(), Log: s.log, Metrics: s.metrics,
		NewPolicy: func() dispatch.Policy {
			return dispatch.NewFair(dispatch.FairOptions{
				MaxEngineStreams: s.cfg.Dispatch.EngineStreams, OnSuspension: logSuspension(s.log),
				OnSpeed: logSpeed(s.log, s.metrics),
			})
		},
		Paused:      s.mesh.servers.Paused,
		BypassAfter: s.cfg.Dispatch.BypassAfter.Std(), QueueTimeout: s.cfg.Timeouts.Queue.Std(),
		LocalStreams: s.cfg.Dispatch.LocalStreams, GroupSize: s.cfg.Dispatch.GroupSize,
		Queued: s.cfg.Limits.Queued, QueuedPerOrganisation: s.cfg.Limits.QueuedPerOrganisation,
		Seed: maphash.String(maphash.MakeSeed(), s.cfg.VMID),
	})
	s.mesh.onSuspected = s.grants.Suspected
	s.mesh.onDispatch = func(from string, m *peerpb.Envelope) {
		if d := m.GetDispatch(); d != nil {
			s.grants.Receive(from, d)
		}
	}
	return s.grants
}

// grantTasks returns the background tasks of the grant manager.
func (s *Server) grantTasks() []func(context.Context) {
	return []func(context.Context){s.grants.Run, func(ctx context.Context) { s.grants.Poll(ctx, s.engines) }}
}

// serveQueues serves GET /queues.
func (s *Server) serveQueues(c echo.Context) error {
	q, err := s.grants.Queues(c.Request().Context())
	if err != nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, q)
}
