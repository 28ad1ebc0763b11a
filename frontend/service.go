package frontend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/claim"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/caller"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// recordTimeout bounds the write of a result, which continues after the caller
// disconnected.
const recordTimeout = 5 * time.Second

// service calls a backend server of the service that the route names.
func (f *Frontend) service(c *call) error {
	route, ok := c.index.Route(c.Param("route"))
	if !ok {
		return api.NewProblem(api.ProblemUnknownRoute, http.StatusNotFound, api.OutcomeNotRun,
			"the bundle in force has no such route")
	}
	body, err := f.readBody(c)
	if err != nil {
		return err
	}
	c.body = body
	request := backend.Call{
		Path: route.Path, ContentType: c.Request().Header.Get("Content-Type"), Body: body,
		Organisation: c.identity.Organisation, IdempotencyKey: c.Request().Header.Get(api.HeaderIdempotencyKey),
	}
	if route.NonRepeatable {
		return f.callAtMostOnce(c, route, request)
	}
	return f.callRepeatable(c, route, request)
}

// callRepeatable calls one backend server after another until one responds without asking
// for a pause. It gives up after maxAttempts, after a response that is too large, at the
// timeout of the route, when the caller disconnects and when the retry budget is used up.
func (f *Frontend) callRepeatable(c *call, route bundle.Route, request backend.Call) error {
	f.budget.Attempt(c.identity.Organisation)
	ctx, cancel := context.WithTimeout(c.ctx, route.Timeout())
	defer cancel()
	quarantined := f.newAttempts(c.log, c.content())
	if err := quarantined.Guard.Check(quarantined.Request); err != nil {
		return failureProblem(err)
	}
	servers := f.serviceRotation(route)
	attempts := &callAttempts{log: c.log, quarantined: quarantined}
	var failure error
	for vm, ok := servers.next(ctx); ok; vm, ok = servers.next(ctx) {
		if failure != nil && !f.budget.Take(c.identity.Organisation) {
			failure = &retry.ExhaustedError{Organisation: c.identity.Organisation, Cause: failure}
			break
		}
		response, err := f.callBackend(ctx, vm, request, attempts)
		if err == nil && !response.Paused {
			return c.Blob(response.Status, response.ContentType, response.Body)
		}
		if err == nil {
			err = &pausedServiceError{response}
		}
		if isUnusable(err) && ctx.Err() == nil {
			servers.forget(vm)
			continue
		}
		failure = decisiveError(failure, err)
		if isQuarantined(err) || !quarantined.MayRepeat(ctx, vm, err) {
			break
		}
		if _, ok := errors.Into[*backend.ResponseTooLargeError](err); ok || ctx.Err() != nil {
			break
		}
	}
	if failure == nil {
		return f.noServiceBackend(route.Service)
	}
	if paused, ok := errors.Into[*pausedServiceError](failure); ok {
		return f.sendServiceResponse(c, route.Service, paused.response)
	}
	return failureProblem(failure)
}

// decisiveError returns which of two errors of one call determines its outcome. It is
// the later one, unless that proves that its attempt was not sent: the earlier
// attempt may have run.
func decisiveError(earlier, later error) error {
	if _, ok := errors.Into[*backend.NotSentError](later); ok && earlier != nil {
		return earlier
	}
	return later
}

// callAtMostOnce sends a non-repeatable call after creating a claim for it.
func (f *Frontend) callAtMostOnce(c *call, route bundle.Route, request backend.Call) error {
	servers := f.serviceRotation(route)
	vm, ok := servers.next(c.ctx)
	if !ok {
		return f.noServiceBackend(route.Service)
	}
	servers.forget(vm)
	ctx, span := f.Tracer.Start(c.ctx, "claim.begin")
	held, err := f.Claims.Begin(ctx, c.identity.Organisation, request.IdempotencyKey, fingerprint(route, request))
	span.End()
	if err != nil {
		return f.claimProblem(c, err)
	}
	// Once it is sent, the call continues when the caller disconnects, so that its result is
	// recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), route.Timeout())
	defer cancel()
	attempts := &callAttempts{log: c.log, nonRepeatable: true, quarantined: f.newAttempts(c.log, c.content())}
	response, err := f.callFirstReachable(ctx, c.ctx, servers, request, attempts)
	if err != nil {
		return f.atMostOnceProblem(held, route, err)
	}
	f.recordResult(ctx, c, held, response)
	return f.sendServiceResponse(c, route.Service, response)
}

// callFirstReachable tries the next backend server only if no byte of the call was
// sent to the previous one. Until one was sent, it ends when the caller disconnects.
func (f *Frontend) callFirstReachable(
	ctx, callerCtx context.Context, servers *serviceRotation, request backend.Call, attempts *callAttempts,
) (*backend.ServiceResponse, error) {
	var err error = &backend.NotSentError{Backend: servers.service, Cause: f.noServiceBackend(servers.service)}
	for vm, ok := servers.next(callerCtx); ok; vm, ok = servers.next(callerCtx) {
		var response *backend.ServiceResponse
		attempt, sent := caller.FollowUntilSent(ctx, callerCtx)
		request.BeforeSend = sent
		response, err = f.callBackend(attempt, vm, request, attempts)
		if _, ok := errors.Into[*backend.NotSentError](err); !ok {
			return response, err
		}
		if _, left := errors.Into[*caller.LeftError](err); left || callerCtx.Err() != nil || isQuarantined(err) {
			break
		}
		if isUnusable(err) && ctx.Err() == nil {
			servers.forget(vm)
		}
	}
	return nil, err
}

// atMostOnceProblem maps the error of a call under a claim. It abandons the claim if
// no byte was sent.
func (f *Frontend) atMostOnceProblem(held *claim.Claim, route bundle.Route, err error) error {
	if refused, ok := errors.Into[*quarantine.RefusedError](err); ok {
		held.Abandon()
		return refused.Problem()
	}
	if _, ok := errors.Into[*backend.NotSentError](err); ok {
		held.Abandon()
		return notRunProblem(api.ProblemBackendUnavailable, http.StatusServiceUnavailable,
			"no backend server could be reached", f.serviceRetryAfter(route.Service), err)
	}
	if _, ok := errors.Into[*backend.ResponseTooLargeError](err); ok {
		return failureProblem(err)
	}
	return api.NewProblem(api.ProblemOutcomeUnknown, http.StatusBadGateway, api.OutcomeUnknown,
		"the call was sent and its result is not known").WithCause(err)
}

func (f *Frontend) recordResult(ctx context.Context, c *call, held *claim.Claim, r *backend.ServiceResponse) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	ctx, span := f.Tracer.Start(ctx, "claim.complete")
	defer span.End()
	err := held.Complete(ctx, claim.Result{Status: r.Status, ContentType: r.ContentType, Body: r.Body})
	if err != nil {
		c.log.Warn("claim_result_not_recorded", zap.Error(err))
	}
}

// claimProblem maps the error of Claims.Begin. If an earlier attempt recorded its
// result, that result is sent as the response.
func (f *Frontend) claimProblem(c *call, err error) error {
	if exists, ok := errors.Into[*claim.ExistsError](err); ok {
		return f.replayResult(c, exists)
	}
	if _, ok := errors.Into[*claim.InvalidKeyError](err); ok {
		return api.NewProblem(api.ProblemIdempotencyKey, http.StatusBadRequest, api.OutcomeNotRun, err.Error())
	}
	if _, ok := errors.Into[*claim.ExpiredKeyError](err); ok {
		return api.NewProblem(api.ProblemIdempotencyExpired, http.StatusConflict, api.OutcomeUnknown, err.Error())
	}
	if _, ok := errors.Into[*claim.MismatchError](err); ok {
		return api.NewProblem(api.ProblemIdempotencyMismatch, http.StatusUnprocessableEntity, api.OutcomeNotRun, err.Error())
	}
	return notRunProblem(api.ProblemClaimUnavailable, http.StatusServiceUnavailable,
		"the claim could not be established", retryAfterBackend, err)
}

func (f *Frontend) replayResult(c *call, exists *claim.ExistsError) error {
	result := exists.Record.Result
	if exists.Record.State != claim.StateCompleted || result == nil || result.BodyDropped {
		return api.NewProblem(api.ProblemOutcomeUnknown, http.StatusConflict, api.OutcomeUnknown,
			"an earlier attempt holds the claim and its result is not known").WithCause(exists)
	}
	c.Response().Header().Set(api.HeaderReplayed, "true")
	return c.Blob(result.Status, result.ContentType, result.Body)
}

func (f *Frontend) callBackend(
	ctx context.Context, vm vmlist.VM, request backend.Call, attempts *callAttempts,
) (*backend.ServiceResponse, error) {
	ctx, span := f.Tracer.Start(ctx, "service.call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(telemetry.AttrBackend.String(vm.ID)))
	defer span.End()
	target := backend.TargetOf(vm)
	call := sending{f: f, target: target}
	isSent := request.BeforeSend
	request.BeforeSend = func() error {
		if isSent != nil {
			if err := isSent(); err != nil {
				return err
			}
		}
		if err := attempts.quarantined.Guard.Check(attempts.quarantined.Request); err != nil {
			return err
		}
		err := call.begin()
		if err == nil {
			attempts.logResend(vm.ID)
		}
		return err
	}
	started := boottime.Now()
	response, err := f.Services.Do(ctx, target, request)
	attempts.quarantined.Report(vm, started, err == nil && !response.Paused, err)
	attempts.record(vm.ID, err)
	call.finish(err == nil && !response.Paused)
	return response, err
}

// fingerprint identifies a request, so that a reused idempotency key is detected.
func fingerprint(route bundle.Route, request backend.Call) string {
	h := sha256.New()
	h.Write([]byte(route.Name + "\x00" + request.ContentType + "\x00"))
	h.Write(request.Body)
	return hex.EncodeToString(h.Sum(nil))
}
