package cli

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// Sizes and timeout of the demo.
const (
	demoVMs      = 3
	demoEngines  = 3
	demoServices = 2
	demoTimeout  = 28 * time.Second
)

// DemoError reports a demo step with an unexpected result.
type DemoError struct {
	Step   string
	Detail string
}

func (e *DemoError) Error() string { return "demo: " + e.Step + ": " + e.Detail }

func newDemoCommand() *cobra.Command {
	var verbose, onPlatform bool
	cmd := &cobra.Command{
		Use: "demo", Short: "Run simulated backend servers and VMs on loopback and show what callers see", Args: cobra.NoArgs,
		Long: "Run simulated backend servers and several VMs in one process on loopback. The demo rolls out a bundle, streams a quote, " +
			"books a deposit once, kills the engine during a second quote, and exits with code 0 only if every step succeeds.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
			defer cancel()
			logs := io.Discard
			if verbose {
				logs = cmd.ErrOrStderr()
			}
			if onPlatform {
				return runPlatformDemo(ctx, cmd.OutOrStdout(), logs)
			}
			return runDemo(ctx, cmd.OutOrStdout(), logs)
		},
	}
	cmd.Flags().BoolVar(&onPlatform, "platform", false, "run the demo against the simulated platform of the users instead")
	cmd.Flags().BoolVar(&verbose, "logs", false, "print the log lines of the VMs to standard error")
	return cmd
}

// demo is the state shared by the demo steps.
type demo struct {
	out     io.Writer
	cluster *localcluster.Cluster
	caller  *client.Client
	spans   *tracetest.InMemoryExporter
}

func runDemo(ctx context.Context, out, logs io.Writer) error {
	spans := tracetest.NewInMemoryExporter()
	cluster, err := localcluster.Start(localcluster.Options{
		VMs: demoVMs, Engines: demoEngines, Services: demoServices, Logs: logs,
		SpanProcessors: []sdktrace.SpanProcessor{sdktrace.NewSimpleSpanProcessor(spans)},
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{out: out, cluster: cluster, caller: cluster.Client(localcluster.APIKey), spans: spans}
	return runSteps(ctx, out, []demoStep{
		{"roll out a bundle", d.rollOut},
		{"stream a quote", d.streamQuote},
		{"book a deposit once", d.bookOnce},
		{"kill the engine during a quote", d.engineFailure},
		{"spans of one request", d.printSpans},
	})
}

// demoStep is one step of a demo.
type demoStep struct {
	name string
	run  func(context.Context) error
}

// runSteps runs the steps of a demo in order and stops at the first error.
func runSteps(ctx context.Context, out io.Writer, steps []demoStep) error {
	for i, step := range steps {
		fmt.Fprintf(out, "\n%d. %s\n", i+1, step.name)
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	fmt.Fprintln(out, "\nall steps held")
	return nil
}

func (d *demo) rollOut(ctx context.Context) error {
	start := time.Now()
	if err := d.cluster.RollOut(ctx, localcluster.Document(1)); err != nil {
		return err
	}
	for _, vm := range d.cluster.VMs {
		fmt.Fprintf(d.out, "   %s bundle version %d\n", vm.ID, vm.Server.Snapshot().Bundle.Version())
	}
	fmt.Fprintf(d.out, "   in force on all VMs after %s\n", time.Since(start).Round(time.Millisecond))
	return nil
}

// answer counts the tokens of a stream and checks each text against the one that
// the simulated engine generates.
type answer struct {
	prompt   string
	tokens   int
	last     api.EventID
	mismatch error
}

func (a *answer) receive(t client.Token) error {
	if want := standin.TokenText(a.prompt, t.ID.Generation, t.ID.Offset); t.Text != want && a.mismatch == nil {
		a.mismatch = &DemoError{Step: "token " + t.ID.String(), Detail: fmt.Sprintf("got %q, want %q", t.Text, want)}
	}
	a.tokens, a.last = a.tokens+1, t.ID
	return a.mismatch
}

func (d *demo) streamQuote(ctx context.Context) error {
	a := &answer{prompt: "fuse board upgrade, Laugavegur 1 [tokens=40]"}
	err := d.caller.Stream(ctx, api.CompletionRequest{Model: localcluster.Model, Prompt: a.prompt}, a.receive)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "   caller saw %d tokens of generation %s, each once and in order\n", a.tokens, a.last.Generation)
	if a.tokens != 40 {
		return &DemoError{Step: "quote", Detail: fmt.Sprintf("%d of 40 tokens", a.tokens)}
	}
	return nil
}

func (d *demo) bookOnce(ctx context.Context) error {
	key, err := client.NewIdempotencyKey()
	if err != nil {
		return err
	}
	body := []byte(`{"customer":"Laugavegur 1","deposit_isk":40000}`)
	first, err := d.caller.Call(ctx, localcluster.BookingRoute, key, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "   first call:  replayed=%t %s", first.Replayed, first.Body)
	second, err := d.caller.Call(ctx, localcluster.BookingRoute, key, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "   repeat:      replayed=%t %s", second.Replayed, second.Body)
	runs := 0
	for _, s := range d.cluster.Services {
		runs += s.Service.Runs()[key]
	}
	fmt.Fprintf(d.out, "   runs counted by the services: %d\n", runs)
	if runs != 1 || !second.Replayed {
		return &DemoError{Step: "booking", Detail: fmt.Sprintf("%d runs, replayed=%t", runs, second.Replayed)}
	}
	return nil
}

// engineFailure kills the engine during a stream. The caller must get a typed
// error with outcome failed, never an answer that looks complete.
func (d *demo) engineFailure(ctx context.Context) error {
	a := &answer{prompt: "second quote, Laugavegur 2 [tokens=500]"}
	err := d.caller.Stream(ctx, api.CompletionRequest{Model: localcluster.Model, Prompt: a.prompt}, func(t client.Token) error {
		if t.ID.Offset == 10 {
			d.closeEngine(t.ID.Generation)
		}
		return a.receive(t)
	})
	problem, ok := errors.Into[*api.Problem](err)
	if !ok || problem.Outcome != api.OutcomeFailed {
		return &DemoError{Step: "engine failure", Detail: fmt.Sprintf("got %v, want a problem with outcome failed", err)}
	}
	fmt.Fprintf(d.out, "   caller saw %d tokens, then: %s outcome=%s\n", a.tokens, problem.Kind(), problem.Outcome)
	a = &answer{prompt: "third quote, Laugavegur 3 [tokens=20]"}
	if err := d.caller.Stream(ctx, api.CompletionRequest{Model: localcluster.Model, Prompt: a.prompt}, a.receive); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "   next quote: %d tokens from %s\n", a.tokens, a.last.Generation)
	return nil
}

func (d *demo) closeEngine(generation string) {
	id, err := api.ParseGenerationID(generation)
	if err != nil {
		return
	}
	for _, e := range d.cluster.Engines {
		if e.ID == id.Backend {
			e.Server.Close()
		}
	}
}

// printSpans prints the trace of the first quote.
func (d *demo) printSpans(context.Context) error {
	traces := map[string]tracetest.SpanStubs{}
	quote := ""
	for _, s := range d.spans.GetSpans() {
		id := s.SpanContext.TraceID().String()
		traces[id] = append(traces[id], s)
		if s.Name == "frontend.completion" && quote == "" {
			quote = id
		}
	}
	spans := traces[quote]
	if len(spans) == 0 {
		return &DemoError{Step: "spans", Detail: "none recorded"}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].StartTime.Before(spans[j].StartTime) })
	fmt.Fprintf(d.out, "   trace %s\n", quote)
	for _, s := range spans {
		fmt.Fprintf(d.out, "   %-22s %8s  parent=%s\n", s.Name,
			s.EndTime.Sub(s.StartTime).Round(10*time.Microsecond), s.Parent.SpanID())
	}
	return nil
}
