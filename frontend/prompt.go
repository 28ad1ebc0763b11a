package frontend

import (
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/quarantine"
)

// minSuccessTokens is the number of tokens from which a generation counts as having
// written. The first one may leave an engine that is about to crash.
const minSuccessTokens = 2

// newQuarantineRequest returns a request as package quarantine knows it. Its parts are the
// blocks of the prompt, each with all blocks before it.
func newQuarantineRequest(a dispatch.AdmissionRequest) *quarantine.Request {
	var parts []string
	for _, hash := range a.PrefixHashes {
		parts = append(parts, strconv.FormatUint(hash, 16))
	}
	return quarantine.NewRequest(uuid.NewString(), quarantine.Content{Pool: a.Model, Parts: parts})
}

// observeError records that the engine broke the connection of a generation without
// tokens.
func (r *relay) observeError(err error) {
	r.engineLost = r.engineLost || r.offset == 0 && r.c.ctx.Err() == nil && backend.ConnectionLost(err)
}

// reportPromptFailure reports a generation that ended without tokens when its engine
// broke the connection.
func (r *relay) reportPromptFailure(started time.Duration) {
	if r.engineLost && r.offset == 0 {
		r.f.Prompts.RunFailed(r.prompt, r.f.Snapshot().Backends[r.target.ID], started)
	}
}

// reportPromptSuccess reports once that a generation has written.
func (r *relay) reportPromptSuccess() {
	if r.prompt != nil && !r.succeeded {
		r.succeeded = true
		r.f.Prompts.RunSucceeded(r.prompt)
	}
}

// runGeneration runs stream and reports whether the engine crashed under it or wrote.
func (r *relay) runGeneration(stream func() error) error {
	started := boottime.Now()
	r.engineLost = false
	err := stream()
	if err != nil {
		r.reportPromptFailure(started)
		return err
	}
	r.reportPromptSuccess()
	return nil
}

// mayRepeat reports whether the request may be sent to another engine.
func (r *relay) mayRepeat() bool { return !r.engineLost || r.f.Prompts.MayRepeat(r.prompt) }
