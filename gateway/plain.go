package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/balance"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/hedge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Limits on the attempts of a request to a plain service.
const (
	// maxUnsentAttempts bounds the attempts that fail before anything is sent to the
	// addressed server.
	maxUnsentAttempts = 4
	// firstAttemptFraction is the fraction of the remaining time that bounds the
	// first attempt of a repeatable request, so that time is left for a retry.
	firstAttemptFraction = 0.4
	// maxIdleNonRepeatable is the maximum idle time of a connection that is reused
	// for a non-repeatable request. Such a request can't be retried if the server
	// closes the idle connection while the request is in transit.
	maxIdleNonRepeatable = 2 * time.Second
	// maxResponseBytes bounds a response that is buffered until it is complete.
	maxResponseBytes = 8 << 20
)

// plainResponse is the complete response of a plain service.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
	info   edge.ResponseInfo
}

// usable reports whether the response needs no retry.
func (a *plainResponse) usable() bool { return a.status < http.StatusInternalServerError }

// plain serves a request to a plain service. It retries on other servers as far as
// the route and the retry budget allow.
func (c *call) plain() error {
	ctx, cancel := c.context(c.route.Retryable())
	defer cancel()
	defer c.returnPermit()
	if err := c.checkQuarantine(); err != nil {
		return c.failure(err)
	}
	var (
		excluded       []string
		last           *plainResponse
		failure        error
		unsentAttempts int
	)
	for {
		vm, ok := c.pickServer(excluded)
		if !ok && !c.mayHaveRun && c.refusedWaiting != nil {
			failure = c.refusedWaiting
		}
		if !ok || c.checkStopping() != nil {
			break
		}
		if c.callerLeft() {
			c.g.services.finish(vm.ID, balance.Inconclusive)
			break
		}
		before := c.mayHaveRun
		result := c.attemptHedged(ctx, vm, excluded)
		answer, err := result.answer, result.err
		if unusable(err) && ctx.Err() == nil {
			continue // It announced that after it was chosen. The next choice takes it into account.
		}
		excluded = append(excluded, result.tried...)
		if err == nil && answer.info.NotRun {
			c.revertAttempt(before, answer.status)
		} else if err == nil {
			last = answer
			if answer.usable() {
				break
			}
		} else {
			failure = err
		}
		if isQuarantined(err) {
			break
		}
		_, notSent := errors.Into[*backend.NotSentError](err)
		if notSent || err == nil && c.fromOtherServer(answer.status) {
			if unsentAttempts++; unsentAttempts >= maxUnsentAttempts {
				break
			}
			continue
		}
		if !c.retryAllowed(ctx) || !c.attempts().MayRepeat(ctx, result.vm, err) || !c.takeRetry() {
			break
		}
	}
	return c.deliverPlain(last, failure)
}

// pickServer picks a server that is not excluded, and obtains a permit if it limits the rate
// of requests. If all others are paused or have no permit, it waits for the first one, if
// that is soon enough for the request.
func (c *call) pickServer(excluded []string) (vmlist.VM, bool) {
	var room roomWait
	for {
		// The snapshot is read again: servers may have joined or left meanwhile.
		vm, ok := c.g.services.pick(c.g.Snapshot(), c.service.Name, excluded, c.checkPlain)
		if ok && c.acquirePermit(vm) {
			return vm, true
		}
		if ok {
			c.g.services.finish(vm.ID, balance.Inconclusive)
			if c.mayWait() {
				continue // The denial counts in the next choice.
			}
			return vmlist.VM{}, false
		}
		if full := c.fullServer(excluded); full != nil {
			if c.awaitRoom(&room, full) {
				continue
			}
			return vmlist.VM{}, false
		}
		if limited := c.limitedServers(excluded); len(limited) > 0 {
			return c.awaitPermit(limited)
		}
		if !c.awaitServer(excluded) {
			return vmlist.VM{}, false
		}
	}
}

// deliverPlain sends the last response to the caller, or the problem if there is none.
func (c *call) deliverPlain(last *plainResponse, failure error) error {
	if last != nil {
		return c.deliver(last)
	}
	return c.failure(failure)
}

// retryAllowed reports whether the time, the route and the configuration allow to send the
// request to another server.
func (c *call) retryAllowed(ctx context.Context) bool {
	if ctx.Err() != nil || c.remaining() <= 0 || c.sends >= c.route.MaxAttempts {
		return false
	}
	if c.mayHaveRun && !c.route.Retryable() {
		return false
	}
	return c.checkConfirmed() == nil
}

// takeRetry takes a retry from the retry budget.
func (c *call) takeRetry() bool {
	if !c.g.budget.Take(c.service.Name, boottime.Now()) {
		c.log.Warn("retry_budget_exhausted", zap.String("service", c.service.Name))
		c.g.Metrics.budgetExhausted.Inc(1)
		return false
	}
	return true
}

// attemptPlain makes one attempt and reports its result to the balancer.
func (c *call) attemptPlain(ctx context.Context, vm vmlist.VM) (*plainResponse, error) {
	if c.route.Retryable() && c.sends == 0 && c.route.MaxAttempts > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(firstAttemptFraction*float64(c.remaining())))
		defer cancel()
	}
	started := boottime.Now()
	c.lastServer = vm
	answer, err := c.exchangePlain(ctx, vm)
	if err != nil {
		c.answerMemory().Release()
		c.logMemory(vm.ID, err)
	}
	result := c.plainResult(answer, err)
	if err != nil && hedge.Lost(ctx) {
		result = balance.Inconclusive // This VM ended the attempt.
	} else {
		c.attempts().Report(vm, started, c.hasRun(answer), err)
	}
	c.g.services.finish(vm.ID, result)
	c.recordResult(vm.ID, plainError(vm.ID, answer, err))
	fields := []zap.Field{
		zap.String("backend", vm.ID), zap.String("service", c.service.Name), zap.Int("send", c.sends),
		zap.Duration("elapsed", boottime.Now()-started), telemetry.Error(err),
	}
	if answer != nil {
		fields = append(fields, zap.Int("status", answer.status), zap.Bool("not_run", answer.info.NotRun))
	}
	c.recordWorkAfterCaller()
	c.log.Info("attempt_done", append(fields, c.sinceLeft()...)...)
	return answer, err
}

// plainError returns the error of an attempt, a *RefusedError if the server refused the
// request.
func plainError(server string, answer *plainResponse, err error) error {
	if err == nil && answer.info.NotRun {
		return &RefusedError{Backend: server, Status: answer.status}
	}
	return err
}

func (c *call) plainResult(answer *plainResponse, err error) balance.Result {
	switch {
	case err != nil && c.callerLeft(), unusable(err), isQuarantined(err), withoutMemory(err):
		return balance.Inconclusive
	case err != nil:
		return balance.Unreachable
	case c.fromOtherServer(answer.status):
		return balance.Unreachable
	case answer.status == http.StatusMisdirectedRequest:
		return balance.Inconclusive // The server has other weights than the caller expects.
	case answer.info.Notice.AsksForPause():
		return balance.Inconclusive // A pause is no failure.
	case answer.info.NotRun:
		return balance.Refused
	case !answer.usable():
		return balance.Failed
	default:
		return balance.Answered
	}
}

// priority returns the scheduling priority of the request. The organisation's
// priority overrides the route's.
func (c *call) priority() int {
	if c.organisation != nil && c.organisation.Priority != nil {
		return *c.organisation.Priority
	}
	return c.route.Priority
}

// deliver forwards a response to the caller. It returns a problem instead if the
// status says that the request did not run and the server did not confirm that.
func (c *call) deliver(a *plainResponse) error {
	if impliesNotRun(a.status) && !a.info.NotRun {
		return c.failure(&backend.RejectedError{Backend: c.service.Name, Status: a.status})
	}
	h := c.w.Header()
	for name, values := range c.g.Edge.ReturnHeader(a.header) {
		h[name] = values
	}
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.beginAnswer()
	c.status = a.status
	c.w.WriteHeader(a.status)
	c.limitWrite()
	if err := c.write(a.body); err != nil {
		return api.NewProblem(api.ProblemStreamInterrupted, http.StatusBadGateway, api.OutcomeFailed,
			"the answer could not be delivered").WithCause(err)
	}
	return nil
}
