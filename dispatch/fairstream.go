package dispatch

import (
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
)

const (
	// reestimateFactor and reestimateTokens determine when the remaining length of a
	// stream is estimated again: when its token count has grown by this factor plus
	// this number.
	reestimateFactor = 1.1
	reestimateTokens = 8
)

// stream is a granted request.
type stream struct {
	id           RequestID
	organisation string
	model        string
	promptTokens int
	maxTokens    int
	// expectedTokens is the caller's estimate, or 0 if there is none.
	expectedTokens int
	prefixHashes   []uint64
	// sharedBlocks is the number of prompt blocks that are accounted to other streams.
	sharedBlocks int
	// usesReserve marks a stream that was allowed to use the reserve because of its
	// wait.
	usesReserve bool
	// uncharged marks a copy, which no organisation is charged for. spare marks a copy
	// whose run continues on another engine.
	uncharged, spare bool
	engine           *engine
	usage            flowcontrol.Usage
	// relativeTime is that of the engine when usage was projected.
	relativeTime float64
	// eventGap is the longest event gap that the route allows, or 0.
	eventGap time.Duration
	tokens   int
	tokensAt time.Time
	// prefilledTokens is that of the engine at tokensAt.
	prefilledTokens int
	// nextEstimate is the token count at which the remaining length is estimated
	// again.
	nextEstimate int
	// pendingPrefillTokens is this stream's part of the engine's pendingPrefillTokens.
	pendingPrefillTokens int
	// incomingCopyTokens is this copy's part of the engine's incomingCopyTokens.
	incomingCopyTokens int
	// prefillTokensAtGrant is the number of prompt tokens that the engine had to
	// process at grantedAt, including those of this stream.
	prefillTokensAtGrant int
	grantedAt            time.Time
	// chargedTokens is what the organisation has been charged for this stream, and
	// estimatedTokens what it has been charged in addition for the expected length.
	chargedTokens, estimatedTokens float64
}

// projectUsage projects a stream's memory use at the configured quantile of the
// remaining length. Shared blocks of its prompt are not counted.
func (f *fairPolicy) projectUsage(a *AdmissionRequest, tokens, shared, blockTokens int) flowcontrol.Usage {
	remaining := f.remainingTokens(a, tokens)
	if a.MaxTokens > 0 {
		remaining = max(1, min(remaining, float64(a.MaxTokens-tokens)))
	}
	own := max(a.PromptTokens-shared*blockTokens, 0) + tokens
	// On average, rounding up to whole blocks wastes half a block.
	return flowcontrol.Usage{Current: float64(own) + float64(blockTokens)/2, Remaining: remaining}
}

// hintReferenceTokens is the length to which outputs with an estimate from the caller
// are normalised. The ratio of actual to estimated length has the same distribution
// for all kinds of requests.
const hintReferenceTokens = 256

// hintedSuffix is appended to a model's name to keep a separate histogram for requests
// with an estimate.
const hintedSuffix = "/hinted"

// remainingTokens estimates how many more tokens a stream will produce.
func (f *fairPolicy) remainingTokens(a *AdmissionRequest, tokens int) float64 {
	if a.ExpectedTokens <= 0 {
		return f.lengths.RemainingTokens(a.Organisation, a.Model, tokens, f.tuning.lengthQuantile)
	}
	return f.hintedTokens(a, tokens, f.tuning.lengthQuantile)
}

// hintedTokens returns the number of further tokens that a stream with an estimate from the
// caller does not exceed with probability q.
func (f *fairPolicy) hintedTokens(a *AdmissionRequest, tokens int, q float64) float64 {
	scale := hintReferenceTokens / float64(a.ExpectedTokens)
	return f.lengths.RemainingTokens(a.Organisation, a.Model+hintedSuffix, int(float64(tokens)*scale), q) / scale
}

// recordLength records the output length of a finished stream.
func (f *fairPolicy) recordLength(s *stream, tokens int) {
	if s.expectedTokens <= 0 {
		f.lengths.Observe(s.organisation, s.model, tokens)
		return
	}
	f.lengths.Observe(s.organisation, s.model+hintedSuffix, max(tokens*hintReferenceTokens/s.expectedTokens, 1))
}

// startStream adds a granted request to its engine.
func (f *fairPolicy) startStream(now time.Time, id RequestID, a *AdmissionRequest, e *engine, tokens int) *stream {
	shared := e.sharedBlocks.Add(a.PrefixHashes)
	s := &stream{
		id: id, organisation: a.Organisation, model: a.Model, promptTokens: a.PromptTokens, maxTokens: a.MaxTokens,
		expectedTokens: a.ExpectedTokens,
		prefixHashes:   a.PrefixHashes, sharedBlocks: shared,
		engine: e, usage: f.projectUsage(a, tokens, shared, e.blockTokens), tokens: tokens,
	}
	s.nextEstimate = nextEstimateAfter(tokens)
	s.spare, s.uncharged = a.isBackup(), a.Spare || a.Resumed
	s.relativeTime = e.relativeTime
	if !s.spare {
		s.eventGap = a.EventGap
	}
	e.eventGaps.change(s.eventGap, 1)
	e.streams = append(e.streams, s)
	f.streams[id] = s
	f.addUsage(s)
	f.updateCapacity(now, e)
	return s
}

// poolMemory returns the pool-wide projection that a stream is counted in.
func (f *fairPolicy) poolMemory(s *stream) *flowcontrol.MemoryProjection {
	if s.spare {
		return &f.spareMemory
	}
	return &f.runMemory
}

// addUsage adds the memory of a stream to its engine, to the pool and to its
// organisation.
func (f *fairPolicy) addUsage(s *stream) {
	s.engine.memory.Add(s.usage)
	f.poolMemory(s).Add(poolUsage(s))
	s.engine.usedTokens += s.usage.Current
	if !s.uncharged {
		f.addHeldTokens(s.organisation, s.usage.Current)
	}
}

// removeUsage reverts addUsage.
func (f *fairPolicy) removeUsage(s *stream) {
	s.engine.memory.Remove(s.usage)
	f.poolMemory(s).Remove(poolUsage(s))
	s.engine.usedTokens -= s.usage.Current
	if s.engine.memory.Streams() == 0 {
		s.engine.usedTokens = 0 // clears accumulated rounding errors
	}
	if !s.uncharged {
		f.addHeldTokens(s.organisation, -s.usage.Current)
	}
}

func nextEstimateAfter(tokens int) int {
	return int(float64(tokens)*reestimateFactor) + reestimateTokens
}

// charge charges an organisation for tokens of a stream.
func (f *fairPolicy) charge(s *stream, tokens float64) {
	s.chargedTokens += tokens
	f.queue.Charge(s.organisation, tokens)
}

// chargeExpected charges an organisation for the expected length of a stream.
func (f *fairPolicy) chargeExpected(s *stream, tokens float64) {
	s.estimatedTokens = tokens
	f.queue.ChargeEstimate(s.organisation, tokens)
}

// expectedTokens returns the output length that a request is charged for when it is
// granted.
func (f *fairPolicy) expectedTokens(a *AdmissionRequest) float64 {
	n := f.remainingTokens(a, 0)
	if a.MaxTokens > 0 {
		n = min(n, float64(a.MaxTokens))
	}
	return n
}

// startPrefill adds the prompt of a stream to the engine's pending prefill.
func (s *stream) startPrefill(now time.Time, tokens int) {
	s.pendingPrefillTokens = tokens
	s.engine.pendingPrefillTokens += tokens
	s.prefillTokensAtGrant, s.grantedAt = s.engine.pendingPrefillTokens, now
}

// finishPrefill removes the prompt of a stream from the engine's pending prefill.
func (s *stream) finishPrefill() {
	s.engine.pendingPrefillTokens -= s.pendingPrefillTokens
	s.pendingPrefillTokens = 0
}

// startCopy records that a copy is being transferred to the engine.
func (s *stream) startCopy(tokens int) {
	s.incomingCopyTokens = tokens
	s.engine.incomingCopyTokens += tokens
}

// finishCopy records that the transfer is complete or no longer needed.
func (s *stream) finishCopy() {
	s.engine.incomingCopyTokens -= s.incomingCopyTokens
	s.incomingCopyTokens = 0
}

// Progress implements Policy.
func (f *fairPolicy) Progress(now time.Time, id RequestID, tokens int) {
	s := f.streams[id]
	if s == nil || tokens <= s.tokens {
		return
	}
	f.recordActivity(now)
	if s.pendingPrefillTokens > 0 {
		f.prefillTimes.Observe(&s.engine.prefillTime, s.prefillTokensAtGrant, now.Sub(s.grantedAt))
	}
	if s.pendingPrefillTokens > 0 {
		f.observeFirstToken(now, s)
	}
	s.engine.prefilledTokens += s.pendingPrefillTokens
	s.finishPrefill()
	s.finishCopy()
	// A copy's tokens come from a run on another engine or one that started there,
	// so they do not show that this engine serves runs.
	if s.tokens == 0 && !s.uncharged && f.outliers.RecordSuccess(s.engine.id) {
		f.opts.OnSuspension(s.engine.id, false)
	}
	added := tokens - s.tokens
	if s.tokens == 0 && s.eventGap > 0 && !s.uncharged {
		f.eventTokens.observe(added)
	}
	f.observeSpeed(now, s, added)
	s.tokens, s.tokensAt, s.prefilledTokens = tokens, now, s.engine.prefilledTokens
	f.growUsage(now, s, added)
}

// growUsage updates the memory of a stream that has produced more tokens.
func (f *fairPolicy) growUsage(now time.Time, s *stream, added int) {
	usage := flowcontrol.Usage{
		Current:   s.usage.Current + float64(added),
		Remaining: max(1, s.usage.Remaining-float64(added)),
	}
	if s.tokens >= s.nextEstimate {
		s.nextEstimate = nextEstimateAfter(s.tokens)
		request := AdmissionRequest{Organisation: s.organisation, Model: s.model, PromptTokens: s.promptTokens, MaxTokens: s.maxTokens, ExpectedTokens: s.expectedTokens}
		usage = f.projectUsage(&request, s.tokens, s.sharedBlocks, s.engine.blockTokens)
	}
	f.replaceUsage(now, s, usage)
}

func (f *fairPolicy) replaceUsage(now time.Time, s *stream, usage flowcontrol.Usage) {
	f.removeUsage(s)
	s.usage, s.relativeTime = usage, s.engine.relativeTime
	f.addUsage(s)
	f.updateCapacity(now, s.engine)
}

// Preempted implements Policy.
func (f *fairPolicy) Preempted(now time.Time, id RequestID) {
	s := f.streams[id]
	if s == nil {
		return
	}
	s.tokensAt = time.Time{} // the pause must not count as a gap between tokens
	s.engine.shrinkWindow(now)
	f.updateCapacity(now, s.engine)
}

// Failed implements Policy.
func (f *fairPolicy) Failed(now time.Time, id RequestID) {
	s := f.streams[id]
	if s == nil || s.tokens > 0 {
		return
	}
	if f.outliers.RecordFailure(now, s.engine.id, id.VM, f.capacity.Len()) {
		f.opts.OnSuspension(s.engine.id, true)
	}
	f.updateCapacity(now, s.engine)
}

// Finish implements Policy.
func (f *fairPolicy) Finish(now time.Time, id RequestID, tokens int) {
	s := f.streams[id]
	if s == nil {
		return
	}
	tokens = max(tokens, s.tokens)
	if !s.uncharged {
		f.queue.ChargeEstimate(s.organisation, -s.estimatedTokens)
		f.charge(s, float64(s.promptTokens+tokens)-s.chargedTokens)
		if f.queue.Entitled(s.organisation) {
			f.recordLength(s, tokens)
		}
	}
	s.finishPrefill()
	s.finishCopy()
	delete(f.streams, id)
	e := s.engine
	e.sharedBlocks.Remove(s.prefixHashes, s.sharedBlocks)
	if s.usesReserve {
		e.agedStreams--
	}
	e.eventGaps.change(s.eventGap, -1)
	e.streams = slices.DeleteFunc(e.streams, func(x *stream) bool { return x == s })
	f.removeUsage(s)
	f.updateCapacity(now, e)
	f.removeUnusedEngine(e)
}

// Declare implements Policy.
func (f *fairPolicy) Declare(now time.Time, h HeldGrant) {
	if f.streams[h.Request] != nil {
		return
	}
	f.Withdraw(now, h.Request)
	s := f.startStream(now, h.Request, &h.AdmissionRequest, f.getOrCreateEngine(h.Backend), h.Tokens)
	// The dispatcher that granted the stream has already charged for these tokens.
	s.chargedTokens = float64(h.AdmissionRequest.PromptTokens + h.Tokens)
}
