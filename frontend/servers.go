package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Servers tells which backend servers may be used.
type Servers interface {
	// Check returns nil if a request may be sent to a server now, else a
	// *serverstate.LeavingError or a *serverstate.PausedError.
	Check(vmlist.VM) error
	Table() *serverstate.Table
}

// checkTarget returns a *backend.NotSentError if a server leaves or has asked for a pause.
// It is called right before something is sent: the server may have said so after it was
// chosen.
func (f *Frontend) checkTarget(t backend.Target) error {
	if err := f.Servers.Check(vmlist.VM{ID: t.ID, Incarnation: t.Incarnation}); err != nil {
		return &backend.NotSentError{Backend: t.ID, Cause: err}
	}
	return nil
}

// unlessPaused returns a context in which a request about a generation is sent only if its
// engine has not asked for a pause by the time at which the connection is open. The
// returned function must be called when the request has ended.
func (f *Frontend) unlessPaused(ctx context.Context, t backend.Target) (context.Context, func()) {
	return backend.WithBeforeSend(ctx, func() error {
		if err := f.checkTarget(t); !isLeaving(err) {
			return err
		}
		return nil
	})
}

// sending is a request that is about to be sent to a server.
type sending struct {
	f       *Frontend
	target  backend.Target
	started serverstate.StartedRequest
}

// begin must be called right before the request is sent. It returns a
// *backend.NotSentError if the server leaves, has asked for a pause, or gets few requests
// after one.
func (s *sending) begin() error {
	var err error
	s.started, err = s.f.Servers.Table().Start(boottime.Now(), serverstate.Server{ID: s.target.ID, Incarnation: s.target.Incarnation})
	if err != nil {
		return &backend.NotSentError{Backend: s.target.ID, Cause: err}
	}
	return nil
}

// finish must be called once the head of the answer has come or the attempt has failed.
// answered is set if the server took the request.
func (s *sending) finish(answered bool) { s.f.Servers.Table().Finish(s.started, answered) }

// isLeaving reports whether nothing was sent since the server leaves.
func isLeaving(err error) bool {
	_, leaving := errors.Into[*serverstate.LeavingError](err)
	return leaving
}

// isUnusable reports whether nothing was sent since the server leaves or has asked for a
// pause.
func isUnusable(err error) bool {
	_, paused := errors.Into[*serverstate.PausedError](err)
	return paused || isLeaving(err)
}

// noServiceBackend returns the problem of a call for which no backend server may be used.
func (f *Frontend) noServiceBackend(service string) *api.Problem {
	return notRunProblem(api.ProblemNoBackend, http.StatusServiceUnavailable, "no backend server is available",
		f.serviceRetryAfter(service), nil)
}

// serviceRetryAfter returns when a call may be sent again: if all servers of the service
// that do not leave have asked for a pause, not before the first of them may be used.
func (f *Frontend) serviceRetryAfter(service string) time.Duration {
	var first time.Duration
	for _, vm := range f.Snapshot().Services[service] {
		err := f.Servers.Check(vm)
		if err == nil {
			return retryAfterBackend
		}
		e, ok := errors.Into[*serverstate.PausedError](err)
		if ok && (first == 0 || e.Until < first) {
			first = e.Until
		}
	}
	return max(first-boottime.Now(), retryAfterBackend)
}

// pausedServiceError reports that a server answered a call by asking for a pause. The
// answer does not tell whether the call ran.
type pausedServiceError struct{ response *backend.ServiceResponse }

func (e *pausedServiceError) Error() string { return "the backend server has asked for a pause" }

// sendServiceResponse passes the response of a server on. One that asks for a pause tells
// when the call may be sent again.
func (f *Frontend) sendServiceResponse(c *call, service string, r *backend.ServiceResponse) error {
	if r.Paused {
		setRetryAfter(c.Response().Header(), f.serviceRetryAfter(service))
	}
	return c.Blob(r.Status, r.ContentType, r.Body)
}
