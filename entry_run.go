package vanillaarch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Run serves requests until ctx is cancelled, or a task panics. It then drains: it reports not
// ready, asks callers to open other connections, and lets requests in progress continue for
// as long as the platform allows. It returns a *recovery.PanicError if a task has panicked.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	var background sync.WaitGroup
	tasks := append(append(e.follower.Tasks(), e.mesh.tasks()...), e.loop.Run, e.trackVMCount, e.closeIdleConnections, e.grants.Run,
		func(ctx context.Context) { e.gateway.WatchEngines(ctx, e.loop.Subscribe()) }, e.gateway.ProbeEngines,
		func(ctx context.Context) { e.gateway.MoveOutOfZones(ctx, e.loop.Subscribe()) },
		e.origins.Run, e.origins.RunRegistry,
		func(ctx context.Context) { e.mesh.quarantine.KeepArchive(ctx, e.opts.Store) })
	for _, task := range tasks {
		background.Go(func() { e.runTask(work, task, fail) })
	}
	// Before the first request, so that no line of one precedes it.
	e.log.Info("vm_started", zap.String("callers", e.opts.Deployment.Listen.Callers), zap.String("zone", e.opts.Deployment.Zone))
	servers := []*http.Server{e.callers, e.probes, e.admin}[:len(e.listeners)]
	for i, s := range servers {
		background.Go(func() { e.serve(s, e.listeners[i]) })
	}
	<-ctx.Done()
	interrupted := e.drain()
	for _, s := range servers {
		_ = s.Close()
	}
	stop()
	e.mesh.sessions.Close()
	e.waitForTasks(&background)
	e.httpClient.Close()
	counts := e.gateway.Counts()
	e.log.Info("vm_stopped", zap.Int("cut", interrupted), zap.Int64("accepted", counts.Accepted), zap.Int64("ended", counts.Ended))
	if panicked, ok := errors.Into[*recovery.PanicError](context.Cause(ctx)); ok {
		return panicked
	}
	return nil
}

// runTask runs a background task. Its state can't be trusted after a panic, so that the VM stops,
// but the requests that it has accepted end first.
func (e *Entry) runTask(ctx context.Context, task func(context.Context), fail context.CancelCauseFunc) {
	if panicked := recovery.Run(func() { task(ctx) }); panicked != nil {
		e.log.Error("task_panicked", telemetry.Error(panicked), zap.ByteString("stack", panicked.Stack))
		fail(panicked)
	}
}

// waitForTasks waits for the background tasks, but at most taskStopTimeout, since the
// platform kills a process that is still running after its grace period.
func (e *Entry) waitForTasks(background *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		background.Wait()
		e.gateway.Close()
	}()
	select {
	case <-done:
	case <-time.After(taskStopTimeout):
		e.log.Warn("tasks_not_ended", zap.Duration("limit", taskStopTimeout))
	}
}

func (e *Entry) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		e.log.Error("listener_failed", zap.String("address", l.Addr().String()), telemetry.Error(err))
	}
}

// drain waits until no request is in progress, but at least until the load balancer
// has stopped sending connections. It returns the number of requests that are still in
// progress at the end of the grace period and are interrupted.
func (e *Entry) drain() (interrupted int) {
	begin := time.Now()
	e.log.Info("drain_started", zap.Int("active", e.gateway.Active()))
	grace := e.bounds.Load().Grace - shutdownMargin
	e.gateway.BeginDrain(grace - answerMargin)
	limit := begin.Add(grace)
	notice := min(drainNotice, e.bounds.Load().Grace/2)
	e.callerListener.GiveNotice(listen.Notice{Period: notice, Until: limit.Add(-answerMargin)})
	time.Sleep(notice)
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := e.callerListener.DrainBacklog(min(settleTimeout, time.Until(limit)/2)); err != nil {
		e.log.Warn("listener_not_settled", telemetry.Error(err))
	}
	e.log.Info("listener_closed", zap.Int("active", e.gateway.Active()), zap.Duration("since_signal", time.Since(begin)))
	if err := e.callerListener.DrainConnections(ctx); err != nil {
		e.log.Warn("drain_incomplete", zap.Int("active", e.gateway.Active()),
			zap.Stringers("connections", e.callerListener.Open(maxLoggedConnections)), telemetry.Error(err))
	}
	e.log.Info("connections_drained", zap.Int("unannounced", e.callerListener.Unannounced()), zap.Duration("since_signal", time.Since(begin)))
	return e.gateway.WaitDrained(ctx)
}

// trackVMCount informs the gateway of the number of VMs that share the retry budget.
// Suspect VMs are included: a VM that is isolated from all others must not use up
// their shares.
func (e *Entry) trackVMCount(ctx context.Context) {
	changed := e.loop.Subscribe()
	for {
		e.gateway.SetVMs(e.loop.Snapshot().EntryVMCount())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// closeIdleConnections periodically closes connections to backend servers that have
// exceeded their idle time.
func (e *Entry) closeIdleConnections(ctx context.Context) {
	for wait.Sleep(ctx, sweepInterval) {
		e.httpClient.CloseExpired(time.Now())
	}
}
