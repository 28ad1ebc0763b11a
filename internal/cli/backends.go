package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

func newGetBackends(p *platformFlags) *cobra.Command {
	return &cobra.Command{
		Use: "backends", Short: "List backend servers with what entry VMs know from their answers", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := fetchList(cmd.Context(), p)
			if err != nil {
				return err
			}
			return printBackends(cmd.OutOrStdout(), list, fetchNotices(cmd.Context(), list))
		},
	}
}

// notices is what all entry VMs know of one lifetime of a backend server.
type notices struct {
	// leavingOn and pausedOn count the VMs.
	leavingOn, pausedOn int
	// leavingFor is the longest time since a VM learned it. learnedBy is a VM and how it
	// learned it, one that got an answer if there is one.
	leavingFor time.Duration
	learnedBy  string
	// unverifiedOn counts the VMs that ask the server whether it leaves before they use it.
	unverifiedOn int
	// resumeIn is the longest time until a VM may send again.
	resumeIn time.Duration
}

// lifetime identifies one start of a backend server.
type lifetime struct {
	id          string
	incarnation int64
}

// vmNotices holds what entry VMs know, and how many of them answered.
type vmNotices struct {
	byServer      map[lifetime]notices
	asked, failed int
}

// fetchNotices asks all live entry VMs concurrently.
func fetchNotices(ctx context.Context, list *vmlist.List) vmNotices {
	v := vmNotices{byServer: map[lifetime]notices{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range liveEntryVMs(list) {
		v.asked++
		wg.Go(func() {
			var statuses []vanillaarch.ServerStatus
			err := fetchAdmin(ctx, vm, "/servers", &statuses)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				v.failed++
			}
			v.add(vm.ID, statuses)
		})
	}
	wg.Wait()
	return v
}

// add adds what one VM knows.
func (v *vmNotices) add(vm string, statuses []vanillaarch.ServerStatus) {
	for _, s := range statuses {
		key := lifetime{s.ID, s.Incarnation}
		n := v.byServer[key]
		if s.Leaving {
			n.leavingOn++
			n.leavingFor = max(n.leavingFor, milliseconds(s.LeavingForMS))
			if n.learnedBy == "" || s.LearnedFrom == vanillaarch.LearnedFromAnswer {
				n.learnedBy = vm + " from " + s.LearnedFrom
			}
		}
		if s.Unverified {
			n.unverifiedOn++
		}
		if s.ResumeInMS > 0 {
			n.pausedOn++
			n.resumeIn = max(n.resumeIn, milliseconds(s.ResumeInMS))
		}
		v.byServer[key] = n
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func printBackends(out io.Writer, list *vmlist.List, v vmNotices) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tROLE\tSTATE\tZONE\tADDRESS\tMODELS\tSERVICES\tLEAVING\tPAUSED")
	for _, vm := range list.VMs {
		if vm.Role == vmlist.RoleEntry {
			continue
		}
		n := v.byServer[lifetime{vm.ID, vm.Incarnation}]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%v\t%v\t%s\t%s\n", vm.ID, vm.Role, vm.State, vm.Zone, vm.Address, vm.Models, vm.Services,
			cmp.Or(n.leaving(v.asked), "-"), cmp.Or(n.paused(v.asked), "-"))
	}
	if v.failed > 0 {
		fmt.Fprintf(w, "%d of %d entry VMs did not answer\n", v.failed, v.asked)
	}
	return w.Flush()
}

func (n notices) leaving(vms int) string {
	if n.leavingOn == 0 && n.unverifiedOn > 0 {
		return fmt.Sprintf("asked by %d of %d VMs", n.unverifiedOn, vms)
	}
	if n.leavingOn == 0 {
		return ""
	}
	return fmt.Sprintf("on %d of %d VMs, for %s, %s", n.leavingOn, vms, n.leavingFor.Round(time.Millisecond), n.learnedBy)
}

func (n notices) paused(vms int) string {
	if n.pausedOn == 0 {
		return ""
	}
	return fmt.Sprintf("on %d of %d VMs, for %s", n.pausedOn, vms, n.resumeIn.Round(time.Millisecond))
}
