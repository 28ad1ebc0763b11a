package replay

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the metrics of one replay.
type Report struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	Total  GroupMetrics  `json:"total"`
	// Organisations are in order of their names.
	Organisations []GroupMetrics `json:"organisations"`
}

// GroupMetrics holds the metrics of an organisation, or of all.
type GroupMetrics struct {
	Tenant       string `json:"tenant,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Requests     int    `json:"requests"`
	Completed    int    `json:"completed"`
	// Rejected requests were rejected until the caller gave up, TimedOut ones got
	// no grant in time;
	// Failed streams ended before their end; Unfinished ones were cut off by the
	// end of the replay.
	Rejected   int `json:"rejected"`
	TimedOut   int `json:"timed_out"`
	Failed     int `json:"failed"`
	Unfinished int `json:"unfinished"`
	// Rejections counts rejecting answers, of which one request can get several.
	Rejections int `json:"rejections"`
	// Preemptions counts how often a generation lost its memory.
	Preemptions int `json:"preemptions"`
	Resumes     int `json:"resumes"`
	Restarts    int `json:"restarts"`
	// FirstToken is the wait for the first token. Stall adds the gaps beyond the
	// threshold and the wait before a failure or until a rejected caller gives up, per request.
	// Gap is the time between tokens of a stream.
	FirstToken Quantiles `json:"first_token_ms"`
	Stall      Quantiles `json:"stall_ms"`
	Gap        Quantiles `json:"gap_ms"`
	// TokensPerSecond counts tokens delivered while requests arrived.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Share is the part of these tokens, Entitlement the part that is due when
	// all organisations ask for more than that.
	Share       float64 `json:"share"`
	Entitlement float64 `json:"entitlement"`
}

// Quantiles of a time in milliseconds.
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

// round keeps reports short.
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
