// Package daemon implements the vanillaarchd command, which runs an entry VM.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Main runs the command and exits with status 1 on an error.
func Main() {
	// Else a write to a log whose reader has gone ends the process, with all its requests.
	signal.Ignore(syscall.SIGPIPE)
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "vanillaarchd:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:           "vanillaarchd --config FILE",
		Short:         "Run one entry VM",
		Long:          "Run one entry VM. SIGTERM drains it; a second signal aborts the drain and reports the interrupted requests. SIGHUP is ignored.",
		Example:       "  vanillaarchd --config /etc/vanillaarch/vm.jsonc",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(file) },
	}
	cmd.Flags().StringVar(&file, "config", "", "configuration file, JSON with comments")
	_ = cmd.MarkFlagRequired("config")
	cmd.AddCommand(newEntryCommand())
	return cmd
}

func run(file string) error {
	signals := awaitSignals()
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	if memory := cfg.Limits.MemoryBytes; memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory)))
	}
	output := telemetry.NewBoundedWriter(os.Stderr)
	defer output.Close(logFlushTimeout)
	log := telemetry.NewLogger(output, cfg.Log.Level, cfg.VMID)
	server, err := vanillaarch.New(cfg, vanillaarch.Options{Log: log})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go signals.handle(log, stopOrAbort(log, cancel, server.Abort), func() { log.Warn("reload_unsupported") })
	return server.Run(ctx)
}

// stopOrAbort returns a function that calls stop at its first call, and abort at any later one.
func stopOrAbort(log *zap.Logger, stop, abort func()) func() {
	stopping := false
	return func() {
		if !stopping {
			stopping = true
			stop()
			return
		}
		log.Warn("drain_aborted")
		abort()
	}
}
