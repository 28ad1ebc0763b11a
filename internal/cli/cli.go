// Package cli implements the vanillaarch command line for operators. Commands change state;
// queries (get ...) only read.
package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Main runs the command line and exits with status 1 on an error.
func Main() {
	if err := NewCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "vanillaarch:", err)
		os.Exit(1)
	}
}

// NewCommand returns the root command.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "vanillaarch",
		Short:         "Operate vanillaarch",
		Long:          "Operate vanillaarch. Commands change state; queries (get ...) only read.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newBundleCommand(), newOrderCommand(),
		newGetCommand(), newCheckConfigCommand(),
		newCompleteCommand(), newCallCommand(),
		newDemoCommand(), newExplainCommand(), newCapacityCommand(),
		newReplayCommand(), newTraceCommand(),
	)
	return root
}
