package replay

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"
)

// References that an outcome is compared to.
const (
	// AgainstBaseline compares with the baseline policy on the same trace.
	AgainstBaseline = "baseline"
	// AgainstValue compares with no other run: the bound is the metric itself.
	AgainstValue = "value"
	// AgainstTrace compares with the same policy on another trace.
	AgainstTrace = "trace"
)

// Scopes of an outcome.
const (
	ScopeTotal = "total"
	// ScopeOrganisations applies the bound to each organisation.
	ScopeOrganisations = "organisations"
)

// Outcome states what a replay must show.
type Outcome struct {
	// Metric is one of Metrics.
	Metric string `json:"metric"`
	Scope  string `json:"scope"`
	// Except names organisations that the outcome does not cover.
	Except []string `json:"except,omitempty"`
	// Against is the reference; Trace is its file for AgainstTrace, relative to
	// the file of outcomes.
	Against string `json:"against"`
	Trace   string `json:"trace,omitempty"`
	// Max and Min bound the ratio to the reference.
	Max *float64 `json:"max,omitempty"`
	Min *float64 `json:"min,omitempty"`
}

// Metrics maps the name of a metric to its value.
var Metrics = map[string]func(GroupMetrics) float64{
	"stall_p50_ms":       func(g GroupMetrics) float64 { return g.Stall.P50 },
	"stall_p95_ms":       func(g GroupMetrics) float64 { return g.Stall.P95 },
	"stall_p99_ms":       func(g GroupMetrics) float64 { return g.Stall.P99 },
	"first_token_p50_ms": func(g GroupMetrics) float64 { return g.FirstToken.P50 },
	"first_token_p95_ms": func(g GroupMetrics) float64 { return g.FirstToken.P95 },
	"first_token_p99_ms": func(g GroupMetrics) float64 { return g.FirstToken.P99 },
	"gap_p50_ms":         func(g GroupMetrics) float64 { return g.Gap.P50 },
	"gap_p95_ms":         func(g GroupMetrics) float64 { return g.Gap.P95 },
	"gap_p99_ms":         func(g GroupMetrics) float64 { return g.Gap.P99 },
	"preemptions":        func(g GroupMetrics) float64 { return float64(g.Preemptions) },
	"tokens_per_second":  func(g GroupMetrics) float64 { return g.TokensPerSecond },
	"completed":          func(g GroupMetrics) float64 { return float64(g.Completed) },
	"not_completed":      func(g GroupMetrics) float64 { return float64(g.Requests - g.Completed) },
	"failed":             func(g GroupMetrics) float64 { return float64(g.Failed + g.Unfinished) },
}

// OutcomeError reports a fault in a file of outcomes.
type OutcomeError struct {
	File   string
	Index  int
	Detail string
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s: outcome %d: %s", e.File, e.Index+1, e.Detail)
}

// ReadOutcomes reads a JSON list of outcomes. Faults in its content are *OutcomeError.
func ReadOutcomes(path string) ([]Outcome, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read outcomes")
	}
	var list []Outcome
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, &OutcomeError{File: path, Detail: err.Error()}
	}
	for i, o := range list {
		if detail := o.fault(); detail != "" {
			return nil, &OutcomeError{File: path, Index: i, Detail: detail}
		}
		if o.Trace != "" {
			list[i].Trace = filepath.Join(filepath.Dir(path), o.Trace)
		}
	}
	return list, nil
}

// fault describes what is wrong with an outcome, or returns an empty string.
func (o Outcome) fault() string {
	switch {
	case Metrics[o.Metric] == nil:
		return "unknown metric " + o.Metric
	case o.Scope != ScopeTotal && o.Scope != ScopeOrganisations:
		return "unknown scope " + o.Scope
	case !slices.Contains([]string{AgainstBaseline, AgainstValue, AgainstTrace}, o.Against):
		return "unknown reference " + o.Against
	case (o.Against == AgainstTrace) != (o.Trace != ""):
		return "a trace must be stated with the reference trace, and only with it"
	case o.Max == nil && o.Min == nil:
		return "neither max nor min"
	}
	return ""
}

// OutcomeResult is a stated outcome with what was measured.
type OutcomeResult struct {
	Outcome
	Policy       string  `json:"policy"`
	Organisation string  `json:"organisation,omitempty"`
	Value        float64 `json:"value"`
	Reference    float64 `json:"reference"`
	Ratio        float64 `json:"ratio"`
	Met          bool    `json:"met"`
}

// Evaluate compares a report with a reference. The reference is not used for
// AgainstValue. An organisation that the reference lacks is not judged.
func (o Outcome) Evaluate(report, reference *Report) []OutcomeResult {
	if o.Scope == ScopeTotal {
		return []OutcomeResult{o.judge(report.Policy, report.Total, reference.Total)}
	}
	var list []OutcomeResult
	for _, g := range report.Organisations {
		i := slices.IndexFunc(reference.Organisations, func(r GroupMetrics) bool { return r.Organisation == g.Organisation })
		if i >= 0 && !slices.Contains(o.Except, g.Organisation) {
			list = append(list, o.judge(report.Policy, g, reference.Organisations[i]))
		}
	}
	return list
}

func (o Outcome) judge(policy string, g, reference GroupMetrics) OutcomeResult {
	metric := Metrics[o.Metric]
	v := OutcomeResult{Outcome: o, Policy: policy, Organisation: g.Organisation, Value: metric(g), Reference: 1}
	if o.Against != AgainstValue {
		v.Reference = metric(reference)
	}
	// The bounds multiply the reference, so that a reference of zero needs no ratio.
	v.Ratio = ratio(v.Value, v.Reference)
	v.Met = (o.Max == nil || v.Value <= *o.Max*v.Reference) && (o.Min == nil || v.Value >= *o.Min*v.Reference)
	return v
}

// ratio returns zero when there is no reference, since JSON has no infinity.
func ratio(value, reference float64) float64 {
	if reference == 0 {
		return 0
	}
	return round(value/reference, 10000)
}
