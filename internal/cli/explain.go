package cli

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/explain"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain PATH...", Short: "Summarise the logs of entry VMs: outcomes of requests and where time was spent",
		Long: "Summarise the logs of entry VMs. A path is a log file, a directory with log files, or - for standard input.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			var s explain.Summary
			for _, path := range paths {
				if err := explainPath(cmd, &s, path); err != nil {
					return err
				}
			}
			return s.Write(cmd.OutOrStdout())
		},
	}
}

func explainPath(cmd *cobra.Command, s *explain.Summary, path string) error {
	if path == "-" {
		return s.Read(cmd.InOrStdin())
	}
	err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		return s.Read(f)
	})
	if err != nil {
		return errors.Wrap(err, "read logs")
	}
	return nil
}
