package vanillaarch

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// OtherStartError reports that another start of a server answered than the listed one.
type OtherStartError struct {
	Backend   string
	Want, Got int64
}

func (e *OtherStartError) Error() string {
	return fmt.Sprintf("backend server %s: start %d answered, not %d", e.Backend, e.Got, e.Want)
}

// NoHealthPathError reports that the configuration has no health path for a server.
type NoHealthPathError struct{ Backend string }

func (e *NoHealthPathError) Error() string {
	return fmt.Sprintf("no service of backend server %s has a health path", e.Backend)
}

// askServer returns a function that asks backend servers whether they leave. The question
// counts against the limit that a server names.
func (e *Entry) askServer(client edge.EngineClient) tracker.AskFunc {
	return func(ctx context.Context, vm vmlist.VM) (backend.ServerNotice, error) {
		var p permit.Permit
		if e.mesh.permits.Limited(vm) {
			var err error
			if p, err = e.mesh.permits.Acquire(ctx, permit.Request{Servers: []vmlist.VM{vm}, Service: vm.ServiceName()}); err != nil {
				return backend.ServerNotice{}, err
			}
		}
		var sentAt time.Duration
		ctx, end := backend.WithBeforeSend(ctx, func() error {
			sentAt = boottime.Now()
			return e.mesh.permits.Start(vm, p)
		})
		defer end()
		notice, err := e.ask(ctx, client, vm)
		e.mesh.permits.Observe(permit.Answer{Server: tracker.ServerOf(vm), Call: "verification", SentAt: sentAt, Notice: notice})
		return notice, err
	}
}

// ask asks a backend server for its state. Engines are asked for a report, which needs no
// slot and tells their start.
func (e *Entry) ask(ctx context.Context, client edge.EngineClient, vm vmlist.VM) (backend.ServerNotice, error) {
	if vm.Role != vmlist.RoleEngine {
		path := healthPath(e.loop.Snapshot(), vm)
		if path == "" {
			return backend.ServerNotice{}, &NoHealthPathError{Backend: vm.ID}
		}
		report, err := client.Health(ctx, backend.TargetOf(vm), path)
		return report.Notice, err
	}
	report, err := client.Report(ctx, backend.TargetOf(vm))
	if err == nil && report.Incarnation != vm.Incarnation {
		err = &OtherStartError{Backend: vm.ID, Want: vm.Incarnation, Got: report.Incarnation}
	}
	return report.Notice, err
}

// healthPath returns the health path of a plain server, "" if it is unknown.
func healthPath(snap *control.Snapshot, vm vmlist.VM) string {
	if snap.Routes == nil {
		return ""
	}
	for _, name := range vm.Services {
		if s := snap.Routes.Service(name); s != nil && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return ""
}
