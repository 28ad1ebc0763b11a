package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/dispatch/grant"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

func newGetQueues(p *platformFlags) *cobra.Command {
	return &cobra.Command{
		Use: "queues", Short: "List the groups of engines with their dispatchers and queues", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := fetchList(cmd.Context(), p)
			if err != nil {
				return err
			}
			rows := fetchQueues(cmd.Context(), list)
			if err := printGroups(cmd.OutOrStdout(), rows); err != nil {
				return err
			}
			if err := printFrontends(cmd.OutOrStdout(), rows); err != nil {
				return err
			}
			return printSpeeds(cmd.OutOrStdout(), rows)
		},
	}
}

// vmQueues is the answer of one entry VM to /queues, or the error of the request.
type vmQueues struct {
	id     string
	queues grant.Queues
	err    error
}

// fetchQueues requests the queues of each live entry VM, sorted by VM ID.
func fetchQueues(ctx context.Context, list *vmlist.List) []vmQueues {
	vms := liveEntryVMs(list)
	slices.SortFunc(vms, func(a, b vmlist.VM) int { return cmp.Compare(a.ID, b.ID) })
	rows := make([]vmQueues, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		rows[i].id = vm.ID
		wg.Go(func() { rows[i].err = fetchAdmin(ctx, vm, "/queues", &rows[i].queues) })
	}
	wg.Wait()
	return rows
}

func printGroups(out io.Writer, rows []vmQueues) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tDISPATCHER\tENGINES\tGRANTED\tQUEUED\tSTATE\tWAITING")
	for _, r := range rows {
		for _, g := range r.queues.Groups {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%v\n", g.Group, r.id, g.Engines, g.Granted, g.Queued, groupState(g), g.Waiting)
		}
	}
	return w.Flush()
}

func groupState(g grant.GroupQueue) string {
	switch {
	case !g.Owned:
		return "moved"
	case g.Reduced:
		return "reduced"
	default:
		return "normal"
	}
}

func printFrontends(out io.Writer, rows []vmQueues) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nVM\tWAITING\tPARKED\tHELD\tBYPASSED\tSILENT\tOPEN BREAKERS\tERROR")
	for _, r := range rows {
		message := "-"
		if r.err != nil {
			message = r.err.Error()
		}
		q := r.queues
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%v\t%v\t%s\n", r.id, q.Waiting, q.Parked, q.Held, q.Bypassed, q.Silent, q.OpenBreakers, message)
	}
	return w.Flush()
}

// printSpeeds lists the engines whose learned speed differs from the mean of their group, if there
// are any.
func printSpeeds(out io.Writer, rows []vmQueues) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	header := "\nGROUP\tENGINE\tTIME PER TOKEN\tSTREAM LIMIT\n"
	for _, r := range rows {
		for _, g := range r.queues.Groups {
			for _, s := range g.Speeds {
				fmt.Fprintf(w, "%s%s\t%s\t%.2f of the mean\t%d\n", header, g.Group, s.Engine, s.RelativeTime, s.StreamLimit)
				header = ""
			}
		}
	}
	return w.Flush()
}
