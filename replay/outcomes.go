package replay

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"
)

// References that a metric is compared to.
const (
	// AgainstBaseline compares with the baseline policy on the same trace.
	AgainstBaseline = "baseline"
	// AgainstValue compares the metric with the bounds alone, not with another run.
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

// StatedOutcome is an expected result of a replay: bounds on a metric.
type StatedOutcome struct {
	// Metric is a key of Metrics.
	Metric string `json:"metric"`
	Scope  string `json:"scope"`
	// Except names organisations that the outcome does not cover.
	Except []string `json:"except,omitempty"`
	// Against is the kind of reference; Trace is the trace file for AgainstTrace,
	// relative to the outcomes file.
	Against string `json:"against"`
	Trace   string `json:"trace,omitempty"`
	// Max and Min bound the ratio to the reference.
	Max *float64 `json:"max,omitempty"`
	Min *float64 `json:"min,omitempty"`
}

// Metrics maps the name of a metric to the function that returns its value.
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

// StatedOutcomeError reports an invalid outcome, or an outcomes file that is not valid JSON.
type StatedOutcomeError struct {
	File   string
	Index  int
	Detail string
}

func (e *StatedOutcomeError) Error() string {
	return fmt.Sprintf("%s: outcome %d: %s", e.File, e.Index+1, e.Detail)
}

// ReadStatedOutcomes reads a JSON list of outcomes. Invalid content is reported as
// an *StatedOutcomeError.
func ReadStatedOutcomes(path string) ([]StatedOutcome, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read outcomes")
	}
	var list []StatedOutcome
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, &StatedOutcomeError{File: path, Detail: err.Error()}
	}
	for i, o := range list {
		if detail := o.invalidReason(); detail != "" {
			return nil, &StatedOutcomeError{File: path, Index: i, Detail: detail}
		}
		if o.Trace != "" {
			list[i].Trace = filepath.Join(filepath.Dir(path), o.Trace)
		}
	}
	return list, nil
}

// invalidReason describes why an outcome is invalid, or returns an empty string.
func (o StatedOutcome) invalidReason() string {
	switch {
	case Metrics[o.Metric] == nil:
		return "unknown metric " + o.Metric
	case o.Scope != ScopeTotal && o.Scope != ScopeOrganisations:
		return "unknown scope " + o.Scope
	case !slices.Contains([]string{AgainstBaseline, AgainstValue, AgainstTrace}, o.Against):
		return "unknown reference " + o.Against
	case (o.Against == AgainstTrace) != (o.Trace != ""):
		return "a trace file is required with the reference trace and not allowed with others"
	case o.Max == nil && o.Min == nil:
		return "max or min is required"
	}
	return ""
}

// OutcomeResult is an expected outcome with the measured values.
type OutcomeResult struct {
	StatedOutcome
	Policy       string  `json:"policy"`
	Organisation string  `json:"organisation,omitempty"`
	Value        float64 `json:"value"`
	Reference    float64 `json:"reference"`
	Ratio        float64 `json:"ratio"`
	Met          bool    `json:"met"`
}

// Evaluate compares a report with a reference. AgainstValue ignores the metrics of
// the reference. Organisations missing from the reference are skipped.
func (o StatedOutcome) Evaluate(report, reference *Report) []OutcomeResult {
	if o.Scope == ScopeTotal {
		return []OutcomeResult{o.evaluate(report.Policy, report.Total, reference.Total)}
	}
	var list []OutcomeResult
	for _, g := range report.Organisations {
		i := slices.IndexFunc(reference.Organisations, func(r GroupMetrics) bool { return r.Organisation == g.Organisation })
		if i >= 0 && !slices.Contains(o.Except, g.Organisation) {
			list = append(list, o.evaluate(report.Policy, g, reference.Organisations[i]))
		}
	}
	return list
}

func (o StatedOutcome) evaluate(policy string, g, reference GroupMetrics) OutcomeResult {
	metric := Metrics[o.Metric]
	v := OutcomeResult{StatedOutcome: o, Policy: policy, Organisation: g.Organisation, Value: metric(g), Reference: 1}
	if o.Against != AgainstValue {
		v.Reference = metric(reference)
	}
	// The bounds are multiplied by the reference to avoid dividing by zero.
	v.Ratio = ratio(v.Value, v.Reference)
	v.Met = (o.Max == nil || v.Value <= *o.Max*v.Reference) && (o.Min == nil || v.Value >= *o.Min*v.Reference)
	return v
}

// ratio returns zero if the reference is zero, since JSON cannot represent infinity.
func ratio(value, reference float64) float64 {
	if reference == 0 {
		return 0
	}
	return round(value/reference, 10000)
}
