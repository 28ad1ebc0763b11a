package vanillaarch

import (
	"context"
	"hash/maphash"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/dispatch/grant"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// admission returns the grant protocol, which obtains tickets from the
// dispatchers of the groups of engines. The transport must be there.
func (s *Server) admission() dispatch.Admission {
	s.grants = grant.New(grant.Options{
		VM: s.cfg.VMID, Region: s.cfg.Region, Loop: s.loop, Transport: s.mesh.sessions, Breaker: s.engines.Breaker(), Log: s.log,
		NewCore: func() dispatch.Core {
			return dispatch.NewFair(dispatch.FairOptions{EngineStreams: s.cfg.Dispatch.EngineStreams})
		},
		BypassAfter: s.cfg.Dispatch.BypassAfter.Std(), QueueTimeout: s.cfg.Timeouts.Queue.Std(),
		LocalStreams: s.cfg.Dispatch.LocalStreams, GroupSize: s.cfg.Dispatch.GroupSize,
		Queued: s.cfg.Limits.Queued, QueuedPerOrganisation: s.cfg.Limits.QueuedPerOrganisation,
		Seed: maphash.String(maphash.MakeSeed(), s.cfg.VMID),
	})
	s.mesh.onDispatch = func(from string, m *peerpb.Envelope) {
		if d := m.GetDispatch(); d != nil {
			s.grants.Receive(from, d)
		}
	}
	return s.grants
}

// grantTasks are the background tasks of the grant protocol.
func (s *Server) grantTasks() []func(context.Context) {
	return []func(context.Context){s.grants.Run, func(ctx context.Context) { s.grants.Poll(ctx, s.engines) }}
}

// queues serves GET /queues.
func (s *Server) queues(c echo.Context) error {
	q, err := s.grants.Queues(c.Request().Context())
	if err != nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, q)
}
