package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/runend"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// maxLoggedAttempts is the number of attempts to end one run that are all logged. Of later ones
// those are whose outcome differs from the one before.
const maxLoggedAttempts = 8

// preparedEnd is what is needed to ask a sound engine to end a run, obtained before the run leaves
// it. Its methods do nothing on nil.
type preparedEnd struct {
	g      *Gateway
	engine vmlist.VM
	conn   *backend.Connection
	permit enginePermit
}

// prepareEnd obtains a permit and a connection for the call that ends the run at its engine. It
// returns a *backend.NotSentError if there is none, or if the engine wants no calls, and nil if the
// engine knows no such call.
func (s *stream) prepareEnd(engine vmlist.VM) (*preparedEnd, error) {
	if !s.mayAskToEnd() {
		return nil, nil
	}
	if err := s.g.checkEnd(engine); err != nil {
		return nil, &backend.NotSentError{Backend: engine.ID, Cause: err}
	}
	target := backend.TargetOf(engine)
	p, err := s.g.engineCalls.acquirePermit(s.ctx, target, true)
	if err != nil {
		return nil, err
	}
	conn, err := s.g.HTTPClient.Connect(s.ctx, target)
	if err != nil {
		p.giveBack()
		return nil, err
	}
	return &preparedEnd{g: s.g, engine: engine, conn: conn, permit: p}, nil
}

// checkEnd returns a *serverstate.PausedError if an engine must not be asked to end a run now.
func (g *Gateway) checkEnd(engine vmlist.VM) error {
	return g.Servers.Table().CheckEnd(boottime.Now(), tracker.ServerOf(engine))
}

// isUsable reports whether the call may still be made over the connection, or need not be made.
func (p *preparedEnd) isUsable() bool {
	return p == nil || p.conn.IsQuiet() && p.g.checkEnd(p.engine) == nil
}

// close gives up a call that is not made.
func (p *preparedEnd) close() {
	if p == nil {
		return
	}
	p.permit.giveBack()
	p.conn.Close()
}

// endCall is a call that ends a run.
type endCall struct {
	edge.MoveRequest
	permit enginePermit
	// onSend is called right before the call is sent.
	onSend func()
}

// endRun asks an engine to end a run and to copy its memory to another engine. It is the only call
// that is sent to an engine in a pause, as often as package serverstate allows.
func (e observedEngines) endRun(ctx context.Context, engine backend.Target, c endCall) (edge.MoveResult, error) {
	server := serverstate.Server{ID: engine.ID, Incarnation: engine.Incarnation}
	var sentAt time.Duration
	ctx, end := backend.WithBeforeSend(ctx, func() error {
		if err := e.servers.Table().CheckEnd(boottime.Now(), server); err != nil {
			return err
		}
		if err := c.permit.start(); err != nil {
			return err
		}
		sentAt = boottime.Now()
		if err := e.servers.Table().StartEnd(sentAt, server); err != nil {
			return err
		}
		c.onSend()
		return nil
	})
	defer end()
	moved, err := e.EngineClient.Move(ctx, engine, c.MoveRequest)
	e.observe(engine, "move", sentAt, moved.Notice)
	return moved, err
}

// attempt makes one attempt to end the run, and records its outcome.
func (r *runEnd) attempt(ctx context.Context, step runend.Step) {
	begin := boottime.Now()
	outcome, until, handle, copied := runend.Lost, time.Duration(0), "", false
	defer func() { // Also after a panic, or the end would never be settled.
		r.update(func(now time.Duration, e *runend.End) {
			r.inProgress--
			if handle != "" {
				r.handle, r.copied = handle, copied
			}
			e.Result(now, step.Attempt, outcome, until)
		})
	}()
	over, moved, err := r.ask(ctx, step)
	outcome, until = endOutcome(over, err)
	handle, copied = moved.Handle, err == nil
	if refused, ok := errors.Into[*edge.MoveError](err); ok {
		handle = refused.Handle // The run has stopped, although the other engine took no copy.
	}
	r.g.Metrics.countRunEnd("run_end_attempts", string(outcome))
	r.logAttempt(step, over, outcome, boottime.Now()-begin, err)
}

// ask makes the call of one attempt. It returns the kind of connection over which it was made, or
// was to be made.
func (r *runEnd) ask(ctx context.Context, step runend.Step) (runend.Connection, edge.MoveResult, error) {
	target := backend.TargetOf(r.engine)
	c := endCall{MoveRequest: edge.MoveRequest{RunID: r.runID, To: r.to, Final: true}}
	over := step.Connection
	if over == runend.Prepared {
		c.Connection, c.permit = r.prepared.conn, r.prepared.permit
	} else {
		var err error
		if c.permit, err = r.acquirePermit(ctx, step.Attempt); err != nil {
			return over, edge.MoveResult{}, err
		}
	}
	r.update(func(now time.Duration, e *runend.End) { e.Connecting(now, step.Attempt) })
	ctx, cancel := context.WithTimeout(ctx, step.Limit)
	defer cancel()
	if c.Connection == nil {
		var err error
		if c.Connection, over, err = r.connect(ctx, over); err != nil {
			c.permit.giveBack()
			return over, edge.MoveResult{}, err
		}
	}
	c.onSend = func() {
		r.update(func(now time.Duration, e *runend.End) { e.Sent(now, step.Attempt, over) })
	}
	moved, err := r.g.engineCalls.endRun(ctx, target, c)
	return over, moved, err
}

func (r *runEnd) acquirePermit(ctx context.Context, id runend.Attempt) (enginePermit, error) {
	target := backend.TargetOf(r.engine)
	if r.g.Permits.Limited(r.g.engineCalls.listedAs(target)) {
		r.update(func(_ time.Duration, e *runend.End) { e.AwaitsPermit(id) })
	}
	return r.g.engineCalls.acquirePermit(ctx, target, true)
}

// errNoIdleConnection means that there is no idle connection to the engine.
var errNoIdleConnection = errors.New("no idle connection")

// connect obtains a connection of a kind. It returns the kind that it got, or tried to get.
func (r *runEnd) connect(ctx context.Context, kind runend.Connection) (*backend.Connection, runend.Connection, error) {
	target := backend.TargetOf(r.engine)
	if kind != runend.New {
		if conn := r.g.HTTPClient.ConnectIdle(target); conn != nil {
			return conn, runend.Idle, nil
		}
	}
	if kind == runend.Idle {
		return nil, kind, &backend.NotSentError{Backend: r.engine.ID, Cause: errNoIdleConnection}
	}
	conn, err := r.g.HTTPClient.Connect(ctx, target)
	return conn, runend.New, err
}

// endOutcome returns what an attempt shows, and the end of the pause if the engine wants no calls.
func endOutcome(over runend.Connection, err error) (runend.Outcome, time.Duration) {
	if err == nil {
		return runend.Stopped, 0
	}
	if refused, ok := errors.Into[*edge.MoveError](err); ok {
		return refusedOutcome(refused), 0
	}
	if _, notSent := errors.Into[*backend.NotSentError](err); notSent {
		return unsentOutcome(over, err)
	}
	return runend.Lost, 0
}

// refusedOutcome returns what an answer other than a success shows. Any answer with a handle shows
// that the run has stopped.
func refusedOutcome(e *edge.MoveError) runend.Outcome {
	if e.Handle != "" {
		return runend.Stopped
	}
	switch e.Status {
	case http.StatusNotFound:
		return runend.NotFound
	case http.StatusConflict:
		return runend.InProgress
	case http.StatusMisdirectedRequest:
		return runend.OtherServer
	case http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return runend.Unsupported
	default:
		return runend.Refused
	}
}

// unsentOutcome returns what a call that was not sent shows.
func unsentOutcome(over runend.Connection, err error) (runend.Outcome, time.Duration) {
	if paused, ok := errors.Into[*serverstate.PausedError](err); ok {
		return runend.Paused, paused.Until
	}
	_, limited := errors.Into[*permit.LimitedError](err)
	switch {
	case limited:
		return runend.NotPermitted, 0
	case errors.Is(err, errNoIdleConnection):
		return runend.NoIdle, 0
	case errors.Is(err, syscall.ECONNREFUSED):
		return runend.PortClosed, 0
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		if over == runend.New {
			return runend.Lost, 0 // The engine accepts connections and resets them.
		}
		return runend.DeadConnection, 0
	default:
		return runend.NotConnected, 0
	}
}

// logAttempt logs an attempt. Of many with the same outcome only the first ones are.
func (r *runEnd) logAttempt(step runend.Step, over runend.Connection, outcome runend.Outcome, elapsed time.Duration, err error) {
	r.mu.Lock()
	repeated := step.Attempt > maxLoggedAttempts && outcome == r.lastLogged
	r.lastLogged = outcome
	r.mu.Unlock()
	if repeated || outcome == runend.NoIdle {
		return
	}
	r.log.Info("run_end_asked", zap.String("backend", r.engine.ID), zap.Int("attempt", int(step.Attempt)), zap.String("connection", string(over)),
		zap.String("outcome", string(outcome)), zap.Duration("elapsed", elapsed), telemetry.Error(err))
}
