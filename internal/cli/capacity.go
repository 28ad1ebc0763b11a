package cli

import (
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/capacity"
)

func newCapacityCommand() *cobra.Command {
	return &cobra.Command{
		Use: "capacity", Short: "Measure how the cost of each role grows with size, for docs/CAPACITY.md", Args: cobra.NoArgs,
		Long: "Measure the cost of each role at several sizes in this process and extrapolate it to the design size " +
			"of docs/CAPACITY.md. Takes about four minutes; run it on an otherwise idle machine.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var all []capacity.Series
			for _, run := range []func() ([]capacity.Series, error){capacity.State, capacity.Dissemination, capacity.Dispatch, capacity.Relay, capacity.RelayedVersusDirect} {
				series, err := run()
				if err != nil {
					return err
				}
				all = append(all, series...)
			}
			return capacity.Print(cmd.OutOrStdout(), all)
		},
	}
}
