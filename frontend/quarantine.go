package frontend

import (
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/quarantine"
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

// newAttempts reports the attempts of a call to a plain service.
func (f *Frontend) newAttempts(log *zap.Logger, content quarantine.Content) quarantine.Attempts {
	return quarantine.Attempts{Guard: f.Quarantine, Request: quarantine.NewRequest(uuid.NewString(), content), Log: log}
}
