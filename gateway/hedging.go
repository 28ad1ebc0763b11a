package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/balance"
	"github.com/vanillaarch/vanillaarch/hedge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// attemptResults are the results of one attempt, or of two that were in progress at once.
type attemptResults struct {
	// vm is the server of the attempt that decides, answer or err its result.
	vm     vmlist.VM
	answer *plainResponse
	err    error
	// tried are the servers that were tried.
	tried []string
}

// attemptHedged makes an attempt at a server. If that has not answered after the usual time, the
// request is sent to a second server as well, as far as the route, the configuration and the
// retry budget allow it.
func (c *call) attemptHedged(ctx context.Context, vm vmlist.VM, excluded []string) attemptResults {
	c.g.askForLoad(c.service.Name, c.service.HealthPath)
	delay, ok := c.hedgeDelay(vm)
	if !ok {
		answer, err := c.attemptPlain(ctx, vm)
		return attemptResults{vm: vm, answer: answer, err: err, tried: []string{vm.ID}}
	}
	r := &hedgedRequest{call: c, before: c.mayHaveRun, firstVM: vm, excluded: append(slices.Clone(excluded), vm.ID), delay: delay}
	r.prepareSecond()
	started := boottime.Now()
	out := hedge.Race(ctx, delay, c.hedgeAttempt(vm), r.next)
	r.logOutcome(out, boottime.Now()-started)
	if r.answered(out) {
		c.g.hedges.Answered(c.route.Name, boottime.Now()-started)
	}
	return r.results(out)
}

// hedgeDelay returns the time after which the request is sent to a second server, and false if
// it is not. Only the first attempt is hedged, and only if its server reports its speed.
func (c *call) hedgeDelay(vm vmlist.VM) (time.Duration, bool) {
	if c.route.Kind != route.Idempotent || c.sends > 0 || c.route.MaxAttempts < 2 || !c.g.services.reportsSpeed(vm.ID) {
		return 0, false
	}
	delay, known := c.g.hedges.Request(c.route.Name, c.route.TargetLatency)
	if !known {
		delay = c.remaining() // The attempt is only measured.
	}
	return delay, true
}

// plainAttempt is the result of one attempt.
type plainAttempt struct {
	answer *plainResponse
	err    error
}

// notRun reports whether the server states that it has not run the request.
func (a plainAttempt) notRun() bool { return a.answer != nil && a.answer.info.NotRun }

// hedgeAttempt returns an attempt at a server, which turns a panic into an error.
func (c *call) hedgeAttempt(vm vmlist.VM) hedge.Attempt[plainAttempt] {
	return func(ctx context.Context) (out plainAttempt, answered bool) {
		if panicked := recovery.Call(func() error {
			out.answer, out.err = c.attemptPlain(ctx, vm)
			return nil
		}); panicked != nil {
			return plainAttempt{err: panicked}, false
		}
		return out, out.err == nil && !out.notRun() && out.answer.usable()
	}
}

// hedgedRequest is a request with up to two attempts in progress.
type hedgedRequest struct {
	call *call
	// before is mayHaveRun of the request before the first attempt.
	before  bool
	firstVM vmlist.VM
	// excluded are the servers that must not get the second attempt.
	excluded []string
	delay    time.Duration
	// second has the state of the second attempt, at secondVM.
	second   *call
	secondVM vmlist.VM
}

// prepareSecond sets second to a call that shares with the first one only what neither changes.
// It must be called before the first attempt begins.
func (r *hedgedRequest) prepareSecond() {
	c := r.call
	r.second = &call{
		g: c.g, w: c.w, r: c.r, log: c.log.With(zap.Bool("hedge", true)), info: c.info, snap: c.snap, route: c.route, service: c.service,
		organisation: c.organisation, regions: c.regions, body: c.body, arrived: c.arrived, deadline: c.deadline,
		addresses: slices.Clone(c.addresses), caller: c.caller, sends: c.sends + 1,
	}
	r.second.bodyLate.Store(c.bodyLate.Load())
}

// next returns the second attempt, nil if there must be none. A server that limits the rate of
// requests gets none, since that would take a permit from another request, and a request that may
// have crashed servers is not hedged.
func (r *hedgedRequest) next() hedge.Attempt[plainAttempt] {
	c := r.second
	if c.callerLeft() || c.checkStopping() != nil || c.remaining() <= 0 || c.checkConfirmed() != nil {
		return nil
	}
	// The first attempt changes its own identity. One that is let through to probe a rule is
	// not hedged, since the rule refuses the second attempt.
	c.identity = quarantine.NewRequest(c.info.ID, c.content())
	if !c.g.Quarantine.MayRepeat(c.identity) {
		return nil
	}
	vm, ok := c.g.services.pick(c.g.Snapshot(), c.service.Name, r.excluded, func(vm vmlist.VM) error {
		if c.g.Permits.Limited(vm) {
			return &permit.LimitedError{}
		}
		return c.checkPlain(vm)
	})
	if !ok {
		return nil
	}
	if !c.g.hedges.Take(c.route.Name) || !c.g.budget.Take(c.service.Name, boottime.Now()) {
		c.g.services.finish(vm.ID, balance.Inconclusive)
		c.g.Metrics.hedgesWithoutBudget.Inc(1)
		return nil
	}
	r.secondVM = vm
	c.g.Metrics.hedges.Inc(1)
	return c.hedgeAttempt(vm)
}

func (r *hedgedRequest) answered(out hedge.Outcome[plainAttempt]) bool {
	decides := out.First
	if out.SecondWon {
		decides = out.Second
	}
	return decides.err == nil && decides.answer.usable()
}

// logOutcome logs and counts a request that was sent to a second server.
func (r *hedgedRequest) logOutcome(out hedge.Outcome[plainAttempt], elapsed time.Duration) {
	if !out.Hedged {
		return
	}
	c := r.call
	c.hedged, c.hedgeWon = true, out.SecondWon
	if out.SecondWon {
		c.g.Metrics.hedgesWon.Inc(1)
	}
	c.log.Info("request_hedged", zap.String("backend", r.firstVM.ID), zap.String("second", r.secondVM.ID), zap.Bool("second_won", out.SecondWon),
		zap.Duration("delay", r.delay), zap.Duration("elapsed", elapsed))
}

// results adds the state of the second attempt to the request, and returns the results of both.
func (r *hedgedRequest) results(out hedge.Outcome[plainAttempt]) attemptResults {
	if out.Hedged {
		r.call.answers = append(r.call.answers, r.second.answers...) // Their memory is released also after a panic.
	}
	rethrow(out.First, out.Second)
	first := attemptResults{vm: r.firstVM, answer: out.First.answer, err: out.First.err, tried: []string{r.firstVM.ID}}
	if !out.Hedged {
		return first
	}
	if out.Second.notRun() {
		r.second.revertAttempt(false, out.Second.answer.status)
	}
	secondDecides := r.secondDecides(out)
	c, s := r.call, r.second
	if secondDecides {
		if out.First.notRun() {
			c.revertAttempt(r.before, out.First.answer.status)
		}
		c.lastServer, c.past, c.identity = r.secondVM, s.past, s.identity
	}
	c.sends += s.sends - 1
	c.mayHaveRun = c.mayHaveRun || s.mayHaveRun
	c.addresses = append(c.addresses, r.secondVM.Address)
	first.tried = append(first.tried, r.secondVM.ID)
	if secondDecides {
		return attemptResults{vm: r.secondVM, answer: out.Second.answer, err: out.Second.err, tried: first.tried}
	}
	return first
}

// secondDecides reports whether the result of the request is that of the second attempt: it was
// answered first, it may have run and the first has not, or only the second has an answer.
func (r *hedgedRequest) secondDecides(out hedge.Outcome[plainAttempt]) bool {
	if out.SecondWon || !r.second.mayHaveRun {
		return out.SecondWon
	}
	firstRan := r.call.mayHaveRun && !out.First.notRun()
	return !firstRan || out.First.err != nil && out.Second.err == nil
}

// rethrow panics if one of the attempts did.
func rethrow(attempts ...plainAttempt) {
	for _, a := range attempts {
		if panicked, ok := errors.Into[*recovery.PanicError](a.err); ok {
			panic(panicked)
		}
	}
}
