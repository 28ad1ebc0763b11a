package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/outstanding"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Servers tells which backend servers may be used. It is a *tracker.Tracker.
type Servers interface {
	Observe(tracker.Answer)
	Check(vmlist.VM) error
	Table() *serverstate.Table
}

// isPaused reports whether this VM must send a server nothing for now. A server that
// leaves still gets calls about the runs that it has.
func (g *Gateway) isPaused(vm vmlist.VM) bool {
	_, paused := errors.Into[*serverstate.PausedError](g.Servers.Check(vm))
	return paused
}

// pausedFor returns the time for which this VM must send a server nothing, 0 if it may.
func (g *Gateway) pausedFor(vm vmlist.VM) time.Duration {
	paused, ok := errors.Into[*serverstate.PausedError](g.Servers.Check(vm))
	if !ok {
		return 0
	}
	return max(paused.Until-boottime.Now(), 0)
}

// startRequest must be called right before a request is sent. It returns a
// *backend.NotSentError if the server leaves, has asked for a pause, is in an evacuated zone, or
// limits the rate of requests and the permit does not allow one.
func (g *Gateway) startRequest(vm vmlist.VM, p permit.Permit) (serverstate.StartedRequest, error) {
	if err := g.stopEvacuated(vm); err != nil {
		return serverstate.StartedRequest{}, &backend.NotSentError{Backend: vm.ID, Cause: err}
	}
	if err := g.Permits.Start(vm, p); err != nil {
		return serverstate.StartedRequest{}, &backend.NotSentError{Backend: vm.ID, Cause: err}
	}
	started, err := g.Servers.Table().Start(boottime.Now(), tracker.ServerOf(vm))
	if err != nil {
		return started, &backend.NotSentError{Backend: vm.ID, Cause: err}
	}
	return started, nil
}

// finishRequest records what the head of an answer announces about its server. answer is
// nil if there was none.
func (g *Gateway) finishRequest(started serverstate.StartedRequest, vm vmlist.VM, sentAt time.Duration, requestID string, answer *backend.HTTPResponse) {
	if answer == nil {
		g.Servers.Table().Finish(started, false)
		return
	}
	info := g.Edge.DecodeResponse(answer.Status, answer.Header)
	g.Servers.Observe(tracker.Answer{
		Server: tracker.ServerOf(vm), Call: "request", Request: requestID, Status: answer.Status, Notice: info.Notice, Slots: vm.Slots,
	})
	g.Permits.Observe(permit.Answer{
		Server: tracker.ServerOf(vm), Call: "request", Request: requestID, SentAt: sentAt, Notice: info.Notice,
	})
	g.Servers.Table().Finish(started, !info.NotRun)
}

// unusable reports whether a request was not sent since its server leaves, has asked for a
// pause, limits the rate of requests, has too many bytes of this VM, or is in an evacuated zone.
func unusable(err error) bool {
	_, leaving := errors.Into[*serverstate.LeavingError](err)
	_, paused := errors.Into[*serverstate.PausedError](err)
	_, limited := errors.Into[*permit.LimitedError](err)
	_, full := errors.Into[*outstanding.ExceededError](err)
	return leaving || paused || limited || full || isEvacuated(err)
}

// advise returns what is best for the request while the given servers are paused.
func (c *call) advise(servers []vmlist.VM) serverstate.Advice {
	lifetimes := make([]serverstate.Server, len(servers))
	for i, vm := range servers {
		lifetimes[i] = tracker.ServerOf(vm)
	}
	return c.g.Servers.Table().Advise(boottime.Now(), lifetimes, c.aim(), c.deadline)
}

// aim returns when the answer, or the first event of a stream, is due.
func (c *call) aim() time.Duration {
	if c.route.TargetLatency <= 0 {
		return c.deadline
	}
	return min(c.arrived+c.route.TargetLatency, c.deadline)
}

// awaitEngine waits until resumeAt, when the first engine may be used again, if that is
// soon enough for the stream. One that has begun may wait as long as its deadline allows.
func (s *stream) awaitEngine(ctx context.Context, resumeAt time.Duration) bool {
	aim := s.aim()
	if s.headSent {
		aim = s.deadline
	}
	now := boottime.Now()
	advice := serverstate.AdviseReturn(now, resumeAt, aim, s.deadline)
	return advice.Action == serverstate.Wait && wait.Sleep(ctx, advice.Until-now)
}

// awaitServer waits until one of the servers of the service that are not excluded may be
// used again, if that is soon enough for the request. The wait ends when the caller
// leaves, also for requests that go on without their caller once they are sent, and when
// the request would not end before the VM stops.
func (c *call) awaitServer(excluded []string) bool {
	var servers []vmlist.VM
	for _, vm := range c.serviceServers() {
		if !slices.Contains(excluded, vm.ID) {
			servers = append(servers, vm)
		}
	}
	if len(servers) == 0 {
		return false
	}
	advice := c.advise(servers)
	switch advice.Action {
	case serverstate.Wait:
		waiting, release := c.whileAllowed()
		defer release()
		return wait.Sleep(waiting, advice.Until-boottime.Now())
	case serverstate.Send:
		return !c.callerLeft()
	default:
		return false
	}
}

// retryAfter returns when the caller may send the request again: later than usual if all
// servers that could run it have asked for a pause, or limit the rate of requests.
func (c *call) retryAfter() time.Duration {
	delay := retryAfterDelay()
	if c.service == nil {
		return delay
	}
	if c.denied != nil {
		return max(c.denied.RetryAfter, minRetryAfter)
	}
	servers := c.serviceServers()
	if c.service.Engine != nil {
		servers = c.engines()
	}
	if advice := c.advise(servers); advice.Action != serverstate.Send {
		return max(advice.RetryAfter, advice.Until-boottime.Now()) + delay
	}
	return delay
}

// observedEngines passes what engines announce in the answers of their management API to
// Servers.
type observedEngines struct {
	edge.EngineClient
	servers  Servers
	permits  Permits
	snapshot func() *control.Snapshot
}

func (e observedEngines) observe(engine backend.Target, call string, sentAt time.Duration, notice backend.ServerNotice) {
	server := serverstate.Server{ID: engine.ID, Incarnation: engine.Incarnation}
	e.servers.Observe(tracker.Answer{Server: server, Call: call, Notice: notice})
	e.permits.Observe(permit.Answer{Server: server, Call: call, SentAt: sentAt, Notice: notice})
}

// engineCall is a call to an engine that is about to be made.
type engineCall struct {
	ctx context.Context
	end func()
	// sentAt is when the call was sent, on the clock of package boottime.
	sentAt time.Duration
}

// begin prepares a call to an engine, and obtains a permit if the engine limits the rate of
// requests. The call is sent only if the engine has not asked for a pause, and the permit is
// still valid, by the time at which the connection is open. urgent is set if a run depends
// on the call. mayCall is checked as well. end must be called when the call has ended.
func (e observedEngines) begin(ctx context.Context, engine backend.Target, urgent bool, mayCall func() error) (*engineCall, error) {
	permit, err := e.acquirePermit(ctx, engine, urgent)
	if err != nil {
		return nil, err
	}
	c := &engineCall{}
	c.ctx, c.end = backend.WithBeforeSend(ctx, func() error {
		paused, ok := errors.Into[*serverstate.PausedError](e.servers.Check(vmlist.VM{ID: engine.ID, Incarnation: engine.Incarnation}))
		if ok && !paused.Resuming {
			return paused
		}
		if err := mayCall(); err != nil {
			return err
		}
		if err := permit.start(); err != nil {
			return err
		}
		c.sentAt = boottime.Now()
		return nil
	})
	return c, nil
}

// checkTarget returns an *EvacuatedError if the engine at an address is in an evacuated zone.
func (e observedEngines) checkTarget(address string) error {
	snap := e.snapshot()
	for _, vm := range snap.Backends {
		if vm.Address == address {
			return checkZone(snap, vm)
		}
	}
	return nil
}

// checkReported returns an *EvacuatedError if an engine is in an evacuated zone, unless it leaves: the
// report then tells how long its runs can still be moved.
func (e observedEngines) checkReported(engine backend.Target) error {
	snap := e.snapshot()
	vm, listed := snap.Backends[engine.ID]
	if !listed || vm.State == vmlist.StateLeaving {
		return nil
	}
	return checkZone(snap, vm)
}

// Report implements edge.EngineClient. Permits that it could get are left to the moves of runs,
// which need them more. An answer of another start of the engine says
// nothing about the expected one.
func (e observedEngines) Report(ctx context.Context, engine backend.Target) (edge.EngineReport, error) {
	mayReport := func() error { return e.checkReported(engine) }
	c, err := e.begin(ctx, engine, false, mayReport)
	if err != nil {
		return edge.EngineReport{}, err
	}
	defer c.end()
	report, err := e.EngineClient.Report(c.ctx, engine)
	if report.Incarnation == 0 || report.Incarnation == engine.Incarnation {
		e.observe(engine, "report", c.sentAt, report.Notice)
	}
	return report, err
}

// Move implements edge.EngineClient. No copy of a run is placed in an evacuated zone. A final move
// ends a run whose next engine has been chosen.
func (e observedEngines) Move(ctx context.Context, engine backend.Target, m edge.MoveRequest) (edge.MoveResult, error) {
	if m.Final {
		p, err := e.acquirePermit(ctx, engine, true)
		if err != nil {
			return edge.MoveResult{}, err
		}
		return e.endRun(ctx, engine, endCall{MoveRequest: m, permit: p, onSend: func() {}})
	}
	mayMove := func() error { return e.checkTarget(m.To) }
	c, err := e.begin(ctx, engine, true, mayMove)
	if err != nil {
		return edge.MoveResult{}, err
	}
	defer c.end()
	moved, err := e.EngineClient.Move(c.ctx, engine, m)
	e.observe(engine, "move", c.sentAt, moved.Notice)
	return moved, err
}

// Discard implements edge.EngineClient. The engine frees the copy by itself if there is no
// permit for the call.
func (e observedEngines) Discard(ctx context.Context, engine backend.Target, handle string) (backend.ServerNotice, error) {
	c, err := e.begin(ctx, engine, false, func() error { return nil })
	if err != nil {
		return backend.ServerNotice{}, err
	}
	defer c.end()
	notice, err := e.EngineClient.Discard(c.ctx, engine, handle)
	e.observe(engine, "discard", c.sentAt, notice)
	return notice, err
}
