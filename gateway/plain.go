package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/balance"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Limits of attempts at plain services.
const (
	// maxUnsent bounds connections that fail before anything is sent.
	maxUnsent = 4
	// firstAttemptPart is the part of the remaining time that a repeatable
	// request spends on its first attempt.
	firstAttemptPart = 0.4
	// maxIdleOnce is the longest idle time of a connection that carries a
	// request which may run once: it cannot be sent again if it crosses the end
	// of the connection.
	maxIdleOnce = 2 * time.Second
	// answerBytes bounds an answer that is held in memory until it is complete.
	answerBytes = 8 << 20
)

// serviceLoad is a balancer that is safe for concurrent use.
type serviceLoad struct {
	mu       sync.Mutex
	balancer *balance.Balancer
	// seen is the VM list that the balancer was last cleaned for.
	seen *vmlist.List
}

func newServiceLoad(zone string) *serviceLoad {
	return &serviceLoad{balancer: balance.New(zone, uint64(time.Now().UnixNano()))}
}

// pick chooses a server and counts a request on it.
func (l *serviceLoad) pick(snap *control.Snapshot, service string, excluded []string) (vmlist.VM, bool) {
	vms := snap.Services[service]
	candidates := make([]balance.Server, len(vms))
	for i, vm := range vms {
		candidates[i] = balance.Server{ID: vm.ID, Zone: vm.Zone, Slots: vm.Slots}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen != snap.VMs {
		l.seen = snap.VMs
		l.balancer.Retain(func(id string) bool { _, ok := snap.Backends[id]; return ok })
	}
	now := boottime.Now()
	chosen, ok := l.balancer.Pick(now, candidates, excluded)
	if !ok {
		return vmlist.VM{}, false
	}
	l.balancer.Start(now, chosen.ID)
	return snap.Backends[chosen.ID], true
}

func (l *serviceLoad) report(id string, load *edge.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balancer.Report(boottime.Now(), id, load.Running+load.Waiting)
}

func (l *serviceLoad) finish(id string, o balance.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balancer.Finish(boottime.Now(), id, o)
}

// plainAnswer is the complete answer of a plain service.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
	facts  edge.AnswerFacts
}

// usable reports whether the answer is worth no further attempt.
func (a *plainAnswer) usable() bool { return a.status < http.StatusInternalServerError }

// plain serves a request with a single answer.
func (c *call) plain() error {
	ctx, cancel := c.context(c.route.MayRepeat())
	defer cancel()
	var (
		excluded []string
		last     *plainAnswer
		failure  error
		unsent   int
	)
	for {
		// Servers may have come or gone since the request arrived.
		vm, ok := c.g.services.pick(c.g.Snapshot(), c.service.Name, excluded)
		if !ok {
			break
		}
		excluded = append(excluded, vm.ID)
		before := c.mayHaveRun
		answer, err := c.attemptPlain(ctx, vm)
		if err == nil && answer.facts.NotRun {
			c.refusedUnrun(before, answer.status)
		} else if err == nil {
			last = answer
			if answer.usable() {
				break
			}
		} else {
			failure = err
		}
		_, notSent := errors.Into[*backend.NotSentError](err)
		if notSent || err == nil && answer.status == http.StatusMisdirectedRequest {
			if unsent++; unsent >= maxUnsent {
				break
			}
			continue
		}
		if !c.mayTryAgain(ctx) {
			break
		}
	}
	if last != nil {
		return c.deliver(last)
	}
	if c.r.Context().Err() != nil {
		return nil
	}
	return c.failure(failure)
}

// mayTryAgain reports whether the request may be sent to one more server.
func (c *call) mayTryAgain(ctx context.Context) bool {
	if ctx.Err() != nil || c.remaining() <= 0 || c.sends >= c.route.MaxAttempts {
		return false
	}
	if c.mayHaveRun && !c.route.MayRepeat() {
		return false
	}
	if err := c.checkConfirmed(); err != nil {
		return false
	}
	if !c.g.budget.Take(c.service.Name, boottime.Now()) {
		c.log.Warn("retry_budget_exhausted", zap.String("service", c.service.Name))
		c.g.Metrics.budgetExhausted.Inc(1)
		return false
	}
	return true
}

// attemptPlain sends the request to one server and reads the whole answer.
func (c *call) attemptPlain(ctx context.Context, vm vmlist.VM) (*plainAnswer, error) {
	if c.route.MayRepeat() && c.sends == 0 && c.route.MaxAttempts > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(firstAttemptPart*float64(c.remaining())))
		defer cancel()
	}
	started := boottime.Now()
	answer, err := c.exchangePlain(ctx, vm)
	o := c.plainOutcome(answer, err)
	c.g.services.finish(vm.ID, o)
	fields := []zap.Field{
		zap.String("backend", vm.ID), zap.String("service", c.service.Name), zap.Int("send", c.sends),
		zap.Duration("elapsed", boottime.Now()-started), telemetry.Error(err),
	}
	if answer != nil {
		fields = append(fields, zap.Int("status", answer.status), zap.Bool("not_run", answer.facts.NotRun))
	}
	c.log.Info("attempt_done", fields...)
	return answer, err
}

func (c *call) plainOutcome(answer *plainAnswer, err error) balance.Outcome {
	switch {
	case err != nil && c.r.Context().Err() != nil:
		return balance.Withdrawn
	case err != nil:
		return balance.Silent
	case answer.status == http.StatusMisdirectedRequest:
		return balance.Silent
	case answer.facts.NotRun:
		return balance.Refused
	case !answer.usable():
		return balance.Failed
	default:
		return balance.Answered
	}
}

func (c *call) exchangePlain(ctx context.Context, vm vmlist.VM) (*plainAnswer, error) {
	request := c.request(edge.Attempt{
		Server: vm, Remaining: c.remaining(), Organisation: c.organisationName(), Priority: c.priority(),
	})
	if c.route.Kind == route.AtMostOnce {
		request.MaxIdle = maxIdleOnce
	}
	if err := c.checkConfirmed(); err != nil {
		return nil, &backend.NotSentError{Backend: vm.ID, Cause: err}
	}
	answer, err := c.g.Exchanges.Do(ctx, backend.Target{ID: vm.ID, Address: vm.Address}, request)
	c.attempted(err)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	facts := c.g.Edge.Answer(answer.Status, answer.Header)
	c.g.services.report(vm.ID, facts.Load)
	body, err := c.hold.readAll(answer, answerBytes)
	if err != nil {
		return nil, err
	}
	if len(body) > answerBytes {
		return nil, &backend.ResponseTooLargeError{Backend: vm.ID, Limit: answerBytes}
	}
	if answer.Status < http.StatusMultipleChoices && !facts.Signed {
		return nil, &backend.UncertainError{Backend: vm.ID, Cause: &UnsignedError{Status: answer.Status}}
	}
	return &plainAnswer{status: answer.Status, header: answer.Header, body: body, facts: facts}, nil
}

// UnsignedError reports a success without the signature of its server.
type UnsignedError struct{ Status int }

func (e *UnsignedError) Error() string {
	return "answer with status " + strconv.Itoa(e.Status) + " has no signature"
}

// request returns the request of one attempt.
func (c *call) request(a edge.Attempt) *backend.HTTPRequest {
	h := c.g.Edge.Forward(c.r.Header)
	c.g.Edge.Attempt(h, a)
	return &backend.HTTPRequest{
		Method: c.r.Method, Target: c.target(), Host: c.r.Host, Header: h, Body: c.body,
		HasBody: c.r.ContentLength != 0 || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut,
		ID:      c.facts.ID,
	}
}

// priority returns the urgency of the request at an engine.
func (c *call) priority() int {
	if c.organisation != nil && c.organisation.Priority != nil {
		return *c.organisation.Priority
	}
	return c.route.Priority
}

// deliver hands an answer to the caller as the server gave it.
func (c *call) deliver(a *plainAnswer) error {
	if promisesNotRun(a.status) && !a.facts.NotRun {
		return c.failure(&backend.RejectedError{Backend: c.service.Name, Status: a.status})
	}
	h := c.w.Header()
	for name, values := range c.g.Edge.Return(a.header) {
		h[name] = values
	}
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.status = a.status
	c.w.WriteHeader(a.status)
	if _, err := c.w.Write(a.body); err != nil {
		return api.NewProblem(api.ProblemStreamInterrupted, http.StatusBadGateway, api.OutcomeFailed,
			"the answer could not be delivered").WithCause(err)
	}
	return nil
}
