package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/platform"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// newEntryCommand returns the command that runs an entry VM on the users' platform.
func newEntryCommand() *cobra.Command {
	var level string
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run one entry VM on the users' platform",
		Long: "Run one entry VM on the users' platform. The settings file is named by " + platform.SettingsVariable +
			". SIGTERM drains the VM, SIGHUP reads the settings again.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return runEntry(level) },
	}
	cmd.Flags().StringVar(&level, "log-level", "info", "least level of log lines")
	return cmd
}

// memoryPart is the part of the VM's memory at which the garbage collector works harder.
const memoryPart = 0.55

// logFlushTime bounds the time for which the end of the process waits for its log.
const logFlushTime = 200 * time.Millisecond

func runEntry(level string) error {
	deployment, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(deployment.Limits.MemoryBytes)))
	output := telemetry.NewBoundedWriter(os.Stdout)
	defer output.Close(logFlushTime)
	log := telemetry.NewLogger(output, level, deployment.VM)
	store := platform.NewStore(deployment.Store.Address, platform.StoreTimeout)
	defer store.Close()
	entry, err := vanillaarch.NewEntry(vanillaarch.EntryOptions{
		Deployment: deployment, Store: store, Codec: platform.Entries{}, Edge: platform.Headers{}, Log: log,
		Engines: func(x *backend.Exchanges) edge.EngineClient { return platform.Engines{Exchanges: x} },
	})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			log.Info("signal_received", zap.Stringer("signal", s))
			if s == syscall.SIGHUP {
				reload(log)
				continue
			}
			cancel()
		}
	}()
	return entry.Run(ctx)
}

// reload reads the settings again. What a running VM cannot change, such as its
// addresses, takes effect at the next start.
func reload(log *zap.Logger) {
	if _, err := platform.LoadSettings(); err != nil {
		log.Error("settings_rejected", telemetry.Error(err))
		return
	}
	log.Info("settings_read")
}
