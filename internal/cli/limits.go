package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

func newGetLimits(p *platformFlags) *cobra.Command {
	var metrics []string
	cmd := &cobra.Command{
		Use: "limits", Short: "List the backend servers that limit their requests, and the permits for them", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			vms := vmsAt(metrics)
			if len(vms) == 0 {
				list, err := fetchList(cmd.Context(), p)
				if err != nil {
					return err
				}
				vms = liveEntryVMs(list)
			}
			rows := fetchLimits(cmd.Context(), vms)
			if err := printLimits(cmd.OutOrStdout(), rows); err != nil {
				return err
			}
			return printPermits(cmd.OutOrStdout(), rows)
		},
	}
	cmd.Flags().StringSliceVar(&metrics, "metrics", nil, "metrics addresses of the entry VMs, as IP:port, instead of the VM list")
	return cmd
}

// vmsAt returns entry VMs that are known by their metrics addresses only, as on the users'
// platform, which has no VM list of this kind.
func vmsAt(addresses []string) []vmlist.VM {
	var vms []vmlist.VM
	for _, a := range addresses {
		vms = append(vms, vmlist.VM{ID: a, AdminAddress: a})
	}
	return vms
}

// vmLimits is the answer of one entry VM to /limits, or the error of the request.
type vmLimits struct {
	id     string
	limits vanillaarch.LimitsStatus
	err    error
}

// fetchLimits requests the limits that each VM knows, sorted by VM ID.
func fetchLimits(ctx context.Context, vms []vmlist.VM) []vmLimits {
	slices.SortFunc(vms, func(a, b vmlist.VM) int { return cmp.Compare(a.ID, b.ID) })
	rows := make([]vmLimits, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		rows[i].id = vm.ID
		wg.Go(func() { rows[i].err = fetchAdmin(ctx, vm, "/limits", &rows[i].limits) })
	}
	wg.Wait()
	return rows
}

// limitedServer is what all entry VMs know of the limit of one start of a server.
type limitedServer struct {
	// rates counts the VMs by the rate that they know.
	rates map[float64]int
	// learnedBy are the VMs that got an answer with the limit.
	learnedBy []string
	// grants maps VMs that grant permits to their state.
	grants map[string]*vanillaarch.GrantsStatus
}

func limitedServers(rows []vmLimits) map[lifetime]limitedServer {
	servers := map[lifetime]limitedServer{}
	for _, r := range rows {
		for _, l := range r.limits.Servers {
			key := lifetime{l.ID, l.Incarnation}
			s, known := servers[key]
			if !known {
				s = limitedServer{rates: map[float64]int{}, grants: map[string]*vanillaarch.GrantsStatus{}}
			}
			s.rates[l.PerS]++
			if l.LearnedFrom == vanillaarch.LearnedFromAnswer {
				s.learnedBy = append(s.learnedBy, r.id)
			}
			if l.Grants != nil {
				s.grants[r.id] = l.Grants
			}
			servers[key] = s
		}
	}
	return servers
}

func printLimits(out io.Writer, rows []vmLimits) error {
	servers := limitedServers(rows)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tINCARNATION\tPER SECOND\tLEARNED BY\tSERVICE\tGRANTED BY\tTOKENS\tWAITING\tGRANTED")
	keys := slices.SortedFunc(maps.Keys(servers), func(a, b lifetime) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, key := range keys {
		s := servers[key]
		known := fmt.Sprintf("%s\t%d\t%s\t%s", key.id, key.incarnation, s.perSecond(len(rows)), cmp.Or(strings.Join(s.learnedBy, ","), "-"))
		if len(s.grants) == 0 {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\n", known)
		}
		for _, vm := range slices.Sorted(maps.Keys(s.grants)) {
			g := s.grants[vm]
			fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%d\t%d\n", known, g.Service, vm, g.Tokens, g.Waiting, g.Granted)
		}
	}
	return w.Flush()
}

// perSecond lists the rates that VMs know, with their numbers unless all know the same.
func (s limitedServer) perSecond(vms int) string {
	var parts []string
	for _, rate := range slices.Sorted(maps.Keys(s.rates)) {
		text := strconv.FormatFloat(rate, 'g', -1, 64)
		if s.rates[rate] < vms {
			text += fmt.Sprintf(" on %d of %d VMs", s.rates[rate], vms)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

func printPermits(out io.Writer, rows []vmLimits) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nVM\tPENDING\tGRANTED\tDENIED\tWITHOUT OWNER\tERROR")
	for _, r := range rows {
		message := "-"
		if r.err != nil {
			message = r.err.Error()
		}
		l := r.limits
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", r.id, l.Pending, l.Granted, l.Denied, l.WithoutOwner, message)
	}
	return w.Flush()
}
