package gateway

import (
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// connectedCopy is a copy with a connection to its engine on which nothing has been sent.
type connectedCopy struct {
	*runCopy
	conn *backend.Connection
	// started is the request that is to be sent.
	started serverstate.StartedRequest
	// backupAcquired is set if a backup was acquired for the run at the engine.
	backupAcquired bool
	// from is where the engine reads the memory of the run from.
	from edge.Copy
	// end is the end of the run at its previous engine, nil if there was none.
	end *runEnd
	// prepared is the connection over which that engine is asked to end the run. It is nil unless
	// the run leaves a sound engine.
	prepared *preparedEnd
}

// useFinal makes the run go on from the copy that its previous engine has made when it ended the
// run, if the engine has it: it lacks nothing, and the engine may have put it in the place of the
// earlier copy.
func (c *connectedCopy) useFinal(end *runEnd) {
	if end == nil {
		return
	}
	c.end = end
	if final := end.location(); final != nil {
		c.from = *final
	}
}

// takePrepared returns the prepared connection, once.
func (c *connectedCopy) takePrepared() *preparedEnd {
	p := c.prepared
	c.prepared = nil
	return p
}

// release gives up a copy whose request has failed.
func (c *connectedCopy) release() {
	c.conn.Close()
	c.takePrepared().close()
	c.ticket.Release(0)
}

// connectCopy takes the copies in turn and connects to the engine of the first one that
// can be reached. It returns nil if there is none. The connection is new: on a kept one,
// the engine may repeat an earlier refusal of the same request.
func (s *stream) connectCopy() *connectedCopy { return s.connectFirst(s.takeCopy) }

// connectMoved is connectCopy for a moved copy.
func (s *stream) connectMoved() *connectedCopy { return s.connectFirst(s.takeMoved) }

func (s *stream) connectFirst(take func() *runCopy) *connectedCopy {
	if s.checkQuarantine() != nil {
		return nil
	}
	for rc := take(); rc != nil; rc = take() {
		source, err := s.connectTo(rc)
		if err == nil {
			return source
		}
		s.recordCopy(rc, copyUnreachable, err)
		s.log.Info("copy_unreachable", zap.String("backend", rc.vm.ID), telemetry.Error(err))
		if s.ctx.Err() == nil && !unusable(err) && !isMismatch(err) {
			s.g.recordUnreachable(rc.vm, err)
		}
		rc.ticket.Release(0)
	}
	return nil
}

// connectTo connects to the engine with a copy. The error is a *backend.NotSentError.
func (s *stream) connectTo(rc *runCopy) (*connectedCopy, error) {
	if err := s.confirmStart(rc.vm); err != nil {
		return nil, &backend.NotSentError{Backend: rc.vm.ID, Cause: err}
	}
	p, err := s.acquireCopyPermit(rc.vm)
	if err != nil {
		return nil, err
	}
	conn, err := s.g.HTTPClient.Connect(s.ctx, backend.TargetOf(rc.vm))
	if err != nil {
		s.g.Permits.Return(p)
		return nil, err
	}
	// The request is sent unless the engine becomes unusable before the old connection is
	// closed.
	started, err := s.g.startRequest(rc.vm, p)
	if err != nil {
		s.g.Permits.Return(p)
		conn.Close()
		return nil, err
	}
	return &connectedCopy{runCopy: rc, conn: conn, started: started, from: rc.location}, nil
}
