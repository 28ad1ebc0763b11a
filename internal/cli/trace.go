package cli

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
	"github.com/vanillaarch/vanillaarch/internal/tracegen"
	"github.com/vanillaarch/vanillaarch/replay"
)

func newTraceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "trace", Short: "Generate traces for replays"}
	cmd.AddCommand(newTraceGenerateCommand(), newTraceCapacityCommand())
	return cmd
}

func newTraceGenerateCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "generate", Short: "Write the traces of both tenants", Args: cobra.NoArgs,
		Long: "Write the traces of both tenants to a directory. The output is the same on each run.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			traces, err := tracegen.GenerateAll()
			if err != nil {
				return err
			}
			for _, t := range traces {
				path := filepath.Join(dir, t.Header.Name+".jsonl.gz")
				if err := writeTrace(path, t); err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d arrivals, %d faults\n", path, len(t.Arrivals), len(t.Faults))
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "testdata/traces", "directory to write to")
	return cmd
}

func writeTrace(path string, t *replay.Trace) error {
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
	if err != nil {
		return errors.Wrap(err, "compress trace")
	}
	if err := replay.Write(z, t); err != nil {
		return err
	}
	if err := z.Close(); err != nil {
		return errors.Wrap(err, "compress trace")
	}
	if err := os.WriteFile(path, buf.Bytes(), 0o644); err != nil {
		return errors.Wrap(err, "write trace")
	}
	return nil
}

func newTraceCapacityCommand() *cobra.Command {
	return &cobra.Command{
		Use: "capacity", Short: "Measure the capacity of one engine with each tenant's request mix", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, p := range tracegen.Profiles() {
				results, err := tracegen.MeasureCapacity(p, enginemodel.DefaultSettings())
				if err != nil {
					return err
				}
				for _, c := range results {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %s, %d preemptions\n", p.Tenant, c, c.Preemptions)
				}
			}
			return nil
		},
	}
}
