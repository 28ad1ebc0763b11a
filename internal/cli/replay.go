package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/replay"
)

// OutcomesMissedError reports stated outcomes that a replay did not meet.
type OutcomesMissedError struct{ Missed, Stated int }

func (e *OutcomesMissedError) Error() string {
	return fmt.Sprintf("%d of %d stated outcomes missed", e.Missed, e.Stated)
}

// replayFlags are the flags of the replay command.
type replayFlags struct {
	trace, outcomes, policy string
	json                    bool
	baselineLimit           int
	// weights of stall time, preemptions and inter-token latency, in this order,
	// replace those of the trace if any are given.
	weights []float64
}

// WeightsError reports weights that are not three non-negative numbers.
type WeightsError struct{ Weights []float64 }

func (e *WeightsError) Error() string {
	return fmt.Sprintf("weights %v are not three non-negative numbers", e.Weights)
}

func newReplayCommand() *cobra.Command {
	var f replayFlags
	cmd := &cobra.Command{
		Use: "replay", Short: "Replay a trace under a policy and the baseline", Args: cobra.NoArgs,
		Long: "Replay a trace on simulated engines under a virtual clock, with the chosen policy and the baseline in the same run. " +
			"The exit code is 1 if a stated outcome is not met.",
		RunE: func(cmd *cobra.Command, _ []string) error { return runReplay(cmd.OutOrStdout(), f) },
	}
	cmd.Flags().StringVar(&f.trace, "trace", "", "trace file, gzip-compressed if its name ends in .gz")
	cmd.Flags().StringVar(&f.outcomes, "outcomes", "", "file with the outcomes to check")
	cmd.Flags().StringVar(&f.policy, "policy", "central-fifo", fmt.Sprintf("one of %v", replay.PolicyNames()))
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON lines instead of tables")
	cmd.Flags().IntVar(&f.baselineLimit, "baseline-limit", dispatch.BaselineStreamLimit, "maximum number of streams per engine under the baseline policy")
	cmd.Flags().Float64SliceVar(&f.weights, "weights", nil, "weights of stall time, preemptions and inter-token latency, instead of the trace's")
	_ = cmd.MarkFlagRequired("trace")
	return cmd
}

func runReplay(out io.Writer, f replayFlags) error {
	var stated []replay.StatedOutcome
	if f.outcomes != "" {
		var err error
		if stated, err = replay.ReadStatedOutcomes(f.outcomes); err != nil {
			return err
		}
	}
	baseline, err := f.baseline()
	if err != nil {
		return err
	}
	report, err := f.replay(f.trace, f.policy)
	if err != nil {
		return err
	}
	results, err := f.evaluateOutcomes(stated, report, baseline)
	if err != nil {
		return err
	}
	if err := printReplay(out, f.json, baseline, report, results); err != nil {
		return err
	}
	return checkOutcomes(results)
}

// baseline replays the trace with the baseline policy.
func (f replayFlags) baseline() (*replay.Report, error) {
	return f.replayWith(f.trace, replay.BaselinePolicy, dispatch.NewBaselineWith(dispatch.BaselineOptions{
		VMs: dispatch.BaselineVMs, StreamLimit: f.baselineLimit, QueueLimit: dispatch.BaselineQueueLimit,
	}))
}

func (f replayFlags) replay(path, policyName string) (*replay.Report, error) {
	policy, err := replay.NewPolicy(policyName)
	if err != nil {
		return nil, err
	}
	return f.replayWith(path, policyName, policy)
}

func (f replayFlags) replayWith(path, policyName string, policy dispatch.Policy) (*replay.Report, error) {
	trace, err := replay.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := f.applyWeights(trace); err != nil {
		return nil, err
	}
	report, err := replay.Run(trace, policy, replay.Options{})
	if err != nil {
		return nil, errors.Wrap(err, "replay")
	}
	report.Policy = policyName
	return report, nil
}

func (f replayFlags) applyWeights(t *replay.Trace) error {
	if len(f.weights) == 0 {
		return nil
	}
	if len(f.weights) != 3 || slices.Min(f.weights) < 0 {
		return &WeightsError{Weights: f.weights}
	}
	for i := range t.Header.Shares {
		s := &t.Header.Shares[i]
		s.StallTime, s.Preemptions, s.InterTokenLatency = f.weights[0], f.weights[1], f.weights[2]
	}
	return nil
}

// evaluateOutcomes compares the report with the reference of each stated outcome.
// A reference trace is replayed once, with the same policy as the report.
func (f replayFlags) evaluateOutcomes(stated []replay.StatedOutcome, report, baseline *replay.Report) ([]replay.OutcomeResult, error) {
	others := map[string]*replay.Report{}
	var results []replay.OutcomeResult
	for _, o := range stated {
		reference := baseline
		if o.Against == replay.AgainstTrace {
			if others[o.Trace] == nil {
				other, err := f.replay(o.Trace, report.Policy)
				if err != nil {
					return nil, err
				}
				others[o.Trace] = other
			}
			reference = others[o.Trace]
		}
		results = append(results, o.Evaluate(report, reference)...)
	}
	return results, nil
}

func checkOutcomes(results []replay.OutcomeResult) error {
	e := &OutcomesMissedError{Stated: len(results)}
	for _, r := range results {
		if !r.Met {
			e.Missed++
		}
	}
	if e.Missed > 0 {
		return e
	}
	return nil
}

func printReplay(out io.Writer, asJSON bool, baseline, report *replay.Report, results []replay.OutcomeResult) error {
	if !asJSON {
		printTables(out, baseline, report)
		printOutcomeResults(out, results)
		return nil
	}
	enc := json.NewEncoder(out)
	for _, r := range []*replay.Report{baseline, report} {
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	for i := range results {
		if err := enc.Encode(&results[i]); err != nil {
			return errors.Wrap(err, "write outcome result")
		}
	}
	return nil
}

// replayRows are the metrics in the table that compares two policies.
var replayRows = []string{
	"first_token_p50_ms", "first_token_p95_ms", "first_token_p99_ms",
	"stall_p50_ms", "stall_p95_ms", "stall_p99_ms", "gap_p50_ms", "gap_p95_ms", "gap_p99_ms",
	"preemptions", "tokens_per_second", "completed", "not_completed", "failed",
}

func printTables(out io.Writer, baseline, report *replay.Report) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\t%s\t%s\tratio\t\n", report.Trace, baseline.Policy, report.Policy)
	for _, name := range replayRows {
		b, r := replay.Metrics[name](baseline.Total), replay.Metrics[name](report.Total)
		ratio := "-"
		if b != 0 {
			ratio = fmt.Sprintf("%.3f", r/b)
		}
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%s\t\n", name, b, r, ratio)
	}
	_ = w.Flush()
	fmt.Fprintln(out)
	fmt.Fprintf(w, "organisation\tpolicy\trequests\trejected\ttimed out\tfailed\tstall p99 ms\tgap p99 ms\tpreemptions\ttokens/s\tshare\tentitlement\t\n")
	for i := range report.Organisations {
		for _, r := range []*replay.Report{baseline, report} {
			g := r.Organisations[i]
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%.1f\t%.4f\t%.4f\t\n", g.Organisation, r.Policy, g.Requests, g.Rejected,
				g.TimedOut, g.Failed+g.Unfinished, g.Stall.P99, g.Gap.P99, g.Preemptions, g.TokensPerSecond, g.Share, g.Entitlement)
		}
	}
	_ = w.Flush()
}

func printOutcomeResults(out io.Writer, results []replay.OutcomeResult) {
	if len(results) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\noutcome\tscope\tagainst\tmax\tmin\tvalue\treference\tratio\tmet\t\n")
	for _, r := range results {
		scope := r.Scope
		if r.Organisation != "" {
			scope = r.Organisation
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.3f\t%t\t\n", r.Metric, scope, r.Against, formatBound(r.Max), formatBound(r.Min),
			r.Value, r.Reference, r.Ratio, r.Met)
	}
	_ = w.Flush()
}

func formatBound(x *float64) string {
	if x == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f", *x)
}
