package gateway

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/outstanding"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Metrics are the counters and histograms of a gateway.
type Metrics struct {
	registry metrics.Registry
	// accepted counts the requests whose head was read, requests those that have ended.
	accepted        metrics.Counter
	requests        metrics.Counter
	budgetExhausted metrics.Counter
	// outsideRegions counts the requests that were refused since no server is in a home region.
	outsideRegions metrics.Counter
	// runsFailedBeforeEvent counts the runs that an engine failed before the first event.
	runsFailedBeforeEvent metrics.Counter
	// requestsSentAgain counts the sends after the first one of each request.
	requestsSentAgain metrics.Counter
	// requestsWithoutMemory counts the requests that were rejected for want of memory,
	// bodiesEvicted those whose incomplete body gave way to another request, and bodiesCutShort
	// the refused bodies that were not read to their end since too many were refused.
	requestsWithoutMemory, bodiesEvicted, bodiesCutShort metrics.Counter
	// answersWithoutMemory counts the answers that were given up for want of memory,
	// answersEvicted those that gave way to answers of other servers.
	answersWithoutMemory, answersEvicted metrics.Counter
	// requestsStoppedEvacuated counts the requests that were stopped right before they were sent to
	// a server of an evacuated zone, requestsRefusedEvacuated those that were refused since all
	// servers of their service are in such zones.
	requestsStoppedEvacuated, requestsRefusedEvacuated metrics.Counter
	// runsMovedOut counts the runs that were moved out of evacuated zones, runsNotMovedOut the
	// attempts that failed.
	runsMovedOut, runsNotMovedOut metrics.Counter
	// runsReturned counts the runs that went back to their engine, since the next one did not go on.
	runsReturned metrics.Counter
	// backgroundPanics counts the panics of work that outlives its request or serves none.
	backgroundPanics metrics.Counter
	// callersLeft counts the callers that disconnected before their answer was complete.
	callersLeft metrics.Counter
	// hedges counts the requests that were sent to a second server before the first had
	// answered, hedgesWon those that the second one answered first. hedgesWithoutBudget were
	// not sent for want of budget.
	hedges, hedgesWon, hedgesWithoutBudget metrics.Counter
	// loadQuestions counts the health requests that ask servers for their load, invalidLoads
	// the answers with an invalid report.
	loadQuestions, invalidLoads metrics.Counter
	// withoutRoom counts the requests that were refused since too many bytes were outstanding.
	withoutRoom metrics.Counter
	// firstEvent and answer are latencies in microseconds, afterCaller is the time from the
	// disconnection of a caller to the end of each attempt that was in progress then.
	firstEvent, answer, afterCaller metrics.Histogram
}

// Parameters of the exponentially decaying samples of histograms, which are biased
// to the last five minutes.
const (
	sampleSize  = 256
	sampleAlpha = 0.015
)

// NewMetrics registers the metrics of a gateway.
func NewMetrics(r metrics.Registry) *Metrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &Metrics{
		registry:        r,
		accepted:        metrics.GetOrRegisterCounter("gateway.requests_accepted", r),
		requests:        metrics.GetOrRegisterCounter("gateway.requests", r),
		budgetExhausted: metrics.GetOrRegisterCounter("gateway.retry_budget_exhausted", r),
		outsideRegions:  metrics.GetOrRegisterCounter("gateway.outside_home_regions", r),

		runsFailedBeforeEvent: metrics.GetOrRegisterCounter("gateway.runs_failed_before_event", r),
		requestsSentAgain:     metrics.GetOrRegisterCounter("gateway.requests_sent_again", r),
		requestsWithoutMemory: metrics.GetOrRegisterCounter("gateway.requests_without_memory", r),
		bodiesEvicted:         metrics.GetOrRegisterCounter("gateway.request_bodies_evicted", r),
		bodiesCutShort:        metrics.GetOrRegisterCounter("gateway.refused_bodies_cut_short", r),
		answersWithoutMemory:  metrics.GetOrRegisterCounter("gateway.answers_without_memory", r),
		answersEvicted:        metrics.GetOrRegisterCounter("gateway.answers_evicted", r),

		requestsStoppedEvacuated: metrics.GetOrRegisterCounter("gateway.requests_stopped_evacuated", r),
		requestsRefusedEvacuated: metrics.GetOrRegisterCounter("gateway.requests_refused_evacuated", r),

		runsMovedOut:    metrics.GetOrRegisterCounter("gateway.runs_moved_out_of_zones", r),
		runsNotMovedOut: metrics.GetOrRegisterCounter("gateway.runs_not_moved_out_of_zones", r),

		runsReturned: metrics.GetOrRegisterCounter("gateway.runs_returned", r),

		hedges:              metrics.GetOrRegisterCounter("gateway.hedges", r),
		hedgesWon:           metrics.GetOrRegisterCounter("gateway.hedges_won", r),
		hedgesWithoutBudget: metrics.GetOrRegisterCounter("gateway.hedges_without_budget", r),
		loadQuestions:       metrics.GetOrRegisterCounter("gateway.load_questions", r),
		invalidLoads:        metrics.GetOrRegisterCounter("gateway.invalid_loads", r),
		withoutRoom:         metrics.GetOrRegisterCounter("gateway.refused_outstanding_bytes", r),

		backgroundPanics: metrics.GetOrRegisterCounter("gateway.background_panics", r),

		callersLeft: metrics.GetOrRegisterCounter("gateway.callers_left", r),

		firstEvent:  histogram("gateway.first_event_us"),
		answer:      histogram("gateway.answer_us"),
		afterCaller: histogram("gateway.attempt_after_caller_us"),
	}
}

// countRunEnd counts something about the ends of runs at engines that they have left: "run_ends" by
// state, "run_end_attempts" by outcome, and whether the next engine was allowed to begin by reason.
func (m *Metrics) countRunEnd(what, kind string) {
	metrics.GetOrRegisterCounter("gateway."+what+"."+kind, m.registry).Inc(1)
}

// countCut counts something about streams that are cut after their first event: "streams_cut" by
// cutReason, "streams_not_resumed" by noNextReason, and "runs_not_returned" by notReturnedReason.
func (m *Metrics) countCut(what, reason string) {
	metrics.GetOrRegisterCounter("gateway."+what+"."+reason, m.registry).Inc(1)
}

// countTakeUp counts something about streams that callers take up.
func (m *Metrics) countTakeUp(what string) {
	metrics.GetOrRegisterCounter("gateway.take_ups."+what, m.registry).Inc(1)
}

// observeMemory registers gauges of the bytes that budgets hold.
func (m *Metrics) observeMemory(requests *requestbody.Memory, answers *membudget.Budget) {
	metrics.NewRegisteredFunctionalGauge("gateway.request_memory_bytes", m.registry, requests.Used)
	metrics.NewRegisteredFunctionalGauge("gateway.answer_memory_bytes", m.registry, answers.Used)
}

// observeOutstanding registers a gauge of the bytes that plain servers have not answered.
func (m *Metrics) observeOutstanding(t *outstanding.Table) {
	metrics.NewRegisteredFunctionalGauge("gateway.outstanding_bytes", m.registry, t.Bytes)
}

// Counts are numbers of requests since the start of a VM.
type Counts struct {
	// Accepted are those whose head was read, Ended those with a line request_done.
	Accepted, Ended int64
}

// Counts returns the numbers of requests so far.
func (g *Gateway) Counts() Counts {
	ended := g.Metrics.requests.Count() // Before the other, so that it is not the larger one.
	return Counts{Accepted: g.Metrics.accepted.Count(), Ended: ended}
}

// recordRequest counts a completed request by its outcome. It updates the latency of
// responses without events.
func (m *Metrics) recordRequest(c *call, outcome string) {
	m.requests.Inc(1)
	metrics.GetOrRegisterCounter("gateway.outcome."+outcome, m.registry).Inc(1)
	if c.route != nil && c.events == 0 {
		m.answer.Update(c.elapsed().Microseconds())
	}
}

// recordCompletion updates the metrics and logs the completed request.
func (c *call) recordCompletion(p *api.Problem, outcome string) {
	fields := []zap.Field{
		zap.Int("status", c.status), zap.Int("events", c.events), zap.Int("sends", c.sends),
		zap.Duration("elapsed", c.elapsed()),
	}
	if c.run != nil && c.sends+c.events > 0 {
		fields = append(fields, zap.Int("prompt_tokens", c.info.PromptTokens))
	}
	if c.events > 0 {
		fields = append(fields, zap.Duration("queued", c.queued), zap.Duration("first_event", c.firstEvent),
			zap.Duration("longest_pause", c.longestPause),
			zap.Int("max_tokens", c.info.MaxTokens), zap.Int("expected_tokens", c.info.ExpectedTokens),
			promptParts(c.info.Prefix))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("organisation", c.organisationName()))
	}
	if c.snap.Routes != nil {
		fields = append(fields, zap.Int64("version", c.snap.Routes.Version))
	}
	if c.hedged {
		fields = append(fields, zap.Bool("hedged", true), zap.Bool("hedge_won", c.hedgeWon))
	}
	if c.callerLeft() && outcome == "" {
		outcome = "caller_left"
	}
	if c.ended != "" {
		fields = append(fields, zap.String("ended_by", string(c.ended)), zap.Int64("version_at_end", version(c.g.Snapshot())))
	}
	switch {
	case p != nil:
		if outcome == "" {
			outcome = string(p.Outcome)
		}
		fields = append(fields, zap.String("problem", string(p.Kind())), zap.String("detail", p.Detail))
		if p.Cause != nil {
			fields = append(fields, telemetry.NamedError("cause", p.Cause))
		}
		if part := c.refusedBy(p); part != "" {
			fields = append(fields, zap.String("refused_by", part), zap.Duration("retry_after", p.RetryAfter))
		}
	case outcome == "":
		outcome = "answered"
	}
	c.g.Metrics.recordRequest(c, outcome)
	c.log.Info("request_done", append(fields, zap.String("outcome", outcome))...)
}
