package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

func newGetCommand() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{Use: "get", Short: "Read state"}
	p.register(cmd)
	cmd.AddCommand(newGetBundle(&p), newGetVMs(&p), newGetBackends(&p), newGetQueues(&p), newGetLimits(&p))
	return cmd
}

func newGetBundle(p *platformFlags) *cobra.Command {
	return &cobra.Command{
		Use: "bundle", Short: "Print the bundle in force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client := p.kvClient()
			defer client.Close()
			store := bundle.NewStore(client)
			head, _, err := store.Head(cmd.Context())
			if err != nil {
				return err
			}
			signed, err := store.Get(cmd.Context(), head.Version)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "version=%d digest=%s operator=%s\n%s\n",
				head.Version, head.Digest, head.Operator, signed.Content)
			return nil
		},
	}
}

func newGetVMs(p *platformFlags) *cobra.Command {
	return &cobra.Command{
		Use: "vms", Short: "List entry VMs with the bundle version in force on each", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := fetchStatuses(cmd.Context(), p)
			if err != nil {
				return err
			}
			printStatuses(cmd.OutOrStdout(), rows)
			return nil
		},
	}
}

func fetchList(ctx context.Context, p *platformFlags) (*vmlist.List, error) {
	client := p.vmListClient()
	defer client.Close()
	return client.Fetch(ctx, 0)
}

// liveEntryVMs returns the live entry VMs in list order.
func liveEntryVMs(list *vmlist.List) []vmlist.VM {
	var vms []vmlist.VM
	for _, vm := range list.VMs {
		if vm.Role == vmlist.RoleEntry && vm.State == vmlist.StateLive {
			vms = append(vms, vm)
		}
	}
	return vms
}

// vmStatus is the status of one entry VM, or the error of its status request.
type vmStatus struct {
	VM     vmlist.VM
	Status vanillaarch.Status
	Err    error
}

// statusTimeout bounds one request to the admin address of a VM.
const statusTimeout = 2 * time.Second

// fetchStatuses requests the status of each live entry VM concurrently.
func fetchStatuses(ctx context.Context, p *platformFlags) ([]vmStatus, error) {
	list, err := fetchList(ctx, p)
	if err != nil {
		return nil, err
	}
	var rows []vmStatus
	for _, vm := range liveEntryVMs(list) {
		rows = append(rows, vmStatus{VM: vm})
	}
	var wg sync.WaitGroup
	for i := range rows {
		wg.Go(func() { rows[i].Err = fetchAdmin(ctx, rows[i].VM, "/status", &rows[i].Status) })
	}
	wg.Wait()
	return rows, nil
}

// fetchAdmin decodes a JSON document from the admin address of a VM.
func fetchAdmin(ctx context.Context, vm vmlist.VM, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.AdminAddress+path, nil)
	if err != nil {
		return errors.Wrap(err, "admin request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "admin")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &adminStatusError{Path: path, Status: resp.Status}
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// adminStatusError reports an answer of an admin address that is not the document.
type adminStatusError struct{ Path, Status string }

func (e *adminStatusError) Error() string { return e.Path + " answered " + e.Status }

func printStatuses(out io.Writer, rows []vmStatus) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tZONE\tBUNDLE\tACTIVE\tERROR")
	for _, r := range rows {
		message := "-"
		if r.Err != nil {
			message = r.Err.Error()
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", r.VM.ID, r.VM.Zone, r.Status.BundleVersion, r.Status.Active, message)
	}
	_ = w.Flush()
}

func newCheckConfigCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check-config FILE", Short: "Check a daemon configuration and list all errors", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			invalid, ok := errors.Into[*config.InvalidError](err)
			if ok {
				for _, v := range invalid.Violations {
					fmt.Fprintln(cmd.OutOrStdout(), v)
				}
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "configuration of %s is valid\n", cfg.VMID)
			return nil
		},
	}
}
