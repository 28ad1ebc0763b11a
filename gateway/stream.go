package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// maxStreamUnsent bounds engines that are tried before anything is sent.
const maxStreamUnsent = 6

// stream relays a series of events to a caller. Its methods run on the
// goroutine of the request, unless they say otherwise.
type stream struct {
	*call
	ctx context.Context
	// lastEvent is the id of the last event that the caller has, lastAt the time
	// of its arrival.
	lastEvent int64
	lastAt    time.Duration
	// begun says that the caller has received the head of the answer.
	begun    bool
	excluded []string
	unsent   int
	// made is the number of events of the answer, firstAt the time of the first one.
	made, firstAt atomic.Int64

	// copies is what is known of copies of the run's memory.
	copies copies
}

// errAnswered says that the engine's own failure was handed to the caller.
var errAnswered = errors.New("the engine's answer was delivered")

// errSwitch ends a leg whose run is to go on at the engine with its backup.
var errSwitch = errors.New("the run goes on at another engine")

// stream serves a request with a series of events.
func (c *call) stream() error {
	ctx, cancel := c.context(true)
	defer cancel()
	s := &stream{call: c, ctx: ctx}
	if c.facts.LastEvent != "" {
		n, err := strconv.ParseInt(c.facts.LastEvent, 10, 64)
		if err != nil || n < 0 {
			return api.NewProblem(api.ProblemInvalidRequest, http.StatusBadRequest, api.OutcomeNotRun,
				"the id of the last event is not a number").WithCause(err)
		}
		s.lastEvent = n
	}
	err := s.run()
	if errors.Is(err, errAnswered) {
		return nil
	}
	return err
}

// run relays legs until the stream is complete.
func (s *stream) run() error {
	defer s.endCopies()
	l, err := s.next(nil)
	for err == nil {
		err = s.relay(l)
		if errors.Is(err, errSwitch) {
			l, err = s.switchOver(l), nil
			continue
		}
		s.close(l, err)
		if err == nil {
			return nil
		}
		l, err = s.goOn(l, err)
	}
	return err
}

// next opens a leg for a request that starts anew, or goes on without a copy
// after a failure.
func (s *stream) next(cause error) (*leg, error) {
	for {
		if cause != nil && !s.mayGoOn(cause) {
			return nil, s.giveUp(cause)
		}
		ticket, vm, err := s.acquire()
		if err != nil {
			return nil, s.giveUp(err)
		}
		acquired := s.acquireBackup(vm)
		l, err := s.open(ticket, vm, nil)
		if err == nil || errors.Is(err, errAnswered) {
			return l, err
		}
		if acquired {
			s.dropBackup()
		}
		s.excluded = append(s.excluded, vm.ID)
		cause = err
	}
}

// goOn opens the leg after one that has ended early, from a copy of the run's
// memory if there is one.
func (s *stream) goOn(l *leg, cause error) (*leg, error) {
	if s.r.Context().Err() != nil {
		return nil, errAnswered
	}
	s.excluded = append(s.excluded, l.vm.ID)
	s.awaitCopy()
	for h := s.takeCopy(); h != nil; h = s.takeCopy() {
		next, err := s.openCopy(h)
		if err == nil {
			return next, nil
		}
		h.ticket.Release(0)
		cause = err
	}
	return s.next(cause)
}

// giveUp ends the request after the last attempt.
func (s *stream) giveUp(err error) error {
	if s.r.Context().Err() != nil {
		return errAnswered
	}
	if s.begun {
		s.log.Warn("stream_cut", zap.Int64("last_event", s.lastEvent), telemetry.Error(err))
		return errAborted
	}
	return s.failure(err)
}

// mayGoOn reports whether the stream may go on at another engine without a copy.
func (s *stream) mayGoOn(err error) bool {
	if _, notSent := errors.Into[*backend.NotSentError](err); (notSent || misdirected(err)) && !s.begun {
		// The named engine was not reached.
		s.unsent++
		return s.unsent < maxStreamUnsent && s.remaining() > 0
	}
	return s.mayTryAgain(s.ctx)
}

// tokens is the number of tokens that the caller has received.
func (s *stream) tokens() int {
	if s.service.Engine == nil {
		return 0
	}
	return int(s.made.Load()) * s.service.Engine.TokensPerEvent
}

func (s *stream) hasBegun() bool { return s.made.Load() > 0 }

// ask describes the request to the dispatcher of its engines.
func (s *stream) ask(excluded []string) dispatch.AdmissionRequest {
	ask := dispatch.AdmissionRequest{
		Organisation: route.Anonymous, Model: route.Pool(s.service.Name, s.facts.Model),
		PromptTokens: s.facts.PromptTokens + s.tokens(), MaxTokens: s.facts.MaxTokens, Excluded: excluded, Zone: s.g.Zone,
	}
	if ask.MaxTokens > 0 {
		ask.MaxTokens = max(ask.MaxTokens-s.tokens(), 1)
	}
	if s.facts.ExpectedTokens > 0 {
		ask.ExpectedTokens = max(s.facts.ExpectedTokens-s.tokens(), 1)
	}
	if s.organisation != nil {
		ask.Organisation = s.organisation.Name
	}
	return ask
}

// acquire obtains the right to run the request on an engine.
func (s *stream) acquire() (dispatch.Ticket, vmlist.VM, error) {
	begin := boottime.Now()
	defer func() { s.queued += boottime.Now() - begin }()
	return s.g.acquire(s.ctx, s.ask(s.excluded))
}

// acquire obtains a ticket of a live engine.
func (g *Gateway) acquire(ctx context.Context, ask dispatch.AdmissionRequest) (dispatch.Ticket, vmlist.VM, error) {
	ticket, err := g.Admission.Acquire(ctx, ask)
	if err != nil {
		return nil, vmlist.VM{}, err
	}
	vm, ok := g.Snapshot().Backends[ticket.Backend().ID]
	if !ok || vm.State != vmlist.StateLive {
		ticket.Release(0)
		return nil, vmlist.VM{}, &dispatch.NoBackendError{Model: ask.Model}
	}
	return ticket, vm, nil
}
