// Package soakcmd is the command line of the soak.
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

// Main runs the command line and ends the process.
func Main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// options are those of the command line.
type options struct {
	soak.Options
	// Seeds is the number of seeds, Jobs that of runs side by side.
	Seeds, Jobs int
	// Keep leaves the logs of runs without a broken promise.
	Keep bool
}

// Defaults of the command line.
const (
	defaultDuration = 20 * time.Second
	defaultVMs      = 4
	defaultEngines  = 4
	defaultDesks    = 3
)

func newCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use: "soak", Short: "Run entry VMs under random faults and check the promises", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), o) },
	}
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 0, "first seed, 0 for a random one")
	f.IntVar(&o.Seeds, "seeds", 1, "number of seeds")
	f.IntVar(&o.Jobs, "jobs", 1, "runs side by side")
	f.DurationVar(&o.Duration, "duration", defaultDuration, "time of the faults of one seed")
	f.IntVar(&o.VMs, "vms", defaultVMs, "entry VMs")
	f.IntVar(&o.Engines, "engines", defaultEngines, "inference engines")
	f.IntVar(&o.Desks, "desks", defaultDesks, "plain backend servers")
	f.StringVar(&o.Daemon, "daemon", "", "path of vanillaarchd, built if empty")
	f.StringVar(&o.Dir, "dir", "", "directory of settings and logs, a new one if empty")
	f.BoolVar(&o.Keep, "keep", false, "keep the logs of runs without a broken promise")
	return cmd
}

// ViolationsError reports seeds with broken promises.
type ViolationsError struct{ Seeds []uint64 }

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("promises were broken with seeds %d", e.Seeds)
}

func run(ctx context.Context, o options) error {
	if ctx == nil {
		ctx = context.Background()
	}
	if o.Dir == "" {
		var err error
		if o.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return errors.Wrap(err, "directory of the runs")
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

// runSeed plays a seed in a directory of its own.
func runSeed(ctx context.Context, o options, seed uint64) (*soak.Report, error) {
	x := o.Options
	x.Seed, x.Dir = seed, filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(x.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "directory of a seed")
	}
	report, err := soak.Run(ctx, x)
	if err == nil && len(report.Violations) == 0 && !o.Keep {
		err = os.RemoveAll(x.Dir)
	}
	return report, err
}

// printReport prints the outcome of a seed.
func printReport(r *soak.Report, dir string) {
	fmt.Printf("seed %d: %d faults, %d broken promises\n", r.Seed, len(r.Faults), len(r.Violations))
	outcomes := make([]string, 0, len(r.Outcomes))
	for k, n := range r.Outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(outcomes)
	fmt.Printf("  answers: %v\n", outcomes)
	if len(r.Violations) == 0 {
		return
	}
	for _, v := range r.Violations {
		fmt.Println("  broken", v)
	}
	for _, f := range r.Faults {
		fmt.Println("  fault ", f)
	}
	fmt.Printf("  logs in %s\n", filepath.Join(dir, fmt.Sprintf("seed-%d", r.Seed)))
}
