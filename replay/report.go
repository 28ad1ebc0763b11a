package replay

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the metrics of one replay.
type Report struct {
	Trace  string       `json:"trace"`
	Policy string       `json:"policy"`
	Total  GroupMetrics `json:"total"`
	// Organisations is sorted by name.
	Organisations []GroupMetrics `json:"organisations"`
}

// GroupMetrics holds the metrics of one organisation, or of all requests.
type GroupMetrics struct {
	Tenant       string `json:"tenant,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Requests     int    `json:"requests"`
	Completed    int    `json:"completed"`
	// Rejected counts requests rejected until the caller gave up, TimedOut those
	// without a grant within the queue timeout, Failed those whose generation was
	// lost and not restarted, and Unfinished those still open when the replay ended.
	Rejected   int `json:"rejected"`
	TimedOut   int `json:"timed_out"`
	Failed     int `json:"failed"`
	Unfinished int `json:"unfinished"`
	// Rejections counts rejected submissions; one request can have several.
	Rejections int `json:"rejections"`
	// Preemptions counts how often a generation lost its memory.
	Preemptions int `json:"preemptions"`
	Resumes     int `json:"resumes"`
	Restarts    int `json:"restarts"`
	// FirstToken is the wait for the first token. Stall is the stall time per
	// request: the wait for the first token, the gaps from the stall threshold on,
	// and the wait before a failure or until a rejected caller gives up. Gap is the
	// time between tokens of a stream.
	FirstToken Quantiles `json:"first_token_ms"`
	Stall      Quantiles `json:"stall_ms"`
	Gap        Quantiles `json:"gap_ms"`
	// TokensPerSecond is the rate of tokens delivered during the arrival period.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Share is the fraction of these tokens, Entitlement the fraction that is due
	// when the demand of every organisation exceeds its entitlement.
	Share       float64 `json:"share"`
	Entitlement float64 `json:"entitlement"`
}

// Quantiles holds quantiles of a duration in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return round(float64(h.ValueAtQuantile(q))/1000, 1000) }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: round(float64(h.Max())/1000, 1000)}
}

// round rounds x to a multiple of 1/scale, which keeps reports short.
func round(x, scale float64) float64 { return math.Round(x*scale) / scale }

// finish ends the requests that are still open and returns the report.
func (r *run) finish() *Report {
	for _, q := range r.active() {
		r.complete(q, outcomeUnfinished)
	}
	m := r.meter
	report := &Report{Trace: r.trace.Header.Name, Total: m.group(m.total)}
	for _, name := range sortedKeys(m.orgs) {
		report.Organisations = append(report.Organisations, m.group(m.orgs[name]))
	}
	return report
}

func (m *meter) group(t *tally) GroupMetrics {
	g := GroupMetrics{
		Tenant: t.tenant, Organisation: t.organisation, Requests: t.requests,
		Completed: t.outcomes[outcomeComplete], Rejected: t.outcomes[outcomeRejected], TimedOut: t.outcomes[outcomeTimeout],
		Failed: t.outcomes[outcomeFailed], Unfinished: t.outcomes[outcomeUnfinished],
		Rejections: t.rejections, Preemptions: t.preemptions, Resumes: t.resumes, Restarts: t.restarts,
		FirstToken: quantiles(t.firstToken), Stall: quantiles(t.stalls), Gap: quantiles(t.gap),
		TokensPerSecond: round(float64(t.windowTokens)/m.end.Sub(epoch).Seconds(), 10),
		Entitlement:     round(t.weight, 10000),
	}
	if m.total.windowTokens > 0 {
		g.Share = round(float64(t.windowTokens)/float64(m.total.windowTokens), 10000)
	}
	return g
}
