package daemon

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/platform"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// newEntryCommand returns the entry subcommand, which runs an entry VM on the
// users' platform.
func newEntryCommand() *cobra.Command {
	var settings, level string
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run one entry VM on the users' platform",
		Long: "Run one entry VM on the users' platform. The settings file is named by " + platform.SettingsVariable +
			" unless --settings is given. SIGTERM drains the VM; SIGHUP or a change of the file reloads the settings.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return runEntry(settings, level) },
	}
	cmd.Flags().StringVar(&settings, "settings", os.Getenv(platform.SettingsVariable), "settings file of the platform, YAML")
	cmd.Flags().StringVar(&level, "log-level", "info", "minimum level of log lines")
	return cmd
}

// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the
// VM's memory.
const memoryLimitFraction = 0.55

// logFlushTimeout bounds the wait for queued log lines when the process exits.
const logFlushTimeout = 200 * time.Millisecond

func runEntry(settings, level string) error {
	signals := awaitSignals()
	deployment, err := platform.LoadSettings(settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(deployment.Limits.MemoryBytes)))
	output := telemetry.NewBoundedWriter(os.Stdout)
	defer output.Close(logFlushTimeout)
	log := telemetry.NewLogger(output, level, deployment.VM)
	store := platform.NewStore(deployment.Store.Address, platform.StoreTimeout)
	defer store.Close()
	entry, err := vanillaarch.NewEntry(vanillaarch.EntryOptions{
		Deployment: deployment, Store: store, Codec: platform.StoreCodec{}, Edge: platform.HeaderCodec{}, Log: log,
		Engines: func(x *backend.HTTPClient) edge.EngineClient { return platform.EngineClient{HTTPClient: x} },
	})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go signals.handle(log, cancel, func() { reload(log, settings, entry) })
	go watchSettings(ctx, log, settings, entry)
	return entry.Run(ctx)
}

// settingsPollInterval is the time between checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings when the modification time of their file
// changes.
func watchSettings(ctx context.Context, log *zap.Logger, path string, entry *vanillaarch.Entry) {
	last := modTime(path)
	for wait.Sleep(ctx, settingsPollInterval) {
		if now := modTime(path); !now.Equal(last) {
			last = now
			reload(log, path, entry)
		}
	}
}

// modTime returns the modification time of a file, or the zero time if the file cannot
// be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file. If it is invalid, the current settings stay in
// force.
func reload(log *zap.Logger, path string, entry *vanillaarch.Entry) {
	d, err := loadSettled(path)
	if err != nil {
		log.Error("settings_rejected", telemetry.Error(err))
		return
	}
	entry.Reload(d)
}
