// Package soakcmd implements the command line of the soak test.
package soakcmd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/internal/soak"
)

// Main runs the command and exits with status 1 if it fails.
func Main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// options holds the flags of the command.
type options struct {
	soak.Options
	// Seeds is the number of seeds, Jobs the number of concurrent runs.
	Seeds, Jobs int
	// Keep retains the logs of runs without violations.
	Keep bool
}

// Default flag values.
const (
	defaultDuration     = 20 * time.Second
	defaultVMs          = 4
	defaultEngines      = 4
	defaultPlainServers = 3
)

func newCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use: "soak", Short: "Run entry VMs under random faults and check the invariants", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), o) },
	}
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 0, "first seed (0 selects a random one)")
	f.IntVar(&o.Seeds, "seeds", 1, "number of seeds")
	f.IntVar(&o.Jobs, "jobs", 1, "number of concurrent runs")
	f.DurationVar(&o.Duration, "duration", defaultDuration, "how long faults are injected per seed")
	f.IntVar(&o.VMs, "vms", defaultVMs, "number of entry VMs")
	f.IntVar(&o.Engines, "engines", defaultEngines, "number of inference engines")
	f.IntVar(&o.PlainServers, "desks", defaultPlainServers, "number of plain backend servers")
	f.StringSliceVar(&o.Only, "only", nil, "names of the faults to inject (all if empty)")
	f.IntVar(&o.Busy, "busy", 0, "number of processes that use a processor each while faults are injected")
	f.StringVar(&o.Daemon, "daemon", "", "path of vanillaarchd (built if empty)")
	f.StringVar(&o.Dir, "dir", "", "directory for settings and logs (a new one if empty)")
	f.BoolVar(&o.Keep, "keep", false, "keep the logs of runs without violations")
	cmd.AddCommand(&cobra.Command{
		Use: soak.BusyArgument, Hidden: true, Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { soak.UseProcessor(os.Stdin) },
	})
	return cmd
}

// ViolationsError reports the seeds with violated invariants.
type ViolationsError struct{ Seeds []uint64 }

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("invariants were violated with seeds %d", e.Seeds)
}

func run(ctx context.Context, o options) error {
	if ctx == nil {
		ctx = context.Background()
	}
	if err := o.complete(); err != nil {
		return err
	}
	var (
		mu          sync.Mutex
		failedSeeds []uint64
		wg          sync.WaitGroup
		runErr      error
	)
	slots := make(chan struct{}, max(o.Jobs, 1))
	for i := range uint64(o.Seeds) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			report, err := runSeed(ctx, o, o.Seed+i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				runErr = errors.Wrapf(err, "seed %d", o.Seed+i)
				return
			}
			printReport(report, o.Dir)
			if len(report.Violations) > 0 {
				failedSeeds = append(failedSeeds, report.Seed)
			}
		})
	}
	wg.Wait()
	if runErr != nil {
		return runErr
	}
	if slices.Sort(failedSeeds); len(failedSeeds) > 0 {
		return &ViolationsError{Seeds: failedSeeds}
	}
	return nil
}

// complete sets the options that were left out, and builds the daemon if there is none.
func (o *options) complete() error {
	if o.Dir == "" {
		var err error
		if o.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return errors.Wrap(err, "create directory of the runs")
		}
	}
	if o.Daemon == "" {
		o.Daemon = filepath.Join(o.Dir, "vanillaarchd")
		if out, err := exec.Command("go", "build", "-o", o.Daemon, "./cmd/vanillaarchd").CombinedOutput(); err != nil {
			return errors.Wrapf(err, "build vanillaarchd: %s", out)
		}
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64N(1 << 32)
	}
	return nil
}

// runSeed runs a seed in its own directory.
func runSeed(ctx context.Context, o options, seed uint64) (*soak.Report, error) {
	x := o.Options
	x.Seed, x.Dir = seed, filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(x.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create directory of a seed")
	}
	report, err := soak.Run(ctx, x)
	if err == nil && len(report.Violations) == 0 && !o.Keep {
		err = os.RemoveAll(x.Dir)
	}
	return report, err
}

// printReport prints the result of a seed.
func printReport(r *soak.Report, dir string) {
	fmt.Printf("seed %d: %d faults, %d violations\n", r.Seed, len(r.Faults), len(r.Violations))
	outcomes := make([]string, 0, len(r.Outcomes))
	for k, n := range r.Outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(outcomes)
	fmt.Printf("  outcomes: %v\n", outcomes)
	fmt.Printf("  overlaps: %v; longest delay of the soak %v\n", r.Overlaps, r.LongestDelay.Round(time.Millisecond))
	fmt.Printf("  departures: %v\n  pauses: %v\n  limits: %v\n  evacuations: %v\n  take-ups: %v\n", r.Departures, r.Pauses, r.Limits, r.Evacuations,
		r.TakeUps)
	if len(r.Violations) == 0 {
		return
	}
	for _, v := range r.Violations {
		fmt.Println("  violation", v)
	}
	for _, f := range r.Faults {
		fmt.Println("  fault    ", f)
	}
	fmt.Printf("  logs in %s\n", filepath.Join(dir, fmt.Sprintf("seed-%d", r.Seed)))
}
