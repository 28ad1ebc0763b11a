package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// minSuccessTokens is the number of tokens from which a generation counts as having
// written. The first one may leave an engine that is about to crash.
const minSuccessTokens = 2

// content returns what identifies a request that starts work.
func (c *call) content() quarantine.Content {
	return quarantine.Content{
		Method: c.Request().Method, Target: c.Request().RequestURI, Organisation: c.identity.Organisation, Body: c.body,
	}
}

// completionContent returns the content of a completion request. Its parts are the blocks of
// the prompt, each with all blocks before it.
func completionContent(c *call, a dispatch.AdmissionRequest) quarantine.Content {
	content := c.content()
	content.Pool = a.Model
	for _, hash := range a.PrefixHashes {
		content.Parts = append(content.Parts, strconv.FormatUint(hash, 16))
	}
	return content
}

// observeError records that the engine broke the connection of a generation without
// tokens.
func (r *relay) observeError(err error) {
	r.engineLost = r.engineLost || r.offset == 0 && r.c.ctx.Err() == nil && backend.ConnectionLost(err)
}

// reportRunFailure reports a generation that ended without tokens when its engine
// broke the connection.
func (r *relay) reportRunFailure(started time.Duration) {
	if r.engineLost && r.offset == 0 {
		r.f.Quarantine.RunFailed(r.identity, r.f.Snapshot().Backends[r.target.ID], started)
	}
}

// reportRunSuccess reports once that a generation has written.
func (r *relay) reportRunSuccess() {
	if r.identity != nil && !r.succeeded {
		r.succeeded = true
		r.f.Quarantine.RunSucceeded(r.identity)
	}
}

// runGeneration runs stream and reports whether the engine crashed under it or wrote.
func (r *relay) runGeneration(stream func() error) error {
	started := boottime.Now()
	r.engineLost = false
	err := stream()
	if err != nil {
		r.reportRunFailure(started)
		return err
	}
	r.reportRunSuccess()
	return nil
}

// mayRepeat reports whether the request may be sent to another engine.
func (r *relay) mayRepeat() bool { return !r.engineLost || r.f.Quarantine.MayRepeat(r.identity) }

// crashCheckTimeout bounds the connection by which a VM tells a server that has crashed from
// one that lost an answer. Zones are a few milliseconds apart.
const crashCheckTimeout = 100 * time.Millisecond

// serviceRun is what the quarantine learns of one call to a plain service.
type serviceRun struct {
	f        *Frontend
	log      *zap.Logger
	identity *quarantine.Request
}

func (f *Frontend) newServiceRun(log *zap.Logger, content quarantine.Content) *serviceRun {
	return &serviceRun{f: f, log: log, identity: quarantine.NewRequest(uuid.NewString(), content)}
}

// check returns a *quarantine.RefusedError if the call must not be sent.
func (s *serviceRun) check() error { return s.f.Quarantine.Check(s.identity) }

// report tells the quarantine what became of an attempt. Any complete answer but one that
// asks for a pause, and need not have run the call, shows that the server has survived it.
func (s *serviceRun) report(vm vmlist.VM, started time.Duration, response *backend.ServiceResponse, err error) {
	switch {
	case err == nil && !response.Paused:
		s.f.Quarantine.RunSucceeded(s.identity)
	case backend.ConnectionLost(err):
		s.log.Info("server_failed_run", zap.String("backend", vm.ID),
			zap.String("content", strconv.FormatUint(uint64(s.identity.Whole), 16)), zap.Error(err))
		s.f.Quarantine.RunFailed(s.identity, vm, started)
	}
}

// mayRepeatAfter reports whether the call may be sent to another server after an attempt that
// ended with err. A call that may have crashed its server is left to the caller. A server
// that lost an answer still accepts connections.
func (s *serviceRun) mayRepeatAfter(ctx context.Context, vm vmlist.VM, err error) bool {
	if !backend.ConnectionLost(err) {
		return true
	}
	if !s.f.Quarantine.MayRepeat(s.identity) {
		s.log.Info("repeat_withheld", zap.String("backend", vm.ID), zap.String("reason", "other crashes"))
		return false
	}
	if err := backend.CheckListening(ctx, backend.TargetOf(vm), crashCheckTimeout); err != nil {
		s.log.Info("repeat_withheld", zap.String("backend", vm.ID), zap.String("reason", "server gone"), zap.Error(err))
		return false
	}
	return true
}

// quarantineProblem returns the problem of a request that is in quarantine and has not run.
func quarantineProblem(refused *quarantine.RefusedError, err error) *api.Problem {
	kind, detail := api.ProblemPromptQuarantined, "requests with the same parts of the prompt have crashed engines"
	if refused.Request {
		kind, detail = api.ProblemRequestQuarantined, "the same request has crashed backend servers"
	}
	return notRunProblem(kind, http.StatusServiceUnavailable, detail, refused.RetryAfter, err)
}
