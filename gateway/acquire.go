package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// admissionRequest builds the dispatcher's admission request for the rest of the
// stream: tokens already received count as prompt tokens. It is for no engine that is excluded or forbidden.
func (s *stream) admissionRequest(excluded, forbidden []string) dispatch.AdmissionRequest {
	request := dispatch.AdmissionRequest{
		Organisation: route.Anonymous, Model: s.poolName(),
		PromptTokens: s.info.PromptTokens + s.tokens(), MaxTokens: s.info.MaxTokens,
		Excluded: slices.Concat(excluded, forbidden), Zone: s.g.Zone,
	}
	if request.MaxTokens > 0 {
		request.MaxTokens = max(request.MaxTokens-s.tokens(), 1)
	}
	if s.info.ExpectedTokens > 0 {
		request.ExpectedTokens = max(s.info.ExpectedTokens-s.tokens(), 1)
	}
	if s.organisation != nil {
		request.Organisation = s.organisation.Name
	}
	request.EventGap = s.route.MaxEventGap
	return request
}

// runRequest builds the admission request for a run, which may wait in the dispatcher's queue.
func (s *stream) runRequest() dispatch.AdmissionRequest {
	request := s.admissionRequest(s.excluded, s.forbiddenEngines())
	request.Priority, request.Target, request.Deadline = s.priority(), s.firstEventDue(), dispatch.TimeLeft(s.remaining())
	if s.identity != nil {
		request.Identity = uint64(s.identity.Whole)
	}
	return request
}

// firstEventDue returns the time left until the first event is due, 0 if the route names no
// target. The target decides nothing once an engine may have run the request: a late answer
// is then worth more than none.
func (s *stream) firstEventDue() time.Duration {
	if s.route.TargetLatency <= 0 || s.headSent || s.mayHaveRun {
		return 0
	}
	return dispatch.TimeLeft(s.route.TargetLatency - s.elapsed())
}

// acquire obtains a ticket to run the request on an engine and records the time in the
// queue, including that for the end of a pause. It returns a *quarantine.RefusedError if a
// rule on the request is added meanwhile, and the error of checkStopping if a stream of
// which the caller has nothing would not end before the VM stops.
func (s *stream) acquire() (dispatch.Ticket, vmlist.VM, error) {
	begin := boottime.Now()
	defer func() { s.queued += boottime.Now() - begin }()
	waiting := s.ctx
	if !s.headSent {
		limited, release := s.whileFits(s.ctx)
		defer release()
		waiting = limited
	}
	ctx, cancel := s.untilRefused(waiting)
	defer cancel()
	ticket, vm, err := s.acquireUnpaused(ctx)
	if refused := refusedWhileWaiting(ctx); refused != nil && err != nil {
		return nil, vmlist.VM{}, refused
	}
	if stopping := s.checkStopping(); !s.headSent && err == nil && stopping != nil {
		ticket.Release(0)
		return nil, vmlist.VM{}, stopping
	}
	return ticket, vm, err
}

// acquireUnpaused obtains a ticket. While all engines are paused, it waits for the first
// one if that is soon enough for the request, and returns a *dispatch.PausedError if not.
func (s *stream) acquireUnpaused(ctx context.Context) (dispatch.Ticket, vmlist.VM, error) {
	for {
		if err := s.checkInService(); err != nil {
			return nil, vmlist.VM{}, err
		}
		ticket, vm, err := s.acquireEngine(ctx, s.runRequest(), s.mayRunAt)
		paused, ok := errors.Into[*dispatch.PausedError](err)
		if !ok || !s.awaitEngine(ctx, paused.ResumeAt) {
			return ticket, vm, err
		}
	}
}

// acquire obtains a ticket from the dispatcher. It returns a ticket that can't be used,
// since its engine is not live any more or has asked for a pause, and asks for another:
// the dispatcher does not know it yet.
func (g *Gateway) acquire(ctx context.Context, request dispatch.AdmissionRequest) (dispatch.Ticket, vmlist.VM, error) {
	for {
		ticket, err := g.Admission.Acquire(ctx, request)
		if err != nil {
			return nil, vmlist.VM{}, err
		}
		id := ticket.Backend().ID
		vm := g.Snapshot().Backends[id]
		isLive := g.isLive(vm)
		isPaused := isLive && g.isPaused(vm)
		if isLive && !isPaused {
			return ticket, vm, nil
		}
		ticket.Release(0)
		if ctx.Err() != nil {
			return nil, vmlist.VM{}, &dispatch.QueueTimeoutError{Model: request.Model}
		}
		// Admission itself avoids engines that have asked for a pause, until it ends.
		if !isPaused {
			request.Excluded = append(slices.Clone(request.Excluded), id)
		}
	}
}
